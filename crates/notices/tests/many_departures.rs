//! Many servers that leave at once.

use std::collections::BTreeSet;

use base::prelude::*;
use notices::{Departure, DepartureState, ReportScope, ServerRun};

#[test]
fn each_of_many_departures_is_reported_within_a_second() {
    let mut state = DepartureState::new();
    // A tenth of 760 servers is released; one read brings it.
    let servers = (0..76).map(|index| HostName::new(&format!("p-{index:02}")).unwrap());
    let servers: BTreeSet<_> = servers.collect();
    for server in &servers {
        let departure = Departure {
            run: ServerRun {
                server: server.clone(),
                incarnation: HostIncarnation(1),
            },
            revision: ObjectVersion(50),
            read_at: ClockTime::from_millis(1_000),
        };
        state.record(departure, true);
    }
    let mut reported = BTreeSet::new();
    for now in (1_000..2_000).step_by(40) {
        let departures = state.reported(ReportScope::All, 32, ClockTime::from_millis(now));
        reported.extend(departures.into_iter().map(|departure| departure.run.server));
    }
    let missing: Vec<_> = servers.difference(&reported).collect();
    assert!(
        missing.is_empty(),
        "{} of {} are not reported",
        missing.len(),
        servers.len()
    );
}
