//! Stream that is limited to a single HTTP message.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::turn::ReadTurn;

/// Last bytes of a chunked body without trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Where the message ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// After this number of further bytes.
    After(u64),
    /// Where the decoder of the chunked body stops reading.
    Chunked,
}

/// Stream that reads one message from buffered bytes and then from the socket.
///
/// If the peer closes the connection before the end of the message, reading fails with
/// `UnexpectedEof` in place of an end of file.
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
    turn: ReadTurn,
}

impl FramedStream {
    /// Creates a stream of `prefix` and the socket's bytes up to `end`, which includes the prefix.
    pub fn new(prefix: Vec<u8>, end: MessageEnd, stream: TcpStream) -> Self {
        let state =
            FrameState { prefix, position: 0, end, tail: Vec::new(), turn: ReadTurn::default() };
        Self { state: Arc::new(Mutex::new(state)), stream }
    }

    /// Returns whether the message, and nothing beyond it, has been read.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        match state.end {
            MessageEnd::After(remaining) => remaining == 0 && state.position == state.prefix.len(),
            MessageEnd::Chunked => state.tail == LAST_CHUNK,
        }
    }

    fn lock(&self) -> MutexGuard<'_, FrameState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl FrameState {
    /// Returns how many of `wanted` bytes may be read before the end of the message.
    fn limit_read(&self, wanted: usize) -> usize {
        match self.end {
            MessageEnd::After(bytes) => wanted.min(usize::try_from(bytes).unwrap_or(usize::MAX)),
            MessageEnd::Chunked => wanted,
        }
    }

    fn read_prefix(&mut self, buf: &mut [u8]) -> usize {
        let unread = &self.prefix[self.position..];
        let count = unread.len().min(buf.len());
        buf[..count].copy_from_slice(&unread[..count]);
        self.position += count;
        count
    }

    /// Records bytes that were handed to the reader.
    fn record_read(&mut self, bytes: &[u8]) {
        match &mut self.end {
            MessageEnd::After(remaining) => *remaining -= bytes.len() as u64,
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
            let allowed = state.limit_read(buf.len());
            let count = state.read_prefix(&mut buf[..allowed]);
            if allowed == 0 || count > 0 {
                state.record_read(&buf[..count]);
                return Poll::Ready(Ok(count));
            }
            if !state.turn.begin_read(cx) {
                return Poll::Pending;
            }
            allowed
        };
        let polled = Pin::new(&mut this.stream).poll_read(cx, &mut buf[..allowed]);
        this.lock().turn.record_read(&polled);
        let count = match polled {
            Poll::Ready(count) => count?,
            Poll::Pending => return Poll::Pending,
        };
        if count == 0 {
            return Poll::Ready(Err(std::io::ErrorKind::UnexpectedEof.into()));
        }
        this.lock().record_read(&buf[..count]);
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
