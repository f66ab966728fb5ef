//! A stream that ends exactly where one HTTP message ends.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Last bytes of a chunked body without trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Where the message ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// After this many more bytes.
    After(u64),
    /// Where the chunked decoder stops reading.
    Chunked,
}

/// Reads one message from a buffered prefix and then from the socket; an early end of the socket is
/// an error, never an end of file.
#[derive(Clone, Debug)]
pub struct FramedStream {
    state: Arc<Mutex<FrameState>>,
    stream: TcpStream,
}

#[derive(Debug)]
struct FrameState {
    prefix: Vec<u8>,
    position: usize,
    end: MessageEnd,
    tail: Vec<u8>,
}

impl FramedStream {
    /// Reads `prefix` and then the socket, up to `end`, which counts the prefix too.
    pub fn new(prefix: Vec<u8>, end: MessageEnd, stream: TcpStream) -> Self {
        let state = FrameState { prefix, position: 0, end, tail: Vec::new() };
        Self { state: Arc::new(Mutex::new(state)), stream }
    }

    /// Whether exactly the whole message was read.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        match state.end {
            MessageEnd::After(left) => left == 0 && state.position == state.prefix.len(),
            MessageEnd::Chunked => state.tail == LAST_CHUNK,
        }
    }

    fn lock(&self) -> MutexGuard<'_, FrameState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl FrameState {
    fn allowed(&self, wanted: usize) -> usize {
        match self.end {
            MessageEnd::After(left) => wanted.min(usize::try_from(left).unwrap_or(usize::MAX)),
            MessageEnd::Chunked => wanted,
        }
    }

    fn read_prefix(&mut self, buf: &mut [u8]) -> usize {
        let rest = &self.prefix[self.position..];
        let count = rest.len().min(buf.len());
        buf[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        count
    }

    fn delivered(&mut self, bytes: &[u8]) {
        match &mut self.end {
            MessageEnd::After(left) => *left -= bytes.len() as u64,
            MessageEnd::Chunked => {
                let kept = &bytes[bytes.len().saturating_sub(LAST_CHUNK.len())..];
                self.tail.extend_from_slice(kept);
                let excess = self.tail.len().saturating_sub(LAST_CHUNK.len());
                self.tail.drain(..excess);
            }
        }
    }
}

impl AsyncRead for FramedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        let allowed = {
            let mut state = this.lock();
            let allowed = state.allowed(buf.len());
            let count = state.read_prefix(&mut buf[..allowed]);
            if allowed == 0 || count > 0 {
                state.delivered(&buf[..count]);
                return Poll::Ready(Ok(count));
            }
            allowed
        };
        let count = match Pin::new(&mut this.stream).poll_read(cx, &mut buf[..allowed]) {
            Poll::Ready(count) => count?,
            Poll::Pending => return Poll::Pending,
        };
        if count == 0 {
            return Poll::Ready(Err(std::io::ErrorKind::UnexpectedEof.into()));
        }
        this.lock().delivered(&buf[..count]);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for FramedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
