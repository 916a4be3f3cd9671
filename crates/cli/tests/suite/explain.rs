//! Log events of one request out of the log lines of several nodes.

use base::prelude::*;
use cli::queries::explain::{LogFile, explain_request};
use cli::{CliError, ExitStatus, OutputFormat, output::printer_for};

/// Log lines of a run with several nodes; each line has the node's name before the JSON.
const LINES: &str = include_str!("story.log");
/// ID of a non-idempotent call whose response was lost.
const ID: &str = "db2b5b2d300fa7ea";

fn log(text: &str) -> LogFile {
    LogFile {
        name: "all".to_owned(),
        text: Arc::from(text),
    }
}

#[test]
fn the_events_of_a_request_are_in_order_and_include_node_state() {
    let outcome = explain_request(ID, &[log(LINES)]).unwrap();
    assert_eq!(outcome.status, ExitStatus::Done);
    let text = printer_for(OutputFormat::Table).print(outcome.report.as_ref());
    let at = |part: &str| {
        text.find(part)
            .unwrap_or_else(|| panic!("{part} is missing in\n{text}"))
    };
    assert!(at("request accepted") < at("attempt started"));
    assert!(at("attempt started") < at("attempt failed"));
    assert!(at("end=lost") < at("request failed"));
    assert!(text.contains("may_have_run=true"));
    assert!(at("group ownership changed") < at("request accepted"));
    let other_requests = LINES
        .lines()
        .filter(|line| line.contains("\"id\"") && !line.contains(ID));
    assert!(
        other_requests.count() > 0,
        "the lines are about other requests too"
    );
    assert_eq!(text.matches("request accepted").count(), 1);
}

#[test]
fn lines_without_a_node_name_take_the_name_of_their_file() {
    let bare: String = LINES
        .lines()
        .filter(|line| line.contains("edge-kozep-a-2"))
        .map(|line| format!("{}\n", &line[line.find('{').unwrap()..]))
        .collect();
    let file = LogFile {
        name: "edge-7".to_owned(),
        text: bare.into(),
    };
    let outcome = explain_request(ID, &[file]).unwrap();
    let text = printer_for(OutputFormat::Table).print(outcome.report.as_ref());
    assert!(text.contains("edge-7"), "{text}");
}

#[test]
fn an_unknown_request_id_is_an_error_that_asks_for_the_logs() {
    let error = explain_request("none", &[log(LINES)]).err().unwrap();
    assert!(matches!(error, CliError::UnknownRequest { .. }));
    assert!(error.to_string().contains("logs of every node"));
}
