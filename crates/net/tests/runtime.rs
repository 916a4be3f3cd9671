//! The one loop on one thread.

use futures_channel::oneshot;
use net::block_on;

#[test]
fn tasks_that_are_left_do_no_harm() {
    let output = block_on(async {
        let (sender, receiver) = oneshot::channel::<()>();
        let waiting = monoio::spawn(receiver);
        let (started, start) = oneshot::channel();
        monoio::spawn(async move { started.send(()) });
        start.await.unwrap();
        // This task is never run, and dropping it would wake the waiting one.
        monoio::spawn(async move {
            let _sender = sender;
        });
        drop(waiting);
        7
    });
    assert_eq!(output.unwrap(), 7);
}
