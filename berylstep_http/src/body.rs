//! Message bodies fed by a task.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Poll;

use futures_util::stream::{poll_fn, Stream, StreamExt, TryStreamExt};
use http_types::Body;
use smol::channel::{bounded, Receiver, Sender};
use smol::Task;

/// Chunks in flight between the producer and the connection.
const BODY_CHANNEL_CHUNKS: usize = 2;

/// Producer's side of a streamed body.
///
/// Dropping it without [`BodySender::finish`] makes the body fail, so that a message whose producer
/// was cancelled never looks whole.
#[derive(Debug)]
pub struct BodySender {
    chunks: Sender<std::io::Result<Vec<u8>>>,
    finished: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends one chunk; an error means that the connection is gone.
    pub async fn send(&self, chunk: Vec<u8>) -> std::io::Result<()> {
        let sent = self.chunks.send(Ok(chunk)).await;
        sent.map_err(|_| std::io::ErrorKind::BrokenPipe.into())
    }

    /// Ends the body as whole.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }
}

/// Creates a body that the task `produce` feeds; dropping the body cancels the task.
///
/// `length` is in bytes; `None` is sent in chunks.
pub fn task_body<P, F>(length: Option<usize>, produce: P) -> Body
where
    P: FnOnce(BodySender) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let (sender, chunks, finished) = body_channel();
    let task = smol::spawn(produce(sender));
    chunked_body(length, chunks, finished, Some(task))
}

/// Creates a body that whoever holds the sender feeds; dropping the body makes sending fail.
///
/// `length` is in bytes; `None` is sent in chunks.
pub fn channel_body(length: Option<usize>) -> (BodySender, Body) {
    let (sender, chunks, finished) = body_channel();
    (sender, chunked_body(length, chunks, finished, None))
}

type ChunkReceiver = Receiver<std::io::Result<Vec<u8>>>;

fn body_channel() -> (BodySender, ChunkReceiver, Arc<AtomicBool>) {
    let (chunk_sender, chunk_receiver) = bounded(BODY_CHANNEL_CHUNKS);
    let finished = Arc::new(AtomicBool::new(false));
    let sender = BodySender { chunks: chunk_sender, finished: finished.clone() };
    (sender, chunk_receiver, finished)
}

fn chunked_body(
    length: Option<usize>,
    chunks: ChunkReceiver,
    finished: Arc<AtomicBool>,
    producer: Option<Task<()>>,
) -> Body {
    let chunks = Box::pin(chunks).chain(end_of_body(finished, producer));
    Body::from_reader(chunks.into_async_read(), length)
}

/// Yields one error after the last chunk, unless the body was finished.
fn end_of_body(
    finished: Arc<AtomicBool>,
    producer: Option<Task<()>>,
) -> impl Stream<Item = std::io::Result<Vec<u8>>> + Unpin {
    poll_fn(move |_| {
        let _producer = &producer;
        let failed = !finished.swap(true, Ordering::AcqRel);
        Poll::Ready(failed.then(|| Err(std::io::ErrorKind::ConnectionAborted.into())))
    })
}
