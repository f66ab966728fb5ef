//! Samples of a node's state tables, for measuring their memory and build time.

use std::any::Any;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use berylstep_core::arbiter::{PoolArbiter, ReplicaSpec, RequestKey, SlotDemand};
use berylstep_core::config::{
    ConfigChange, ConfigEntity, ConfigTable, KeyEntity, OrganisationEntity, OrganisationLimits,
};
use berylstep_core::member::MemberTable;
use berylstep_core::placement::UpstreamKind;
use berylstep_core::upstream::{LoadReport, UpstreamEntry, UpstreamTable};

use super::messages::member_row;

/// Number of nodes whose requests wait at an arbiter.
const REQUESTING_NODES: usize = 1_000;

/// A kind of table to measure.
#[derive(Clone, Copy, Debug)]
pub struct StateKind {
    /// Name, as printed with the results.
    pub name: &'static str,
    /// Builds a table with this many entities.
    pub build: fn(usize) -> Box<dyn Any>,
}

/// All kinds of tables that are measured.
pub const STATE_KINDS: &[StateKind] = &[
    StateKind { name: "organisation-with-key", build: organisations },
    StateKind { name: "node", build: members },
    StateKind { name: "replica-listed", build: upstreams },
    StateKind { name: "replica-arbitrated", build: replicas },
    StateKind { name: "ask-waiting", build: waiting_asks },
];

fn organisations(count: usize) -> Box<dyn Any> {
    let mut table = ConfigTable::default();
    let mut version = 0;
    let mut put = |entity| {
        version += 1;
        table.apply(version, &ConfigChange::Put(entity));
    };
    for index in 0..count {
        let name = format!("organisation-{index:05}");
        put(ConfigEntity::Organisation(OrganisationEntity {
            name: name.as_str().into(),
            limits: OrganisationLimits::default(),
        }));
        put(ConfigEntity::Key(KeyEntity {
            hash: format!("{index:064x}").into(),
            organisation: name.into(),
        }));
    }
    Box::new(table)
}

fn members(count: usize) -> Box<dyn Any> {
    let mut table = MemberTable::default();
    table.observe_rows(Duration::ZERO, (0..count).map(member_row).collect());
    Box::new(table)
}

fn upstreams(count: usize) -> Box<dyn Any> {
    let mut table = UpstreamTable::default();
    let entry = |index: usize| UpstreamEntry {
        id: format!("upstream-{index:05}").into(),
        address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index as u32), 9_000)),
        zone: "region-1-a".into(),
        pool: "drafter".into(),
        kind: UpstreamKind::Dependable,
        slots: 64,
        leaving: false,
        load: None,
    };
    table.observe_list((0..count).map(entry).collect());
    let report = LoadReport::default();
    for index in 0..count {
        table.observe_load(Duration::ZERO, &format!("upstream-{index:05}"), report);
    }
    Box::new(table)
}

fn replicas(count: usize) -> Box<dyn Any> {
    let mut arbiter = PoolArbiter::new(count);
    let spec = |index: usize| ReplicaSpec {
        id: format!("upstream-{index:05}").into(),
        slots: 64,
        leaving: false,
    };
    arbiter.observe_replicas(Duration::ZERO, &(0..count).map(spec).collect::<Vec<_>>());
    Box::new(arbiter)
}

fn waiting_asks(count: usize) -> Box<dyn Any> {
    let mut arbiter = PoolArbiter::new(count);
    let spec = ReplicaSpec { id: "upstream-00000".into(), slots: 1, leaving: false };
    arbiter.observe_replicas(Duration::ZERO, &[spec]);
    for index in 0..count {
        arbiter.submit(Duration::ZERO, demand(index));
    }
    arbiter.tick(Duration::ZERO);
    arbiter.take_decisions();
    Box::new(arbiter)
}

fn demand(index: usize) -> SlotDemand {
    SlotDemand {
        key: RequestKey {
            node: format!("node-{:05}", index % REQUESTING_NODES).into(),
            request: index as u64,
        },
        tier: 2,
        class: "drafting".into(),
        organisation: format!("organisation-{:05}", index % 30_000).into(),
        arrived: Duration::ZERO,
        latency_target: Duration::from_millis(440),
        deadline: Duration::from_secs(3_600),
        max_tokens: Some(300),
        prefix_hash: 0,
        idempotent: true,
        preempted: false,
        excluded: Vec::new(),
    }
}
