//! Parsing of server-sent event streams that can be resumed on another replica.

/// Name of the field that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// What marks the end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMarker {
    /// A length or a last chunk.
    Framing,
    /// The close of the connection, which also happens when the replica fails.
    Close,
}

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
    /// Whether a complete event was received.
    has_event: bool,
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
        self.has_event = true;
        complete
    }

    /// Returns whether a stream whose response has ended is whole: not inside an event, and, if only
    /// the close of the connection marks its end, not before the first one.
    pub fn is_whole(&self, marker: EndMarker) -> bool {
        self.pending.is_empty() && (marker == EndMarker::Framing || self.has_event)
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Discards the bytes of an incomplete event, once a response has ended.
    pub fn discard_partial(&mut self) {
        (self.line_start, self.searched) = (0, 0);
        self.pending = Vec::new();
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
