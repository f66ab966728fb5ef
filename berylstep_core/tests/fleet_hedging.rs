//! Hedged requests: when a second attempt is worth its load, and that few are sent.

use std::sync::Arc;
use std::time::Duration;

use berylstep_core::collections::SharedName;
use berylstep_core::fleet::choice::RequestSize;
use berylstep_core::fleet::desired::RouteKind;
use berylstep_core::fleet::hedging::{
    is_room_short, AttemptEnd, AttemptSample, HedgeAsk, HedgeBounds, HedgeDenial, HedgeKind,
    HedgeLedger, HedgeVerdict,
};

const BOUNDS: HedgeBounds = HedgeBounds { ratio: 0.05, quantile: 0.95 };

/// Requests of a node in a second.
const RATE: u64 = 50;

/// Relative error of a quantile: the ratio of the buckets, and what few samples allow.
const TOLERANCE: f64 = 0.25;

const START: Duration = Duration::from_secs(100);

/// One node's ledger with a clock.
struct NodeHedges {
    ledger: HedgeLedger,
    service: SharedName,
    bounds: HedgeBounds,
    nodes: usize,
    now: Duration,
    random: u64,
}

impl NodeHedges {
    fn new(nodes: usize) -> Self {
        Self {
            ledger: HedgeLedger::default(),
            service: Arc::from("ledger-api"),
            bounds: BOUNDS,
            nodes,
            now: START,
            random: 0x1234_5678_9abc_def1 + nodes as u64,
        }
    }

    /// Returns a number uniformly distributed from 0 to 1, the same in each run.
    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn kind() -> HedgeKind {
        HedgeKind::new(RouteKind::Safe, None)
    }

    fn ask() -> HedgeAsk<'static> {
        HedgeAsk {
            service: "ledger-api",
            kind: Self::kind(),
            pace: 1.0,
            time_left: Duration::from_secs(1),
            is_room_short: false,
        }
    }

    fn decide(&self) -> HedgeVerdict {
        self.ledger.decide(&Self::ask(), &self.bounds, self.now)
    }

    fn delay(&self) -> Option<Duration> {
        match self.decide() {
            HedgeVerdict::After(delay) => Some(delay),
            HedgeVerdict::Denied(_) => None,
        }
    }

    fn claim(&mut self, change: fn(&mut HedgeAsk<'_>)) -> Result<(), HedgeDenial> {
        let mut ask = Self::ask();
        change(&mut ask);
        self.ledger.claim(&ask, &self.bounds, self.now)
    }

    fn record(&mut self, end: AttemptEnd, elapsed: Duration) {
        let sample = AttemptSample { kind: Self::kind(), end, elapsed, pace: 1.0 };
        self.ledger.record_attempt(&self.service, &sample, self.now);
    }

    /// Serves a request that is hedged where the ledger allows it. `times` are those of both attempts.
    /// Returns the time to the response, and whether it was hedged.
    fn serve(&mut self, times: [Duration; 2]) -> (Duration, bool) {
        self.ledger.record_request(&self.service, &self.bounds, self.nodes);
        let [first, second] = times;
        let delay = self.delay().filter(|delay| *delay < first);
        let Some(delay) = delay.filter(|_| self.claim(|_| ()).is_ok()) else {
            self.record(AttemptEnd::Responded, first);
            return (first, false);
        };
        if first <= delay + second {
            self.record(AttemptEnd::Responded, first);
            self.record(AttemptEnd::Cancelled, first - delay);
            return (first, true);
        }
        self.record(AttemptEnd::Cancelled, delay + second);
        self.record(AttemptEnd::Responded, second);
        (delay + second, true)
    }

    /// Records responses for some time; their times are uniformly distributed up to `longest`.
    fn observe(&mut self, longest: Duration, time: Duration) {
        let count = (time.as_secs_f64() * RATE as f64) as u64;
        for _ in 0..count {
            self.now += Duration::from_secs(1) / RATE as u32;
            let elapsed = longest.mul_f64(self.draw());
            self.ledger.record_request(&self.service, &self.bounds, self.nodes);
            self.record(AttemptEnd::Responded, elapsed);
        }
    }

    /// Returns a node that knows response times of up to 100 ms and has saved up hedges.
    fn experienced(nodes: usize) -> Self {
        let mut node = Self::new(nodes);
        node.observe(Duration::from_millis(100), Duration::from_secs(16));
        node
    }
}

