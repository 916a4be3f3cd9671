//! Border of the gateway: sockets on one side, events and effects on the other.
//!
//! [`front`] turns callers' requests into calls, one task for each; [`admin`]
//! answers operators and the balancer; [`peers`] holds the links to other
//! gateways; [`executor`] carries effects out.

mod admin;
mod events;
mod exchange;
mod executor;
mod front;
mod parse;
mod peers;
mod reply;
mod task;

use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use interface::{HttpEngineClient, HttpHostDirectory, HttpObjectStore, NodeEntry, NodeRole};
use monoio::net::TcpListener;
use net::web::{WebClient, WebLimits, serve};
use net::{
    DaemonError, DrainWatch, PendingReplies, SystemClock, drain_channel, forward_shutdown_signals,
    listen, run_loop, seed_from_system,
};
use settings::{GatewaySettings, HostSettings};
use watch::{WatchPorts, WatchTimes};

use crate::{
    GatewayAnswer, GatewayEvent, GatewayLoop, GatewayQuestion, GatewayState, GatewayTimes,
};
use admin::AdminService;
use executor::GatewayBorder;
use front::{CallerFront, FrontOptions};
use peers::{new_peers, receive_links};

/// Connections of operators and the balancer.
const ADMIN_CONNECTIONS: usize = 256;

/// Questions to the gateway's loop.
type GatewayReplies = PendingReplies<GatewayEvent, GatewayQuestion, GatewayAnswer>;

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other gateways.
    pub peers: Option<SocketAddr>,
}

/// Runs a gateway until it was told to stop and has finished its calls.
///
/// `listening` hears the addresses once all are bound.
pub async fn run(
    settings: HostSettings,
    listening: impl FnOnce(GatewayAddresses),
) -> Result<(), DaemonError> {
    let (callers, callers_at) = listen(settings.gateway.listen)?;
    let (operators, operators_at) = listen(settings.gateway.admin)?;
    let peers = settings.gateway.peers.as_ref();
    let peers = peers.map(|peers| listen(peers.listen)).transpose()?;
    let addresses = GatewayAddresses {
        callers: callers_at,
        admin: operators_at,
        peers: peers.as_ref().map(|(_, address)| *address),
    };
    let (events, inbox) = unbounded();
    forward_shutdown_signals(events.clone(), || GatewayEvent::StopRequested)?;
    listening(addresses);
    let gateway = Gateway::new(&settings, addresses, events);
    gateway.serve_operators(operators);
    gateway.serve_callers(callers);
    if let Some((listener, _)) = peers {
        gateway.serve_peers(listener);
    }
    gateway.run(inbox).await;
    Ok(())
}

/// Parts of one running gateway.
struct Gateway {
    clock: Rc<SystemClock>,
    border: Rc<GatewayBorder>,
    replies: GatewayReplies,
    state: GatewayState,
    settings: GatewaySettings,
    drain: DrainWatch,
    events: UnboundedSender<GatewayEvent>,
    client: WebClient,
}

impl Gateway {
    fn new(
        settings: &HostSettings,
        addresses: GatewayAddresses,
        events: UnboundedSender<GatewayEvent>,
    ) -> Self {
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone());
        let (switch, drain) = drain_channel();
        let ports = connect_ports(settings, &client, &clock);
        let entry = NodeEntry {
            node: settings.node.clone(),
            role: NodeRole::Gateway,
            domain: settings.domain.clone(),
            admin: addresses.admin,
        };
        interface::register_node(ports.store.clone(), clock.clone(), entry.clone());
        let replies = PendingReplies::new(events.clone(), |ask, question| GatewayEvent::Asked {
            ask,
            question,
        });
        let metrics = net::statsd_sink(settings.statsd, "bronzerun.gateway");
        let border = GatewayBorder::new(
            ports,
            clock.clone(),
            events.clone(),
            replies.clone(),
            metrics,
            switch,
            entry,
        );
        Self {
            state: new_state(settings, addresses.peers),
            settings: settings.gateway.clone(),
            border: Rc::new(border),
            clock,
            replies,
            drain,
            events,
            client,
        }
    }

    fn serve_operators(&self, listener: TcpListener) {
        let service = AdminService::new(self.replies.clone(), self.border.histograms());
        let limits = WebLimits {
            connections: ADMIN_CONNECTIONS,
            ..WebLimits::default()
        };
        // Operators may ask until the very end, so their drain never starts.
        let (switch, drain) = drain_channel();
        monoio::spawn(async move {
            serve(listener, Rc::new(service), limits, drain).await;
            drop(switch);
        });
    }

    fn serve_callers(&self, listener: TcpListener) {
        let limits = WebLimits {
            connections: self.settings.connection_limit,
            body_bytes: self.settings.body_limit,
            header_timeout: self.settings.client_timeout,
            body_timeout: self.settings.client_timeout,
            ..WebLimits::default()
        };
        let options = FrontOptions {
            limits,
            silence_limit: self.settings.silence_limit,
            client_timeout: self.settings.client_timeout,
        };
        let front = CallerFront::new(
            self.border.clone(),
            self.client.clone(),
            self.clock.clone(),
            self.events.clone(),
            self.replies.clone(),
            options,
        );
        let drain = self.drain.clone();
        let events = self.events.clone();
        monoio::spawn(async move {
            serve(listener, Rc::new(front), limits, drain).await;
            // The loop may have ended already.
            let _ = events.unbounded_send(GatewayEvent::CallersGone);
        });
    }

    fn serve_peers(&self, listener: TcpListener) {
        let links = receive_links(listener, self.clock.clone(), self.events.clone());
        monoio::spawn(links);
    }

    async fn run(self, inbox: UnboundedReceiver<GatewayEvent>) {
        let mut handler = GatewayLoop(self.state);
        let clock = self.clock.as_ref();
        run_loop(&mut handler, inbox, clock, self.border.as_ref()).await;
    }
}

fn connect_ports(
    settings: &HostSettings,
    client: &WebClient,
    clock: &Rc<SystemClock>,
) -> WatchPorts {
    let server = settings.platform;
    let store = HttpObjectStore::new(client.clone(), clock.clone(), server);
    let directory = HttpHostDirectory::new(client.clone(), clock.clone(), server);
    let engines = HttpEngineClient::new(client.clone(), clock.clone());
    WatchPorts {
        store: Rc::new(store),
        directory: Rc::new(directory),
        engines: Rc::new(engines),
    }
}

fn new_state(settings: &HostSettings, peers_at: Option<SocketAddr>) -> GatewayState {
    let gateway = &settings.gateway;
    let times = GatewayTimes {
        watch: WatchTimes::new(gateway.poll_interval),
        report_validity: gateway.report_validity,
        balancer_notice: gateway.balancer_notice,
        drain_limit: gateway.drain_limit,
    };
    let state = GatewayState::new(
        settings.node.clone(),
        settings.domain.clone(),
        times,
        seed_from_system(),
        seed_from_system(),
    );
    match gateway.peers.as_ref().zip(peers_at) {
        Some((peers, address)) => {
            let layer = new_peers(settings, peers.region.clone(), address);
            state.with_peers(layer, peers.seeds.clone())
        }
        None => state,
    }
}
