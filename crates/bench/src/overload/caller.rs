//! Simulated callers and their calls.

use base::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;
use routing::BlockHash;

use super::setup::{
    Arrivals, BLOCK_TIME, MEAN_TOKENS, PROMPT_KINDS, SHARED_BLOCKS, TOKEN_INTERVAL, UNIQUE_BLOCKS,
};

/// Call of a caller, who may retry it.
#[derive(Clone, Debug)]
pub struct CallSpec {
    pub workspace: usize,
    pub kind: u64,
    pub tokens: u32,
    pub attempts: u32,
}

impl CallSpec {
    /// Random new call of a workspace.
    pub fn random(workspace: usize, rng: &mut StdRng) -> Self {
        let tokens = -MEAN_TOKENS * (1.0 - rng.random_range(0.0..1.0_f64)).ln();
        Self {
            workspace,
            kind: rng.random_range(0..PROMPT_KINDS),
            tokens: tokens.ceil() as u32,
            attempts: 0,
        }
    }

    /// Hashes of the prompt's blocks; calls of one kind have the shared ones in common.
    pub fn prefix(&self, call: CallId) -> Vec<BlockHash> {
        let shared = (0..SHARED_BLOCKS as u64).map(|block| self.kind * 1_000 + block);
        let unique = (0..UNIQUE_BLOCKS as u64).map(|block| (call.0 + 1) * 1_000_000 + block);
        shared.chain(unique).map(BlockHash).collect()
    }

    /// Time from the start of the call to its first token.
    pub fn prompt_time(&self, is_cached: bool) -> Duration {
        let shared = if is_cached { 0 } else { SHARED_BLOCKS };
        BLOCK_TIME * (shared + UNIQUE_BLOCKS) as u32
    }

    /// Time from the first to the last token.
    pub fn stream_time(&self) -> Duration {
        TOKEN_INTERVAL * self.tokens
    }
}

/// Random time until the next new call of a workspace.
pub fn random_gap(arrivals: &Arrivals, capacity: f64, rng: &mut StdRng) -> Duration {
    let rate = arrivals.load * capacity;
    let seconds = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
    Duration::from_secs_f64(seconds)
}
