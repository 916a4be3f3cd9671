//! Checks sections without the platform.

use std::collections::BTreeMap;

use base::prelude::*;
use document::queries::{CrossFault, SectionOutlines, cross_faults};
use document::{DocumentError, ParsedSection, SectionFault, read_section};
use serde::Serialize;

use crate::output::{ListReport, ReportRow};
use crate::{Answer, ExitStatus};

/// Text of one section and the name of its file.
#[derive(Clone, Debug)]
pub struct CheckedFile {
    /// Name of the file.
    pub file: String,
    /// Its text.
    pub text: Arc<str>,
}

/// Fault in a file.
#[derive(Clone, Debug, Serialize)]
pub struct FaultRow {
    file: String,
    line: u64,
    column: u64,
    message: String,
}

impl ReportRow for FaultRow {
    const COLUMNS: &'static [&'static str] = &["place", "fault"];
    const NONE: &'static str = "no faults";

    fn cells(&self) -> Vec<String> {
        let place = format!("{}:{}:{}", self.file, self.line, self.column);
        vec![place, self.message.clone()]
    }
}

/// Checks files, each a section, by themselves and against one another.
///
/// Unless the files are a complete document, a name that none of them defines
/// is noted and is no fault.
pub fn check_files(files: &[CheckedFile], complete: bool) -> Answer {
    let mut faults = Vec::new();
    let mut parsed = BTreeMap::new();
    for (index, file) in files.iter().enumerate() {
        match read_section(&file.text) {
            Ok(section) => {
                parsed.insert(section_name(index), section);
            }
            Err(found) => faults.extend(found.into_iter().map(|fault| (index, fault))),
        }
    }
    let mut notes = Vec::new();
    for (index, fault) in find_cross_faults(&parsed) {
        let undefined = matches!(fault.error, DocumentError::Undefined { .. });
        if undefined && !complete {
            notes.push(note(&files[index], &fault));
        } else {
            faults.push((index, fault));
        }
    }
    faults.sort_by_key(|(index, fault)| (*index, fault.place));
    report_faults(files, &faults, notes)
}

fn report_faults(
    files: &[CheckedFile],
    faults: &[(usize, SectionFault)],
    notes: Vec<String>,
) -> Answer {
    let status = if faults.is_empty() {
        ExitStatus::Done
    } else {
        ExitStatus::Faulty
    };
    let rows = faults.iter().map(|(index, fault)| FaultRow {
        file: files[*index].file.clone(),
        line: fault.place.line,
        column: fault.place.column,
        message: fault.error.to_string(),
    });
    let rows = rows.collect();
    Answer::ending(ListReport { rows, notes }, status)
}

/// Name that keeps the order of the files.
fn section_name(index: usize) -> SectionName {
    SectionName::new(&format!("file-{index:06}")).expect("digits make a name")
}

fn file_index(section: &SectionName) -> usize {
    let digits = section.as_str().trim_start_matches("file-");
    digits.parse().expect("the name was made from an index")
}

fn find_cross_faults(parsed: &BTreeMap<SectionName, ParsedSection>) -> Vec<(usize, SectionFault)> {
    let outlines: SectionOutlines<'_> = parsed
        .iter()
        .map(|(name, section)| (name, &section.outline))
        .collect();
    let faults = cross_faults(&outlines);
    faults.into_iter().map(place_fault).collect()
}

fn place_fault(fault: CrossFault) -> (usize, SectionFault) {
    let (section, place, error) = match fault {
        CrossFault::Undefined { name, usage } => (
            usage.section,
            usage.place,
            DocumentError::Undefined { name },
        ),
        CrossFault::Redefined {
            name,
            first,
            second,
        } => {
            let section = first.section;
            let error = DocumentError::Redefined { name, section };
            (second.section, second.place, error)
        }
        CrossFault::KeyShared { first, second } => {
            let error = DocumentError::KeyShared {
                workspace: first.1.workspace,
                caller: first.1.caller,
            };
            (second.0, second.1.place, error)
        }
    };
    (file_index(&section), SectionFault { place, error })
}

fn note(file: &CheckedFile, fault: &SectionFault) -> String {
    let place = fault.place;
    format!(
        "not checked: {}:{}:{}: {}",
        file.file, place.line, place.column, fault.error
    )
}
