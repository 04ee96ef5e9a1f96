//! Hash functions for rendezvous hashing. They give the same values in every process, unlike the
//! standard library's hasher.

/// FNV-1a over `bytes`, with an initial state that depends on `seed`.
pub(crate) fn hash(seed: u64, bytes: impl IntoIterator<Item = u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let initial = OFFSET ^ mix(seed);
    bytes.into_iter().fold(initial, |state, byte| (state ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// The finalizer of SplitMix64; it maps 0 to 0.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rendezvous rank of `candidate` for `key`; the candidate with the highest rank is the key's home.
pub(crate) fn rank(key: &str, candidate: &str) -> u64 {
    mix(hash(0, key.bytes().chain([0]).chain(candidate.bytes())))
}
