//! Carries the loop's effects out.

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
use watch::{WatchBorder, WatchPorts};

use super::GatewayReplies;
use super::peers::PeerBorder;
use crate::{CallMeasure, CallStep, GatewayEffect, GatewayEvent};

/// Carrier of the gateway's effects.
pub struct GatewayBorder {
    store: Rc<dyn ObjectStore>,
    watch: WatchBorder<GatewayEvent>,
    events: UnboundedSender<GatewayEvent>,
    replies: GatewayReplies,
    tasks: RefCell<HashMap<CallId, UnboundedSender<CallStep>>>,
    histograms: Rc<RefCell<HistogramSet>>,
    metrics: Rc<dyn MetricSink>,
    switch: RefCell<Option<DrainSignal>>,
    entry: NodeEntry,
    peers: PeerBorder,
}

impl GatewayBorder {
    /// Border around the given ports.
    pub fn new(
        ports: WatchPorts,
        clock: Rc<dyn ClockSource>,
        events: UnboundedSender<GatewayEvent>,
        replies: GatewayReplies,
        metrics: Rc<dyn MetricSink>,
        switch: DrainSignal,
        entry: NodeEntry,
    ) -> Self {
        Self {
            store: ports.store.clone(),
            peers: PeerBorder::new(clock.clone()),
            watch: WatchBorder::new(ports, clock, events.clone()),
            events,
            replies,
            tasks: RefCell::default(),
            histograms: Rc::default(),
            metrics,
            switch: RefCell::new(Some(switch)),
            entry,
        }
    }

    /// Histograms of this process.
    pub fn histograms(&self) -> Rc<RefCell<HistogramSet>> {
        self.histograms.clone()
    }

    /// Takes a call's task in; its steps come out of the receiver.
    pub fn enlist(&self, call: CallId) -> UnboundedReceiver<CallStep> {
        let (sender, receiver) = unbounded();
        self.tasks.borrow_mut().insert(call, sender);
        receiver
    }

    /// Forgets a call's task.
    pub fn dismiss(&self, call: CallId) {
        self.tasks.borrow_mut().remove(&call);
    }

    fn step(&self, call: CallId, step: CallStep) {
        if let Some(task) = self.tasks.borrow().get(&call) {
            // The task may have ended, and then needs no step.
            let _ = task.unbounded_send(step);
        }
    }

    fn call_ledger(&self, call: LedgerEffect) {
        match call {
            LedgerEffect::ReadShard { shard } => self.read_shard(shard),
            LedgerEffect::WriteShard {
                shard,
                expected,
                record,
            } => self.write_shard(shard, expected, &record),
            LedgerEffect::ReadEpoch => self.read_epoch(),
            LedgerEffect::WriteEpoch { expected, epoch } => self.write_epoch(expected, epoch),
            LedgerEffect::Verdict { .. } => unreachable!("the loop keeps verdicts to itself"),
        }
    }

    fn read_shard(&self, shard: ShardId) {
        let read = self.store.read(&shard.object_key());
        self.watch.spawn(async move {
            let read = decode_shard(read.await).unwrap_or_else(|fault| {
                log::error!(shard = shard.0; "{fault}");
                ShardRead::Unavailable
            });
            GatewayEvent::ShardRead { shard, read }
        });
    }

    fn write_shard(&self, shard: ShardId, expected: ObjectVersion, record: &ShardContents) {
        let write = self.store.update(ObjectChange {
            key: shard.object_key(),
            expected,
            value: encode_shard(record),
        });
        self.watch.spawn(async move {
            let outcome = write.await;
            GatewayEvent::ShardWritten { shard, outcome }
        });
    }

    fn read_epoch(&self) {
        let read = self.store.read(&LedgerEpoch::object_key());
        self.watch.spawn(async move {
            let read = decode_epoch(read.await).unwrap_or_else(|fault| {
                log::error!("{fault}");
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
            span,
        } = measure;
        let tags = [
            ("workspace", workspace.as_str()),
            ("service", service.as_str()),
        ];
        self.metrics.time(measure, &tags, span);
        let key = HistogramKey {
            class: Arc::from(service.as_str()),
            workspace,
            measure,
        };
        self.histograms.borrow_mut().record(key, span);
    }

    fn stop_accepting(&self) {
        interface::deregister_node(self.store.clone(), self.entry.clone());
        if let Some(switch) = self.switch.borrow_mut().take() {
            switch.start();
        }
    }

    fn finish(&self) {
        self.metrics.flush();
        self.events.close_channel();
    }
}

impl EffectExecutor<GatewayEffect> for GatewayBorder {
    fn execute(&self, effect: GatewayEffect) {
        match effect {
            GatewayEffect::Step { call, step } => self.step(call, step),
            GatewayEffect::Watch(read) => self.watch.execute(read),
            GatewayEffect::Ledger(call) => self.call_ledger(call),
            GatewayEffect::Peer(effect) => self.peers.execute(effect),
            GatewayEffect::Tell { ask, answer } => self.replies.resolve(ask, answer),
            GatewayEffect::Measure(measure) => self.measure(measure),
            GatewayEffect::StopAccepting => self.stop_accepting(),
            GatewayEffect::Finish => self.finish(),
        }
    }
}
