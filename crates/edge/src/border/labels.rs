//! Metrics of requests.

use base::prelude::*;
use net::MetricSink;

use super::ingress::AcceptedRequest;

/// Label of requests without an API key.
const PUBLIC_WORKSPACE: &str = "public";

/// Labels of a request's metrics.
#[derive(Clone, Debug)]
pub(super) struct RequestLabels {
    workspace: Option<WorkspaceName>,
    route: Arc<str>,
}

impl RequestLabels {
    /// Labels of an accepted request.
    pub fn of(accepted: &AcceptedRequest) -> Self {
        Self {
            workspace: accepted.request.workspace.clone(),
            route: accepted.route.name.clone(),
        }
    }

    fn workspace(&self) -> &str {
        self.workspace
            .as_ref()
            .map_or(PUBLIC_WORKSPACE, WorkspaceName::as_str)
    }

    /// Counts a response by its status.
    pub fn count_response(&self, metrics: &dyn MetricSink, status: &str) {
        let labels = [
            ("workspace", self.workspace()),
            ("route", &*self.route),
            ("status", status),
        ];
        metrics.count("answers", &labels, 1);
    }

    /// Counts a stream by how it ended.
    pub fn count_stream(&self, metrics: &dyn MetricSink, end: &str) {
        let labels = [
            ("workspace", self.workspace()),
            ("route", &*self.route),
            ("end", end),
        ];
        metrics.count("streams", &labels, 1);
    }

    /// Records a duration.
    pub fn record_duration(&self, metrics: &dyn MetricSink, name: &str, duration: Duration) {
        let labels = [("workspace", self.workspace()), ("route", &*self.route)];
        metrics.time(name, &labels, duration);
    }
}
