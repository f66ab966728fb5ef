//! Admission of requests at a node while the replicas of their service have too little room.
//!
//! Replicas queue requests and serve the urgent ones first, so most requests are admitted even if there is
//! no room at once. Held for a moment are requests of the lower tiers, so that their prompts reach the
//! replicas at the pace at which others complete. Refused are requests whose expected wait leaves no time
//! for a response that is of use, unless their tier, organisation or size has been served too rarely.

mod promises;
mod room;
mod tally;

use std::collections::BTreeSet;
use std::time::Duration;

use crate::collections::HashMap;
use promises::{PromiseBook, PromiseQuery, ReturnKind};
pub use room::ServiceRoom;
use tally::{LoadTally, TierMix};

/// Part of its objective for which a request is held at most. A refusal after that costs its caller more
/// than one at once.
const HOLD_SHARE: u32 = 8;

/// Part of the time that a request has left which it may spend waiting for a slot; the rest is for its run
/// and for the error of the estimate. The most urgent of several tiers may wait for its objective only: late
/// responses are worth little there, and a queue of that length would make all of them late.
const PATIENCE_SHARE: f64 = 2.0 / 3.0;

/// Part of the patience by which the draws of requests spread. The expected wait varies by about a tenth around
/// the bound, and only a wider spread keeps repeats from meeting a moment at which it is lower.
const PATIENCE_SPREAD: f64 = 0.25;

/// Part of its patience and of its objective that a request may wait which its organisation sends beyond its
/// usual load, or which was sent again before the time that its refusal named. It is so short that others of
/// the tier still meet their objective.
const YIELDING_PATIENCE: f64 = 0.25;
const YIELDING_OBJECTIVE: f64 = 0.5;

/// Time whose admissions may be saved up or spent in advance.
const CREDIT_TIME: Duration = Duration::from_millis(250);

/// Bounds of the time after which a held request is decided again.
const SHORTEST_WAIT: Duration = Duration::from_millis(5);
const LONGEST_WAIT: Duration = Duration::from_millis(50);

/// Part of the slots, and of the completions, that more urgent tiers may take while a lower one is served too
/// rarely. By the slots alone, whose use by tier is a guess from few requests at one node, urgent requests
/// were refused during a burst of the lowest tier.
const URGENT_SLOTS: f64 = 0.9;
const URGENT_COMPLETIONS: f64 = 0.8;

/// A request that asks for admission. All times are those of the node's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionAsk {
    /// Tier of the request; 0 comes first.
    pub tier: u8,
    /// Hash of its organisation; 0 without one.
    pub organisation: u64,
    /// Time at which it arrived.
    pub arrived: Duration,
    /// Time by which it meets its objective.
    pub objective: Duration,
    /// Time by which its response must be complete.
    pub deadline: Duration,
    /// Time without an event after which its caller gives up.
    pub gap_limit: Duration,
    /// Its work, in the unit of [`crate::fleet::choice::RequestSize::work`].
    pub work: u64,
    /// Hash of its caller's key, its identifier and its content, the same if it is sent again; 0 without an
    /// identifier.
    pub identity: u64,
    /// Number from 0 to 1 that is drawn from its caller, its content and the time to some seconds. All nodes
    /// draw the same, so that a request which is sent again at once is decided in the same way.
    pub draw: f64,
}

impl AdmissionAsk {
    /// Returns the time until which it may be held or refused.
    fn held_until(&self) -> Duration {
        self.arrived + self.objective.saturating_sub(self.arrived) / HOLD_SHARE
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// Its response would come too late to be of use.
    TooLate,
    /// Its organisation sends many times its usual load.
    UnusualLoad,
    /// It was sent again before the time that its refusal named.
    SentAgainEarly,
    /// A lower tier would be served too rarely.
    TierFloor,
}

impl RefusalReason {
    /// Returns the name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::UnusualLoad => "unusual_load",
            Self::SentAgainEarly => "sent_again_early",
            Self::TierFloor => "tier_floor",
        }
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionVerdict {
    /// It may be placed now.
    Admitted,
    /// It waits at this node; it is decided again after at most this time.
    Waits(Duration),
    /// It is refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Time after which it may come back.
        retry_after: Duration,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEnd {
    /// Its caller got a response of a replica.
    Served,
    /// It was at a replica, but its caller got no response.
    Failed,
    /// It was at no replica.
    NotRun,
}

/// Names a request at its controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketNumber(u64);

/// How a request compares with others of its tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TicketStanding {
    /// It came back at the time that its refusal named.
    Returned,
    /// Nothing sets it apart.
    Usual,
    /// It is beyond the usual load of its organisation.
    Unusual,
    /// It was sent again before the time that its refusal named.
    Early,
}

/// Order of held requests: tier, standing, time of the objective.
type WaitOrder = (u8, TicketStanding, Duration, TicketNumber);

#[derive(Clone, Copy, Debug)]
struct AdmissionTicket {
    ask: AdmissionAsk,
    standing: TicketStanding,
    is_large: bool,
    is_admitted: bool,
}

impl AdmissionTicket {
    fn order(&self, number: TicketNumber) -> WaitOrder {
        (self.ask.tier, self.standing, self.ask.objective, number)
    }
}

/// Decides on the requests for one service at this node.
#[derive(Debug, Default)]
pub struct AdmissionController {
    tickets: HashMap<TicketNumber, AdmissionTicket>,
    waiting: BTreeSet<WaitOrder>,
    issued: u64,
    tally: LoadTally,
    promises: PromiseBook,
    credit: f64,
    credited_at: Duration,
}

impl AdmissionController {
    /// Creates a controller at `now`. `phase`, a random number from 0 to 1, keeps nodes that know the same
    /// from admitting at the same moment.
    pub fn new(phase: f64, now: Duration) -> Self {
        let tally = LoadTally::new(now);
        Self { credit: phase, credited_at: now, tally, ..Self::default() }
    }

