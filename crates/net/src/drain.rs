//! A switch that tells every task of a process to wind up.

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// Side that starts the drain; dropping it starts the drain too.
#[derive(Debug)]
pub struct DrainSignal(oneshot::Sender<()>);

/// Side that waits for the drain.
#[derive(Clone, Debug)]
pub struct DrainWatch(Shared<oneshot::Receiver<()>>);

/// New switch and its watch.
pub fn drain_channel() -> (DrainSignal, DrainWatch) {
    let (sender, receiver) = oneshot::channel();
    (DrainSignal(sender), DrainWatch(receiver.shared()))
}

impl DrainSignal {
    /// Starts the drain.
    pub fn start(self) {
        // Nobody may be watching any more, which is as good as drained.
        let _ = self.0.send(());
    }
}

impl DrainWatch {
    /// Waits until the drain starts.
    pub async fn started(&self) {
        // An error means that the switch was dropped, which also starts it.
        let _ = self.0.clone().await;
    }
}
