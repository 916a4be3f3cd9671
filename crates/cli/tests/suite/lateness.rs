//! Late versions, leaving servers, slow calls and bytes out of the log lines of several nodes.

use base::prelude::*;
use cli::queries::explain::LogFile;
use cli::queries::lateness::list_lateness;
use cli::{CliError, CommandOutcome, ExitStatus, OutputFormat, output::printer_for};
use serde_json::Value;

use crate::common::TestSystem;

/// Log lines of four nodes, of which one starts anew; each has its time and node before the JSON.
const LINES: &str = include_str!("lateness.log");
/// Delay up to which nothing is printed, unless a test gives another.
const OVER_MS: u64 = 1_000;

fn log(name: &str, text: &str) -> LogFile {
    LogFile {
        name: name.to_owned(),
        text: Arc::from(text),
    }
}

fn print(outcome: &CommandOutcome, format: OutputFormat) -> String {
    printer_for(format).print(outcome.report.as_ref())
}

/// Worst value of each row by what it is about.
fn worst_values(text: &str, over_ms: u64) -> Vec<(String, String, u64)> {
    let outcome = list_lateness(&[log("all", text)], over_ms);
    let rows: Vec<Value> = serde_json::from_str(&print(&outcome, OutputFormat::Json)).unwrap();
    let rows = rows.iter().map(|row| {
        let cell = |name: &str| row[name].as_str().unwrap().to_owned();
        (cell("about"), cell("what"), row["worst"].as_u64().unwrap())
    });
    rows.collect()
}

#[test]
fn late_nodes_are_listed_worst_first() {
    let outcome = list_lateness(&[log("all", LINES)], OVER_MS);
    assert_eq!(outcome.status, ExitStatus::Done);
    insta::assert_snapshot!(print(&outcome, OutputFormat::Table));
}

#[test]
fn a_version_that_a_node_skips_counts_until_it_applies_a_newer_one() {
    let rows = worst_values(LINES, OVER_MS);
    let late = |version: &str| rows.iter().find(|row| row.1 == version).map(|row| row.2);
    assert_eq!(late("8"), Some(4_980));
    assert_eq!(late("11"), Some(3_780));
    assert_eq!(late("6"), None);
}

#[test]
fn a_node_that_started_meanwhile_is_left_out() {
    let outcome = list_lateness(&[log("all", LINES)], 0);
    let rows: Vec<Value> = serde_json::from_str(&print(&outcome, OutputFormat::Json)).unwrap();
    let names = |about: &str, what: &str| {
        let row = rows
            .iter()
            .find(|row| row["about"] == about && row["what"] == what);
        let nodes = row.unwrap()["nodes"].as_array().unwrap().iter();
        let names = nodes.map(|node| node["node"].as_str().unwrap().to_owned());
        names.collect::<Vec<_>>()
    };
    assert_eq!(names("configuration", "8"), ["edge-b-3", "edge-d-1"]);
    assert_eq!(
        names("leaving server", "i-f453ca3bba"),
        ["edge-b-3", "edge-d-1"]
    );
    assert!(names("configuration", "13").contains(&"edge-e-2".to_owned()));
}

#[test]
fn a_node_knows_of_a_leaving_server_from_what_another_node_has_read() {
    let line = r#"14.1000 edge-b-3 {"unix_ms":14100,"up_ms":14100,"level":"INFO","message":"endpoint has left as another node has read","endpoint":"i-f453ca3bba","node":"edge-a-1","revision":"9"}"#;
    let lines: Vec<_> = LINES.lines().collect();
    let until = lines.iter().take_while(|other| **other < line).count();
    let lines = [&lines[..until], &[line], &lines[until..]].concat();
    let rows = worst_values(&lines.join("\n"), 0);
    let late = rows.iter().find(|row| row.0 == "leaving server");
    assert_eq!(late.map(|row| row.2), Some(100));
}

#[test]
fn the_limit_leaves_out_delays_and_calls_but_no_bytes() {
    let abouts = |over_ms| {
        let rows = worst_values(LINES, over_ms).into_iter();
        rows.map(|row| format!("{} {}", row.0, row.1))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        abouts(4_300),
        [
            "configuration 8",
            "store call endpoints",
            "sent crashes",
            "sent digest"
        ]
    );
    assert_eq!(abouts(60_000), ["sent crashes", "sent digest"]);
}

#[test]
fn lines_that_are_no_log_lines_are_counted_and_left_out() {
    let broken = "\
thread 'main' panicked at src/main.rs:1
{\"unix_ms\":1
{\"unix_ms\":\"soon\",\"message\":\"started\"}
{\"unix_ms\":5,\"message\":\"configuration applied\",\"version\":\"three\"}
{\"unix_ms\":6,\"message\":\"bytes sent to other nodes\",\"bytes\":\"none\"}

";
    let text = format!("{broken}{LINES}");
    let outcome = list_lateness(&[log("all", &text)], OVER_MS);
    assert_eq!(outcome.status, ExitStatus::Done);
    let printed = print(&outcome, OutputFormat::Table);
    assert!(printed.contains("3 lines are no log lines"), "{printed}");
    assert_eq!(worst_values(&text, OVER_MS), worst_values(LINES, OVER_MS));
}

#[test]
fn logs_without_lateness_say_so() {
    let outcome = list_lateness(&[log("edge-a-1", "")], OVER_MS);
    assert_eq!(outcome.status, ExitStatus::Done);
    let printed = print(&outcome, OutputFormat::Table);
    assert!(printed.starts_with("nothing was late\n"), "{printed}");
}

#[test]
fn files_of_single_nodes_give_the_same_rows() {
    let names = ["edge-a-1", "edge-b-3", "edge-d-1", "edge-e-2"];
    let files = names.map(|name| {
        let lines = LINES
            .lines()
            .filter(|line| line.contains(&format!(" {name} ")));
        let lines = lines.map(|line| format!("{}\n", &line[line.find('{').unwrap()..]));
        log(name, &lines.collect::<String>())
    });
    let apart = list_lateness(&files, OVER_MS);
    let together = list_lateness(&[log("all", LINES)], OVER_MS);
    let [apart, together] = [apart, together].map(|outcome| print(&outcome, OutputFormat::Table));
    assert_eq!(apart, together);
}

#[test]
fn files_that_cannot_be_read_are_an_error() {
    let line = [
        "lateness",
        "tests/suite/lateness.log",
        "tests/suite/no-such.log",
    ];
    let error = TestSystem::default().run(&line).err().unwrap();
    assert!(matches!(error, CliError::ReadFile { .. }));
    assert_eq!(error.status(), ExitStatus::Failed);
    let system = TestSystem::default();
    let outcome = system
        .run(&["lateness", "tests/suite/lateness.log"])
        .unwrap();
    assert_eq!(outcome.status, ExitStatus::Done);
}
