//! Drains endpoints and returns them to service.

use base::prelude::*;
use interface::DrainList;
use interface::keys::drains_key;
use serde_json::{Value, json};
use store::{ObjectChange, UpdateOutcome};

use crate::objects::read_drains;
use crate::{CliError, CommandOutcome, Report, ReportBody, Session};

/// Attempts before the command fails.
const ATTEMPT_LIMIT: u32 = 10;

/// Desired state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainGoal {
    /// The endpoint receives no new work.
    Drained,
    /// The endpoint receives work.
    InService,
}

impl DrainGoal {
    fn is_met(self, list: &DrainList, host: &HostName) -> bool {
        list.hosts.contains(host) == (self == Self::Drained)
    }

    fn apply(self, list: &mut DrainList, host: &HostName) {
        match self {
            Self::Drained => list.hosts.insert(host.clone()),
            Self::InService => list.hosts.remove(host),
        };
    }
}

/// Endpoint and its new state.
pub struct DrainReport {
    host: HostName,
    goal: DrainGoal,
}

impl Report for DrainReport {
    fn to_json(&self) -> Value {
        json!({"host": self.host, "draining": self.goal == DrainGoal::Drained})
    }

    fn to_body(&self) -> ReportBody {
        let host = &self.host;
        ReportBody::Text(match self.goal {
            DrainGoal::Drained => format!(
                "{host} is draining: 'bronzerun hosts explain {host}' shows when it is in no group"
            ),
            DrainGoal::InService => format!("{host} is back in service"),
        })
    }
}

/// Writes the desired state of an endpoint; idempotent.
pub async fn set_drain(
    session: &Session,
    host: HostName,
    goal: DrainGoal,
) -> Result<CommandOutcome, CliError> {
    let mut is_outcome_unknown = false;
    for attempt in 0..ATTEMPT_LIMIT {
        let (version, mut list) = match read_drains(session).await {
            Err(CliError::Unavailable) if is_outcome_unknown => return Err(unknown_outcome(&host)),
            outcome => outcome?,
        };
        if goal.is_met(&list, &host) {
            return Ok(CommandOutcome::success(DrainReport { host, goal }));
        }
        goal.apply(&mut list, &host);
        let change = ObjectChange {
            key: drains_key(),
            expected: version,
            value: list.encode(),
        };
        match session.store.update(change).await {
            UpdateOutcome::Applied(_) => {
                return Ok(CommandOutcome::success(DrainReport { host, goal }));
            }
            UpdateOutcome::Conflict => {}
            UpdateOutcome::Unknown => is_outcome_unknown = true,
            UpdateOutcome::Unavailable if is_outcome_unknown => return Err(unknown_outcome(&host)),
            UpdateOutcome::Unavailable => return Err(CliError::Unavailable),
            UpdateOutcome::TooLarge => {
                let key = drains_key().to_string();
                return Err(CliError::TooLarge { key });
            }
        }
        session.back_off(attempt).await;
    }
    if is_outcome_unknown {
        return Err(unknown_outcome(&host));
    }
    let key = drains_key().to_string();
    Err(CliError::Contended { key })
}

fn unknown_outcome(host: &HostName) -> CliError {
    CliError::UnknownOutcome {
        command: format!("bronzerun hosts explain {host}"),
    }
}