fn is_close(value: Duration, expected: Duration) -> bool {
    (value.as_secs_f64() / expected.as_secs_f64() - 1.0).abs() <= TOLERANCE
}

struct ChangeCase {
    name: &'static str,
    before_ms: u64,
    after_ms: u64,
    /// Time within which the delay has followed.
    within_s: u64,
}

// Guards against hedges after the quantile of a load that is long past: too many after a slowdown, and none
// after a recovery.
#[test]
fn the_delay_follows_a_change_of_load() {
    let cases = [
        ChangeCase { name: "three times slower", before_ms: 100, after_ms: 300, within_s: 5 },
        ChangeCase { name: "ten times slower", before_ms: 50, after_ms: 500, within_s: 5 },
        ChangeCase { name: "four times faster", before_ms: 400, after_ms: 100, within_s: 8 },
    ];
    for case in cases {
        let mut node = NodeHedges::new(1);
        for (longest, time) in [(case.before_ms, 20), (case.after_ms, case.within_s)] {
            let longest = Duration::from_millis(longest);
            node.observe(longest, Duration::from_secs(time));
            let delay = node.delay().unwrap_or_default();
            let expected = longest.mul_f64(0.95);
            assert!(is_close(delay, expected), "{}: {delay:?} of {expected:?}", case.name);
        }
    }
}

// Guards against a quantile that falls since slow attempts are cancelled and leave no response time: each
// hedge would then be followed by more.
#[test]
fn cancelled_attempts_do_not_lower_the_delay() {
    let mut node = NodeHedges::new(1);
    // The ratio allows a hedge for each request that reaches the delay.
    node.bounds.ratio = 1.0;
    let (mut hedges, mut requests, mut delays) = (0, 0, Duration::ZERO);
    for second in 0..60 {
        for _ in 0..RATE {
            node.now += Duration::from_secs(1) / RATE as u32;
            let times = [node.draw(), node.draw()].map(draw_time);
            let (_, is_hedged) = node.serve(times);
            if second >= 20 {
                (requests, hedges) = (requests + 1, hedges + u32::from(is_hedged));
                delays += node.delay().expect("enough samples");
            }
        }
    }
    // The samples of two seconds leave a wide error; that of the mean over forty seconds is small.
    let (mean, expected) = (delays / requests, draw_time(0.95));
    assert!(is_close(mean, expected), "{mean:?} of {expected:?}");
    let share = f64::from(hedges) / f64::from(requests);
    assert!((0.03..0.07).contains(&share), "{share} of the requests were hedged");
}

/// Returns the time of an attempt: mostly 20 to 40 ms, and ten times as long for 8 in 100.
fn draw_time(draw: f64) -> Duration {
    let usual = Duration::from_millis(20) + Duration::from_millis(20).mul_f64(draw);
    match draw < 0.92 {
        true => usual,
        false => usual.mul_f64(10.0).mul_f64(0.5 + (draw - 0.92) / 0.08),
    }
}

struct FleetCase {
    nodes: usize,
    /// Requests of all nodes together.
    requests: u64,
}

// Guards against a budget that grows with the number of nodes: what one node may send above the ratio is sent by
// all of them when all replicas slow down at the same moment.
#[test]
fn hedges_of_all_nodes_stay_within_the_ratio_and_a_small_burst() {
    let cases = [
        FleetCase { nodes: 1, requests: 5000 },
        FleetCase { nodes: 1, requests: 100 },
        FleetCase { nodes: 90, requests: 18_000 },
        FleetCase { nodes: 90, requests: 9000 },
        FleetCase { nodes: 295, requests: 59_000 },
        FleetCase { nodes: 295, requests: 11_800 },
    ];
    for case in cases {
        let (mut early, mut late) = (0, 0);
        for _ in 0..case.nodes {
            let mut node = NodeHedges::experienced(case.nodes);
            // All hedges that were saved up are asked for at once, then one for each request.
            early += (0..100).filter(|_| node.claim(|_| ()).is_ok()).count();
            for _ in 0..case.requests / case.nodes as u64 {
                node.ledger.record_request(&node.service, &node.bounds, node.nodes);
                late += usize::from(node.claim(|_| ()).is_ok());
            }
        }
        let burst = case.nodes.max(32);
        assert!((1..=burst).contains(&early), "{} nodes: {early} at once", case.nodes);
        let allowed = (case.requests as f64 * BOUNDS.ratio).ceil() as usize;
        assert!(late <= allowed, "{} nodes: {late} of {allowed}", case.nodes);
        assert!(late >= allowed * 9 / 10, "{} nodes use {late} of {allowed}", case.nodes);
    }
}

