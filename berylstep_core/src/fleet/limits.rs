//! Limits that replicas name: requests per second that they take from all nodes together.
//!
//! A replica names its limit in its responses for as long as it holds, so the limit ends with a
//! response that names none. Nodes tell each other what they learn. Each change has a version that
//! is one above that of the limit known where it was observed, so later changes win everywhere
//! without a common clock.

use std::time::Duration;

use crate::collections::HashMap;

/// Time for which a node repeats a change to its peers, in case of lost messages.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(3);

/// Time for which the limit of a replica that is not in the list is retained. A node that has just
/// started may hear of the limit first.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Largest number of limits in one message.
const MAX_ANNOUNCED: usize = 256;

/// What a response says about the limit of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// It is not evidence for or against a limit.
    #[default]
    Unsaid,
    /// The replica takes any number of requests.
    Unlimited,
    /// The replica takes this number of requests per second; positive and finite.
    PerSecond(f64),
}

/// Identifies one process of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Start of the process, in milliseconds since the Unix epoch; 0 if not announced.
    pub born: u64,
}

/// Latest known limit of one process of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// Process that named it.
    pub process: ProcessId,
    /// Number of changes of the limit that are known to precede this one, plus one.
    pub version: u64,
    /// Requests per second from all nodes together; `None` if the limit has ended.
    pub rate: Option<f64>,
}

impl LimitNotice {
    /// Returns whether this notice replaces `other`. Of two limits that were observed at the same
    /// time, the lower one holds.
    fn supersedes(&self, other: &Self) -> bool {
        let order = |notice: &Self| (notice.process.born, notice.version);
        match order(self).cmp(&order(other)) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => {
                let value = |notice: &Self| notice.rate.unwrap_or(f64::INFINITY);
                value(self) < value(other)
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LimitRow {
    notice: LimitNotice,
    learnt_at: Duration,
    announced_from: Duration,
}

/// Limits of replicas, by [`ProcessId::replica`].
#[derive(Debug, Default)]
pub struct LimitLedger {
    rows: HashMap<u32, LimitRow>,
}

impl LimitLedger {
    /// Applies what the response to a request that was sent at `sent_at` says; returns the notice if
    /// the limit has changed.
    ///
    /// Responses overtake each other. One to a request that was sent before the limit became known
    /// here may be older than the limit, so it doesn't raise or end it.
    pub fn observe(
        &mut self,
        process: ProcessId,
        statement: LimitStatement,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitNotice> {
        let rate = match statement {
            LimitStatement::Unsaid => return None,
            LimitStatement::Unlimited => None,
            LimitStatement::PerSecond(rate) => Some(rate),
        };
        let known = self.rows.get(&process.replica).filter(|row| row.notice.process == process);
        let (known_rate, version) = match known {
            Some(row) => (row.notice.rate, row.notice.version),
            None => (None, 0),
        };
        let value = |rate: Option<f64>| rate.unwrap_or(f64::INFINITY);
        let is_older = known.is_some_and(|row| sent_at <= row.learnt_at);
        if rate == known_rate || (is_older && value(rate) > value(known_rate)) {
            return None;
        }
        let notice = LimitNotice { process, version: version + 1, rate };
        self.apply(notice, now).then_some(notice)
    }

    /// Applies a notice; returns whether it is new. One that is out of date makes this node repeat
    /// what it knows, because some node has not heard of it.
    pub fn apply(&mut self, notice: LimitNotice, now: Duration) -> bool {
        let row = LimitRow { notice, learnt_at: now, announced_from: now };
        let Some(known) = self.rows.get_mut(&notice.process.replica) else {
            self.rows.insert(notice.process.replica, row);
            return true;
        };
        if notice.supersedes(&known.notice) {
            *known = row;
            return true;
        }
        if known.notice.supersedes(&notice) {
            known.announced_from = now;
        }
        false
    }

    /// Returns the limit of a process in requests per second; `None` if it has none.
    pub fn rate(&self, process: ProcessId) -> Option<f64> {
        self.notice(process)?.rate
    }

    /// Returns the latest notice about a process.
    pub fn notice(&self, process: ProcessId) -> Option<LimitNotice> {
        let row = self.rows.get(&process.replica)?;
        Some(row.notice).filter(|notice| notice.process == process)
    }

    /// Returns the number of replicas with a limit.
    pub fn limited_replicas(&self) -> usize {
        self.rows.values().filter(|row| row.notice.rate.is_some()).count()
    }

    /// Returns the notices to announce to peers, the newest first: recent changes and, if `all`,
    /// all limits in force, which nodes that have just started must learn.
    pub fn notices(&self, all: bool, now: Duration) -> Vec<LimitNotice> {
        let is_announced = |row: &&LimitRow| {
            now.saturating_sub(row.announced_from) < ANNOUNCEMENT_TIME
                || (all && row.notice.rate.is_some())
        };
        let mut rows: Vec<_> = self.rows.values().filter(is_announced).collect();
        rows.sort_unstable_by_key(|row| std::cmp::Reverse(row.announced_from));
        rows.into_iter().take(MAX_ANNOUNCED).map(|row| row.notice).collect()
    }

    /// Drops what is known of processes that are no longer in the list of replicas.
    pub fn expire(&mut self, is_listed: impl Fn(ProcessId) -> bool, now: Duration) {
        self.rows.retain(|_, row| {
            is_listed(row.notice.process) || now.saturating_sub(row.learnt_at) < UNLISTED_RETENTION
        });
    }
}
