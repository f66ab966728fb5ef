//! Non-idempotent requests: sent at most once, under a claim if they carry an idempotency key, and
//! read to their end even after the caller disconnects.

use std::time::Duration;

use berylstep_core::claim::ClaimAttempt;
use berylstep_core::collections::SharedName;
use berylstep_core::config::IdempotencyPolicy;
use berylstep_core::refusal::{RefusalReason, RequestRefusal};
use berylstep_http::{ClientConnection, ClientResponse, ExchangeError};
use http_types::{Request, Response};
use smol::channel::{bounded, Sender};

use super::attempt::{self, AttemptError, StartedResponse};
use super::forward::{deadline_refusal, ForwardedRequest, MAX_ATTEMPTS};
use super::outgoing::upstream_request;
use super::watch::withdrawn_refusal;
use super::{idempotent, relay};
use crate::claim::{self, ClaimGuard, ClaimKey, ClaimSubject};
use crate::connections::ConnectionChoice;
use crate::node::InFlightGuard;
use crate::slots::{SlotGuard, SlotOutcome};

/// Header that identifies a request and its retries.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// How long the response is awaited after the caller's deadline, when the caller has already
/// received a refusal whose run state is `unknown`.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(60);

type CallerResponse = Result<Response, RequestRefusal>;

/// A claim to be made on an idempotency key, based on the first read of that key.
struct PendingClaim {
    key: ClaimKey,
    attempt: ClaimAttempt,
}

/// An exchange in a task of its own, which continues if the caller disconnects after the request
/// was sent.
struct DetachedExchange {
    forwarded: ForwardedRequest,
    claim: Option<PendingClaim>,
    responses: Sender<CallerResponse>,
    _in_flight: InFlightGuard,
}

/// A request with a slot and an open connection, ready to send.
struct PreparedRequest {
    connection: ClientConnection,
    outgoing: Request,
    id: SharedName,
    slot: SlotGuard,
}

/// Sends the request at most once and returns the response, whose body is streamed.
pub async fn forward(mut forwarded: ForwardedRequest) -> CallerResponse {
    let claim = pending_claim(&forwarded).await?;
    let slot = forwarded.acquire_slot().await?;
    let (responses, receiver) = bounded(1);
    let in_flight = InFlightGuard::new(forwarded.node.clone());
    let exchange = DetachedExchange { forwarded, claim, responses, _in_flight: in_flight };
    smol::spawn(exchange.run(slot)).detach();
    receiver.recv().await.unwrap_or_else(|_| {
        let message = "the exchange ended without an outcome";
        Err(RequestRefusal::unknown(RefusalReason::UpstreamFailed, message))
    })
}

async fn pending_claim(
    forwarded: &ForwardedRequest,
) -> Result<Option<PendingClaim>, RequestRefusal> {
    let Some(key) = claim_key(forwarded)? else { return Ok(None) };
    let attempt = claim::check(&forwarded.node, &key).await?;
    Ok(Some(PendingClaim { key, attempt }))
}

fn claim_key(forwarded: &ForwardedRequest) -> Result<Option<ClaimKey>, RequestRefusal> {
    let request = &forwarded.request;
    let bad_request = |message| RequestRefusal::not_run(RefusalReason::BadRequest, message);
    let Some(values) = request.head.header(IDEMPOTENCY_HEADER) else {
        return match request.route.repeat {
            IdempotencyPolicy::RequireKey => {
                Err(bad_request("the route takes only requests with an Idempotency-Key header"))
            }
            IdempotencyPolicy::Idempotent | IdempotencyPolicy::SendOnce => Ok(None),
        };
    };
    let key = values.last().as_str();
    if values.iter().count() != 1 || !(1..=MAX_KEY_BYTES).contains(&key.len()) {
        return Err(bad_request("one Idempotency-Key of 1 to 255 bytes is accepted"));
    }
    let url = request.head.url();
    let target = format!("{} {}?{}", request.head.method(), url.path(), url.query().unwrap_or(""));
    let subject = ClaimSubject {
        organisation: request.organisation.as_deref().unwrap_or_default(),
        route: &request.route.name,
        key,
        target: &target,
        body: &request.body,
    };
    Ok(Some(ClaimKey::new(&forwarded.node, subject)))
}

impl DetachedExchange {
    async fn run(mut self, slot: SlotGuard) {
        let claim = match self.take_claim().await {
            Ok(claim) => claim,
            Err(refusal) => return self.reply(Err(refusal)).await,
        };
        // A claim dropped before it is marked as sent releases its key.
        match self.prepare(slot).await {
            Ok(prepared) => self.send(prepared, claim).await,
            Err(refusal) => self.reply(Err(refusal)).await,
        }
    }

