//! I/O of the controller: serves operators and executes effects.

mod admin;
mod executor;

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::unbounded;
use groups::GroupSettings;
use interface::{HttpEngineClient, HttpHostDirectory, HttpObjectStore, NodeEntry, NodeRole};
use monoio::net::TcpListener;
use net::web::{WebClient, WebLimits, serve};
use net::{
    DaemonError, PendingReplies, SystemClock, drain_channel, forward_shutdown_signals, listen,
    run_loop, seed_from_system,
};
use settings::HostSettings;
use watch::{WatchPorts, WatchTimes};

use crate::{ControllerEvent, ControllerLoop, ControllerState, ControllerStatus, ControllerTimes};
use admin::AdminService;
use executor::ControllerExecutor;

/// Longest time that a shutdown waits for leases to be released.
const RELEASE_LIMIT: Duration = Duration::from_secs(10);
/// Largest number of connections of operators.
const MAX_ADMIN_CONNECTIONS: usize = 64;

/// Pending replies of the controller's event loop.
type ControllerReplies = PendingReplies<ControllerEvent, (), Box<ControllerStatus>>;

/// Runs a controller until it has received a shutdown signal and released its
/// leases.
///
/// `listening` is called with the admin address once it is bound.
pub async fn run(
    settings: HostSettings,
    listening: impl FnOnce(SocketAddr),
) -> Result<(), DaemonError> {
    let (listener, admin) = listen(settings.controller.admin)?;
    let (events, inbox) = unbounded();
    forward_shutdown_signals(events.clone(), || ControllerEvent::ShutdownRequested)?;
    listening(admin);
    let clock = Rc::new(SystemClock::default());
    let ports = connect_ports(&settings, &clock);
    let entry = NodeEntry {
        node: settings.node.clone(),
        role: NodeRole::Controller,
        domain: settings.domain.clone(),
        admin,
    };
    interface::register_node(ports.store.clone(), clock.clone(), entry.clone());
    let replies = ControllerReplies::new(events.clone(), |id, ()| {
        ControllerEvent::StatusRequested { id }
    });
    serve_operators(listener, replies.clone());
    let executor = ControllerExecutor::new(ports, clock.clone(), events, replies, entry);
    let mut handler = ControllerLoop(new_state(&settings));
    run_loop(&mut handler, inbox, clock.as_ref(), &executor).await;
    Ok(())
}

fn serve_operators(listener: TcpListener, replies: ControllerReplies) {
    let limits = WebLimits {
        connections: MAX_ADMIN_CONNECTIONS,
        ..WebLimits::default()
    };
    // The admin listener serves until the process ends, so its drain never starts.
    let (drain_signal, drain) = drain_channel();
    monoio::spawn(async move {
        serve(listener, Rc::new(AdminService::new(replies)), limits, drain).await;
        drop(drain_signal);
    });
}

fn connect_ports(settings: &HostSettings, clock: &Rc<SystemClock>) -> WatchPorts {
    // The platform writes one answer to each request.
    let client = WebClient::new(clock.clone()).with_strict_order();
    let server = settings.platform;
    let store = HttpObjectStore::new(client.clone(), clock.clone(), server);
    let directory = HttpHostDirectory::new(client, clock.clone(), server);
    let engines = HttpEngineClient::new(clock.clone());
    WatchPorts {
        store: Rc::new(store),
        directory: Rc::new(directory),
        engines: Rc::new(engines),
    }
}

fn new_state(settings: &HostSettings) -> ControllerState {
    let times = ControllerTimes {
        watch: WatchTimes::new(settings.controller.poll_interval),
        release_limit: RELEASE_LIMIT,
    };
    ControllerState::new(
        settings.node.clone(),
        settings.domain.clone(),
        times,
        GroupSettings::default(),
        seed_from_system(),
        seed_from_system(),
    )
}
