//! Carries reads out and hands their ends to the daemon's loop.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use interface::{
    DocumentOutcome, EngineClient, HostDirectory, HostsOutcome, ReportOutcome, count_gateways,
    read_drains, read_fabrics, read_good_sections, watch_document,
};
use store::ObjectStore;

use crate::{WatchEffect, WatchEvent};

/// What surrounds a daemon, each behind a trait object.
#[derive(Clone)]
pub struct WatchPorts {
    /// The platform's objects.
    pub store: Rc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub directory: Rc<dyn HostDirectory>,
    /// The engines' control interface.
    pub engines: Rc<dyn EngineClient>,
}

/// Carrier of reads for a daemon with events of its own.
pub struct WatchBorder<Event> {
    ports: WatchPorts,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<Event>,
}

impl<Event: From<WatchEvent> + 'static> WatchBorder<Event> {
    /// Border that tells the loop through its events.
    pub fn new(
        ports: WatchPorts,
        clock: Rc<dyn ClockSource>,
        events: UnboundedSender<Event>,
    ) -> Self {
        Self {
            ports,
            clock,
            events,
        }
    }

    /// Runs a call outside the loop and hands its end to the loop.
    pub fn spawn(&self, call: impl Future<Output = Event> + 'static) {
        let events = self.events.clone();
        monoio::spawn(async move {
            let event = call.await;
            // The loop may have ended meanwhile.
            let _ = events.unbounded_send(event);
        });
    }

    /// Starts one read.
    pub fn execute(&self, effect: WatchEffect) {
        let store = self.ports.store.clone();
        match effect {
            WatchEffect::ReadDocument { after, deadline } => self.read(async move {
                match watch_document(store.as_ref(), after, deadline).await {
                    DocumentOutcome::Changed(version, document) => {
                        WatchEvent::DocumentRead(Some((version, document)))
                    }
                    DocumentOutcome::Unchanged => WatchEvent::DocumentUnchanged,
                    DocumentOutcome::Failed => WatchEvent::DocumentRead(None),
                }
            }),
            WatchEffect::ReadGoodSections => self.read(async move {
                let read = read_good_sections(store.as_ref()).await;
                WatchEvent::GoodSectionsRead(read.map(|(_, sections)| sections))
            }),
            WatchEffect::ReadFabrics => {
                self.read(
                    async move { WatchEvent::FabricsRead(read_fabrics(store.as_ref()).await) },
                );
            }
            WatchEffect::ReadDrains => {
                self.read(async move { WatchEvent::DrainsRead(read_drains(store.as_ref()).await) });
            }
            WatchEffect::ReadNodes => {
                self.read(
                    async move { WatchEvent::NodesRead(count_gateways(store.as_ref()).await) },
                );
            }
            WatchEffect::ReadHosts => self.read_hosts(),
            WatchEffect::PollHost {
                host,
                address,
                deadline,
            } => self.ask_host(host, address, deadline),
        }
    }

    fn read(&self, read: impl Future<Output = WatchEvent> + 'static) {
        self.spawn(async move { Event::from(read.await) });
    }

    fn read_hosts(&self) {
        let list = self.ports.directory.hosts();
        self.read(async move {
            WatchEvent::HostsRead(match list.await {
                HostsOutcome::Listed(entries) => Some(entries),
                HostsOutcome::Unavailable => None,
            })
        });
    }

    fn ask_host(&self, host: HostName, address: SocketAddr, deadline: ClockTime) {
        let polled_at = self.clock.now();
        let report = self.ports.engines.report(address, deadline);
        self.read(async move {
            let report = match report.await {
                ReportOutcome::Reported(report) => Some(report),
                ReportOutcome::Silent => None,
            };
            WatchEvent::HostReported {
                host,
                polled_at,
                report,
            }
        });
    }
}
