//! Wire format of the language-model calls, as in the OpenAI API.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Tokens of an answer if the request gives no limit.
const DEFAULT_TOKENS: usize = 16;

/// Body of a chat or completions call; other fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct PromptWire {
    /// Requested model.
    pub model: String,
    /// Whether the response is streamed.
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
    /// Text of the messages or the prompt, from which the answer is generated.
    pub fn text(&self) -> String {
        let messages = self
            .messages
            .iter()
            .map(|message| format!("{}: {}\n", message.role, message.content));
        let prompt = self.prompt.iter().map(Value::to_string);
        messages.chain(prompt).collect()
    }

    /// Number of tokens of the answer.
    pub fn token_count(&self) -> usize {
        self.max_tokens
            .or(self.max_completion_tokens)
            .unwrap_or(DEFAULT_TOKENS)
    }
}

/// API call that a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// Chat completions.
    Chat,
    /// Completions.
    Text,
}

/// Encoder of the response to one call; holds the fields that all chunks share.
#[derive(Clone, Debug)]
pub struct CompletionEncoder {
    /// Identifier of the response.
    pub id: String,
    /// Requested model.
    pub model: String,
    /// Time of creation, in seconds since the Unix epoch.
    pub created: u64,
    /// Call that the response belongs to.
    pub kind: CompletionKind,
}

#[derive(Serialize)]
struct ChunkWire<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Value; 1],
}

impl CompletionEncoder {
    /// Encodes one token as a server-sent event.
    pub fn token_event(&self, token: &str) -> String {
        let choice = match self.kind {
            CompletionKind::Chat => serde_json::json!({
                "index": 0, "delta": {"content": token}, "finish_reason": null,
            }),
            CompletionKind::Text => serde_json::json!({
                "index": 0, "text": token, "finish_reason": null,
            }),
        };
        self.event(choice)
    }

    /// Encodes the server-sent events that end a stream.
    pub fn closing_events(&self) -> String {
        let choice = match self.kind {
            CompletionKind::Chat => serde_json::json!({
                "index": 0, "delta": {}, "finish_reason": "stop",
            }),
            CompletionKind::Text => serde_json::json!({
                "index": 0, "text": "", "finish_reason": "stop",
            }),
        };
        format!("{}data: [DONE]\n\n", self.event(choice))
    }

    /// Encodes a complete response that is not streamed.
    pub fn full_response(&self, text: &str, tokens: usize) -> Value {
        let (object, choice) = match self.kind {
            CompletionKind::Chat => (
                "chat.completion",
                serde_json::json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }),
            ),
            CompletionKind::Text => (
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
                CompletionKind::Chat => "chat.completion.chunk",
                CompletionKind::Text => "text_completion",
            },
            created: self.created,
            model: &self.model,
            choices: [choice],
        };
        let json = serde_json::to_string(&chunk).expect("wire types have a JSON form");
        format!("data: {json}\n\n")
    }
}
