//! Hedged requests: a second attempt where the first is slower than almost all others of its kind.

use std::time::Duration;

/// A request in progress that has shown no response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeAsk<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Pace of its replica, see [`crate::fleet::pace`].
    pub pace: f64,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Whether requests wait for room at this node or at the replicas.
    pub is_room_short: bool,
}

/// Decision on a hedge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgeVerdict {
    /// A second attempt may be sent once the first has had no response for this time.
    After(Duration),
    /// No second attempt is sent, for this reason.
    Denied(HedgeDenial),
}

/// Why no second attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDenial {
    /// Hedging is switched off.
    Off,
    /// Too few responses of this kind are known.
    Unknown,
    /// The share of hedges has been used up.
    Budget,
    /// Room is short.
    Room,
    /// The deadline comes before a second attempt could end.
    Deadline,
}
