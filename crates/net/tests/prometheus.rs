//! Metrics in the Prometheus text format.

use std::time::Duration;

use net::{MetricSink, PrometheusMetrics};

#[test]
fn counters_and_histograms_are_rendered_by_label() {
    let metrics = PrometheusMetrics::default();
    metrics.count(
        "requests",
        &[("workspace", "depot"), ("outcome", "answered")],
        2,
    );
    metrics.count(
        "requests",
        &[("workspace", "clinic"), ("outcome", "refused")],
        1,
    );
    metrics.time(
        "answer_seconds",
        &[("workspace", "depot")],
        Duration::from_millis(40),
    );
    let text = metrics.text();
    for line in [
        r#"requests_total{workspace="depot",outcome="answered"} 2"#,
        r#"requests_total{workspace="clinic",outcome="refused"} 1"#,
        r#"answer_seconds_count{workspace="depot"} 1"#,
    ] {
        assert!(text.contains(line), "{line} is missing in:\n{text}");
    }
}