// Guards against hedges of a node that has just started, which has saved up nothing yet.
#[test]
fn a_new_node_earns_its_hedges() {
    for nodes in [1, 90, 295] {
        let mut node = NodeHedges::new(nodes);
        for _ in 0..40 {
            node.record(AttemptEnd::Responded, Duration::from_millis(30));
        }
        assert_eq!(node.claim(|_| ()), Err(HedgeDenial::Budget), "{nodes} nodes");
    }
}

struct DenialCase {
    name: &'static str,
    change: fn(&mut HedgeAsk<'_>),
    denial: Option<HedgeDenial>,
}

// Guards against second attempts that take room from waiting requests or come too late to help.
#[test]
fn a_hedge_gives_way_to_short_room_and_a_near_deadline() {
    let cases = [
        DenialCase { name: "room and time", change: |_| (), denial: None },
        DenialCase {
            name: "room is short",
            change: |ask| ask.is_room_short = true,
            denial: Some(HedgeDenial::Room),
        },
        DenialCase {
            name: "less time left than half of the attempts take",
            change: |ask| ask.time_left = Duration::from_millis(20),
            denial: Some(HedgeDenial::Deadline),
        },
        DenialCase {
            name: "service without responses",
            change: |ask| ask.service = "other",
            denial: Some(HedgeDenial::Unknown),
        },
        DenialCase {
            name: "model request without responses",
            change: |ask| {
                let size = RequestSize { prompt: 6610, output: 300 };
                ask.kind = HedgeKind::new(RouteKind::Stream, Some(size));
            },
            denial: Some(HedgeDenial::Unknown),
        },
    ];
    for case in cases {
        let mut node = NodeHedges::experienced(1);
        assert_eq!(node.claim(case.change).err(), case.denial, "{}", case.name);
    }
    let mut off = NodeHedges::experienced(1);
    off.bounds.ratio = 0.0;
    assert_eq!(off.decide(), HedgeVerdict::Denied(HedgeDenial::Off));
    assert_eq!(off.claim(|_| ()), Err(HedgeDenial::Off));
}

struct RoomCase {
    requests: u64,
    slots: u64,
    is_short: bool,
}

// Guards against hedges where requests queue, and where the number of slots is unknown.
#[test]
fn room_is_short_above_three_quarters_of_the_slots() {
    let cases = [
        RoomCase { requests: 12, slots: 24, is_short: false },
        RoomCase { requests: 18, slots: 24, is_short: false },
        RoomCase { requests: 19, slots: 24, is_short: true },
        RoomCase { requests: 40, slots: 24, is_short: true },
        RoomCase { requests: 1, slots: 0, is_short: true },
    ];
    for case in cases {
        let is_short = is_room_short(case.requests, case.slots);
        assert_eq!(is_short, case.is_short, "{} of {}", case.requests, case.slots);
    }
}

// Guards against a delay that is learnt from a handful of responses.
#[test]
fn nothing_is_hedged_before_some_tens_of_responses() {
    let mut node = NodeHedges::new(1);
    for count in 0..60 {
        let verdict = node.decide();
        let is_unknown = verdict == HedgeVerdict::Denied(HedgeDenial::Unknown);
        assert_eq!(is_unknown, count < 30, "after {count} responses");
        // One response in five seconds, as a node of a large fleet sees of a rare kind.
        node.now += Duration::from_secs(5);
        node.record(AttemptEnd::Responded, Duration::from_millis(30));
    }
}

// Guards against hedges that stop, or come too early, since so many attempts were cancelled that the quantile can't
// be told.
#[test]
fn the_delay_is_not_shorter_than_cancelled_attempts_have_taken() {
    for cancelled in [4, 10, 40] {
        let mut node = NodeHedges::new(1);
        for _ in 0..40 {
            node.record(AttemptEnd::Responded, Duration::from_millis(30));
        }
        for _ in 0..cancelled {
            node.record(AttemptEnd::Cancelled, Duration::from_millis(200));
        }
        let delay = node.delay().unwrap_or_default();
        assert!(is_close(delay, Duration::from_millis(200)), "{cancelled} cancelled: {delay:?}");
    }
}

struct JumpCase {
    name: &'static str,
    from: Duration,
    to: Duration,
    /// Whether the responses before the jump still count.
    is_known: bool,
}

// Guards against a node that was paused, or whose clock steps: it must neither hedge by times of long ago nor
// get a larger budget.
#[test]
fn a_clock_that_jumps_changes_neither_budget_nor_delay() {
    let (early, late) = (START, START + Duration::from_secs(3600));
    let cases = [
        JumpCase { name: "paused for an hour", from: early, to: late, is_known: false },
        JumpCase { name: "back by an hour", from: late, to: early, is_known: true },
        JumpCase { name: "back to zero", from: early, to: Duration::ZERO, is_known: true },
    ];
    for case in cases {
        let mut node = NodeHedges::new(1);
        node.now = case.from;
        node.observe(Duration::from_millis(400), Duration::from_secs(20));
        node.now = case.to;
        assert_eq!(node.delay().is_some(), case.is_known, "{}", case.name);
        node.observe(Duration::from_millis(100), Duration::from_secs(8));
        let delay = node.delay().expect("enough responses after the jump");
        assert!(is_close(delay, Duration::from_millis(95)), "{}: {delay:?}", case.name);
        let granted = (0..100).filter(|_| node.claim(|_| ()).is_ok()).count();
        assert!(granted <= 32, "{}: {granted} at once", case.name);
    }
}

struct PaceCase {
    pace: f64,
    /// Delay at a replica of this pace relative to that at a pace of 1.
    factor: f64,
}

// Guards against hedging each request of a replica that is known to be slow, and against paces that make no sense.
#[test]
fn the_delay_is_that_of_the_replica_s_pace() {
    let node = NodeHedges::experienced(1);
    let usual = node.delay().expect("enough responses");
    let cases = [
        PaceCase { pace: 1.0, factor: 1.0 },
        PaceCase { pace: 1.7, factor: 1.7 },
        PaceCase { pace: 0.7, factor: 0.7 },
        PaceCase { pace: 1000.0, factor: 4.0 },
        PaceCase { pace: 0.0, factor: 0.25 },
        PaceCase { pace: f64::NAN, factor: 1.0 },
    ];
    for case in cases {
        let ask = HedgeAsk { pace: case.pace, ..NodeHedges::ask() };
        let verdict = node.ledger.decide(&ask, &BOUNDS, node.now);
        assert_eq!(verdict, HedgeVerdict::After(usual.mul_f64(case.factor)), "{}", case.pace);
    }
}

/// Returns this percentile of response times.
fn percentile(times: &mut [Duration], share: f64) -> Duration {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * share) as usize]
}

