//! Callers of a soak: they ask for addresses, keep connections open while they last, and note what
//! they get.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::record::{CallerEnd, CallerRequest, RequestKind};
use crate::fleet::gateway::listed_addresses;
use crate::fleet::lock;
use crate::fleet::message::{read_message, request_text};

/// Times for which callers wait, in milliseconds.
const PATIENCE_MS: std::ops::Range<u64> = 800..2500;

/// Time after its patience for which a caller still listens, in order to see what comes.
const LISTEN_ON: Duration = Duration::from_millis(700);

/// Longest pause between two requests of a caller.
const LONGEST_PAUSE: Duration = Duration::from_millis(60);

/// Time for which a caller keeps a list of addresses.
const LIST_TIME: Duration = Duration::from_millis(1500);

/// Time to connect.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// A gateway as callers know it.
#[derive(Debug)]
pub struct KnownGateway {
    /// Address that directories name.
    pub named: SocketAddr,
    /// Address that callers connect to: their link to the gateway.
    pub link: SocketAddr,
    /// Its directory.
    pub directory: SocketAddr,
    /// Number of its present process, counted from 0.
    pub incarnation: AtomicUsize,
}

/// What callers share.
#[derive(Debug)]
pub struct CallerSite {
    /// Gateways.
    pub gateways: Vec<KnownGateway>,
    /// Organisations.
    pub organisations: usize,
    /// Start of the traffic.
    pub start: Instant,
    /// End of the traffic.
    pub end: Instant,
    /// What was sent.
    pub requests: Mutex<Vec<CallerRequest>>,
}

struct OpenConnection {
    gateway: usize,
    reader: BufReader<TcpStream>,
}

/// Sends requests one after another until the end of the traffic.
pub fn run_caller(site: &CallerSite, number: usize, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed ^ (number as u64) << 32);
    let mut open: Option<OpenConnection> = None;
    let mut list: (Vec<usize>, Instant) = (Vec::new(), site.start);
    for count in 0.. {
        if Instant::now() >= site.end {
            return;
        }
        if list.0.is_empty() || list.1.elapsed() > LIST_TIME {
            list = (ask_addresses(site, &mut rng), Instant::now());
        }
        std::thread::sleep(LONGEST_PAUSE.mul_f64(rng.f64()));
        if open.is_none() {
            open = rng.choice(&list.0).and_then(|gateway| connect(site, *gateway));
        }
        let Some(connection) = &mut open else {
            list.0.clear();
            continue;
        };
        let draft = RequestDraft {
            id: format!("{number}-{count}"),
            kind: RequestKind::ALL[rng.usize(0..RequestKind::ALL.len())],
            organisation: rng.usize(0..site.organisations),
            patience: Duration::from_millis(rng.u64(PATIENCE_MS)),
        };
        if !send(site, connection, draft) {
            open = None;
        }
    }
}

fn ask_addresses(site: &CallerSite, rng: &mut fastrand::Rng) -> Vec<usize> {
    let asked = &site.gateways[rng.usize(0..site.gateways.len())];
    let listed = listed_addresses(asked.directory);
    let find = |address: &String| {
        site.gateways.iter().position(|gateway| gateway.named.to_string() == *address)
    };
    listed.iter().filter_map(find).collect()
}

fn connect(site: &CallerSite, gateway: usize) -> Option<OpenConnection> {
    let stream = TcpStream::connect_timeout(&site.gateways[gateway].link, CONNECT_TIME).ok()?;
    Some(OpenConnection { gateway, reader: BufReader::new(stream) })
}

struct RequestDraft {
    id: String,
    kind: RequestKind,
    organisation: usize,
    patience: Duration,
}

/// Sends one request and notes its end; tells whether the connection is kept.
fn send(site: &CallerSite, connection: &mut OpenConnection, draft: RequestDraft) -> bool {
    let RequestDraft { id, kind, organisation, patience } = draft;
    let key = format!("X-Api-Key: key-{organisation}\r\n");
    let text = request_text(kind.name(), &id, patience.as_millis() as u64, &key);
    let incarnation = site.gateways[connection.gateway].incarnation.load(Ordering::SeqCst);
    let sent = site.start.elapsed();
    let limit = patience + LISTEN_ON;
    let stream = connection.reader.get_mut();
    let is_sent =
        stream.set_read_timeout(Some(limit)).is_ok() && stream.write_all(text.as_bytes()).is_ok();
    let answer = if is_sent { read_message(&mut connection.reader) } else { None };
    let ended = site.start.elapsed();
    let is_closing =
        answer.as_ref().is_none_or(|answer| answer.header("connection") == Some("close"));
    let end = match answer {
        Some(answer) => CallerEnd::Whole {
            status: answer.status(),
            is_signed: answer.header("berylstep-replica-signature").is_some(),
            names: answer.header("berylstep-attempt-id").unwrap_or_default().to_owned(),
            body: answer.body,
        },
        None if ended - sent >= limit => CallerEnd::Silent,
        None => CallerEnd::Broken,
    };
    let gateway = connection.gateway;
    let request =
        CallerRequest { id, kind, organisation, gateway, incarnation, sent, patience, ended, end };
    lock(&site.requests).push(request);
    !is_closing
}
