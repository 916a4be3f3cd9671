//! Fake endpoint with slots, a queue and a prompt cache.

use std::collections::{BTreeSet, VecDeque};

use base::prelude::*;
use routing::{BlockHash, CacheChange, CacheEvent, LoadSample};

use super::setup::{CACHED_KINDS, SHARED_BLOCKS};

/// Endpoint that runs so many calls at once and queues the rest.
#[derive(Debug, Default)]
pub struct FakeEndpoint {
    pub slots: usize,
    pub dark: bool,
    pub running: BTreeSet<CallId>,
    pub waiting: VecDeque<CallId>,
    kinds: VecDeque<u64>,
    sequence: u64,
}

/// What taking a prompt did to the cache.
pub struct CacheUse {
    pub cached: bool,
    pub events: Vec<CacheEvent>,
}

impl FakeEndpoint {
    /// Idle endpoint.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    /// Load as it would report it.
    pub fn sample(&self) -> LoadSample {
        LoadSample {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
        }
    }

    /// Starts the next waiting call if a slot is free.
    pub fn start_next(&mut self) -> Option<CallId> {
        if self.running.len() >= self.slots {
            return None;
        }
        let call = self.waiting.pop_front()?;
        self.running.insert(call);
        Some(call)
    }

    /// Forgets a call.
    pub fn remove(&mut self, call: CallId) {
        self.running.remove(&call);
        self.waiting.retain(|other| *other != call);
    }

    /// Goes dark: returns the calls that die and empties the cache.
    pub fn go_dark(&mut self) -> Vec<CallId> {
        self.dark = true;
        self.kinds.clear();
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running.into_iter().chain(waiting).collect()
    }

    /// Takes a prompt kind into the cache; the one longest unused makes room.
    pub fn touch(&mut self, kind: u64) -> CacheUse {
        let cached = self.kinds.contains(&kind);
        self.kinds.retain(|other| *other != kind);
        self.kinds.push_back(kind);
        let mut events = Vec::new();
        if !cached {
            events.push(self.event(CacheChange::Stored(blocks_of(kind))));
        }
        if self.kinds.len() > CACHED_KINDS
            && let Some(oldest) = self.kinds.pop_front()
        {
            events.push(self.event(CacheChange::Removed(blocks_of(oldest))));
        }
        CacheUse { cached, events }
    }

    fn event(&mut self, change: CacheChange) -> CacheEvent {
        self.sequence += 1;
        CacheEvent {
            sequence: self.sequence,
            change,
        }
    }
}

fn blocks_of(kind: u64) -> Vec<BlockHash> {
    let blocks = (0..SHARED_BLOCKS as u64).map(|block| BlockHash(kind * 1_000 + block));
    blocks.collect()
}
