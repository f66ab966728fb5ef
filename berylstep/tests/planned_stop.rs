//! A planned stop interrupts no request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use berylstep_http::{ClientConnection, ExchangeError};
use berylstep_standins::client::CallRequest;
use berylstep_standins::site::operate::initial_change;
use berylstep_standins::site::TrialSite;
use http_types::{Method, Request, Url};
use serde_json::{json, Value};

const KEY: &str = "key-of-rivers";
const CALLERS: usize = 6;

/// Time to live of `/v1/entries` responses.
const ENTRIES_TTL: Duration = Duration::from_millis(400);
const NODE_FLAGS: &[&str] = &["--entries-ttl-ms", "400"];

fn start_site() -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    site.add_engine("drafter", "a", &["--token-ms", "20"]).unwrap();
    site.add_service("booking", "b", &[]).unwrap();
    for zone in ["a", "b", "c"] {
        site.add_node(zone, NODE_FLAGS).unwrap();
    }
    site.wait_ready();
    assert_eq!(site.apply(0, &initial_change(KEY)).status, 200);
    site.wait_status("/booking/x", KEY, &[200]);
    site
}

/// A caller that caches an address for its time to live, and reuses one connection while it is
/// open.
struct CachingCaller<'a> {
    /// Nodes that are queried for addresses.
    nodes: &'a [SocketAddr],
    address: SocketAddr,
    expires_at: Instant,
    connection: Option<ClientConnection>,
}

impl<'a> CachingCaller<'a> {
    fn new(nodes: &'a [SocketAddr]) -> Self {
        let expires_at = Instant::now();
        Self { nodes, address: nodes[0], expires_at, connection: None }
    }

    /// Queries for addresses if the cached one has expired.
    fn refresh_address(&mut self, seed: usize) {
        let now = Instant::now();
        if now < self.expires_at {
            return;
        }
        let answers = self
            .nodes
            .iter()
            .filter_map(|&node| smol::block_on(CallRequest::get(node, "/v1/entries").send()).ok());
        let listed: Vec<SocketAddr> = answers.flat_map(|answer| urls(&answer.json())).collect();
        let address = listed[seed % listed.len()];
        self.expires_at = now + ENTRIES_TTL;
        if address != self.address {
            self.connection = None;
        }
        self.address = address;
    }

    async fn call(&mut self) -> Result<u16, ExchangeError> {
        let url = Url::parse(&format!("http://{}/booking/x", self.address)).unwrap();
        let mut request = Request::new(Method::Get, url);
        request.insert_header("authorization", format!("Bearer {KEY}"));
        let idle = self.connection.take().filter(ClientConnection::is_open);
        let connection = match idle {
            Some(connection) => connection,
            None => ClientConnection::connect(self.address).await?,
        };
        let mut answer = connection.exchange(request).await?;
        let status = answer.response.status().into();
        let body = answer.response.body_bytes().await;
        body.map_err(|err| ExchangeError::Decode(err.to_string()))?;
        self.connection = answer.reuse.into_connection();
        Ok(status)
    }
}

fn urls(entries: &Value) -> Vec<SocketAddr> {
    let entries = entries["entries"].as_array().cloned().unwrap_or_default();
    let urls = entries.iter().filter_map(|entry| entry["url"].as_str());
    urls.filter_map(|url| url.strip_prefix("http://")?.parse().ok()).collect()
}

/// Sends calls until `stopped` is set; returns the failures.
fn call_until_stopped(
    nodes: &[SocketAddr],
    seed: usize,
    stopped: &AtomicBool,
    served: &AtomicU64,
) -> Vec<String> {
    let mut caller = CachingCaller::new(nodes);
    let mut failures = Vec::new();
    let mut turn = seed;
    while !stopped.load(Ordering::Relaxed) {
        turn += 7;
        caller.refresh_address(turn);
        match smol::block_on(caller.call()) {
            Ok(200) => _ = served.fetch_add(1, Ordering::Relaxed),
            Ok(status) => failures.push(format!("{}: status {status}", caller.address)),
            Err(err) => failures.push(format!("{}: {err}", caller.address)),
        }
    }
    failures
}

