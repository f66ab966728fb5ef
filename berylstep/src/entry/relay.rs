//! Streaming an upstream's answer to the caller.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use berylstep_core::refusal::RunState;
use berylstep_http::client::{ConnectionReuse, REQUEST_ID_HEADER};
use berylstep_http::{channel_body, task_body, BodySender};
use http_types::{Body, Response};
use smol::future;
use smol::io::AsyncReadExt;

use super::attempt::{StartedResponse, CHUNK_BYTES};
use super::forward::ForwardedRequest;
use super::meter::UsageMeter;
use super::model_stream::ModelStream;
use super::probe::{probe, ProbeResult};
use super::response::RUN_HEADER;
use super::resume::{self, ResumeCause};
use crate::observer::RequestOutcome;
use crate::slots::{SlotGuard, SlotOutcome};

/// Longest gap between two reads of an upstream's answer.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(15);

/// Gap in a stream that can be resumed after which its upstream is looked at.
const TOKEN_GAP: Duration = Duration::from_secs(2);

/// Longest time for which a caller may leave a chunk unread.
const CALLER_STALL: Duration = Duration::from_secs(30);

/// Headers of an answer that concern one connection only.
const CONNECTION_HEADERS: &[&str] =
    &["connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade"];

/// Makes the caller's answer from the upstream's; where the caller leaves, the upstream's work is
/// cancelled.
pub fn relay(forwarded: ForwardedRequest, answer: StartedResponse, slot: SlotGuard) -> Response {
    let mut response = answer_head(&answer);
    let length = answer.length;
    let stream = AnswerStream::new(forwarded, answer, slot, CallerLeft::Cancel);
    set_body(&mut response, task_body(length, |sender| stream.run(sender)));
    response
}

/// Makes the caller's answer and a future that reads the upstream's to its end, whether or not the
/// caller stays.
pub fn relay_to_end(
    forwarded: ForwardedRequest,
    answer: StartedResponse,
    slot: SlotGuard,
) -> (Response, impl Future<Output = ()>) {
    let mut response = answer_head(&answer);
    let (sender, body) = channel_body(answer.length);
    let stream = AnswerStream::new(forwarded, answer, slot, CallerLeft::ReadOn);
    set_body(&mut response, body);
    (response, stream.run(sender))
}

/// Sets the body and keeps the content type.
fn set_body(response: &mut Response, body: Body) {
    let content_type = response.header("content-type").map(|values| values.last().clone());
    response.set_body(body);
    match content_type {
        Some(content_type) => drop(response.insert_header("content-type", content_type)),
        None => drop(response.remove_header("content-type")),
    }
}

fn answer_head(answer: &StartedResponse) -> Response {
    let mut response = Response::new(answer.head.status());
    for (name, values) in answer.head.iter() {
        if CONNECTION_HEADERS.contains(&name.as_str()) {
            continue;
        }
        for value in values.iter() {
            response.append_header(name.clone(), value.clone());
        }
    }
    response.insert_header(REQUEST_ID_HEADER, &*answer.id);
    response.insert_header(RUN_HEADER, RunState::Ran.as_str());
    response
}

/// What happens where the caller leaves before the end of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerLeft {
    /// The upstream's work is cancelled.
    Cancel,
    /// The answer is read to its end.
    ReadOn,
}

/// Where the rest of an answer comes from.
pub struct AnswerSource {
    /// Slot of the attempt.
    pub slot: SlotGuard,
    /// Rest of the body.
    pub body: Body,
    /// Connection of the answer.
    pub reuse: ConnectionReuse,
}

/// An answer that is being streamed.
pub struct AnswerStream {
    /// Request.
    pub forwarded: ForwardedRequest,
    /// Present upstream; `None` once the answer ended or broke.
    pub source: Option<AnswerSource>,
    /// Content so far, where it is a model's event stream.
    pub model: Option<ModelStream>,
    first: Vec<u8>,
    ended: bool,
    /// Bytes of the body that were not read yet, where its length is known.
    left: Option<usize>,
    meter: UsageMeter,
    caller_left: CallerLeft,
    caller_gone: bool,
    successful: bool,
}

/// What one read of the upstream's answer gave.
enum ReadEnd {
    Bytes(usize),
    Whole,
    Broken(ResumeCause),
    Withdrawn,
}

type Withdrawal<'a> = Pin<&'a mut (dyn Future<Output = ()> + Send)>;

impl AnswerStream {
    fn new(
        forwarded: ForwardedRequest,
        answer: StartedResponse,
        mut slot: SlotGuard,
        caller_left: CallerLeft,
    ) -> Self {
        slot.note_started();
        forwarded.observer.note_attempt(&answer.id, &slot.upstream.id);
        let is_event_stream = answer.is_event_stream();
        let request = &forwarded.request;
        let streams = request.model.as_ref().is_some_and(|model| model.stream) && is_event_stream;
        let model = streams.then(|| ModelStream::new(resume::is_resumable(request, &answer.head)));
        let meter = UsageMeter::new(&forwarded);
        let successful = !answer.head.status().is_server_error();
        let StartedResponse { first, ended, length, body, reuse, .. } = answer;
        let left = length.map(|length| length.saturating_sub(first.len()));
        let source = Some(AnswerSource { slot, body, reuse });
        let caller_gone = false;
        Self {
            forwarded,
            source,
            model,
            first,
            ended,
            left,
            meter,
            caller_left,
            caller_gone,
            successful,
        }
    }

