//! The single-threaded runtime.

use futures_channel::oneshot;
use net::block_on;

#[test]
fn unfinished_tasks_do_not_panic_when_the_runtime_ends() {
    let output = block_on(async {
        let (sender, receiver) = oneshot::channel::<()>();
        let waiting = monoio::spawn(receiver);
        let (started, start) = oneshot::channel();
        monoio::spawn(async move { started.send(()) });
        start.await.unwrap();
        // This task never runs. Dropping it would wake the waiting task, which
        // monoio reports with a panic.
        monoio::spawn(async move {
            let _sender = sender;
        });
        drop(waiting);
        7
    });
    assert_eq!(output.unwrap(), 7);
}
