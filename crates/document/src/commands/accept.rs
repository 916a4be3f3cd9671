use base::prelude::*;

use crate::queries::effective;
use crate::{CallerIndex, ConfigState, Document, EffectiveConfig, InForce, RejectedSection};

/// End of taking in a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The document is in force, but for its rejected sections.
    InForce,
    /// This version was in force already.
    Unchanged,
    /// The document is older than the floor, so nothing changed.
    Older {
        /// Least version that is taken in.
        floor: ObjectVersion,
    },
}

/// Brings a document into force unless a newer one is known to exist.
pub fn accept(
    state: &mut ConfigState,
    version: ObjectVersion,
    document: Arc<Document>,
) -> AcceptOutcome {
    if version < state.floor {
        return AcceptOutcome::Older { floor: state.floor };
    }
    if version == state.in_force.version {
        return AcceptOutcome::Unchanged;
    }
    state.floor = version;
    let effective = effective(&document, &state.good);
    state.document = document;
    if !effective.rejected.iter().any(is_left_out) {
        state.resolved_version = version;
    }
    bring_into_force(state, version, effective);
    AcceptOutcome::InForce
}

/// Whether a good version may exist that this process has never seen.
fn is_left_out(rejected: &RejectedSection) -> bool {
    rejected.in_force.is_none()
}

pub(super) fn bring_into_force(
    state: &mut ConfigState,
    version: ObjectVersion,
    effective: EffectiveConfig,
) {
    state.good = effective.good;
    state.in_force = Arc::new(InForce {
        version,
        callers: CallerIndex::new(&effective.configuration),
        configuration: effective.configuration,
        rejected: effective.rejected,
    });
}
