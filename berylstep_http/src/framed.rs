//! Stream that is limited to a single HTTP message.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::decoder::{BodyDecoder, BodyError};
use crate::head::BodyFraming;
use crate::turn::ReadTurn;

/// Where the message ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// After this number of further bytes.
    After(u64),
    /// After the last chunk and the trailers of a body that follows a head of `head_bytes` bytes.
    Chunked {
        /// Length of the head.
        head_bytes: usize,
    },
}

/// Stream that reads one message from buffered bytes and then from the socket.
///
/// If the peer closes the connection before the end of the message, reading fails with
/// `UnexpectedEof` in place of an end of file. Malformed chunks fail with `InvalidData`.
#[derive(Clone, Debug)]
pub struct FramedStream {
    state: Arc<Mutex<FrameState>>,
    stream: TcpStream,
}

#[derive(Debug)]
struct FrameState {
    prefix: Vec<u8>,
    position: usize,
    end: FrameEnd,
    turn: ReadTurn,
}

#[derive(Debug)]
enum FrameEnd {
    /// After this number of further bytes.
    After(u64),
    /// Where the check of the chunks says.
    Chunked(ChunkCheck),
}

/// Checks the chunks that are handed to the reader, whose own decoder takes a line without a chunk size for the
/// last chunk.
#[derive(Debug)]
struct ChunkCheck {
    /// Bytes of the head that have not been handed to the reader yet.
    head_bytes: usize,
    decoder: BodyDecoder,
    /// Bytes that the decoder has not used up.
    input: Vec<u8>,
    content: Vec<u8>,
}

impl ChunkCheck {
    fn new(head_bytes: usize) -> Self {
        let decoder = BodyDecoder::request(BodyFraming::Chunked);
        Self { head_bytes, decoder, input: Vec::new(), content: Vec::new() }
    }

    /// Returns whether the body, and nothing beyond it, has been handed to the reader.
    fn is_complete(&self) -> bool {
        self.decoder.is_complete() && self.input.is_empty()
    }

    fn record_read(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let head_bytes = self.head_bytes.min(bytes.len());
        self.head_bytes -= head_bytes;
        self.input.extend_from_slice(&bytes[head_bytes..]);
        self.decoder.decode(&mut self.input, &mut self.content)?;
        self.content.clear();
        Ok(())
    }
}

impl FramedStream {
    /// Creates a stream of `prefix` and the socket's bytes up to `end`, which includes the prefix.
    pub fn new(prefix: Vec<u8>, end: MessageEnd, stream: TcpStream) -> Self {
        let end = match end {
            MessageEnd::After(bytes) => FrameEnd::After(bytes),
            MessageEnd::Chunked { head_bytes } => FrameEnd::Chunked(ChunkCheck::new(head_bytes)),
        };
        let state = FrameState { prefix, position: 0, end, turn: ReadTurn::default() };
        Self { state: Arc::new(Mutex::new(state)), stream }
    }

    /// Returns whether the message, and nothing beyond it, has been read.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        match &state.end {
            FrameEnd::After(remaining) => *remaining == 0 && state.position == state.prefix.len(),
            FrameEnd::Chunked(check) => check.is_complete(),
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
            FrameEnd::After(bytes) => wanted.min(usize::try_from(bytes).unwrap_or(usize::MAX)),
            FrameEnd::Chunked(_) => wanted,
        }
    }

    fn read_prefix(&mut self, buf: &mut [u8]) -> usize {
        let unread = &self.prefix[self.position..];
        let count = unread.len().min(buf.len());
        buf[..count].copy_from_slice(&unread[..count]);
        self.position += count;
        count
    }

    /// Records bytes that are handed to the reader; fails if they are no chunks where these are due.
    fn record_read(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match &mut self.end {
            FrameEnd::After(remaining) => *remaining -= bytes.len() as u64,
            FrameEnd::Chunked(check) => check
                .record_read(bytes)
                .map_err(|err| std::io::Error::new(std::io::ErrorKind::InvalidData, err))?,
        }
        Ok(())
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
                state.record_read(&buf[..count])?;
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
        this.lock().record_read(&buf[..count])?;
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
