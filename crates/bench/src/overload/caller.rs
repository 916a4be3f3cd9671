//! Callers and what they ask.

use base::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;
use routing::BlockHash;

use super::setup::{
    Arrivals, BLOCK_TIME, MEAN_TOKENS, PROMPT_KINDS, SHARED_BLOCKS, SINGLE_BLOCKS, TOKEN_GAP,
};

/// Call that a caller makes, maybe several times.
#[derive(Clone, Debug)]
pub struct ModelCall {
    pub workspace: usize,
    pub kind: u64,
    pub tokens: u32,
    pub tries: u32,
}

impl ModelCall {
    /// New call of a workspace.
    pub fn draw(workspace: usize, rng: &mut StdRng) -> Self {
        let tokens = -MEAN_TOKENS * (1.0 - rng.random_range(0.0..1.0_f64)).ln();
        Self {
            workspace,
            kind: rng.random_range(0..PROMPT_KINDS),
            tokens: tokens.ceil() as u32,
            tries: 0,
        }
    }

    /// Hashes of the prompt's blocks, where only the shared ones are alike.
    pub fn prefix(&self, call: CallId) -> Vec<BlockHash> {
        let shared = (0..SHARED_BLOCKS as u64).map(|block| self.kind * 1_000 + block);
        let single = (0..SINGLE_BLOCKS as u64).map(|block| (call.0 + 1) * 1_000_000 + block);
        shared.chain(single).map(BlockHash).collect()
    }

    /// Time from start to first token.
    pub fn prompt_time(&self, cached: bool) -> Duration {
        let shared = if cached { 0 } else { SHARED_BLOCKS };
        BLOCK_TIME * (shared + SINGLE_BLOCKS) as u32
    }

    /// Time from first to last token.
    pub fn stream_time(&self) -> Duration {
        TOKEN_GAP * self.tokens
    }
}

/// Time until a workspace's next new call.
pub fn draw_gap(arrivals: &Arrivals, capacity: f64, rng: &mut StdRng) -> Duration {
    let rate = arrivals.load * capacity;
    let secs = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
    Duration::from_secs_f64(secs)
}
