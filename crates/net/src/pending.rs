//! Requests to the event loop and the tasks that wait for its replies.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;

/// Identifies a request to the loop and its reply.
pub type ReplyId = u64;

type ReplySenders<Reply> = HashMap<ReplyId, oneshot::Sender<Reply>>;

/// Sends requests to the loop and returns its replies to the waiting tasks; clones share them.
pub struct PendingReplies<Event, Request, Reply> {
    events: UnboundedSender<Event>,
    wrap: fn(ReplyId, Request) -> Event,
    waiting: Rc<RefCell<ReplySenders<Reply>>>,
    next_id: Rc<Cell<ReplyId>>,
}

impl<Event, Request, Reply> Clone for PendingReplies<Event, Request, Reply> {
    fn clone(&self) -> Self {
        Self {
            events: self.events.clone(),
            wrap: self.wrap,
            waiting: self.waiting.clone(),
            next_id: self.next_id.clone(),
        }
    }
}

impl<Event, Request, Reply> PendingReplies<Event, Request, Reply> {
    /// Creates a sender of requests; `wrap` turns a request into an event of the loop.
    pub fn new(events: UnboundedSender<Event>, wrap: fn(ReplyId, Request) -> Event) -> Self {
        Self {
            events,
            wrap,
            waiting: Rc::default(),
            next_id: Rc::default(),
        }
    }

    /// Sends a request to the loop and waits for the reply; `None` if the loop has ended.
    pub async fn request(&self, request: Request) -> Option<Reply> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        let event = (self.wrap)(id, request);
        self.events.unbounded_send(event).ok()?;
        receiver.await.ok()
    }

    /// Passes a reply to the task that waits for it.
    pub fn resolve(&self, id: ReplyId, reply: Reply) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            // Fails only if the task no longer waits.
            let _ = sender.send(reply);
        }
    }
}
