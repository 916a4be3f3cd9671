//! Version of a section that may take effect.

use base::prelude::*;

use crate::{
    DocumentError, GoodSection, Section, SectionFault, TextPosition, UnreadableSection,
    read_section,
};

/// Which version of a section stands at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Current,
    Good,
    Absent,
}

/// Present and last good version of one section.
#[derive(Clone, Debug)]
pub struct SectionCandidate {
    /// Revision in the document; zero if the section is not there.
    pub revision: SectionRevision,
    /// Why its present text doesn't take effect.
    pub faults: Vec<SectionFault>,
    current: Option<GoodSection>,
    good: Option<GoodSection>,
    standing: Standing,
}

impl SectionCandidate {
    pub fn read(section: &Section, good: Option<&GoodSection>) -> Self {
        let parsed = match good {
            Some(good) if good.parsed.text == section.text => Ok(Arc::clone(&good.parsed)),
            _ => read_section(&section.text).map(Arc::new),
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
                standing: Standing::Current,
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
            standing: Standing::Current,
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
            standing: Standing::Good,
        }
    }

    /// Version that stands, if any.
    pub fn standing(&self) -> Option<&GoodSection> {
        match self.standing {
            Standing::Current => self.current.as_ref(),
            Standing::Good => self.good.as_ref(),
            Standing::Absent => None,
        }
    }

    /// Last good version, if the present one stands and differs from it.
    pub fn replaced(&self) -> Option<&GoodSection> {
        let good = self.good.as_ref()?;
        (self.standing == Standing::Current && self.is_changed()).then_some(good)
    }

    /// Whether the present version stands and is not the last good one.
    pub fn is_new(&self) -> bool {
        self.standing == Standing::Current && self.is_changed()
    }

    fn is_changed(&self) -> bool {
        let current = self.current.as_ref().map(|current| current.parsed.digest);
        let good = self.good.as_ref().map(|good| good.parsed.digest);
        current != good
    }

    /// Falls back to the last good version, or to none.
    pub fn hold_back(&mut self) {
        self.standing = match self.standing {
            Standing::Current if self.good.is_some() && self.is_changed() => Standing::Good,
            _ => Standing::Absent,
        };
    }
}
