//! How the figures of reports grow with a size.

use super::Dimension;
use crate::regression::{Point, Regression};
use crate::report::Report;
use serde::Serialize;
use std::fmt::{self, Display, Formatter};

/// A figure of a report whose growth is computed.
struct TrackedFigure {
    name: &'static str,
    value: fn(&Report) -> f64,
}

/// Processor use of the busiest controller, in cores.
fn max_controller_cores(report: &Report) -> f64 {
    let cores = report.controller_loads.iter().map(|load| load.cpu_cores);
    cores.fold(0.0, f64::max)
}

const FIGURES: [TrackedFigure; 10] = [
    TrackedFigure {
        name: "controllers_cores",
        value: |report| report.controllers_cpu_cores,
    },
    TrackedFigure {
        name: "busiest_controller_cores",
        value: max_controller_cores,
    },
    TrackedFigure {
        name: "largest_controller_mb",
        value: |report| report.max_controller_mb,
    },
    TrackedFigure {
        name: "state_requests_per_s",
        value: |report| report.store_total.requests_per_s,
    },
    TrackedFigure {
        name: "state_changes_per_s",
        value: |report| report.store_total.writes_per_s,
    },
    TrackedFigure {
        name: "report_p99_ms",
        value: |report| report.heartbeats.p99_ms as f64,
    },
    TrackedFigure {
        name: "submission_p99_ms",
        value: |report| report.submissions.p99_ms as f64,
    },
    TrackedFigure {
        name: "worker_sent_bytes_per_s",
        value: |report| report.sent_per_worker_s,
    },
    TrackedFigure {
        name: "worker_messages_per_s",
        value: |report| report.messages_per_worker_s,
    },
    TrackedFigure {
        name: "hollow_process_cores",
        value: |report| report.hollow_process.cpu_cores,
    },
];

/// Growth of one figure with a size.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Growth {
    /// Name of the size.
    pub dimension: &'static str,
    /// Name of the figure.
    pub figure: &'static str,
    /// Measured sizes with the figure at each.
    pub points: Vec<Point>,
    /// The regression; `None` unless there are two different sizes.
    #[serde(rename = "fit")]
    pub regression: Option<Regression>,
}

impl Growth {
    fn new(figure: &TrackedFigure, dimension: Dimension, reports: &[Report]) -> Self {
        let points: Vec<Point> = reports
            .iter()
            .map(|report| (dimension.measured_size(report), (figure.value)(report)))
            .collect();
        Self {
            dimension: dimension.name(),
            figure: figure.name,
            regression: Regression::fit(&points),
            points,
        }
    }
}

/// Growth of all tracked figures over reports.
pub(super) fn growth_of_figures(dimension: Dimension, reports: &[Report]) -> Vec<Growth> {
    FIGURES
        .iter()
        .map(|figure| Growth::new(figure, dimension, reports))
        .collect()
}

impl Display for Growth {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (figure, dimension) = (self.figure, self.dimension);
        let Some(regression) = &self.regression else {
            return write!(f, "{figure}: one size, no fit");
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
            "{figure:<28} {intercept:.5} + {slope:.8} a unit of {dimension}, \
             exponent {exponent}, residual {residual:.5}"
        )
    }
}
