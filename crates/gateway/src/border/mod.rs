//! Border of the gateway: sockets on one side, events and effects on the other.
//!
//! [`front`] turns callers' requests into calls, one task for each; [`admin`]
//! answers operators and the balancer; [`carrier`] carries effects out.

mod admin;
mod carrier;
mod events;
mod exchange;
mod front;
mod parse;
mod reply;
mod task;

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use monoio::net::TcpListener;
use net::web::{WebClient, WebLimits, serve};
use net::{
    DaemonError, DrainWatch, QuestionDesk, SystemClock, drain_pair, forward_stops, listen,
    run_loop, seed_from_system,
};
use platform::{HttpEngines, HttpHostDirectory, HttpObjectStore, NodeEntry, NodeRole};
use settings::{GatewaySettings, HostSettings};
use watch::{WatchPorts, WatchTimes};

use crate::{
    GatewayAnswer, GatewayEvent, GatewayLoop, GatewayQuestion, GatewayState, GatewayTimes,
};
use admin::AdminService;
use carrier::GatewayBorder;
use front::{CallerFront, FrontOptions};

/// Interval between two reads of the fabric domains, or of the hosts.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait of a watch.
const WATCH_SPAN: Duration = Duration::from_secs(30);
/// Connections of operators and the balancer.
const ADMIN_CONNECTIONS: usize = 256;

/// Questions to the gateway's loop.
type GatewayDesk = QuestionDesk<GatewayEvent, GatewayQuestion, GatewayAnswer>;

/// Runs a gateway until it was told to stop and has finished its calls.
///
/// `listening` hears the addresses of callers and operators once both are bound.
pub async fn run(
    settings: HostSettings,
    listening: impl FnOnce(SocketAddr, SocketAddr),
) -> Result<(), DaemonError> {
    let (callers, callers_at) = listen(settings.gateway.listen)?;
    let (operators, operators_at) = listen(settings.gateway.admin)?;
    let (events, inbox) = unbounded();
    forward_stops(events.clone(), || GatewayEvent::StopRequested)?;
    listening(callers_at, operators_at);
    let gateway = Gateway::new(&settings, operators_at, events);
    gateway.serve_operators(operators);
    gateway.serve_callers(callers);
    gateway.run(inbox).await;
    Ok(())
}

/// Parts of one running gateway.
struct Gateway {
    clock: Rc<SystemClock>,
    border: Rc<GatewayBorder>,
    desk: GatewayDesk,
    state: GatewayState,
    settings: GatewaySettings,
    drain: DrainWatch,
    events: UnboundedSender<GatewayEvent>,
    client: WebClient,
}

impl Gateway {
    fn new(
        settings: &HostSettings,
        admin: SocketAddr,
        events: UnboundedSender<GatewayEvent>,
    ) -> Self {
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone());
        let (switch, drain) = drain_pair();
        let ports = connect_ports(settings, &client, &clock);
        let entry = NodeEntry {
            node: settings.node.clone(),
            role: NodeRole::Gateway,
            domain: settings.domain.clone(),
            admin,
        };
        platform::announce(ports.store.clone(), clock.clone(), entry.clone());
        let desk = QuestionDesk::new(events.clone(), |ask, question| GatewayEvent::Asked {
            ask,
            question,
        });
        let metrics = net::metrics_for(settings.statsd, "bronzerun.gateway");
        let border = GatewayBorder::new(
            ports,
            clock.clone(),
            events.clone(),
            desk.clone(),
            metrics,
            switch,
            entry,
        );
        Self {
            state: new_state(settings),
            settings: settings.gateway.clone(),
            border: Rc::new(border),
            clock,
            desk,
            drain,
            events,
            client,
        }
    }

    fn serve_operators(&self, listener: TcpListener) {
        let service = AdminService::new(self.desk.clone(), self.border.histograms());
        let limits = WebLimits {
            connections: ADMIN_CONNECTIONS,
            ..WebLimits::default()
        };
        // Operators may ask until the very end, so their drain never starts.
        let (switch, drain) = drain_pair();
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
            self.desk.clone(),
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
    let engines = HttpEngines::new(client.clone(), clock.clone());
    WatchPorts {
        store: Rc::new(store),
        directory: Rc::new(directory),
        engines: Rc::new(engines),
    }
}

fn new_state(settings: &HostSettings) -> GatewayState {
    let gateway = &settings.gateway;
    let times = GatewayTimes {
        watch: WatchTimes {
            poll_interval: gateway.poll_interval,
            read_interval: READ_INTERVAL,
            watch_span: WATCH_SPAN,
        },
        report_validity: gateway.report_validity,
        balancer_notice: gateway.balancer_notice,
        drain_limit: gateway.drain_limit,
    };
    GatewayState::new(
        settings.node.clone(),
        settings.domain.clone(),
        times,
        seed_from_system(),
        seed_from_system(),
    )
}
