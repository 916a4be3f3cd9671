//! Applies the results of reads of the platform and polls of hosts.

use base::prelude::*;
use groups::FabricRecord;
use watch::commands::{observe, set_polled_hosts};
use watch::{WatchChange, WatchEvent};

use super::fabrics;
use crate::{ControllerState, queries};

/// Handles the result of a read or poll.
pub fn complete_read(state: &mut ControllerState, event: WatchEvent, now: ClockTime) {
    match observe(&mut state.watch, event, now) {
        WatchChange::Nothing | WatchChange::GatewayCount => {}
        WatchChange::Configuration => fabrics::set_desired_groups(state),
        WatchChange::Fabrics(records) => update_fabrics(state, records, now),
        WatchChange::Hosts => {
            fabrics::set_hosts(state);
            fabrics::set_desired_groups(state);
        }
        WatchChange::Report { report, polled_at } => {
            fabrics::record_report(state, report, polled_at, now);
        }
    }
}

/// Selects the hosts to poll: those of the fabric domains that this node owns or
/// may acquire.
pub fn select_polled_hosts(state: &mut ControllerState, now: ClockTime) {
    let hosts = queries::hosts_to_poll(state, now);
    set_polled_hosts(&mut state.watch, hosts);
}

fn update_fabrics(
    state: &mut ControllerState,
    records: Vec<(FabricRecord, ObjectVersion)>,
    now: ClockTime,
) {
    for (record, version) in records {
        let fabric = record.fabric.clone();
        let fabric_state = state.fabric_mut(&fabric);
        fabric_state.observe_record(Some((record, version)), now);
    }
    fabrics::set_desired_groups(state);
}
