//! Takes in what was read from the platform.

use base::prelude::*;
use document::Document;
use document::commands::accept;
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
    state.polls.document.set(now);
    accept(&mut state.config, version, document);
    fabrics::set_targets(state);
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