    async fn reply(&self, response: CallerResponse) {
        if self.responses.send(response).await.is_err() {
            log::debug!("caller disconnected before the response");
        }
    }

    async fn take_claim(&mut self) -> Result<Option<ClaimGuard>, RequestRefusal> {
        let Some(PendingClaim { key, attempt }) = self.claim.take() else { return Ok(None) };
        claim::acquire(&self.forwarded.node, &key, attempt).await.map(Some)
    }

    /// Connects to an upstream. Nothing is sent yet, so a failed connection is retried on another
    /// upstream, up to [`MAX_ATTEMPTS`] times.
    async fn prepare(&mut self, mut slot: SlotGuard) -> Result<PreparedRequest, RequestRefusal> {
        let mut attempts = 0;
        loop {
            self.check_sendable()?;
            let err = match self.connect(&slot).await {
                Ok((connection, outgoing, id)) => {
                    self.check_sendable()?;
                    return Ok(PreparedRequest { connection, outgoing, id, slot });
                }
                Err(err) => err,
            };
            attempts += 1;
            idempotent::record_failure(&mut self.forwarded, slot, &err);
            if attempts >= MAX_ATTEMPTS {
                return Err(self.forwarded.failed_refusal(&err.message));
            }
            slot = self.forwarded.acquire_slot().await?;
        }
    }

    async fn connect(
        &self,
        slot: &SlotGuard,
    ) -> Result<(ClientConnection, Request, SharedName), AttemptError> {
        let ForwardedRequest { node, request, .. } = &self.forwarded;
        let id = attempt::new_request_id(node);
        let outgoing = upstream_request(node, request, &request.body, &slot.upstream, &id);
        let outgoing = outgoing.map_err(|err| AttemptError::not_sent(err.to_string()))?;
        let connection = attempt::connect(node, &slot.upstream, ConnectionChoice::Fresh).await?;
        Ok((connection, outgoing, id))
    }

    /// Refuses the request if, just before sending, the caller has disconnected, its key is
    /// withdrawn or the deadline has passed.
    fn check_sendable(&self) -> Result<(), RequestRefusal> {
        if self.responses.is_closed() {
            let message = "the caller left";
            return Err(RequestRefusal::not_run(RefusalReason::Stopping, message));
        }
        if !self.forwarded.watch.is_granted() {
            return Err(withdrawn_refusal());
        }
        match self.forwarded.remaining_time().is_zero() {
            true => Err(deadline_refusal()),
            false => Ok(()),
        }
    }

    async fn send(mut self, prepared: PreparedRequest, mut claim: Option<ClaimGuard>) {
        let PreparedRequest { connection, outgoing, id, slot } = prepared;
        if let Some(claim) = &mut claim {
            claim.record_sent();
        }
        self.forwarded.may_have_run = true;
        let mut exchange = Box::pin(connection.exchange(outgoing));
        let remaining = self.forwarded.remaining_time();
        let clock = self.forwarded.node.clock.clone();
        let mut exchanged = clock.timeout(remaining, &mut exchange).await;
        if exchanged.is_none() {
            self.reply(Err(self.forwarded.with_run_state(deadline_refusal()))).await;
            exchanged = clock.timeout(OUTCOME_TIMEOUT, exchange).await;
        }
        match exchanged {
            Some(Ok(received)) => self.relay(received, id, slot, claim).await,
            Some(Err(err)) => self.record_lost(slot, err).await,
            None => slot.finish(SlotOutcome { tokens: 0, failed: true }),
        }
    }

    async fn record_lost(mut self, slot: SlotGuard, err: ExchangeError) {
        let err = AttemptError { may_have_run: true, ..err.into() };
        idempotent::record_failure(&mut self.forwarded, slot, &err);
        self.reply(Err(self.forwarded.failed_refusal(&err.message))).await;
    }

    async fn relay(
        self,
        received: ClientResponse,
        id: SharedName,
        slot: SlotGuard,
        claim: Option<ClaimGuard>,
    ) {
        let ClientResponse { response: mut head, reuse } = received;
        if let Some(claim) = claim {
            claim.finish(head.status().into());
        }
        let body = head.take_body();
        let length = body.len();
        let (first_bytes, ended) = (Vec::new(), false);
        let started = StartedResponse { id, head, first_bytes, ended, length, body, reuse };
        let Self { forwarded, responses, _in_flight, .. } = self;
        let (response, streaming) = relay::relay_to_end(forwarded, started, slot);
        if responses.send(Ok(response)).await.is_err() {
            log::debug!("caller disconnected before the response; reading the response to its end");
        }
        streaming.await;
    }
}
