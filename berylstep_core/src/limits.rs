//! Rate and concurrency limits of organisations, enforced by the owners of the pools that they use.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::config::OrganisationLimits;

/// Refill period of the token limit, and upper bound of a retry delay, in seconds.
const MINUTE_SECS: f64 = 60.0;

/// Time without requests after which an organisation's counters are removed.
const IDLE_EXPIRY: Duration = Duration::from_secs(120);

/// Retry delay for a request that exceeds the concurrency limit.
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Usage of one organisation at one owner; `requests` and `tokens` are cumulative.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitUsage {
    /// Number of admitted requests.
    pub requests: u64,
    /// Number of output tokens.
    pub tokens: u64,
    /// Number of requests in progress.
    pub running: u32,
}

/// Token bucket that refills at a constant rate; usage reported afterwards may take its level below
/// zero.
#[derive(Clone, Debug)]
struct TokenBucket {
    level: f64,
    refilled_at: Duration,
}

#[derive(Clone, Debug)]
struct LimitRow {
    own: LimitUsage,
    requests: TokenBucket,
    tokens: TokenBucket,
    last_used: Duration,
}

/// Usage of the organisations that have limits.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    rows: HashMap<SharedName, LimitRow>,
    // Usage at other owners, by owner and organisation.
    remote: HashMap<SharedName, HashMap<SharedName, LimitUsage>>,
}

impl LimitTable {
    /// Admits a new request.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the caller may retry, if a limit is exceeded.
    pub fn admit(
        &mut self,
        now: Duration,
        organisation: &SharedName,
        limits: &OrganisationLimits,
    ) -> Result<(), Duration> {
        let remote_running = self.remote_running(organisation);
        let row = self.rows.entry(organisation.clone()).or_insert_with(|| LimitRow::new(now));
        row.last_used = now;
        if limits.concurrency.is_some_and(|maximum| row.own.running + remote_running >= maximum) {
            return Err(CONCURRENCY_RETRY_DELAY);
        }
        if let Some(rate) = limits.requests_per_second.map(f64::from) {
            row.requests.refill(now, rate, rate);
            row.requests.check(rate, 1.0)?;
        }
        if let Some(burst) = limits.tokens_per_minute.map(f64::from) {
            row.tokens.refill(now, burst / MINUTE_SECS, burst);
            row.tokens.check(burst / MINUTE_SECS, f64::MIN_POSITIVE)?;
        }
        row.requests.level -= 1.0;
        row.own.requests += 1;
        row.own.running += 1;
        Ok(())
    }

    /// Counts a request in progress that another owner admitted.
    pub fn adopt(&mut self, now: Duration, organisation: &SharedName) {
        let row = self.rows.entry(organisation.clone()).or_insert_with(|| LimitRow::new(now));
        row.last_used = now;
        row.own.running += 1;
    }

    /// Records the end of a request and its output tokens.
    pub fn finish(&mut self, organisation: &str, tokens: u32) {
        let Some(row) = self.rows.get_mut(organisation) else { return };
        row.own.running = row.own.running.saturating_sub(1);
        row.own.tokens += u64::from(tokens);
        row.tokens.level -= f64::from(tokens);
    }

    /// Merges the cumulative usage of another owner.
    pub fn observe_remote(&mut self, owner: &SharedName, organisation: &str, usage: LimitUsage) {
        let Some((name, _)) = self.rows.get_key_value(organisation) else {
            let known = self.remote.entry(owner.clone()).or_default();
            known.insert(organisation.into(), usage);
            return;
        };
        let name = name.clone();
        let known = self.remote.entry(owner.clone()).or_default();
        let before = known.insert(name.clone(), usage.clone()).unwrap_or_default();
        if let Some(row) = self.rows.get_mut(&name) {
            row.requests.level -= usage.requests.saturating_sub(before.requests) as f64;
            row.tokens.level -= usage.tokens.saturating_sub(before.tokens) as f64;
        }
    }

    /// Removes the usage reported by an owner that has stopped.
    pub fn drop_owner(&mut self, owner: &str) {
        self.remote.remove(owner);
    }

    /// Returns the usage at this owner, by organisation.
    pub fn own(&self) -> impl Iterator<Item = (&SharedName, &LimitUsage)> {
        self.rows.iter().map(|(organisation, row)| (organisation, &row.own))
    }

    /// Removes organisations without requests in progress that were idle for two minutes.
    pub fn remove_idle(&mut self, now: Duration) {
        let idle = |row: &LimitRow| now.saturating_sub(row.last_used) > IDLE_EXPIRY;
        self.rows.retain(|_, row| row.own.running > 0 || !idle(row));
    }

    fn remote_running(&self, organisation: &str) -> u32 {
        let usages = self.remote.values().filter_map(|known| known.get(organisation));
        usages.map(|usage| usage.running).sum()
    }
}

impl LimitRow {
    fn new(now: Duration) -> Self {
        let full = TokenBucket { level: f64::INFINITY, refilled_at: now };
        Self { own: LimitUsage::default(), requests: full.clone(), tokens: full, last_used: now }
    }
}

impl TokenBucket {
    fn refill(&mut self, now: Duration, rate: f64, burst: f64) {
        let added = now.saturating_sub(self.refilled_at).as_secs_f64() * rate;
        self.level = (self.level + added).min(burst);
        self.refilled_at = now;
    }

    /// Checks that the level is at least `wanted`; returns the time until it is otherwise.
    fn check(&self, rate: f64, wanted: f64) -> Result<(), Duration> {
        if self.level >= wanted {
            return Ok(());
        }
        let secs = (wanted - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(secs.min(MINUTE_SECS)))
    }
}
