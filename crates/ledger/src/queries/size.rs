//! Upper bounds of stored sizes.

use crate::{CallKey, CallPhase, CallRecord, RecordedBody, RecordedResponse, ShardContents};

/// JSON of an empty shard, in bytes at most.
const SHARD_BYTES: usize = 64;
/// JSON of a running mark without its names, in bytes at most.
const MARK_BYTES: usize = 256;
/// JSON of an answer without headers and body, in bytes at most.
const ANSWER_BYTES: usize = 96;
/// JSON around a header, in bytes.
const HEADER_BYTES: usize = 8;
/// JSON bytes of one byte of text at worst, such as `\u0000`.
const ESCAPE_BYTES: usize = 6;

impl ShardContents {
    /// Bytes that its stored form takes at most.
    pub fn size_bound(&self) -> usize {
        let marks = self.marks.iter().map(|(key, mark)| mark.size_bound(key));
        SHARD_BYTES + marks.sum::<usize>()
    }
}

impl CallRecord {
    /// Bytes that its stored form takes at most.
    pub fn size_bound(&self, key: &CallKey) -> usize {
        let names = [
            key.workspace.as_str(),
            key.caller.as_str(),
            key.service.as_str(),
            key.request.as_str(),
            self.attempt.node.as_str(),
        ];
        let phase = match &self.phase {
            CallPhase::Answered(answer) => answer.size_bound(),
            CallPhase::Running | CallPhase::Unknown => 0,
        };
        MARK_BYTES + names.iter().map(|name| name.len()).sum::<usize>() + phase
    }
}

impl RecordedResponse {
    /// Bytes that its stored form takes at most.
    pub fn size_bound(&self) -> usize {
        let headers = self.headers.iter().map(|header| {
            HEADER_BYTES
                + escaped_len(header.name.as_bytes())
                + escaped_len(header.value.as_bytes())
        });
        ANSWER_BYTES + headers.sum::<usize>() + body_bound(&self.body)
    }
}

fn body_bound(body: &RecordedBody) -> usize {
    match body {
        RecordedBody::Omitted { .. } => 0,
        RecordedBody::Whole(bytes) => match std::str::from_utf8(bytes) {
            Ok(_) => escaped_len(bytes),
            Err(_) => 2 * bytes.len(),
        },
    }
}

fn escaped_len(bytes: &[u8]) -> usize {
    let lengths = bytes.iter().map(|byte| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => ESCAPE_BYTES,
        _ => 1,
    });
    lengths.sum()
}
