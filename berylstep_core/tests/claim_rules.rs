//! Model test of claims by racing nodes with lost replies and crashes.
//!
//! A log of all sends shows whether a request was sent twice.

use berylstep_core::claim::{
    closing_version, ClaimAttempt, ClaimDenial, ClaimRow, ClaimState, ClaimStep, ClaimWrite,
    StoredClaim,
};
use berylstep_core::refusal::RunState;
use proptest::prelude::*;

const NOW_MS: u64 = 1_000;

/// Fault of one call to the table service.
#[derive(Clone, Copy, Debug)]
enum StoreFault {
    None,
    LostBeforeEffect,
    LostAfterEffect,
    /// The reply is lost, and the write takes effect at a later `Deliver`.
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// The claimant takes its next step.
    Step(usize, StoreFault),
    /// The claimant holds the claim, cannot connect to the upstream, and releases the claim.
    FailToConnect(usize, StoreFault),
    /// The claimant has sent the request and records the answer.
    Finish(usize, StoreFault),
    /// The claimant aborts before it has sent the request.
    Abort(usize),
    /// The claimant's node crashes, and the same caller retries at another node.
    Crash(usize),
    /// A delayed write takes effect if its condition still holds.
    Deliver,
}

#[derive(Clone, Debug)]
struct DelayedWrite {
    expect: u64,
    claim: StoredClaim,
}

#[derive(Debug, Default)]
struct ModelStore {
    row: Option<StoredClaim>,
    revision: u64,
    delayed: Vec<DelayedWrite>,
}

impl ModelStore {
    fn write(&mut self, expect: u64, claim: StoredClaim, fault: StoreFault) -> ClaimWrite {
        match fault {
            StoreFault::LostBeforeEffect => ClaimWrite::Lost,
            StoreFault::Delayed => {
                self.delayed.push(DelayedWrite { expect, claim });
                ClaimWrite::Lost
            }
            StoreFault::None => self.apply(expect, claim),
            StoreFault::LostAfterEffect => {
                self.apply(expect, claim);
                ClaimWrite::Lost
            }
        }
    }

    fn apply(&mut self, expect: u64, mut claim: StoredClaim) -> ClaimWrite {
        if self.row.as_ref().map_or(0, |row| row.version) != expect {
            return ClaimWrite::Conflict(self.row.clone());
        }
        self.revision += 1;
        claim.version = self.revision;
        self.row = Some(claim);
        ClaimWrite::Committed
    }
}

/// What was sent and answered, over all claimants.
#[derive(Debug, Default)]
struct SendLog {
    sent: usize,
    answered: bool,
}

#[derive(Debug)]
struct Claimant {
    attempt: ClaimAttempt,
    sent: bool,
    /// State with which the claim is being closed.
    closing: Option<ClaimState>,
}

#[derive(Debug, Default)]
struct ClaimModel {
    store: ModelStore,
    log: SendLog,
    claimants: Vec<Claimant>,
    tokens: u64,
}

impl ClaimModel {
    fn next_token(&mut self) -> String {
        self.tokens += 1;
        format!("token-{}", self.tokens)
    }

    fn new_claimant(&mut self) -> Claimant {
        let attempt = ClaimAttempt::new(self.next_token(), "body".into());
        Claimant { attempt, sent: false, closing: None }
    }

    fn claim(token: &str, state: ClaimState) -> StoredClaim {
        let row = ClaimRow {
            node: "n".into(),
            incarnation: 1,
            attempt: 1,
            body: "body".into(),
            state,
            claimed_ms: NOW_MS,
        };
        StoredClaim { version: 0, token: token.to_owned(), row }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Step(index, fault) => self.step(index, fault),
            Action::FailToConnect(index, fault) => {
                let claimant = &mut self.claimants[index];
                if claimant.attempt.step() == ClaimStep::Send && !claimant.sent {
                    claimant.closing = Some(ClaimState::Released);
                }
                self.close(index, fault);
            }
            Action::Finish(index, fault) => {
                if self.claimants[index].sent {
                    self.log.answered = true;
                    self.claimants[index].closing = Some(ClaimState::Finished(200));
                }
                self.close(index, fault);
            }
            Action::Abort(index) => {
                let claimant = &mut self.claimants[index];
                if !claimant.sent {
                    claimant.closing = Some(ClaimState::Released);
                }
            }
            Action::Crash(index) => {
                let fresh = self.new_claimant();
                self.claimants[index] = fresh;
            }
            Action::Deliver => {
                if !self.store.delayed.is_empty() {
                    let write = self.store.delayed.remove(0);
                    self.store.apply(write.expect, write.claim);
                }
            }
        }
    }

    fn step(&mut self, index: usize, fault: StoreFault) {
        let claimant = &mut self.claimants[index];
        if claimant.closing.is_some() {
            return self.close(index, fault);
        }
        match claimant.attempt.step() {
            ClaimStep::Read => {
                if matches!(fault, StoreFault::None) {
                    claimant.attempt.observe_row(self.store.row.as_ref(), NOW_MS);
                }
            }
            ClaimStep::Write(expect) => {
                let claim = Self::claim(claimant.attempt.token(), ClaimState::Sent);
                let result = self.store.write(expect, claim, fault);
                claimant.attempt.observe_write(&result, NOW_MS);
            }
            ClaimStep::Send => {
                if !claimant.sent {
                    claimant.sent = true;
                    self.log.sent += 1;
                }
            }
            ClaimStep::Refuse(ClaimDenial::Duplicate(RunState::Ran)) => {
                assert!(self.log.answered, "reported as run, but no request was answered");
            }
            ClaimStep::Refuse(_) => {}
        }
    }

    fn close(&mut self, index: usize, fault: StoreFault) {
        let token = self.next_token();
        let claimant = &mut self.claimants[index];
        let Some(state) = claimant.closing else { return };
        let attempt = &claimant.attempt;
        let expected = attempt.expected();
        let stored = self.store.row.as_ref();
        if let Some(version) = closing_version(stored, attempt.token(), expected) {
            self.store.write(version, Self::claim(&token, state), fault);
        }
    }
}

