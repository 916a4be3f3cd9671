//! The one loop on one thread.

use std::future::Future;
use std::mem::ManuallyDrop;
use std::pin::pin;

use base::prelude::*;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future and every task it spawns on this thread.
///
/// The epoll driver is named outright because the default one would pick
/// io_uring where the kernel has it.
pub fn block_on<F: Future>(future: F) -> std::io::Result<F::Output> {
    let runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    // Tasks that are left over wake one another as they are dropped, which the
    // library takes for a wake from another thread and answers with a panic. A
    // process runs one runtime until its end, so the runtime is never dropped.
    let mut runtime = ManuallyDrop::new(runtime);
    Ok(runtime.block_on(future))
}

/// Feeds events to a handler and its effects to an executor.
///
/// Ends when every sender of events is gone or the channel is closed.
pub async fn run_loop<H: EventHandler>(
    handler: &mut H,
    mut events: UnboundedReceiver<H::Event>,
    clock: &dyn ClockSource,
    executor: &dyn EffectExecutor<H::Effect>,
) {
    loop {
        let next = match handler.next_deadline() {
            Some(deadline) => with_deadline(clock, deadline, events.next()).await,
            None => Some(events.next().await),
        };
        let now = clock.now();
        let effects = match next {
            None => handler.wake(now),
            Some(Some(event)) => handler.handle(event, now),
            Some(None) => return,
        };
        for effect in effects {
            executor.execute(effect);
        }
    }
}

/// Waits for a future until a deadline; `None` if the deadline came first.
pub async fn with_deadline<F: Future>(
    clock: &dyn ClockSource,
    deadline: ClockTime,
    future: F,
) -> Option<F::Output> {
    let future = pin!(future);
    let sleep = pin!(sleep_until(clock, deadline));
    match select(future, sleep).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

/// Sleeps until a deadline.
pub async fn sleep_until(clock: &dyn ClockSource, deadline: ClockTime) {
    monoio::time::sleep(deadline.since(clock.now())).await;
}
