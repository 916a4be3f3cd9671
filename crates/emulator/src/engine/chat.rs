//! Wire forms of the language-model calls.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Tokens of an answer whose request gives no limit.
const DEFAULT_TOKENS: usize = 16;

/// Body of a chat or completions call, as far as the engine reads it.
#[derive(Clone, Debug, Deserialize)]
pub struct PromptWire {
    /// Model that the caller asked for.
    pub model: String,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    messages: Vec<MessageWire>,
    #[serde(default)]
    prompt: Option<Value>,
    max_tokens: Option<usize>,
    max_completion_tokens: Option<usize>,
}

#[derive(Clone, Debug, Deserialize)]
struct MessageWire {
    role: String,
    #[serde(default)]
    content: Value,
}

impl PromptWire {
    /// Text that the answer depends on.
    pub fn text(&self) -> String {
        let messages = self
            .messages
            .iter()
            .map(|message| format!("{}: {}\n", message.role, message.content));
        let prompt = self.prompt.iter().map(Value::to_string);
        messages.chain(prompt).collect()
    }

    /// Tokens that the answer has.
    pub fn token_count(&self) -> usize {
        self.max_tokens
            .or(self.max_completion_tokens)
            .unwrap_or(DEFAULT_TOKENS)
    }
}

/// Which of the calls an answer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Chat completions.
    Chat,
    /// Completions.
    Text,
}

/// Answer under way: what all its chunks share.
#[derive(Clone, Debug)]
pub struct AnswerFrame {
    /// Identifier of the answer.
    pub id: String,
    /// Model that the caller asked for.
    pub model: String,
    /// Seconds since the epoch.
    pub created: u64,
    /// Which call it is for.
    pub kind: AnswerKind,
}

#[derive(Serialize)]
struct ChunkWire<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Value; 1],
}

impl AnswerFrame {
    /// Server-sent event with one token.
    pub fn token_event(&self, token: &str) -> String {
        let choice = match self.kind {
            AnswerKind::Chat => serde_json::json!({
                "index": 0, "delta": {"content": token}, "finish_reason": null,
            }),
            AnswerKind::Text => serde_json::json!({
                "index": 0, "text": token, "finish_reason": null,
            }),
        };
        self.event(choice)
    }

    /// Server-sent events that close a stream.
    pub fn closing_events(&self) -> String {
        let choice = match self.kind {
            AnswerKind::Chat => serde_json::json!({
                "index": 0, "delta": {}, "finish_reason": "stop",
            }),
            AnswerKind::Text => serde_json::json!({
                "index": 0, "text": "", "finish_reason": "stop",
            }),
        };
        format!("{}data: [DONE]\n\n", self.event(choice))
    }

    /// Whole answer.
    pub fn whole(&self, text: &str, tokens: usize) -> Value {
        let (object, choice) = match self.kind {
            AnswerKind::Chat => (
                "chat.completion",
                serde_json::json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }),
            ),
            AnswerKind::Text => (
                "text_completion",
                serde_json::json!({"index": 0, "text": text, "finish_reason": "stop"}),
            ),
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens,
            },
        })
    }

    fn event(&self, choice: Value) -> String {
        let chunk = ChunkWire {
            id: &self.id,
            object: match self.kind {
                AnswerKind::Chat => "chat.completion.chunk",
                AnswerKind::Text => "text_completion",
            },
            created: self.created,
            model: &self.model,
            choices: [choice],
        };
        let json = serde_json::to_string(&chunk).expect("wire types have a JSON form");
        format!("data: {json}\n\n")
    }
}
