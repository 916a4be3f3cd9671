//! Checks sections without the platform.

use std::collections::BTreeMap;

use base::prelude::*;
use document::queries::{CrossSectionFault, SectionOutlines, cross_section_faults};
use document::{DocumentError, ParsedSection, SectionFault, TextPosition, parse_section};
use serde::Serialize;

use crate::output::{ListReport, ReportRow};
use crate::{CommandOutcome, ExitStatus};

/// Text of one section and the name of its file.
#[derive(Clone, Debug)]
pub struct CheckedFile {
    /// Name of the file, as given on the command line.
    pub file: String,
    /// Text of the section.
    pub text: Arc<str>,
}

/// Row of the list of faults.
#[derive(Clone, Debug, Serialize)]
pub struct FaultRow {
    file: String,
    line: u64,
    column: u64,
    message: String,
}

impl ReportRow for FaultRow {
    const COLUMNS: &'static [&'static str] = &["place", "fault"];
    const EMPTY_TEXT: &'static str = "no faults";

    fn cells(&self) -> Vec<String> {
        let location = format!("{}:{}:{}", self.file, self.line, self.column);
        vec![location, self.message.clone()]
    }
}

/// Fault in the file with the given index.
struct FileFault {
    index: usize,
    position: TextPosition,
    message: String,
}

impl FileFault {
    fn new(index: usize, fault: &SectionFault) -> Self {
        Self {
            index,
            position: fault.position,
            message: fault.error.to_string(),
        }
    }
}

/// Checks files, each of which is a section, alone and against one another.
///
/// If the files are not a complete document, a name that none of them defines is
/// reported as a note rather than as a fault.
pub fn check_files(files: &[CheckedFile], complete: bool) -> CommandOutcome {
    let mut faults = Vec::new();
    let mut parsed = BTreeMap::new();
    for (index, file) in files.iter().enumerate() {
        match parse_section(&file.text) {
            Ok(section) => {
                parsed.insert(section_name(index), section);
            }
            Err(found) => faults.extend(found.iter().map(|fault| FileFault::new(index, fault))),
        }
    }
    let mut notes = Vec::new();
    for fault in find_cross_faults(&parsed) {
        let is_undefined = matches!(fault, CrossSectionFault::Undefined { .. });
        let fault = locate_fault(fault, files);
        if is_undefined && !complete {
            notes.push(format!("not checked: {}", describe(files, &fault)));
        } else {
            faults.push(fault);
        }
    }
    faults.sort_by_key(|fault| (fault.index, fault.position));
    report_faults(files, faults, notes)
}

fn report_faults(
    files: &[CheckedFile],
    faults: Vec<FileFault>,
    notes: Vec<String>,
) -> CommandOutcome {
    let status = if faults.is_empty() {
        ExitStatus::Done
    } else {
        ExitStatus::Faulty
    };
    let rows = faults.into_iter().map(|fault| FaultRow {
        file: files[fault.index].file.clone(),
        line: fault.position.line,
        column: fault.position.column,
        message: fault.message,
    });
    let rows = rows.collect();
    CommandOutcome::with_status(ListReport { rows, notes }, status)
}

fn describe(files: &[CheckedFile], fault: &FileFault) -> String {
    let file = &files[fault.index].file;
    let TextPosition { line, column } = fault.position;
    format!("{file}:{line}:{column}: {}", fault.message)
}

/// Section name that sorts in the order of the files.
fn section_name(index: usize) -> SectionName {
    SectionName::new(&format!("{index:06}")).expect("digits are a valid name")
}

fn file_index(section: &SectionName) -> usize {
    let digits = section.as_str();
    digits.parse().expect("the name was made from an index")
}

fn find_cross_faults(parsed: &BTreeMap<SectionName, ParsedSection>) -> Vec<CrossSectionFault> {
    let outlines: SectionOutlines<'_> = parsed
        .iter()
        .map(|(name, section)| (name, &section.outline))
        .collect();
    cross_section_faults(&outlines)
}

/// Assigns a fault between two files to the later one.
fn locate_fault(fault: CrossSectionFault, files: &[CheckedFile]) -> FileFault {
    let (section, position, message) = match fault {
        CrossSectionFault::Undefined { name, usage } => {
            let error = DocumentError::Undefined { name };
            (usage.section, usage.position, error.to_string())
        }
        CrossSectionFault::Redefined {
            name,
            first,
            second,
        } => {
            let file = &files[file_index(&first.section)].file;
            let message = format!("{name} is already defined in '{file}': choose another name");
            (second.section, second.position, message)
        }
        CrossSectionFault::KeyShared { first, second } => {
            let error = DocumentError::KeyShared {
                workspace: first.1.workspace,
                caller: first.1.caller,
            };
            (second.0, second.1.position, error.to_string())
        }
    };
    FileFault {
        index: file_index(&section),
        position,
        message,
    }
}
