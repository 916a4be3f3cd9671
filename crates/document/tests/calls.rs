//! Non-idempotent calls are recognized in every spelling of their path.
//!
//! A server may normalize a path, so that a retry of a call in another spelling
//! could execute it twice.

use base::prelude::*;
use document::parse_configuration;

#[test]
fn every_spelling_of_a_non_idempotent_path_is_recognized() {
    let text = "services:\n  foglalas: {plain: {non_idempotent: ['POST /charges']}}\n  llm: {deployment: m}\n";
    let configuration = parse_configuration(text).unwrap();
    let cases = [
        ("foglalas", "POST", "/charges", true),
        ("foglalas", "POST", "/charges/7?x=1", true),
        ("foglalas", "POST", "//charges", true),
        ("foglalas", "POST", "/./charges", true),
        ("foglalas", "POST", "/halls/../charges", true),
        ("foglalas", "POST", "/%63harges", true),
        ("foglalas", "POST", "/halls", false),
        ("foglalas", "POST", "/halls?next=//charges", false),
        ("foglalas", "GET", "/charges", false),
        ("llm", "POST", "/charges", false),
        ("unknown", "POST", "/charges", false),
    ];
    for (service, method, path, expected) in cases {
        let service = ServiceName::new(service).unwrap();
        let found = configuration.is_non_idempotent(&service, method, path);
        assert_eq!(found, expected, "{service} {method} {path}");
    }
}
