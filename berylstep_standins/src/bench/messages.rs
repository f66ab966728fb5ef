//! Samples of peer messages and table rows, for measuring their size and coding time.
//!
//! Nodes ask the owner of a pool for slots (capacity of a replica), which it grants and they
//! return. A pulse is the periodic heartbeat between nodes.

use std::net::{Ipv4Addr, SocketAddr};

use berylstep_core::config::{ConfigChange, ConfigEntity, KeyEntity};
use berylstep_core::member::{MemberRow, MemberState};
use berylstep_wire::frame::Body;
use berylstep_wire::{
    slot_answer, ConfigEntries, ConfigEntry, Frame, PoolLoad, Pulse, SlotAnswer, SlotAsk,
    SlotGrant, SlotReturn, UpstreamState, UsageCopy, UsageCounter,
};
use prost::Message;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// A kind of message to measure.
#[derive(Clone, Copy, Debug)]
pub struct MessageKind {
    /// Name, as printed with the results.
    pub name: &'static str,
    /// Encodes a message with this many entries, or this many messages of one entry each.
    pub encode: fn(usize) -> Vec<u8>,
    /// Decodes the output of `encode`.
    pub decode: fn(&[u8]),
}

/// All kinds of messages that are measured.
pub const MESSAGE_KINDS: &[MessageKind] = &[
    MessageKind { name: "pulse without entries", encode: plain_pulses, decode: decode_frames },
    MessageKind { name: "pool in a pulse", encode: pulse_of_pools, decode: decode_frames },
    MessageKind { name: "upstream in a pulse", encode: pulse_of_upstreams, decode: decode_frames },
    MessageKind { name: "ask", encode: asks, decode: decode_frames },
    MessageKind { name: "grant", encode: grants, decode: decode_frames },
    MessageKind { name: "return", encode: returns, decode: decode_frames },
    MessageKind { name: "configuration entry", encode: config_entries, decode: decode_frames },
    MessageKind { name: "usage counter", encode: usage_counters, decode: decode_frames },
    MessageKind { name: "member row (JSON)", encode: member_rows, decode: decode_member_rows },
];

fn encode_frames(bodies: impl Iterator<Item = Body>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for body in bodies {
        let payload = Frame { body: Some(body) }.encode_to_vec();
        bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&payload);
    }
    bytes
}

fn decode_frames(mut bytes: &[u8]) {
    while let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() {
        let (payload, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        std::hint::black_box(Frame::decode(payload).expect("own frames are valid"));
        bytes = rest;
    }
}

fn pulse(pools: usize, upstreams: usize) -> Body {
    let pool = |index| PoolLoad { pool: format!("pool-{index:05}"), running: 12, waiting: 3 };
    let upstream =
        |index| UpstreamState { upstream: format!("upstream-{index:05}"), leaving: true };
    Body::Pulse(Pulse {
        sequence: 1_000_000,
        config_version: 1_000_000,
        in_flight: 200,
        store_age_ms: 500,
        pools: (0..pools).map(pool).collect(),
        upstreams: (0..upstreams).map(upstream).collect(),
        ..Pulse::default()
    })
}

fn plain_pulses(count: usize) -> Vec<u8> {
    encode_frames((0..count).map(|_| pulse(0, 0)))
}

fn pulse_of_pools(count: usize) -> Vec<u8> {
    encode_frames(std::iter::once(pulse(count, 0)))
}

fn pulse_of_upstreams(count: usize) -> Vec<u8> {
    encode_frames(std::iter::once(pulse(0, count)))
}

fn asks(count: usize) -> Vec<u8> {
    encode_frames((0..count).map(|index| {
        Body::SlotAsk(SlotAsk {
            request: 1_000_000 + index as u64,
            pool: "drafter".to_owned(),
            class: "drafting".to_owned(),
            organisation: format!("organisation-{index:05}"),
            tier: 2,
            budget_ms: 5_000,
            prefix_hash: u64::MAX / 3,
            idempotent: true,
            ..SlotAsk::default()
        })
    }))
}

fn grants(count: usize) -> Vec<u8> {
    encode_frames((0..count).map(|index| {
        let grant = SlotGrant { upstream: format!("upstream-{index:05}"), ..SlotGrant::default() };
        Body::SlotAnswer(SlotAnswer {
            request: 1_000_000 + index as u64,
            pool: "drafter".to_owned(),
            decision: Some(slot_answer::Decision::Grant(grant)),
        })
    }))
}

fn returns(count: usize) -> Vec<u8> {
    encode_frames((0..count).map(|index| {
        Body::SlotReturn(SlotReturn {
            request: 1_000_000 + index as u64,
            pool: "drafter".to_owned(),
            tokens: 300,
            ..SlotReturn::default()
        })
    }))
}

fn config_entries(count: usize) -> Vec<u8> {
    let entry = |index: usize| {
        let key = KeyEntity {
            hash: format!("{index:064x}").into(),
            organisation: format!("organisation-{index:05}").into(),
        };
        let change = ConfigChange::Put(ConfigEntity::Key(key));
        let change = serde_json::to_string(&change).expect("changes are valid JSON");
        ConfigEntry { version: 1_000_000 + index as u64, change }
    };
    let entries = (0..count).map(entry).collect();
    let message = ConfigEntries { entries };
    encode_frames(std::iter::once(Body::ConfigEntries(message)))
}

fn usage_counters(count: usize) -> Vec<u8> {
    let counter = |index: usize| UsageCounter {
        organisation: format!("organisation-{index:05}"),
        class: "drafting".to_owned(),
        requests: 1_000,
        input_tokens: 1_000_000,
        output_tokens: 300_000,
    };
    let copy = UsageCopy {
        node: "node-00001".to_owned(),
        incarnation: 5,
        window: 1_790_000_000_000,
        counters: (0..count).map(counter).collect(),
    };
    encode_frames(std::iter::once(Body::UsageCopy(copy)))
}

/// Returns the member row of the node with this index.
pub fn member_row(index: usize) -> MemberRow {
    let address = |port| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index as u32), port));
    MemberRow {
        node: format!("node-{index:05}").into(),
        incarnation: 5,
        beat: 1_000_000,
        region: "region-1".into(),
        zone: "region-1-a".into(),
        peer_address: address(7_000),
        caller_address: address(8_000),
        state: MemberState::Serving,
        config_version: 1_000_000,
    }
}

fn member_rows(count: usize) -> Vec<u8> {
    let rows: Vec<_> = (0..count).map(member_row).collect();
    serde_json::to_vec(&rows).expect("rows are valid JSON")
}

fn decode_member_rows(bytes: &[u8]) {
    let rows: Vec<MemberRow> = serde_json::from_slice(bytes).expect("own rows are valid");
    std::hint::black_box(rows);
}
