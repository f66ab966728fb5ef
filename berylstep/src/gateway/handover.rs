//! Hands requests over to another node while this one is cut off from the replicas of their service.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use berylstep_core::collections::{HashMap, SharedName};
use berylstep_core::fleet::origins::service_hash;
use berylstep_core::fleet::reach::{choose_node, HandoverCandidate};
use berylstep_http::{BodyDecoder, BodyFraming, MessageStream, ResponseMessage};
use smol::io::AsyncWriteExt;

use crate::gateway::request::{reply_outcome, RequestHandler, ResponseDelivery, RoutedRequest};
use crate::gateway::response::{LocalReply, ResponseWriter};
use crate::gateway::telemetry::{HandoverResult, RequestOutcome, RequestTrace};
use crate::platform::headers::{write_handover_headers, write_header, ResponseHeaders};

/// Number of nodes that a request is offered to.
const MAX_OFFERS: usize = 3;

/// Time for which a node that could not take a request is offered none.
const PEER_PAUSE: Duration = Duration::from_secs(1);

/// Largest head of a node's response.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time after a request's deadline within which the other node answers that it has passed.
const ANSWER_SLACK: Duration = Duration::from_millis(200);

const UNAVAILABLE: u16 = 503;

/// Nodes that are offered no requests for now, with the time at which that ends.
pub type PausedPeers = RefCell<HashMap<SharedName, Duration>>;

/// What became of a request that was offered to a node.
enum OfferOutcome {
    /// The node responds.
    Responded(Box<PeerResponse>),
    /// The node can't be reached; no byte of the request was sent.
    NotSent,
    /// The request may have run, but there is no response.
    Lost,
    /// The deadline passed.
    TimedOut,
}

/// Head of a node's response, and its body as it arrives.
struct PeerResponse {
    head: ResponseMessage,
    decoder: BodyDecoder,
    stream: MessageStream,
    address: SocketAddr,
}

impl PeerResponse {
    /// Returns whether the node itself refuses the request, which then did not run. A replica's own
    /// response may have the same status.
    fn is_refusal(&self) -> bool {
        self.head.status == UNAVAILABLE && !ResponseHeaders::read(&self.head, None).signed
    }
}

/// A node that takes requests over.
struct PeerTarget {
    node: SharedName,
    address: SocketAddr,
}

impl RequestHandler {
    /// Hands a request over if this node is cut off from its service. Returns `None` if it isn't or
    /// no node takes the request; nothing was run then.
    pub(super) async fn hand_over(
        &self,
        request: &RoutedRequest<'_>,
        writer: &mut ResponseWriter<'_>,
        trace: &RequestTrace,
    ) -> Option<ResponseDelivery> {
        if request.is_handed_over || !self.reach.is_cut_off(&request.service) {
            return None;
        }
        if self.reach.admits_trial(&request.service, request.route.is_retryable()) {
            return None;
        }
        for _ in 0..MAX_OFFERS {
            let target = self.choose_peer(&request.service)?;
            trace.record_offer();
            let outcome = self.offer(request, &target).await;
            let (result, status) = match &outcome {
                OfferOutcome::Responded(response) if response.is_refusal() => {
                    (HandoverResult::Refused, response.head.status)
                }
                OfferOutcome::Responded(response) => (HandoverResult::Taken, response.head.status),
                OfferOutcome::NotSent => (HandoverResult::NotSent, 0),
                OfferOutcome::Lost | OfferOutcome::TimedOut => (HandoverResult::Lost, 0),
            };
            self.metrics.record_handover(request, &target.node, result, status);
            match outcome {
                OfferOutcome::Responded(response) if result == HandoverResult::Taken => {
                    return Some(self.relay_response(request, *response, writer, trace).await);
                }
                // The request has not run there and never will.
                OfferOutcome::Responded(_) | OfferOutcome::NotSent => {
                    let until = self.clock.now() + PEER_PAUSE;
                    self.paused_peers.borrow_mut().insert(target.node, until);
                }
                OfferOutcome::Lost => {
                    return Some(
                        self.reply_lost(writer, trace, LocalReply::lost("peer failed")).await,
                    )
                }
                OfferOutcome::TimedOut => {
                    return Some(self.reply_lost(writer, trace, LocalReply::timed_out()).await)
                }
            }
            if self.clock.now() >= request.deadline {
                break;
            }
        }
        None
    }

    async fn reply_lost(
        &self,
        writer: &mut ResponseWriter<'_>,
        trace: &RequestTrace,
        reply: LocalReply,
    ) -> ResponseDelivery {
        trace.record_outcome(reply_outcome(&reply));
        self.send_reply(writer, &reply).await
    }

