//! Output formats of reports; [`printer_for`] selects one.

mod json;
mod list;
mod table;

use serde_json::Value;

pub use json::JsonPrinter;
pub use list::{ListReport, ReportRow};
pub use table::TablePrinter;

use crate::OutputFormat;

/// Result of a command, as JSON for programs and as text or a table for people.
pub trait Report {
    /// Report as JSON.
    fn to_json(&self) -> Value;

    /// Report as rows or text.
    fn to_body(&self) -> ReportBody;
}

/// Content of a report that is read by people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportBody {
    /// Rows under columns.
    Rows {
        /// Column titles.
        columns: &'static [&'static str],
        /// Cells of each row.
        rows: Vec<Vec<String>>,
        /// Lines after the rows.
        notes: Vec<String>,
    },
    /// Text printed verbatim.
    Text(String),
}

/// Formats reports as text.
pub trait Printer {
    /// Text of a report, ending with a line break.
    fn print(&self, report: &dyn Report) -> String;
}

/// Printer for an output format.
pub fn printer_for(format: OutputFormat) -> Box<dyn Printer> {
    match format {
        OutputFormat::Table => Box::new(TablePrinter),
        OutputFormat::Json => Box::new(JsonPrinter),
    }
}
