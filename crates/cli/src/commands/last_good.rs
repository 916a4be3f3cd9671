//! Stores the last good sections for processes that start later.

use base::prelude::*;
use document::commands::merge_last_good;
use document::queries::effective_config;
use document::{Document, GoodSections};
use interface::keys::good_sections_key;
use store::{ObjectChange, UpdateOutcome};

use crate::Session;
use crate::objects::read_last_good;

/// Attempts before the write is left to the next edit.
const ATTEMPT_LIMIT: u32 = 3;

/// Adds the good sections of a document to the stored last good sections.
///
/// Hosts have no state of their own: a process that starts after a section has
/// become faulty can read the section's last good version only from this
/// object. A failure here does not fail the edit, since the next edit writes
/// the object again.
pub async fn update_last_good(session: &Session, document: &Document) {
    for attempt in 0..ATTEMPT_LIMIT {
        let Ok((version, mut stored)) = read_last_good(session).await else {
            return;
        };
        let good = effective_config(document, &stored).good;
        if !merge_last_good(&mut stored, &good) || write(session, version, &stored).await {
            return;
        }
        session.back_off(attempt).await;
    }
}

async fn write(session: &Session, version: ObjectVersion, sections: &GoodSections) -> bool {
    let change = ObjectChange {
        key: good_sections_key(),
        expected: version,
        value: sections.encode(),
    };
    let outcome = session.store.update(change).await;
    matches!(outcome, UpdateOutcome::Applied(_))
}