    /// Selects a node that reaches the service.
    fn choose_peer(&self, service: &str) -> Option<PeerTarget> {
        let (now, service) = (self.clock.now(), service_hash(service));
        self.paused_peers.borrow_mut().retain(|_, until| *until > now);
        let paused = self.paused_peers.borrow();
        let nodes = self.peers.nodes(now);
        let candidates: Vec<_> = nodes
            .iter()
            .map(|node| HandoverCandidate {
                is_sound: node.ready
                    && !node.leaving
                    && !node.unreachable.contains(&service)
                    && !paused.contains_key(&node.node),
                core_permille: node.core_permille,
            })
            .collect();
        let node = &nodes[choose_node(&candidates, fastrand::f64())?];
        let address = self.settings.handover_address(node.peer_address.ip())?;
        Some(PeerTarget { node: node.node.clone(), address })
    }

    async fn offer(&self, request: &RoutedRequest<'_>, target: &PeerTarget) -> OfferOutcome {
        let retryable = request.route.is_retryable();
        let Ok(upstream) = self.peer_connections.connect(target.address, retryable).await else {
            return OfferOutcome::NotSent;
        };
        let mut stream = upstream.stream;
        let head = self.encode_handover(request);
        let time_left = request.deadline.saturating_sub(self.clock.now()) + ANSWER_SLACK;
        let exchanging = async {
            stream.stream.write_all(&head).await.ok()?;
            stream.stream.write_all(request.body).await.ok()?;
            let bytes = stream.read_head(MAX_HEAD_BYTES).await.ok().flatten()?;
            ResponseMessage::parse(&bytes).ok()
        };
        match self.clock.timeout(time_left, exchanging).await {
            Some(Some(head)) => {
                let decoder = BodyDecoder::response(&head, &request.message.method);
                let address = target.address;
                // A node frames its responses, so the end of one without framing is unknown.
                if head.framing == BodyFraming::Unframed && !decoder.is_complete() {
                    return OfferOutcome::Lost;
                }
                OfferOutcome::Responded(Box::new(PeerResponse { head, decoder, stream, address }))
            }
            Some(None) => OfferOutcome::Lost,
            None => OfferOutcome::TimedOut,
        }
    }

    fn encode_handover(&self, request: &RoutedRequest<'_>) -> Vec<u8> {
        let message = request.message;
        let mut bytes = Vec::with_capacity(1024);
        let line = format!("{} {} HTTP/1.1\r\n", message.method, message.target);
        bytes.extend_from_slice(line.as_bytes());
        let time_left = request.deadline.saturating_sub(self.clock.now());
        write_handover_headers(&message.headers, time_left, &mut bytes);
        if message.framing != BodyFraming::Unframed {
            let length = request.body.len().to_string();
            write_header("Content-Length", length.as_bytes(), &mut bytes);
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    /// Relays a node's response as it arrives. One that breaks off is visibly broken off here too.
    async fn relay_response(
        &self,
        request: &RoutedRequest<'_>,
        mut response: PeerResponse,
        writer: &mut ResponseWriter<'_>,
        trace: &RequestTrace,
    ) -> ResponseDelivery {
        let is_chunked = response.head.framing == BodyFraming::Chunked;
        let mut content = Vec::new();
        trace.record_first_content(self.clock.now());
        loop {
            if is_chunked && (!content.is_empty() || !writer.is_started()) {
                let written = match writer.is_started() {
                    false => writer.start_stream(&response.head, &content).await,
                    true => writer.write_content(&content).await,
                };
                content.clear();
                if written.is_err() {
                    trace.record_outcome(RequestOutcome::CallerLeft);
                    return ResponseDelivery::Aborted;
                }
            }
            if response.decoder.is_complete() {
                break;
            }
            let time_left = request.deadline.saturating_sub(self.clock.now()) + ANSWER_SLACK;
            let reading = response.stream.read_content(&mut response.decoder, &mut content);
            if !matches!(self.clock.timeout(time_left, reading).await, Some(Ok(()))) {
                log::info!("event=handover_broken id={}", request.id());
                if writer.is_started() {
                    trace.record_outcome(RequestOutcome::Broken(0));
                    return ResponseDelivery::Aborted;
                }
                return self.reply_lost(writer, trace, LocalReply::lost("peer failed")).await;
            }
        }
        let written = match is_chunked {
            true => writer.end_stream(&[]).await,
            false => writer.write_whole(&response.head, &content).await,
        };
        trace.record_outcome(RequestOutcome::Answered(response.head.status));
        if response.head.keep_alive {
            self.peer_connections.release(response.address, response.stream, None);
        }
        match written {
            Ok(()) => ResponseDelivery::Complete,
            Err(_) => ResponseDelivery::Aborted,
        }
    }
}
