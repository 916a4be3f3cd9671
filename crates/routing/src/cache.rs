//! Picture of one target's prompt cache.
//!
//! Cache events come late and with gaps. After a gap anything may have been
//! removed, so the picture is thrown away and counts as unknown, not empty:
//! blocks stored since then are known, all others may or may not be there. A
//! cleared cache makes the picture whole again.

use std::collections::HashSet;

use crate::BlockHash;

/// Change of a target's prompt cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event in the target's run; each is one above the last.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// What changed in a prompt cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were stored.
    Stored(Vec<BlockHash>),
    /// Blocks were removed.
    Removed(Vec<BlockHash>),
    /// Everything was removed.
    Cleared,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct CacheView {
    sequence: Option<u64>,
    whole: bool,
    blocks: HashSet<BlockHash>,
}

impl CacheView {
    /// Takes in one event.
    pub(crate) fn apply(&mut self, event: CacheEvent, block_limit: usize) {
        if self.sequence.is_some_and(|last| event.sequence <= last) {
            return;
        }
        let follows = self.sequence.is_some_and(|last| event.sequence == last + 1);
        if !follows {
            self.forget();
        }
        self.sequence = Some(event.sequence);
        self.change(event.change);
        if self.blocks.len() > block_limit {
            self.forget();
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
                self.whole = true;
            }
        }
    }

    fn forget(&mut self) {
        self.blocks = HashSet::new();
        self.whole = false;
    }

    /// Whether blocks that aren't known may still be cached.
    pub(crate) fn is_unknown(&self) -> bool {
        !self.whole
    }

    /// Whether a block is known to be cached.
    pub(crate) fn knows(&self, block: &BlockHash) -> bool {
        self.blocks.contains(block)
    }

    /// Leading blocks of a prompt that are known to be cached.
    pub(crate) fn count_known(&self, prefix: &[BlockHash]) -> usize {
        let known = prefix.iter().take_while(|block| self.knows(block));
        known.count()
    }
}
