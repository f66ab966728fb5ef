//! Quarantine of requests that crash replicas.
//!
//! A prompt consists of parts, and requests share parts. When a replica crashes, every request that
//! it had received but not begun to answer is suspected, and with it each part of its prompt. A
//! part that was lost in several crashes is quarantined: requests with it are refused, because they
//! would crash the next replica. A request that begins to be answered clears its parts. Nodes
//! exchange both kinds of evidence, so a crash counts whichever node sent the request.
//!
//! A request without a prompt is known by its whole content. Other requests are lost beside one that
//! crashes replicas, so of several contents that were lost in the same crashes none is quarantined
//! until one more crash tells them apart.

use std::fmt;
use std::time::Duration;

use crate::collections::{HashMap, HashSet};
use crate::rendezvous;

/// Crashes in which a part must have been lost before it is quarantined. Two replicas may crash by
/// chance with requests of the same session.
const QUARANTINE_CRASHES: usize = 3;

/// Time for which a part that began to be answered is above suspicion. Keeps parts of much traffic
/// out of quarantine when many replicas crash at once.
const SOUND_PERIOD: Duration = Duration::from_secs(3);

/// Crashes from which contents are quarantined although others were lost in the same crashes. The
/// sound ones among them are cleared by a review.
const AMBIGUOUS_CRASHES: usize = 5;

/// Time from the last crash until one request of a quarantined group is let through, to find out
/// whether it still crashes replicas. Doubles with each further crash.
const REVIEW_DELAY: Duration = Duration::from_secs(30);

/// Upper bound of the time between reviews.
const MAX_REVIEW_DELAY: Duration = Duration::from_secs(240);

/// Upper bound of the time between reviews of a content.
const MAX_CONTENT_REVIEW_DELAY: Duration = Duration::from_secs(1800);

/// Time between reviews of a content, as a multiple of the time between its first crash and the last.
const CONTENT_REVIEW_FACTOR: u32 = 3;

/// Time after which a crash is no longer evidence against a quarantined content.
const CONTENT_RETENTION: Duration = Duration::from_secs(3600);

/// Time after which a crash is no longer evidence; longer than that between reviews, so that a
/// group that is still asked for stays in quarantine.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(600);

/// Time for which a node repeats new evidence to its peers, in case of lost messages.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(3);

/// Largest number of suspected parts, and of cleared ones. In a mass crash new evidence replaces the
/// weakest.
const MAX_SUSPECTS: usize = 4096;

/// Largest number of crashes retained for a part.
const MAX_CRASHES: usize = 6;

/// Largest number of items of each kind in one message.
const MAX_ANNOUNCED: usize = 64;

/// What evidence about crashes is collected for; the keys are the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EvidenceKey {
    /// A part of prompts.
    Part(u64),
    /// The whole content of requests without a prompt.
    Content(u64),
}

impl fmt::Display for EvidenceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(key) => write!(formatter, "{key:016x}"),
            Self::Content(key) => write!(formatter, "content-{key:016x}"),
        }
    }
}

/// Returns the key of a part of prompts for `service`.
pub fn part_key(service: &str, part: &str) -> EvidenceKey {
    EvidenceKey::Part(rendezvous::score(service, part))
}

/// One crash of a replica: a process crashes only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CrashId {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Start of its process, in milliseconds since the Unix epoch; 0 if not announced.
    pub born: u64,
}

/// Evidence that a part or a content was lost in a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSuspicion {
    /// Key of the part or the content.
    pub key: EvidenceKey,
    /// Crash in which it was lost.
    pub crash: CrashId,
    /// Time of the crash.
    pub at: Duration,
}

/// Evidence that a part or a content does not crash replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashClearance {
    /// Key of the part or the content.
    pub key: EvidenceKey,
    /// Time at which a request with it began to be answered.
    pub at: Duration,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// It may be sent to a replica.
    Allowed,
    /// It may be sent to one replica, to find out whether its prompt still crashes them.
    Review,
    /// It must not reach a replica, at least not within this time.
    Refused(Duration),
}

/// Crashes in which a part or a content was lost, by when they became known.
#[derive(Clone, Debug, Default)]
struct SuspectRow {
    /// Crashes with their times, ordered by crash.
    crashes: Vec<(CrashId, Duration)>,
    learnt_at: Duration,
}

