//! Suspicions and the trials that settle them.

use base::prelude::*;

use crate::state::{ReachPhase, ReachTrial};
use crate::{ReachChange, ReachState, queries};

/// Records that a server did not respond to this node, which knows `known` servers.
pub fn record_trouble(state: &mut ReachState, server: &HostName, known: usize, now: ClockTime) {
    state.troubled.retain(|_, until| *until > now);
    if queries::is_cut_off(state) {
        return;
    }
    let until = now + state.settings.trouble_validity;
    state.troubled.insert(server.clone(), until);
    let needed = state.settings.min_troubled.min(known.max(1));
    let is_suspicious = state.troubled.len() >= needed && now >= state.trusted_until;
    if is_suspicious && state.phase == ReachPhase::Sound {
        state.phase = ReachPhase::Doubtful;
        state.trial_due = Some(now);
    }
}

/// Starts the trial that is due; returns the servers to ask.
///
/// `servers` are those that could be tried, in random order. Servers that are not in trouble come
/// first, as a failure domain that is lost proves nothing.
pub fn start_trial(state: &mut ReachState, servers: &[HostName], now: ClockTime) -> Vec<HostName> {
    if state.trial.is_some() || state.trial_due.is_none_or(|due| due > now) {
        return Vec::new();
    }
    let is_troubled = |server: &&HostName| state.troubled.contains_key(*server);
    let untroubled = servers.iter().filter(|server| !is_troubled(server));
    let troubled = servers.iter().filter(is_troubled);
    let chosen = untroubled.chain(troubled).take(state.settings.trial_size);
    let chosen: Vec<_> = chosen.cloned().collect();
    if chosen.is_empty() {
        // Without a server there is nothing to be cut off from.
        state.trial_due = Some(now + state.settings.trial_interval);
        return chosen;
    }
    state.trial_due = None;
    state.trial = Some(ReachTrial {
        pending: chosen.iter().cloned().collect(),
        reached: 0,
        size: chosen.len(),
    });
    chosen
}

/// Discards the trial in progress, whose outcome says nothing because this node was overloaded,
/// and makes another one due.
pub fn repeat_trial(state: &mut ReachState, now: ClockTime) {
    if state.trial.take().is_some() {
        state.trial_due = Some(now);
    }
}

/// Records whether a server of the trial has responded.
pub fn record_response(
    state: &mut ReachState,
    server: &HostName,
    is_reached: bool,
    now: ClockTime,
) -> Option<ReachChange> {
    let trial = state.trial.as_mut()?;
    if !trial.pending.remove(server) {
        return None;
    }
    trial.reached += usize::from(is_reached);
    let (is_complete, reached, size) = (trial.pending.is_empty(), trial.reached, trial.size);
    match state.phase {
        // One server that is reached is enough to dismiss a suspicion.
        ReachPhase::Sound | ReachPhase::Doubtful if is_reached => {
            state.trial = None;
            state.phase = ReachPhase::Sound;
            state.troubled.clear();
            state.trusted_until = now + state.settings.trust_duration;
            Some(ReachChange::Dismissed)
        }
        _ if !is_complete => None,
        ReachPhase::Sound | ReachPhase::Doubtful => {
            state.trial = None;
            state.trial_due = Some(now + state.settings.trial_interval);
            state.phase = ReachPhase::CutOff { good_trials: 0 };
            Some(ReachChange::CutOff)
        }
        // Some servers may be down, but most must be reached.
        ReachPhase::CutOff { good_trials } => {
            state.trial = None;
            let is_good = reached * 2 > size;
            let good_trials = if is_good { good_trials + 1 } else { 0 };
            if good_trials < state.settings.min_good_trials {
                state.trial_due = Some(now + state.settings.trial_interval);
                state.phase = ReachPhase::CutOff { good_trials };
                return None;
            }
            state.trial_due = None;
            state.phase = ReachPhase::Sound;
            state.troubled.clear();
            state.trusted_until = now + state.settings.trust_duration;
            Some(ReachChange::Restored)
        }
    }
}
