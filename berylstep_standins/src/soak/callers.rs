//! Callers of a soak: look up gateway addresses, reuse connections and record the outcome of each
//! request.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::record::{CallerOutcome, CallerRequest, RequestKind};
use crate::fleet::gateway::listed_addresses;
use crate::fleet::lock;
use crate::fleet::message::{read_message, request_text};

/// Deadlines of requests, in milliseconds.
const DEADLINE_MS: std::ops::Range<u64> = 800..2500;

/// Time for which a caller keeps reading after its deadline, to observe late answers.
const LATE_READ_TIME: Duration = Duration::from_millis(700);

/// Maximum pause between two requests of a caller.
const MAX_PAUSE: Duration = Duration::from_millis(60);

/// Time for which a caller caches a list of gateway addresses.
const ADDRESS_TTL: Duration = Duration::from_millis(1500);

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A gateway, as callers reach it.
#[derive(Debug)]
pub struct KnownGateway {
    /// Address listed by directories.
    pub listed: SocketAddr,
    /// Address that callers connect to: a relay in front of the gateway.
    pub relay: SocketAddr,
    /// Address of the gateway's directory.
    pub directory: SocketAddr,
    /// Incarnation of the current process, counted from 0.
    pub incarnation: AtomicUsize,
}

/// State shared by all callers.
#[derive(Debug)]
pub struct CallerContext {
    /// Gateways of the fleet.
    pub gateways: Vec<KnownGateway>,
    /// Number of organisations.
    pub organisations: usize,
    /// Start of the traffic, from which times are recorded.
    pub start: Instant,
    /// End of the traffic.
    pub end: Instant,
    /// Requests and their outcomes.
    pub requests: Mutex<Vec<CallerRequest>>,
}

struct OpenConnection {
    gateway: usize,
    reader: BufReader<TcpStream>,
}

/// Sends requests one at a time until the end of the traffic.
pub fn run_caller(context: &CallerContext, number: usize, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed ^ (number as u64) << 32);
    let mut connection: Option<OpenConnection> = None;
    let mut addresses: (Vec<usize>, Instant) = (Vec::new(), context.start);
    for count in 0.. {
        if Instant::now() >= context.end {
            return;
        }
        if addresses.0.is_empty() || addresses.1.elapsed() > ADDRESS_TTL {
            addresses = (query_gateways(context, &mut rng), Instant::now());
        }
        std::thread::sleep(MAX_PAUSE.mul_f64(rng.f64()));
        if connection.is_none() {
            connection = rng.choice(&addresses.0).and_then(|gateway| connect(context, *gateway));
        }
        let Some(open) = &mut connection else {
            addresses.0.clear();
            continue;
        };
        let draft = RequestDraft {
            id: format!("{number}-{count}"),
            kind: RequestKind::ALL[rng.usize(0..RequestKind::ALL.len())],
            organisation: rng.usize(0..context.organisations),
            patience: Duration::from_millis(rng.u64(DEADLINE_MS)),
        };
        if !send(context, open, draft) {
            connection = None;
        }
    }
}

/// Asks the directory of a random gateway and returns the indices of the listed gateways.
fn query_gateways(context: &CallerContext, rng: &mut fastrand::Rng) -> Vec<usize> {
    let gateway = &context.gateways[rng.usize(0..context.gateways.len())];
    let listed = listed_addresses(gateway.directory);
    let find = |address: &String| {
        context.gateways.iter().position(|gateway| gateway.listed.to_string() == *address)
    };
    listed.iter().filter_map(find).collect()
}

fn connect(context: &CallerContext, gateway: usize) -> Option<OpenConnection> {
    let stream =
        TcpStream::connect_timeout(&context.gateways[gateway].relay, CONNECT_TIMEOUT).ok()?;
    Some(OpenConnection { gateway, reader: BufReader::new(stream) })
}

struct RequestDraft {
    id: String,
    kind: RequestKind,
    organisation: usize,
    patience: Duration,
}

/// Sends one request and records its outcome; returns whether to keep the connection.
fn send(context: &CallerContext, connection: &mut OpenConnection, draft: RequestDraft) -> bool {
    let RequestDraft { id, kind, organisation, patience } = draft;
    let key = format!("X-Api-Key: key-{organisation}\r\n");
    let text = request_text(kind.name(), &id, patience.as_millis() as u64, &key);
    let incarnation = context.gateways[connection.gateway].incarnation.load(Ordering::SeqCst);
    let sent = context.start.elapsed();
    let limit = patience + LATE_READ_TIME;
    let stream = connection.reader.get_mut();
    let is_sent =
        stream.set_read_timeout(Some(limit)).is_ok() && stream.write_all(text.as_bytes()).is_ok();
    let answer = if is_sent { read_message(&mut connection.reader) } else { None };
    let ended = context.start.elapsed();
    let is_closing =
        answer.as_ref().is_none_or(|answer| answer.header("connection") == Some("close"));
    let end = match answer {
        Some(answer) => CallerOutcome::Whole {
            status: answer.status(),
            is_signed: answer.header("berylstep-replica-signature").is_some(),
            names: answer.header("berylstep-attempt-id").unwrap_or_default().to_owned(),
            body: answer.body,
        },
        None if ended - sent >= limit => CallerOutcome::Silent,
        None => CallerOutcome::Broken,
    };
    let gateway = connection.gateway;
    let request =
        CallerRequest { id, kind, organisation, gateway, incarnation, sent, patience, ended, end };
    lock(&context.requests).push(request);
    !is_closing
}
