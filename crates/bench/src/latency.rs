//! What the gateway adds to the first token and between tokens.
//!
//! Starts the stand-ins and both daemons as processes, then streams the same
//! calls straight to an engine and through the gateway, in turns.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use base::{ClockSource, ClockTime};
use clap::Args;
use document::commands::{EditOutcome, SectionEdit, edit_section};
use document::{Document, GoodSections, KeyDigest};
use emulator::{LoadPlan, LoadReport, run_load};
use net::SystemClock;
use net::web::{CollectOutcome, WebClient, full_body};
use platform::HttpObjectStore;
use platform::keys::document_key;
use store::{ObjectChange, ObjectStore, UpdateOutcome};

/// API key of the measurement's caller.
const KEY: &str = "latency-key";
/// Engines of the only group.
const GROUP_SIZE: usize = 4;
/// Time in which the group must serve.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Options of the measurement.
#[derive(Args)]
pub struct LatencyOptions {
    /// Streams open at once.
    #[arg(long, default_value_t = 32)]
    streams: usize,
    /// Calls that each stream makes in one turn.
    #[arg(long, default_value_t = 4)]
    calls: usize,
    /// Tokens of each answer.
    #[arg(long, default_value_t = 64)]
    tokens: usize,
    /// Turns of each way.
    #[arg(long, default_value_t = 3)]
    turns: usize,
    /// Time between tokens at the engine, in milliseconds.
    #[arg(long, default_value_t = 20)]
    token_ms: u64,
}

/// Runs it and prints its table.
pub fn run(options: &LatencyOptions) {
    let outcome = net::block_on(measure(options)).expect("the event loop starts");
    if let Err(message) = outcome {
        eprintln!("{message}");
        std::process::exit(1);
    }
}

async fn measure(options: &LatencyOptions) -> Result<(), String> {
    let fleet = ProcessFleet::start(options).await?;
    println!(
        "{} streams, {} calls of {} tokens each a turn, {} ms between tokens at the engine",
        options.streams, options.calls, options.tokens, options.token_ms,
    );
    println!("turn  way      whole  cut  first p50 us  first p95 us  gap p50 us  gap p95 us");
    for turn in 1..=options.turns {
        for (way, target) in [("direct", fleet.engine), ("gateway", fleet.gateway)] {
            let plan = LoadPlan {
                target,
                key: Some(KEY.to_owned()),
                model: "chat".to_owned(),
                streams: options.streams,
                calls: options.calls,
                tokens: options.tokens,
            };
            let report = run_load(&plan, fleet.clock.clone()).await;
            print_row(turn, way, &report);
        }
    }
    Ok(())
}

fn print_row(turn: usize, way: &str, report: &LoadReport) {
    let first = &report.first_token;
    let gap = &report.token_gap;
    println!(
        "{turn:<5} {way:<8} {:>5}  {:>3}  {:>12}  {:>12}  {:>10}  {:>10}",
        report.whole,
        report.cut,
        first.value_at_quantile(0.50),
        first.value_at_quantile(0.95),
        gap.value_at_quantile(0.50),
        gap.value_at_quantile(0.95),
    );
}

/// Processes of the measurement; they end with it.
struct ProcessFleet {
    children: Vec<Child>,
    engine: SocketAddr,
    gateway: SocketAddr,
    clock: Rc<SystemClock>,
}

impl ProcessFleet {
    async fn start(options: &LatencyOptions) -> Result<Self, String> {
        let clock = Rc::new(SystemClock::default());
        let mut children = Vec::new();
        let platform = start_process(&mut children, "bronzerun-emulator", &["platform"], "listen")?;
        let mut engines = Vec::new();
        for index in 1..=GROUP_SIZE {
            let args = engine_args(index, platform, options.token_ms);
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            engines.push(start_process(
                &mut children,
                "bronzerun-emulator",
                &args,
                "listen",
            )?);
        }
        put_document(platform, &clock).await?;
        let settings = write_settings(platform)?;
        let path = settings.to_string_lossy().into_owned();
        let args = ["--settings", path.as_str()];
        start_process(&mut children, "bronzerun-controller", &args, "admin")?;
        let gateway = start_process(&mut children, "bronzerun-gateway", &args, "callers")?;
        let fleet = Self {
            children,
            engine: engines[0],
            gateway,
            clock,
        };
        fleet.wait_until_serving().await?;
        Ok(fleet)
    }

