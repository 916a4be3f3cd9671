//! Time before an engine's first event that its profile doesn't name.

use base::prelude::*;

/// Time after which a new lowest difference replaces the previous one.
const WINDOW: Duration = Duration::from_secs(5);

/// Lowest recent difference between observed and predicted first events, in seconds.
///
/// Waits for a slot and other delays only add to a difference, so the lowest is the nearest to
/// the engines' fixed time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FirstEventOffset {
    current: Option<f64>,
    previous: Option<f64>,
    window_end: ClockTime,
}

impl FirstEventOffset {
    pub fn record(&mut self, difference: f64, now: ClockTime) {
        if now >= self.window_end {
            self.previous = self.current.take();
            self.window_end = now + WINDOW;
        }
        let lowest = self.current.map_or(difference, |low| low.min(difference));
        self.current = Some(lowest);
    }

    /// Offset; `None` before the first event. It is kept while no events arrive.
    pub fn get(&self) -> Option<f64> {
        match (self.current, self.previous) {
            (Some(current), Some(previous)) => Some(current.min(previous)),
            (current, previous) => current.or(previous),
        }
    }
}