impl SuspectRow {
    fn latest(&self) -> Duration {
        self.crashes.iter().map(|(_, at)| *at).max().unwrap_or_default()
    }

    fn earliest(&self) -> Duration {
        self.crashes.iter().map(|(_, at)| *at).min().unwrap_or_default()
    }

    /// Returns the time for which the crashes remain evidence against `key`.
    fn retention(&self, key: &EvidenceKey) -> Duration {
        match key {
            EvidenceKey::Content(_) if self.crashes.len() >= QUARANTINE_CRASHES => {
                CONTENT_RETENTION
            }
            _ => EVIDENCE_RETENTION,
        }
    }

    fn ids(&self) -> Vec<CrashId> {
        self.crashes.iter().map(|(crash, _)| *crash).collect()
    }
}

/// Parts that were lost in the same crashes, or one content. Only a request with all of them is
/// refused, because any one of them may be the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedGroup {
    /// Keys of the parts, or of the one content, in ascending order.
    pub keys: Vec<EvidenceKey>,
    /// Number of crashes that the group explains.
    pub crashes: usize,
    review_at: Duration,
    review_delay: Duration,
}

/// Evidence about parts of prompts and contents, and the groups that it puts into quarantine.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    suspects: HashMap<EvidenceKey, SuspectRow>,
    /// Parts that lately began to be answered, with the time of the last such request.
    sound: HashMap<EvidenceKey, Duration>,
    /// Parts that were suspected and have been cleared, with the time of the answer. Nodes that
    /// have not heard of it may go on to announce the old evidence.
    cleared: HashMap<EvidenceKey, Duration>,
    /// Clearances of suspected keys, with the time at which this node learnt of them.
    clearances: Vec<(CrashClearance, Duration)>,
    groups: Vec<QuarantinedGroup>,
    /// Time of the last review of a group at this node, by its first key.
    reviews: HashMap<EvidenceKey, Duration>,
}

impl RequestQuarantine {
    /// Records that a request with `keys` began to be answered; returns whether one of them was
    /// suspected.
    pub fn record_started(&mut self, keys: &[EvidenceKey], now: Duration) -> bool {
        let cleared = keys.iter().map(|key| self.clear(*key, now, now)).filter(|is| *is);
        cleared.count() > 0
    }

    /// Records that a request with `keys` was lost in a crash before it began to be answered;
    /// returns whether that is new evidence.
    pub fn record_crash(&mut self, keys: &[EvidenceKey], crash: CrashId, now: Duration) -> bool {
        let suspicions = keys.iter().map(|key| CrashSuspicion { key: *key, crash, at: now });
        let learnt = suspicions.map(|suspicion| self.suspect(suspicion, now)).filter(|is| *is);
        let is_new = learnt.count() > 0;
        self.update_groups(is_new);
        is_new
    }

    /// Applies evidence from peers; returns whether some of it is new.
    pub fn apply(
        &mut self,
        suspicions: &[CrashSuspicion],
        clearances: &[CrashClearance],
        now: Duration,
    ) -> bool {
        let cleared = clearances.iter().map(|it| self.clear(it.key, it.at, now));
        let cleared = cleared.filter(|is| *is).count();
        let learnt = suspicions.iter().map(|it| self.suspect(*it, now)).filter(|is| *is).count();
        self.update_groups(learnt > 0);
        cleared + learnt > 0
    }

    /// Decides on a request with `keys` that has not been sent yet. `is_reviewer` tells whether
    /// this node reviews the group that a key is the first of, given for how long the review has
    /// been due; a review is used up by the call.
    pub fn check_new(
        &mut self,
        keys: &[EvidenceKey],
        now: Duration,
        is_reviewer: impl FnOnce(EvidenceKey, Duration) -> bool,
    ) -> QuarantineVerdict {
        let Some(group) = self.group_of(keys) else { return QuarantineVerdict::Allowed };
        let (first, due_at) = (group.keys[0], self.review_due_at(group));
        let wait = due_at.saturating_sub(now);
        if wait.is_zero() && is_reviewer(first, now - due_at) {
            self.reviews.insert(first, now);
            return QuarantineVerdict::Review;
        }
        QuarantineVerdict::Refused(wait)
    }

    /// Returns the time until the next review if requests with `keys` are refused.
    pub fn refusal_wait(&self, keys: &[EvidenceKey], now: Duration) -> Option<Duration> {
        Some(self.review_due_at(self.group_of(keys)?).saturating_sub(now))
    }

