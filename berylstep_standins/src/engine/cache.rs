//! Bounded cache of prompt prefixes.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

/// LRU cache of prompt blocks, identified by chained hashes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: FxHashMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, last_used: FxHashMap::default(), by_age: BTreeMap::new() }
    }

    /// Adds all blocks of a prompt; returns how many leading blocks were already cached.
    pub fn admit(&mut self, blocks: &[u64]) -> usize {
        let is_cached = |block: &&u64| self.last_used.contains_key(block);
        let hits = blocks.iter().take_while(is_cached).count();
        // Touches blocks in reverse order, so that the end of a prompt is evicted before its start.
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
