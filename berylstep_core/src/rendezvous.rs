//! Rendezvous hashing: all nodes select the same owner of a key without coordination.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// Returns the score of `node` for `key`; the node with the highest score owns the key.
pub fn score(key: &str, node: &str) -> u64 {
    let mut hasher = FxHasher::default();
    key.hash(&mut hasher);
    node.hash(&mut hasher);
    mix(hasher.finish())
}

/// Returns the candidates in descending order of their scores.
pub fn rank<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = candidates.map(|node| (score(key, node), node)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Applies the finalizer of MurmurHash3, because `FxHasher` mixes the low bits poorly.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
