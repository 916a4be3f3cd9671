//! Prediction of an engine's times from its profile.

use base::prelude::*;
use intent::{EngineTiming, TokenCounts};

use crate::offset::FirstEventOffset;

/// Shortest duration of a request, so that rates stay finite.
const MIN_DURATION_MS: f64 = 1.0;

/// Predicted times of the groups that run one model.
///
/// An engine advances all its requests by one token in each step. Prompts are read between the
/// steps and delay all requests, so in a full batch every request pays for the reads of the
/// others.
#[derive(Clone, Debug)]
pub struct EngineEstimate {
    timing: EngineTiming,
    slots: f64,
    /// Factor of the model on all times.
    pace: f64,
    offset: FirstEventOffset,
}

impl EngineEstimate {
    /// Estimate for a model.
    pub fn new(timing: EngineTiming, slots: usize, pace: f64) -> Self {
        Self {
            timing,
            slots: slots.max(1) as f64,
            pace,
            offset: FirstEventOffset::default(),
        }
    }

    /// Takes over what an earlier estimate of the same model has learnt.
    pub fn with_offset_of(mut self, earlier: &Self) -> Self {
        self.offset = earlier.offset;
        self
    }

    /// Duration of a request in a full batch of usual requests.
    pub fn duration(&self, tokens: TokenCounts) -> Duration {
        let tokens = self.known(tokens);
        let step = self.step_ms(self.slots - 1.0, self.slots);
        let ms = self.read_ms(tokens.prompt) + f64::from(tokens.answer) * step;
        Duration::from_secs_f64((self.pace * ms).max(MIN_DURATION_MS) / 1_000.0)
    }

    /// Requests that a group with this many requests running completes, a second.
    pub fn completions_per_second(&self, running: f64) -> f64 {
        running / self.duration(self.timing.usual).as_secs_f64()
    }

    /// Wait of the n-th request beyond a group's slots.
    pub fn wait(&self, beyond: f64, slots: f64) -> Duration {
        let seconds = beyond.max(0.0) / self.completions_per_second(slots.max(1.0));
        Duration::from_secs_f64(seconds.min(3_600.0))
    }

    /// Time until the first event of a request that gets a slot at once, with this many others in
    /// flight.
    pub fn first_event(&self, tokens: TokenCounts, in_flight: f64) -> Duration {
        let offset = self.offset.get().unwrap_or(0.0);
        let seconds = self.profile_first_event(tokens, in_flight) + offset;
        Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Whether a first event was observed, without which predictions lack the engines' fixed time.
    pub fn has_offset(&self) -> bool {
        self.offset.get().is_some()
    }

    /// Records the observed time until a request's first event.
    pub fn record_first_event(
        &mut self,
        tokens: TokenCounts,
        in_flight: f64,
        observed: Duration,
        now: ClockTime,
    ) {
        let predicted = self.profile_first_event(tokens, in_flight);
        self.offset.record(observed.as_secs_f64() - predicted, now);
    }

    /// Seconds until the first event by the profile alone.
    fn profile_first_event(&self, tokens: TokenCounts, in_flight: f64) -> f64 {
        let tokens = self.known(tokens);
        let others = in_flight.clamp(0.0, self.slots - 1.0);
        let chunks = (f64::from(tokens.prompt) / self.timing.chunk.max(1.0)).ceil();
        let steps = chunks + self.timing.stride.max(1.0);
        let ms = self.read_ms(tokens.prompt) + steps * self.step_ms(others, others + 1.0);
        self.pace * ms / 1_000.0
    }

    /// Milliseconds of a step of a batch, with the prompts that others' requests add.
    fn step_ms(&self, others: f64, batch: f64) -> f64 {
        let timing = &self.timing;
        let usual = timing.usual;
        // On average half of the answer is part of the context.
        let context = f64::from(usual.prompt) + f64::from(usual.answer) / 2.0;
        let reads = others * self.read_ms(usual.prompt) / f64::from(usual.answer.max(1));
        timing.step_ms
            + timing.per_seq_ms * batch
            + timing.context_per_k * batch * context / 1_000.0
            + reads
    }

    /// Milliseconds for reading a prompt.
    fn read_ms(&self, prompt: u32) -> f64 {
        let prompt = f64::from(prompt);
        let pairs = prompt * prompt / 2.0 / 1e6;
        prompt * 1_000.0 / self.timing.read_per_s + pairs * self.timing.pairs_per_m
    }

    /// Tokens of a request, the usual ones where they aren't known.
    fn known(&self, tokens: TokenCounts) -> TokenCounts {
        let or_usual = |count: u32, usual| if count == 0 { usual } else { count };
        TokenCounts {
            prompt: or_usual(tokens.prompt, self.timing.usual.prompt),
            answer: or_usual(tokens.answer, self.timing.usual.answer),
        }
    }
}