    /// Copies the body; where it breaks off, the caller's answer breaks off too.
    async fn run(mut self, sender: BodySender) {
        let watch = self.forwarded.watch.clone();
        let withdrawn = async move { watch.withdrawn().await };
        smol::pin!(withdrawn);
        let first = std::mem::take(&mut self.first);
        if self.ended {
            self.meter.observe(&first);
            self.give_back();
        }
        if !self.deliver(&sender, &first).await {
            return;
        }
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            match self.read(&mut chunk, withdrawn.as_mut()).await {
                ReadEnd::Bytes(count) => {
                    if !self.deliver(&sender, &chunk[..count]).await {
                        return;
                    }
                }
                ReadEnd::Whole => return self.finish(sender).await,
                ReadEnd::Withdrawn => {
                    return self.forwarded.observer.note_end(RequestOutcome::Withdrawn);
                }
                ReadEnd::Broken(cause) => {
                    let Some(first) = Box::pin(resume::resume(&mut self, &cause)).await else {
                        return self.note_broken(&cause);
                    };
                    if !self.deliver(&sender, &first).await {
                        return;
                    }
                }
            }
        }
    }

    /// Reads on; a withdrawn key ends only answers whose work may be cancelled.
    async fn read(&mut self, chunk: &mut [u8], withdrawn: Withdrawal<'_>) -> ReadEnd {
        if self.ended {
            return ReadEnd::Whole;
        }
        let cancels = self.caller_left == CallerLeft::Cancel;
        let withdrawal = async {
            match cancels {
                true => withdrawn.await,
                false => future::pending().await,
            }
            ReadEnd::Withdrawn
        };
        future::or(self.read_or_judge(chunk), withdrawal).await
    }

    async fn read_or_judge(&mut self, chunk: &mut [u8]) -> ReadEnd {
        let Some(source) = &mut self.source else { return ReadEnd::Whole };
        let node = &self.forwarded.node;
        let resumable = self.model.as_ref().is_some_and(ModelStream::is_resumable);
        let gap = if resumable { TOKEN_GAP } else { PROGRESS_TIMEOUT };
        match node.clock.timeout(gap, source.body.read(chunk)).await {
            Some(Ok(0)) => ReadEnd::Whole,
            Some(Ok(count)) => {
                self.note_read(count).await;
                ReadEnd::Bytes(count)
            }
            Some(Err(err)) => ReadEnd::Broken(ResumeCause::upstream(err.to_string())),
            None => ReadEnd::Broken(match Box::pin(probe(node, &source.slot.upstream)).await {
                ProbeResult::Silent => ResumeCause::upstream("upstream is silent".to_owned()),
                ProbeResult::Alive { .. } => ResumeCause::silent_connection(),
            }),
        }
    }

    /// Finds the end of a body of known length, so that the upstream is given back before a caller
    /// who has everything leaves.
    async fn note_read(&mut self, count: usize) {
        let Some(left) = &mut self.left else { return };
        *left = left.saturating_sub(count);
        if *left > 0 {
            return;
        }
        if let Some(source) = &mut self.source {
            self.ended = matches!(source.body.read(&mut [0; 1]).await, Ok(0));
        }
        if self.ended {
            self.give_back();
        }
    }

    /// Sends bytes on to the caller; `false` means that the answer is not to be read on.
    async fn deliver(&mut self, sender: &BodySender, bytes: &[u8]) -> bool {
        let sent = match &mut self.model {
            Some(model) => {
                let events = model.accept(bytes);
                self.meter.set(model.usage());
                events
            }
            None => {
                self.meter.observe(bytes);
                bytes.to_vec()
            }
        };
        self.send(sender, sent).await
    }

    async fn send(&mut self, sender: &BodySender, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() || self.caller_gone {
            return true;
        }
        let clock = &self.forwarded.node.clock;
        let sent = clock.timeout(CALLER_STALL, sender.send(bytes)).await;
        self.caller_gone = !matches!(sent, Some(Ok(())));
        if !self.caller_gone {
            self.forwarded.observer.note_delivery(self.meter.output_tokens().into());
        }
        !self.caller_gone || self.caller_left == CallerLeft::ReadOn
    }

    async fn finish(mut self, sender: BodySender) {
        if let Some(rest) = self.model.as_mut().map(ModelStream::take_rest) {
            self.send(&sender, rest).await;
        }
        self.give_back();
        if !self.caller_gone {
            let outcome = match self.successful {
                true => RequestOutcome::Answered,
                false => RequestOutcome::UpstreamError,
            };
            self.forwarded.observer.note_end(outcome);
            sender.finish();
        }
    }

    /// Returns the connection and the slot after a whole answer.
    fn give_back(&mut self) {
        let Some(AnswerSource { slot, body, reuse }) = self.source.take() else { return };
        drop(body);
        let node = &self.forwarded.node;
        node.connections.release(slot.upstream.address, reuse);
        slot.finish(SlotOutcome { tokens: self.meter.output_tokens(), failed: !self.successful });
        if self.successful {
            node.retries.observe_success(&self.forwarded.request.route.pool, node.clock.now());
        }
    }

    fn note_broken(mut self, cause: &ResumeCause) {
        log::warn!("answer broken: class={} {cause}", self.forwarded.request.class.name);
        self.forwarded.observer.note_end(RequestOutcome::Broken);
        if let Some(AnswerSource { slot, .. }) = self.source.take() {
            let tokens = self.meter.output_tokens();
            slot.finish(SlotOutcome { tokens, failed: cause.upstream_failed });
        }
    }
}
