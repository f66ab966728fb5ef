//! Messages that are forwarded byte for byte.
//!
//! `async-h1` normalises request targets and header values, so a router can't forward its messages
//! unchanged. Heads are therefore parsed with `httparse`, and bodies are decoded without a copy of
//! their framing.

use std::future::poll_fn;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::Poll;

use smol::io::{AsyncRead, AsyncWriteExt};
use smol::net::TcpStream;

use crate::decoder::{BodyDecoder, BodyError};
use crate::head::{
    body_framing, find_head_end, has_token, parse_request, parse_response, BodyFraming, HeadError,
    HEAD_END, MAX_HEADERS,
};
use crate::turn::ReadTurn;

/// Bytes read from a socket at once; a typical prompt takes two reads.
const READ_BYTES: usize = 16 * 1024;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and `Expect`, which this side answers itself.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in the case in which the peer sent it.
    pub name: String,
    /// Value without surrounding whitespace.
    pub value: Vec<u8>,
}

/// Headers in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList(Vec<HeaderField>);

impl HeaderList {
    /// Returns the value of the first header with this name; `None` if there is none or its value
    /// is not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Returns whether a header with this name is present.
    pub fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|field| field.name.eq_ignore_ascii_case(name))
    }

    /// Returns the number of headers with this name.
    pub fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|field| field.name.eq_ignore_ascii_case(name)).count()
    }

    /// Returns the end-to-end headers except `Content-Length`, which the sender of the forwarded
    /// message sets.
    pub fn end_to_end(&self) -> impl Iterator<Item = &HeaderField> {
        let named = self.0.iter().filter(|field| field.name.eq_ignore_ascii_case("connection"));
        let named: Vec<String> = named
            .filter_map(|field| std::str::from_utf8(&field.value).ok())
            .flat_map(|value| value.split(',').map(|token| token.trim().to_ascii_lowercase()))
            .collect();
        self.0.iter().filter(move |field| {
            let name = field.name.to_ascii_lowercase();
            name != "content-length"
                && !HOP_BY_HOP_HEADERS.contains(&name.as_str())
                && !named.contains(&name)
        })
    }

    fn from_parsed(headers: &[httparse::Header<'_>]) -> Self {
        let field = |header: &httparse::Header<'_>| HeaderField {
            name: header.name.to_owned(),
            value: header.value.to_owned(),
        };
        Self(headers.iter().map(field).collect())
    }
}

/// A request head to be forwarded.
#[derive(Clone, Debug)]
pub struct RequestMessage {
    /// HTTP method as received.
    pub method: String,
    /// Request target, which is a path and query, as received.
    pub target: String,
    /// Headers as received.
    pub headers: HeaderList,
    /// Framing of the body; [`BodyFraming::Unframed`] means an empty body.
    pub framing: BodyFraming,
    /// Whether the peer accepts another request on the connection.
    pub keep_alive: bool,
    /// Whether the peer waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// A response head to be forwarded.
#[derive(Clone, Debug)]
pub struct ResponseMessage {
    /// HTTP status code.
    pub status: u16,
    /// Reason phrase as received.
    pub reason: String,
    /// Headers as received.
    pub headers: HeaderList,
    /// Framing of the body; [`BodyFraming::Unframed`] extends to the end of the connection.
    pub framing: BodyFraming,
    /// Whether the peer accepts another request on the connection.
    pub keep_alive: bool,
}

impl RequestMessage {
    /// Parses a complete request head.
    ///
    /// Fails with [`HeadError::Version`] or [`HeadError::Malformed`].
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let request = parse_request(bytes, &mut headers)?;
        let target = request.path.unwrap_or_default();
        if !target.starts_with('/') {
            return Err(HeadError::Malformed("request target is not a path"));
        }
        let expects_continue = has_token(request.headers, "expect", "100-continue");
        let message = Self {
            method: request.method.unwrap_or_default().to_owned(),
            target: target.to_owned(),
            framing: body_framing(request.headers)?,
            keep_alive: !has_token(request.headers, "connection", "close"),
            expects_continue,
            headers: HeaderList::from_parsed(request.headers),
        };
        match message.headers.count("host") {
            1 => Ok(message),
            _ => Err(HeadError::Malformed("not exactly one Host header")),
        }
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

impl ResponseMessage {
    /// Parses a complete response head.
    ///
    /// Fails with [`HeadError::Malformed`].
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let response = parse_response(bytes, &mut headers)?;
        let framing = body_framing(response.headers)?;
        let closes = has_token(response.headers, "connection", "close");
        Ok(Self {
            status: response.code.unwrap_or_default(),
            reason: response.reason.unwrap_or_default().to_owned(),
            headers: HeaderList::from_parsed(response.headers),
            framing,
            keep_alive: response.version == Some(1) && !closes && framing != BodyFraming::Unframed,
        })
    }

    /// Returns whether the status allows no body, whatever the headers say (RFC 9112, section 6.3).
    pub fn is_bodiless(&self) -> bool {
        matches!(self.status, 100..=199 | 204 | 304)
    }
}

/// First failure of a connection, shared by its two directions.
///
/// The system reports the failure of a connection to one call only, a read or a write. Later reads return
/// what had arrived and then an end of file, as if the peer had closed the connection in order.
#[derive(Clone, Debug, Default)]
struct ConnectionFailure(Arc<OnceLock<ErrorKind>>);

impl ConnectionFailure {
    fn record(&self, err: &std::io::Error) {
        self.0.get_or_init(|| err.kind());
    }

