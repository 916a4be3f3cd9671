//! Signal for every task of a process to finish its work and stop.

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// Sending half, which starts the drain when it is used or dropped.
#[derive(Debug)]
pub struct DrainSignal(oneshot::Sender<()>);

/// Receiving half, which waits for the start of the drain.
#[derive(Clone, Debug)]
pub struct DrainWatch(Shared<oneshot::Receiver<()>>);

/// Creates the two halves of a drain signal.
pub fn drain_channel() -> (DrainSignal, DrainWatch) {
    let (sender, receiver) = oneshot::channel();
    (DrainSignal(sender), DrainWatch(receiver.shared()))
}

impl DrainSignal {
    /// Starts the drain.
    pub fn start(self) {
        // Fails only if no task watches any more, so that nothing is left to drain.
        let _ = self.0.send(());
    }
}

impl DrainWatch {
    /// Waits until the drain starts.
    pub async fn started(&self) {
        // An error means that the signal was dropped, which also starts the drain.
        let _ = self.0.clone().await;
    }
}
