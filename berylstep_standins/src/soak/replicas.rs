//! Replicas of a soak, which execute requests and record each execution.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::record::{answer_body, event_count, is_truncated, ReplicaRun, RequestKind};
use crate::fleet::lock;
use crate::fleet::message::{begin_events_with, end_events, respond, write_event, RawMessage};
use crate::fleet::replica::{entry, FakeReplica};
use crate::fleet::store::FakeStore;
use crate::relay::TcpRelay;

/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum execution time of a request that is not a stream.
const MAX_WORK_TIME: Duration = Duration::from_millis(40);

/// Table of replica entries.
const REPLICA_TABLE: &str = "servers";

/// Identity of the replica at an address; changes when another replica takes the address over.
#[derive(Clone, Debug)]
pub struct ReplicaIdentity {
    /// Identifier, the key of the replica's entry.
    pub id: String,
    /// Service that the replica belongs to.
    pub service: RequestKind,
}

/// A replica behind a relay.
#[derive(Debug)]
pub struct SoakReplica {
    /// Relay between all gateways and the replica.
    pub link: TcpRelay,
    identity: Arc<Mutex<ReplicaIdentity>>,
    /// Header line of all its responses that names a limit; empty without one.
    limit: Arc<Mutex<String>>,
}

impl SoakReplica {
    /// Starts a replica that records its executions in `runs`, with times relative to `start`.
    ///
    /// Fails if the relay cannot be started.
    pub fn start(
        identity: ReplicaIdentity,
        start: Instant,
        runs: &Arc<Mutex<Vec<ReplicaRun>>>,
    ) -> std::io::Result<Self> {
        let identity = Arc::new(Mutex::new(identity));
        let limit: Arc<Mutex<String>> = Arc::default();
        let (current, runs, line) = (identity.clone(), runs.clone(), limit.clone());
        let replica = FakeReplica::start("soak", move |request, _, stream| {
            let identity = lock(&current).clone();
            let headers = lock(&line).clone();
            serve(&identity, start, &runs, request, &mut ReplicaStream { stream, headers })
        });
        Ok(Self { link: TcpRelay::start(replica.address)?, identity, limit })
    }

    /// Returns the address of the relay, to which gateways connect.
    pub fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Returns the current identifier.
    pub fn id(&self) -> String {
        lock(&self.identity).id.clone()
    }

    /// Replaces the replica with another one of the same service at the same address.
    pub fn replace(&self, id: String) {
        lock(&self.identity).id = id;
    }

    /// Sets the limit that its responses name, in requests per second.
    pub fn set_limit(&self, per_second: Option<f64>) {
        let line = per_second.map(|limit| format!("Server-Limit: {limit}\r\n"));
        *lock(&self.limit) = line.unwrap_or_default();
    }

    /// Writes the replica's entry to the store.
    pub fn write_entry(&self, store: &FakeStore, state: &str) {
        let identity = lock(&self.identity).clone();
        let row = entry(self.address(), identity.service.name(), state);
        store.put(REPLICA_TABLE, &identity.id, Some(row));
    }

    /// Removes the replica's entry from the store.
    pub fn remove_entry(&self, store: &FakeStore) {
        store.put(REPLICA_TABLE, &self.id(), None);
    }
}

/// A connection with the header lines that each response on it bears.
struct ReplicaStream<'a> {
    stream: &'a mut TcpStream,
    headers: String,
}

/// Executes and records one request; returns whether to keep the connection.
fn serve(
    identity: &ReplicaIdentity,
    start: Instant,
    runs: &Mutex<Vec<ReplicaRun>>,
    request: &RawMessage,
    connection: &mut ReplicaStream<'_>,
) -> bool {
    let id = request.header("berylstep-attempt-id").unwrap_or_default().to_owned();
    if request.header("berylstep-expected-replica") != Some(&*identity.id) {
        let headers = format!("{}Berylstep-Not-Executed: 1\r\n", connection.headers);
        return respond(connection.stream, request, 421, &headers, "");
    }
    let line = format!("POST /{}/x?y=%20 HTTP/1.1", identity.service.name());
    let run = ReplicaRun {
        id: id.clone(),
        replica: identity.id.clone(),
        service: identity.service,
        organisation: request.header("berylstep-tenant").unwrap_or_default().to_owned(),
        has_key: request.header("x-api-key").is_some(),
        is_unchanged: request.head.starts_with(&line) && request.body == "body",
        began: start.elapsed(),
        ended: Duration::MAX,
    };
    let index = {
        let mut runs = lock(runs);
        runs.push(run);
        runs.len() - 1
    };
    let is_kept = answer(identity.service, &id, request, connection);
    lock(runs)[index].ended = start.elapsed();
    is_kept
}

/// Ends a stream inside the event after `count` others, with a last chunk as if it were complete.
fn truncate_stream(count: u32, request: &RawMessage, connection: &mut ReplicaStream<'_>) -> bool {
    let ReplicaStream { stream, headers } = connection;
    begin_events_with(stream, request, headers)
        && (1..=count).all(|number| write_event(stream, number))
        && stream.write_all(format!("5\r\nid: {}\r\n", count % 10).as_bytes()).is_ok()
        && end_events(stream)
}

fn answer(
    kind: RequestKind,
    id: &str,
    request: &RawMessage,
    connection: &mut ReplicaStream<'_>,
) -> bool {
    if !kind.is_stream() {
        let share = f64::from(event_count(id)) / 30.0;
        std::thread::sleep(MAX_WORK_TIME.mul_f64(share));
        return respond(connection.stream, request, 200, &connection.headers, &answer_body(id));
    }
    let from = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let count = event_count(id);
    if from == 0 && is_truncated(id) {
        return truncate_stream(count / 2, request, connection);
    }
    let ReplicaStream { stream, headers } = connection;
    begin_events_with(stream, request, headers)
        && (from + 1..=count).all(|number| {
            std::thread::sleep(EVENT_INTERVAL);
            write_event(stream, number)
        })
        && end_events(stream)
}
