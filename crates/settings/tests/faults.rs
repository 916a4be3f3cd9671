//! Faults of a settings file are reported with their positions.

use settings::parse_settings;

const VALID: &str = "\
node: entry-1
failure_domain: kozep-a
platform: 127.0.0.1:7000
gateway:
  listen: 127.0.0.1:8080
  admin: 127.0.0.1:8081
controller:
  admin: 127.0.0.1:8082
";

fn faults_of(text: &str) -> String {
    parse_settings(text)
        .expect_err("the settings are faulty")
        .to_string()
}

#[test]
fn omitted_settings_have_defaults() {
    let settings = parse_settings(VALID).expect("the settings are valid");
    assert_eq!(settings.node.as_str(), "entry-1");
    assert!(settings.gateway.report_validity > settings.gateway.poll_interval);
}

#[test]
fn each_fault_is_reported_with_its_position() {
    let cases = [
        (
            "platform: 127.0.0.1:7000",
            "platform: localhost",
            "line 3, column 11: 'localhost' is not an address",
        ),
        (
            "node: entry-1",
            "node: 'entry 1'",
            "line 1, column 7: the name has ' ' in it",
        ),
        (
            "127.0.0.1:8081",
            "127.0.0.1:8080",
            "line 6, column 10: '127.0.0.1:8080' is used twice",
        ),
        (
            "controller:",
            "  peers: {listen: 0.0.0.0:7800, region: kozep}\ncontroller:",
            "line 7, column 19: '0.0.0.0:7800' is not an address that other nodes can connect to",
        ),
        (
            "controller:",
            "  peers: {listen: 127.0.0.1:8081, region: kozep}\ncontroller:",
            "line 7, column 19: '127.0.0.1:8081' is used twice",
        ),
        (
            "controller:",
            "  peers: {listen: 127.0.0.1:7800, seeds: [entry-2], region: kozep}\ncontroller:",
            "line 7, column 43: 'entry-2' is not an address",
        ),
        (
            "controller:",
            "log_level: loud\ncontroller:",
            "line 7, column 12: 'loud' is not a log level",
        ),
        (
            "  listen:",
            "  poll_interval_ms: 0\n  listen:",
            "line 5, column 21: 0 is out of range",
        ),
        (
            "  listen:",
            "  report_validity_ms: 400\n  listen:",
            "line 5, column 23: 'report_validity_ms' is 400",
        ),
        (
            "  listen:",
            "  listn: 1\n  listen:",
            "line 5, column 3: unknown field",
        ),
    ];
    for (from, to, expected) in cases {
        let faults = faults_of(&VALID.replacen(from, to, 1));
        assert!(faults.contains(expected), "{to}: {faults}");
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = VALID
        .replacen("entry-1", "''", 1)
        .replacen("127.0.0.1:7000", "nowhere", 1);
    assert_eq!(faults_of(&text).lines().count(), 2);
}
