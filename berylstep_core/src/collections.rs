//! Type aliases for hash collections and shared strings.

use std::sync::Arc;

/// Hash map with a fast, non-cryptographic hash function.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, non-cryptographic hash function.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;

/// Immutable, reference-counted string that tables share.
pub type SharedName = Arc<str>;

/// Fast, non-cryptographic hasher without a random seed; hashes are the same in all processes.
pub type FastHasher = rustc_hash::FxHasher;
