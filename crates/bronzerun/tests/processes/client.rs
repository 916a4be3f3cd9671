//! A published client library that knows nothing of bronzerun.
//!
//! Only its base address and its key are changed.

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessage, CreateChatCompletionRequest, FinishReason,
};
use futures_util::StreamExt;

use crate::support::{API_KEY, Fleet, FleetShape, expected_text};

const PROMPT: &str = "a quote for forty coat racks";
const TOKENS: u32 = 12;

#[test]
fn an_ordinary_client_is_answered() {
    let fleet = Fleet::start("client", FleetShape::default());
    let gateway = fleet.gateways[0].process.address("callers");
    let client = new_client(&gateway, API_KEY);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        ask_models(&client).await;
        ask_whole(&client).await;
        ask_streamed(&client).await;
        ask_with_wrong_key(&gateway).await;
    });
}

fn new_client(gateway: &str, key: &str) -> Client<OpenAIConfig> {
    let config = OpenAIConfig::new()
        .with_api_base(format!("http://{gateway}/v1"))
        .with_api_key(key);
    Client::with_config(config)
}

fn chat_request() -> CreateChatCompletionRequest {
    CreateChatCompletionRequest {
        model: "chat".to_owned(),
        messages: vec![ChatCompletionRequestUserMessage::from(PROMPT).into()],
        max_completion_tokens: Some(TOKENS),
        ..CreateChatCompletionRequest::default()
    }
}

fn expected_answer() -> String {
    expected_text(PROMPT, TOKENS as usize)
}

async fn ask_models(client: &Client<OpenAIConfig>) {
    let models = client.models().list().await.unwrap();
    let names: Vec<&str> = models.data.iter().map(|model| model.id.as_str()).collect();
    assert_eq!(names, ["chat"]);
}

async fn ask_whole(client: &Client<OpenAIConfig>) {
    let answer = client.chat().create(chat_request()).await.unwrap();
    let choice = &answer.choices[0];
    assert_eq!(choice.message.content, Some(expected_answer()));
    assert!(choice.finish_reason.is_some(), "{choice:?}");
}

async fn ask_streamed(client: &Client<OpenAIConfig>) {
    let mut answer = client.chat().create_stream(chat_request()).await.unwrap();
    let mut text = String::new();
    let mut parts = 0;
    let mut reason: Option<FinishReason> = None;
    while let Some(event) = answer.next().await {
        let choice = event.unwrap().choices.remove(0);
        if let Some(part) = choice.delta.content {
            text.push_str(&part);
            parts += 1;
        }
        reason = choice.finish_reason.or(reason);
    }
    assert_eq!(text, expected_answer());
    assert_eq!(parts, TOKENS);
    assert!(reason.is_some(), "the stream says why it ended");
}

async fn ask_with_wrong_key(gateway: &str) {
    let client = new_client(gateway, "unknown-key");
    let refusal = client.models().list().await.unwrap_err();
    assert!(refusal.to_string().contains("key"), "{refusal}");
}
