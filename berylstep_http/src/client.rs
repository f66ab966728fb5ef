//! Client side of an HTTP/1.1 connection.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use displaydoc::Display;
use http_types::headers::HeaderValues;
use http_types::{Body, Method, Request, Response};
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use smol::net::TcpStream;

use crate::framed::{FramedStream, MessageEnd};
use crate::head::{read_head, validate_response, BodyFraming, HeadError, ResponseHead};
use crate::socket;

/// Header that identifies the request to which a response belongs.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const COPY_BUFFER_BYTES: usize = 8 * 1024;

/// Buffer for small reads of a response body; larger reads bypass it.
const BODY_BUFFER_BYTES: usize = 512;

/// First status of a final response.
const FIRST_FINAL_STATUS: u16 = 200;

/// Interim responses that are skipped before the response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Why an exchange failed.
#[derive(Debug, Display)]
pub enum ExchangeError {
    /// cannot connect: {0}
    Connect(std::io::Error),
    /// cannot encode the request: {0}
    Encode(std::io::Error),
    /// connection failed after the request was sent in part or whole: {0}
    Broken(std::io::Error),
    /// answer is not acceptable: {0}
    Head(HeadError),
    /// answer has neither a length nor chunks, so its end can't be told
    Unframed,
    /// answer belongs to another request
    RequestIdMismatch,
    /// answer cannot be decoded: {0}
    Decode(String),
    /// sending was no longer permitted, so no complete request was sent
    NotPermitted,
}

impl std::error::Error for ExchangeError {}

impl ExchangeError {
    /// Returns whether the peer may have received any part of the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_) | Self::Encode(_) | Self::NotPermitted)
    }
}

/// Conditions under which a request may be sent.
#[derive(Clone, Copy)]
pub struct SendTerms<'a> {
    /// Returns whether sending is permitted at the time of the call.
    pub is_permitted: &'a (dyn Fn() -> bool + Send + Sync),
    /// Time for which written bytes may stay unacknowledged before the connection fails.
    pub ack_timeout: Duration,
}

/// An idle connection that is ready for one request.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
}

/// A response whose head has been received.
#[derive(Debug)]
pub struct ClientResponse {
    /// Response; reading its body fails if the peer closes the connection early.
    pub response: Response,
    /// Connection, which can be reused once the body has been read.
    pub reuse: ConnectionReuse,
}

/// Connection whose response is still being read.
#[derive(Debug)]
pub struct ConnectionReuse {
    stream: TcpStream,
    framed: FramedStream,
    body_read: Arc<AtomicBool>,
    keep_alive: bool,
}

impl ConnectionReuse {
    /// Returns the connection if the response was read completely and no bytes follow it.
    pub fn into_connection(self) -> Option<ClientConnection> {
        let is_complete = self.body_read.load(Ordering::Acquire) && self.framed.is_complete();
        let is_reusable = is_complete && self.keep_alive && socket::is_idle_and_open(&self.stream);
        is_reusable.then_some(ClientConnection { stream: self.stream })
    }
}

impl ClientConnection {
    /// Connects to `address` and sets the socket options.
    ///
    /// Fails with [`ExchangeError::Connect`] if the connection or a socket option is refused.
    pub async fn connect(address: SocketAddr) -> Result<Self, ExchangeError> {
        let stream = TcpStream::connect(address).await.map_err(ExchangeError::Connect)?;
        socket::configure(&stream).map_err(ExchangeError::Connect)?;
        Ok(Self { stream })
    }

    /// Makes a silent connection fail within about twice `timeout`.
    pub fn with_dead_peer_timeout(self, timeout: Duration) -> Result<Self, ExchangeError> {
        socket::configure_with_timeout(&self.stream, timeout).map_err(ExchangeError::Connect)?;
        Ok(self)
    }

    /// Returns whether the idle connection is still open and has no unread bytes.
    pub fn is_open(&self) -> bool {
        socket::is_idle_and_open(&self.stream)
    }

    /// Sends `request` and receives the head of its response.
    ///
    /// A response with a different `X-Request-Id` than the request is an error.
    pub async fn exchange(mut self, request: Request) -> Result<ClientResponse, ExchangeError> {
        let method = request.method();
        let request_id = header_value(request.header(REQUEST_ID_HEADER));
        self.write_request(request).await?;
        self.read_response(method, request_id).await
    }

    /// Sends `request` while `terms` permit it and receives the head of its response.
    ///
    /// The permission is checked immediately before each write. If it is withdrawn in between, the
    /// peer receives an incomplete request.
    pub async fn exchange_while_permitted(
        mut self,
        request: Request,
        terms: SendTerms<'_>,
    ) -> Result<ClientResponse, ExchangeError> {
        let method = request.method();
        let request_id = header_value(request.header(REQUEST_ID_HEADER));
        let mut encoder = async_h1::client::Encoder::new(request);
        let mut bytes = Vec::new();
        encoder.read_to_end(&mut bytes).await.map_err(ExchangeError::Encode)?;
        socket::set_delivery_timeout(&self.stream, terms.ack_timeout)
            .map_err(ExchangeError::Encode)?;
        let mut unsent = &bytes[..];
        while !unsent.is_empty() {
            let count = self.write_permitted(unsent, terms).await?;
            unsent = &unsent[count..];
        }
        self.read_response(method, request_id).await
    }

