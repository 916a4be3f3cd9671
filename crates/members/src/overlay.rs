//! Ranking of names by hash, from which links, watchers and subsets are derived.
//!
//! All functions depend on names only, so that nodes with the same directory
//! derive the same result without coordination.

use twox_hash::XxHash64;

const NAME_SEED: u64 = 0x6272_6f6e_7a65;
/// Golden-ratio constant that spreads consecutive purposes over 64 bits.
const PURPOSE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Purpose for which names are ranked; each has an independent order.
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
    /// Choice of the watchers of a failure domain.
    Watcher,
    /// First ring within a routing subset.
    SubsetRing,
    /// Second ring within a routing subset.
    SecondSubsetRing,
    /// Assignment of a node or group to a routing subset.
    Subset,
    /// Choice of the observers of a group.
    Observer,
}

/// Hash of a name; the same on every node.
pub fn hash_text(text: &str) -> u64 {
    XxHash64::oneshot(NAME_SEED, text.as_bytes())
}

/// Rank of a hashed name for a purpose.
pub fn rank_hash(hash: u64, purpose: RankPurpose) -> u64 {
    mix_hashes(hash, (purpose as u64 + 1).wrapping_mul(PURPOSE_MULTIPLIER))
}

/// Combines two hashes into one; the order matters.
pub fn mix_hashes(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The next and the previous element on a ring of ranks, as seen from the local
/// hash; with one other element only the next.
pub fn ring_neighbours<T>(
    local_hash: u64,
    purpose: RankPurpose,
    others: impl Iterator<Item = (u64, T)>,
) -> [Option<T>; 2] {
    let local_rank = rank_hash(local_hash, purpose);
    let mut next: Option<(u64, T)> = None;
    let mut previous: Option<(u64, T)> = None;
    for (hash, value) in others {
        let ahead = rank_hash(hash, purpose).wrapping_sub(local_rank);
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
