//! Entries that another writer leaves in the store.

use rand::RngExt;
use rand::rngs::StdRng;

/// Form of such an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignForm {
    /// One entry that fills a page of a list.
    Large,
    /// More small entries than a page holds.
    Many,
    /// One entry with bytes that are not UTF-8.
    Unreadable,
    /// One entry whose metadata lack the revision.
    WithoutRevision,
    /// One entry whose metadata lack the name.
    WithoutName,
}

impl ForeignForm {
    /// All forms.
    pub const ALL: [Self; 5] = [
        Self::Large,
        Self::Many,
        Self::Unreadable,
        Self::WithoutRevision,
        Self::WithoutName,
    ];
}

/// Name of such an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForeignName(pub &'static str);

impl ForeignName {
    /// Names that mean something else in a path, a query or a header, and that sort before, among
    /// and after the servers' ids.
    pub const ALL: [Self; 24] = [
        Self("backup of 12 May"),
        Self("a&watch=1"),
        Self("a+b"),
        Self("a#b"),
        Self("a\"b"),
        Self("a<b>"),
        Self("a%zz"),
        Self("i-0%2D1"),
        Self("i-0%20"),
        Self("a/b"),
        Self("../config"),
        Self("a?after=z"),
        Self("a=b;c"),
        Self("a\\b|^`{}"),
        Self("\u{1}\u{7f}\r\n"),
        Self(" "),
        Self("i-0-"),
        Self("i-0-1 "),
        Self("i-\u{e9}"),
        Self("\u{1f4be} m\u{e1}solat"),
        Self("z\u{10ffff}"),
        Self("node."),
        Self("node.backup of 12 May"),
        Self("zz\u{2028}"),
    ];
}

/// Form and name of an entry.
pub(super) fn random_entry(rng: &mut StdRng) -> (ForeignForm, ForeignName) {
    let form = ForeignForm::ALL[rng.random_range(0..ForeignForm::ALL.len())];
    let name = ForeignName::ALL[rng.random_range(0..ForeignName::ALL.len())];
    (form, name)
}
