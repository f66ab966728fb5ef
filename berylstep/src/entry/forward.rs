//! Sending a caller's request to upstreams.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::config::IdempotencyPolicy;
use berylstep_core::refusal::{RefusalReason, RequestRefusal, RunState};
use http_types::Response;

use super::request::CallerRequest;
use super::watch::KeyWatch;
use super::{at_most_once, idempotent};
use crate::node::NodeContext;
use crate::observer::{RequestObserver, RequestOutcome};
use crate::orders::demand::DemandGuard;
use crate::slots::{self, SlotGuard, SlotRequest};

/// Most attempts for one request.
pub const MAX_ATTEMPTS: usize = 3;

/// When a caller may come back after upstreams failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Bytes of a prompt that decide where requests with the same beginning go.
const PREFIX_BYTES: usize = 512;

/// One request on its way to an upstream.
pub struct ForwardedRequest {
    /// Node.
    pub node: Arc<NodeContext>,
    /// Request of the caller.
    pub request: Arc<CallerRequest>,
    /// Watch over the caller's key.
    pub watch: KeyWatch,
    /// Time on the node's clock at which the request is given up.
    pub deadline: Duration,
    /// What its attempts need a slot for.
    pub ask: SlotRequest,
    /// Counts the request as demand for its pool.
    pub demand: DemandGuard,
    /// Upstreams to which a connection was silent; they are asked again where no other is left.
    pub silent: Vec<SharedName>,
    /// Observer, for metrics and the log.
    pub observer: RequestObserver,
    /// Whether any attempt so far may have reached an upstream.
    pub may_have_run: bool,
}

/// Sends the request to an upstream and returns its answer, to be streamed.
pub async fn forward(
    node: &Arc<NodeContext>,
    request: CallerRequest,
) -> Result<Response, RequestRefusal> {
    let forwarded = ForwardedRequest::new(node, Arc::new(request));
    let observer = forwarded.observer.clone();
    let answered = match forwarded.request.route.repeat {
        IdempotencyPolicy::Idempotent => idempotent::forward(forwarded).await,
        IdempotencyPolicy::SendOnce | IdempotencyPolicy::RequireKey => {
            at_most_once::forward(forwarded).await
        }
    };
    if let Err(refusal) = &answered {
        observer.note_end(RequestOutcome::refused(refusal));
    }
    answered
}

impl ForwardedRequest {
    fn new(node: &Arc<NodeContext>, request: Arc<CallerRequest>) -> Self {
        let deadline = node.clock.now() + Duration::from_millis(request.class.deadline_ms);
        let ask = SlotRequest {
            pool: request.route.pool.clone(),
            class: request.class.name.clone(),
            tier: request.class.tier,
            deadline,
            max_tokens: request.model.as_ref().and_then(|model| model.max_tokens),
            prefix_hash: prefix_hash(&request),
            idempotent: request.route.repeat == IdempotencyPolicy::Idempotent,
            organisation: request.organisation.clone().unwrap_or_else(|| "".into()),
            excluded: Vec::new(),
        };
        let watch = KeyWatch::new(node, &request);
        let demand = DemandGuard::new(node, &ask.pool, ask.tier);
        let observer =
            RequestObserver::start(node.clone(), request.class.clone(), ask.organisation.clone());
        let (silent, may_have_run) = (Vec::new(), false);
        Self {
            node: node.clone(),
            request,
            watch,
            deadline,
            ask,
            demand,
            silent,
            observer,
            may_have_run,
        }
    }

    /// Waits for a slot; gives up at the deadline and where the key is withdrawn.
    pub async fn acquire(&mut self) -> Result<SlotGuard, RequestRefusal> {
        match self.try_acquire().await {
            Err(refusal) if refusal.reason == RefusalReason::NoUpstream => {
                if self.silent.is_empty() {
                    return Err(refusal);
                }
                let silent = std::mem::take(&mut self.silent);
                self.ask.excluded.retain(|upstream| !silent.contains(upstream));
                self.try_acquire().await
            }
            acquired => acquired,
        }
    }

    async fn try_acquire(&self) -> Result<SlotGuard, RequestRefusal> {
        let acquiring = self.watch.unless_withdrawn(slots::acquire(&self.node, &self.ask));
        let acquired = self.node.clock.timeout(self.time_left(), acquiring).await;
        acquired.unwrap_or_else(|| Err(deadline_refusal())).map_err(|err| self.truthful(err))
    }

    /// Prefers other upstreams for the next attempt.
    pub fn leave(&mut self, upstream: SharedName, failed: bool) {
        if !failed {
            self.silent.push(upstream.clone());
        }
        self.ask.excluded.push(upstream);
    }

    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.node.clock.now())
    }

    /// Keeps a refusal truthful after an earlier attempt may have run.
    pub fn truthful(&self, mut refusal: RequestRefusal) -> RequestRefusal {
        if self.may_have_run && refusal.run == RunState::NotRun {
            refusal.run = RunState::Unknown;
        }
        refusal
    }

    /// Refuses after an attempt failed.
    pub fn failed(&self, message: &str) -> RequestRefusal {
        let refusal = RequestRefusal::not_run(RefusalReason::UpstreamFailed, message);
        self.truthful(refusal.retry_after(RETRY_AFTER))
    }
}

/// Refusal at the deadline.
pub fn deadline_refusal() -> RequestRefusal {
    let message = "the deadline of the class passed";
    RequestRefusal::not_run(RefusalReason::Deadline, message).retry_after(RETRY_AFTER)
}

/// Hash of organisation, model and the beginning of the prompt; 0 for plain services.
fn prefix_hash(request: &CallerRequest) -> u64 {
    let Some(model) = &request.model else { return 0 };
    let mut hasher = berylstep_core::collections::FastHasher::default();
    request.organisation.hash(&mut hasher);
    model.model.hash(&mut hasher);
    let prompt = prompt_start(&request.body);
    prompt[..prompt.len().min(PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}

/// The body from its messages or prompt on; other fields may differ between requests that share
/// their beginning.
fn prompt_start(body: &[u8]) -> &[u8] {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let start = text.find("\"messages\"").or_else(|| text.find("\"prompt\""));
    &body[start.unwrap_or_default()..]
}
