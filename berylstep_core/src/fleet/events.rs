//! Parsing of server-sent event streams that can be resumed on another replica.

/// Name of the field that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream after its last complete event and records that event's identifier.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Appends bytes of the stream; returns the buffered bytes up to the end of the last complete
    /// event.
    pub fn accept(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.pending) else { return Vec::new() };
        let partial = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, partial);
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        self.events += count_events(&complete);
        complete
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Takes the bytes after the last complete event, once the stream has ended.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Returns the number of complete events that carry an identifier.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the identifier of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the end of the last blank line; a blank line terminates an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    let mut end = None;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        if matches!(&bytes[line_start..index], b"" | b"\r") {
            end = Some(index + 1);
        }
        line_start = index + 1;
    }
    end
}

/// Counts the events that carry an identifier.
fn count_events(events: &[u8]) -> u64 {
    let lines = events.split(|byte| *byte == b'\n');
    lines.filter(|line| line.starts_with(ID_FIELD)).count() as u64
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n');
    let line = lines.rfind(|line| line.starts_with(ID_FIELD))?;
    let value = line[ID_FIELD.len()..].trim_ascii();
    std::str::from_utf8(value).ok().map(str::to_owned)
}
