//! Entry point of the emulator: one emulated system or load run per process.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use base::{DomainName, FabricName, HostName, ServiceName};
use clap::{Args, Parser, Subcommand};
use emulator::engine::EngineOptions;
use emulator::plain::PlainOptions;
use emulator::{FleetError, FleetHost, LoadPlan, LoadResult};
use net::{DrainWatch, SystemClock, drain_channel, watch_shutdown};
use serde_json::json;

use crate::daemon::print_addresses;

/// Emulates the platform and endpoints, for tests and experiments.
#[derive(Parser)]
#[command(name = "bronzerun-emulator", version)]
struct EmulatorOptions {
    /// Listen address; with port 0 the kernel chooses the port
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    command: EmulatorCommand,
}

#[derive(Subcommand)]
enum EmulatorCommand {
    /// Emulate the platform: object API and list of hosts
    Platform,
    /// Emulate the model engine of one host
    Engine(EngineArgs),
    /// Emulate the plain service of one host
    Plain(PlainArgs),
    /// Send streaming chat calls to a target and print token latencies
    Load(LoadArgs),
}

#[derive(Args)]
struct HostArgs {
    /// Name of the host
    #[arg(long)]
    host: HostName,
    /// Failure domain of the host
    #[arg(long)]
    domain: DomainName,
    /// Address of the platform
    #[arg(long)]
    platform: SocketAddr,
}

#[derive(Args)]
struct EngineArgs {
    #[command(flatten)]
    host: HostArgs,
    /// Fabric domain of the host
    #[arg(long)]
    fabric: FabricName,
    /// Reject orders that carry an outdated fencing token
    #[arg(long)]
    checks_fencing: bool,
    /// Time to load a model, in milliseconds
    #[arg(long, default_value_t = 200)]
    load_ms: u64,
    /// Time before the first token, in milliseconds
    #[arg(long, default_value_t = 20)]
    prefill_ms: u64,
    /// Time between tokens, in milliseconds
    #[arg(long, default_value_t = 10)]
    token_ms: u64,
}

#[derive(Args)]
struct PlainArgs {
    #[command(flatten)]
    host: HostArgs,
    /// Service that the host runs
    #[arg(long)]
    service: ServiceName,
    /// Duration of a call, in milliseconds
    #[arg(long, default_value_t = 5)]
    call_ms: u64,
}

#[derive(Args)]
struct LoadArgs {
    /// Address that calls are sent to
    #[arg(long)]
    target: SocketAddr,
    /// API key
    #[arg(long)]
    key: Option<String>,
    /// Model or service to call
    #[arg(long, default_value = "chat")]
    model: String,
    /// Number of concurrent streams
    #[arg(long, default_value_t = 16)]
    streams: usize,
    /// Calls made one after another by each stream
    #[arg(long, default_value_t = 10)]
    calls: usize,
    /// Tokens requested for each answer
    #[arg(long, default_value_t = 32)]
    tokens: usize,
}

/// Runs one emulated system until it receives SIGTERM or SIGINT, or one load run until it is done.
pub fn run_emulator() -> ExitCode {
    let options = EmulatorOptions::parse();
    match start(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: EmulatorOptions) -> Result<(), Box<dyn Error>> {
    let result = net::block_on(async move {
        let drain = watch_drain()?;
        run(options, drain).await?;
        Ok::<(), Box<dyn Error>>(())
    });
    result?
}

async fn run(options: EmulatorOptions, drain: DrainWatch) -> Result<(), FleetError> {
    let listen = options.listen;
    let on_listening = |address: SocketAddr| print_addresses(&json!({"listen": address}));
    match options.command {
        EmulatorCommand::Platform => emulator::run_platform(listen, drain, on_listening).await,
        EmulatorCommand::Engine(args) => {
            let engine = args.engine_options();
            let platform = args.host.platform;
            let host = args.into_host();
            emulator::run_engine(listen, platform, host, engine, drain, on_listening).await
        }
        EmulatorCommand::Load(args) => {
            print_result(
                &emulator::run_load(&args.into_plan(), Rc::new(SystemClock::default())).await,
            );
            Ok(())
        }
        EmulatorCommand::Plain(args) => {
            let plain = PlainOptions {
                call_time: Duration::from_millis(args.call_ms),
            };
            let platform = args.host.platform;
            let host = args.into_host();
            emulator::run_plain(listen, platform, host, plain, drain, on_listening).await
        }
    }
}

impl EngineArgs {
    fn engine_options(&self) -> EngineOptions {
        EngineOptions {
            checks_fencing: self.checks_fencing,
            load_time: Duration::from_millis(self.load_ms),
            prefill_time: Duration::from_millis(self.prefill_ms),
            token_time: Duration::from_millis(self.token_ms),
        }
    }

    fn into_host(self) -> FleetHost {
        FleetHost {
            host: self.host.host,
            domain: self.host.domain,
            fabric: Some(self.fabric),
            service: None,
            accelerators: 8,
        }
    }
}

impl LoadArgs {
    fn into_plan(self) -> LoadPlan {
        LoadPlan {
            target: self.target,
            key: self.key,
            model: self.model,
            streams: self.streams,
            calls: self.calls,
            tokens: self.tokens,
        }
    }
}

fn print_result(result: &LoadResult) {
    let LoadResult {
        completed,
        failed,
        truncated,
        first_token,
        token_gap,
    } = result;
    println!("whole {completed}, refused {failed}, cut {truncated}");
    for (name, histogram) in [("first token", first_token), ("between tokens", token_gap)] {
        println!(
            "{name}: p50 {} us, p95 {} us, p99 {} us",
            histogram.value_at_quantile(0.50),
            histogram.value_at_quantile(0.95),
            histogram.value_at_quantile(0.99),
        );
    }
}

impl PlainArgs {
    fn into_host(self) -> FleetHost {
        FleetHost {
            host: self.host.host,
            domain: self.host.domain,
            fabric: None,
            service: Some(self.service),
            accelerators: 0,
        }
    }
}

/// Returns a watch of a drain that starts at the first SIGTERM or SIGINT.
fn watch_drain() -> std::io::Result<DrainWatch> {
    let mut shutdown = watch_shutdown()?;
    let (drain_signal, drain) = drain_channel();
    monoio::spawn(async move {
        shutdown.wait().await;
        drain_signal.start();
    });
    Ok(drain)
}
