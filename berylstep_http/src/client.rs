//! Client side of one connection.

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
use crate::head::{check_response, read_head, BodyFraming, HeadError, ResponseHead};
use crate::socket;

/// Header that ties an answer to its request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const COPY_BYTES: usize = 8 * 1024;

/// Buffer of a body that is being read; larger reads pass it by.
const WATCH_BYTES: usize = 512;
const SWITCHING_PROTOCOLS: u16 = 101;

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
    Crossed,
    /// answer cannot be decoded: {0}
    Decode(String),
    /// sending was no longer permitted, so no complete request was sent
    NotPermitted,
}

impl std::error::Error for ExchangeError {}

impl ExchangeError {
    /// Whether the peer can have received any byte of the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_) | Self::Encode(_) | Self::NotPermitted)
    }
}

/// Under what terms a request may be sent.
#[derive(Clone, Copy)]
pub struct SendTerms<'a> {
    /// Whether sending is permitted at the moment of the call.
    pub is_permitted: &'a (dyn Fn() -> bool + Send + Sync),
    /// Time after which bytes that were written and not acknowledged are given up.
    pub ack_timeout: Duration,
}

/// A connection that is ready for one request.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
}

/// An answer whose head was received.
#[derive(Debug)]
pub struct ClientResponse {
    /// Answer; its body fails where the peer breaks off.
    pub response: Response,
    /// Gives the connection back once the body was read.
    pub reuse: ConnectionReuse,
}

/// Connection of an answer that is being read.
#[derive(Debug)]
pub struct ConnectionReuse {
    stream: TcpStream,
    framed: FramedStream,
    body_read: Arc<AtomicBool>,
    keep_alive: bool,
}

impl ConnectionReuse {
    /// Returns the connection if the answer was read whole and nothing follows it.
    pub fn into_connection(self) -> Option<ClientConnection> {
        let whole = self.body_read.load(Ordering::Acquire) && self.framed.is_complete();
        let clean = whole && self.keep_alive && socket::is_idle_and_open(&self.stream);
        clean.then_some(ClientConnection { stream: self.stream })
    }
}

impl ClientConnection {
    /// Connects to `address`.
    pub async fn connect(address: SocketAddr) -> Result<Self, ExchangeError> {
        let stream = TcpStream::connect(address).await.map_err(ExchangeError::Connect)?;
        socket::configure(&stream).map_err(ExchangeError::Connect)?;
        Ok(Self { stream })
    }

    /// Finds out within about twice `limit` that the connection has gone silent.
    pub fn with_dead_peer_timeout(self, limit: Duration) -> Result<Self, ExchangeError> {
        socket::configure_with_timeout(&self.stream, limit).map_err(ExchangeError::Connect)?;
        Ok(self)
    }

    /// Whether the idle connection is still open.
    pub fn is_open(&self) -> bool {
        socket::is_idle_and_open(&self.stream)
    }

    /// Sends `request` and receives the head of its answer.
    ///
    /// An answer that carries another `X-Request-Id` than the request is an error.
    pub async fn exchange(mut self, request: Request) -> Result<ClientResponse, ExchangeError> {
        let method = request.method();
        let request_id = header_value(request.header(REQUEST_ID_HEADER));
        self.write_request(request).await?;
        self.read_answer(method, request_id).await
    }

    /// Sends `request` for as long as `terms` permit it and receives the head of its answer.
    ///
    /// The permission is asked right before each write call; a request that was cut short by it is
    /// incomplete for the peer.
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
        socket::limit_delivery(&self.stream, terms.ack_timeout).map_err(ExchangeError::Encode)?;
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let count = self.write_permitted(rest, terms).await?;
            rest = &rest[count..];
        }
        self.read_answer(method, request_id).await
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

    async fn read_answer(
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
        let answer_id = header_value(response.header(REQUEST_ID_HEADER));
        if answer_id.is_some() && request_id.is_some() && answer_id != request_id {
            return Err(ExchangeError::Crossed);
        }
        let body_read = Arc::new(AtomicBool::new(false));
        watch_body(&mut response, body_read.clone());
        let keep_alive = head.keep_alive;
        let reuse = ConnectionReuse { stream: self.stream, framed, body_read, keep_alive };
        Ok(ClientResponse { response, reuse })
    }

    async fn write_request(&mut self, request: Request) -> Result<(), ExchangeError> {
        let mut encoder = async_h1::client::Encoder::new(request);
        let mut chunk = vec![0; COPY_BYTES];
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
        loop {
            let bytes = read_head(&mut self.stream, buffer).await.map_err(ExchangeError::Head)?;
            let Some(bytes) = bytes else {
                return Err(ExchangeError::Broken(std::io::ErrorKind::UnexpectedEof.into()));
            };
            let head = check_response(&bytes).map_err(ExchangeError::Head)?;
            let is_interim = head.status < 200 && head.status != SWITCHING_PROTOCOLS;
            if !is_interim {
                return Ok(head);
            }
        }
    }
}

fn message_end(head: &ResponseHead, method: Method) -> Result<MessageEnd, ExchangeError> {
    let head_bytes = head.bytes.len() as u64;
    let bodiless = method == Method::Head || head.status == 204 || head.status == 304;
    match head.framing {
        _ if bodiless => Ok(MessageEnd::After(head_bytes)),
        BodyFraming::Length(length) => Ok(MessageEnd::After(head_bytes + length)),
        BodyFraming::Chunked => Ok(MessageEnd::Chunked),
        BodyFraming::Unframed => Err(ExchangeError::Unframed),
    }
}

fn header_value(values: Option<&HeaderValues>) -> Option<String> {
    values.map(|values| values.last().as_str().to_owned())
}

/// Removes headers with line breaks, which would end the head where it is passed on.
///
/// `async-h1` adds such a `Date` header to answers without one.
fn remove_unsafe_headers(response: &mut Response) {
    let is_unsafe =
        |values: &HeaderValues| values.iter().any(|value| value.as_str().contains(['\r', '\n']));
    let names = response.iter().filter(|(_, values)| is_unsafe(values));
    let names: Vec<_> = names.map(|(name, _)| name.clone()).collect();
    for name in names {
        response.remove_header(name);
    }
}

/// Wraps the body so that `body_read` tells when its end was reached.
fn watch_body(response: &mut Response, body_read: Arc<AtomicBool>) {
    let content_type = header_value(response.header("content-type"));
    let inner = response.take_body();
    let length = inner.len();
    body_read.store(length == Some(0), Ordering::Release);
    let watched =
        BufReader::with_capacity(WATCH_BYTES, WatchedBody { inner, left: length, body_read });
    response.set_body(Body::from_reader(watched, length));
    match content_type {
        Some(content_type) => drop(response.insert_header("content-type", content_type)),
        None => drop(response.remove_header("content-type")),
    }
}

#[derive(Debug)]
struct WatchedBody {
    inner: Body,
    /// Bytes left of a body with a length; its reader never asks for the end after the last one.
    left: Option<usize>,
    body_read: Arc<AtomicBool>,
}

impl AsyncRead for WatchedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let Poll::Ready(Ok(count)) = result else { return result };
        self.left = self.left.map(|left| left.saturating_sub(count));
        let is_end = count == 0 && !buf.is_empty();
        if is_end || self.left == Some(0) {
            self.body_read.store(true, Ordering::Release);
        }
        result
    }
}
