//! The whole system in one process on the loopback interface, with an emulated
//! platform and emulated hosts.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use base::{DomainName, FabricName, HostName, NameError, ServiceName, TeamName, WriteNonce};
use clap::Parser;
use document::commands::{EditOutcome, SectionEdit, edit_section};
use document::{Document, GoodSections, KeyDigest};
use emulator::engine::EngineOptions;
use emulator::plain::PlainOptions;
use emulator::{FleetHost, FleetPlan, start_fleet};
use futures_util::future::join;
use interface::keys::document_key;
use log::LevelFilter;
use net::drain_channel;
use settings::{HostSettings, parse_settings};

use crate::daemon::print_addresses;

/// API key of the demo's only caller.
const DEMO_KEY: &str = "demo-key";
/// Engine hosts in each fabric domain.
const ENGINES_PER_FABRIC: usize = 5;
const PLAIN_HOSTS: usize = 3;

/// Runs the whole system in one process with emulated hosts, to try it out.
#[derive(Parser)]
#[command(name = "bronzerun-demo", version)]
struct DemoOptions {
    /// Listen address for API callers
    #[arg(long, default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    /// Listen address for operators
    #[arg(long, default_value = "127.0.0.1:8081")]
    admin: SocketAddr,
    /// Listen address of the emulated platform
    #[arg(long, default_value = "127.0.0.1:8079")]
    platform: SocketAddr,
    /// Minimum log level
    #[arg(long, default_value = "warn")]
    log_level: LevelFilter,
}

/// Runs the demo until it receives SIGTERM or SIGINT.
pub fn run_demo() -> ExitCode {
    let options = DemoOptions::parse();
    match start(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &DemoOptions) -> Result<(), Box<dyn Error>> {
    net::init_stderr_logs(options.log_level)?;
    net::block_on(run(options))?
}

async fn run(options: &DemoOptions) -> Result<(), Box<dyn Error>> {
    // The emulated platform stops last: the daemons release their leases there when they stop.
    let (drain_signal, drain) = drain_channel();
    let (platform_address, platform) = start_fleet(options.platform, &demo_plan()?, &drain)?;
    platform.put_object(&document_key(), &demo_document()?.encode());
    let settings = demo_settings(options, platform_address)?;
    let gateway = gateway::run(settings.clone(), |addresses| {
        let addresses = serde_json::json!({
            "callers": addresses.callers, "admin": addresses.admin,
            "platform": platform_address, "key": DEMO_KEY,
        });
        print_addresses(&addresses);
    });
    let controller = controller::run(settings, |_| {});
    let (gateway, controller) = join(gateway, controller).await;
    drain_signal.start();
    gateway?;
    controller?;
    Ok(())
}

fn demo_settings(
    options: &DemoOptions,
    platform: SocketAddr,
) -> Result<HostSettings, Box<dyn Error>> {
    let text = format!(
        "node: entry-1\n\
         failure_domain: kozep-a\n\
         platform: {platform}\n\
         gateway:\n\
         \x20 listen: {}\n\
         \x20 admin: {}\n\
         \x20 balancer_notice_ms: 100\n\
         controller:\n\
         \x20 admin: 127.0.0.1:0\n",
        options.listen, options.admin,
    );
    Ok(parse_settings(&text)?)
}

fn demo_plan() -> Result<FleetPlan, NameError> {
    let mut hosts = Vec::new();
    for domain in ["kozep-a", "kozep-b"] {
        for index in 1..=ENGINES_PER_FABRIC {
            hosts.push(FleetHost {
                host: HostName::new(&format!("{domain}-{index}"))?,
                domain: DomainName::new(domain)?,
                fabric: Some(FabricName::new(&format!("{domain}-fabric"))?),
                service: None,
                accelerators: 8,
            });
        }
    }
    for index in 1..=PLAIN_HOSTS {
        hosts.push(FleetHost {
            host: HostName::new(&format!("foglalas-{index}"))?,
            domain: DomainName::new("kozep-a")?,
            fabric: None,
            service: Some(ServiceName::new("foglalas")?),
            accelerators: 0,
        });
    }
    Ok(FleetPlan {
        hosts,
        engine: EngineOptions {
            checks_fencing: true,
            load_time: Duration::from_millis(300),
            prefill_time: Duration::from_millis(80),
            token_time: Duration::from_millis(30),
        },
        plain: PlainOptions {
            call_time: Duration::from_millis(5),
        },
    })
}

fn demo_document() -> Result<Document, Box<dyn Error>> {
    let digest = KeyDigest::of_key(DEMO_KEY).to_hex();
    let models = "\
        deployments:\n\
        \x20 fogas-llm:\n\
        \x20   model: fogas-quotes-1\n\
        \x20   group_size: 4\n\
        \x20   groups: 2\n\
        \x20   checks_fencing: true\n\
        services:\n\
        \x20 chat:\n\
        \x20   deployment: fogas-llm\n\
        \x20 foglalas:\n\
        \x20   plain:\n\
        \x20     non_idempotent:\n\
        \x20       - POST /charges\n";
    let weddings = format!(
        "workspaces:\n\
         \x20 weddings:\n\
         \x20   services: [chat, foglalas]\n\
         \x20   callers:\n\
         \x20     desk:\n\
         \x20       key_sha256: {digest}\n",
    );
    let mut document = Document::default();
    add_section(&mut document, "models", "llm-team", models)?;
    add_section(&mut document, "weddings", "booking-team", &weddings)?;
    Ok(document)
}

fn add_section(
    document: &mut Document,
    section: &str,
    owner: &str,
    text: &str,
) -> Result<(), Box<dyn Error>> {
    let edit = SectionEdit {
        section: base::SectionName::new(section)?,
        owner: TeamName::new(owner)?,
        expected: base::SectionRevision::default(),
        text: text.into(),
        nonce: WriteNonce::default(),
    };
    match edit_section(document, &GoodSections::default(), &edit) {
        EditOutcome::Edited(_) => Ok(()),
        outcome => Err(format!("demo section '{section}' was rejected: {outcome:?}").into()),
    }
}
