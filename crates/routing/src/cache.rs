//! Known contents of one target's prompt cache.
//!
//! Cache events arrive late and with gaps. After a gap any block may have been
//! removed, so the known contents are reset and count as incomplete, not as empty:
//! blocks stored since then are known, all others may or may not be cached. The
//! contents are complete again when the cache has been cleared.

use std::collections::HashSet;

use crate::BlockHash;

/// Change of a target's prompt cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number within the target's incarnation; increases by one per event.
    pub sequence: u64,
    /// Change of the cache.
    pub change: CacheChange,
}

/// Change of the blocks in a prompt cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were stored.
    Stored(Vec<BlockHash>),
    /// Blocks were removed.
    Removed(Vec<BlockHash>),
    /// All blocks were removed.
    Cleared,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct CacheView {
    sequence: Option<u64>,
    complete: bool,
    blocks: HashSet<BlockHash>,
}

impl CacheView {
    /// Applies one event; one with an earlier or equal sequence number is ignored.
    pub(crate) fn apply(&mut self, event: CacheEvent, block_limit: usize) {
        if self.sequence.is_some_and(|last| event.sequence <= last) {
            return;
        }
        let is_next = self.sequence.is_some_and(|last| event.sequence == last + 1);
        if !is_next {
            self.reset();
        }
        self.sequence = Some(event.sequence);
        self.change(event.change);
        if self.blocks.len() > block_limit {
            self.reset();
        }
    }

    fn change(&mut self, change: CacheChange) {
        match change {
            CacheChange::Stored(blocks) => self.blocks.extend(blocks),
            CacheChange::Removed(blocks) => {
                for block in blocks {
                    self.blocks.remove(&block);
                }
            }
            CacheChange::Cleared => {
                self.blocks.clear();
                self.complete = true;
            }
        }
    }

    fn reset(&mut self) {
        self.blocks = HashSet::new();
        self.complete = false;
    }

    /// Whether blocks that are not known may still be cached.
    pub(crate) fn is_incomplete(&self) -> bool {
        !self.complete
    }

    /// Whether a block is known to be cached.
    pub(crate) fn contains(&self, block: &BlockHash) -> bool {
        self.blocks.contains(block)
    }

    /// Number of leading blocks of a prompt that are known to be cached.
    pub(crate) fn count_cached(&self, prefix: &[BlockHash]) -> usize {
        let cached = prefix.iter().take_while(|block| self.contains(block));
        cached.count()
    }
}
