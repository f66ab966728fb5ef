//! Requests of one node that are or may be running, by replica.
//!
//! A keeper of a replica's slots learns from the reports of the nodes which of them are in use.

use std::time::Duration;

use crate::collections::HashMap;

/// Weight of the newest run in the mean run time.
const NEWEST_WEIGHT: f64 = 0.1;

/// Time for which a replica's runs are reported after the last has ended, in case of lost messages.
const REPORT_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// A slot was asked for.
    Asked,
    /// The request is sent, or about to be.
    Running,
    /// The node has given the request up, and its replica may still run it.
    Abandoned,
}

#[derive(Clone, Copy, Debug)]
struct RunRow {
    number: u64,
    state: RunState,
    began: Duration,
    /// Time from which the replica no longer runs it.
    ends: Duration,
}

#[derive(Debug, Default)]
struct ReplicaRuns {
    rows: Vec<RunRow>,
    /// Mean duration of complete runs, in seconds.
    mean_s: Option<f64>,
    changed_at: Duration,
}

/// A run that takes a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSlot {
    /// Number of the run at its node.
    pub number: u64,
    /// Longest time for which it goes on.
    pub lifetime: Duration,
}

/// All that a node has at one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// Number above those of all runs so far; rises with each report.
    pub next: u64,
    /// Asks that have not been answered, or not yet with a slot.
    pub asked: Vec<u64>,
    /// Runs that take a slot.
    pub held: Vec<HeldSlot>,
}

/// Runs by hash of the replica.
#[derive(Debug, Default)]
pub struct RunTable {
    next: u64,
    replicas: HashMap<u32, ReplicaRuns>,
}

impl RunTable {
    /// Records that a slot is asked for; returns the number of the run.
    pub fn ask(&mut self, replica: u32, ends: Duration, now: Duration) -> u64 {
        self.insert(replica, RunState::Asked, ends, now)
    }

    /// Records a run that needs no slot of a keeper; returns its number.
    pub fn begin(&mut self, replica: u32, ends: Duration, now: Duration) -> u64 {
        self.insert(replica, RunState::Running, ends, now)
    }

    fn insert(&mut self, replica: u32, state: RunState, ends: Duration, now: Duration) -> u64 {
        let number = self.next;
        self.next += 1;
        let row = RunRow { number, state, began: now, ends };
        let runs = self.replicas.entry(replica).or_default();
        runs.rows.push(row);
        runs.changed_at = now;
        number
    }

    /// Records that a run has got the slot that it asked for.
    pub fn start(&mut self, replica: u32, number: u64, now: Duration) {
        if let Some(row) = self.row_mut(replica, number) {
            (row.state, row.began) = (RunState::Running, now);
        }
    }

    /// Removes a run that has ended at its replica or was not sent.
    pub fn finish(&mut self, replica: u32, number: u64, now: Duration) {
        let Some(runs) = self.replicas.get_mut(&replica) else { return };
        let Some(index) = runs.rows.iter().position(|row| row.number == number) else { return };
        let row = runs.rows.swap_remove(index);
        runs.changed_at = now;
        if row.state == RunState::Running {
            let elapsed = now.saturating_sub(row.began).as_secs_f64();
            let mean = runs.mean_s.unwrap_or(elapsed);
            runs.mean_s = Some(mean + (elapsed - mean) * NEWEST_WEIGHT);
        }
    }

    /// Records that the node has given a run up. Its replica may not notice, and then runs it for as
    /// long as others take, or until its deadline where none has ended yet.
    pub fn abandon(&mut self, replica: u32, number: u64, now: Duration) {
        let mean_s = self.replicas.get(&replica).and_then(|runs| runs.mean_s);
        let Some(row) = self.row_mut(replica, number) else { return };
        if row.state == RunState::Asked {
            return self.finish(replica, number, now);
        }
        row.state = RunState::Abandoned;
        if let Some(mean) = mean_s {
            row.ends = row.ends.min(now + Duration::from_secs_f64(mean));
        }
    }

    /// Returns all runs at a replica.
    pub fn report(&mut self, replica: u32, now: Duration) -> RunReport {
        let next = self.next;
        self.next += 1;
        let mut report = RunReport { next, ..RunReport::default() };
        for row in self.replicas.get(&replica).iter().flat_map(|runs| &runs.rows) {
            match row.state {
                RunState::Asked => report.asked.push(row.number),
                RunState::Running | RunState::Abandoned if row.ends > now => {
                    report.held.push(HeldSlot { number: row.number, lifetime: row.ends - now });
                }
                RunState::Running | RunState::Abandoned => {}
            }
        }
        report
    }

    /// Returns the replicas that have runs, or had lately.
    pub fn busy_replicas(&self, now: Duration) -> Vec<u32> {
        let busy = self.replicas.iter().filter(|(_, runs)| {
            !runs.rows.is_empty() || now.saturating_sub(runs.changed_at) < REPORT_TIME
        });
        busy.map(|(replica, _)| *replica).collect()
    }

    /// Returns the number of runs at a replica that take a slot.
    pub fn running(&self, replica: u32, now: Duration) -> u32 {
        let rows = self.replicas.get(&replica).into_iter().flat_map(|runs| &runs.rows);
        rows.filter(|row| row.state != RunState::Asked && row.ends > now).count() as u32
    }

    /// Drops abandoned runs that have ended, and replicas that are no longer in the list.
    pub fn expire(&mut self, is_listed: impl Fn(u32) -> bool, now: Duration) {
        self.replicas.retain(|replica, runs| {
            let rows = runs.rows.len();
            runs.rows.retain(|row| row.state != RunState::Abandoned || row.ends > now);
            if runs.rows.len() < rows {
                runs.changed_at = now;
            }
            !runs.rows.is_empty() || is_listed(*replica)
        });
    }

    fn row_mut(&mut self, replica: u32, number: u64) -> Option<&mut RunRow> {
        let runs = self.replicas.get_mut(&replica)?;
        runs.rows.iter_mut().find(|row| row.number == number)
    }
}
