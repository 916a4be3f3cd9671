//! Chained hashes of a prompt's blocks.
//!
//! The hash of a block covers all blocks before it, so that two prompts share
//! a hash only where they share everything up to that block.

use twox_hash::XxHash64;

/// Hash of a prompt up to the end of one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

/// Hashes of the whole blocks of a prompt, in order.
///
/// # Panics
///
/// If the length of a block is zero.
pub fn hash_prefix(prompt: &[u8], block_len: usize) -> Vec<BlockHash> {
    let blocks = prompt.chunks_exact(block_len);
    let chain = blocks.scan(0, |last, block| {
        *last = XxHash64::oneshot(*last, block);
        Some(BlockHash(*last))
    });
    chain.collect()
}