// Guards against hedging that costs load without shortening the tail: 3 in 100 attempts take ten times as long, so
// the 99th percentile of single attempts is one of them. Callers need 150 ms.
#[test]
fn hedging_shortens_a_heavy_tail_within_its_budget() {
    let measure = |ratio: f64| {
        let mut node = NodeHedges::new(1);
        node.bounds.ratio = ratio;
        let (mut times, mut hedges) = (Vec::new(), 0);
        for _ in 0..20_000 {
            node.now += Duration::from_secs(1) / RATE as u32;
            let attempt = [(); 2].map(|()| {
                let usual = Duration::from_millis(25).mul_f64(0.8 + 0.4 * node.draw());
                if node.draw() < 0.03 {
                    usual * 10
                } else {
                    usual
                }
            });
            let (elapsed, is_hedged) = node.serve(attempt);
            times.push(elapsed);
            hedges += u32::from(is_hedged);
        }
        (percentile(&mut times, 0.99), f64::from(hedges) / times.len() as f64)
    };
    let (without, none) = measure(0.0);
    let (with, cost) = measure(BOUNDS.ratio);
    println!("p99 {without:?} without, {with:?} with hedges for {cost:.4} of the requests");
    assert_eq!(none, 0.0);
    assert!(without > Duration::from_millis(150), "{without:?} without hedges");
    assert!(with < Duration::from_millis(75), "{with:?} with hedges");
    assert!(cost <= BOUNDS.ratio, "{cost} of the requests were hedged");
}
