//! HTTP/1.1 messages on raw sockets.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A received message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Start line and header lines.
    pub head: String,
    /// Body, without the framing of chunks.
    pub body: Vec<u8>,
    /// Whether the body arrived up to its end.
    pub is_whole: bool,
}

impl Message {
    /// Returns the value of a header; the name is matched regardless of case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    /// Returns the status of a response; 0 if it is malformed.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the value of a parameter of the query, which is not decoded.
    pub fn parameter(&self, name: &str) -> &str {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }
}

/// Reads a message; `None` if the connection ends before the end of its head.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut bytes = Vec::new();
    loop {
        let count = reader.read_until(b'\n', &mut bytes).ok()?;
        if count == 0 || bytes.len() > 1 << 20 {
            return None;
        }
        if bytes.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8_lossy(&bytes).trim_end().to_owned();
    let mut message = Message { head, body: Vec::new(), is_whole: false };
    if message.header("transfer-encoding").is_some() {
        message.is_whole = read_chunks(reader, &mut message.body);
        return Some(message);
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok());
    let length: usize = length.unwrap_or_default();
    let mut body = Vec::with_capacity(length.min(1 << 16));
    let read = reader.take(length as u64).read_to_end(&mut body);
    message.is_whole = read.is_ok() && body.len() == length;
    message.body = body;
    Some(message)
}

/// Appends the content of chunks to `body`; returns whether the last one arrived.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or_default() == 0 || !line.ends_with('\n') {
            return false;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
        let mut chunk = Vec::new();
        let read = reader.take(size as u64 + 2).read_to_end(&mut chunk);
        body.extend_from_slice(&chunk[..size.min(chunk.len())]);
        if read.is_err() || chunk.len() < size + 2 {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}

/// Sends `text` on a new connection and reads the response.
pub fn ask(address: SocketAddr, text: &str) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, std::time::Duration::from_secs(1))?;
    stream.set_read_timeout(Some(std::time::Duration::from_secs(5)))?;
    stream.write_all(text.as_bytes())?;
    read_message(&mut BufReader::new(stream)).ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// Listens on `address` and serves each connection on a thread of its own.
pub fn listen(
    address: &str,
    serve: impl Fn(TcpStream) + Clone + Send + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}
