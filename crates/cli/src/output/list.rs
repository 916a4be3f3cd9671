use serde::Serialize;
use serde_json::Value;

use super::{Report, ReportBody};

/// One row of a list.
pub trait ReportRow: Serialize {
    /// Headings.
    const COLUMNS: &'static [&'static str];
    /// What to say where there are no rows.
    const NONE: &'static str;

    /// Cells under the headings.
    fn cells(&self) -> Vec<String>;
}

/// Rows of one kind.
pub struct ListReport<T> {
    /// The rows.
    pub rows: Vec<T>,
    /// Lines after the rows, for people only.
    pub notes: Vec<String>,
}

impl<T> ListReport<T> {
    /// List without notes.
    pub fn new(rows: Vec<T>) -> Self {
        Self {
            rows,
            notes: Vec::new(),
        }
    }
}

impl<T: ReportRow> Report for ListReport<T> {
    fn to_json(&self) -> Value {
        serde_json::to_value(&self.rows).expect("rows have a JSON form")
    }

    fn to_body(&self) -> ReportBody {
        let mut notes = self.notes.clone();
        if self.rows.is_empty() {
            notes.insert(0, T::NONE.to_owned());
        }
        ReportBody::Rows {
            columns: T::COLUMNS,
            rows: self.rows.iter().map(T::cells).collect(),
            notes,
        }
    }
}
