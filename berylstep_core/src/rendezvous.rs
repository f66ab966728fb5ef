//! Rendezvous hashing: every node picks the same owner without agreement.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// Score of `node` for `key`; the highest score owns the key.
pub fn score(key: &str, node: &str) -> u64 {
    let mut hasher = FxHasher::default();
    key.hash(&mut hasher);
    node.hash(&mut hasher);
    mix(hasher.finish())
}

/// Returns the candidates from the highest score down.
pub fn rank<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = candidates.map(|node| (score(key, node), node)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Finalizer of MurmurHash3; the fast hasher leaves its low bits poorly mixed.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
