//! Faults in a settings file.

use std::fmt;

/// Fault at a position of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Line number, starting at 1.
    pub line: u64,
    /// Column number, starting at 1.
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

/// Error for settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file has the listed faults.
    #[error("{}", list_faults(.0))]
    Faulty(Vec<SettingFault>),
}

fn list_faults(faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingFault::to_string).collect();
    lines.join("\n")
}
