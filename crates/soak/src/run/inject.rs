//! Injection of faults into a run.

use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::{
    DRAIN_DURATION, LEAVE_DURATION, PROPAGATION_TIMEOUT, REPLACEMENT_DELAY, SoakError, SoakRun,
};
use crate::callers::RouteKind;
use crate::checker::RequestKind;
use crate::deadly::{CrashMoment, send_deadly};
use crate::plan::{Fault, Link, LinkMode};
use crate::proxy::LinkProxy;

/// Time for which either kind of a route may be in force after a change: daemons may be suspended,
/// and the store unavailable meanwhile.
const KIND_CHANGE_DURATION: Duration = Duration::from_secs(10);

impl SoakRun {
    /// Injects one fault.
    pub(super) fn inject(&mut self, fault: Fault) -> Result<(), SoakError> {
        let now = Instant::now();
        let mut disturbed_until = now;
        match fault {
            Fault::Kill(node) => self.stop_node(node, Signal::KILL),
            Fault::KillAll => {
                (0..self.nodes.len()).for_each(|node| self.stop_node(node, Signal::KILL))
            }
            Fault::Stop(node) => {
                self.stop_node(node, Signal::TERM);
                self.nodes[node].kill_at = Some(now + self.site.bounds.grace);
            }
            Fault::Pause(node, duration) => {
                self.nodes[node].node.signal(Signal::STOP);
                self.nodes[node].paused_until = Some(now + duration);
                disturbed_until = now + duration;
            }
            Fault::Reload(node) => self.nodes[node].node.signal(Signal::HUP),
            Fault::Link(link, mode, duration) => {
                let link = match link {
                    Link::Store(node) => &self.store_links[node],
                    Link::Node(node) => &self.node_links[node],
                    Link::Server(slot) => &self.server_links[slot],
                };
                link.mode.set(mode);
                self.link_repairs.push((now + duration, link.mode.clone()));
                disturbed_until = now + duration;
            }
            Fault::CutFromServers(count, mode, duration) => {
                let excused_until = now + duration + PROPAGATION_TIMEOUT;
                self.checker.borrow_mut().pause_cut_checks(excused_until);
                let hosts = self.client_context.entry_hosts.iter().take(count);
                for (links, host) in self.daemon_server_links.iter().zip(hosts) {
                    host.cut.set(Some((now, now + duration)));
                    for link in links {
                        link.mode.set(mode);
                        self.link_repairs.push((now + duration, link.mode.clone()));
                    }
                }
            }
            Fault::HangConnections => {
                let links = self.store_links.iter().chain(&self.node_links);
                links.for_each(LinkProxy::hang_connections);
            }
            Fault::StoreUnavailable(duration) => {
                self.store.borrow_mut().unavailable_until = Some(now + duration);
                disturbed_until = now + duration;
            }
            Fault::StoreSilent(duration) => {
                for link in &self.store_links {
                    link.mode.set(LinkMode::Blackhole);
                }
                self.store_returns_at = Some(now + duration);
                disturbed_until = now + duration;
            }
            Fault::StoreLosesResponses(duration) => {
                self.store.borrow_mut().loses_responses_until = Some(now + duration);
                disturbed_until = now + duration;
            }
            Fault::StoreDeafensWatches(duration) => {
                self.store.borrow_mut().deafens_watches_until = Some(now + duration);
                disturbed_until = now + duration;
            }
            Fault::StoreRestores(age, away) => {
                let mut store = self.store.borrow_mut();
                store.restore_at(now + away, now - age);
                disturbed_until = now + away;
            }
            Fault::ForeignEntry(form, name) => {
                self.store.borrow_mut().put_foreign(form, name);
            }
            Fault::StoreCompacts => self.store.borrow_mut().compact(),
            Fault::PauseServers(first, count, duration) => {
                self.fleet.borrow_mut().pause(first, count, now + duration);
            }
            Fault::RepeatRefusals(first, count, duration) => {
                let mut fleet = self.fleet.borrow_mut();
                fleet.repeat_refusals(first, count, now + duration);
            }
            Fault::Crash(slot) => self.stop_server(slot, now),
            Fault::Rename(slot) => {
                let mut fleet = self.fleet.borrow_mut();
                if fleet.servers[slot].is_alive {
                    fleet.replace(slot);
                }
            }
            Fault::Restart(slot) => {
                let mut fleet = self.fleet.borrow_mut();
                if fleet.servers[slot].is_alive {
                    fleet.restart(slot);
                }
            }
            Fault::Swap(slot, other) => self.fleet.borrow_mut().swap(slot, other),
            Fault::ChangeKind(route) => self.change_kind(route, now),
            Fault::Leave(slot) => {
                self.fleet.borrow_mut().servers[slot].is_leaving = true;
                self.server_stops.push((now + LEAVE_DURATION, slot));
            }
            Fault::Drain(slot) => {
                self.fleet.borrow_mut().drain(slot, now);
                self.server_stops.push((now + DRAIN_DURATION, slot));
            }
            Fault::DeadlyRequest(kind, duration) => {
                let context = self.client_context.clone();
                let sent = send_deadly(context, kind, CrashMoment::Start, now + duration);
                net::spawn(sent);
                disturbed_until = now + duration;
            }
            Fault::DeadlyStream(duration) => {
                let context = self.client_context.clone();
                let (kind, moment) = (RequestKind::Stream, CrashMoment::FirstEvent);
                net::spawn(send_deadly(context, kind, moment, now + duration));
                disturbed_until = now + duration;
            }
            Fault::Limit(slot, per_minute, duration) => {
                self.fleet
                    .borrow_mut()
                    .limit(slot, per_minute, now + duration);
            }
            Fault::TurnAway(slot, duration) => {
                self.fleet.borrow_mut().turn_away(slot, now + duration);
            }
            Fault::DelayedOrders(duration) => {
                self.fleet.borrow_mut().orders_delayed_until = Some(now + duration);
                disturbed_until = now + duration;
            }
            Fault::ChangeConfig => {
                self.config.add_route();
                self.publish_config();
            }
            Fault::RevokeKey => {
                let (revoked, issued) = self.config.replace_key();
                self.publish_config();
                let mut checker = self.checker.borrow_mut();
                checker.revoke_key(&revoked, now);
                checker.issue_key(&issued, now);
                drop(checker);
                // Clients use the new key only once all daemons have it.
                let keys = self.client_context.keys.clone();
                net::spawn(async move {
                    monoio::time::sleep(PROPAGATION_TIMEOUT).await;
                    keys.borrow_mut().push(issued);
                });
            }
        }
        let is_disturbance = !matches!(
            fault,
            Fault::ChangeConfig
                | Fault::RevokeKey
                | Fault::ForeignEntry(..)
                | Fault::Drain(_)
                | Fault::Limit(..)
                | Fault::TurnAway(..)
                | Fault::CutFromServers(..)
                | Fault::PauseServers(..)
                | Fault::RepeatRefusals(..)
        );
        if is_disturbance {
            let strict_from =
                (disturbed_until + PROPAGATION_TIMEOUT).max(self.client_context.strict_from.get());
            self.client_context.strict_from.set(strict_from);
            let mut checker = self.checker.borrow_mut();
            checker.pause_limit_checks(strict_from);
            checker.pause_drain_checks(strict_from);
            checker.pause_cut_checks(strict_from);
            if !matches!(fault, Fault::DeadlyRequest(..) | Fault::DeadlyStream(_)) {
                checker.pause_deadly_checks(disturbed_until + PROPAGATION_TIMEOUT);
            }
        }
        Ok(())
    }

