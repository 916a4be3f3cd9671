//! Takes in what was read from the platform.

use base::prelude::*;
use document::commands::{AcceptOutcome, accept, learn_good};
use document::{Document, GoodSections};
use groups::FabricRecord;
use platform::{DrainList, HostEntry};

use super::fabrics;
use crate::ControllerState;

/// Pause after a failed read of the document.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Takes in the document.
pub fn observe_document(
    state: &mut ControllerState,
    read: Option<(ObjectVersion, Arc<Document>)>,
    now: ClockTime,
) {
    let Some((version, document)) = read else {
        state.polls.document.set(now + RETRY_PAUSE);
        return;
    };
    let outcome = accept(&mut state.config, version, document);
    state.polls.document.set(next_watch(outcome, now));
    if !state.config.in_force.rejected.is_empty() {
        state.polls.good_sections.set(now);
    }
    fabrics::set_targets(state);
}

/// A store that has an older document would answer every watch at once.
fn next_watch(outcome: AcceptOutcome, now: ClockTime) -> ClockTime {
    match outcome {
        AcceptOutcome::InForce | AcceptOutcome::Unchanged => now,
        AcceptOutcome::Older { .. } => now + RETRY_PAUSE,
    }
}

/// Takes in the last good sections, in place of those that are held back.
pub fn observe_good_sections(
    state: &mut ControllerState,
    read: Option<GoodSections>,
    now: ClockTime,
) {
    match read {
        None => state.polls.good_sections.set(now + RETRY_PAUSE),
        Some(sections) => {
            if learn_good(&mut state.config, &sections) {
                fabrics::set_targets(state);
            }
        }
    }
}

/// Takes in all fabric domains.
pub fn observe_fabrics(
    state: &mut ControllerState,
    read: Option<Vec<(FabricRecord, ObjectVersion)>>,
    now: ClockTime,
) {
    state.polls.fabrics.set(now + state.times.read_interval);
    let Some(records) = read else {
        return;
    };
    for (record, version) in records {
        let fabric = record.fabric.clone();
        let known = state.fabric_of(&fabric);
        known.observe_record(Some((record, version)), now);
    }
    fabrics::set_targets(state);
}

/// Takes in the list of hosts.
pub fn observe_hosts(state: &mut ControllerState, read: Option<Vec<HostEntry>>, now: ClockTime) {
    state.polls.hosts.set(now + state.times.read_interval);
    let Some(entries) = read else {
        return;
    };
    let entries = entries.into_iter().map(|entry| (entry.host.clone(), entry));
    state.hosts = entries.collect();
    fabrics::set_hosts(state);
    fabrics::set_targets(state);
}

/// Takes in the hosts that operators are draining.
pub fn observe_drains(state: &mut ControllerState, read: Option<DrainList>, now: ClockTime) {
    state.polls.drains.set(now + state.times.read_interval);
    if let Some(drains) = read {
        state.drains = drains;
        fabrics::set_hosts(state);
    }
}