    /// Records a request that asks for admission. [`Self::leave`] must follow.
    pub fn arrive(&mut self, ask: AdmissionAsk, now: Duration) -> TicketNumber {
        let standing = match self.promises.recognise(ask.identity, now) {
            Some(ReturnKind::InTime) => TicketStanding::Returned,
            Some(ReturnKind::Early) => TicketStanding::Early,
            None => TicketStanding::Usual,
        };
        // A request that is sent again and again must not count as many that were refused.
        let is_counted = standing != TicketStanding::Early;
        let arrival = self.tally.record_arrival(&ask, is_counted, now);
        let standing = match (standing, arrival.is_unusual) {
            (TicketStanding::Usual | TicketStanding::Returned, true) => TicketStanding::Unusual,
            (standing, _) => standing,
        };
        self.issued += 1;
        let number = TicketNumber(self.issued);
        let is_large = arrival.is_large;
        self.tickets
            .insert(number, AdmissionTicket { ask, standing, is_large, is_admitted: false });
        number
    }

    /// Admits a request that this node must neither hold nor refuse.
    pub fn admit(&mut self, number: TicketNumber, now: Duration) {
        let Some(ticket) = self.tickets.get_mut(&number).filter(|ticket| !ticket.is_admitted)
        else {
            return;
        };
        ticket.is_admitted = true;
        self.waiting.remove(&ticket.order(number));
        let is_counted = ticket.standing != TicketStanding::Early;
        self.tally.record_admission(&ticket.ask, ticket.is_large, is_counted, now);
        self.credit -= 1.0;
    }

    /// Decides on a request that has arrived.
    pub fn decide(
        &mut self,
        number: TicketNumber,
        room: &ServiceRoom,
        now: Duration,
    ) -> AdmissionVerdict {
        let Some(ticket) = self.tickets.get(&number).copied() else {
            return AdmissionVerdict::Admitted;
        };
        self.refill(room, now);
        let wait = match self.is_held(&ticket, room, now) {
            false => None,
            true => {
                if let Some(reason) = self.refusal(number, &ticket, room, now) {
                    return self.refuse(number, &ticket, reason, room, now);
                }
                self.waiting.insert(ticket.order(number));
                self.time_to_credit(&ticket, number, room)
            }
        };
        match wait {
            Some(wait) => {
                let left = ticket.ask.held_until().saturating_sub(now);
                AdmissionVerdict::Waits(wait.min(left).max(Duration::from_millis(1)))
            }
            None => {
                self.admit(number, now);
                AdmissionVerdict::Admitted
            }
        }
    }

    /// Records that a request has ended, whether it was admitted or not.
    pub fn leave(&mut self, number: TicketNumber, end: AdmissionEnd, now: Duration) {
        let Some(ticket) = self.tickets.remove(&number) else { return };
        self.waiting.remove(&ticket.order(number));
        if ticket.is_admitted {
            self.tally.record_end(ticket.ask.tier, end, now);
        }
    }

    /// Returns the requests that wait here.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the requests that end per second at replicas with `slots` and `requests` in progress, by those
    /// of this node; 0 if too few of them have ended.
    pub fn completion_rate(&mut self, slots: u32, requests: u32, now: Duration) -> f64 {
        self.tally.completion_rate(slots, requests, now)
    }

    /// Drops what is no longer needed.
    pub fn expire(&mut self, now: Duration) {
        self.tally.expire(now);
        self.promises.expire(now);
    }

    /// Adds the admissions that have become possible since the last decision.
    fn refill(&mut self, room: &ServiceRoom, now: Duration) {
        let elapsed = now.saturating_sub(self.credited_at).min(CREDIT_TIME);
        self.credited_at = now;
        if !room.is_known() {
            return;
        }
        let bound = (room.pace() * CREDIT_TIME.as_secs_f64()).max(1.0);
        let credit = self.credit + room.pace() * elapsed.as_secs_f64();
        self.credit = credit.clamp(-bound, bound);
    }

