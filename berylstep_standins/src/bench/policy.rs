//! Compares the arbiter with the baseline policy on the same arrivals, under load and faults.
//!
//! The arbiter is the node that owns a pool and assigns the slots of its engines.

use std::time::{Duration, Instant};

use berylstep_core::rendezvous;
use serde_json::{json, Value};

use super::load::{self, POOL};
use super::machine;
use super::score::RunScore;
use super::trace::{arrivals, ArrivalFlow, CLASSES, ORGANISATIONS};
use crate::client::CallRequest;
use crate::engine::EngineStats;
use crate::site::TrialSite;

/// Availability zones of the site.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of nodes.
const NODES: usize = 9;

/// Number of engines.
const ENGINES: usize = 12;

/// Slots of an engine: sequences in its batch.
const SLOTS: u64 = 8;

/// Duration of an iteration with a single sequence, in milliseconds.
const TOKEN_MS: u64 = 20;

/// Time that each additional sequence adds to an iteration, in microseconds.
const BATCH_US: u64 = 1_000;

/// Mean output length, in tokens.
const MEAN_TOKENS: u64 = 20;

/// Limit of output tokens in each request.
const MAX_TOKENS: u64 = 100;

/// Delay of the engines' load reports, in milliseconds.
const LOAD_LAG_MS: u64 = 500;

/// Duration of a case, in milliseconds.
const CASE_MS: u64 = 12_000;

/// Start and end of bursts, in milliseconds.
const BURST_MS: (u64, u64) = (3_000, 9_000);

/// Time of the fault, in milliseconds.
const FAULT_MS: u64 = 5_000;

/// Time for which the owner of the pool is frozen, in milliseconds.
const FREEZE_MS: u64 = 2_000;

/// Notice period before the engines of a zone are killed, in milliseconds.
const NOTICE_MS: u64 = 2_000;

/// Demand of each class outside bursts, as a share of the capacity.
const BASE_SHARES: [f64; CLASSES.len()] = [0.2, 0.2, 0.2];

/// Values of `--slot-policy` that are compared.
const POLICIES: [&str; 2] = ["alone", "arbiter"];

type BenchError = Box<dyn std::error::Error>;

/// Fault of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CaseFault {
    None,
    SlowReplica,
    OwnerKilled,
    OwnerFrozen,
    ZoneEvicted,
}

/// A benchmark case.
#[derive(Clone, Copy, Debug)]
struct PolicyCase {
    name: &'static str,
    /// Total demand during the burst, as a multiple of the capacity; the lowest tier provides the
    /// additional demand.
    burst: f64,
    /// Additional demand of one organisation in the middle tier, sent to a single node, as a
    /// multiple of the capacity.
    flood: f64,
    fault: CaseFault,
}

const CASES: [PolicyCase; 8] = [
    PolicyCase { name: "calm", burst: 0.0, flood: 0.0, fault: CaseFault::None },
    PolicyCase { name: "burst 1.5", burst: 1.5, flood: 0.0, fault: CaseFault::None },
    PolicyCase { name: "burst 3", burst: 3.0, flood: 0.0, fault: CaseFault::None },
    PolicyCase { name: "flood", burst: 0.0, flood: 2.0, fault: CaseFault::None },
    PolicyCase { name: "slow replica", burst: 0.0, flood: 0.0, fault: CaseFault::SlowReplica },
    PolicyCase { name: "owner killed", burst: 1.5, flood: 0.0, fault: CaseFault::OwnerKilled },
    PolicyCase { name: "owner frozen", burst: 1.5, flood: 0.0, fault: CaseFault::OwnerFrozen },
    PolicyCase { name: "zone evicted", burst: 0.0, flood: 0.0, fault: CaseFault::ZoneEvicted },
];

/// Runs the cases whose name contains `filter`, each with both policies, and prints their scores.
///
/// Fails if a site cannot be started or configured.
pub fn run(seed: u64, filter: &str) -> Result<(), BenchError> {
    println!("machine: {}", machine::description());
    println!(
        "{NODES} nodes, {ENGINES} engines of {SLOTS} slots, {:.0} requests a second at capacity, \
         seed {seed}, {CASE_MS} ms a case",
        capacity()
    );
    print_heading();
    for case in CASES.iter().filter(|case| case.name.contains(filter)) {
        for policy in POLICIES {
            let score = run_case(case, policy, seed)?;
            print_score(case.name, policy, &score);
        }
    }
    println!("load average at the end: {}", machine::load_average());
    Ok(())
}

/// Returns the requests per second that all engines together serve with full batches.
fn capacity() -> f64 {
    let iteration_us = TOKEN_MS * 1_000 + BATCH_US * (SLOTS - 1);
    let tokens_per_second = (ENGINES as u64 * SLOTS * 1_000_000) as f64 / iteration_us as f64;
    tokens_per_second / mean_output_tokens()
}

