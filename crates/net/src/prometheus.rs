//! Counters, gauges and histograms in the Prometheus text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::MetricSink;
use crate::web::{RequestBody, WebResponse, WebService, text_response};

/// Upper bound of the first histogram bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
/// Ratio of the upper bounds of successive buckets.
const BUCKET_FACTOR: f64 = 1.8;
/// Buckets per histogram; the upper bound of the last is about 19 s.
const BUCKET_COUNT: u16 = 15;

type Labels = Vec<(String, String)>;
type Histograms = Family<Labels, Histogram, fn() -> Histogram>;

/// Metrics of one process, collected until they are scraped.
#[derive(Debug, Default)]
pub struct PrometheusMetrics(RefCell<MetricsState>);

#[derive(Debug, Default)]
struct MetricsState {
    registry: Registry,
    counters: BTreeMap<String, Family<Labels, Counter>>,
    gauges: BTreeMap<String, Family<Labels, Gauge>>,
    histograms: BTreeMap<String, Histograms>,
}

impl PrometheusMetrics {
    /// Renders all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.0.borrow().registry) {
            log::error!("metrics could not be encoded: {error}");
        }
        text
    }
}

impl MetricSink for PrometheusMetrics {
    fn count(&self, name: &str, tags: &[(&str, &str)], amount: i64) {
        let mut state = self.0.borrow_mut();
        let MetricsState {
            registry, counters, ..
        } = &mut *state;
        let family = counters.entry(name.to_owned()).or_insert_with(|| {
            let family = Family::default();
            registry.register(name, name.replace('_', " "), Family::clone(&family));
            family
        });
        let amount = u64::try_from(amount).unwrap_or(0);
        family.get_or_create(&labels(tags)).inc_by(amount);
    }

    fn set(&self, name: &str, tags: &[(&str, &str)], value: u64) {
        let mut state = self.0.borrow_mut();
        let MetricsState {
            registry, gauges, ..
        } = &mut *state;
        let family = gauges.entry(name.to_owned()).or_insert_with(|| {
            let family = Family::default();
            registry.register(name, name.replace('_', " "), Family::clone(&family));
            family
        });
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        family.get_or_create(&labels(tags)).set(value);
    }

    fn time(&self, name: &str, tags: &[(&str, &str)], duration: Duration) {
        let mut state = self.0.borrow_mut();
        let MetricsState {
            registry,
            histograms,
            ..
        } = &mut *state;
        let family = histograms.entry(name.to_owned()).or_insert_with(|| {
            let family = Histograms::new_with_constructor(new_histogram);
            registry.register(name, name.replace('_', " "), Family::clone(&family));
            family
        });
        family
            .get_or_create(&labels(tags))
            .observe(duration.as_secs_f64());
    }

    fn flush(&self) {}
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_FACTOR,
        BUCKET_COUNT,
    ))
}

fn labels(tags: &[(&str, &str)]) -> Labels {
    let pairs = tags.iter();
    pairs
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
        .collect()
}

/// HTTP service that responds to every request with the metrics.
#[derive(Clone, Debug)]
pub struct MetricsPage(pub std::rc::Rc<PrometheusMetrics>);

impl WebService for MetricsPage {
    fn answer(&self, _request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let text = self.0.text();
        Box::pin(async move { text_response(StatusCode::OK, &text) })
    }
}
