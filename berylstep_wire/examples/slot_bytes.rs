//! Prints the size of each slot message in bytes, including its length prefix.

use berylstep_wire::codec::FrameCodec;
use berylstep_wire::frame::Body;
use berylstep_wire::slot_answer::Decision;
use berylstep_wire::{
    Frame, SlotAnswer, SlotAsk, SlotBeat, SlotGrant, SlotRenewal, SlotReturn, SlotStarted,
};
use bytes::BytesMut;
use tokio_util::codec::Encoder;

/// Number of requests in the printed renewal.
const RENEWED_REQUESTS: u64 = 100;

fn main() {
    let request = 1_000_000;
    let pool = || "drafter-large".to_owned();
    let ask = SlotAsk {
        request,
        pool: pool(),
        class: "quick-answers".to_owned(),
        organisation: "riviere-noire".to_owned(),
        tier: 1,
        budget_ms: 30_000,
        max_tokens: 512,
        prefix_hash: u64::MAX / 3,
        idempotent: true,
        ..SlotAsk::default()
    };
    let grant = SlotGrant {
        upstream: "drafter-large-07".to_owned(),
        address: "10.20.30.40:8000".to_owned(),
        zone: "zone-a".to_owned(),
    };
    let answer = SlotAnswer { request, pool: pool(), decision: Some(Decision::Grant(grant)) };
    let ended = SlotReturn { request, pool: pool(), tokens: 300, ..SlotReturn::default() };
    let requests = (request..request + RENEWED_REQUESTS).collect();
    print("ask", Body::SlotAsk(ask));
    print("answer", Body::SlotAnswer(answer));
    print("started", Body::SlotStarted(SlotStarted { request, pool: pool() }));
    print("return", Body::SlotReturn(ended));
    print("beat", Body::SlotBeat(SlotBeat { pool: pool() }));
    print("renewal of 100", Body::SlotRenewal(SlotRenewal { pool: pool(), requests }));
}

fn print(name: &str, body: Body) {
    let mut bytes = BytesMut::new();
    let frame = Frame { body: Some(body) };
    FrameCodec::default().encode(frame, &mut bytes).expect("messages are below the frame limit");
    println!("{name} {}", bytes.len());
}
