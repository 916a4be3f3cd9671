//! Bodies as text.
//!
//! A body may hold parts of several writers, and one of them may have left bytes that are not
//! UTF-8. These must not make the rest unreadable, so they are replaced; which parts of the text
//! were affected, and by which bytes, remains known.

use std::borrow::Cow;

use serde::Deserialize;

/// Why a part of a body can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum TextError {
    /// It has bytes that are not UTF-8.
    #[error("it has bytes that are not UTF-8")]
    Bytes,
    /// It is no JSON, or not of the type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Body in which runs of bytes that are not UTF-8 are replaced by one character each.
#[derive(Clone, Debug)]
pub struct BodyText<'a> {
    bytes: &'a [u8],
    text: Cow<'a, str>,
    /// Ends of the replacements, each as an offset in the text and in the bytes.
    replacements: Vec<(usize, usize)>,
}

impl<'a> BodyText<'a> {
    /// Decodes a body.
    pub fn new(bytes: &'a [u8]) -> Self {
        if let Ok(text) = std::str::from_utf8(bytes) {
            return Self {
                bytes,
                text: Cow::Borrowed(text),
                replacements: Vec::new(),
            };
        }
        let mut text = String::with_capacity(bytes.len());
        let mut replacements: Vec<(usize, usize)> = Vec::new();
        let mut end = 0;
        for chunk in bytes.utf8_chunks() {
            text.push_str(chunk.valid());
            end += chunk.valid().len() + chunk.invalid().len();
            match replacements.last_mut() {
                _ if chunk.invalid().is_empty() => {}
                // Goes on with the replaced bytes before it.
                Some((_, last)) if chunk.valid().is_empty() => *last = end,
                _ => {
                    text.push(char::REPLACEMENT_CHARACTER);
                    replacements.push((text.len(), end));
                }
            }
        }
        Self {
            bytes,
            text: Cow::Owned(text),
            replacements,
        }
    }

    /// The whole text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Bytes that a part of the text was decoded from; it must be a slice of [`Self::as_str`].
    pub fn bytes_of(&self, part: &str) -> &'a [u8] {
        let start = part.as_ptr() as usize - self.text.as_ptr() as usize;
        &self.bytes[self.byte_offset(start)..self.byte_offset(start + part.len())]
    }

    /// Whether bytes in a part of the text were replaced.
    pub fn has_replacements(&self, part: &str) -> bool {
        !self.replacements.is_empty() && std::str::from_utf8(self.bytes_of(part)).is_err()
    }

    /// Decodes the JSON of a part of the text; bytes that were replaced make it undecodable.
    pub fn decode<'p, T: Deserialize<'p>>(&self, part: &'p str) -> Result<T, TextError> {
        if self.has_replacements(part) {
            return Err(TextError::Bytes);
        }
        Ok(serde_json::from_str(part)?)
    }

    fn byte_offset(&self, offset: usize) -> usize {
        let count = self.replacements.partition_point(|(end, _)| *end <= offset);
        match count.checked_sub(1).map(|last| self.replacements[last]) {
            Some((text_end, byte_end)) => byte_end + (offset - text_end),
            None => offset,
        }
    }
}
