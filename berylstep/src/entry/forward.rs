//! Forwards callers' requests to upstreams.

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

/// Maximum number of attempts for one request.
pub const MAX_ATTEMPTS: usize = 3;

/// `Retry-After` of a refusal after upstreams failed or the deadline passed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Length of the prompt prefix that is hashed for prefix-cache affinity, in bytes.
const PREFIX_BYTES: usize = 512;

/// State of a request that is being forwarded, across its attempts.
pub struct ForwardedRequest {
    /// Node that forwards the request.
    pub node: Arc<NodeContext>,
    /// Request as the caller sent it, with its route and class.
    pub request: Arc<CallerRequest>,
    /// Watches for withdrawal of the caller's key.
    pub watch: KeyWatch,
    /// Deadline on the node's clock, from the class's `deadline_ms`.
    pub deadline: Duration,
    /// Slot request for the next attempt.
    pub slot_request: SlotRequest,
    /// Counts the request as demand for its pool while it is in progress.
    pub demand: DemandGuard,
    /// Upstreams with a silent connection that passed their probe; they are retried if no other
    /// upstream is available.
    pub silent_upstreams: Vec<SharedName>,
    /// Records the outcome for metrics and the log.
    pub observer: RequestObserver,
    /// Whether an upstream may have received the request in an earlier attempt.
    pub may_have_run: bool,
}

/// Forwards the request by its route's repeat rule and returns the response, whose body is
/// streamed.
pub async fn forward(
    node: &Arc<NodeContext>,
    request: CallerRequest,
) -> Result<Response, RequestRefusal> {
    let forwarded = ForwardedRequest::new(node, Arc::new(request));
    let observer = forwarded.observer.clone();
    let result = match forwarded.request.route.repeat {
        IdempotencyPolicy::Idempotent => idempotent::forward(forwarded).await,
        IdempotencyPolicy::SendOnce | IdempotencyPolicy::RequireKey => {
            at_most_once::forward(forwarded).await
        }
    };
    if let Err(refusal) = &result {
        observer.record_outcome(RequestOutcome::refused(refusal));
    }
    result
}

impl ForwardedRequest {
    fn new(node: &Arc<NodeContext>, request: Arc<CallerRequest>) -> Self {
        let deadline = node.clock.now() + Duration::from_millis(request.class.deadline_ms);
        let slot_request = SlotRequest {
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
        let demand = DemandGuard::new(node, &slot_request.pool, slot_request.tier);
        let observer = RequestObserver::start(
            node.clone(),
            request.class.clone(),
            slot_request.organisation.clone(),
        );
        let (silent_upstreams, may_have_run) = (Vec::new(), false);
        Self {
            node: node.clone(),
            request,
            watch,
            deadline,
            slot_request,
            demand,
            silent_upstreams,
            observer,
            may_have_run,
        }
    }

    /// Waits for a slot at an upstream.
    ///
    /// # Errors
    ///
    /// If the deadline passes, the key is withdrawn, the node becomes isolated or no slot can be
    /// granted.
    pub async fn acquire_slot(&mut self) -> Result<SlotGuard, RequestRefusal> {
        match self.try_acquire().await {
            Err(refusal) if refusal.reason == RefusalReason::NoUpstream => {
                if self.silent_upstreams.is_empty() {
                    return Err(refusal);
                }
                let silent = std::mem::take(&mut self.silent_upstreams);
                self.slot_request.excluded.retain(|upstream| !silent.contains(upstream));
                self.try_acquire().await
            }
            acquired => acquired,
        }
    }

    async fn try_acquire(&self) -> Result<SlotGuard, RequestRefusal> {
        let acquiring = self.watch.unless_withdrawn(slots::acquire(&self.node, &self.slot_request));
        let acquired = self.node.clock.timeout(self.remaining_time(), acquiring).await;
        acquired.unwrap_or_else(|| Err(deadline_refusal())).map_err(|err| self.with_run_state(err))
    }

    /// Excludes `upstream` from further attempts; with `failed` unset it may be retried if no other
    /// is available.
    pub fn exclude(&mut self, upstream: SharedName, failed: bool) {
        if !failed {
            self.silent_upstreams.push(upstream.clone());
        }
        self.slot_request.excluded.push(upstream);
    }

    /// Returns the time until the deadline; zero once it has passed.
    pub fn remaining_time(&self) -> Duration {
        self.deadline.saturating_sub(self.node.clock.now())
    }

    /// Changes a refusal's run state from `not-run` to `unknown` if an attempt may have run.
    pub fn with_run_state(&self, mut refusal: RequestRefusal) -> RequestRefusal {
        if self.may_have_run && refusal.run == RunState::NotRun {
            refusal.run = RunState::Unknown;
        }
        refusal
    }

    /// Returns the refusal of a request whose last attempt failed with `message`.
    pub fn failed_refusal(&self, message: &str) -> RequestRefusal {
        let refusal = RequestRefusal::not_run(RefusalReason::UpstreamFailed, message);
        self.with_run_state(refusal.retry_after(RETRY_AFTER))
    }
}

/// Returns the refusal of a request whose deadline has passed.
pub fn deadline_refusal() -> RequestRefusal {
    let message = "the deadline of the class passed";
    RequestRefusal::not_run(RefusalReason::Deadline, message).retry_after(RETRY_AFTER)
}

/// Returns a hash of the organisation, the model and the prompt prefix, which routes requests with
/// the same prefix to the same upstream; 0 for plain services.
fn prefix_hash(request: &CallerRequest) -> u64 {
    let Some(model) = &request.model else { return 0 };
    let mut hasher = berylstep_core::collections::FastHasher::default();
    request.organisation.hash(&mut hasher);
    model.model.hash(&mut hasher);
    let prompt = prompt_start(&request.body);
    prompt[..prompt.len().min(PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}

/// Returns the body from its messages or prompt on: requests that share a prompt prefix may differ
/// in the fields before it.
fn prompt_start(body: &[u8]) -> &[u8] {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let start = text.find("\"messages\"").or_else(|| text.find("\"prompt\""));
    &body[start.unwrap_or_default()..]
}
