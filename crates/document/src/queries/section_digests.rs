use std::collections::BTreeMap;

use base::prelude::*;

use crate::{Document, SectionDigest};

/// Digests of the sections' texts by section name.
pub fn section_digests(document: &Document) -> BTreeMap<SectionName, SectionDigest> {
    let digests = document
        .sections
        .iter()
        .map(|(name, section)| (name.clone(), section.digest()));
    digests.collect()
}
