//! Account of memory and connections: who gives way under which load.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use berylstep_core::fleet::byte_account::{
    AccountBounds, ByteAccount, ClientGroup, ConnectionId, ConnectionPhase, HoldVerdict,
    OpenVerdict, SMALL_BYTES, STALL_TIME,
};

const MIB: usize = 1 << 20;
const BOUNDS: AccountBounds = AccountBounds { bytes: 16 * MIB, connections: 100, descriptors: 150 };
const STEP: usize = 16 * 1024;

fn address(last: u8) -> ClientGroup {
    ClientGroup::Address(IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)))
}

fn organisation(name: &str) -> ClientGroup {
    ClientGroup::Organisation(name.into())
}

/// An account and the connections that it has closed in favour of others.
struct Fixture {
    account: ByteAccount,
    closed: Vec<ConnectionId>,
    now: Duration,
}

impl Fixture {
    fn new() -> Self {
        Self { account: ByteAccount::new(BOUNDS), closed: Vec::new(), now: STALL_TIME * 10 }
    }

    fn open(&mut self, group: ClientGroup) -> Option<ConnectionId> {
        match self.account.open(group, self.now) {
            OpenVerdict::Opened(id, closed) => {
                self.closed.extend(closed);
                Some(id)
            }
            OpenVerdict::Full => None,
        }
    }

    fn hold(&mut self, id: ConnectionId, phase: ConnectionPhase, content: usize) -> bool {
        let (is_granted, closed) = match self.account.hold(id, phase, content, self.now) {
            HoldVerdict::Granted(closed) => (true, closed),
            HoldVerdict::Refused(closed) => (false, closed),
        };
        self.closed.extend(closed);
        assert!(self.account.held() <= BOUNDS.bytes);
        is_granted
    }

    /// Receives a body step by step; returns whether it got as far as `bytes`.
    fn receive(&mut self, id: ConnectionId, bytes: usize) -> bool {
        (1..=bytes.div_ceil(STEP))
            .all(|step| self.hold(id, ConnectionPhase::Receiving, (step * STEP).min(bytes)))
    }

    /// Fills the account with bodies of one group; what is refused is closed.
    fn add_crowd(
        &mut self,
        group: &ClientGroup,
        clients: usize,
        bytes: usize,
    ) -> Vec<ConnectionId> {
        let ids: Vec<_> = (0..clients).filter_map(|_| self.open(group.clone())).collect();
        for id in &ids {
            if !self.receive(*id, bytes) {
                self.account.close(*id);
            }
        }
        ids
    }
}

// Guards against a crowd of large bodies that stop short of their end and leave no memory to others.
#[test]
fn bodies_that_stall_give_way_to_a_body_that_arrives() {
    let mut fixture = Fixture::new();
    let crowd = fixture.add_crowd(&address(1), 60, MIB);
    fixture.now += STALL_TIME;
    let ordinary = fixture.open(address(2)).expect("a place");
    assert!(fixture.receive(ordinary, 4 * MIB));
    assert!(fixture.hold(ordinary, ConnectionPhase::Serving, 4 * MIB));
    assert!(fixture.closed.iter().all(|id| crowd.contains(id)));
}

// Guards against refusing ordinary requests for a crowd whose bodies still arrive.
#[test]
fn small_requests_are_received_beside_large_bodies_that_arrive() {
    let mut fixture = Fixture::new();
    fixture.add_crowd(&organisation("a"), 60, MIB);
    for _ in 0..20 {
        let small = fixture.open(organisation("a")).expect("a place");
        assert!(fixture.receive(small, SMALL_BYTES));
        assert!(fixture.hold(small, ConnectionPhase::Serving, SMALL_BYTES));
    }
}

// Guards against one organisation that takes the memory from the others.
#[test]
fn the_group_that_holds_most_gives_way_to_the_others() {
    let mut fixture = Fixture::new();
    let crowd = fixture.add_crowd(&organisation("a"), 60, MIB);
    for _ in 0..3 {
        let other = fixture.open(organisation("b")).expect("a place");
        assert!(fixture.receive(other, MIB));
    }
    assert!(!fixture.closed.is_empty());
    assert!(fixture.closed.iter().all(|id| crowd.contains(id)));
}

// Guards against giving up a request that may have run for the body of another one.
#[test]
fn requests_in_progress_never_give_way() {
    let mut fixture = Fixture::new();
    let mut served = Vec::new();
    for _ in 0..10 {
        let id = fixture.open(organisation("a")).expect("a place");
        assert!(fixture.receive(id, MIB) && fixture.hold(id, ConnectionPhase::Serving, MIB));
        served.push(id);
    }
    fixture.now += STALL_TIME * 100;
    let other = fixture.open(organisation("b")).expect("a place");
    assert!(!fixture.receive(other, 8 * MIB));
    assert!(fixture.closed.is_empty());
    // What ends leaves its memory to others.
    served.into_iter().for_each(|id| fixture.account.close(id));
    assert!(fixture.receive(other, 8 * MIB));
}

// Guards against connections that are held open and leave no place to others.
#[test]
fn stalled_connections_give_way_to_new_ones() {
    struct Case {
        name: &'static str,
        phase: ConnectionPhase,
        gives_way: bool,
    }
    let cases = [
        Case { name: "idle", phase: ConnectionPhase::Idle, gives_way: true },
        Case { name: "open head", phase: ConnectionPhase::Receiving, gives_way: true },
        Case { name: "unread response", phase: ConnectionPhase::Writing, gives_way: true },
        Case { name: "in progress", phase: ConnectionPhase::Serving, gives_way: false },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        while let Some(id) = fixture.open(address(1)) {
            if !fixture.hold(id, case.phase, 0) {
                break;
            }
        }
        assert_eq!(fixture.open(address(2)), None, "{}: nothing is stalled yet", case.name);
        fixture.now += STALL_TIME;
        let opened = fixture.open(address(2));
        assert_eq!(opened.is_some(), case.gives_way, "{}", case.name);
        assert_eq!(fixture.closed.len(), usize::from(case.gives_way), "{}", case.name);
        assert!(fixture.account.connections() <= BOUNDS.connections, "{}", case.name);
    }
}

// Guards against descriptors that run out, since each request may need a connection to a replica.
#[test]
fn requests_and_connections_share_the_descriptors() {
    let mut fixture = Fixture::new();
    let opened: Vec<_> = (0..BOUNDS.connections).filter_map(|_| fixture.open(address(1))).collect();
    let served = opened.iter().filter(|id| fixture.hold(**id, ConnectionPhase::Serving, 0));
    assert_eq!(served.count(), BOUNDS.descriptors - BOUNDS.connections);
}

// Guards against memory that is counted but no longer held.
#[test]
fn an_account_is_empty_once_all_connections_are_closed() {
    let mut fixture = Fixture::new();
    let mut ids = fixture.add_crowd(&address(1), 50, MIB);
    ids.extend(fixture.add_crowd(&organisation("a"), 20, 1000));
    for id in &ids {
        fixture.account.assign(*id, organisation("b"));
        fixture.hold(*id, ConnectionPhase::Serving, 10);
    }
    ids.into_iter().for_each(|id| fixture.account.close(id));
    assert_eq!((fixture.account.held(), fixture.account.connections()), (0, 0));
}
