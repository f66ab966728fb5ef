//! Minimal HTTP/1.1 messages on raw sockets, for tests that control each byte.

use std::io::{Read, Write};

/// A received HTTP message.
#[derive(Clone, Debug)]
pub struct RawMessage {
    /// Start line and header lines.
    pub head: String,
    /// Body, with chunked transfer encoding removed.
    pub body: String,
}

impl RawMessage {
    /// Returns the value of a header; the name is matched regardless of case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Returns the status code of a response; 0 if it is malformed.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Returns the target of a request: path and query.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message whose body has a length or is chunked; `None` if it ends early or is malformed.
pub fn read_message(stream: &mut impl Read) -> Option<RawMessage> {
    let mut message = RawMessage { head: read_head(stream)?, body: String::new() };
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(stream)?;
        return Some(message);
    }
    let length = message.header("content-length").map_or(Some(0), |value| value.parse().ok())?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// Reads the head of a message and leaves its body unread.
pub fn read_message_head(stream: &mut impl Read) -> Option<RawMessage> {
    Some(RawMessage { head: read_head(stream)?, body: String::new() })
}

fn read_head(stream: &mut impl Read) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&bytes).trim_end().to_owned())
}

fn read_chunks(stream: &mut impl Read) -> Option<String> {
    let mut body = String::new();
    read_chunks_into(stream, &mut body).then_some(body)
}

/// Appends the content of chunks to `body`; returns whether the last one arrived.
fn read_chunks_into(stream: &mut impl Read, body: &mut String) -> bool {
    loop {
        match read_chunk(stream) {
            Some(chunk) if chunk.is_empty() => return true,
            Some(chunk) => body.push_str(&chunk),
            None => return false,
        }
    }
}

/// Reads one chunk; the last one is empty.
fn read_chunk(stream: &mut impl Read) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0; 1];
    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }
    let size = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    stream.read_exact(&mut chunk).ok()?;
    Some(String::from_utf8_lossy(&chunk[..size]).into_owned())
}

/// Reads a response that may break off: its head, what arrived of its body, and whether that is all
/// of it. `None` if not even the head arrived.
pub fn read_partial_message(stream: &mut impl Read) -> Option<(RawMessage, bool)> {
    let mut message = RawMessage { head: read_head(stream)?, body: String::new() };
    if message.header("transfer-encoding").is_some() {
        let is_whole = read_chunks_into(stream, &mut message.body);
        return Some((message, is_whole));
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok())?;
    let mut body = vec![0; length];
    let is_whole = stream.read_exact(&mut body).is_ok();
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some((message, is_whole))
}

/// Writes a complete response of a replica and returns whether it was written.
///
/// `headers` are additional header lines, each ending in CRLF.
pub fn respond(
    stream: &mut impl Write,
    request: &RawMessage,
    status: u16,
    headers: &str,
    body: &str,
) -> bool {
    let id = request.header("berylstep-attempt-id").unwrap_or("-");
    let head = format!(
        "HTTP/1.1 {status} X\r\nBerylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: sig\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok()
}

/// Writes the head of a chunked event stream and returns whether it was written.
pub fn begin_events(stream: &mut impl Write, request: &RawMessage) -> bool {
    begin_events_with(stream, request, "")
}

/// Writes the head of a chunked event stream with additional header lines, each ending in CRLF;
/// returns whether it was written.
pub fn begin_events_with(stream: &mut impl Write, request: &RawMessage, headers: &str) -> bool {
    let id = request.header("berylstep-attempt-id").unwrap_or("-");
    let head = format!(
        "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: sig\r\n\
         {headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).is_ok()
}

/// Writes the head of an event stream that ends with its connection; returns whether it was written.
pub fn begin_unframed_events(stream: &mut impl Write, request: &RawMessage) -> bool {
    let id = request.header("berylstep-attempt-id").unwrap_or("-");
    let head = format!(
        "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: sig\r\n\
         Content-Type: text/event-stream\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).is_ok()
}

/// Writes the event with the identifier `number` and returns whether it was written.
pub fn write_event(stream: &mut impl Write, number: u32) -> bool {
    let event = format!("id: {number}\ndata: d{number}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok()
}

/// Writes the last chunk of a stream and returns whether it was written.
pub fn end_events(stream: &mut impl Write) -> bool {
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Returns a caller's request that expects an answer within `timeout_ms` milliseconds.
///
/// `headers` are additional header lines, each ending in CRLF.
pub fn request_text(route: &str, id: &str, timeout_ms: u64, headers: &str) -> String {
    format!(
        "POST /{route}/x?y=%20 HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {id}\r\n\
         Berylstep-Deadline-Milliseconds: {timeout_ms}\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}
