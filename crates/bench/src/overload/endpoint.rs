//! Fake endpoint with slots, a queue and a prompt cache.

use std::collections::{BTreeSet, VecDeque};

use base::prelude::*;
use routing::{BlockHash, CacheChange, CacheEvent, LoadSample};

use super::setup::{CACHED_KINDS, SHARED_BLOCKS};

/// Endpoint that runs as many calls as it has slots and queues the others.
#[derive(Debug, Default)]
pub struct FakeEndpoint {
    pub slots: usize,
    pub is_down: bool,
    pub running: BTreeSet<CallId>,
    pub waiting: VecDeque<CallId>,
    cached_kinds: VecDeque<u64>,
    sequence: u64,
}

/// Result of caching a prompt: whether it was cached already, and the events of the change.
pub struct CacheUpdate {
    pub was_cached: bool,
    pub events: Vec<CacheEvent>,
}

impl FakeEndpoint {
    /// Creates an idle endpoint.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    /// Load that the endpoint reports.
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

    /// Removes a running or waiting call.
    pub fn remove(&mut self, call: CallId) {
        self.running.remove(&call);
        self.waiting.retain(|other| *other != call);
    }

    /// Becomes unreachable with an empty cache; returns the calls that fail.
    pub fn shut_down(&mut self) -> Vec<CallId> {
        self.is_down = true;
        self.cached_kinds.clear();
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running.into_iter().chain(waiting).collect()
    }

    /// Caches a prompt kind; evicts the least recently used one if the cache is full.
    pub fn cache_prompt(&mut self, kind: u64) -> CacheUpdate {
        let was_cached = self.cached_kinds.contains(&kind);
        self.cached_kinds.retain(|other| *other != kind);
        self.cached_kinds.push_back(kind);
        let mut events = Vec::new();
        if !was_cached {
            events.push(self.event(CacheChange::Stored(shared_blocks(kind))));
        }
        if self.cached_kinds.len() > CACHED_KINDS
            && let Some(oldest) = self.cached_kinds.pop_front()
        {
            events.push(self.event(CacheChange::Removed(shared_blocks(oldest))));
        }
        CacheUpdate { was_cached, events }
    }

    fn event(&mut self, change: CacheChange) -> CacheEvent {
        self.sequence += 1;
        CacheEvent {
            sequence: self.sequence,
            change,
        }
    }
}

fn shared_blocks(kind: u64) -> Vec<BlockHash> {
    let blocks = (0..SHARED_BLOCKS as u64).map(|block| BlockHash(kind * 1_000 + block));
    blocks.collect()
}
