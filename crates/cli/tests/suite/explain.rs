//! A request's story out of lines that nodes wrote.

use base::prelude::*;
use cli::queries::explain::{LogFile, explain_request};
use cli::{CliError, ExitStatus, OutputFormat, output::printer_for};

/// Lines of a run, with the node's name before each.
const LINES: &str = include_str!("story.log");
/// Once-only call whose answer was lost.
const ID: &str = "db2b5b2d300fa7ea";

fn log(text: &str) -> LogFile {
    LogFile {
        name: "all".to_owned(),
        text: Arc::from(text),
    }
}

#[test]
fn a_story_has_the_requests_lines_in_order_and_what_its_node_believed() {
    let answer = explain_request(ID, &[log(LINES)]).unwrap();
    assert_eq!(answer.status, ExitStatus::Done);
    let text = printer_for(OutputFormat::Table).print(answer.report.as_ref());
    let at = |part: &str| {
        text.find(part)
            .unwrap_or_else(|| panic!("{part} is missing in\n{text}"))
    };
    assert!(at("request accepted") < at("attempt started"));
    assert!(at("attempt started") < at("attempt failed"));
    assert!(at("end=lost") < at("request failed"));
    assert!(text.contains("may_have_run=true"));
    assert!(at("group ownership changed") < at("request accepted"));
    let others = LINES
        .lines()
        .filter(|line| line.contains("\"id\"") && !line.contains(ID));
    assert!(others.count() > 0, "the lines are about other requests too");
    assert_eq!(text.matches("request accepted").count(), 1);
}

#[test]
fn files_of_single_nodes_are_told_apart_by_their_names() {
    let bare: String = LINES
        .lines()
        .filter(|line| line.contains("edge-kozep-a-2"))
        .map(|line| format!("{}\n", &line[line.find('{').unwrap()..]))
        .collect();
    let file = LogFile {
        name: "edge-7".to_owned(),
        text: bare.into(),
    };
    let answer = explain_request(ID, &[file]).unwrap();
    let text = printer_for(OutputFormat::Table).print(answer.report.as_ref());
    assert!(text.contains("edge-7"), "{text}");
}

#[test]
fn a_request_that_no_line_is_about_is_an_error_that_says_what_to_give() {
    let error = explain_request("none", &[log(LINES)]).err().unwrap();
    assert!(matches!(error, CliError::UnknownRequest { .. }));
    assert!(error.to_string().contains("logs of every node"));
}
