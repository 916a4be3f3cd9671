//! Checks sections without the platform.

use std::collections::BTreeMap;

use base::prelude::*;
use document::queries::{CrossSectionFault, SectionOutlines, cross_section_faults};
use document::{DocumentError, ParsedSection, SectionFault, TextPosition, parse_section};
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

/// Fault in the file of an index.
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

/// Checks files, each a section, by themselves and against one another.
///
/// Unless the files are a complete document, a name that none of them defines
/// is noted and is no fault.
pub fn check_files(files: &[CheckedFile], complete: bool) -> Answer {
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
        let fault = place_fault(fault, files);
        if is_undefined && !complete {
            notes.push(format!("not checked: {}", describe(files, &fault)));
        } else {
            faults.push(fault);
        }
    }
    faults.sort_by_key(|fault| (fault.index, fault.position));
    report_faults(files, faults, notes)
}

fn report_faults(files: &[CheckedFile], faults: Vec<FileFault>, notes: Vec<String>) -> Answer {
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
    Answer::ending(ListReport { rows, notes }, status)
}

fn describe(files: &[CheckedFile], fault: &FileFault) -> String {
    let file = &files[fault.index].file;
    let TextPosition { line, column } = fault.position;
    format!("{file}:{line}:{column}: {}", fault.message)
}

/// Name that keeps the order of the files.
fn section_name(index: usize) -> SectionName {
    SectionName::new(&format!("{index:06}")).expect("digits make a name")
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

/// Puts a fault between files down to the later one.
fn place_fault(fault: CrossSectionFault, files: &[CheckedFile]) -> FileFault {
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
