//! Ranks of names, from which links, watchers and subsets follow.
//!
//! Everything here is a function of names alone, so that nodes which know the
//! same nodes come to the same result without talking.

use twox_hash::XxHash64;

const NAME_SEED: u64 = 0x6272_6f6e_7a65;
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Purpose for which names are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RankPurpose {
    /// First ring within a failure domain.
    DomainRing,
    /// Second ring within a failure domain.
    SecondDomainRing,
    /// First ring within a region.
    RegionRing,
    /// Second ring within a region.
    SecondRegionRing,
    /// Watching the store.
    Watcher,
    /// First ring within a routing subset.
    SubsetRing,
    /// Second ring within a routing subset.
    SecondSubsetRing,
    /// Routing subset of a node or group.
    Subset,
    /// Observing a group.
    Observer,
}

/// Hash of a text.
pub fn hash_text(text: &str) -> u64 {
    XxHash64::oneshot(NAME_SEED, text.as_bytes())
}

/// Rank of a hashed name for a purpose.
pub fn rank_hash(hash: u64, purpose: RankPurpose) -> u64 {
    mix_hashes(hash, (purpose as u64 + 1).wrapping_mul(MULTIPLIER))
}

/// Hash of two hashes.
pub fn mix_hashes(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The next and the previous element on a ring of hashes, as seen from one.
pub fn ring_neighbours<T>(
    own_hash: u64,
    purpose: RankPurpose,
    others: impl Iterator<Item = (u64, T)>,
) -> [Option<T>; 2] {
    let own_rank = rank_hash(own_hash, purpose);
    let mut next: Option<(u64, T)> = None;
    let mut previous: Option<(u64, T)> = None;
    for (hash, value) in others {
        let ahead = rank_hash(hash, purpose).wrapping_sub(own_rank);
        if next.as_ref().is_none_or(|(nearest, _)| ahead < *nearest) {
            if previous.is_none() {
                previous = next.take();
            }
            next = Some((ahead, value));
        } else if previous
            .as_ref()
            .is_none_or(|(farthest, _)| ahead > *farthest)
        {
            previous = Some((ahead, value));
        }
    }
    [
        next.map(|(_, value)| value),
        previous.map(|(_, value)| value),
    ]
}

/// Routing subset that a hashed name belongs to.
pub fn subset_of(hash: u64, subset_count: u32) -> u32 {
    let count = u64::from(subset_count.max(1));
    u32::try_from(rank_hash(hash, RankPurpose::Subset) % count).unwrap_or(0)
}
