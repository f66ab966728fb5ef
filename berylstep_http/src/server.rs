//! Server side of an HTTP/1.1 connection.

use std::future::Future;

use displaydoc::Display;
use http_types::{Method, Request, Response};
use smol::future;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use crate::framed::{FramedStream, MessageEnd};
use crate::head::{read_head, validate_request, BodyFraming, HeadError, HEAD_END};

/// Most bytes of pipelined requests that are buffered while a request is served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

const COPY_BUFFER_BYTES: usize = 8 * 1024;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why no request was received.
#[derive(Debug, Display)]
pub enum ReceiveError {
    /// {0}
    Head(HeadError),
    /// request body is larger than {0} bytes
    BodyTooLarge(usize),
    /// request body ends early or is malformed
    BodyBroken,
    /// malformed request: {0}
    Decode(String),
}

impl std::error::Error for ReceiveError {}

impl From<HeadError> for ReceiveError {
    fn from(err: HeadError) -> Self {
        Self::Head(err)
    }
}

impl ReceiveError {
    /// Returns the HTTP status of the error response, or `None` if the connection is lost.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Head(HeadError::TooLarge) => Some(431),
            Self::Head(HeadError::Version) => Some(505),
            Self::Head(HeadError::Malformed(_)) => Some(400),
            Self::Head(HeadError::Expectation) => Some(417),
            Self::Head(HeadError::Truncated | HeadError::Io(_)) => None,
            Self::BodyTooLarge(_) => Some(413),
            Self::BodyBroken | Self::Decode(_) => Some(400),
        }
    }
}

/// How serving one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServeOutcome {
    /// The response was written completely.
    Sent,
    /// The peer closed the connection before the response was written.
    PeerLeft,
    /// The response body failed, so the peer receives a truncated message.
    Broken,
}

/// A request whose body was received completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Request line and headers; the body of this value has been read.
    pub request: Request,
    /// Body after removal of the chunked encoding.
    pub body: Vec<u8>,
}

/// Server side of a connection, which serves one request at a time.
#[derive(Debug)]
pub struct ServerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    reusable: bool,
}

impl ServerConnection {
    /// Creates the server side of `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), reusable: true }
    }

    /// Returns whether another request may be received on the connection.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Makes the connection close after the current response.
    pub fn close_after_response(&mut self) {
        self.reusable = false;
    }

    /// Returns whether bytes of a pipelined request have arrived.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Receives the next request with its complete body.
    ///
    /// Returns `None` if the peer closes the connection between requests. After an error the
    /// connection is no longer reusable.
    pub async fn receive(
        &mut self,
        max_body_bytes: usize,
    ) -> Result<Option<ReceivedRequest>, ReceiveError> {
        let received = self.receive_request(max_body_bytes).await;
        if received.is_err() {
            self.reusable = false;
        }
        received
    }

    async fn receive_request(
        &mut self,
        max_body_bytes: usize,
    ) -> Result<Option<ReceivedRequest>, ReceiveError> {
        let Some(bytes) = read_head(&mut self.stream, &mut self.buffer).await? else {
            return Ok(None);
        };
        let head = validate_request(&bytes)?;
        self.reusable = head.keep_alive;
        let head_bytes = head.bytes.len() as u64;
        let end = match head.framing {
            BodyFraming::Length(length) if length > max_body_bytes as u64 => {
                return Err(ReceiveError::BodyTooLarge(max_body_bytes));
            }
            BodyFraming::Length(length) => MessageEnd::After(head_bytes + length),
            BodyFraming::Unframed => MessageEnd::After(head_bytes),
            // The decoder may read past the end of a chunked body, so pipelined requests can't be
            // served.
            BodyFraming::Chunked => {
                self.reusable = false;
                MessageEnd::Chunked { head_bytes: head.bytes.len() }
            }
        };
        if head.expects_continue {
            self.stream.write_all(CONTINUE_RESPONSE).await.map_err(HeadError::Io)?;
        }
        let framed =
            FramedStream::new(self.take_buffered(head.bytes, end), end, self.stream.clone());
        let decoded = async_h1::server::decode(framed).await;
        let decoded = decoded.map_err(|err| ReceiveError::Decode(err.to_string()))?;
        let (mut request, _) = decoded.ok_or(ReceiveError::BodyBroken)?;
        let body = read_body(&mut request, max_body_bytes).await?;
        Ok(Some(ReceivedRequest { request, body }))
    }

    /// Writes the response that `handler` returns.
    ///
    /// If the peer closes the connection first, the handler or the unsent part of the response is
    /// dropped.
    pub async fn serve<F>(&mut self, method: Method, handler: F) -> ServeOutcome
    where
        F: Future<Output = Response>,
    {
        let mut writer = self.stream.clone();
        let reusable = self.reusable;
        let responding = async {
            let mut response = handler.await;
            if !reusable {
                response.insert_header("connection", "close");
            }
            write_response(&mut writer, response, method).await
        };
        let closing = wait_for_close(self.stream.clone(), &mut self.buffer);
        let outcome = future::or(responding, closing).await;
        if outcome != ServeOutcome::Sent {
            self.reusable = false;
            let _ = self.stream.shutdown(std::net::Shutdown::Both);
        }
        outcome
    }

    /// Removes the message's bytes from the buffer and appends them to `head`.
    fn take_buffered(&mut self, mut head: Vec<u8>, end: MessageEnd) -> Vec<u8> {
        let max_bytes = match end {
            MessageEnd::After(length) => usize::try_from(length).unwrap_or(usize::MAX) - head.len(),
            MessageEnd::Chunked { .. } => usize::MAX,
        };
        head.extend(self.buffer.drain(..max_bytes.min(self.buffer.len())));
        head
    }
}

