//! Server side of one connection.

use std::future::Future;

use displaydoc::Display;
use http_types::{Method, Request, Response};
use smol::future;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use crate::framed::{FramedStream, MessageEnd};
use crate::head::{check_request, read_head, BodyFraming, HeadError, HEAD_END};

/// Most bytes that a peer may send ahead while its request is served.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

const COPY_BYTES: usize = 8 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

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
    /// HTTP status that tells the peer, or `None` where nobody is there to read it.
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
    /// The whole response was written.
    Sent,
    /// The peer left before the response was written.
    PeerLeft,
    /// The response broke off; the peer sees a broken message.
    Broken,
}

/// A request with its whole body.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Request without body.
    pub request: Request,
    /// Body as sent, unchunked.
    pub body: Vec<u8>,
}

/// Server side of one connection, one request at a time.
#[derive(Debug)]
pub struct ServerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    reusable: bool,
}

impl ServerConnection {
    /// Serves requests that arrive on `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), reusable: true }
    }

    /// Whether another request may be received.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Closes the connection after the current response.
    pub fn close_after_response(&mut self) {
        self.reusable = false;
    }

    /// Whether bytes of a further request have arrived.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Receives the next request with its whole body; `None` where the peer closed in between.
    pub async fn receive(
        &mut self,
        max_body_bytes: usize,
    ) -> Result<Option<ReceivedRequest>, ReceiveError> {
        let received = self.receive_checked(max_body_bytes).await;
        if received.is_err() {
            self.reusable = false;
        }
        received
    }

    async fn receive_checked(
        &mut self,
        max_body_bytes: usize,
    ) -> Result<Option<ReceivedRequest>, ReceiveError> {
        let Some(bytes) = read_head(&mut self.stream, &mut self.buffer).await? else {
            return Ok(None);
        };
        let head = check_request(&bytes)?;
        self.reusable = head.keep_alive;
        let head_bytes = head.bytes.len() as u64;
        let end = match head.framing {
            BodyFraming::Length(length) if length > max_body_bytes as u64 => {
                return Err(ReceiveError::BodyTooLarge(max_body_bytes));
            }
            BodyFraming::Length(length) => MessageEnd::After(head_bytes + length),
            BodyFraming::Unframed => MessageEnd::After(head_bytes),
            // The chunked decoder may read past the end, so what follows can't be served.
            BodyFraming::Chunked => {
                self.reusable = false;
                MessageEnd::Chunked
            }
        };
        if head.expects_continue {
            self.stream.write_all(CONTINUE).await.map_err(HeadError::Io)?;
        }
        let framed = FramedStream::new(self.take_prefix(head.bytes, end), end, self.stream.clone());
        let decoded = async_h1::server::decode(framed).await;
        let decoded = decoded.map_err(|err| ReceiveError::Decode(err.to_string()))?;
        let (mut request, _) = decoded.ok_or(ReceiveError::BodyBroken)?;
        let body = read_body(&mut request, max_body_bytes).await?;
        Ok(Some(ReceivedRequest { request, body }))
    }

    /// Writes the response that `handler` makes.
    ///
    /// Where the peer leaves first, the handler or the rest of the response is dropped.
    pub async fn serve<F>(&mut self, method: Method, handler: F) -> ServeOutcome
    where
        F: Future<Output = Response>,
    {
        let mut writer = self.stream.clone();
        let reusable = self.reusable;
        let answering = async {
            let mut response = handler.await;
            if !reusable {
                response.insert_header("connection", "close");
            }
            write_response(&mut writer, response, method).await
        };
        let leaving = watch_peer(self.stream.clone(), &mut self.buffer);
        let outcome = future::or(answering, leaving).await;
        if outcome != ServeOutcome::Sent {
            self.reusable = false;
            let _ = self.stream.shutdown(std::net::Shutdown::Both);
        }
        outcome
    }

    /// Takes what belongs to the message out of the buffer.
    fn take_prefix(&mut self, mut head: Vec<u8>, end: MessageEnd) -> Vec<u8> {
        let wanted = match end {
            MessageEnd::After(length) => usize::try_from(length).unwrap_or(usize::MAX) - head.len(),
            MessageEnd::Chunked => usize::MAX,
        };
        head.extend(self.buffer.drain(..wanted.min(self.buffer.len())));
        head
    }
}

async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Vec<u8>, ReceiveError> {
    let mut reader = request.take_body();
    let mut body = Vec::new();
    let mut chunk = vec![0; COPY_BYTES];
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
    let mut chunk = vec![0; COPY_BYTES];
    // Bytes up to the end of the message, once they are known.
    let mut left = None;
    loop {
        match encoder.read(&mut chunk).await {
            Ok(0) => return ServeOutcome::Sent,
            Ok(count) => {
                if stream.write_all(&chunk[..count]).await.is_err() {
                    return ServeOutcome::PeerLeft;
                }
                let expected = left.or_else(|| message_bytes(&chunk[..count], body_bytes));
                left = expected.map(|expected| expected.saturating_sub(count));
                // A peer that has everything may close before the encoder is asked again.
                if left == Some(0) {
                    return ServeOutcome::Sent;
                }
            }
            Err(_) => return ServeOutcome::Broken,
        }
    }
}

/// Length of the message whose head is in its `first` bytes; `None` where it is not known.
fn message_bytes(first: &[u8], body_bytes: Option<usize>) -> Option<usize> {
    let head_end = first.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(head_end + HEAD_END.len() + body_bytes?)
}

/// Resolves when the peer closes; bytes that it sends ahead are kept in `buffer`.
async fn watch_peer(mut stream: TcpStream, buffer: &mut Vec<u8>) -> ServeOutcome {
    let mut chunk = [0; 1024];
    loop {
        if buffer.len() >= MAX_AHEAD_BYTES {
            return future::pending().await;
        }
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return ServeOutcome::PeerLeft,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}
