use crate::queries::effective;
use crate::{ConfigState, GoodSections};

use super::accept::bring_into_force;

/// Takes in good sections from elsewhere; returns whether any was newer.
///
/// Processes that saw different versions of a section before it went bad agree
/// again once each knows the newest good one.
pub fn learn_good(state: &mut ConfigState, sections: &GoodSections) -> bool {
    let mut newest = state.good.clone();
    let mut changed = false;
    for rejected in &state.in_force.rejected {
        let Some(offered) = sections.0.get(&rejected.section) else {
            continue;
        };
        let known = newest.0.get(&rejected.section);
        if known.is_none_or(|known| known.revision < offered.revision) {
            newest.0.insert(rejected.section.clone(), offered.clone());
            changed = true;
        }
    }
    if changed {
        let effective = effective(&state.document, &newest);
        bring_into_force(state, state.in_force.version, effective);
    }
    changed
}
