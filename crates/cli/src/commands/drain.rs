//! Takes endpoints out of service and back.

use base::prelude::*;
use interface::DrainList;
use interface::keys::drains_key;
use serde_json::{Value, json};
use store::{ObjectChange, UpdateOutcome};

use crate::objects::read_drains;
use crate::{Answer, CliError, Report, ReportBody, Session};

/// Attempts before the command gives up.
const ATTEMPT_LIMIT: u32 = 10;

/// What should become of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainGoal {
    /// It gets no new work.
    Drained,
    /// It works again.
    InService,
}

impl DrainGoal {
    fn is_met(self, list: &DrainList, host: &HostName) -> bool {
        list.hosts.contains(host) == (self == Self::Drained)
    }

    fn meet(self, list: &mut DrainList, host: &HostName) {
        match self {
            Self::Drained => list.hosts.insert(host.clone()),
            Self::InService => list.hosts.remove(host),
        };
    }
}

/// Endpoint and what became of it.
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
            DrainGoal::InService => format!("{host} may work again"),
        })
    }
}

/// Writes what should become of an endpoint; writing it twice changes nothing.
pub async fn set_drain(
    session: &Session,
    host: HostName,
    goal: DrainGoal,
) -> Result<Answer, CliError> {
    let mut in_doubt = false;
    for attempt in 0..ATTEMPT_LIMIT {
        let (version, mut list) = match read_drains(session).await {
            Err(CliError::Unavailable) if in_doubt => return Err(doubt(&host)),
            outcome => outcome?,
        };
        if goal.is_met(&list, &host) {
            return Ok(Answer::done(DrainReport { host, goal }));
        }
        goal.meet(&mut list, &host);
        let change = ObjectChange {
            key: drains_key(),
            expected: version,
            value: list.encode(),
        };
        match session.store.update(change).await {
            UpdateOutcome::Applied(_) => return Ok(Answer::done(DrainReport { host, goal })),
            UpdateOutcome::Conflict => {}
            UpdateOutcome::Unknown => in_doubt = true,
            UpdateOutcome::Unavailable if in_doubt => return Err(doubt(&host)),
            UpdateOutcome::Unavailable => return Err(CliError::Unavailable),
            UpdateOutcome::TooLarge => {
                let key = drains_key().to_string();
                return Err(CliError::TooLarge { key });
            }
        }
        session.pause(attempt).await;
    }
    if in_doubt {
        return Err(doubt(&host));
    }
    let key = drains_key().to_string();
    Err(CliError::Contended { key })
}

fn doubt(host: &HostName) -> CliError {
    CliError::InDoubt {
        look: format!("bronzerun hosts explain {host}"),
    }
}
