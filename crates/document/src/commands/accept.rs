use base::prelude::*;

use crate::queries::effective_config;
use crate::{CallerIndex, ConfigInForce, ConfigState, Document, EffectiveConfig, RejectedSection};

/// Outcome of [`accept`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The document is now in force, except for its rejected sections.
    InForce,
    /// This version is already in force.
    Unchanged,
    /// The document is older than the floor and was ignored.
    Older {
        /// Lowest version that is accepted.
        floor: ObjectVersion,
    },
}

/// Puts a document into force unless a newer version is known to exist.
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
    if state.in_force.version.era() < version.era() {
        // Revisions of sections only grow, so they tell what the copy has lost.
        state.lost_sections = state.document.sections.clone();
    }
    state.floor = version;
    let document = with_lost_sections(state, document);
    let effective = effective_config(&document, &state.good);
    state.document = document;
    if !effective.rejected.iter().any(is_left_out) {
        state.resolved_version = version;
    }
    put_into_force(state, version, effective);
    AcceptOutcome::InForce
}

/// Document with the sections that the store has lost, until they are edited again.
fn with_lost_sections(state: &mut ConfigState, document: Arc<Document>) -> Arc<Document> {
    let stored = |name: &SectionName| document.sections.get(name).map(|section| section.revision);
    state
        .lost_sections
        .retain(|name, lost| stored(name) < Some(lost.revision));
    if state.lost_sections.is_empty() {
        return document;
    }
    let mut merged = Document::clone(&document);
    let lost = state.lost_sections.iter();
    merged
        .sections
        .extend(lost.map(|(name, section)| (name.clone(), section.clone())));
    Arc::new(merged)
}

/// Whether the section has no version in force.
///
/// The store may then hold a last good version that this process has never read.
fn is_left_out(rejected: &RejectedSection) -> bool {
    rejected.in_force.is_none()
}

pub(super) fn put_into_force(
    state: &mut ConfigState,
    version: ObjectVersion,
    effective: EffectiveConfig,
) {
    state.good = effective.good;
    state.in_force = Arc::new(ConfigInForce {
        version,
        callers: CallerIndex::new(&effective.configuration),
        configuration: effective.configuration,
        rejected: effective.rejected,
    });
}
