//! Cluster time that tolerates wrong wall clocks on some nodes.
//!
//! Each node measures time with its boot clock, which never steps, and adds the median offset of
//! the wall clocks of all nodes.

use std::time::Duration;

use crate::collections::{HashMap, SharedName};

/// Time after which a node's latest reading is discarded.
const READING_LIFETIME: Duration = Duration::from_secs(10);

/// Offset of one node's wall clock from this node's boot clock.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    offset_ms: i64,
    read_at: Duration,
}

/// Median of the wall clocks of all nodes.
#[derive(Clone, Debug, Default)]
pub struct MedianClock {
    offsets: HashMap<SharedName, ClockOffset>,
}

impl MedianClock {
    /// Records a reading of the wall clock of `node`, in milliseconds since the Unix epoch, taken
    /// at `boot` on this node's boot clock.
    pub fn observe(&mut self, node: &SharedName, unix_ms: u64, boot: Duration) {
        let offset_ms = unix_ms as i64 - boot.as_millis() as i64;
        self.offsets.insert(node.clone(), ClockOffset { offset_ms, read_at: boot });
    }

    /// Returns the cluster time at `boot`, in milliseconds since the Unix epoch; 0 if there is no
    /// recent reading.
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