    /// Returns the groups in quarantine.
    pub fn groups(&self) -> &[QuarantinedGroup] {
        &self.groups
    }

    /// Returns the suspicions to announce to peers: new ones and, if `all`, those of quarantined
    /// groups, which nodes that have just started must learn.
    pub fn suspicions(&self, all: bool, now: Duration) -> Vec<CrashSuspicion> {
        let quarantined: HashSet<_> =
            self.groups.iter().flat_map(|group| &group.keys).copied().collect();
        let is_announced = |key: &EvidenceKey, row: &SuspectRow| {
            now.saturating_sub(row.learnt_at) < ANNOUNCEMENT_TIME
                || (all && quarantined.contains(key))
        };
        let rows = self.suspects.iter().filter(|(key, row)| is_announced(key, row));
        let mut rows: Vec<_> = rows.collect();
        rows.sort_unstable_by_key(|(_, row)| std::cmp::Reverse((row.crashes.len(), row.latest())));
        let suspicions = rows.into_iter().flat_map(|(key, row)| {
            let crashes = row.crashes.iter();
            crashes.map(|(crash, at)| CrashSuspicion { key: *key, crash: *crash, at: *at })
        });
        suspicions.take(MAX_ANNOUNCED).collect()
    }

    /// Returns the clearances to announce to peers.
    pub fn clearances(&self) -> Vec<CrashClearance> {
        self.clearances.iter().rev().take(MAX_ANNOUNCED).map(|(clearance, _)| *clearance).collect()
    }

    /// Drops evidence that no longer counts.
    pub fn expire(&mut self, now: Duration) {
        self.sound.retain(|_, at| now.saturating_sub(*at) < SOUND_PERIOD);
        self.cleared.retain(|_, at| now.saturating_sub(*at) < EVIDENCE_RETENTION);
        self.clearances.retain(|(_, learnt)| now.saturating_sub(*learnt) < ANNOUNCEMENT_TIME);
        let count = self.suspects.len();
        self.suspects.retain(|key, row| now.saturating_sub(row.latest()) < row.retention(key));
        self.update_groups(self.suspects.len() != count);
        self.reviews.retain(|_, at| now.saturating_sub(*at) < CONTENT_RETENTION);
    }

    fn review_due_at(&self, group: &QuarantinedGroup) -> Duration {
        let reviewed = self.reviews.get(&group.keys[0]);
        let next = reviewed.map_or(Duration::ZERO, |at| *at + group.review_delay);
        next.max(group.review_at)
    }

    fn group_of(&self, keys: &[EvidenceKey]) -> Option<&QuarantinedGroup> {
        self.groups.iter().find(|group| group.keys.iter().all(|key| keys.contains(key)))
    }

    /// Records that a key began to be answered at `at`; returns whether it was suspected.
    fn clear(&mut self, key: EvidenceKey, at: Duration, now: Duration) -> bool {
        let sound = self.sound.entry(key).or_default();
        *sound = at.max(*sound);
        let Some(row) = self.suspects.get_mut(&key) else { return false };
        let count = row.crashes.len();
        row.crashes.retain(|(_, crashed)| *crashed >= at + SOUND_PERIOD);
        if row.crashes.len() == count {
            return false;
        }
        if row.crashes.is_empty() {
            self.suspects.remove(&key);
        }
        if self.cleared.len() < MAX_SUSPECTS {
            self.cleared.insert(key, at);
        }
        self.announce_clearance(key, at, now);
        self.update_groups(count >= QUARANTINE_CRASHES);
        true
    }

    fn announce_clearance(&mut self, key: EvidenceKey, at: Duration, now: Duration) {
        self.clearances.retain(|(known, _)| known.key != key);
        self.clearances.push((CrashClearance { key, at }, now));
    }

