//! Checks a configuration of the users' platform before it is sent.

use platform::{ConfigFinding, FindingKind, UnreadableConfig, check_config, compare_configs};
use serde::Serialize;

use super::check::CheckedFile;
use crate::output::{ListReport, ReportRow};
use crate::{CliError, CommandOutcome, ExitStatus};

/// Row of the list of findings.
#[derive(Clone, Debug, Serialize)]
pub struct FindingRow {
    file: String,
    line: u64,
    column: u64,
    kind: &'static str,
    message: String,
}

impl ReportRow for FindingRow {
    const COLUMNS: &'static [&'static str] = &["place", "kind", "finding"];
    const EMPTY_TEXT: &'static str = "no findings";

    fn cells(&self) -> Vec<String> {
        let location = format!("{}:{}:{}", self.file, self.line, self.column);
        vec![location, self.kind.to_owned(), self.message.clone()]
    }
}

/// Whether a text is in the format of the users' platform, JSON, and not a section in YAML.
pub fn is_config(text: &str) -> bool {
    text.trim_start().starts_with('{')
}

/// Checks a configuration, and what it changes if it replaces another one.
///
/// Differences alone leave the exit status at "done".
pub fn check_config_file(
    file: &CheckedFile,
    against: Option<&CheckedFile>,
    fabric_size: Option<usize>,
) -> Result<CommandOutcome, CliError> {
    let unreadable = |path: &str, source: UnreadableConfig| CliError::NoConfig {
        path: path.to_owned(),
        source,
    };
    let mut findings =
        check_config(&file.text, fabric_size).map_err(|error| unreadable(&file.file, error))?;
    if let Some(against) = against {
        // The file itself was read above, so an error is one of the other file.
        let differences = compare_configs(&file.text, &against.text)
            .map_err(|error| unreadable(&against.file, error))?;
        findings.extend(differences);
    }
    let is_fault = |finding: &ConfigFinding| finding.kind != FindingKind::Difference;
    let status = match findings.iter().any(is_fault) {
        true => ExitStatus::Failed,
        false => ExitStatus::Done,
    };
    let rows = findings.into_iter().map(|finding| FindingRow {
        file: file.file.clone(),
        line: finding.line,
        column: finding.column,
        kind: finding.kind.as_str(),
        message: finding.message,
    });
    let mut notes = Vec::new();
    if fabric_size.is_none() {
        notes.push("not checked: sizes of groups, without --fabric-size".to_owned());
    }
    let rows = rows.collect();
    Ok(CommandOutcome::with_status(
        ListReport { rows, notes },
        status,
    ))
}
