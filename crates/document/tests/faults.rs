//! Every fault of a section is reported with its line and column.

use document::parse_configuration;
use document::parse_section;

const CASES: &[(&str, &str)] = &[
    ("invalid YAML", "services:\n  a: ["),
    ("tab", "services:\n\ta: 1"),
    ("unknown field", "services:\n  a: {deploymnt: b}"),
    ("missing field", "deployments:\n  a: {model: m, groups: 1}"),
    ("bad name", "services:\n  'a b': {deployment: c}"),
    (
        "defined twice",
        "services:\n  a: {deployment: c}\n  a: {deployment: d}",
    ),
    ("no kind", "services:\n  a: {}"),
    ("both kinds", "services:\n  a: {deployment: b, plain: {}}"),
    (
        "group size zero",
        "deployments:\n  a: {model: m, group_size: 0, groups: 1}",
    ),
    (
        "negative",
        "deployments:\n  a: {model: m, group_size: -1, groups: 1}",
    ),
    (
        "weight",
        "deployments:\n  a:\n    {model: m, group_size: 1, groups: 1,\n     downtime_weight: 1.5}",
    ),
    (
        "weight not a number",
        "deployments:\n  a: {model: m, group_size: 1, groups: 1, downtime_weight: .nan}",
    ),
    (
        "path without a slash",
        "services:\n  a:\n    plain:\n      non_idempotent:\n        - POST charges",
    ),
    (
        "lower-case method",
        "services:\n  a: {plain: {non_idempotent: ['post /charges']}}",
    ),
    (
        "digest",
        "workspaces:\n  a:\n    services: []\n    callers:\n      desk: {key_sha256: 12ab}",
    ),
    ("share", "workspaces:\n  a: {services: [], share: 0}"),
    ("timeout", "services:\n  a: {deployment: b, timeout_ms: 0}"),
    (
        "two faults",
        "workspaces:\n  a: {services: [], share: 0}\ndeployments:\n  a: {model: m, group_size: 0, groups: 1}",
    ),
];

#[test]
fn faults_have_positions() {
    let mut report = String::new();
    for (name, text) in CASES {
        report.push_str(&format!("{name}\n"));
        let faults = parse_section(&std::sync::Arc::from(*text)).expect_err(name);
        for fault in faults {
            report.push_str(&format!("  {fault}\n"));
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn empty_text_is_an_empty_section() {
    for text in ["", "# nothing yet\n", "services: {}\n"] {
        assert_eq!(
            parse_configuration(text),
            Ok(Default::default()),
            "{text:?}"
        );
    }
}
