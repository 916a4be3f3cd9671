//! Keeps the last good sections for processes that start later.

use base::prelude::*;
use document::commands::merge_last_good;
use document::queries::effective_config;
use document::{Document, GoodSections};
use interface::keys::good_sections_key;
use store::{ObjectChange, UpdateOutcome};

use crate::Session;
use crate::objects::read_good;

/// Attempts before the next edit is left to do it.
const ATTEMPT_LIMIT: u32 = 3;

/// Writes the good sections of a document down.
///
/// Hosts keep nothing, so one that starts after a section went bad has only
/// this object to take the section's last good version from. A failure here
/// fails no edit: the next one writes the object again.
pub async fn keep_good(session: &Session, document: &Document) {
    for attempt in 0..ATTEMPT_LIMIT {
        let Ok((version, mut known)) = read_good(session).await else {
            return;
        };
        let good = effective_config(document, &known).good;
        if !merge_last_good(&mut known, &good) || write(session, version, &known).await {
            return;
        }
        session.pause(attempt).await;
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
