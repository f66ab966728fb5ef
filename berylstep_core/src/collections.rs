//! Aliases for collections and shared names.

use std::sync::Arc;

/// Hash map with a fast, non-cryptographic hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, non-cryptographic hasher.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;

/// Immutable string shared between tables.
pub type SharedName = Arc<str>;

/// Fast, non-cryptographic hasher with the same results in every process.
pub type FastHasher = rustc_hash::FxHasher;
