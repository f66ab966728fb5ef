//! Non-idempotent requests: claimed where they carry a key, sent once, and followed to their end.

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

/// Header that identifies a request and its repeats.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Longest time for which an answer is awaited after the caller was told `unknown`.
const OUTCOME_LIMIT: Duration = Duration::from_secs(60);

type CallerAnswer = Result<Response, RequestRefusal>;

/// A key that may be claimed, as far as the first read showed.
struct PendingClaim {
    key: ClaimKey,
    attempt: ClaimAttempt,
}

/// One exchange, which runs on where its caller leaves after the request was sent.
struct OnceExchange {
    forwarded: ForwardedRequest,
    claim: Option<PendingClaim>,
    answers: Sender<CallerAnswer>,
    _in_flight: InFlightGuard,
}

/// A request that is ready to leave.
struct ReadyRequest {
    connection: ClientConnection,
    outgoing: Request,
    id: SharedName,
    slot: SlotGuard,
}

/// Sends the request at most once and returns its answer, to be streamed.
pub async fn forward(mut forwarded: ForwardedRequest) -> CallerAnswer {
    let claim = pending_claim(&forwarded).await?;
    let slot = forwarded.acquire().await?;
    let (answers, receiver) = bounded(1);
    let in_flight = InFlightGuard::new(forwarded.node.clone());
    let exchange = OnceExchange { forwarded, claim, answers, _in_flight: in_flight };
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

impl OnceExchange {
    async fn run(mut self, slot: SlotGuard) {
        let claim = match self.take_claim().await {
            Ok(claim) => claim,
            Err(refusal) => return self.tell(Err(refusal)).await,
        };
        // Dropping the claim before it was marked as sent releases the key.
        match self.prepare(slot).await {
            Ok(ready) => self.send(ready, claim).await,
            Err(refusal) => self.tell(Err(refusal)).await,
        }
    }

    async fn tell(&self, answer: CallerAnswer) {
        if self.answers.send(answer).await.is_err() {
            log::debug!("the caller left before its answer");
        }
    }

    async fn take_claim(&mut self) -> Result<Option<ClaimGuard>, RequestRefusal> {
        let Some(PendingClaim { key, attempt }) = self.claim.take() else { return Ok(None) };
        claim::acquire(&self.forwarded.node, &key, attempt).await.map(Some)
    }

    /// Connects to an upstream; until it succeeds nothing was sent, so that others may be tried.
    async fn prepare(&mut self, mut slot: SlotGuard) -> Result<ReadyRequest, RequestRefusal> {
        let mut attempts = 0;
        loop {
            self.check_wanted()?;
            let err = match self.connect(&slot).await {
                Ok((connection, outgoing, id)) => {
                    self.check_wanted()?;
                    return Ok(ReadyRequest { connection, outgoing, id, slot });
                }
                Err(err) => err,
            };
            attempts += 1;
            idempotent::note_failure(&mut self.forwarded, slot, &err);
            if attempts >= MAX_ATTEMPTS {
                return Err(self.forwarded.failed(&err.message));
            }
            slot = self.forwarded.acquire().await?;
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

    /// Refuses what must not be sent any more, directly before it would be.
    fn check_wanted(&self) -> Result<(), RequestRefusal> {
        if self.answers.is_closed() {
            let message = "the caller left";
            return Err(RequestRefusal::not_run(RefusalReason::Stopping, message));
        }
        if !self.forwarded.watch.is_held() {
            return Err(withdrawn_refusal());
        }
        match self.forwarded.time_left().is_zero() {
            true => Err(deadline_refusal()),
            false => Ok(()),
        }
    }

    async fn send(mut self, ready: ReadyRequest, mut claim: Option<ClaimGuard>) {
        let ReadyRequest { connection, outgoing, id, slot } = ready;
        if let Some(claim) = &mut claim {
            claim.note_sent();
        }
        self.forwarded.may_have_run = true;
        let mut exchange = Box::pin(connection.exchange(outgoing));
        let left = self.forwarded.time_left();
        let clock = self.forwarded.node.clock.clone();
        let mut answered = clock.timeout(left, &mut exchange).await;
        if answered.is_none() {
            self.tell(Err(self.forwarded.truthful(deadline_refusal()))).await;
            answered = clock.timeout(OUTCOME_LIMIT, exchange).await;
        }
        match answered {
            Some(Ok(answer)) => self.relay(answer, id, slot, claim).await,
            Some(Err(err)) => self.note_lost(slot, err).await,
            None => slot.finish(SlotOutcome { tokens: 0, failed: true }),
        }
    }

    async fn note_lost(mut self, slot: SlotGuard, err: ExchangeError) {
        let err = AttemptError { may_have_run: true, ..err.into() };
        idempotent::note_failure(&mut self.forwarded, slot, &err);
        self.tell(Err(self.forwarded.failed(&err.message))).await;
    }

    async fn relay(
        self,
        answer: ClientResponse,
        id: SharedName,
        slot: SlotGuard,
        claim: Option<ClaimGuard>,
    ) {
        let ClientResponse { response: mut head, reuse } = answer;
        if let Some(claim) = claim {
            claim.finish(head.status().into());
        }
        let body = head.take_body();
        let length = body.len();
        let (first, ended) = (Vec::new(), false);
        let begun = StartedResponse { id, head, first, ended, length, body, reuse };
        let Self { forwarded, answers, _in_flight, .. } = self;
        let (response, following) = relay::relay_to_end(forwarded, begun, slot);
        if answers.send(Ok(response)).await.is_err() {
            log::debug!("the caller left before its answer, which is read to its end");
        }
        following.await;
    }
}
