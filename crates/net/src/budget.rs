//! Limits on what received bytes may cost the thread's event loop: work in one turn, and memory.
//!
//! A peer may send bytes without end, faster than they can be parsed. Timers run only when no
//! task is ready, so a task that always has bytes to parse would hold up every deadline.
//! [`LoopBudget`] therefore bounds the bytes that are read in one turn of the loop, and
//! [`HeldBytes`] the memory that the buffers of all connections hold together.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that all connections together may read in a turn, beyond what each may read anyway.
const SHARED_TURN_BYTES: usize = 64 * 1_024;
/// Bytes that the buffers of all connections together may hold: a fifth of the 256 MB of a node.
const MAX_HELD_BYTES: usize = 48 * 1_024 * 1_024;

/// Bytes that the buffers of all connections of the process hold.
static HELD: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    static CURRENT: Rc<LoopBudget> = Rc::default();
}

/// Limits of the event loop that runs on a thread.
#[derive(Debug)]
pub(crate) struct LoopBudget {
    /// Number of the present turn. A turn ends when the loop has run its timers.
    turn: Cell<u64>,
    turn_left: Cell<usize>,
}

impl Default for LoopBudget {
    fn default() -> Self {
        Self {
            turn: Cell::new(0),
            turn_left: Cell::new(SHARED_TURN_BYTES),
        }
    }
}

impl LoopBudget {
    /// Limits of this thread's loop.
    pub fn current() -> Rc<Self> {
        CURRENT.with(Rc::clone)
    }

    /// Number of the present turn.
    pub(crate) fn turn(&self) -> u64 {
        self.turn.get()
    }

    /// Ends a turn, unless it has ended already.
    pub(crate) fn end_turn(&self, turn: u64) {
        if self.turn.get() == turn {
            self.turn.set(turn.wrapping_add(1));
            self.turn_left.set(SHARED_TURN_BYTES);
        }
    }

    /// Whether bytes beyond a connection's own share may be read in this turn.
    pub(crate) fn has_turn_bytes(&self) -> bool {
        self.turn_left.get() > 0
    }

    pub(crate) fn take_turn_bytes(&self, bytes: usize) {
        self.turn_left
            .set(self.turn_left.get().saturating_sub(bytes));
    }
}

/// Memory that one buffer holds, given back when it is dropped.
#[derive(Debug, Default)]
pub struct HeldBytes(usize);

impl HeldBytes {
    /// Memory that the buffers of all connections hold.
    pub fn total() -> usize {
        HELD.load(Ordering::Relaxed)
    }

    /// Changes what is held; false, without a change, if all buffers together have no room for it.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes > self.0 && Self::total() - self.0 + bytes > MAX_HELD_BYTES {
            return false;
        }
        self.resize(bytes);
        true
    }

    /// Changes what is held, even if all buffers together have no room for it.
    pub fn resize(&mut self, bytes: usize) {
        HELD.fetch_add(bytes, Ordering::Relaxed);
        HELD.fetch_sub(self.0, Ordering::Relaxed);
        self.0 = bytes;
    }

    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.0
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.resize(0);
    }
}
