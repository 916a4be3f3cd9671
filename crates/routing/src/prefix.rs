//! Chained hashes of a prompt's blocks.
//!
//! The hash of a block includes all previous blocks, so two prompts have a hash in
//! common only if they are equal up to the end of that block.

use twox_hash::XxHash64;

/// Hash of a prompt up to the end of one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

/// Hashes of the complete blocks of a prompt, in order.
///
/// # Panics
///
/// If `block_len` is zero.
pub fn hash_prefix(prompt: &[u8], block_len: usize) -> Vec<BlockHash> {
    let blocks = prompt.chunks_exact(block_len);
    let chain = blocks.scan(0, |last, block| {
        *last = XxHash64::oneshot(*last, block);
        Some(BlockHash(*last))
    });
    chain.collect()
}
