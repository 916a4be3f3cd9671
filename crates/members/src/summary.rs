//! Hashes over sets, kept up to date as elements come and go.

/// Buckets into which a set is divided.
pub const BUCKET_COUNT: usize = 32;

/// Hashes of a set's buckets, independent of order.
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
    /// Adds an element, or takes it out if it is there.
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

    /// Buckets whose hash is not the reported one.
    pub fn differing(&self, reported: &[u64]) -> Vec<usize> {
        (0..BUCKET_COUNT)
            .filter(|&index| reported.get(index) != Some(&self.buckets[index]))
            .collect()
    }
}

/// Bucket that a hashed key falls into.
pub fn bucket_of(key_hash: u64) -> usize {
    usize::try_from(key_hash >> 59).unwrap_or(0)
}
