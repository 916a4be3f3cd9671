//! Carries the loop's effects out.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use groups::{FabricEffect, FabricRecord, FabricWire, HostOrder};
use platform::keys::fabric_key;
use platform::{
    EnginePort, HostDirectory, HostsOutcome, OrderOutcome, ReportOutcome, read_drains, read_fabric,
    read_fabrics, read_good_sections, watch_document,
};
use store::{ObjectChange, ObjectStore};

use super::ControllerDesk;
use crate::{ControllerEffect, ControllerEvent};

/// What surrounds the controller, each behind a trait object.
pub struct ControllerPorts {
    /// The platform's objects.
    pub store: Rc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub directory: Rc<dyn HostDirectory>,
    /// The engines' control interface.
    pub engines: Rc<dyn EnginePort>,
}

/// Carrier of the controller's effects.
pub struct ControllerBorder {
    ports: ControllerPorts,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<ControllerEvent>,
    desk: ControllerDesk,
}

impl ControllerBorder {
    /// Border around the given ports.
    pub fn new(
        ports: ControllerPorts,
        clock: Rc<dyn ClockSource>,
        events: UnboundedSender<ControllerEvent>,
        desk: ControllerDesk,
    ) -> Self {
        Self {
            ports,
            clock,
            events,
            desk,
        }
    }

    /// Runs a call outside the loop and hands its end to the loop.
    fn spawn(&self, call: impl Future<Output = ControllerEvent> + 'static) {
        let events = self.events.clone();
        monoio::spawn(async move {
            let event = call.await;
            // The loop may have ended meanwhile.
            let _ = events.unbounded_send(event);
        });
    }

    fn read_document(&self, after: ObjectVersion, deadline: ClockTime) {
        let store = self.ports.store.clone();
        self.spawn(async move {
            let read = watch_document(store.as_ref(), after, deadline).await;
            ControllerEvent::DocumentRead(read)
        });
    }

    fn read_good_sections(&self) {
        let store = self.ports.store.clone();
        self.spawn(async move {
            let read = read_good_sections(store.as_ref()).await;
            ControllerEvent::GoodSectionsRead(read.map(|(_, sections)| sections))
        });
    }

    fn read_fabrics(&self) {
        let store = self.ports.store.clone();
        self.spawn(async move { ControllerEvent::FabricsRead(read_fabrics(store.as_ref()).await) });
    }

    fn read_drains(&self) {
        let store = self.ports.store.clone();
        self.spawn(async move { ControllerEvent::DrainsRead(read_drains(store.as_ref()).await) });
    }

    fn read_hosts(&self) {
        let list = self.ports.directory.hosts();
        self.spawn(async move {
            ControllerEvent::HostsRead(match list.await {
                HostsOutcome::Listed(entries) => Some(entries),
                HostsOutcome::Unavailable => None,
            })
        });
    }

    fn ask_host(&self, host: HostName, address: SocketAddr, deadline: ClockTime) {
        let asked_at = self.clock.now();
        let report = self.ports.engines.report(address, deadline);
        self.spawn(async move {
            let report = match report.await {
                ReportOutcome::Reported(report) => Some(report),
                ReportOutcome::Silent => None,
            };
            ControllerEvent::HostReported {
                host,
                asked_at,
                report,
            }
        });
    }

    fn act(&self, effect: FabricEffect) {
        match effect {
            FabricEffect::Read { fabric } => self.read_fabric(fabric),
            FabricEffect::Write { record, expected } => self.write_fabric(record, expected),
            FabricEffect::Order {
                host,
                address,
                order,
                not_after,
            } => self.order(host, address, order, not_after),
        }
    }

    fn read_fabric(&self, fabric: FabricName) {
        let store = self.ports.store.clone();
        self.spawn(async move {
            let read = read_fabric(store.as_ref(), &fabric).await;
            ControllerEvent::FabricRead { fabric, read }
        });
    }

    fn write_fabric(&self, record: FabricRecord, expected: ObjectVersion) {
        let fabric = record.fabric.clone();
        let nonce = record.nonce;
        let value = serde_json::to_string(&FabricWire::from(record));
        let write = self.ports.store.update(ObjectChange {
            key: fabric_key(&fabric),
            expected,
            value: Arc::from(value.expect("a fabric record has only JSON types in it")),
        });
        self.spawn(async move {
            let outcome = write.await;
            log::info!(fabric = fabric.as_str(); "fabric record written: {outcome:?}");
            ControllerEvent::FabricWritten {
                fabric,
                nonce,
                outcome,
            }
        });
    }

    /// Gives an order; the port checks the deadline right before it sends.
    fn order(&self, host: HostName, address: SocketAddr, order: HostOrder, not_after: ClockTime) {
        let call = self.ports.engines.order(address, order, not_after);
        monoio::spawn(async move {
            let outcome = call.await;
            if outcome != OrderOutcome::Taken {
                log::warn!(host = host.as_str(); "order not taken: {outcome:?}");
            }
        });
    }
}

impl EffectCarrier<ControllerEffect> for ControllerBorder {
    fn carry(&self, effect: ControllerEffect) {
        match effect {
            ControllerEffect::ReadDocument { after, deadline } => {
                self.read_document(after, deadline);
            }
            ControllerEffect::ReadGoodSections => self.read_good_sections(),
            ControllerEffect::ReadFabrics => self.read_fabrics(),
            ControllerEffect::ReadHosts => self.read_hosts(),
            ControllerEffect::ReadDrains => self.read_drains(),
            ControllerEffect::AskHost {
                host,
                address,
                deadline,
            } => self.ask_host(host, address, deadline),
            ControllerEffect::Fabric(effect) => self.act(effect),
            ControllerEffect::Tell { ask, status } => self.desk.tell(ask, status),
            ControllerEffect::Finish => self.events.close_channel(),
        }
    }
}
