//! I/O of the gateway: turns requests and frames into events and executes effects.
//!
//! [`ingress`] turns callers' requests into calls, one task for each; [`admin`]
//! serves operators and the load balancer; [`peers`] manages the connections to
//! other gateways; [`executor`] executes effects.

mod admin;
mod attempts;
mod events;
mod exchange;
mod executor;
mod ingress;
mod parse;
mod peers;
mod request;
mod response;
mod task;

use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use http::HeaderName;
use interface::{HttpEngineClient, HttpHostDirectory, HttpObjectStore, NodeEntry, NodeRole};
use monoio::net::TcpListener;
use net::web::{WebClient, WebLimits, serve};
use net::{
    DaemonError, DrainWatch, PendingReplies, SystemClock, drain_channel, forward_shutdown_signals,
    listen, run_loop, seed_from_system,
};
use settings::{GatewaySettings, HostSettings};
use watch::{WatchPorts, WatchTimes};

use crate::{GatewayEvent, GatewayLoop, GatewayQuery, GatewayReply, GatewayState, GatewayTimes};
use admin::AdminService;
use executor::GatewayExecutor;
use ingress::{IngressOptions, IngressService};
use peers::{accept_connections, new_peer_state};
use response::REQUEST_HEADER;

/// Largest number of connections of operators and the load balancer.
const MAX_ADMIN_CONNECTIONS: usize = 256;

/// Pending replies of the gateway's event loop.
type GatewayReplies = PendingReplies<GatewayEvent, GatewayQuery, GatewayReply>;

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other gateways; `None` without a peer layer.
    pub peers: Option<SocketAddr>,
}

/// Runs a gateway until it has received a shutdown signal and finished its calls.
///
/// `listening` is called with the addresses once all of them are bound.
pub async fn run(
    settings: HostSettings,
    listening: impl FnOnce(GatewayAddresses),
) -> Result<(), DaemonError> {
    let (callers, callers_address) = listen(settings.gateway.listen)?;
    let (operators, admin_address) = listen(settings.gateway.admin)?;
    let peers = settings.gateway.peers.as_ref();
    let peers = peers.map(|peers| listen(peers.listen)).transpose()?;
    let addresses = GatewayAddresses {
        callers: callers_address,
        admin: admin_address,
        peers: peers.as_ref().map(|(_, address)| *address),
    };
    let (events, inbox) = unbounded();
    forward_shutdown_signals(events.clone(), || GatewayEvent::ShutdownRequested)?;
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

/// Components of a running gateway.
struct Gateway {
    clock: Rc<SystemClock>,
    executor: Rc<GatewayExecutor>,
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
        let client =
            WebClient::new(clock.clone()).with_tag(HeaderName::from_static(REQUEST_HEADER));
        let (drain_signal, drain) = drain_channel();
        let ports = connect_ports(settings, &clock);
        let entry = NodeEntry {
            node: settings.node.clone(),
            role: NodeRole::Gateway,
            domain: settings.domain.clone(),
            admin: addresses.admin,
        };
        interface::register_node(ports.store.clone(), clock.clone(), entry.clone());
        let replies = PendingReplies::new(events.clone(), |id, query| {
            GatewayEvent::QueryReceived { id, query }
        });
        let metrics = net::statsd_sink(settings.statsd, "bronzerun.gateway");
        let executor = GatewayExecutor::new(
            ports,
            clock.clone(),
            events.clone(),
            replies.clone(),
            metrics,
            drain_signal,
            entry,
        );
        Self {
            state: new_state(settings, addresses.peers),
            settings: settings.gateway.clone(),
            executor: Rc::new(executor),
            clock,
            replies,
            drain,
            events,
            client,
        }
    }

    fn serve_operators(&self, listener: TcpListener) {
        let service = AdminService::new(self.replies.clone(), self.executor.histograms());
        let limits = WebLimits {
            connections: MAX_ADMIN_CONNECTIONS,
            ..WebLimits::default()
        };
        // The admin listener serves until the process ends, so its drain never
        // starts.
        let (drain_signal, drain) = drain_channel();
        monoio::spawn(async move {
            serve(listener, Rc::new(service), limits, drain).await;
            drop(drain_signal);
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
        let options = IngressOptions {
            limits,
            silence_limit: self.settings.silence_limit,
            client_timeout: self.settings.client_timeout,
        };
        let service = IngressService::new(
            self.executor.clone(),
            self.client.clone(),
            self.clock.clone(),
            self.events.clone(),
            self.replies.clone(),
            options,
        );
        let drain = self.drain.clone();
        let events = self.events.clone();
        monoio::spawn(async move {
            serve(listener, Rc::new(service), limits, drain).await;
            // The loop may have ended already.
            let _ = events.unbounded_send(GatewayEvent::CallersDisconnected);
        });
    }

    fn serve_peers(&self, listener: TcpListener) {
        let connections = accept_connections(listener, self.clock.clone(), self.events.clone());
        monoio::spawn(connections);
    }

    async fn run(self, inbox: UnboundedReceiver<GatewayEvent>) {
        let mut handler = GatewayLoop(self.state);
        let clock = self.clock.as_ref();
        run_loop(&mut handler, inbox, clock, self.executor.as_ref()).await;
    }
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

fn new_state(settings: &HostSettings, peers_address: Option<SocketAddr>) -> GatewayState {
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
    match gateway.peers.as_ref().zip(peers_address) {
        Some((peers, address)) => {
            let layer = new_peer_state(settings, peers.region.clone(), address);
            state.with_peers(layer, peers.seeds.clone())
        }
        None => state,
    }
}
