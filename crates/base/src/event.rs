//! The loop's two sides: a handler that decides and an executor that acts.

use crate::ClockTime;

/// Decision code of one process.
///
/// The loop hands it each event with the time; it changes its state and returns
/// what should be done. It never waits and never fails.
pub trait EventHandler {
    /// What it hears.
    type Event;
    /// What it wants done.
    type Effect;

    /// Takes in one event.
    fn handle(&mut self, event: Self::Event, now: ClockTime) -> Vec<Self::Effect>;

    /// Acts on every deadline that has passed.
    fn wake(&mut self, now: ClockTime) -> Vec<Self::Effect>;

    /// Instant at which [`EventHandler::wake`] is next due.
    fn next_deadline(&self) -> Option<ClockTime>;
}

/// Border that carries out effects without blocking the loop.
pub trait EffectExecutor<Effect> {
    /// Starts one effect; its result comes back as an event.
    fn execute(&self, effect: Effect);
}
