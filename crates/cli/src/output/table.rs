use comfy_table::{Table, presets};

use super::{Printer, Report, ReportBody};

/// Prints aligned columns, or text verbatim.
pub struct TablePrinter;

impl Printer for TablePrinter {
    fn print(&self, report: &dyn Report) -> String {
        match report.to_body() {
            ReportBody::Text(text) if text.ends_with('\n') => text,
            ReportBody::Text(text) => format!("{text}\n"),
            ReportBody::Rows {
                columns,
                rows,
                notes,
            } => {
                let mut text = String::new();
                if !rows.is_empty() {
                    text.push_str(&align(columns, rows));
                }
                for note in notes {
                    text.push_str(&note);
                    text.push('\n');
                }
                text
            }
        }
    }
}

fn align(columns: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(columns.iter().map(|column| column.to_uppercase()));
    table.add_rows(rows);
    let mut text = String::new();
    for line in table.lines() {
        text.push_str(line.trim());
        text.push('\n');
    }
    text
}
