//! Limits of organisations, counted at the owners of the pools that they use.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};
use crate::config::OrganisationLimits;

/// Seconds in a minute.
const MINUTE_SECS: f64 = 60.0;

/// Time without requests after which an organisation's counts are forgotten.
const IDLE_EXPIRY: Duration = Duration::from_secs(120);

/// Time to come back where too many requests are in progress.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);

/// Use of one organisation at one owner; totals grow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitUsage {
    /// Requests admitted.
    pub requests: u64,
    /// Output tokens.
    pub tokens: u64,
    /// Requests in progress.
    pub running: u32,
}

/// An allowance that refills at a constant rate.
#[derive(Clone, Debug)]
struct TokenBucket {
    level: f64,
    refilled: Duration,
}

#[derive(Clone, Debug)]
struct LimitRow {
    own: LimitUsage,
    requests: TokenBucket,
    tokens: TokenBucket,
    used: Duration,
}

/// Use of organisations that have limits.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    rows: HashMap<SharedName, LimitRow>,
    // Use at other owners, by owner and organisation.
    remote: HashMap<SharedName, HashMap<SharedName, LimitUsage>>,
}

impl LimitTable {
    /// Counts a new request, or returns the time to come back.
    pub fn admit(
        &mut self,
        now: Duration,
        organisation: &SharedName,
        limits: &OrganisationLimits,
    ) -> Result<(), Duration> {
        let remote_running = self.remote_running(organisation);
        let row = self.rows.entry(organisation.clone()).or_insert_with(|| LimitRow::new(now));
        row.used = now;
        if limits.concurrency.is_some_and(|most| row.own.running + remote_running >= most) {
            return Err(CONCURRENCY_RETRY);
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

    /// Counts a request that another owner admitted.
    pub fn adopt(&mut self, now: Duration, organisation: &SharedName) {
        let row = self.rows.entry(organisation.clone()).or_insert_with(|| LimitRow::new(now));
        row.used = now;
        row.own.running += 1;
    }

    /// Counts the end of a request and its output tokens.
    pub fn finish(&mut self, organisation: &str, tokens: u32) {
        let Some(row) = self.rows.get_mut(organisation) else { return };
        row.own.running = row.own.running.saturating_sub(1);
        row.own.tokens += u64::from(tokens);
        row.tokens.level -= f64::from(tokens);
    }

    /// Takes in the totals of another owner.
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

    /// Forgets what a node that is gone had counted.
    pub fn drop_owner(&mut self, owner: &str) {
        self.remote.remove(owner);
    }

    /// Totals of this owner, to be shared.
    pub fn own(&self) -> impl Iterator<Item = (&SharedName, &LimitUsage)> {
        self.rows.iter().map(|(organisation, row)| (organisation, &row.own))
    }

    /// Forgets organisations without requests for [`IDLE_EXPIRY`].
    pub fn forget_idle(&mut self, now: Duration) {
        let idle = |row: &LimitRow| now.saturating_sub(row.used) > IDLE_EXPIRY;
        self.rows.retain(|_, row| row.own.running > 0 || !idle(row));
    }

    fn remote_running(&self, organisation: &str) -> u32 {
        let usages = self.remote.values().filter_map(|known| known.get(organisation));
        usages.map(|usage| usage.running).sum()
    }
}

impl LimitRow {
    fn new(now: Duration) -> Self {
        let full = TokenBucket { level: f64::INFINITY, refilled: now };
        Self { own: LimitUsage::default(), requests: full.clone(), tokens: full, used: now }
    }
}

impl TokenBucket {
    fn refill(&mut self, now: Duration, rate: f64, burst: f64) {
        let added = now.saturating_sub(self.refilled).as_secs_f64() * rate;
        self.level = (self.level + added).min(burst);
        self.refilled = now;
    }

    /// Whether `wanted` is there; else the time until it is.
    fn check(&self, rate: f64, wanted: f64) -> Result<(), Duration> {
        if self.level >= wanted {
            return Ok(());
        }
        let secs = (wanted - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(secs.min(MINUTE_SECS)))
    }
}
