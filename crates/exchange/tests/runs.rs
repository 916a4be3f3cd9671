//! Whether it is certain that no attempt of a request was run.

use exchange::commands::{record_not_run, record_start};
use exchange::queries::{certainty, unproven_count};
use exchange::{HeldRequest, NotRunProof, RequestMessage, RunCertainty, RunRecord};

/// Step of a request's attempts.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start(u32),
    NotRun(u32),
}

/// Request that is never sent.
struct UnsentRequest;

impl RequestMessage for UnsentRequest {}

fn proof() -> NotRunProof {
    HeldRequest::new(UnsentRequest).give_up()
}

#[test]
fn a_request_is_called_unrun_only_if_each_of_its_attempts_has_a_proof() {
    use Step::{NotRun, Start};
    let cases: [(&[Step], u32); 11] = [
        (&[], 0),
        (&[Start(1)], 1),
        (&[Start(1), NotRun(1)], 0),
        (&[Start(1), NotRun(2)], 1),
        (&[Start(1), Start(2), NotRun(2)], 1),
        (&[Start(1), Start(2), NotRun(2), NotRun(1)], 0),
        (&[Start(1), NotRun(1), Start(2)], 1),
        (&[Start(1), Start(1)], 1),
        (&[Start(1), Start(1), NotRun(1)], 0),
        (&[Start(1), Start(2), NotRun(2), NotRun(2)], 1),
        (&[Start(1), NotRun(1), Start(1)], 1),
    ];
    for (steps, expected) in cases {
        let mut record = RunRecord::default();
        for step in steps {
            match *step {
                Start(attempt) => record_start(&mut record, attempt),
                NotRun(attempt) => record_not_run(&mut record, attempt, proof()),
            }
        }
        assert_eq!(unproven_count(&record), expected, "{steps:?}");
        let is_certain = matches!(certainty(&record), RunCertainty::NotRun(_));
        assert_eq!(is_certain, expected == 0, "{steps:?}");
    }
}
