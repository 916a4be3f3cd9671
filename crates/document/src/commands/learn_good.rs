use crate::queries::effective;
use crate::{ConfigState, GoodSections};

use super::accept::bring_into_force;
use super::merge_good::merge_good;

/// Takes in good versions of rejected sections; returns whether any was newer.
///
/// Processes that saw different versions of a section before it went bad agree
/// again once each knows the newest good one.
pub fn learn_good(state: &mut ConfigState, sections: &GoodSections) -> bool {
    state.resolved_version = state.in_force.version;
    let rejected = state.in_force.rejected.iter();
    let offered = rejected.filter_map(|rejected| {
        let section = sections.0.get(&rejected.section)?;
        Some((rejected.section.clone(), section.clone()))
    });
    let offered = GoodSections(offered.collect());
    let mut newest = state.good.clone();
    if !merge_good(&mut newest, &offered) {
        return false;
    }
    let effective = effective(&state.document, &newest);
    bring_into_force(state, state.in_force.version, effective);
    true
}
