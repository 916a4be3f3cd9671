use super::{Printer, Report};

/// Prints indented JSON.
pub struct JsonPrinter;

impl Printer for JsonPrinter {
    fn print(&self, report: &dyn Report) -> String {
        format!("{:#}\n", report.to_json())
    }
}
