//! Messages between gateways of this version and the one before, which run side by side during an upgrade.

use berylstep_wire::{FleetPulse, NodeEntry, ReplicaBrittleness, RunReply, RunReport, RunRequest};
use prost::Message;

/// Fields of a pulse that a node of the version before reads.
#[derive(Clone, PartialEq, Message)]
struct EarlierPulse {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(message, repeated, tag = "15")]
    nodes: Vec<EarlierEntry>,
    #[prost(fixed32, repeated, tag = "35")]
    unreachable_services: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct EarlierEntry {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(fixed32, repeated, tag = "13")]
    unreachable_services: Vec<u32>,
}

/// Guards against a message that nodes of the version before take for malformed, or for a pulse that
/// replaces the sender's state.
#[test]
fn nodes_of_the_version_before_read_each_new_message() {
    let envelope = || FleetPulse { node: "n-1".into(), ..FleetPulse::default() };
    let entry = NodeEntry { node: "n-2".into(), keeps_slots: true, ..NodeEntry::default() };
    let pulse = FleetPulse {
        sequence: 7,
        nodes: vec![entry],
        unreachable_services: vec![9],
        brittle_replicas: vec![ReplicaBrittleness { tolerated: Some(0), ..Default::default() }],
        keeps_slots: true,
        ..envelope()
    };
    let read = EarlierPulse::decode(&*pulse.encode_to_vec()).unwrap();
    assert_eq!((&*read.node, read.sequence), ("n-1", 7));
    assert_eq!((&*read.nodes[0].node, &*read.unreachable_services), ("n-2", &[9][..]));
    let messages = [
        FleetPulse {
            run_request: Some(RunRequest { tier: 6, ..Default::default() }),
            ..envelope()
        },
        FleetPulse {
            run_reply: Some(RunReply { granted: true, ..Default::default() }),
            ..envelope()
        },
        FleetPulse {
            run_reports: vec![RunReport { held: vec![3], ..Default::default() }],
            ..envelope()
        },
    ];
    for message in messages {
        let read = EarlierPulse::decode(&*message.encode_to_vec()).unwrap();
        assert_eq!(read.sequence, 0, "a message without a sequence number is no pulse");
    }
}

/// Guards against taking a node of the version before for one that hands out slots.
#[test]
fn messages_of_the_version_before_claim_nothing_new() {
    let entry = EarlierEntry { node: "n-2".into(), ..EarlierEntry::default() };
    let pulse =
        EarlierPulse { node: "n-1".into(), sequence: 7, nodes: vec![entry], ..Default::default() };
    let read = FleetPulse::decode(&*pulse.encode_to_vec()).unwrap();
    assert!(!read.keeps_slots && !read.nodes[0].keeps_slots);
    assert!(read.run_request.is_none() && read.run_reply.is_none() && read.run_reports.is_empty());
    assert!(read.brittle_replicas.is_empty());
    // A replica that tolerates no rejection differs from a sound one.
    let sound = ReplicaBrittleness::default();
    let brittle = ReplicaBrittleness { tolerated: Some(0), ..Default::default() };
    for notice in [sound, brittle] {
        assert_eq!(ReplicaBrittleness::decode(&*notice.encode_to_vec()).unwrap(), notice);
    }
}
