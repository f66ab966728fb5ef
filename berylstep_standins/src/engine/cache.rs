//! Cache of prompt prefixes in limited memory.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

/// Blocks of prompt text by chained hash; the least recently used one is evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: FxHashMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Makes an empty cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, last_used: FxHashMap::default(), by_age: BTreeMap::new() }
    }

    /// Returns how many leading blocks were cached, and caches all of them.
    pub fn admit(&mut self, blocks: &[u64]) -> usize {
        let is_cached = |block: &&u64| self.last_used.contains_key(block);
        let hits = blocks.iter().take_while(is_cached).count();
        // Touched from the end, so that the start of a prompt outlives its continuation.
        for &block in blocks.iter().rev() {
            self.touch(block);
        }
        while self.last_used.len() > self.capacity {
            self.evict_oldest();
        }
        hits
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(age) = self.last_used.insert(block, self.clock) {
            self.by_age.remove(&age);
        }
        self.by_age.insert(self.clock, block);
    }

    fn evict_oldest(&mut self) {
        if let Some((_, block)) = self.by_age.pop_first() {
            self.last_used.remove(&block);
        }
    }
}
