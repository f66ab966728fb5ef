//! True time from wall clocks of which some are wrong.
//!
//! Each node counts on its boot clock, which never steps, and corrects it by the median of what
//! the wall clocks of all nodes show.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Time after which a node's last reading no longer counts.
const READING_LIFETIME: Duration = Duration::from_secs(10);

/// Wall clock of one node in relation to this node's boot clock.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    offset_ms: i64,
    read_at: Duration,
}

/// Wall clocks as this node saw them.
#[derive(Clone, Debug, Default)]
pub struct MedianClock {
    offsets: HashMap<SharedName, ClockOffset>,
}

impl MedianClock {
    /// Takes in what the wall clock of `node` showed, in milliseconds since the Unix epoch, when
    /// this node's boot clock showed `boot`.
    pub fn observe(&mut self, node: &SharedName, unix_ms: u64, boot: Duration) {
        let offset_ms = unix_ms as i64 - boot.as_millis() as i64;
        self.offsets.insert(node.clone(), ClockOffset { offset_ms, read_at: boot });
    }

    /// True time at `boot` in milliseconds since the Unix epoch; 0 before the first reading.
    pub fn unix_ms(&mut self, boot: Duration) -> u64 {
        self.offsets.retain(|_, offset| boot.saturating_sub(offset.read_at) <= READING_LIFETIME);
        let mut offsets: Vec<_> = self.offsets.values().map(|offset| offset.offset_ms).collect();
        if offsets.is_empty() {
            return 0;
        }
        offsets.sort_unstable();
        let middle = offsets.len() / 2;
        let median = match offsets.len() % 2 {
            1 => offsets[middle],
            _ => (offsets[middle - 1] + offsets[middle]) / 2,
        };
        u64::try_from(median + boot.as_millis() as i64).unwrap_or_default()
    }
}