    /// Changes how often requests on a route may run; those of the time in which either kind may
    /// be in force are not judged.
    fn change_kind(&mut self, route: usize, now: Instant) {
        let kind = self.config.change_kind(route);
        self.publish_config();
        self.client_context.route_kinds.borrow_mut()[route] = RouteKind {
            kind,
            changing_until: Some(now + KIND_CHANGE_DURATION),
        };
        let prefix = format!("/{}/", self.site.routes[route].name);
        self.checker.borrow_mut().excuse_under_way(&prefix);
    }

    fn stop_node(&mut self, node: usize, signal: Signal) {
        let supervised = &mut self.nodes[node];
        supervised.is_stopping = true;
        if signal == Signal::TERM {
            // A process under SIGSTOP would not handle SIGTERM.
            supervised.node.signal(Signal::CONT);
        }
        supervised.node.signal(signal);
    }

    /// Stops a server and drops its traffic; its replacement is scheduled.
    pub(super) fn stop_server(&mut self, slot: usize, now: Instant) {
        if !self.fleet.borrow().servers[slot].is_alive {
            return;
        }
        self.fleet.borrow_mut().stop(slot);
        self.server_links[slot].mode.set(LinkMode::Blackhole);
        self.server_replacements
            .push((now + REPLACEMENT_DELAY, slot));
    }

    /// Ends all faults that are still in effect.
    pub(super) fn end_faults(&mut self) {
        let now = Instant::now();
        for supervised in &mut self.nodes {
            supervised.paused_until = supervised.paused_until.map(|_| now);
        }
        for (at, _) in &mut self.link_repairs {
            *at = now;
        }
        self.store_returns_at = self.store_returns_at.map(|_| now);
        let mut store = self.store.borrow_mut();
        store.unavailable_until = None;
        store.loses_responses_until = None;
        store.deafens_watches_until = None;
        let mut fleet = self.fleet.borrow_mut();
        fleet.orders_delayed_until = None;
        fleet.end_refusals();
    }
}