/// Returns the mean output length: a geometric distribution truncated at [`MAX_TOKENS`].
fn mean_output_tokens() -> f64 {
    let continue_probability = 1.0 - 1.0 / MEAN_TOKENS as f64;
    MEAN_TOKENS as f64 * (1.0 - continue_probability.powi(MAX_TOKENS as i32))
}

fn run_case(case: &PolicyCase, policy: &str, seed: u64) -> Result<RunScore, BenchError> {
    let mut site = start_site(policy, seed)?;
    let owner = owner_index(&site);
    // Callers of a lost node fail under any policy, so only the other nodes get requests: their
    // losses show the effect of the arbiter.
    let called_nodes: Vec<usize> = match case.fault {
        CaseFault::OwnerKilled | CaseFault::OwnerFrozen => {
            (0..NODES).filter(|&index| index != owner).collect()
        }
        _ => (0..NODES).collect(),
    };
    let trace = arrivals(seed, &flows(case), &called_nodes);
    let addresses: Vec<_> = site.nodes.iter().map(|node| node.caller_address).collect();
    let mut fault = FaultSchedule::new(case.fault, owner);
    let started = Instant::now();
    let records = load::send(&trace, &addresses, MAX_TOKENS, |now| fault.advance(&mut site, now));
    let elapsed = started.elapsed();
    let generated = fault.killed_tokens + site_tokens(&site, &fault.killed);
    let spend = fault.spend(elapsed);
    let length = Duration::from_millis(CASE_MS);
    let window = Duration::from_millis(BURST_MS.0)..Duration::from_millis(BURST_MS.1);
    Ok(RunScore::new(&records, generated, length, window, spend))
}

fn flows(case: &PolicyCase) -> Vec<ArrivalFlow> {
    let flow = |class, share: f64, (from_ms, until_ms)| ArrivalFlow {
        class,
        rate: share * capacity(),
        from_ms,
        until_ms,
        organisation: None,
        node: None,
    };
    let mut flows: Vec<_> = BASE_SHARES
        .into_iter()
        .enumerate()
        .map(|(class, share)| flow(class, share, (0, CASE_MS)))
        .collect();
    if case.burst > 0.0 {
        let additional = case.burst - BASE_SHARES.iter().sum::<f64>();
        flows.push(flow(CLASSES.len() - 1, additional, BURST_MS));
    }
    if case.flood > 0.0 {
        let flood = flow(1, case.flood, BURST_MS);
        flows.push(ArrivalFlow { organisation: Some(0), node: Some(0), ..flood });
    }
    flows
}

fn start_site(policy: &str, seed: u64) -> Result<TrialSite, BenchError> {
    let mut site = TrialSite::start()?;
    let numbers = [TOKEN_MS, BATCH_US, SLOTS, MEAN_TOKENS, LOAD_LAG_MS, seed];
    let numbers = numbers.map(|number| number.to_string());
    let flags = ["--token-ms", "--batch-us", "--slots", "--mean-tokens", "--load-lag-ms", "--seed"];
    let arguments: Vec<&str> =
        flags.into_iter().zip(&numbers).flat_map(|(flag, number)| [flag, number]).collect();
    for index in 0..ENGINES {
        site.add_engine(POOL, ZONES[index % ZONES.len()], &arguments)?;
    }
    for index in 0..NODES {
        site.add_node(ZONES[index % ZONES.len()], &["--slot-policy", policy])?;
    }
    site.wait_ready();
    let stored = site.apply(0, &configuration());
    if stored.status >= 300 {
        return Err(format!("configuration was not stored: {}", stored.body).into());
    }
    wait_in_force(&site);
    Ok(site)
}

fn wait_in_force(site: &TrialSite) {
    let message = json!({ "role": "user", "content": "ready?" });
    let body = json!({ "model": POOL, "max_tokens": 1, "messages": [message] });
    for node in &site.nodes {
        site.wait_until("the node forwards", |site| {
            let call = CallRequest::post(node.caller_address, "/v1/chat/completions", &body);
            site.call(call.key(&load::key_of(ORGANISATIONS - 1))).status == 200
        });
    }
}

fn configuration() -> Value {
    let mut put: Vec<Value> = CLASSES
        .iter()
        .map(|class| {
            json!({ "class": {
                "name": class.name, "tier": class.tier, "latency_ms": class.latency_ms,
                "attainment": 0.95, "deadline_ms": class.deadline_ms,
            }})
        })
        .collect();
    let organisations = (0..ORGANISATIONS).map(|index| format!("organisation-{index}"));
    put.extend(organisations.clone().map(|name| json!({ "organisation": { "name": name } })));
    let classes: Vec<_> = CLASSES.iter().map(|class| class.name).collect();
    put.push(json!({ "route": {
        "name": POOL, "match": { "model": POOL }, "pool": POOL, "classes": classes,
    }}));
    let grants = organisations
        .enumerate()
        .map(|(index, name)| json!({ "organisation": name, "key": load::key_of(index) }));
    json!({ "against": 0, "put": put, "grant": grants.collect::<Vec<_>>() })
}

