//! Fits how the metrics of reports grow with the size of a sweep.

use super::Dimension;
use crate::regression::{Point, Regression};
use crate::report::Report;
use serde::Serialize;
use std::fmt::{self, Display, Formatter};

/// A metric of a report whose growth is fitted.
struct TrackedMetric {
    name: &'static str,
    value: fn(&Report) -> f64,
}

/// Processor use of the busiest controller, in cores.
fn max_controller_cores(report: &Report) -> f64 {
    let cores = report.controller_loads.iter().map(|load| load.cpu_cores);
    cores.fold(0.0, f64::max)
}

const TRACKED_METRICS: [TrackedMetric; 10] = [
    TrackedMetric {
        name: "controllers_cores",
        value: |report| report.controllers_cpu_cores,
    },
    TrackedMetric {
        name: "busiest_controller_cores",
        value: max_controller_cores,
    },
    TrackedMetric {
        name: "largest_controller_mb",
        value: |report| report.max_controller_mb,
    },
    TrackedMetric {
        name: "state_requests_per_s",
        value: |report| report.store_total.requests_per_s,
    },
    TrackedMetric {
        name: "state_changes_per_s",
        value: |report| report.store_total.writes_per_s,
    },
    TrackedMetric {
        name: "report_p99_ms",
        value: |report| report.heartbeats.p99_ms as f64,
    },
    TrackedMetric {
        name: "submission_p99_ms",
        value: |report| report.submissions.p99_ms as f64,
    },
    TrackedMetric {
        name: "worker_sent_bytes_per_s",
        value: |report| report.sent_per_worker_s,
    },
    TrackedMetric {
        name: "worker_messages_per_s",
        value: |report| report.messages_per_worker_s,
    },
    TrackedMetric {
        name: "hollow_process_cores",
        value: |report| report.emulator_load.cpu_cores,
    },
];

/// Growth of one metric with the size. Serialized names are those of the sweep's `fits.json`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Growth {
    /// Name of the dimension.
    pub dimension: &'static str,
    /// Name of the metric.
    #[serde(rename = "figure")]
    pub metric: &'static str,
    /// Measured sizes with the metric's value at each.
    pub points: Vec<Point>,
    /// The regression of the points; `None` unless there are two different sizes.
    #[serde(rename = "fit")]
    pub regression: Option<Regression>,
}

impl Growth {
    fn new(metric: &TrackedMetric, dimension: Dimension, reports: &[Report]) -> Self {
        let points: Vec<Point> = reports
            .iter()
            .map(|report| (dimension.measured_size(report), (metric.value)(report)))
            .collect();
        Self {
            dimension: dimension.name(),
            metric: metric.name,
            regression: Regression::fit(&points),
            points,
        }
    }
}

/// Fits the growth of all tracked metrics over the reports of a sweep.
pub(super) fn growth_of_metrics(dimension: Dimension, reports: &[Report]) -> Vec<Growth> {
    TRACKED_METRICS
        .iter()
        .map(|metric| Growth::new(metric, dimension, reports))
        .collect()
}

impl Display for Growth {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (metric, dimension) = (self.metric, self.dimension);
        let Some(regression) = &self.regression else {
            return write!(f, "{metric}: one size, no fit");
        };
        let Regression {
            intercept,
            slope,
            exponent,
            residual,
        } = regression;
        let exponent = exponent.map_or("none".to_owned(), |value| format!("{value:.2}"));
        write!(
            f,
            "{metric:<28} {intercept:.5} + {slope:.8} a unit of {dimension}, \
             exponent {exponent}, residual {residual:.5}"
        )
    }
}
