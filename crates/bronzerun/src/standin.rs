//! Entry point of the stand-ins, one a process.

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

use crate::daemon::announce;

/// Stand-ins for the platform and for endpoints, for tests and trials.
#[derive(Parser)]
#[command(name = "bronzerun-emulator", version)]
struct EmulatorOptions {
    /// Address to listen on; port 0 lets the kernel choose
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    standin: Standin,
}

#[derive(Subcommand)]
enum Standin {
    /// Object API and list of hosts
    Platform,
    /// Model engine of one host
    Engine(EngineArgs),
    /// Plain service of one host
    Plain(PlainArgs),
    /// Stream chat calls at a target and print the times of their tokens
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
    /// Where the platform listens
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
    /// Refuse orders with an old fencing token
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
    /// Time that a call takes, in milliseconds
    #[arg(long, default_value_t = 5)]
    call_ms: u64,
}

#[derive(Args)]
struct LoadArgs {
    /// Where calls go
    #[arg(long)]
    target: SocketAddr,
    /// API key
    #[arg(long)]
    key: Option<String>,
    /// Model, or service, that is called
    #[arg(long, default_value = "chat")]
    model: String,
    /// Streams open at once
    #[arg(long, default_value_t = 16)]
    streams: usize,
    /// Calls that each stream makes
    #[arg(long, default_value_t = 10)]
    calls: usize,
    /// Tokens of each answer
    #[arg(long, default_value_t = 32)]
    tokens: usize,
}

/// Runs one stand-in until it is told to stop.
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
        let drain = stop_watch()?;
        run(options, drain).await?;
        Ok::<(), Box<dyn Error>>(())
    });
    result?
}

async fn run(options: EmulatorOptions, drain: DrainWatch) -> Result<(), FleetError> {
    let listen = options.listen;
    let listening = |address: SocketAddr| announce(&json!({"listen": address}));
    match options.standin {
        Standin::Platform => emulator::run_platform(listen, drain, listening).await,
        Standin::Engine(args) => {
            let engine = args.engine_options();
            let platform = args.host.platform;
            let host = args.into_host();
            emulator::run_engine(listen, platform, host, engine, drain, listening).await
        }
        Standin::Load(args) => {
            print_report(
                &emulator::run_load(&args.into_plan(), Rc::new(SystemClock::default())).await,
            );
            Ok(())
        }
        Standin::Plain(args) => {
            let plain = PlainOptions {
                call_time: Duration::from_millis(args.call_ms),
            };
            let platform = args.host.platform;
            let host = args.into_host();
            emulator::run_plain(listen, platform, host, plain, drain, listening).await
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

fn print_report(report: &LoadResult) {
    let LoadResult {
        completed,
        failed,
        truncated,
        first_token,
        token_gap,
    } = report;
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

/// Watch whose drain starts at the first SIGTERM or SIGINT.
fn stop_watch() -> std::io::Result<DrainWatch> {
    let mut signal = watch_shutdown()?;
    let (switch, drain) = drain_channel();
    monoio::spawn(async move {
        signal.wait().await;
        switch.start();
    });
    Ok(drain)
}
