//! Execution of the event loop's effects.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use net::{DrainSignal, MetricSink};

use super::EdgeReplies;
use super::links::PeerLinks;
use super::ports::{EndpointClient, PlatformStore};
use crate::{EdgeEffect, EdgeEvent, WatchMode};

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request for a report, which an endpoint answers without waiting for its
/// work.
const REPORT_TIMEOUT: Duration = Duration::from_millis(130);

/// Time for a server's response on trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Executor of the event loop's effects.
pub(super) struct EdgeExecutor {
    pub clock: Rc<dyn ClockSource>,
    pub store: Rc<dyn PlatformStore>,
    pub endpoints: Rc<dyn EndpointClient>,
    pub replies: EdgeReplies,
    pub events: UnboundedSender<EdgeEvent>,
    pub links: PeerLinks,
    pub drain: RefCell<Option<DrainSignal>>,
    pub is_closing: Rc<Cell<bool>>,
    pub watch_mode: Rc<Cell<WatchMode>>,
    pub metrics: Rc<dyn MetricSink>,
}

impl EdgeExecutor {
    /// Sends an event to the event loop.
    fn send_event(events: &UnboundedSender<EdgeEvent>, event: EdgeEvent) {
        // The event loop ends only when the process is about to exit.
        let _ = events.unbounded_send(event);
    }
}

impl EffectExecutor<EdgeEffect> for EdgeExecutor {
    fn execute(&self, effect: EdgeEffect) {
        let events = self.events.clone();
        let now = self.clock.now();
        match effect {
            EdgeEffect::Reply(id, reply) => self.replies.resolve(id, reply),
            EdgeEffect::Update(change) => {
                let update_call = self.store.update(change.clone());
                monoio::spawn(async move {
                    let outcome = update_call.await;
                    Self::send_event(&events, EdgeEvent::Updated(change, outcome));
                });
            }
            EdgeEffect::Order { to, address, order } => {
                let order_call = self
                    .endpoints
                    .order(address, &to, &order, now + ORDER_TIMEOUT);
                monoio::spawn(async move {
                    let outcome = order_call.await;
                    Self::send_event(&events, EdgeEvent::Ordered(to, order, outcome));
                });
            }
            EdgeEffect::Probe { of, address } => {
                let report_call = self.endpoints.report(address, &of, now + REPORT_TIMEOUT);
                monoio::spawn(async move {
                    let outcome = report_call.await;
                    Self::send_event(&events, EdgeEvent::Reported(of, outcome));
                });
            }
            EdgeEffect::Try { server, address } => {
                let trial = self
                    .endpoints
                    .responds(address, &server, now + TRIAL_TIMEOUT);
                monoio::spawn(async move {
                    let is_reached = trial.await;
                    Self::send_event(&events, EdgeEvent::Tried(server, is_reached));
                });
            }
            EdgeEffect::CountReach(change) => {
                self.metrics
                    .count("reach_changes", &[("change", change)], 1);
            }
            EdgeEffect::CountMove(step) => {
                self.metrics.count("domain_moves", &[("step", step)], 1);
            }
            EdgeEffect::ReportDemand {
                model,
                demand,
                capacity,
            } => {
                let tags = [("model", model.as_str())];
                self.metrics.set("model_demand", &tags, demand);
                self.metrics.set("model_capacity", &tags, capacity);
            }
            EdgeEffect::Send { to, message } => self.links.send(to, message),
            EdgeEffect::CountQuarantinedParts(count) => {
                let count = i64::try_from(count).unwrap_or(i64::MAX);
                self.metrics.count("quarantined_parts", &[], count);
            }
            EdgeEffect::CountQuarantinedRequests(count) => {
                let count = i64::try_from(count).unwrap_or(i64::MAX);
                self.metrics.count("quarantined_requests", &[], count);
            }
            EdgeEffect::CountNotice(notice) => {
                let tags = [("notice", notice)];
                self.metrics.count("server_notices", &tags, 1);
            }
            EdgeEffect::ReportEvacuated(count) => {
                let count = u64::try_from(count).unwrap_or(u64::MAX);
                self.metrics.set("evacuated_domains", &[], count);
            }
            EdgeEffect::CountEvacuationSkips(count) => {
                let count = i64::try_from(count).unwrap_or(i64::MAX);
                self.metrics.count("evacuation_skips", &[], count);
            }
            EdgeEffect::Reconnect(to) => self.links.reconnect(to),
            EdgeEffect::SetWatchMode(mode) => {
                self.watch_mode.set(mode);
                for (flag, is_set) in mode.flags() {
                    let value = u64::from(is_set);
                    self.metrics.set("watch_mode", &[("flag", flag)], value);
                }
            }
            EdgeEffect::ReportCold { servers, skips } => {
                self.metrics.set("cold_servers", &[], servers as u64);
                let skips = i64::try_from(skips).unwrap_or(i64::MAX);
                self.metrics.count("cold_skips", &[], skips);
            }
            EdgeEffect::ReportConfig(version) => self.metrics.set("config_version", &[], version),
            EdgeEffect::Close => self.is_closing.set(true),
            EdgeEffect::Drain => {
                if let Some(signal) = self.drain.borrow_mut().take() {
                    DrainSignal::start(signal)
                }
            }
            EdgeEffect::Exit => std::process::exit(0),
        }
    }
}
