//! Hash collections with a fast hash that doesn't resist collision attacks.

/// Hash map for trusted, mostly short keys.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set for trusted, mostly short keys.
pub type Set<K> = rustc_hash::FxHashSet<K>;
