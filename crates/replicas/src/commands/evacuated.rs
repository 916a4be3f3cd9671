//! Failure domains in which no group is formed or repaired.

use evacuation::EvacuatedDomains;

use crate::PlannerState;

/// Replaces the evacuated failure domains. Groups that exist there stay.
pub fn set_evacuated(state: &mut PlannerState, domains: EvacuatedDomains) {
    state.evacuated = domains;
}
