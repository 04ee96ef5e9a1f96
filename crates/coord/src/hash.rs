//! The hash behind rendezvous: the same in every process, unlike the standard library's hasher.

/// FNV-1a over `bytes`, from a start that differs by `seed`.
pub(crate) fn hash(seed: u64, bytes: impl IntoIterator<Item = u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let start = OFFSET ^ mix(seed);
    bytes.into_iter().fold(start, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// The finishing step of SplitMix64; it leaves 0 as it is.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rendezvous rank of `candidate` for `thing`: the highest of all candidates is its home.
pub(crate) fn rank(thing: &str, candidate: &str) -> u64 {
    mix(hash(0, thing.bytes().chain([0]).chain(candidate.bytes())))
}
