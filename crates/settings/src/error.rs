//! Faults of a settings file.

use std::fmt;

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Line, counted from one.
    pub line: u64,
    /// Column, counted from one.
    pub column: u64,
    /// What is wrong and what to write instead.
    pub message: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.message
        )
    }
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file has faults.
    #[error("{}", list_faults(.0))]
    Faulty(Vec<SettingFault>),
}

fn list_faults(faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingFault::to_string).collect();
    lines.join("\n")
}
