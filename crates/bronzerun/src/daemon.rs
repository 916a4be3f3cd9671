//! Entry points of the daemons: gateway and controller of an entry host, and the edge node.

use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use base::prelude::*;
use clap::Parser;
use edge::border::EdgeParts;
use gateway::GatewayAddresses;
use net::SystemClock;
use net::web::WebClient;
use platform::{HttpEndpointClient, HttpPlatformStore, PlatformHeaders, SettingsFile};
use serde_json::json;
use settings::{HostSettings, parse_settings};

/// Connect timeout for the store and for endpoints.
const PLATFORM_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs a daemon of an entry host.
#[derive(Parser)]
#[command(version)]
struct DaemonOptions {
    /// Settings file of this entry host, in YAML
    #[arg(long, value_name = "FILE", default_value = "bronzerun.yaml")]
    settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

/// Runs the gateway until it receives SIGTERM or SIGINT.
pub fn run_gateway() -> ExitCode {
    run_daemon(|settings| {
        let gateway = gateway::run(settings, print_gateway_addresses);
        Ok(net::block_on(gateway)??)
    })
}

/// Runs the controller until it receives SIGTERM or SIGINT.
pub fn run_controller() -> ExitCode {
    run_daemon(|settings| {
        let controller =
            controller::run(settings, |admin| print_addresses(&json!({"admin": admin})));
        Ok(net::block_on(controller)??)
    })
}

/// Runs the edge node of the users' platform until it receives SIGTERM or SIGINT.
pub fn run_edge() -> ExitCode {
    match start_edge() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start_edge() -> Result<(), Box<dyn Error>> {
    net::init_stdout_logs(log::LevelFilter::Info)?;
    let settings = platform::load_settings()?;
    let clock: Rc<dyn ClockSource> = Rc::new(SystemClock::default());
    let new_client =
        || WebClient::new(clock.clone()).with_connect_timeout(PLATFORM_CONNECT_TIMEOUT);
    let store = HttpPlatformStore::new(new_client(), clock.clone(), settings.store);
    let endpoints = HttpEndpointClient::new(new_client());
    edge::border::run_edge(EdgeParts {
        settings,
        source: Rc::new(SettingsFile),
        clock,
        store: Rc::new(store),
        endpoints: Rc::new(endpoints),
        header_codec: Rc::new(PlatformHeaders),
    })?;
    Ok(())
}

fn run_daemon(run: impl FnOnce(HostSettings) -> Result<(), Box<dyn Error>>) -> ExitCode {
    match start_daemon(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start_daemon(
    run: impl FnOnce(HostSettings) -> Result<(), Box<dyn Error>>,
) -> Result<(), Box<dyn Error>> {
    let options = DaemonOptions::parse();
    let path = options.settings.display();
    let text = fs::read_to_string(&options.settings).map_err(|error| format!("{path}: {error}"))?;
    let settings = parse_settings(&text).map_err(|error| format!("{path}: {error}"))?;
    if options.check {
        println!("{path}: settings are valid");
        return Ok(());
    }
    net::init_stderr_logs(settings.log_level)?;
    run(settings)
}

fn print_gateway_addresses(addresses: GatewayAddresses) {
    let GatewayAddresses {
        callers,
        admin,
        peers,
    } = addresses;
    let mut line = json!({"callers": callers, "admin": admin});
    if let Some(peers) = peers {
        line["peers"] = json!(peers);
    }
    print_addresses(&line);
}

/// Prints the listen addresses as one line of JSON, for a parent process that had the kernel
/// choose the ports.
pub(crate) fn print_addresses(addresses: &serde_json::Value) {
    println!("{addresses}");
}
