//! Messages on raw sockets, as a test or trial reads and writes them.

use std::io::{Read, Write};

/// A message as received.
#[derive(Clone, Debug)]
pub struct RawMessage {
    /// First line and headers.
    pub head: String,
    /// Body, out of its chunks.
    pub body: String,
}

impl RawMessage {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Status of an answer; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message with a length or in chunks; `None` where it breaks off.
pub fn read_message(stream: &mut impl Read) -> Option<RawMessage> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).trim_end().to_owned();
    let mut message = RawMessage { head, body: String::new() };
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

fn read_chunks(stream: &mut impl Read) -> Option<String> {
    let mut body = String::new();
    loop {
        let mut line = Vec::new();
        let mut byte = [0; 1];
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let size = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(&String::from_utf8_lossy(&chunk[..size]));
    }
}

/// Writes a whole answer in the name of a replica; `headers` are further header lines.
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

/// Begins a chunked stream of events; tells whether it could be written.
pub fn begin_events(stream: &mut impl Write, request: &RawMessage) -> bool {
    let id = request.header("berylstep-attempt-id").unwrap_or("-");
    let head = format!(
        "HTTP/1.1 200 OK\r\nBerylstep-Attempt-Id: {id}\r\nBerylstep-Replica-Signature: sig\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).is_ok()
}

/// Writes event `number`; tells whether it could be written.
pub fn write_event(stream: &mut impl Write, number: u32) -> bool {
    let event = format!("id: {number}\ndata: d{number}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok()
}

/// Ends a stream as whole.
pub fn end_events(stream: &mut impl Write) -> bool {
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Request of a caller; `headers` are further header lines.
pub fn request_text(route: &str, id: &str, patience_ms: u64, headers: &str) -> String {
    format!(
        "POST /{route}/x?y=%20 HTTP/1.1\r\nHost: h.example\r\nBerylstep-Attempt-Id: {id}\r\n\
         Berylstep-Deadline-Milliseconds: {patience_ms}\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}
