//! Writes responses to callers.

use std::time::Duration;

use berylstep_http::ResponseMessage;
use smol::future;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::gateway::holdings::HoldGuard;
use crate::platform::headers::write_header;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const CHUNK_END: &[u8] = b"\r\n";

/// Largest content that is copied to be written at once with its framing.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// A response that the gateway itself generates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalReply {
    /// HTTP status.
    pub status: u16,
    /// Value of `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Reason sent as the body and written to the log.
    pub reason: &'static str,
}

impl LocalReply {
    /// Returns a 503 for a request that did not run and never will.
    pub fn refused(reason: &'static str, retry_after: Duration) -> Self {
        Self { status: 503, retry_after: Some(retry_after), reason }
    }

    /// Returns a 503 for a request to go on with a stream that can't go on. It did not run, and coming
    /// back is in vain.
    pub fn not_resumed(reason: &'static str) -> Self {
        Self { status: 503, retry_after: None, reason }
    }

    /// Returns a 502 for a request that may have run but whose response is lost.
    pub fn lost(reason: &'static str) -> Self {
        Self { status: 502, retry_after: None, reason }
    }

    /// Returns a 504 for a request that may have run but got no response before its deadline.
    pub fn timed_out() -> Self {
        Self { status: 504, retry_after: None, reason: "no answer in time" }
    }

    /// Returns the reply to a request that is invalid or not allowed.
    pub fn rejected(status: u16, reason: &'static str) -> Self {
        Self { status, retry_after: None, reason }
    }
}

/// Writes the response to one request.
#[derive(Debug)]
pub struct ResponseWriter<'a> {
    stream: TcpStream,
    method: String,
    keep_alive: bool,
    started: bool,
    /// Whether the response ends with its head.
    is_bodiless: bool,
    /// What is held for the connection, with the bytes of its request.
    hold: Option<(&'a HoldGuard, usize)>,
}

impl<'a> ResponseWriter<'a> {
    /// Creates a writer for the response to a request with `method`.
    pub fn new(stream: TcpStream, method: &str, keep_alive: bool) -> Self {
        let is_bodiless = method == "HEAD";
        let method = method.to_owned();
        Self { stream, method, keep_alive, started: false, is_bodiless, hold: None }
    }

    /// Counts what waits to be read by the caller towards `hold`, beside a request of `request_bytes`.
    pub fn holding(self, hold: &'a HoldGuard, request_bytes: usize) -> Self {
        Self { hold: Some((hold, request_bytes)), ..self }
    }

    /// Returns whether part of the response was written.
    pub fn is_started(&self) -> bool {
        self.started
    }

    /// Returns whether the connection stays open after a complete response.
    pub fn keeps_alive(&self) -> bool {
        self.keep_alive
    }

    /// Writes a response that the gateway generated.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the caller fails.
    pub async fn write_reply(&mut self, reply: &LocalReply) -> std::io::Result<()> {
        let mut bytes = status_line(reply.status, reason_phrase(reply.status));
        if let Some(wait) = reply.retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            write_header("Retry-After", seconds.as_bytes(), &mut bytes);
        }
        write_header("Content-Type", b"text/plain", &mut bytes);
        self.end_head(Some(reply.reason.len()), &mut bytes);
        if !self.is_bodiless {
            bytes.extend_from_slice(reply.reason.as_bytes());
        }
        self.write(&bytes).await
    }

    /// Writes a replica's complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the caller fails.
    pub async fn write_whole(
        &mut self,
        response: &ResponseMessage,
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut bytes = self.replica_head(response);
        let length = match self.method.as_str() {
            // The response to HEAD has no body, so its length comes from the replica.
            "HEAD" => response.headers.get("content-length").and_then(|len| len.parse().ok()),
            _ if response.is_bodiless() => None,
            _ => Some(body.len()),
        };
        self.end_head(length, &mut bytes);
        if body.len() <= MAX_COPIED_BYTES {
            bytes.extend_from_slice(body);
            return self.write(&bytes).await;
        }
        self.write(&bytes).await?;
        self.write(body).await
    }

    /// Writes the head and the first content of a replica's stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the caller fails.
    pub async fn start_stream(
        &mut self,
        response: &ResponseMessage,
        content: &[u8],
    ) -> std::io::Result<()> {
        let mut bytes = self.replica_head(response);
        if response.is_bodiless() {
            self.is_bodiless = true;
        } else {
            write_header("Transfer-Encoding", b"chunked", &mut bytes);
        }
        self.end_head(None, &mut bytes);
        match self.is_bodiless {
            true => self.write(&bytes).await,
            false => self.write_chunk(bytes, content).await,
        }
    }

    /// Writes more content of a stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the caller fails.
    pub async fn write_content(&mut self, content: &[u8]) -> std::io::Result<()> {
        if content.is_empty() || self.is_bodiless {
            return Ok(());
        }
        self.write_chunk(Vec::new(), content).await
    }

    /// Writes the last content of a stream and completes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the caller fails.
    pub async fn end_stream(&mut self, content: &[u8]) -> std::io::Result<()> {
        if self.is_bodiless {
            return Ok(());
        }
        let mut bytes = Vec::new();
        append_chunk(content, &mut bytes);
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

    /// Writes `bytes` and `content` as a chunk. A large chunk isn't copied, since many at once would take much
    /// memory while their callers don't read.
    async fn write_chunk(&mut self, mut bytes: Vec<u8>, content: &[u8]) -> std::io::Result<()> {
        if content.len() <= MAX_COPIED_BYTES {
            append_chunk(content, &mut bytes);
            return self.write(&bytes).await;
        }
        bytes.extend_from_slice(&chunk_size(content));
        self.write(&bytes).await?;
        self.write(content).await?;
        self.write(CHUNK_END).await
    }

    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.started = true;
        let Some((hold, request_bytes)) = self.hold else {
            return self.stream.write_all(bytes).await;
        };
        let mut rest = bytes;
        while !rest.is_empty() {
            // A caller that has read a part counts as reading; one that doesn't may have to give way.
            let count = match future::poll_once(self.stream.write(rest)).await {
                Some(written) => written?,
                None => {
                    hold.set_writing(request_bytes + rest.len());
                    let written = self.stream.write(rest).await?;
                    hold.set_serving(request_bytes);
                    written
                }
            };
            if count == 0 {
                return Err(std::io::ErrorKind::WriteZero.into());
            }
            rest = &rest[count..];
        }
        Ok(())
    }
}

fn status_line(status: u16, phrase: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} {phrase}\r\n").into_bytes()
}

/// Appends `content` as a chunk. Empty content is skipped, because an empty chunk ends the body.
fn append_chunk(content: &[u8], bytes: &mut Vec<u8>) {
    if content.is_empty() {
        return;
    }
    bytes.reserve(content.len() + 16);
    bytes.extend_from_slice(&chunk_size(content));
    bytes.extend_from_slice(content);
    bytes.extend_from_slice(CHUNK_END);
}

/// Returns the line that begins a chunk.
fn chunk_size(content: &[u8]) -> Vec<u8> {
    format!("{:x}\r\n", content.len()).into_bytes()
}

fn reason_phrase(status: u16) -> &'static str {
    let known = http_types::StatusCode::try_from(status);
    known.map_or("Unknown", |status| status.canonical_reason())
}
