//! Single-threaded runtime and event loop.

use std::future::Future;
use std::mem::ManuallyDrop;
use std::pin::pin;

use base::prelude::*;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use monoio::time::TimeDriver;
use monoio::{LegacyDriver, Runtime, RuntimeBuilder};

use crate::tasks::end_tasks;

/// Runs a future and every task it spawns on the current thread.
///
/// Selects the epoll driver explicitly, because the default driver uses
/// io_uring where the kernel supports it.
pub fn block_on<F: Future>(future: F) -> std::io::Result<F::Output> {
    // Dropping the runtime drops its unfinished tasks. These wake one another,
    // which monoio mistakes for a wake from another thread and panics. A process
    // uses one runtime until it exits, so the runtime is never dropped.
    let mut runtime = ManuallyDrop::new(new_runtime()?);
    Ok(runtime.block_on(future))
}

/// Runs a future on a runtime that is closed before this function returns.
///
/// All tasks must be started with [`spawn`](crate::spawn); they end with the future, and their
/// sockets are closed.
pub fn block_on_closing<F: Future>(future: F) -> std::io::Result<F::Output> {
    let mut runtime = new_runtime()?;
    Ok(runtime.block_on(async {
        let output = future.await;
        end_tasks().await;
        output
    }))
}

fn new_runtime() -> std::io::Result<Runtime<TimeDriver<LegacyDriver>>> {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()
}

/// Passes events to a handler and the resulting effects to an executor.
///
/// Wakes the handler at its deadlines. Returns once the channel is closed or
/// all its senders have been dropped.
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

/// Waits for a future until a deadline; `None` if the deadline passes first.
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