    /// Records a suspicion; returns whether it is new.
    fn suspect(&mut self, suspicion: CrashSuspicion, now: Duration) -> bool {
        let CrashSuspicion { key, crash, at } = suspicion;
        let sound = self.sound.get(&key).max(self.cleared.get(&key)).copied();
        if let Some(sound) = sound.filter(|sound| *sound + SOUND_PERIOD > at) {
            // The nodes that suspect the key may not know that it is sound.
            self.announce_clearance(key, sound, now);
            return false;
        }
        let retention = match key {
            EvidenceKey::Part(_) => EVIDENCE_RETENTION,
            EvidenceKey::Content(_) => CONTENT_RETENTION,
        };
        let is_over = now.saturating_sub(at) >= retention;
        if is_over {
            return false;
        }
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&key) {
            self.drop_weakest_suspects();
        }
        let row = self.suspects.entry(key).or_default();
        let place = row.crashes.binary_search_by_key(&crash, |(known, _)| *known);
        let Err(place) = place else { return false };
        if row.crashes.len() >= MAX_CRASHES {
            // Enough crashes are known; only the time of the last one matters.
            let latest = row.crashes.iter_mut().max_by_key(|(_, known)| *known);
            let Some((_, known)) = latest.filter(|(_, known)| *known < at) else { return false };
            *known = at;
        } else {
            row.crashes.insert(place, (crash, at));
        }
        row.learnt_at = now;
        true
    }

    /// Drops some keys: those that were lost in the fewest crashes, of these the ones lost longest
    /// ago.
    fn drop_weakest_suspects(&mut self) {
        let rows = self.suspects.iter();
        let mut weights: Vec<_> =
            rows.map(|(key, row)| (row.crashes.len(), row.latest(), *key)).collect();
        let count = (MAX_SUSPECTS / 8).min(weights.len().saturating_sub(1));
        weights.select_nth_unstable(count);
        for (_, _, key) in &weights[..count] {
            self.suspects.remove(key);
        }
    }

    /// Determines the groups that explain the crashes, those with the most crashes first.
    ///
    /// A crash that a group explains is no evidence against the others that were lost in it.
    fn update_groups(&mut self, is_due: bool) {
        if !is_due {
            return;
        }
        let repeated =
            self.suspects.iter().filter(|(_, row)| row.crashes.len() >= QUARANTINE_CRASHES);
        let mut by_crashes: HashMap<Vec<CrashId>, Vec<EvidenceKey>> = HashMap::default();
        for (key, row) in repeated {
            by_crashes.entry(row.ids()).or_default().push(*key);
        }
        let mut candidates: Vec<_> = by_crashes.into_iter().collect();
        candidates.sort_unstable_by(|(left, _), (right, _)| {
            right.len().cmp(&left.len()).then_with(|| left.cmp(right))
        });
        let mut explained: HashSet<CrashId> = HashSet::default();
        self.groups.clear();
        for (crashes, mut lost) in candidates {
            let unexplained = crashes.iter().filter(|crash| !explained.contains(crash)).count();
            if unexplained < QUARANTINE_CRASHES {
                continue;
            }
            lost.sort_unstable();
            let is_part = |key: &EvidenceKey| matches!(key, EvidenceKey::Part(_));
            let (parts, contents): (Vec<_>, Vec<_>) = lost.into_iter().partition(is_part);
            let is_ambiguous = contents.len() > 1 && crashes.len() < AMBIGUOUS_CRASHES;
            let contents = contents.into_iter().filter(|_| !is_ambiguous).map(|key| vec![key]);
            let groups = Some(parts).filter(|parts| !parts.is_empty()).into_iter().chain(contents);
            let groups: Vec<_> = groups.map(|keys| self.group(keys, crashes.len())).collect();
            if !groups.is_empty() {
                explained.extend(&crashes);
            }
            self.groups.extend(groups);
        }
    }

    /// Returns the group of `keys`, which were lost in the same crashes.
    fn group(&self, keys: Vec<EvidenceKey>, crashes: usize) -> QuarantinedGroup {
        let rows = || keys.iter().filter_map(|key| self.suspects.get(key));
        let latest = rows().map(SuspectRow::latest).max().unwrap_or_default();
        let earliest = rows().map(SuspectRow::earliest).min().unwrap_or_default();
        let review_delay = match keys[0] {
            EvidenceKey::Part(_) => review_delay(crashes),
            EvidenceKey::Content(_) => ((latest - earliest) * CONTENT_REVIEW_FACTOR)
                .clamp(REVIEW_DELAY, MAX_CONTENT_REVIEW_DELAY),
        };
        QuarantinedGroup { keys, crashes, review_at: latest + review_delay, review_delay }
    }
}

/// Returns the time from the last crash until the next review of a group of parts with so many
/// crashes.
fn review_delay(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(QUARANTINE_CRASHES).min(3) as u32;
    (REVIEW_DELAY * 2_u32.pow(doublings)).min(MAX_REVIEW_DELAY)
}