    async fn wait_until_serving(&self) -> Result<(), String> {
        let client = WebClient::new(self.clock.clone());
        let deadline = self.clock.now() + START_LIMIT;
        while self.clock.now() < deadline {
            if is_serving(&client, self.gateway, deadline).await {
                return Ok(());
            }
            monoio::time::sleep(Duration::from_millis(200)).await;
        }
        Err("the group did not serve in time: see the daemons' logs above".to_owned())
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            // A process that has ended already is as good.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn is_serving(client: &WebClient, gateway: SocketAddr, deadline: ClockTime) -> bool {
    let body = r#"{"model":"chat","max_tokens":1,"prompt":"ready?"}"#;
    let request = http::Request::post("/v1/completions")
        .header("authorization", format!("Bearer {KEY}"))
        .body(full_body(body));
    let Ok(request) = request else {
        return false;
    };
    let outcome = client.collect(gateway, request, 65_536, deadline).await;
    matches!(outcome, CollectOutcome::Answered(parts, _) if parts.status.is_success())
}

fn engine_args(index: usize, platform: SocketAddr, token_ms: u64) -> Vec<String> {
    let words = format!(
        "engine --host h{index} --domain d1 --fabric f1 --platform {platform} \
         --checks-fencing --token-ms {token_ms}"
    );
    words.split_whitespace().map(str::to_owned).collect()
}

/// Starts a program beside this one and reads one address of its first line.
fn start_process(
    children: &mut Vec<Child>,
    program: &str,
    args: &[&str],
    address: &str,
) -> Result<SocketAddr, String> {
    let own = std::env::current_exe().map_err(|fault| fault.to_string())?;
    let path = own.with_file_name(program);
    let hint = "build the whole workspace first: cargo build --release --workspace";
    let mut child = Command::new(&path)
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|fault| format!("{}: {fault}; {hint}", path.display()))?;
    let mut line = String::new();
    let read = child
        .stdout
        .take()
        .map(|stdout| BufReader::new(stdout).read_line(&mut line));
    children.push(child);
    let parsed: serde_json::Value = match read {
        Some(Ok(_)) => serde_json::from_str(&line).map_err(|fault| fault.to_string())?,
        _ => return Err(format!("{program} said nothing")),
    };
    let text = parsed[address].as_str().unwrap_or("");
    text.parse()
        .map_err(|_| format!("{program} gave no '{address}': {line}"))
}

fn write_settings(platform: SocketAddr) -> Result<PathBuf, String> {
    let text = format!(
        "node: entry-1\nfailure_domain: d1\nplatform: {platform}\nlog_level: warn\n\
         gateway:\n  listen: 127.0.0.1:0\n  admin: 127.0.0.1:0\n\
         controller:\n  admin: 127.0.0.1:0\n"
    );
    let name = format!("bronzerun-latency-{}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).map_err(|fault| format!("{}: {fault}", path.display()))?;
    Ok(path)
}

async fn put_document(platform: SocketAddr, clock: &Rc<SystemClock>) -> Result<(), String> {
    let client = WebClient::new(clock.clone());
    let store = HttpObjectStore::new(client, clock.clone(), platform);
    let outcome = store.update(ObjectChange {
        key: document_key(),
        expected: base::ObjectVersion(0),
        value: build_document()?.encode(),
    });
    match outcome.await {
        UpdateOutcome::Applied(_) => Ok(()),
        outcome => Err(format!("the document was not written: {outcome:?}")),
    }
}

fn build_document() -> Result<Document, String> {
    let digest = KeyDigest::of_key(KEY).to_hex();
    let text = format!(
        "deployments:\n  llm: {{model: m-1, group_size: {GROUP_SIZE}, groups: 1, \
         checks_fencing: true, stream_limit: 256}}\n\
         services:\n  chat: {{deployment: llm}}\n\
         workspaces:\n  w: {{services: [chat], call_limit: 256, \
         callers: {{c: {{key_sha256: {digest}}}}}}}\n"
    );
    let fault = |error: base::NameError| error.to_string();
    let edit = SectionEdit {
        section: base::SectionName::new("all").map_err(fault)?,
        owner: base::TeamName::new("bench").map_err(fault)?,
        expected: base::SectionRevision::default(),
        text: text.into(),
        nonce: base::WriteNonce::default(),
    };
    let mut document = Document::default();
    match edit_section(&mut document, &GoodSections::default(), &edit) {
        EditOutcome::Edited(_) => Ok(document),
        outcome => Err(format!("the document is faulty: {outcome:?}")),
    }
}
