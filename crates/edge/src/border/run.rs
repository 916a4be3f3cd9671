//! Starts the daemon.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::unbounded;
use monoio::net::TcpListener;
use net::web::{WebClient, WebLimits, WebService, serve};
use net::{
    DaemonError, MetricsPage, PrometheusMetrics, block_on, drain_channel, forward_shutdown_signals,
    listen, run_loop, seed_from_system, watch_reload,
};

use super::EdgeReplies;
use super::exchange::ExchangeTools;
use super::executor::EdgeBorder;
use super::feeds::follow_feed;
use super::front::ClientFront;
use super::links::{PeerLinks, receive_links};
use super::page::ReadyPage;
use super::ports::{EndpointPort, Feed, PlatformStore, RequestDialect, SettingsSource};
use super::reload::watch_settings;
use crate::{EdgeEvent, EdgeSettings, EdgeState, EdgeTimes, FeedPace};

/// Time in which a new connection to a server must be made.
const CONNECT_SPAN: Duration = Duration::from_millis(250);

/// What the daemon is made of.
pub struct EdgeParts {
    /// Settings.
    pub settings: EdgeSettings,
    /// Where they come from when they change.
    pub source: Rc<dyn SettingsSource>,
    /// Clock.
    pub clock: Rc<dyn ClockSource>,
    /// The platform's store.
    pub store: Rc<dyn PlatformStore>,
    /// Orders and questions to endpoints.
    pub endpoints: Rc<dyn EndpointPort>,
    /// Headers of requests and answers.
    pub header_codec: Rc<dyn RequestDialect>,
}

/// Runs the daemon until it is stopped.
pub fn run_edge(parts: EdgeParts) -> Result<(), DaemonError> {
    block_on(run(parts))?
}

/// Serves the metrics page; a port that is taken costs the page, not the node.
fn serve_metrics(address: SocketAddr, metrics: Rc<PrometheusMetrics>) {
    let (listener, _) = match listen(address) {
        Ok(bound) => bound,
        Err(fault) => {
            log::error!("the metrics are not served: {fault}");
            return;
        }
    };
    serve_page(listener, Rc::new(MetricsPage(metrics)));
}

/// Serves a page of the node's own until the process ends, also while it drains.
fn serve_page(listener: TcpListener, page: Rc<dyn WebService>) {
    let (switch, watch) = drain_channel();
    // Dropping the switch would start the drain.
    std::mem::forget(switch);
    monoio::spawn(serve(listener, page, WebLimits::default(), watch));
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
    let (ready, ready_bound) = listen(settings.ready)?;
    let (front, front_bound) = listen(settings.front)?;
    let (peers, peers_bound) = listen(settings.peers)?;
    log::info!(node:% = settings.node, front:% = front_bound, ready:% = ready_bound, peers:% = peers_bound; "started");
    let (events, receiver) = unbounded();
    forward_shutdown_signals(events.clone(), || EdgeEvent::Stop)?;
    let signal = watch_reload()?;
    let (known, told) = (settings.clone(), events.clone());
    monoio::spawn(watch_settings(known, source, signal, clock.clone(), told));
    let replies = EdgeReplies::new(events.clone(), EdgeEvent::Asked);
    let (switch, watch) = drain_channel();
    let is_closing = Rc::new(Cell::new(false));

    let pace = Rc::<Cell<FeedPace>>::default();
    for feed in Feed::ALL {
        let (store, clock, events) = (store.clone(), clock.clone(), events.clone());
        monoio::spawn(follow_feed(feed, store, clock, events, pace.clone()));
    }
    monoio::spawn(receive_links(
        peers,
        store.clone(),
        clock.clone(),
        events.clone(),
    ));
    serve_page(
        ready,
        Rc::new(ReadyPage {
            replies: replies.clone(),
        }),
    );

    let metrics = Rc::new(PrometheusMetrics::default());
    serve_metrics(settings.metrics, metrics.clone());
    let client = WebClient::new(clock.clone()).with_connect_timeout(CONNECT_SPAN);
    let limits = WebLimits::default();
    let service = Rc::new(ClientFront {
        tools: ExchangeTools {
            client,
            clock: clock.clone(),
            replies: replies.clone(),
            header_codec,
            metrics: metrics.clone(),
        },
        events: events.clone(),
        limits,
        is_closing: is_closing.clone(),
        next: Rc::default(),
    });
    monoio::spawn(async move {
        serve(front, service, limits, watch).await;
        log::info!("stopped: every connection is closed");
        std::process::exit(0);
    });

    let border = EdgeBorder {
        clock: clock.clone(),
        store,
        endpoints,
        replies,
        events,
        links: PeerLinks::new(clock.clone()),
        drain: RefCell::new(Some(switch)),
        is_closing,
        pace,
    };
    let mut state = EdgeState::new(
        settings,
        EdgeTimes::default(),
        seed_from_system(),
        clock.now(),
    );
    run_loop(&mut state, receiver, clock.as_ref(), &border).await;
    Ok(())
}
