//! Takes in what was read from the platform and from hosts.

use base::prelude::*;
use groups::FabricRecord;
use watch::commands::{observe, set_polled_hosts};
use watch::{WatchChange, WatchEvent};

use super::fabrics;
use crate::{ControllerState, queries};

/// Takes in the end of a read.
pub fn take(state: &mut ControllerState, event: WatchEvent, now: ClockTime) {
    match observe(&mut state.watch, event, now) {
        WatchChange::Nothing | WatchChange::Nodes => {}
        WatchChange::Configuration => fabrics::set_targets(state),
        WatchChange::Fabrics(records) => observe_fabrics(state, records, now),
        WatchChange::Hosts => {
            fabrics::set_hosts(state);
            fabrics::set_targets(state);
        }
        WatchChange::Report { report, polled_at } => {
            fabrics::observe_report(state, report, polled_at, now);
        }
    }
}

/// Asks the hosts of exactly the fabric domains that this node owns or may take.
pub fn ask_hosts(state: &mut ControllerState, now: ClockTime) {
    let asked = queries::asked_hosts(state, now);
    set_polled_hosts(&mut state.watch, asked);
}

fn observe_fabrics(
    state: &mut ControllerState,
    records: Vec<(FabricRecord, ObjectVersion)>,
    now: ClockTime,
) {
    for (record, version) in records {
        let fabric = record.fabric.clone();
        let known = state.fabric_of(&fabric);
        known.observe_record(Some((record, version)), now);
    }
    fabrics::set_targets(state);
}
