//! Incremental hashes over sets, by which two nodes find differences.

/// Number of buckets into which a set is divided; see [`bucket_of`].
pub const BUCKET_COUNT: usize = 32;

/// Hash of each bucket of a set, independent of the order of its elements.
#[derive(Clone, Debug)]
pub struct SetSummary {
    buckets: [u64; BUCKET_COUNT],
}

impl Default for SetSummary {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKET_COUNT],
        }
    }
}

impl SetSummary {
    /// Adds an element, or removes it if the set contains it.
    pub fn toggle(&mut self, key_hash: u64, element_hash: u64) {
        self.buckets[bucket_of(key_hash)] ^= element_hash;
    }

    /// Hash over the whole set.
    pub fn total(&self) -> u64 {
        let parts = self.buckets.iter().enumerate();
        parts.fold(0, |sum, (index, hash)| {
            sum ^ hash.rotate_left(u32::try_from(index).unwrap_or(0))
        })
    }

    /// Hash of each bucket.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Indexes of the buckets whose hash differs from the reported one.
    pub fn differing(&self, reported: &[u64]) -> Vec<usize> {
        (0..BUCKET_COUNT)
            .filter(|&index| reported.get(index) != Some(&self.buckets[index]))
            .collect()
    }
}

/// Index of the bucket of a hashed key: the top five bits.
pub fn bucket_of(key_hash: u64) -> usize {
    usize::try_from(key_hash >> 59).unwrap_or(0)
}
