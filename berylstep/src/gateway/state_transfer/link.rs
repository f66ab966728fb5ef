//! Connection between two nodes for the transfer of state.
//!
//! A message may take as long as it makes progress: on a narrow link one of a megabyte takes a second, and
//! several seconds beside other traffic.

use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use berylstep_wire::codec::{CodecError, FrameCodec};
use berylstep_wire::frame::Body;
use berylstep_wire::Frame;
use displaydoc::Display;
use futures_util::{SinkExt, StreamExt};
use smol::future;
use smol::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::clock::RuntimeClock;

/// Longest time without progress, for the connection and for each message.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time for one message, so that a peer which sends a byte at a time doesn't hold a task for ever.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest query; it holds a few numbers and digests. Answers are larger.
const MAX_QUERY_BYTES: usize = 4 * 1024;

/// Errors of a transfer.
#[derive(Debug, Display)]
pub enum LinkError {
    /// {0}
    Codec(CodecError),
    /// no progress after {0} bytes
    Stalled(usize),
    /// message is too slow, {0} bytes so far
    TooSlow(usize),
    /// peer ended the answer early
    Interrupted,
    /// piece is larger than a piece may be
    Oversized,
}

impl std::error::Error for LinkError {}

impl From<CodecError> for LinkError {
    fn from(err: CodecError) -> Self {
        Self::Codec(err)
    }
}

impl From<std::io::Error> for LinkError {
    fn from(err: std::io::Error) -> Self {
        Self::Codec(err.into())
    }
}

impl LinkError {
    /// Returns the name of the cause in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Codec(CodecError::Io(_)) | Self::Interrupted => "io",
            Self::Codec(CodecError::Decode(_)) | Self::Oversized => "decode",
            Self::Stalled(_) | Self::TooSlow(_) => "timeout",
        }
    }
}

/// A connection over which messages are exchanged.
pub struct PeerLink {
    clock: RuntimeClock,
    framed: Framed<Compat<TcpStream>, FrameCodec>,
}

impl PeerLink {
    /// Connects to the peer at `address`, to query it.
    pub async fn connect(clock: RuntimeClock, address: SocketAddr) -> Result<Self, LinkError> {
        let connected = clock.timeout(STALL_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.ok_or(LinkError::Stalled(0))??;
        Ok(Self { clock, framed: Framed::new(stream.compat(), FrameCodec::default()) })
    }

    /// Wraps a connection over which a peer sends a query.
    pub fn accepted(clock: RuntimeClock, stream: TcpStream) -> Self {
        let codec = FrameCodec::with_max_bytes(MAX_QUERY_BYTES);
        Self { clock, framed: Framed::new(stream.compat(), codec) }
    }

    /// Sends a message.
    pub async fn send(&mut self, body: Body) -> Result<(), LinkError> {
        let deadline = self.clock.now() + MESSAGE_TIMEOUT;
        self.framed.feed(Frame { body: Some(body) }).await?;
        loop {
            let unsent = self.framed.write_buffer().len();
            let progress = future::poll_fn(|context| match self.framed.poll_flush_unpin(context) {
                Poll::Ready(flushed) => Poll::Ready(Some(flushed)),
                Poll::Pending if self.framed.write_buffer().len() < unsent => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            });
            match self.clock.timeout(STALL_TIMEOUT, progress).await {
                Some(Some(flushed)) => return Ok(flushed?),
                Some(None) if self.clock.now() < deadline => {}
                Some(None) => return Err(LinkError::TooSlow(unsent)),
                None => return Err(LinkError::Stalled(unsent)),
            }
        }
    }

    /// Receives the next message; `None` if the peer has closed the connection.
    pub async fn receive(&mut self) -> Result<Option<Body>, LinkError> {
        let deadline = self.clock.now() + MESSAGE_TIMEOUT;
        loop {
            let received = self.framed.read_buffer().len();
            let progress = future::poll_fn(|context| match self.framed.poll_next_unpin(context) {
                Poll::Ready(frame) => Poll::Ready(Some(frame)),
                Poll::Pending if self.framed.read_buffer().len() > received => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            });
            match self.clock.timeout(STALL_TIMEOUT, progress).await {
                Some(Some(frame)) => return Ok(frame.transpose()?.and_then(|frame| frame.body)),
                Some(None) if self.clock.now() < deadline => {}
                Some(None) => return Err(LinkError::TooSlow(received)),
                None => return Err(LinkError::Stalled(received)),
            }
        }
    }
}
