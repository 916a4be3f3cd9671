//! Selection between the current and the last good version of a section.

use base::prelude::*;

use crate::{
    DocumentError, GoodSection, Section, SectionFault, TextPosition, UnreadableSection,
    parse_section,
};

/// Version of a section that is selected to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SelectedVersion {
    Current,
    LastGood,
    Neither,
}

/// Current and last good version of one section, and which of them is selected.
#[derive(Clone, Debug)]
pub struct SectionCandidate {
    /// Revision in the document; zero if the section is missing or unreadable.
    pub revision: SectionRevision,
    /// Faults for which the current text is rejected.
    pub faults: Vec<SectionFault>,
    current: Option<GoodSection>,
    good: Option<GoodSection>,
    selected: SelectedVersion,
}

impl SectionCandidate {
    pub fn read(section: &Section, good: Option<&GoodSection>) -> Self {
        let parsed = match good {
            Some(good) if good.parsed.text == section.text => Ok(Arc::clone(&good.parsed)),
            _ => parse_section(&section.text).map(Arc::new),
        };
        match parsed {
            Err(faults) => Self::faulty(section.revision, faults, good),
            Ok(parsed) => Self {
                revision: section.revision,
                faults: Vec::new(),
                current: Some(GoodSection {
                    revision: section.revision,
                    parsed,
                }),
                good: good.cloned(),
                selected: SelectedVersion::Current,
            },
        }
    }

    pub fn unreadable(entry: &UnreadableSection, good: Option<&GoodSection>) -> Self {
        let reason = Arc::clone(&entry.reason);
        let fault = SectionFault::new(TextPosition::START, DocumentError::Unreadable { reason });
        Self::faulty(SectionRevision::default(), vec![fault], good)
    }

    pub fn removed(good: Option<&GoodSection>) -> Self {
        Self {
            revision: SectionRevision::default(),
            faults: Vec::new(),
            current: None,
            good: good.cloned(),
            selected: SelectedVersion::Current,
        }
    }

    fn faulty(
        revision: SectionRevision,
        faults: Vec<SectionFault>,
        good: Option<&GoodSection>,
    ) -> Self {
        Self {
            revision,
            faults,
            current: None,
            good: good.cloned(),
            selected: SelectedVersion::LastGood,
        }
    }

    /// Selected version; `None` if the section is left out.
    pub fn selected(&self) -> Option<&GoodSection> {
        match self.selected {
            SelectedVersion::Current => self.current.as_ref(),
            SelectedVersion::LastGood => self.good.as_ref(),
            SelectedVersion::Neither => None,
        }
    }

    /// Last good version, if the current one is selected and differs from it.
    pub fn superseded(&self) -> Option<&GoodSection> {
        let good = self.good.as_ref()?;
        (self.selected == SelectedVersion::Current && self.is_changed()).then_some(good)
    }

    /// Whether the current version is selected and differs from the last good one.
    pub fn is_new(&self) -> bool {
        self.selected == SelectedVersion::Current && self.is_changed()
    }

    fn is_changed(&self) -> bool {
        let current = self.current.as_ref().map(|current| current.parsed.digest);
        let good = self.good.as_ref().map(|good| good.parsed.digest);
        current != good
    }

    /// Selects the last good version instead of the current one, or else none.
    pub fn fall_back(&mut self) {
        self.selected = match self.selected {
            SelectedVersion::Current if self.good.is_some() && self.is_changed() => {
                SelectedVersion::LastGood
            }
            _ => SelectedVersion::Neither,
        };
    }
}
