//! Entry points of the two daemons of an entry host.

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
use platform::{HeaderDialect, HttpEndpoints, HttpPlatformStore, SettingsFile};
use serde_json::json;
use settings::{HostSettings, parse_settings};

/// Time in which a connection to the store or to an endpoint must be made.
const PLATFORM_CONNECT_SPAN: Duration = Duration::from_millis(300);

/// Options of a daemon.
#[derive(Parser)]
#[command(version)]
struct DaemonOptions {
    /// Settings of this entry host, in YAML
    #[arg(long, value_name = "FILE", default_value = "bronzerun.yaml")]
    settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

/// Runs the gateway until it is told to stop.
pub fn run_gateway() -> ExitCode {
    run_daemon(|settings| {
        let gateway = gateway::run(settings, announce_gateway);
        Ok(net::block_on(gateway)??)
    })
}

/// Runs the controller until it is told to stop.
pub fn run_controller() -> ExitCode {
    run_daemon(|settings| {
        let controller = controller::run(settings, |admin| announce(&json!({"admin": admin})));
        Ok(net::block_on(controller)??)
    })
}

/// Runs the node of the users' platform until it is told to stop.
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
    let client = WebClient::new(clock.clone()).with_connect_timeout(PLATFORM_CONNECT_SPAN);
    let store = HttpPlatformStore::new(client.clone(), clock.clone(), settings.store);
    edge::border::run_edge(EdgeParts {
        settings,
        source: Rc::new(SettingsFile),
        clock,
        store: Rc::new(store),
        endpoints: Rc::new(HttpEndpoints::new(client)),
        header_codec: Rc::new(HeaderDialect),
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
    let text = fs::read_to_string(&options.settings).map_err(|fault| format!("{path}: {fault}"))?;
    let settings = parse_settings(&text).map_err(|fault| format!("{path}: {fault}"))?;
    if options.check {
        println!("{path}: the settings are good");
        return Ok(());
    }
    net::init_stderr_logs(settings.log_level)?;
    run(settings)
}

fn announce_gateway(addresses: GatewayAddresses) {
    let GatewayAddresses {
        callers,
        admin,
        peers,
    } = addresses;
    let mut line = json!({"callers": callers, "admin": admin});
    if let Some(peers) = peers {
        line["peers"] = json!(peers);
    }
    announce(&line);
}

/// Prints where a daemon listens, for whoever started it on ports of the kernel's choice.
pub(crate) fn announce(addresses: &serde_json::Value) {
    println!("{addresses}");
}