async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Vec<u8>, ReceiveError> {
    let mut reader = request.take_body();
    let mut body = Vec::new();
    let mut chunk = vec![0; COPY_BUFFER_BYTES];
    loop {
        let count = reader.read(&mut chunk).await.map_err(|_| ReceiveError::BodyBroken)?;
        if count == 0 {
            return Ok(body);
        }
        if body.len() + count > max_bytes {
            return Err(ReceiveError::BodyTooLarge(max_bytes));
        }
        body.extend_from_slice(&chunk[..count]);
    }
}

async fn write_response(
    stream: &mut TcpStream,
    response: Response,
    method: Method,
) -> ServeOutcome {
    let body_bytes = response.len().filter(|_| method != Method::Head);
    let mut encoder = async_h1::server::Encoder::new(response, method);
    let mut chunk = vec![0; COPY_BUFFER_BYTES];
    // Bytes up to the end of the message, once known.
    let mut remaining = None;
    loop {
        match encoder.read(&mut chunk).await {
            Ok(0) => return ServeOutcome::Sent,
            Ok(count) => {
                if stream.write_all(&chunk[..count]).await.is_err() {
                    return ServeOutcome::PeerLeft;
                }
                let expected = remaining.or_else(|| message_length(&chunk[..count], body_bytes));
                remaining = expected.map(|expected| expected.saturating_sub(count));
                // Does not wait for the encoder's end of file, since the peer may close the
                // connection once it has the complete response.
                if remaining == Some(0) {
                    return ServeOutcome::Sent;
                }
            }
            Err(_) => return ServeOutcome::Broken,
        }
    }
}

/// Returns the length in bytes of the message whose head is in `first`, or `None` if unknown.
fn message_length(first: &[u8], body_bytes: Option<usize>) -> Option<usize> {
    let head_end = first.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(head_end + HEAD_END.len() + body_bytes?)
}

/// Resolves when the peer closes the connection; pipelined bytes are appended to `buffer`.
async fn wait_for_close(mut stream: TcpStream, buffer: &mut Vec<u8>) -> ServeOutcome {
    let mut chunk = [0; 1024];
    loop {
        if buffer.len() >= MAX_PIPELINED_BYTES {
            return future::pending().await;
        }
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return ServeOutcome::PeerLeft,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}
