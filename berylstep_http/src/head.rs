//! Reading and validation of HTTP message heads.

use std::ops::RangeInclusive;

use displaydoc::Display;
use smol::io::{AsyncRead, AsyncReadExt};

/// Longest accepted message head, in bytes; `async-h1` accepts none longer.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

/// Most headers that a head may have.
pub(crate) const MAX_HEADERS: usize = 128;
const READ_CHUNK_BYTES: usize = 4 * 1024;

/// Status codes of HTTP (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Status after which the connection no longer carries HTTP; allowed only if the request has an `Upgrade` header,
/// which is never forwarded (RFC 9110, section 15.2.2).
const SWITCHING_PROTOCOLS: u16 = 101;

/// Line end and blank line at the end of a head.
pub(crate) const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a message head was not accepted.
#[derive(Debug, Display)]
pub enum HeadError {
    /// message head is 8 KiB or larger
    TooLarge,
    /// malformed message head: {0}
    Malformed(&'static str),
    /// only HTTP/1.1 is supported
    Version,
    /// only the expectation 100-continue is supported
    Expectation,
    /// connection closed inside a message head
    Truncated,
    /// connection: {0}
    Io(std::io::Error),
}

impl std::error::Error for HeadError {}

impl From<std::io::Error> for HeadError {
    fn from(err: std::io::Error) -> Self {
        Self::Io(err)
    }
}

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this length in bytes.
    Length(u64),
    /// The body uses chunked transfer encoding.
    Chunked,
    /// The head has neither a content length nor a transfer encoding.
    Unframed,
}

/// A validated request head.
#[derive(Debug)]
pub struct RequestHead {
    /// Head to pass to `async-h1`, without the `Expect` header.
    pub bytes: Vec<u8>,
    /// Framing of the body; [`BodyFraming::Unframed`] means an empty body.
    pub framing: BodyFraming,
    /// Whether the peer accepts another request on the connection.
    pub keep_alive: bool,
    /// Whether the peer waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// A validated response head.
#[derive(Debug)]
pub struct ResponseHead {
    /// Head as received.
    pub bytes: Vec<u8>,
    /// HTTP status code.
    pub status: u16,
    /// Framing of the body; without framing its end is unknown.
    pub framing: BodyFraming,
    /// Whether the peer accepts another request on the connection.
    pub keep_alive: bool,
}

/// Reads a head up to and including its blank line; later bytes stay in `buffer`.
///
/// Returns `None` if the stream ends before the first byte. Fails if the head exceeds
/// [`MAX_HEAD_BYTES`], the stream ends inside it, or reading fails.
pub async fn read_head<R>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
) -> Result<Option<Vec<u8>>, HeadError>
where
    R: AsyncRead + Unpin,
{
    let mut searched = 0;
    loop {
        if let Some(end) = find_head_end(buffer, searched) {
            if end > MAX_HEAD_BYTES {
                return Err(HeadError::TooLarge);
            }
            let rest = buffer.split_off(end);
            return Ok(Some(std::mem::replace(buffer, rest)));
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLarge);
        }
        searched = buffer.len().saturating_sub(HEAD_END.len() - 1);
        let filled = buffer.len();
        buffer.resize(filled + READ_CHUNK_BYTES, 0);
        let count = stream.read(&mut buffer[filled..]).await;
        buffer.truncate(filled + *count.as_ref().unwrap_or(&0));
        match (count?, filled) {
            (0, 0) => return Ok(None),
            (0, _) => return Err(HeadError::Truncated),
            _ => {}
        }
    }
}

