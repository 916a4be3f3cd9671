//! Dispatch of events to commands and queries.

use base::prelude::*;

use crate::commands;
use crate::queries;
use crate::{EdgeEffect, EdgeEvent, EdgeQuestion, EdgeReply, EdgeState};

impl EventHandler for EdgeState {
    type Event = EdgeEvent;
    type Effect = EdgeEffect;

    fn handle(&mut self, event: EdgeEvent, now: ClockTime) -> Vec<EdgeEffect> {
        match event {
            EdgeEvent::Asked(id, question) => {
                vec![EdgeEffect::Reply(id, reply(self, question, now))]
            }
            EdgeEvent::Progress(attempt) => commands::record_progress(self, attempt, now),
            EdgeEvent::Answered(call) => commands::record_answer(self, call, now),
            EdgeEvent::Completed(call) => commands::record_whole_answer(self, call, now),
            EdgeEvent::Broken(attempt, end) => {
                commands::record_broken_attempt(self, attempt, end, now);
                Vec::new()
            }
            EdgeEvent::Announced { run, id, notice } => {
                commands::record_notice(self, &run, &id, notice, now)
            }
            EdgeEvent::OnceOnly(call) => {
                relay::commands::restrict_call(&mut self.relay, call);
                Vec::new()
            }
            EdgeEvent::Finished(call) => {
                relay::commands::finish(&mut self.relay, call);
                quarantine::commands::finish_call(&mut self.quarantine, call);
                self.passed.retain(|attempt, _| attempt.call != call);
                self.carried.remove(&call);
                Vec::new()
            }
            EdgeEvent::Collection(collection, event) => {
                commands::apply_collection_event(self, collection, event, now)
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
            EdgeEvent::PassFailed(server) => commands::record_pass_failure(self, &server, now),
            EdgeEvent::PassBroken(call) => {
                commands::record_carried_crash(self, call, now);
                Vec::new()
            }
            EdgeEvent::Tried(server, is_reached) => {
                commands::handle_trial_outcome(self, &server, is_reached, now)
            }
            EdgeEvent::Peer(message) => commands::handle_message(self, message, now),
            EdgeEvent::Connected(node) => commands::handle_connection(self, &node, now),
            EdgeEvent::Transferred(to) => commands::finish_transfer(self, to, now),
            EdgeEvent::Reloaded(settings) => commands::reload(self, *settings),
            EdgeEvent::Stop => commands::stop(self, now),
        }
    }

    fn wake(&mut self, now: ClockTime) -> Vec<EdgeEffect> {
        commands::expire_endpoints(self, now);
        let mut effects = commands::register_node(self, now);
        effects.extend(commands::update_cold(self, now));
        effects.extend(commands::send_digests(self, now));
        effects.extend(commands::send_evidence(self, now));
        effects.extend(commands::count_evacuation_skips(self));
        effects.extend(commands::start_trials(self, now));
        effects.extend(commands::plan_if_due(self, now));
        effects.extend(commands::advance_stop(self, now));
        effects
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        queries::next_deadline(self)
    }
}

fn reply(state: &mut EdgeState, question: EdgeQuestion, now: ClockTime) -> EdgeReply {
    match question {
        EdgeQuestion::Arrive(arrival) => {
            let wait = queries::startup_wait(state, &arrival, now)
                .or_else(|| queries::content_wait(state, &arrival, now));
            match wait {
                Some(until) => EdgeReply::Waiting { until },
                None => EdgeReply::Arrival(Box::new(commands::arrive(state, *arrival, now))),
            }
        }
        EdgeQuestion::Ended(attempt, end) => {
            EdgeReply::Step(commands::end_attempt(state, attempt, end, now))
        }
        EdgeQuestion::Check {
            attempt,
            is_answering,
        } => EdgeReply::Stall(commands::check_stall(state, attempt, is_answering, now)),
        EdgeQuestion::MayRepeat(call) => {
            EdgeReply::MayRepeat(queries::may_repeat(state, call, now))
        }
        EdgeQuestion::PassOn(request) => {
            EdgeReply::Pass(commands::carry_attempt(state, *request, now))
        }
        EdgeQuestion::PassLost(call) => EdgeReply::PassLost {
            is_reported: commands::record_carried_crash(state, call, now),
        },
        EdgeQuestion::MaySend(attempt) => {
            EdgeReply::MaySend(queries::may_send_attempt(state, attempt))
        }
        EdgeQuestion::Status => EdgeReply::Status(queries::status(state, now)),
    }
}
