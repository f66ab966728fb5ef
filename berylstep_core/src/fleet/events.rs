//! Server-sent events of a stream that may be continued on another replica.

/// Field that carries the identifier of an event.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream after its last whole event and remembers that event's identifier.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes in bytes of the stream and returns those up to the end of the last whole event.
    pub fn accept(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.pending) else { return Vec::new() };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_identifier(&whole) {
            self.last_id = Some(id);
        }
        self.events += count_events(&whole);
        whole
    }

    /// Forgets the bytes of an event that broke off.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Bytes after the last whole event, at the end of a whole stream.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Number of whole events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// End of the last blank line, which ends an event.
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

/// Number of identifiers in whole events.
fn count_events(events: &[u8]) -> u64 {
    let lines = events.split(|byte| *byte == b'\n');
    lines.filter(|line| line.starts_with(ID_FIELD)).count() as u64
}

fn last_identifier(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n');
    let line = lines.rfind(|line| line.starts_with(ID_FIELD))?;
    let value = line[ID_FIELD.len()..].trim_ascii();
    std::str::from_utf8(value).ok().map(str::to_owned)
}
