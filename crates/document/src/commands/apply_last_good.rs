use crate::queries::effective_config;
use crate::{ConfigState, GoodSections};

use super::accept::put_into_force;
use super::merge_last_good::merge_last_good;

/// Uses stored last good versions for the rejected sections; returns whether
/// any of them was newer than the known one.
///
/// Processes that had read different versions of a section before it became
/// faulty converge once each has the newest good version.
pub fn apply_last_good(state: &mut ConfigState, sections: &GoodSections) -> bool {
    state.resolved_version = state.in_force.version;
    let rejected = state.in_force.rejected.iter();
    let stored = rejected.filter_map(|rejected| {
        let section = sections.0.get(&rejected.section)?;
        Some((rejected.section.clone(), section.clone()))
    });
    let stored = GoodSections(stored.collect());
    let mut newest = state.good.clone();
    if !merge_last_good(&mut newest, &stored) {
        return false;
    }
    let effective = effective_config(&state.document, &newest);
    put_into_force(state, state.in_force.version, effective);
    true
}