fn fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        4 => Just(StoreFault::None),
        1 => Just(StoreFault::LostBeforeEffect),
        1 => Just(StoreFault::LostAfterEffect),
        1 => Just(StoreFault::Delayed),
    ]
}

fn action(claimants: usize) -> impl Strategy<Value = Action> {
    let index = 0..claimants;
    prop_oneof![
        8 => (index.clone(), fault()).prop_map(|(index, fault)| Action::Step(index, fault)),
        1 => (index.clone(), fault()).prop_map(|(index, fault)| Action::FailToConnect(index, fault)),
        1 => (index.clone(), fault()).prop_map(|(index, fault)| Action::Finish(index, fault)),
        1 => index.clone().prop_map(Action::Abort),
        1 => index.prop_map(Action::Crash),
        2 => Just(Action::Deliver),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn one_key_is_sent_at_most_once(actions in prop::collection::vec(action(4), 1..120)) {
        let mut model = ClaimModel::default();
        for _ in 0..4 {
            let claimant = model.new_claimant();
            model.claimants.push(claimant);
        }
        for action in actions {
            model.act(action);
            prop_assert!(model.log.sent <= 1, "sent {} times", model.log.sent);
        }
    }

    #[test]
    fn a_lost_claim_is_resolved_once_the_store_answers(
        faults in prop::collection::vec(fault(), 0..8),
        deliver in any::<bool>(),
    ) {
        let mut model = ClaimModel::default();
        let claimant = model.new_claimant();
        model.claimants.push(claimant);
        for fault in faults {
            if model.claimants[0].attempt.step() != ClaimStep::Send {
                model.act(Action::Step(0, fault));
            }
        }
        if deliver {
            model.act(Action::Deliver);
        }
        for _ in 0..4 {
            model.act(Action::Step(0, StoreFault::None));
        }
        prop_assert_eq!(model.log.sent, 1);
    }
}

struct DecisionCase {
    name: &'static str,
    state: ClaimState,
    body: &'static str,
    claimed_ms: u64,
    step: ClaimStep,
}

#[test]
fn stored_claims_decide_whether_a_retry_may_be_sent() {
    let now_ms = berylstep_core::claim::CLAIM_RETENTION_MS + 5_000;
    let decision_case = |name, state, step| DecisionCase {
        name,
        state,
        body: "body",
        claimed_ms: now_ms - 1,
        step,
    };
    let unknown = ClaimStep::Refuse(ClaimDenial::Duplicate(RunState::Unknown));
    let ran = ClaimStep::Refuse(ClaimDenial::Duplicate(RunState::Ran));
    let cases = [
        decision_case("sent", ClaimState::Sent, unknown),
        decision_case("finished", ClaimState::Finished(200), ran),
        decision_case("released", ClaimState::Released, ClaimStep::Write(7)),
        DecisionCase {
            claimed_ms: 4_000,
            ..decision_case("expired", ClaimState::Sent, ClaimStep::Write(7))
        },
        DecisionCase {
            body: "other",
            ..decision_case(
                "other body",
                ClaimState::Sent,
                ClaimStep::Refuse(ClaimDenial::KeyReused),
            )
        },
        DecisionCase {
            body: "other",
            ..decision_case("released, other body", ClaimState::Released, ClaimStep::Write(7))
        },
    ];
    for case in cases {
        let mut stored = ClaimModel::claim("somebody", case.state);
        stored.version = 7;
        stored.row.body = case.body.into();
        stored.row.claimed_ms = case.claimed_ms;
        let mut attempt = ClaimAttempt::new("mine".to_owned(), "body".into());
        attempt.observe_row(Some(&stored), now_ms);
        assert_eq!(attempt.step(), case.step, "{}", case.name);
    }
}
