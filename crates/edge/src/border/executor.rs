//! Carries the loop's effects out.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use net::DrainSignal;

use super::EdgeReplies;
use super::links::PeerLinks;
use super::ports::{EndpointPort, PlatformStore};
use super::wire::encode_message;
use crate::{EdgeEffect, EdgeEvent, FeedPace};

/// Time in which an endpoint must answer an order.
const ORDER_SPAN: Duration = Duration::from_millis(300);
/// Time in which an endpoint must answer a question, which it does without waiting for its work.
const REPORT_SPAN: Duration = Duration::from_millis(130);

/// Carrier of the loop's effects.
pub(super) struct EdgeBorder {
    pub clock: Rc<dyn ClockSource>,
    pub store: Rc<dyn PlatformStore>,
    pub endpoints: Rc<dyn EndpointPort>,
    pub replies: EdgeReplies,
    pub events: UnboundedSender<EdgeEvent>,
    pub links: PeerLinks,
    pub drain: RefCell<Option<DrainSignal>>,
    pub is_closing: Rc<Cell<bool>>,
    pub pace: Rc<Cell<FeedPace>>,
}

impl EdgeBorder {
    /// Sends an event back to the loop.
    fn post(events: &UnboundedSender<EdgeEvent>, event: EdgeEvent) {
        // The loop is gone only when the process is about to end.
        let _ = events.unbounded_send(event);
    }
}

impl EffectExecutor<EdgeEffect> for EdgeBorder {
    fn execute(&self, effect: EdgeEffect) {
        let events = self.events.clone();
        let now = self.clock.now();
        match effect {
            EdgeEffect::Answer(ask, answer) => self.replies.resolve(ask, answer),
            EdgeEffect::Update(change) => {
                let update = self.store.update(change.clone());
                monoio::spawn(async move {
                    let outcome = update.await;
                    Self::post(&events, EdgeEvent::Updated(change, outcome));
                });
            }
            EdgeEffect::Order { to, address, order } => {
                let given = self.endpoints.order(address, &to, &order, now + ORDER_SPAN);
                monoio::spawn(async move {
                    let outcome = given.await;
                    Self::post(&events, EdgeEvent::Ordered(to, order, outcome));
                });
            }
            EdgeEffect::Probe { of, address } => {
                let asked = self.endpoints.report(address, &of, now + REPORT_SPAN);
                monoio::spawn(async move {
                    let outcome = asked.await;
                    Self::post(&events, EdgeEvent::Reported(of, outcome));
                });
            }
            EdgeEffect::Send { to, message } => {
                self.links.send(to, Bytes::from(encode_message(&message)));
            }
            EdgeEffect::Pace(pace) => self.pace.set(pace),
            EdgeEffect::Close => self.is_closing.set(true),
            EdgeEffect::Drain => {
                if let Some(a) = self.drain.borrow_mut().take() {
                    DrainSignal::start(a)
                }
            }
            EdgeEffect::Exit => std::process::exit(0),
        }
    }
}
