use crate::GoodSections;

/// Merges section versions, keeping the newer one of each; returns whether
/// anything changed.
pub fn merge_last_good(known: &mut GoodSections, offered: &GoodSections) -> bool {
    let mut changed = false;
    for (name, section) in &offered.0 {
        let present = known.0.get(name);
        if present.is_none_or(|present| present.revision < section.revision) {
            known.0.insert(name.clone(), section.clone());
            changed = true;
        }
    }
    changed
}
