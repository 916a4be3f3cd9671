//! Questions to the loop and the tasks that wait for their answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;

/// Number of a question.
pub type ReplyId = u64;

type WaitingTable<Answer> = HashMap<ReplyId, oneshot::Sender<Answer>>;

/// Passes questions to the loop and its answers back.
pub struct PendingReplies<Event, Question, Answer> {
    events: UnboundedSender<Event>,
    wrap: fn(ReplyId, Question) -> Event,
    waiting: Rc<RefCell<WaitingTable<Answer>>>,
    next: Rc<Cell<ReplyId>>,
}

impl<Event, Question, Answer> Clone for PendingReplies<Event, Question, Answer> {
    fn clone(&self) -> Self {
        Self {
            events: self.events.clone(),
            wrap: self.wrap,
            waiting: self.waiting.clone(),
            next: self.next.clone(),
        }
    }
}

impl<Event, Question, Answer> PendingReplies<Event, Question, Answer> {
    /// Desk that asks through the loop's events.
    pub fn new(events: UnboundedSender<Event>, wrap: fn(ReplyId, Question) -> Event) -> Self {
        Self {
            events,
            wrap,
            waiting: Rc::default(),
            next: Rc::default(),
        }
    }

    /// Asks the loop; `None` once it has ended.
    pub async fn request(&self, question: Question) -> Option<Answer> {
        let ask = self.next.get();
        self.next.set(ask + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ask, sender);
        let event = (self.wrap)(ask, question);
        self.events.unbounded_send(event).ok()?;
        receiver.await.ok()
    }

    /// Hands an answer to whoever asked.
    pub fn resolve(&self, ask: ReplyId, answer: Answer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&ask) {
            // Whoever asked may have left.
            let _ = waiting.send(answer);
        }
    }
}
