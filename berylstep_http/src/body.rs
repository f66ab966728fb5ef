//! Message bodies whose chunks are sent by other tasks.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Poll;

use futures_util::stream::{poll_fn, Stream, StreamExt, TryStreamExt};
use http_types::Body;
use smol::channel::{bounded, Receiver, Sender};
use smol::Task;

/// Chunks buffered between the producer and the connection.
const BODY_CHANNEL_CHUNKS: usize = 2;

/// Sending half of a streamed body.
///
/// If it is dropped without a call of [`BodySender::finish`], reading the body fails, so a message
/// whose producer was cancelled is never taken for complete.
#[derive(Debug)]
pub struct BodySender {
    chunks: Sender<std::io::Result<Vec<u8>>>,
    finished: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends one chunk.
    ///
    /// Fails with `BrokenPipe` if the body was dropped, usually because the connection was lost.
    pub async fn send(&self, chunk: Vec<u8>) -> std::io::Result<()> {
        let sent = self.chunks.send(Ok(chunk)).await;
        sent.map_err(|_| std::io::ErrorKind::BrokenPipe.into())
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }
}

/// Creates a body whose chunks are sent by `produce` in a task of its own.
///
/// Dropping the body cancels the task.
///
/// `length` is in bytes; with `None` the body uses chunked transfer encoding.
pub fn task_body<P, F>(length: Option<usize>, produce: P) -> Body
where
    P: FnOnce(BodySender) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let (sender, chunks, finished) = body_channel();
    let task = smol::spawn(produce(sender));
    body_from_chunks(length, chunks, finished, Some(task))
}

/// Creates a body and the sender of its chunks.
///
/// Once the body is dropped, sending fails.
///
/// `length` is in bytes; with `None` the body uses chunked transfer encoding.
pub fn channel_body(length: Option<usize>) -> (BodySender, Body) {
    let (sender, chunks, finished) = body_channel();
    (sender, body_from_chunks(length, chunks, finished, None))
}

type ChunkReceiver = Receiver<std::io::Result<Vec<u8>>>;

fn body_channel() -> (BodySender, ChunkReceiver, Arc<AtomicBool>) {
    let (chunk_sender, chunk_receiver) = bounded(BODY_CHANNEL_CHUNKS);
    let finished = Arc::new(AtomicBool::new(false));
    let sender = BodySender { chunks: chunk_sender, finished: finished.clone() };
    (sender, chunk_receiver, finished)
}

fn body_from_chunks(
    length: Option<usize>,
    chunks: ChunkReceiver,
    finished: Arc<AtomicBool>,
    producer: Option<Task<()>>,
) -> Body {
    let chunks = Box::pin(chunks).chain(completion_check(finished, producer));
    Body::from_reader(chunks.into_async_read(), length)
}

/// Yields an error after the last chunk unless the body was marked as complete.
fn completion_check(
    finished: Arc<AtomicBool>,
    producer: Option<Task<()>>,
) -> impl Stream<Item = std::io::Result<Vec<u8>>> + Unpin {
    poll_fn(move |_| {
        let _producer = &producer;
        let failed = !finished.swap(true, Ordering::AcqRel);
        Poll::Ready(failed.then(|| Err(std::io::ErrorKind::ConnectionAborted.into())))
    })
}
