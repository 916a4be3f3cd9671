//! Performs reads and sends their results to the daemon's event loop.

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

/// Clients of the platform and of the hosts.
#[derive(Clone)]
pub struct WatchPorts {
    /// The platform's object store.
    pub store: Rc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub directory: Rc<dyn HostDirectory>,
    /// The engines' control interface.
    pub engines: Rc<dyn EngineClient>,
}

/// Executor of reads for a daemon whose event type is `Event`.
pub struct WatchExecutor<Event> {
    ports: WatchPorts,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<Event>,
}

impl<Event: From<WatchEvent> + 'static> WatchExecutor<Event> {
    /// Creates an executor that sends results to the event loop through `events`.
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

    /// Runs a call on a separate task and sends its result to the event loop.
    pub fn spawn(&self, call: impl Future<Output = Event> + 'static) {
        let events = self.events.clone();
        monoio::spawn(async move {
            let event = call.await;
            // The event loop may have ended in the meantime.
            let _ = events.unbounded_send(event);
        });
    }

    /// Starts the read that an effect describes.
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
            WatchEffect::CountGateways => {
                self.read(async move {
                    WatchEvent::GatewaysCounted(count_gateways(store.as_ref()).await)
                });
            }
            WatchEffect::ReadHosts => self.read_hosts(),
            WatchEffect::PollHost {
                host,
                address,
                deadline,
            } => self.poll_host(host, address, deadline),
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

    fn poll_host(&self, host: HostName, address: SocketAddr, deadline: ClockTime) {
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
