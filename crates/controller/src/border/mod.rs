//! Border of the controller: sockets on one side, events and effects on the other.

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
use executor::ControllerBorder;

/// Longest time that a stop waits for leases to be given back.
const RELEASE_LIMIT: Duration = Duration::from_secs(10);
/// Connections of operators.
const ADMIN_CONNECTIONS: usize = 64;

/// Questions to the controller's loop.
type ControllerReplies = PendingReplies<ControllerEvent, (), Box<ControllerStatus>>;

/// Runs a controller until it was told to stop and has given its leases back.
///
/// `listening` hears the address of operators once it is bound.
pub async fn run(
    settings: HostSettings,
    listening: impl FnOnce(SocketAddr),
) -> Result<(), DaemonError> {
    let (listener, admin) = listen(settings.controller.admin)?;
    let (events, inbox) = unbounded();
    forward_shutdown_signals(events.clone(), || ControllerEvent::StopRequested)?;
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
    let replies = ControllerReplies::new(events.clone(), |ask, ()| ControllerEvent::StatusAsked {
        ask,
    });
    serve_operators(listener, replies.clone());
    let border = ControllerBorder::new(ports, clock.clone(), events, replies, entry);
    let mut handler = ControllerLoop(new_state(&settings));
    run_loop(&mut handler, inbox, clock.as_ref(), &border).await;
    Ok(())
}

fn serve_operators(listener: TcpListener, replies: ControllerReplies) {
    let limits = WebLimits {
        connections: ADMIN_CONNECTIONS,
        ..WebLimits::default()
    };
    // Operators may ask until the very end, so their drain never starts.
    let (switch, drain) = drain_channel();
    monoio::spawn(async move {
        serve(listener, Rc::new(AdminService::new(replies)), limits, drain).await;
        drop(switch);
    });
}

fn connect_ports(settings: &HostSettings, clock: &Rc<SystemClock>) -> WatchPorts {
    let client = WebClient::new(clock.clone());
    let server = settings.platform;
    let store = HttpObjectStore::new(client.clone(), clock.clone(), server);
    let directory = HttpHostDirectory::new(client.clone(), clock.clone(), server);
    let engines = HttpEngineClient::new(client, clock.clone());
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
