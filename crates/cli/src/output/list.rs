use serde::Serialize;
use serde_json::Value;

use super::{Report, ReportBody};

/// One row of a list.
pub trait ReportRow: Serialize {
    /// Column titles.
    const COLUMNS: &'static [&'static str];
    /// Text printed if there are no rows.
    const EMPTY_TEXT: &'static str;

    /// Cells of the row, in the order of the columns.
    fn cells(&self) -> Vec<String>;
}

/// List of rows of one type.
pub struct ListReport<T> {
    /// Rows in the order in which they are printed.
    pub rows: Vec<T>,
    /// Lines after the rows; left out of the JSON output.
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
            notes.insert(0, T::EMPTY_TEXT.to_owned());
        }
        ReportBody::Rows {
            columns: T::COLUMNS,
            rows: self.rows.iter().map(T::cells).collect(),
            notes,
        }
    }
}
