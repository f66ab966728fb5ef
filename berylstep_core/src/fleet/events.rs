//! Parsing of server-sent event streams that can be resumed on another replica.

/// Name of the field that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream after its last complete event and records that event's identifier.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Start of the line in `pending` that has not been searched to its end.
    line_start: usize,
    /// End of the part of `pending` that has been searched for line ends.
    searched: usize,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Appends bytes of the stream; returns the buffered bytes up to the end of the last complete
    /// event.
    pub fn accept(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = self.find_event_end() else { return Vec::new() };
        let partial = self.pending.split_off(end);
        self.line_start -= end;
        self.searched -= end;
        let complete = std::mem::replace(&mut self.pending, partial);
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        self.events += count_events(&complete);
        complete
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        drop(self.take_partial());
    }

    /// Takes the bytes after the last complete event, once the stream has ended.
    pub fn take_partial(&mut self) -> Vec<u8> {
        (self.line_start, self.searched) = (0, 0);
        std::mem::take(&mut self.pending)
    }

    /// Returns the end of the last blank line, which terminates an event. Bytes are searched once,
    /// however slowly an event arrives.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut end = None;
        for index in self.searched..self.pending.len() {
            if self.pending[index] != b'\n' {
                continue;
            }
            if matches!(&self.pending[self.line_start..index], b"" | b"\r") {
                end = Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.searched = self.pending.len();
        end
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
