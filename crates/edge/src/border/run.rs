//! Startup of the daemon.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::unbounded;
use futures_util::future::join;
use monoio::net::TcpListener;
use net::web::{WebClient, WebLimits, WebService, serve};
use net::{
    DaemonError, DrainWatch, MetricsPage, PrometheusMetrics, block_on, drain_channel,
    forward_shutdown_signals, listen, run_loop, seed_from_system, watch_reload,
};

use super::EdgeReplies;
use super::attempt::AttemptContext;
use super::executor::EdgeExecutor;
use super::ingress::ClientService;
use super::links::{PeerLinks, accept_links};
use super::pass::PassService;
use super::ports::{EndpointClient, HeaderCodec, PlatformStore, SettingsSource, StoreCollection};
use super::readiness::ReadinessService;
use super::reload::watch_settings;
use super::watch::{WatchContext, watch_collection};
use crate::{EdgeEvent, EdgeSettings, EdgeState, EdgeTimes, WatchMode};

/// Timeout of a new connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Settings and adapters that the daemon runs with.
pub struct EdgeParts {
    /// Settings at the start.
    pub settings: EdgeSettings,
    /// Source of changed settings.
    pub source: Rc<dyn SettingsSource>,
    /// Clock of the event loop.
    pub clock: Rc<dyn ClockSource>,
    /// Client of the platform's store.
    pub store: Rc<dyn PlatformStore>,
    /// Client of the endpoints' control interface.
    pub endpoints: Rc<dyn EndpointClient>,
    /// Translation of request and response headers.
    pub header_codec: Rc<dyn HeaderCodec>,
}

/// Runs the daemon until it is stopped.
pub fn run_edge(parts: EdgeParts) -> Result<(), DaemonError> {
    block_on(run(parts))?
}

/// Serves the metrics page. If its port is in use, the node runs without the page.
fn serve_metrics(address: SocketAddr, metrics: Rc<PrometheusMetrics>) {
    let (listener, _) = match listen(address) {
        Ok(bound) => bound,
        Err(error) => {
            log::error!("metrics not served: {error}");
            return;
        }
    };
    serve_page(listener, Rc::new(MetricsPage(metrics)));
}

/// Serves a page of the node itself until the process exits, even while it drains.
fn serve_page(listener: TcpListener, page: Rc<dyn WebService>) {
    let (signal, watch) = drain_channel();
    // Dropping the signal would start the drain.
    std::mem::forget(signal);
    monoio::spawn(serve(listener, page, WebLimits::default(), watch));
}

/// Serves requests that other nodes pass on, until the node has drained. If the port is in use, the
/// others find that out and ask another node.
async fn serve_passed_requests(
    address: SocketAddr,
    service: Rc<dyn WebService>,
    limits: WebLimits,
    drain: DrainWatch,
) {
    match listen(address) {
        Ok((listener, _)) => serve(listener, service, limits, drain).await,
        Err(error) => log::error!("requests of other nodes not passed on: {error}"),
    }
}

async fn run(parts: EdgeParts) -> Result<(), DaemonError> {
    let EdgeParts {
        settings,
        source,
        clock,
        store,
        endpoints,
        header_codec,
    } = parts;
    let (ready, ready_address) = listen(settings.ready)?;
    let (ingress, ingress_address) = listen(settings.ingress)?;
    let (peers, peers_address) = listen(settings.peers)?;
    log::info!(node:% = settings.node, front:% = ingress_address, ready:% = ready_address, peers:% = peers_address; "started");
    let (events, receiver) = unbounded();
    forward_shutdown_signals(events.clone(), || EdgeEvent::Stop)?;
    let signal = watch_reload()?;
    let (current, settings_events) = (settings.clone(), events.clone());
    monoio::spawn(watch_settings(
        current,
        source,
        signal,
        clock.clone(),
        settings_events,
    ));
    let replies = EdgeReplies::new(events.clone(), EdgeEvent::Asked);
    let (drain_signal, drain_watch) = drain_channel();
    let is_closing = Rc::new(Cell::new(false));

    // The list of the evacuations, without which no request is sent, is not put off until the event
    // loop has decided on the mode.
    let watch_mode = Rc::new(Cell::new(WatchMode {
        watches_evacuations: settings.bounds.evacuate.is_some(),
        ..WatchMode::default()
    }));
    let metrics = Rc::new(PrometheusMetrics::default());
    let watch_context = WatchContext {
        store: store.clone(),
        clock: clock.clone(),
        events: events.clone(),
        mode: watch_mode.clone(),
        contact: Rc::default(),
        metrics: metrics.clone(),
    };
    for collection in StoreCollection::ALL {
        monoio::spawn(watch_collection(collection, watch_context.clone()));
    }
    monoio::spawn(accept_links(
        peers,
        store.clone(),
        clock.clone(),
        events.clone(),
    ));
    serve_page(
        ready,
        Rc::new(ReadinessService {
            replies: replies.clone(),
        }),
    );

    serve_metrics(settings.metrics, metrics.clone());
    let client = WebClient::new(clock.clone())
        .with_connect_timeout(CONNECT_TIMEOUT)
        .with_metrics(metrics.clone(), "servers")
        .with_tag(header_codec.tag_header());
    // Nodes write one response to each request, which carries the server's tag.
    let nodes = WebClient::new(clock.clone())
        .with_connect_timeout(CONNECT_TIMEOUT)
        .with_metrics(metrics.clone(), "nodes")
        .with_tag(header_codec.tag_header())
        .with_strict_order();
    let limits = WebLimits::default();
    let service = Rc::new(ClientService {
        context: AttemptContext {
            client,
            nodes,
            clock: clock.clone(),
            replies: replies.clone(),
            header_codec,
            metrics: metrics.clone(),
            events: events.clone(),
        },
        limits,
        is_closing: is_closing.clone(),
        next_call: Rc::default(),
    });
    let pass_service = Rc::new(PassService {
        context: service.context.clone(),
        limits,
        next_call: service.next_call.clone(),
    });
    let passing =
        serve_passed_requests(settings.passing, pass_service, limits, drain_watch.clone());
    monoio::spawn(async move {
        join(serve(ingress, service, limits, drain_watch), passing).await;
        log::info!("stopped: all connections closed");
        std::process::exit(0);
    });

    let executor = EdgeExecutor {
        clock: clock.clone(),
        store,
        endpoints,
        replies,
        links: PeerLinks::new(
            clock.clone(),
            metrics.clone(),
            events.clone(),
            settings.link_rate,
        ),
        events,
        drain: RefCell::new(Some(drain_signal)),
        is_closing,
        watch_mode,
        metrics,
    };
    let mut state = EdgeState::new(
        settings,
        EdgeTimes::default(),
        seed_from_system(),
        clock.now(),
    );
    run_loop(&mut state, receiver, clock.as_ref(), &executor).await;
    Ok(())
}
