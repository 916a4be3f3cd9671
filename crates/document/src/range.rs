//! Allowed ranges of the numeric fields of a section.

use crate::DocumentError;

/// Allowed range of one field, both ends included.
#[derive(Clone, Copy, Debug)]
pub struct FieldRange {
    field: &'static str,
    min: usize,
    max: usize,
}

impl FieldRange {
    pub const fn new(field: &'static str, min: usize, max: usize) -> Self {
        Self { field, min, max }
    }

    pub fn check(self, number: usize) -> Result<(), DocumentError> {
        if (self.min..=self.max).contains(&number) {
            return Ok(());
        }
        Err(DocumentError::Range {
            field: self.field,
            found: number.to_string(),
            min: self.min.to_string(),
            max: self.max.to_string(),
        })
    }
}