/// Parses and validates a request head.
///
/// Fails with [`HeadError::Version`], [`HeadError::Malformed`] or [`HeadError::Expectation`].
pub fn validate_request(bytes: &[u8]) -> Result<RequestHead, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let request = parse_request(bytes, &mut headers)?;
    let (method, path) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
    if !path.starts_with('/') && !path.starts_with("http://") {
        return Err(HeadError::Malformed("request target is not a path"));
    }
    if request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case("host")).count() != 1 {
        return Err(HeadError::Malformed("not exactly one Host header"));
    }
    let framing = body_framing(request.headers)?;
    let expects_continue = has_token(request.headers, "expect", "100-continue");
    let has_expectation = request.headers.iter().any(|h| h.name.eq_ignore_ascii_case("expect"));
    if has_expectation && !expects_continue {
        return Err(HeadError::Expectation);
    }
    let mut head = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for header in request.headers.iter().filter(|h| !h.name.eq_ignore_ascii_case("expect")) {
        std::str::from_utf8(header.value).map_err(|_| HeadError::Malformed("header not UTF-8"))?;
        head.extend_from_slice(header.name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(header.value);
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    Ok(RequestHead {
        bytes: head,
        framing,
        keep_alive: !has_token(request.headers, "connection", "close"),
        expects_continue,
    })
}

/// Parses and validates a response head.
///
/// Fails with [`HeadError::Version`] or [`HeadError::Malformed`].
pub fn validate_response(bytes: &[u8]) -> Result<ResponseHead, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let response = parse_response(bytes, &mut headers)?;
    if response.version != Some(1) {
        return Err(HeadError::Version);
    }
    let status = response.code.unwrap_or_default();
    let framing = body_framing(response.headers)?;
    let keep_alive = !has_token(response.headers, "connection", "close");
    Ok(ResponseHead { bytes: bytes.to_vec(), status, framing, keep_alive })
}

/// Parses a complete HTTP/1.1 request head.
pub(crate) fn parse_request<'h, 'b>(
    bytes: &'b [u8],
    headers: &'h mut [httparse::Header<'b>],
) -> Result<httparse::Request<'h, 'b>, HeadError> {
    let mut request = httparse::Request::new(headers);
    check_end(request.parse(bytes), bytes)?;
    match request.version {
        Some(1) => Ok(request),
        _ => Err(HeadError::Version),
    }
}

/// Parses a complete response head of any HTTP version.
pub(crate) fn parse_response<'h, 'b>(
    bytes: &'b [u8],
    headers: &'h mut [httparse::Header<'b>],
) -> Result<httparse::Response<'h, 'b>, HeadError> {
    let mut response = httparse::Response::new(headers);
    check_end(response.parse(bytes), bytes)?;
    match response.code {
        Some(SWITCHING_PROTOCOLS) => Err(HeadError::Malformed("unrequested switch of protocols")),
        Some(code) if STATUS_CODES.contains(&code) => Ok(response),
        _ => Err(HeadError::Malformed("status code is out of range")),
    }
}

/// Checks that a head ends with its last byte. The parser also ends one at a line feed where a line is due, and
/// what follows would be lost.
fn check_end(parsed: httparse::Result<usize>, bytes: &[u8]) -> Result<(), HeadError> {
    match parsed.map_err(|_| HeadError::Malformed("cannot be parsed"))? {
        httparse::Status::Complete(end) if end == bytes.len() => Ok(()),
        httparse::Status::Complete(_) => Err(HeadError::Malformed("ends before its blank line")),
        httparse::Status::Partial => Err(HeadError::Malformed("incomplete")),
    }
}

/// Returns the offset behind the blank line, searching from offset `from`.
pub(crate) fn find_head_end(buffer: &[u8], from: usize) -> Option<usize> {
    let found = buffer[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(from + found + HEAD_END.len())
}

/// Determines the body's framing; ambiguous framing is an error, since it allows request smuggling.
pub(crate) fn body_framing(headers: &[httparse::Header<'_>]) -> Result<BodyFraming, HeadError> {
    let mut length: Option<u64> = None;
    let mut chunked = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let value = parse_length(header.value)?;
            if length.is_some_and(|other| other != value) {
                return Err(HeadError::Malformed("conflicting content lengths"));
            }
            length = Some(value);
        }
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(HeadError::Malformed("unsupported transfer encoding"));
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(HeadError::Malformed("content length with transfer encoding")),
        (Some(length), false) => Ok(BodyFraming::Length(length)),
        (None, true) => Ok(BodyFraming::Chunked),
        (None, false) => Ok(BodyFraming::Unframed),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    let digits = std::str::from_utf8(value).unwrap_or_default();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HeadError::Malformed("content length is not a number"));
    }
    digits.parse().map_err(|_| HeadError::Malformed("content length is out of range"))
}

/// Returns whether a comma-separated list header contains `token`, ignoring case.
pub(crate) fn has_token(headers: &[httparse::Header<'_>], name: &str, token: &str) -> bool {
    let named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let mut values = named.filter_map(|header| std::str::from_utf8(header.value).ok());
    values.any(|value| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}
