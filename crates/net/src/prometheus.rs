//! Counters and histograms as a text page that a metrics service fetches.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::MetricSink;
use crate::web::{WebResponse, WebService, text_response};

/// Upper bound of a histogram's first bucket, in seconds.
const FIRST_BUCKET: f64 = 0.005;
/// Factor from one bucket to the next.
const BUCKET_FACTOR: f64 = 1.8;
/// Buckets of a histogram; the last ends at about 19 s.
const BUCKETS: u16 = 15;

type Labels = Vec<(String, String)>;
type Histograms = Family<Labels, Histogram, fn() -> Histogram>;

/// Metrics of one process, kept for its page.
#[derive(Debug, Default)]
pub struct PrometheusMetrics(RefCell<PageState>);

#[derive(Debug, Default)]
struct PageState {
    registry: Registry,
    counters: BTreeMap<String, Family<Labels, Counter>>,
    histograms: BTreeMap<String, Histograms>,
}

impl PrometheusMetrics {
    /// All metrics in the text format of the Prometheus project.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(fault) = encode(&mut text, &self.0.borrow().registry) {
            log::error!("the metrics can't be written: {fault}");
        }
        text
    }
}

impl MetricSink for PrometheusMetrics {
    fn count(&self, name: &str, tags: &[(&str, &str)], amount: i64) {
        let mut state = self.0.borrow_mut();
        let PageState {
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

    fn time(&self, name: &str, tags: &[(&str, &str)], span: Duration) {
        let mut state = self.0.borrow_mut();
        let PageState {
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
            .observe(span.as_secs_f64());
    }

    fn flush(&self) {}
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS))
}

fn labels(tags: &[(&str, &str)]) -> Labels {
    let pairs = tags.iter();
    pairs
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
        .collect()
}

/// Service that answers with the page.
#[derive(Clone, Debug)]
pub struct MetricsPage(pub std::rc::Rc<PrometheusMetrics>);

impl WebService for MetricsPage {
    fn answer(&self, _request: Request<Incoming>) -> LocalBoxFuture<'static, WebResponse> {
        let text = self.0.text();
        Box::pin(async move { text_response(StatusCode::OK, &text) })
    }
}
