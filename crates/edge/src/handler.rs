//! Dispatch of events to commands and queries.

use base::prelude::*;

use crate::commands;
use crate::queries;
use crate::{EdgeAnswer, EdgeEffect, EdgeEvent, EdgeQuestion, EdgeState};

impl EventHandler for EdgeState {
    type Event = EdgeEvent;
    type Effect = EdgeEffect;

    fn handle(&mut self, event: EdgeEvent, now: ClockTime) -> Vec<EdgeEffect> {
        match event {
            EdgeEvent::Asked(id, question) => {
                vec![EdgeEffect::Answer(id, answer(self, question, now))]
            }
            EdgeEvent::Progress(call) => {
                commands::record_progress(self, call, now);
                Vec::new()
            }
            EdgeEvent::Finished(call) => {
                relay::commands::finish(&mut self.relay, call);
                Vec::new()
            }
            EdgeEvent::Collection(collection, update) => {
                commands::apply_collection_event(self, collection, update, now)
            }
            EdgeEvent::Updated(change, outcome) => {
                commands::handle_write_outcome(self, &change, outcome, now)
            }
            EdgeEvent::Ordered(to, order, outcome) => {
                commands::handle_order_outcome(self, &to, &order, outcome, now)
            }
            EdgeEvent::Reported(of, outcome) => {
                commands::handle_report_outcome(self, &of, outcome, now)
            }
            EdgeEvent::Peer(message) => commands::handle_message(self, message, now),
            EdgeEvent::Reloaded(settings) => {
                commands::reload(self, *settings);
                Vec::new()
            }
            EdgeEvent::Stop => commands::stop(self, now),
        }
    }

    fn wake(&mut self, now: ClockTime) -> Vec<EdgeEffect> {
        let mut effects = commands::register_node(self, now);
        effects.extend(commands::send_digests(self, now));
        effects.extend(commands::plan_if_due(self, now));
        effects.extend(commands::advance_stop(self, now));
        effects
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        queries::next_deadline(self)
    }
}

fn answer(state: &mut EdgeState, question: EdgeQuestion, now: ClockTime) -> EdgeAnswer {
    match question {
        EdgeQuestion::Arrive(arrival) => {
            EdgeAnswer::Arrival(Box::new(commands::arrive(state, *arrival, now)))
        }
        EdgeQuestion::Ended(call, end) => {
            EdgeAnswer::Step(commands::end_attempt(state, call, end, now))
        }
        EdgeQuestion::Check(call) => EdgeAnswer::Stall(commands::check_stall(state, call, now)),
        EdgeQuestion::Status => EdgeAnswer::Status(queries::status(state, now)),
    }
}