/// Returns the index of the node that owns the pool while all nodes are live.
fn owner_index(site: &TrialSite) -> usize {
    let ranked = rendezvous::rank(POOL, site.nodes.iter().map(|node| &*node.name));
    let owner = ranked.first().copied().unwrap_or_default();
    site.nodes.iter().position(|node| node.name == owner).unwrap_or_default()
}

/// Returns the tokens generated by the engines that have not been killed.
fn site_tokens(site: &TrialSite, killed: &[usize]) -> u64 {
    let alive = (0..site.upstreams.len()).filter(|index| !killed.contains(index));
    alive.map(|index| engine_tokens(site, index)).sum()
}

fn engine_tokens(site: &TrialSite, index: usize) -> u64 {
    let call = CallRequest::get(site.upstreams[index].address, "/control/stats");
    let stats: EngineStats = serde_json::from_value(site.call(call).json()).unwrap_or_default();
    stats.tokens
}

/// Injects the fault of a case in steps.
struct FaultSchedule {
    fault: CaseFault,
    owner: usize,
    steps_done: usize,
    killed: Vec<usize>,
    killed_tokens: u64,
}

impl FaultSchedule {
    fn new(fault: CaseFault, owner: usize) -> Self {
        Self { fault, owner, steps_done: 0, killed: Vec::new(), killed_tokens: 0 }
    }

    /// Executes the next step if it is due at `now`.
    fn advance(&mut self, site: &mut TrialSite, now: Duration) {
        let gap_ms = match self.fault {
            CaseFault::ZoneEvicted => NOTICE_MS,
            _ => FREEZE_MS,
        };
        let due = FAULT_MS + gap_ms * self.steps_done as u64;
        if now < Duration::from_millis(due) {
            return;
        }
        self.steps_done += 1;
        match (self.fault, self.steps_done) {
            (CaseFault::SlowReplica, 1) => {
                let faults = json!({ "slow_factor": 10.0 });
                site.call(CallRequest::post(site.upstreams[0].address, "/control/faults", &faults));
            }
            (CaseFault::OwnerKilled, 1) => site.nodes[self.owner].process.kill(),
            (CaseFault::OwnerFrozen, 1) => site.nodes[self.owner].process.freeze(),
            (CaseFault::OwnerFrozen, 2) => site.nodes[self.owner].process.thaw(),
            (CaseFault::ZoneEvicted, 1) => {
                let leaving =
                    site.upstreams.iter_mut().filter(|upstream| upstream.vm["zone"] == "c");
                leaving.for_each(|upstream| upstream.vm["state"] = "leaving".into());
                site.publish_vms();
            }
            (CaseFault::ZoneEvicted, 2) => self.kill_zone(site),
            _ => {}
        }
    }

    fn kill_zone(&mut self, site: &mut TrialSite) {
        let is_leaving = |index: &usize| site.upstreams[*index].vm["zone"] == "c";
        self.killed = (0..site.upstreams.len()).filter(is_leaving).collect();
        for &index in &self.killed {
            self.killed_tokens += engine_tokens(site, index);
            site.upstreams[index].process.kill();
        }
    }

    /// Returns the replica-seconds of a run that took `elapsed`.
    fn spend(&self, elapsed: Duration) -> f64 {
        let killed_at = Duration::from_millis(FAULT_MS + NOTICE_MS);
        let saved = elapsed.saturating_sub(killed_at).as_secs_f64() * self.killed.len() as f64;
        elapsed.as_secs_f64() * ENGINES as f64 - saved
    }
}

fn print_heading() {
    println!(
        "| case | policy | attainment of {}, {}, {} | goodput, tokens/s | wasted/goodput | \
         worst organisation | replica-s | broken | late | longest gap, ms | refusals |",
        CLASSES[0].name, CLASSES[1].name, CLASSES[2].name
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
}

fn print_score(case: &str, policy: &str, score: &RunScore) {
    let [first, second, third] = score.attainment;
    let worst = score.worst_organisation.map(|share| format!("{share:.2}"));
    let refusals = score.refusals.iter().map(|(reason, count)| format!("{count}x {reason}"));
    println!(
        "| {case} | {policy} | {first:.3}, {second:.3}, {third:.3} of {:?} | {:.0} | {:.3} | {} \
         | {:.0} | {} | {} | {} | {} |",
        score.requests,
        score.goodput,
        score.wasted,
        worst.join(", "),
        score.spend,
        score.broken,
        score.late,
        score.longest_gap.as_millis(),
        refusals.collect::<Vec<_>>().join(", "),
    );
}
