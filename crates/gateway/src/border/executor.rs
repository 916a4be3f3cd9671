//! Executes the effects of the event loop.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use interface::NodeEntry;
use ledger::{
    EpochRead, LedgerEffect, LedgerEpoch, ShardContents, ShardId, ShardRead, decode_epoch,
    decode_shard, encode_epoch, encode_shard,
};
use net::{DrainSignal, HistogramKey, HistogramSet, MetricSink};
use store::{ObjectChange, ObjectStore};
use watch::{WatchExecutor, WatchPorts};

use super::GatewayReplies;
use super::peers::PeerExecutor;
use crate::{CallMeasure, CallStep, GatewayEffect, GatewayEvent};

/// Executor of the gateway's effects.
pub struct GatewayExecutor {
    store: Rc<dyn ObjectStore>,
    watch: WatchExecutor<GatewayEvent>,
    events: UnboundedSender<GatewayEvent>,
    replies: GatewayReplies,
    tasks: RefCell<HashMap<CallId, UnboundedSender<CallStep>>>,
    histograms: Rc<RefCell<HistogramSet>>,
    metrics: Rc<dyn MetricSink>,
    drain_signal: RefCell<Option<DrainSignal>>,
    entry: NodeEntry,
    peers: PeerExecutor,
}

impl GatewayExecutor {
    /// Executor that uses the given clients of the platform.
    pub fn new(
        ports: WatchPorts,
        clock: Rc<dyn ClockSource>,
        events: UnboundedSender<GatewayEvent>,
        replies: GatewayReplies,
        metrics: Rc<dyn MetricSink>,
        drain_signal: DrainSignal,
        entry: NodeEntry,
    ) -> Self {
        Self {
            store: ports.store.clone(),
            peers: PeerExecutor::new(clock.clone()),
            watch: WatchExecutor::new(ports, clock, events.clone()),
            events,
            replies,
            tasks: RefCell::default(),
            histograms: Rc::default(),
            metrics,
            drain_signal: RefCell::new(Some(drain_signal)),
            entry,
        }
    }

    /// Histograms of all calls of this process.
    pub fn histograms(&self) -> Rc<RefCell<HistogramSet>> {
        self.histograms.clone()
    }

    /// Registers a call's task; the receiver gets its steps.
    pub fn register_task(&self, call: CallId) -> UnboundedReceiver<CallStep> {
        let (sender, receiver) = unbounded();
        self.tasks.borrow_mut().insert(call, sender);
        receiver
    }

    /// Removes a call's task.
    pub fn remove_task(&self, call: CallId) {
        self.tasks.borrow_mut().remove(&call);
    }

    fn send_step(&self, call: CallId, step: CallStep) {
        if let Some(task) = self.tasks.borrow().get(&call) {
            // The task may have ended already.
            let _ = task.unbounded_send(step);
        }
    }

    fn start_ledger_operation(&self, operation: LedgerEffect) {
        match operation {
            LedgerEffect::ReadShard { shard } => self.read_shard(shard),
            LedgerEffect::WriteShard {
                shard,
                expected,
                contents,
            } => self.write_shard(shard, expected, &contents),
            LedgerEffect::ReadEpoch => self.read_epoch(),
            LedgerEffect::WriteEpoch { expected, epoch } => self.write_epoch(expected, epoch),
            LedgerEffect::Verdict { .. } => unreachable!("verdicts are applied within the loop"),
        }
    }

    fn read_shard(&self, shard: ShardId) {
        let read = self.store.read(&shard.object_key());
        self.watch.spawn(async move {
            let read = decode_shard(read.await).unwrap_or_else(|error| {
                log::error!(shard = shard.0; "{error}");
                ShardRead::Unavailable
            });
            GatewayEvent::ShardRead { shard, read }
        });
    }

    fn write_shard(&self, shard: ShardId, expected: ObjectVersion, contents: &ShardContents) {
        let write = self.store.update(ObjectChange {
            key: shard.object_key(),
            expected,
            value: encode_shard(contents),
        });
        self.watch.spawn(async move {
            let outcome = write.await;
            GatewayEvent::ShardWritten { shard, outcome }
        });
    }

    fn read_epoch(&self) {
        let read = self.store.read(&LedgerEpoch::object_key());
        self.watch.spawn(async move {
            let read = decode_epoch(read.await).unwrap_or_else(|error| {
                log::error!("{error}");
                EpochRead::Unavailable
            });
            GatewayEvent::EpochRead(read)
        });
    }

    fn write_epoch(&self, expected: ObjectVersion, epoch: LedgerEpoch) {
        let write = self.store.update(ObjectChange {
            key: LedgerEpoch::object_key(),
            expected,
            value: encode_epoch(epoch),
        });
        self.watch
            .spawn(async move { GatewayEvent::EpochWritten(write.await) });
    }

    fn measure(&self, measure: CallMeasure) {
        let CallMeasure {
            workspace,
            service,
            measure,
            duration,
        } = measure;
        let tags = [
            ("workspace", workspace.as_str()),
            ("service", service.as_str()),
        ];
        self.metrics.time(measure, &tags, duration);
        let key = HistogramKey {
            class: Arc::from(service.as_str()),
            workspace,
            measure,
        };
        self.histograms.borrow_mut().record(key, duration);
    }

    fn stop_accepting(&self) {
        interface::deregister_node(self.store.clone(), self.entry.clone());
        if let Some(drain_signal) = self.drain_signal.borrow_mut().take() {
            drain_signal.start();
        }
    }

    fn finish(&self) {
        self.metrics.flush();
        self.events.close_channel();
    }
}

impl EffectExecutor<GatewayEffect> for GatewayExecutor {
    fn execute(&self, effect: GatewayEffect) {
        match effect {
            GatewayEffect::Step { call, step } => self.send_step(call, step),
            GatewayEffect::Watch(read) => self.watch.execute(read),
            GatewayEffect::Ledger(operation) => self.start_ledger_operation(operation),
            GatewayEffect::Peer(effect) => self.peers.execute(effect),
            GatewayEffect::Reply { id, reply } => self.replies.resolve(id, reply),
            GatewayEffect::Measure(measure) => self.measure(measure),
            GatewayEffect::StopAccepting => self.stop_accepting(),
            GatewayEffect::Finish => self.finish(),
        }
    }
}
