//! A published OpenAI client library against the gateway, configured only with the
//! base URL and the API key.

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessage, CreateChatCompletionRequest, FinishReason,
};
use futures_util::StreamExt;

use crate::support::{API_KEY, Fleet, FleetSpec, expected_text};

const PROMPT: &str = "a quote for forty coat racks";
const TOKENS: u32 = 12;

#[test]
fn a_published_openai_client_works() {
    let fleet = Fleet::start("client", FleetSpec::default());
    let gateway = fleet.gateways[0].process.address("callers");
    let client = new_client(&gateway, API_KEY);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        check_models(&client).await;
        check_completion(&client).await;
        check_stream(&client).await;
        check_unknown_key(&gateway).await;
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

fn expected_content() -> String {
    expected_text(PROMPT, TOKENS as usize)
}

async fn check_models(client: &Client<OpenAIConfig>) {
    let models = client.models().list().await.unwrap();
    let names: Vec<&str> = models.data.iter().map(|model| model.id.as_str()).collect();
    assert_eq!(names, ["chat"]);
}

async fn check_completion(client: &Client<OpenAIConfig>) {
    let response = client.chat().create(chat_request()).await.unwrap();
    let choice = &response.choices[0];
    assert_eq!(choice.message.content, Some(expected_content()));
    assert!(choice.finish_reason.is_some(), "{choice:?}");
}

async fn check_stream(client: &Client<OpenAIConfig>) {
    let mut events = client.chat().create_stream(chat_request()).await.unwrap();
    let mut text = String::new();
    let mut parts = 0;
    let mut reason: Option<FinishReason> = None;
    while let Some(event) = events.next().await {
        let choice = event.unwrap().choices.remove(0);
        if let Some(part) = choice.delta.content {
            text.push_str(&part);
            parts += 1;
        }
        reason = choice.finish_reason.or(reason);
    }
    assert_eq!(text, expected_content());
    assert_eq!(parts, TOKENS);
    assert!(reason.is_some(), "the stream has no finish reason");
}

async fn check_unknown_key(gateway: &str) {
    let client = new_client(gateway, "unknown-key");
    let error = client.models().list().await.unwrap_err();
    assert!(error.to_string().contains("key"), "{error}");
}
