//! Collections with a fast, non-cryptographic hash.

/// Hash map keyed by trusted, mostly short keys.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set of trusted, mostly short keys.
pub type Set<K> = rustc_hash::FxHashSet<K>;
