//! The lease rules against a naive twin that sees every clock and every write.

use std::time::Duration;

use berylstep_core::lease::{
    ClockReading, DutyLease, LeaseTimes, LeaseWrite, ReceiverFencing, VersionedLease, WriteOutcome,
};
use proptest::prelude::*;

const TIMES: LeaseTimes = LeaseTimes { expiry: Duration::from_millis(1000) };
const NODES: usize = 3;
/// Clock rates of the nodes, in thousandths of true time.
const RATES: std::ops::RangeInclusive<u32> = 970..=1030;

/// What happens next; a node that is not stepped is paused wherever it stands.
#[derive(Clone, Copy, Debug)]
enum Action {
    Advance(u64),
    Step(usize),
    StepLosingAnswer(usize),
    Suspend(usize, u64),
    Release(usize),
    Restart(usize),
}

/// Where a node's loop stands.
#[derive(Clone, Debug)]
enum Stage {
    Idle,
    Read(Option<VersionedLease>),
    Write(LeaseWrite, String),
    Answer(WriteOutcome),
    Delayed(LeaseWrite, String),
}

#[derive(Debug)]
struct ModelNode {
    lease: DutyLease,
    incarnation: u64,
    stage: Stage,
    rate: u32,
    monotonic: Duration,
    boot: Duration,
}

impl ModelNode {
    fn now(&self) -> ClockReading {
        ClockReading { monotonic: self.monotonic, boot: self.boot }
    }
}

/// The twin's record of one tenure: until when, in true time, its node may have acted.
#[derive(Clone, Debug)]
struct Tenure {
    node: usize,
    incarnation: u64,
    fencing: u64,
    ends: Duration,
}

#[derive(Debug)]
struct Model {
    nodes: Vec<ModelNode>,
    row: Option<VersionedLease>,
    version: u64,
    token: u64,
    true_time: Duration,
    tenure: Option<Tenure>,
}

fn lease(index: usize, incarnation: u64, fencing: ReceiverFencing) -> DutyLease {
    DutyLease::new(format!("n{index}").into(), incarnation, TIMES, fencing)
}

impl Model {
    fn new(rates: &[u32]) -> Self {
        let nodes = rates.iter().enumerate().map(|(index, &rate)| ModelNode {
            lease: lease(index, 1, ReceiverFencing::Checked),
            incarnation: 1,
            stage: Stage::Idle,
            rate,
            monotonic: Duration::from_secs(100 * index as u64),
            boot: Duration::from_secs(200 * index as u64),
        });
        Self {
            nodes: nodes.collect(),
            row: None,
            version: 0,
            token: 0,
            true_time: Duration::ZERO,
            tenure: None,
        }
    }

    fn advance(&mut self, ms: u64) {
        let step = Duration::from_millis(ms);
        self.true_time += step;
        for node in &mut self.nodes {
            node.monotonic += step * node.rate / 1000;
            node.boot += step * node.rate / 1000;
        }
    }

    /// The VM sleeps: only one of its clocks goes on.
    fn suspend(&mut self, index: usize, ms: u64) {
        let before = self.nodes[index].monotonic;
        self.advance(ms);
        self.nodes[index].monotonic = before;
    }

    fn step(&mut self, index: usize, lose_answer: bool) {
        let now = self.nodes[index].now();
        let stage = std::mem::replace(&mut self.nodes[index].stage, Stage::Idle);
        self.nodes[index].stage = match stage {
            Stage::Idle => Stage::Read(self.row.clone()),
            Stage::Read(row) => {
                let node = &mut self.nodes[index];
                node.lease.observe(now, row);
                match node.lease.next_write(now, 0) {
                    Some(write) => {
                        self.token += 1;
                        let token = format!("t{}", self.token);
                        node.lease.begin_write(now, token.clone(), &write);
                        Stage::Write(write, token)
                    }
                    None => Stage::Idle,
                }
            }
            // The answer is lost now, and the write takes effect at a later step.
            Stage::Write(write, token) if lose_answer => {
                self.nodes[index].lease.finish_write(WriteOutcome::Unknown);
                Stage::Delayed(write, token)
            }
            Stage::Write(write, token) => Stage::Answer(self.commit(index, write, token)),
            Stage::Answer(outcome) => {
                let outcome = if lose_answer { WriteOutcome::Unknown } else { outcome };
                self.nodes[index].lease.finish_write(outcome);
                Stage::Idle
            }
            Stage::Delayed(write, token) => {
                self.commit(index, write, token);
                Stage::Idle
            }
        };
    }

    fn commit(&mut self, index: usize, write: LeaseWrite, token: String) -> WriteOutcome {
        if self.row.as_ref().map_or(0, |row| row.version) != write.expect {
            return WriteOutcome::Conflict;
        }
        self.note_tenure(index, &write);
        self.version += 1;
        self.row = Some(VersionedLease { row: write.row, version: self.version, token });
        WriteOutcome::Committed
    }

