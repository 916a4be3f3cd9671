//! This node's own reports and clearances, which it sends to other nodes a few times.

use base::prelude::*;

use super::merge::clear_suspect;
use crate::state::OwnEvidence;
use crate::{CrashEvidence, CrashSuspect, QuarantineSettings, QuarantineState, SuspectClearance};

/// Time after each time that a report or clearance is sent until it is sent again: a message may be
/// lost, and a silent connection is replaced within two seconds.
const RESEND_DELAYS: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(2_000)];

/// Has a report or clearance sent, if there aren't too many.
pub(super) fn add_evidence<T>(
    settings: &QuarantineSettings,
    entries: &mut Vec<OwnEvidence<T>>,
    item: T,
    now: ClockTime,
) {
    if entries.len() < settings.max_reported_suspects {
        entries.push(OwnEvidence {
            item,
            sends: 0,
            due: now,
            expires_at: now + settings.resend_duration,
        });
    }
}

/// Voids the reports of a part or request up to an instant, and has that sent to other nodes.
pub(super) fn clear_for_all(
    state: &mut QuarantineState,
    suspect: CrashSuspect,
    cleared_at: ClockTime,
    now: ClockTime,
) {
    clear_suspect(state, suspect, cleared_at);
    state.expiry_due = state.expiry_due.min(now + state.settings.resend_duration);
    let clearance = SuspectClearance {
        suspect,
        cleared_at,
    };
    let clearances = &mut state.own_clearances;
    clearances.retain(|own| own.item.suspect != suspect);
    add_evidence(&state.settings, clearances, clearance, now);
}

/// Records that this node's reports and clearances were sent to all that must hear of them at once.
pub fn record_sent(state: &mut QuarantineState, evidence: &CrashEvidence, now: ClockTime) {
    let is_sent = |own: &OwnEvidence<_>| evidence.reports.contains(&own.item);
    advance_evidence(&mut state.own_reports, is_sent, now);
    let is_sent = |own: &OwnEvidence<_>| evidence.clearances.contains(&own.item);
    advance_evidence(&mut state.own_clearances, is_sent, now);
}

fn advance_evidence<T>(
    entries: &mut Vec<OwnEvidence<T>>,
    is_sent: impl Fn(&OwnEvidence<T>) -> bool,
    now: ClockTime,
) {
    entries.retain_mut(|own| {
        if own.due > now || !is_sent(own) {
            return true;
        }
        let delay = RESEND_DELAYS.get(own.sends);
        own.sends += 1;
        own.due = now + delay.copied().unwrap_or_default();
        delay.is_some()
    });
}
