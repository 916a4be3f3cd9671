use crate::GoodSections;

/// Merges section versions into `target`, keeping the newer one of each; returns
/// whether anything changed.
pub fn merge_last_good(target: &mut GoodSections, source: &GoodSections) -> bool {
    let mut changed = false;
    for (name, section) in &source.0 {
        let current = target.0.get(name);
        if current.is_none_or(|current| current.revision < section.revision) {
            target.0.insert(name.clone(), section.clone());
            changed = true;
        }
    }
    changed
}
