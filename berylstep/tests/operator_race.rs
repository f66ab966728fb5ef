//! Operators race with conflicting changes: one of them wins, the others are told.

use std::thread;

use berylstep_standins::site::operate::initial_change;
use berylstep_standins::site::TrialSite;
use serde_json::{json, Value};

const KEY: &str = "key-of-rivers";
const OPERATORS: usize = 10;
const ROUNDS: usize = 3;

fn started_site() -> TrialSite {
    let mut site = TrialSite::start().unwrap();
    for zone in ["a", "b", "c"] {
        site.add_node(zone, &[]).unwrap();
    }
    site.wait_ready();
    assert_eq!(site.apply(0, &initial_change(KEY)).status, 200);
    site
}

/// Sends one change by each operator at once, over all nodes; returns status and body of each.
fn race(site: &TrialSite, change: impl Fn(usize) -> Value + Sync) -> Vec<(u16, Value)> {
    thread::scope(|scope| {
        let operators = (0..OPERATORS).map(|operator| {
            let change = change(operator);
            scope.spawn(move || {
                let answer = site.apply(operator % site.nodes.len(), &change);
                (answer.status, answer.json())
            })
        });
        let operators: Vec<_> = operators.collect();
        operators.into_iter().map(|operator| operator.join().unwrap()).collect()
    })
}

#[test]
fn one_of_ten_operators_wins_and_the_others_meet_a_conflict() {
    let site = started_site();
    for round in 0..ROUNDS {
        let against = site.version(0);
        let answers = race(&site, |operator| {
            let limits = json!({ "concurrency": round * OPERATORS + operator + 1 });
            let organisation = json!({ "organisation": { "name": "rivers", "limits": limits } });
            json!({ "against": against, "put": [organisation] })
        });
        let winners: Vec<_> = answers.iter().filter(|(status, _)| *status == 200).collect();
        assert_eq!(winners.len(), 1, "{answers:?}");
        for (status, answer) in answers.iter().filter(|(status, _)| *status != 200) {
            assert_eq!(*status, 409, "{answer}");
            assert_eq!(answer["against"], against);
            assert_eq!(answer["newest"], against + 1);
        }
        for node in 0..3 {
            assert_eq!(site.version(node), against + 1);
        }
    }
}

#[test]
fn a_change_sent_ten_times_under_one_token_has_effect_once() {
    let site = started_site();
    let against = site.version(0);
    let answers = race(&site, |_| {
        let organisation = json!({ "organisation": { "name": "cellar" } });
        json!({ "against": against, "token": "token-of-cellar", "put": [organisation] })
    });
    for (status, answer) in &answers {
        assert_eq!(*status, 200, "{answer}");
        assert_eq!(answer["version"], against + 1);
    }
    assert_eq!(site.rows("config/log/").len(), 2);
}
