//! Ranges that the numbers of a section must keep to.

use crate::DocumentError;

/// Least and greatest number of one field.
#[derive(Clone, Copy, Debug)]
pub struct CheckedRange {
    field: &'static str,
    least: usize,
    most: usize,
}

impl CheckedRange {
    pub const fn new(field: &'static str, least: usize, most: usize) -> Self {
        Self { field, least, most }
    }

    pub fn check(self, number: usize) -> Result<(), DocumentError> {
        if (self.least..=self.most).contains(&number) {
            return Ok(());
        }
        Err(DocumentError::Range {
            field: self.field,
            found: number.to_string(),
            least: self.least.to_string(),
            most: self.most.to_string(),
        })
    }
}
