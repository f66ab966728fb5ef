//! Writes answers to a caller.

use std::time::Duration;

use berylstep_http::ResponseMessage;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::platform::headers::write_header;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A final answer of this node's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnAnswer {
    /// HTTP status.
    pub status: u16,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// What happened, for the caller and the log.
    pub reason: &'static str,
}

impl OwnAnswer {
    /// A request that has not run and never will.
    pub fn refused(reason: &'static str, retry_after: Duration) -> Self {
        Self { status: 503, retry_after: Some(retry_after), reason }
    }

    /// A request that may have run and whose answer is lost.
    pub fn lost(reason: &'static str) -> Self {
        Self { status: 502, retry_after: None, reason }
    }

    /// A request that may have run and got no answer in time.
    pub fn timed_out() -> Self {
        Self { status: 504, retry_after: None, reason: "no answer in time" }
    }

    /// A request that is not acceptable.
    pub fn rejected(status: u16, reason: &'static str) -> Self {
        Self { status, retry_after: None, reason }
    }
}

/// Writes one answer.
#[derive(Debug)]
pub struct AnswerWriter {
    stream: TcpStream,
    method: String,
    keep_alive: bool,
    begun: bool,
}

impl AnswerWriter {
    /// Writes the answer to a request with `method`.
    pub fn new(stream: TcpStream, method: &str, keep_alive: bool) -> Self {
        Self { stream, method: method.to_owned(), keep_alive, begun: false }
    }

    /// Whether a part of the answer was written.
    pub fn is_begun(&self) -> bool {
        self.begun
    }

    /// Whether the connection takes another request after a whole answer.
    pub fn keeps_alive(&self) -> bool {
        self.keep_alive
    }

    /// Writes a whole answer of this node's own.
    pub async fn write_own(&mut self, own: &OwnAnswer) -> std::io::Result<()> {
        let mut bytes = status_line(own.status, reason_phrase(own.status));
        if let Some(wait) = own.retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            write_header("Retry-After", seconds.as_bytes(), &mut bytes);
        }
        write_header("Content-Type", b"text/plain", &mut bytes);
        self.end_head(Some(own.reason.len()), &mut bytes);
        if self.method != "HEAD" {
            bytes.extend_from_slice(own.reason.as_bytes());
        }
        self.write(&bytes).await
    }

    /// Writes a replica's whole answer.
    pub async fn write_whole(
        &mut self,
        response: &ResponseMessage,
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut bytes = self.replica_head(response);
        let length = match (self.method.as_str(), response.status) {
            // The length of a body that is not sent is the replica's to tell.
            ("HEAD", _) => response.headers.get("content-length").and_then(|len| len.parse().ok()),
            (_, 204 | 304) => None,
            _ => Some(body.len()),
        };
        self.end_head(length, &mut bytes);
        bytes.extend_from_slice(body);
        self.write(&bytes).await
    }

    /// Writes the head of a replica's stream and its first content.
    pub async fn begin_stream(
        &mut self,
        response: &ResponseMessage,
        content: &[u8],
    ) -> std::io::Result<()> {
        let mut bytes = self.replica_head(response);
        write_header("Transfer-Encoding", b"chunked", &mut bytes);
        self.end_head(None, &mut bytes);
        write_chunk(content, &mut bytes);
        self.write(&bytes).await
    }

    /// Writes more content of a stream.
    pub async fn write_content(&mut self, content: &[u8]) -> std::io::Result<()> {
        let mut bytes = Vec::with_capacity(content.len() + 16);
        write_chunk(content, &mut bytes);
        match bytes.is_empty() {
            true => Ok(()),
            false => self.write(&bytes).await,
        }
    }

    /// Ends a stream as whole.
    pub async fn end_stream(&mut self, content: &[u8]) -> std::io::Result<()> {
        let mut bytes = Vec::with_capacity(content.len() + 16);
        write_chunk(content, &mut bytes);
        bytes.extend_from_slice(LAST_CHUNK);
        self.write(&bytes).await
    }

    fn replica_head(&self, response: &ResponseMessage) -> Vec<u8> {
        let mut bytes = status_line(response.status, &response.reason);
        for field in response.headers.end_to_end() {
            write_header(&field.name, &field.value, &mut bytes);
        }
        bytes
    }

    fn end_head(&self, length: Option<usize>, bytes: &mut Vec<u8>) {
        if let Some(length) = length {
            write_header("Content-Length", length.to_string().as_bytes(), bytes);
        }
        if !self.keep_alive {
            write_header("Connection", b"close", bytes);
        }
        bytes.extend_from_slice(b"\r\n");
    }

    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.begun = true;
        self.stream.write_all(bytes).await
    }
}

fn status_line(status: u16, phrase: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} {phrase}\r\n").into_bytes()
}

/// An empty chunk would end the body.
fn write_chunk(content: &[u8], bytes: &mut Vec<u8>) {
    if content.is_empty() {
        return;
    }
    bytes.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
    bytes.extend_from_slice(content);
    bytes.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    let known = http_types::StatusCode::try_from(status);
    known.map_or("Unknown", |status| status.canonical_reason())
}
