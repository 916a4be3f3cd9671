//! How reports are printed: one file for each form, picked by [`printer_for`].

mod json;
mod list;
mod table;

use serde_json::Value;

pub use json::JsonPrinter;
pub use list::{ListReport, ReportRow};
pub use table::TablePrinter;

use crate::OutputFormat;

/// Result of a run, in a form for programs and one for people.
pub trait Report {
    /// Form for programs.
    fn to_json(&self) -> Value;

    /// Form for people.
    fn to_body(&self) -> ReportBody;
}

/// Form of a report for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportBody {
    /// Rows under columns.
    Rows {
        /// Headings.
        columns: &'static [&'static str],
        /// Cells of each row.
        rows: Vec<Vec<String>>,
        /// Lines after the rows.
        notes: Vec<String>,
    },
    /// Text as it stands.
    Text(String),
}

/// Turns reports into text.
pub trait Printer {
    /// Text of a report, with the last line break.
    fn print(&self, report: &dyn Report) -> String;
}

/// Printer of a form.
pub fn printer_for(format: OutputFormat) -> Box<dyn Printer> {
    match format {
        OutputFormat::Table => Box::new(TablePrinter),
        OutputFormat::Json => Box::new(JsonPrinter),
    }
}