    /// Returns whether a request is subject to holding and refusal at all.
    fn is_held(&self, ticket: &AdmissionTicket, room: &ServiceRoom, now: Duration) -> bool {
        // Requests that wait are admitted at the pace of the room, also once there is some again, because
        // other nodes see the same room.
        let is_short = room.is_short() || (room.is_known() && !self.waiting.is_empty());
        is_short && now < ticket.ask.held_until()
    }

    /// Returns the time until a held request may be admitted; `None` if that is now.
    fn time_to_credit(
        &self,
        ticket: &AdmissionTicket,
        number: TicketNumber,
        room: &ServiceRoom,
    ) -> Option<Duration> {
        let tier = ticket.ask.tier;
        let goes_first = match ticket.standing {
            TicketStanding::Returned => true,
            TicketStanding::Usual => self.tally.is_most_urgent(tier),
            TicketStanding::Unusual | TicketStanding::Early => false,
        };
        let rank = self.held_before(number, ticket);
        let missing = (rank + 1) as f64 - self.credit;
        if goes_first || missing <= 0.0 {
            return None;
        }
        let seconds = (missing / room.pace()).min(LONGEST_WAIT.as_secs_f64());
        Some(Duration::from_secs_f64(seconds).max(SHORTEST_WAIT))
    }

    /// Returns the number of requests that wait here and go before this one.
    fn held_before(&self, number: TicketNumber, ticket: &AdmissionTicket) -> usize {
        self.waiting.range(..ticket.order(number)).count()
    }

    /// Returns why a request that may be held is refused, if it is.
    fn refusal(
        &self,
        number: TicketNumber,
        ticket: &AdmissionTicket,
        room: &ServiceRoom,
        now: Duration,
    ) -> Option<RefusalReason> {
        if !room.is_short() || !room.knows_others {
            return None;
        }
        let ask = &ticket.ask;
        let mix = self.tally.mix(ask.tier, now);
        let wait = room.expected_wait(&mix, self.held_before(number, ticket));
        let patience = self.patience(ticket, now);
        let reason = match ticket.standing {
            _ if wait > patience => match ticket.standing {
                TicketStanding::Returned | TicketStanding::Usual => RefusalReason::TooLate,
                TicketStanding::Unusual => RefusalReason::UnusualLoad,
                TicketStanding::Early => return Some(RefusalReason::SentAgainEarly),
            },
            TicketStanding::Usual if self.takes_floor(&mix, ask.tier, room, now) => {
                RefusalReason::TierFloor
            }
            _ => return None,
        };
        let is_below_floor = self.tally.is_below_floor(ask, ticket.is_large, now);
        let goes_before_lower =
            ticket.standing == TicketStanding::Usual && self.tally.is_behind_lower(ask.tier, now);
        (!is_below_floor && !goes_before_lower).then_some(reason)
    }

    /// Returns the time for which a request may wait at a replica and still be of use.
    fn patience(&self, ticket: &AdmissionTicket, now: Duration) -> Duration {
        let ask = &ticket.ask;
        let left = ask.deadline.saturating_sub(now);
        let objective = ask.objective.saturating_sub(ask.arrived);
        let bound = match self.tally.leads_others(ask.tier, now) {
            true => left.min(objective),
            false => left.mul_f64(PATIENCE_SHARE),
        };
        let spread = 1.0 - PATIENCE_SPREAD * ask.draw.clamp(0.0, 1.0);
        let usual = bound.min(ask.gap_limit).mul_f64(spread);
        match ticket.standing {
            TicketStanding::Returned => left,
            TicketStanding::Usual => usual,
            TicketStanding::Unusual | TicketStanding::Early => {
                usual.mul_f64(YIELDING_PATIENCE).min(objective.mul_f64(YIELDING_OBJECTIVE))
            }
        }
    }

    /// Returns whether the tier and more urgent ones fill the slots while a lower tier is served too rarely.
    fn takes_floor(&self, mix: &TierMix, tier: u8, room: &ServiceRoom, now: Duration) -> bool {
        let ahead = f64::from(room.requests) * mix.ahead;
        ahead > f64::from(room.slots) * URGENT_SLOTS
            && mix.taken > URGENT_COMPLETIONS
            && self.tally.starves_lower(tier, now)
    }

    fn refuse(
        &mut self,
        number: TicketNumber,
        ticket: &AdmissionTicket,
        reason: RefusalReason,
        room: &ServiceRoom,
        now: Duration,
    ) -> AdmissionVerdict {
        let mix = self.tally.mix(ticket.ask.tier, now);
        let wait = room.expected_wait(&mix, self.held_before(number, ticket));
        let wait = wait.saturating_sub(self.patience(ticket, now));
        let query = PromiseQuery {
            tier: ticket.ask.tier,
            identity: ticket.ask.identity,
            wait,
            per_second: room.ended_per_second * room.share,
            time_left: ticket.ask.deadline.saturating_sub(now),
        };
        let retry_after = match reason {
            RefusalReason::SentAgainEarly => self.promises.remaining(&query, now),
            _ => self.promises.promise(&query, now),
        };
        self.waiting.remove(&ticket.order(number));
        self.tickets.remove(&number);
        AdmissionVerdict::Refused { reason, retry_after }
    }
}
