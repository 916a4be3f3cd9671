//! Interfaces of the event loop: a handler makes decisions, an executor carries them out.

use crate::ClockTime;

/// Decision code of one process.
///
/// The loop passes it each event with the current time. The handler updates its
/// state and returns the effects to carry out. It never blocks and never fails.
pub trait EventHandler {
    /// Input to the handler.
    type Event;
    /// Action requested by the handler.
    type Effect;

    /// Handles one event.
    fn handle(&mut self, event: Self::Event, now: ClockTime) -> Vec<Self::Effect>;

    /// Acts on every deadline that has passed.
    fn wake(&mut self, now: ClockTime) -> Vec<Self::Effect>;

    /// Instant at which [`EventHandler::wake`] must next be called, if any.
    fn next_deadline(&self) -> Option<ClockTime>;
}

/// Carries out effects without blocking the loop.
pub trait EffectExecutor<Effect> {
    /// Starts one effect; its result is sent to the loop as an event.
    fn execute(&self, effect: Effect);
}