    async fn write_permitted(
        &mut self,
        bytes: &[u8],
        terms: SendTerms<'_>,
    ) -> Result<usize, ExchangeError> {
        let written = poll_fn(|cx| {
            if !(terms.is_permitted)() {
                return Poll::Ready(Err(ExchangeError::NotPermitted));
            }
            let writing = Pin::new(&mut self.stream).poll_write(cx, bytes);
            writing.map(|result| result.map_err(ExchangeError::Broken))
        });
        written.await
    }

    async fn read_response(
        mut self,
        method: Method,
        request_id: Option<String>,
    ) -> Result<ClientResponse, ExchangeError> {
        let mut buffer = Vec::new();
        let head = self.read_final_head(&mut buffer).await?;
        let end = message_end(&head, method)?;
        let mut prefix = head.bytes;
        prefix.extend_from_slice(&buffer);
        let framed = FramedStream::new(prefix, end, self.stream.clone());
        let decoded = async_h1::client::decode(framed.clone()).await;
        let mut response = decoded.map_err(|err| ExchangeError::Decode(err.to_string()))?;
        remove_unsafe_headers(&mut response);
        let response_id = header_value(response.header(REQUEST_ID_HEADER));
        if response_id.is_some() && request_id.is_some() && response_id != request_id {
            return Err(ExchangeError::RequestIdMismatch);
        }
        let body_read = Arc::new(AtomicBool::new(false));
        track_body_end(&mut response, body_read.clone());
        let keep_alive = head.keep_alive;
        let reuse = ConnectionReuse { stream: self.stream, framed, body_read, keep_alive };
        Ok(ClientResponse { response, reuse })
    }

    async fn write_request(&mut self, request: Request) -> Result<(), ExchangeError> {
        let mut encoder = async_h1::client::Encoder::new(request);
        let mut chunk = vec![0; COPY_BUFFER_BYTES];
        let mut sent = false;
        loop {
            let count = match encoder.read(&mut chunk).await {
                Ok(0) => return Ok(()),
                Ok(count) => count,
                Err(err) if sent => return Err(ExchangeError::Broken(err)),
                Err(err) => return Err(ExchangeError::Encode(err)),
            };
            sent = true;
            self.stream.write_all(&chunk[..count]).await.map_err(ExchangeError::Broken)?;
        }
    }

    async fn read_final_head(
        &mut self,
        buffer: &mut Vec<u8>,
    ) -> Result<ResponseHead, ExchangeError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let bytes = read_head(&mut self.stream, buffer).await.map_err(ExchangeError::Head)?;
            let Some(bytes) = bytes else {
                return Err(ExchangeError::Broken(std::io::ErrorKind::UnexpectedEof.into()));
            };
            let head = validate_response(&bytes).map_err(ExchangeError::Head)?;
            if head.status >= FIRST_FINAL_STATUS {
                return Ok(head);
            }
        }
        Err(ExchangeError::Head(HeadError::Malformed("interim responses without end")))
    }
}

fn message_end(head: &ResponseHead, method: Method) -> Result<MessageEnd, ExchangeError> {
    let head_bytes = head.bytes.len() as u64;
    let bodiless = method == Method::Head || head.status == 204 || head.status == 304;
    match head.framing {
        _ if bodiless => Ok(MessageEnd::After(head_bytes)),
        BodyFraming::Length(length) => Ok(MessageEnd::After(head_bytes.saturating_add(length))),
        BodyFraming::Chunked => Ok(MessageEnd::Chunked { head_bytes: head.bytes.len() }),
        BodyFraming::Unframed => Err(ExchangeError::Unframed),
    }
}

fn header_value(values: Option<&HeaderValues>) -> Option<String> {
    values.map(|values| values.last().as_str().to_owned())
}

/// Removes headers that contain line breaks, which would end the head early when forwarded.
///
/// `async-h1` adds such a `Date` header to responses that have none.
fn remove_unsafe_headers(response: &mut Response) {
    let is_unsafe =
        |values: &HeaderValues| values.iter().any(|value| value.as_str().contains(['\r', '\n']));
    let names = response.iter().filter(|(_, values)| is_unsafe(values));
    let names: Vec<_> = names.map(|(name, _)| name.clone()).collect();
    for name in names {
        response.remove_header(name);
    }
}

/// Wraps the body so that `body_read` is set once its end has been read.
fn track_body_end(response: &mut Response, body_read: Arc<AtomicBool>) {
    let content_type = header_value(response.header("content-type"));
    let inner = response.take_body();
    let length = inner.len();
    body_read.store(length == Some(0), Ordering::Release);
    let tracked = BufReader::with_capacity(
        BODY_BUFFER_BYTES,
        TrackedBody { inner, remaining: length, body_read },
    );
    response.set_body(Body::from_reader(tracked, length));
    match content_type {
        Some(content_type) => drop(response.insert_header("content-type", content_type)),
        None => drop(response.remove_header("content-type")),
    }
}

#[derive(Debug)]
struct TrackedBody {
    inner: Body,
    /// Remaining bytes of a body with a known length, whose reader stops after the last byte
    /// without reading the end of file.
    remaining: Option<usize>,
    body_read: Arc<AtomicBool>,
}

impl AsyncRead for TrackedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let Poll::Ready(Ok(count)) = result else { return result };
        self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(count));
        let is_end = count == 0 && !buf.is_empty();
        if is_end || self.remaining == Some(0) {
            self.body_read.store(true, Ordering::Release);
        }
        result
    }
}