    /// The twin: a change of holder is right only where the last tenure has ended in true time.
    fn note_tenure(&mut self, index: usize, write: &LeaseWrite) {
        let incarnation = write.row.incarnation;
        if let Some(last) = &self.tenure {
            let same = last.node == index && last.incarnation == incarnation;
            if !same {
                assert!(self.true_time >= last.ends, "{index} took over from {last:?}");
            }
            assert!(write.row.fencing >= last.fencing, "fencing number fell");
            assert!(same || write.row.fencing > last.fencing, "fencing number was reused");
        }
        // The holder counts from before it asked, so that this is the latest possible end.
        let slowest = TIMES.expiry * 1000 / self.nodes[index].rate + TIMES.send_limit();
        let ends = match write.row.released {
            true => self.true_time,
            false => self.true_time + slowest,
        };
        let fencing = write.row.fencing;
        self.tenure = Some(Tenure { node: index, incarnation, fencing, ends });
    }

    fn release(&mut self, index: usize) {
        if !matches!(self.nodes[index].stage, Stage::Idle) {
            return;
        }
        let now = self.nodes[index].now();
        if let Some(write) = self.nodes[index].lease.release() {
            self.token += 1;
            let token = format!("t{}", self.token);
            self.nodes[index].lease.begin_write(now, token.clone(), &write);
            self.nodes[index].stage = Stage::Write(write, token);
        }
    }

    fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.lease = lease(index, node.incarnation, ReceiverFencing::Checked);
        node.stage = Stage::Idle;
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Advance(ms) => self.advance(ms),
            Action::Step(index) => self.step(index, false),
            Action::StepLosingAnswer(index) => self.step(index, true),
            Action::Suspend(index, ms) => self.suspend(index, ms),
            Action::Release(index) => self.release(index),
            Action::Restart(index) => self.restart(index),
        }
    }

    fn in_charge(&self) -> Vec<usize> {
        let permits = |node: &ModelNode| node.lease.fencing_token(node.now()).is_some();
        (0..self.nodes.len()).filter(|&index| permits(&self.nodes[index])).collect()
    }
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let node = 0..NODES;
    let action = prop_oneof![
        4 => (1..700u64).prop_map(Action::Advance),
        12 => node.clone().prop_map(Action::Step),
        2 => node.clone().prop_map(Action::StepLosingAnswer),
        1 => (node.clone(), 1..2000u64).prop_map(|(index, ms)| Action::Suspend(index, ms)),
        1 => node.clone().prop_map(Action::Release),
        1 => node.prop_map(Action::Restart),
    ];
    prop::collection::vec(action, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn at_most_one_node_is_in_charge(
        rates in prop::collection::vec(RATES, NODES),
        actions in actions(),
    ) {
        let mut model = Model::new(&rates);
        for action in actions {
            model.apply(action);
            let in_charge = model.in_charge();
            prop_assert!(in_charge.len() <= 1, "in charge at once: {in_charge:?}");
        }
    }

    #[test]
    fn someone_is_in_charge_once_faults_end(
        rates in prop::collection::vec(RATES, NODES),
        actions in actions(),
    ) {
        let mut model = Model::new(&rates);
        for action in actions {
            model.apply(action);
        }
        let rounds = 40;
        for _ in 0..rounds {
            model.advance(100);
            for step in 0..4 * NODES {
                model.step(step / 4, false);
            }
        }
        prop_assert_eq!(model.in_charge().len(), 1);
    }
}

#[test]
fn a_receiver_that_ignores_fencing_numbers_doubles_the_wait() {
    struct WaitCase {
        fencing: ReceiverFencing,
        waits: Duration,
    }
    let wait = TIMES.expiry + TIMES.margin();
    let cases = [
        WaitCase { fencing: ReceiverFencing::Checked, waits: wait },
        WaitCase { fencing: ReceiverFencing::Ignored, waits: wait * 2 },
    ];
    for case in cases {
        let at = |time: Duration| ClockReading { monotonic: time, boot: time };
        let mut holder = lease(0, 1, case.fencing);
        holder.observe(at(Duration::ZERO), None);
        let write = holder.next_write(at(Duration::ZERO), 0).unwrap();
        let read = VersionedLease { row: write.row, version: 1, token: "t".to_owned() };
        let mut successor = lease(1, 1, case.fencing);
        successor.observe(at(Duration::ZERO), Some(read));
        let early = case.waits - Duration::from_millis(1);
        assert_eq!(successor.next_write(at(early), 0), None, "{:?}", case.fencing);
        let taken = successor.next_write(at(case.waits), 0).unwrap();
        assert_eq!(taken.row.fencing, 2, "{:?}", case.fencing);
    }
}
