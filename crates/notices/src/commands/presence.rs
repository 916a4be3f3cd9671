//! Servers that leave, and servers that have turned this node away for a time.

use base::prelude::*;

use super::limits::{MAX_ENTRIES, record_limit};
use crate::state::{LeavingEntry, PauseEntry, ToldCount};
use crate::{LeavingReport, NoticeChange, NoticeState, ServerNotice, ServerRun};

/// Time for which a server that leaves is remembered; it ends within that time.
const LEAVING_VALIDITY: Duration = Duration::from_secs(120);
/// Longest time for which a server can turn a node away.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Records what a server announced in a response; returns what is new.
pub fn record_notice(
    state: &mut NoticeState,
    run: &ServerRun,
    notice: ServerNotice,
    now: ClockTime,
) -> Vec<NoticeChange> {
    let limit = record_limit(state, &run.server, notice.limit, now).map(NoticeChange::Limit);
    let leaving = (notice.is_leaving && record_leaving(state, run, now, true))
        .then_some(NoticeChange::Leaving);
    let pause = (notice.retry_after)
        .and_then(|delay| record_pause(state, run, now + delay.min(MAX_PAUSE), now))
        .map(NoticeChange::Paused);
    [limit, leaving, pause].into_iter().flatten().collect()
}

/// Adds what another node has heard of a server that leaves; returns whether it is new.
pub fn merge_leaving(state: &mut NoticeState, report: &LeavingReport) -> bool {
    record_leaving(state, &report.run, report.heard_at, false)
}

fn record_leaving(
    state: &mut NoticeState,
    run: &ServerRun,
    heard_at: ClockTime,
    is_own: bool,
) -> bool {
    let mut entry = LeavingEntry {
        incarnation: run.incarnation,
        heard_at,
        is_own,
        told: ToldCount::default(),
    };
    let is_full = state.leaving.len() >= MAX_ENTRIES;
    match state.leaving.get_mut(&run.server) {
        Some(known) if known.incarnation == run.incarnation => {
            if is_own || (!known.is_own && known.heard_at < heard_at) {
                entry.told = known.told;
                *known = entry;
            }
            false
        }
        Some(known) if known.heard_at >= heard_at => false,
        None if is_full => false,
        _ => {
            state.leaving.insert(run.server.clone(), entry);
            true
        }
    }
}

/// Records until when a server wants nothing from this node; returns the instant if it is later
/// than the one known.
fn record_pause(
    state: &mut NoticeState,
    run: &ServerRun,
    until: ClockTime,
    now: ClockTime,
) -> Option<ClockTime> {
    let known = state.pauses.get(&run.server);
    let is_known =
        known.is_some_and(|known| known.incarnation == run.incarnation && known.until >= until);
    if is_known || until <= now || (known.is_none() && state.pauses.len() >= MAX_ENTRIES) {
        return None;
    }
    let entry = PauseEntry {
        incarnation: run.incarnation,
        until,
    };
    state.pauses.insert(run.server.clone(), entry);
    Some(until)
}

pub(super) fn expire_presence(state: &mut NoticeState, now: ClockTime) {
    state
        .leaving
        .retain(|_, entry| now.since(entry.heard_at) < LEAVING_VALIDITY);
    state.pauses.retain(|_, entry| entry.until > now);
}
