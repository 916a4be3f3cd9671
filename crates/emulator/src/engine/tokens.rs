//! Answers generated from a prompt, the same on every engine.
//!
//! A stream that is resumed on another engine therefore continues where it
//! stopped, and a test can compute the complete answer.

/// Vocabulary of the answers.
const WORDS: [&str; 16] = [
    "racks", "for", "the", "hall", "are", "ready", "by", "noon", "with", "labels", "in", "plain",
    "view", "and", "spares", "packed",
];

/// Tokens of the answer to a prompt, drawn with a linear congruential generator.
pub fn answer_tokens(prompt: &str, count: usize) -> impl Iterator<Item = String> {
    let mut state = prompt_hash(prompt);
    (0..count).map(move |index| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let word = WORDS[(state >> 60) as usize];
        let separator = if index == 0 { "" } else { " " };
        format!("{separator}{word}")
    })
}

/// FNV-1a hash, so that different prompts give different answers.
fn prompt_hash(prompt: &str) -> u64 {
    prompt.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
