//! Tasks that can be ended together.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::time::Duration;

use futures_util::future::{AbortHandle, abortable};
use monoio::task::JoinHandle;

/// Interval between two checks whether ended tasks have dropped what they hold.
const END_POLL_INTERVAL: Duration = Duration::from_millis(1);

thread_local! {
    static TASKS: RefCell<TaskTable> = RefCell::default();
}

/// Unfinished tasks of a thread.
#[derive(Default)]
struct TaskTable {
    started: u64,
    handles: HashMap<u64, AbortHandle>,
}

/// Place of a task in the table; removed when the value is dropped.
struct TaskEntry {
    number: u64,
}

impl TaskEntry {
    fn new(handle: AbortHandle) -> Self {
        TASKS.with_borrow_mut(|table| {
            table.started += 1;
            table.handles.insert(table.started, handle);
            Self {
                number: table.started,
            }
        })
    }
}

impl Drop for TaskEntry {
    fn drop(&mut self) {
        TASKS.with_borrow_mut(|table| table.handles.remove(&self.number));
    }
}

/// Starts a task on this thread that [`end_tasks`] can end; its output is `None` then.
pub fn spawn<F>(future: F) -> JoinHandle<Option<F::Output>>
where
    F: Future + 'static,
    F::Output: 'static,
{
    let (task, handle) = abortable(future);
    let entry = TaskEntry::new(handle);
    monoio::spawn(async move {
        let _entry = entry;
        task.await.ok()
    })
}

/// Ends all tasks of this thread that [`spawn`] started, and waits until their futures are
/// dropped.
pub async fn end_tasks() {
    loop {
        let handles: Vec<_> = TASKS.with_borrow(|table| table.handles.values().cloned().collect());
        if handles.is_empty() {
            return;
        }
        handles.iter().for_each(AbortHandle::abort);
        monoio::time::sleep(END_POLL_INTERVAL).await;
    }
}