fn wait_exit(site: &mut TrialSite, node: usize) -> i32 {
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        if let Some(code) = site.nodes[node].process.exit_code() {
            return code;
        }
        assert!(Instant::now() < deadline, "n{node} has not stopped");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_rolling_restart_under_load_fails_no_request() {
    let mut site = start_site();
    let nodes: Vec<_> = site.nodes.iter().map(|node| node.caller_address).collect();
    let (stopped, served) = (AtomicBool::new(false), AtomicU64::new(0));
    let failures: Vec<_> = thread::scope(|scope| {
        let callers = (0..CALLERS).map(|seed| {
            let (nodes, stopped, served) = (&nodes, &stopped, &served);
            scope.spawn(move || call_until_stopped(nodes, seed, stopped, served))
        });
        let callers: Vec<_> = callers.collect();
        for node in 0..3 {
            site.nodes[node].process.terminate();
            assert_eq!(wait_exit(&mut site, node), 0);
            assert_eq!(site.rows(&format!("node/n{node}")).len(), 0, "the row is removed");
            site.restart_node(node, ["a", "b", "c"][node], NODE_FLAGS).unwrap();
            site.wait_ready();
        }
        stopped.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    });
    let served = served.load(Ordering::Relaxed);
    println!("rolling restart: {served} served, {} failed", failures.len());
    assert!(failures.is_empty(), "{} failed: {:?}", failures.len(), &failures[..1]);
    assert!(served > 100, "{served}");
}

#[test]
fn streams_run_across_a_stop_and_a_second_signal() {
    let mut site = start_site();
    // 300 tokens of 20 ms take longer than announcing the stop plus the time to live of addresses.
    let body = json!({ "model": "drafter", "stream": true, "max_tokens": 300, "messages": [] });
    let address = site.nodes[0].caller_address;
    let call = CallRequest::post(address, "/v1/chat/completions", &body).key(KEY);
    let streams: Vec<_> = (0..4)
        .map(|_| {
            let call = call.clone();
            thread::spawn(move || smol::block_on(call.send()))
        })
        .collect();
    site.wait_until("the streams run", |site| site.status(0)["in_flight"].as_u64() == Some(4));
    site.nodes[0].process.terminate();
    site.wait_until("the node is no longer listed", |site| {
        (0..3).all(|node| !site.advertised_entries(node).contains(&address))
    });
    // Callers may still use the address until their cached list expires.
    let late = CallRequest::get(address, "/booking/x").key(KEY);
    assert_eq!(site.call(late).status, 200);
    site.nodes[0].process.terminate();
    for stream in streams {
        let answer = stream.join().unwrap().unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body.len());
    }
    assert_eq!(wait_exit(&mut site, 0), 0);
}

#[test]
fn an_idle_connection_gets_its_last_answer_with_a_close() {
    let mut site = start_site();
    let address = site.nodes[0].caller_address;
    let url = Url::parse(&format!("http://{address}/booking/x")).unwrap();
    let mut head = Request::new(Method::Get, url);
    head.insert_header("authorization", format!("Bearer {KEY}"));
    let mut connection = smol::block_on(ClientConnection::connect(address)).unwrap();
    site.nodes[0].process.terminate();
    let mut answers = 0;
    let closed = loop {
        let mut answer = smol::block_on(connection.exchange(head.clone())).unwrap();
        assert_eq!(u16::from(answer.response.status()), 200);
        smol::block_on(answer.response.body_bytes()).unwrap();
        answers += 1;
        let close = answer.response.header("connection").map(|value| value.last().to_string());
        match answer.reuse.into_connection() {
            Some(open) => connection = open,
            None => break close,
        }
    };
    println!("{answers} answers before the connection was closed");
    assert_eq!(closed.as_deref(), Some("close"));
    assert_eq!(wait_exit(&mut site, 0), 0);
}