    /// Returns the failure as the error of a read that found the end of the connection.
    fn error(&self) -> Option<std::io::Error> {
        self.0.get().map(|kind| (*kind).into())
    }
}

/// Writing half of a [`MessageStream`].
#[derive(Debug)]
pub struct MessageWriter {
    stream: TcpStream,
    failure: ConnectionFailure,
}

impl MessageWriter {
    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails. Reads of the stream then fail as well, once they have returned
    /// what arrived before.
    pub async fn write_all(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let written = self.stream.write_all(bytes).await;
        written.inspect_err(|err| self.failure.record(err))
    }
}

/// A connection and the bytes that were received on it but not yet parsed.
#[derive(Debug)]
pub struct MessageStream {
    /// Underlying TCP connection, for socket options and for writes while nothing is read; other writes go
    /// through a [`MessageWriter`], and reads through the buffer.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    turn: ReadTurn,
    failure: ConnectionFailure,
}

impl MessageStream {
    /// Creates a message stream with an empty buffer.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            turn: ReadTurn::default(),
            failure: ConnectionFailure::default(),
        }
    }

    /// Returns a writer whose failures the reads of this stream learn of.
    pub fn writer(&self) -> MessageWriter {
        MessageWriter { stream: self.stream.clone(), failure: self.failure.clone() }
    }

    /// Returns whether bytes have been received beyond the messages read so far.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes received beyond the messages read so far.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Reads more bytes into the buffer; returns `false` if the peer closed the connection in order.
    ///
    /// The read is cancel-safe, and a connection without buffered bytes holds no memory for them
    /// while it waits.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or has failed at an earlier read or at a write of a
    /// [`MessageWriter`].
    pub async fn fill(&mut self) -> std::io::Result<bool> {
        let (stream, buffer, turn) = (&mut self.stream, &mut self.buffer, &mut self.turn);
        let reading = poll_fn(|cx| {
            if !turn.begin_read(cx) {
                return Poll::Pending;
            }
            let filled = buffer.len();
            buffer.resize(filled + READ_BYTES, 0);
            let polled = Pin::new(&mut *stream).poll_read(cx, &mut buffer[filled..]);
            turn.record_read(&polled);
            let count = match &polled {
                Poll::Ready(Ok(count)) => *count,
                _ => 0,
            };
            buffer.truncate(filled + count);
            if buffer.is_empty() {
                *buffer = Vec::new();
            }
            polled
        });
        let count = reading.await.inspect_err(|err| self.failure.record(err))?;
        if count > 0 {
            return Ok(true);
        }
        self.failure.error().map_or(Ok(false), Err)
    }

    /// Reads a head of at most `max_bytes` bytes, up to and including its blank line.
    ///
    /// Returns `None` if the connection ends before the first byte.
    pub async fn read_head(&mut self, max_bytes: usize) -> Result<Option<Vec<u8>>, HeadError> {
        let mut searched = 0;
        loop {
            if let Some(head) = self.take_head(max_bytes, &mut searched)? {
                return Ok(Some(head));
            }
            if !self.fill().await? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(HeadError::Truncated),
                };
            }
        }
    }

    /// Takes a head of at most `max_bytes` bytes out of the buffer, if it is complete. `searched` is 0 at the
    /// first call for a head, and belongs to this method afterwards.
    pub fn take_head(
        &mut self,
        max_bytes: usize,
        searched: &mut usize,
    ) -> Result<Option<Vec<u8>>, HeadError> {
        if let Some(end) = find_head_end(&self.buffer, *searched) {
            if end > max_bytes {
                return Err(HeadError::TooLarge);
            }
            let rest = self.buffer.split_off(end);
            return Ok(Some(std::mem::replace(&mut self.buffer, rest)));
        }
        if self.buffer.len() > max_bytes {
            return Err(HeadError::TooLarge);
        }
        *searched = self.buffer.len().saturating_sub(HEAD_END.len() - 1);
        Ok(None)
    }

    /// Reads and drops what the peer sends until it closes the connection.
    pub async fn discard(&mut self) {
        self.buffer = Vec::new();
        while let Ok(true) = self.fill().await {
            self.buffer.clear();
        }
    }

    /// Appends the next content of a body to `content`.
    ///
    /// Returns once content was appended or the body is complete.
    pub async fn read_content(
        &mut self,
        decoder: &mut BodyDecoder,
        content: &mut Vec<u8>,
    ) -> Result<(), BodyError> {
        let initial_bytes = content.len();
        loop {
            decoder.decode(&mut self.buffer, content)?;
            if decoder.is_complete() || content.len() > initial_bytes {
                return Ok(());
            }
            match self.fill().await {
                Ok(true) => {}
                Ok(false) => return decoder.handle_eof(),
                Err(err) => return Err(BodyError::Io(err)),
            }
        }
    }

    /// Reads a complete body of at most `max_bytes` bytes.
    ///
    /// Fails with [`BodyError::TooLarge`] if the body is longer.
    pub async fn read_body(
        &mut self,
        mut decoder: BodyDecoder,
        max_bytes: usize,
    ) -> Result<Vec<u8>, BodyError> {
        let mut content = Vec::new();
        while !decoder.is_complete() {
            self.read_content(&mut decoder, &mut content).await?;
            if content.len() > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
        }
        Ok(content)
    }
}
