//! Executes the effects of the event loop.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use groups::{FabricEffect, FabricRecord, FabricWire, HostOrder};
use interface::keys::fabric_key;
use interface::{NodeEntry, OrderOutcome, read_fabric};
use store::ObjectChange;
use watch::{WatchExecutor, WatchPorts};

use super::ControllerReplies;
use crate::{ControllerEffect, ControllerEvent};

/// Executor of the controller's effects.
pub struct ControllerExecutor {
    ports: WatchPorts,
    watch: WatchExecutor<ControllerEvent>,
    events: UnboundedSender<ControllerEvent>,
    replies: ControllerReplies,
    entry: NodeEntry,
}

impl ControllerExecutor {
    /// Executor that uses the given clients of the platform and the engines.
    pub fn new(
        ports: WatchPorts,
        clock: Rc<dyn ClockSource>,
        events: UnboundedSender<ControllerEvent>,
        replies: ControllerReplies,
        entry: NodeEntry,
    ) -> Self {
        Self {
            watch: WatchExecutor::new(ports.clone(), clock, events.clone()),
            ports,
            events,
            replies,
            entry,
        }
    }

    fn execute_fabric_effect(&self, effect: FabricEffect) {
        match effect {
            FabricEffect::Read { fabric } => self.read_fabric(fabric),
            FabricEffect::Write { record, expected } => self.write_fabric(record, expected),
            FabricEffect::Order {
                host,
                address,
                order,
                not_after,
            } => self.send_order(host, address, order, not_after),
        }
    }

    fn read_fabric(&self, fabric: FabricName) {
        let store = self.ports.store.clone();
        self.watch.spawn(async move {
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
            value: Arc::from(value.expect("names, numbers and addresses are plain JSON")),
        });
        self.watch.spawn(async move {
            let outcome = write.await;
            log::info!(fabric = fabric.as_str(); "fabric record write completed: {outcome:?}");
            ControllerEvent::FabricWritten {
                fabric,
                nonce,
                outcome,
            }
        });
    }

    /// Sends an order to a host's engine; the client checks `not_after` right before
    /// it sends.
    fn send_order(
        &self,
        host: HostName,
        address: SocketAddr,
        order: HostOrder,
        not_after: ClockTime,
    ) {
        let call = self.ports.engines.order(address, order, not_after);
        monoio::spawn(async move {
            let outcome = call.await;
            if outcome != OrderOutcome::Accepted {
                log::warn!(host = host.as_str(); "order not accepted: {outcome:?}");
            }
        });
    }
}

impl EffectExecutor<ControllerEffect> for ControllerExecutor {
    fn execute(&self, effect: ControllerEffect) {
        match effect {
            ControllerEffect::Watch(read) => self.watch.execute(read),
            ControllerEffect::Fabric(effect) => self.execute_fabric_effect(effect),
            ControllerEffect::Reply { id, status } => self.replies.resolve(id, status),
            ControllerEffect::Deregister => {
                interface::deregister_node(self.ports.store.clone(), self.entry.clone());
            }
            ControllerEffect::Finish => self.events.close_channel(),
        }
    }
}
