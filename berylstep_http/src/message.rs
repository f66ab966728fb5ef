//! Messages that are passed on byte for byte.
//!
//! `async-h1` normalises targets and header values, so that a router can't hand its messages on
//! unchanged. Heads are parsed by `httparse` here, and bodies are decoded without a copy of their
//! framing.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use smol::io::AsyncRead;
use smol::net::TcpStream;

use crate::decoder::{BodyDecoder, BodyError};
use crate::head::{
    body_framing, find_head_end, has_token, parse_request, parse_response, BodyFraming, HeadError,
    HEAD_END, MAX_HEADERS,
};

/// Bytes read from a socket at once; holds a usual prompt in two reads.
const READ_BYTES: usize = 16 * 1024;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and the expectation that is
/// met here.
const CONNECTION_HEADERS: &[&str] = &[
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
    /// Name in the peer's spelling.
    pub name: String,
    /// Value without surrounding blanks.
    pub value: Vec<u8>,
}

/// Headers in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList(Vec<HeaderField>);

impl HeaderList {
    /// First header of this name, where it is UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Whether a header of this name is present.
    pub fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|field| field.name.eq_ignore_ascii_case(name))
    }

    /// Number of headers of this name.
    pub fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|field| field.name.eq_ignore_ascii_case(name)).count()
    }

    /// Headers that concern more than one connection, without the length, which is set anew.
    pub fn end_to_end(&self) -> impl Iterator<Item = &HeaderField> {
        let named = self.0.iter().filter(|field| field.name.eq_ignore_ascii_case("connection"));
        let named: Vec<String> = named
            .filter_map(|field| std::str::from_utf8(&field.value).ok())
            .flat_map(|value| value.split(',').map(|token| token.trim().to_ascii_lowercase()))
            .collect();
        self.0.iter().filter(move |field| {
            let name = field.name.to_ascii_lowercase();
            name != "content-length"
                && !CONNECTION_HEADERS.contains(&name.as_str())
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

/// A request head that is to be passed on.
#[derive(Clone, Debug)]
pub struct RequestMessage {
    /// Method as received.
    pub method: String,
    /// Path and query as received.
    pub target: String,
    /// Headers as received.
    pub headers: HeaderList,
    /// Framing of the body; [`BodyFraming::Unframed`] is an empty body.
    pub framing: BodyFraming,
    /// Whether the peer accepts another request on the connection.
    pub keep_alive: bool,
    /// Whether the peer waits for `100 Continue`.
    pub expects_continue: bool,
}

/// A response head that is to be passed on.
#[derive(Clone, Debug)]
pub struct ResponseMessage {
    /// HTTP status.
    pub status: u16,
    /// Reason phrase as received.
    pub reason: String,
    /// Headers as received.
    pub headers: HeaderList,
    /// Framing of the body; [`BodyFraming::Unframed`] ends with the connection.
    pub framing: BodyFraming,
    /// Whether the peer accepts another request on the connection.
    pub keep_alive: bool,
}

impl RequestMessage {
    /// Parses a whole request head.
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

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

impl ResponseMessage {
    /// Parses a whole response head.
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
}

/// A connection and the bytes that were received ahead on it.
#[derive(Debug)]
pub struct MessageStream {
    /// Connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageStream {
    /// Reads messages from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Whether bytes were received that belong to no message read so far.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes received ahead.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Reads more bytes ahead; `false` means that the peer closed the connection.
    ///
    /// Nothing is lost where the read is cancelled, and a connection that waits holds no buffer.
    pub async fn fill(&mut self) -> std::io::Result<bool> {
        let (stream, buffer) = (&mut self.stream, &mut self.buffer);
        let reading = poll_fn(|cx| {
            let filled = buffer.len();
            buffer.resize(filled + READ_BYTES, 0);
            let polled = Pin::new(&mut *stream).poll_read(cx, &mut buffer[filled..]);
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
        Ok(reading.await? > 0)
    }

    /// Reads up to and including the blank line of a head of at most `limit` bytes; `None` where
    /// the connection ends before the first byte.
    pub async fn read_head(&mut self, limit: usize) -> Result<Option<Vec<u8>>, HeadError> {
        let mut searched = 0;
        loop {
            if let Some(end) = find_head_end(&self.buffer, searched) {
                if end > limit {
                    return Err(HeadError::TooLarge);
                }
                let rest = self.buffer.split_off(end);
                return Ok(Some(std::mem::replace(&mut self.buffer, rest)));
            }
            if self.buffer.len() > limit {
                return Err(HeadError::TooLarge);
            }
            searched = self.buffer.len().saturating_sub(HEAD_END.len() - 1);
            if !self.fill().await? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(HeadError::Truncated),
                };
            }
        }
    }

    /// Appends the next content of a body to `content`; returns once there is some or the body is
    /// complete.
    pub async fn read_content(
        &mut self,
        decoder: &mut BodyDecoder,
        content: &mut Vec<u8>,
    ) -> Result<(), BodyError> {
        let had = content.len();
        loop {
            decoder.decode(&mut self.buffer, content)?;
            if decoder.is_complete() || content.len() > had {
                return Ok(());
            }
            match self.fill().await {
                Ok(true) => {}
                Ok(false) => return decoder.close(),
                Err(err) => return Err(BodyError::Io(err)),
            }
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    pub async fn read_body(
        &mut self,
        mut decoder: BodyDecoder,
        limit: usize,
    ) -> Result<Vec<u8>, BodyError> {
        let mut content = Vec::new();
        while !decoder.is_complete() {
            self.read_content(&mut decoder, &mut content).await?;
            if content.len() > limit {
                return Err(BodyError::TooLarge(limit));
            }
        }
        Ok(content)
    }
}
