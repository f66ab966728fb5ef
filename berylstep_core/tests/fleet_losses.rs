//! Lost answers: a request counts as run if its replica answers another request soon afterwards.

use std::time::Duration;

use berylstep_core::fleet::losses::{LossTable, LostResponse};

fn lost(window: u64, at: u64) -> LostResponse {
    LostResponse { organisation: "org".into(), window, at: Duration::from_millis(at) }
}

struct LossCase {
    name: &'static str,
    /// Replica that answers, and the time of its answer in milliseconds.
    answer: (&'static str, u64),
    /// Usage windows whose requests count as run.
    run: &'static [u64],
}

#[test]
fn a_request_counts_as_run_if_its_replica_answers_soon_after_the_loss() {
    let cases = [
        LossCase { name: "the same replica", answer: ("a", 1500), run: &[7, 8] },
        LossCase { name: "another replica", answer: ("b", 1500), run: &[] },
        LossCase { name: "long after one of two", answer: ("a", 4050), run: &[8] },
        LossCase { name: "long after both", answer: ("a", 9000), run: &[] },
    ];
    for case in cases {
        let mut table = LossTable::default();
        table.record_lost(&"a".into(), lost(7, 1000));
        table.record_lost(&"a".into(), lost(8, 1100));
        let (replica, at) = case.answer;
        let answered = table.record_response(replica, Duration::from_millis(at));
        let windows: Vec<u64> = answered.iter().map(|lost| lost.window).collect();
        assert_eq!(windows, case.run, "{}", case.name);
        assert!(
            table.record_response(replica, Duration::from_millis(at)).is_empty(),
            "{}",
            case.name
        );
    }
}
