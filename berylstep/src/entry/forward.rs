//! Sending a caller's request to an upstream, with retries for idempotent work.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::config::RouteRepeat;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use berylstep_http::client::REQUEST_ID_HEADER;
use berylstep_http::{ClientAnswer, ExchangeError};
use http_types::headers::HeaderName;
use http_types::{Request, Response, Url};

use super::relay;
use super::request::{presented_key, CallerRequest};
use crate::connections::ConnectionChoice;
use crate::node::NodeContext;
use crate::slots::{self, SlotGuard, SlotRequest};

/// Most attempts for one idempotent request.
const MAX_ATTEMPTS: usize = 3;

/// Headers that end at this node: those of one connection, and those that carry a caller's key.
const DROPPED_HEADERS: &[&str] = &[
    "authorization",
    "x-api-key",
    "api-key",
    "proxy-authorization",
    "cookie",
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
    "berylstep-class",
    REQUEST_ID_HEADER,
];

/// Sends the request to an upstream and returns its answer, to be streamed.
pub async fn forward(
    node: &Arc<NodeContext>,
    request: CallerRequest,
) -> Result<Response, RequestRefusal> {
    let deadline = node.clock.now() + Duration::from_millis(request.class.deadline_ms);
    let idempotent = request.route.repeat == RouteRepeat::Idempotent;
    let mut ask = SlotRequest {
        pool: request.route.pool.clone(),
        class: request.class.name.clone(),
        tier: request.class.tier,
        deadline,
        max_tokens: request.model.as_ref().and_then(|model| model.max_tokens),
        prefix_hash: 0,
        idempotent,
        organisation: request.organisation.clone().unwrap_or_else(|| "".into()),
        excluded: Vec::new(),
    };
    let mut may_have_run = false;
    loop {
        let acquired = slots::acquire(node, &ask).await;
        let slot = acquired.map_err(|refusal| worsen(refusal, may_have_run))?;
        let attempt = attempt(node, &request, &slot, deadline).await;
        let err = match attempt {
            Ok((answer, id)) => return Ok(relay::relay(node, answer, slot, id, &request)),
            Err(err) => err,
        };
        may_have_run |= err.may_have_run;
        log::warn!("attempt failed: upstream={} error={}", slot.upstream.id, err.message);
        ask.excluded.push(slot.upstream.id.clone());
        let retry = (idempotent || !may_have_run) && ask.excluded.len() < MAX_ATTEMPTS;
        if !retry || node.clock.now() >= deadline {
            let refusal = RequestRefusal::not_run(RefusalReason::UpstreamFailed, err.message);
            return Err(worsen(refusal, may_have_run));
        }
    }
}

/// A failed attempt.
#[derive(Debug)]
struct AttemptError {
    may_have_run: bool,
    message: String,
}

impl From<ExchangeError> for AttemptError {
    fn from(err: ExchangeError) -> Self {
        Self { may_have_run: err.may_have_run(), message: err.to_string() }
    }
}

/// Keeps a refusal truthful after an earlier attempt may have run.
fn worsen(mut refusal: RequestRefusal, may_have_run: bool) -> RequestRefusal {
    if may_have_run {
        refusal.run = berylstep_core::refusal::RunState::Unknown;
    }
    refusal
}

async fn attempt(
    node: &NodeContext,
    request: &CallerRequest,
    slot: &SlotGuard,
    deadline: Duration,
) -> Result<(ClientAnswer, SharedName), AttemptError> {
    let id = format!("{}-{}-{}", node.settings.node, node.incarnation(), node.next_request());
    let outgoing = upstream_request(request, &slot.upstream, &id)?;
    let choice = match request.route.repeat {
        RouteRepeat::Idempotent => ConnectionChoice::Any,
        RouteRepeat::SendOnce | RouteRepeat::RequireKey => ConnectionChoice::Fresh,
    };
    let exchange = node.connections.exchange(slot.upstream.address, outgoing, choice);
    let left = deadline.saturating_sub(node.clock.now());
    match node.clock.timeout(left, exchange).await {
        Some(Ok(answer)) => Ok((answer, id.into())),
        Some(Err(err)) => Err(err.into()),
        None => Err(AttemptError {
            may_have_run: true,
            message: "no answer before the deadline".to_owned(),
        }),
    }
}

fn upstream_request(
    request: &CallerRequest,
    upstream: &berylstep_core::upstream::UpstreamEntry,
    id: &str,
) -> Result<Request, AttemptError> {
    let head = &request.head;
    let mut target = format!("http://{}{}", upstream.address, head.url().path());
    if let Some(query) = head.url().query() {
        target = format!("{target}?{query}");
    }
    let url = Url::parse(&target).map_err(|err| AttemptError {
        may_have_run: false,
        message: format!("request target: {err}"),
    })?;
    let mut outgoing = Request::new(head.method(), url);
    if !request.body.is_empty() {
        outgoing.set_body(&request.body[..]);
    }
    outgoing.remove_header("content-type");
    let caller_key = presented_key(head);
    for (name, values) in head.iter().filter(|(name, _)| !is_dropped(name)) {
        for value in values.iter() {
            let holds_key = caller_key.is_some_and(|key| value.as_str().contains(key));
            if !holds_key {
                outgoing.append_header(name.clone(), value.clone());
            }
        }
    }
    outgoing.insert_header(REQUEST_ID_HEADER, id);
    Ok(outgoing)
}

fn is_dropped(name: &HeaderName) -> bool {
    DROPPED_HEADERS.contains(&name.as_str())
}
