//! The same site at several sizes, how each figure grows, and plots of it.

use crate::fit::{fit, Fit};
use crate::plot;
use crate::report::Report;
use crate::site::Overrides;
use serde::Serialize;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Dimension {
    /// Workers, with all that goes with them.
    Workers,
    /// Task starts a second.
    Starts,
    /// Teams.
    Teams,
    /// Controllers.
    Controllers,
}

impl Dimension {
    /// Its name, for files and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Starts => "starts",
            Self::Teams => "teams",
            Self::Controllers => "controllers",
        }
    }

    /// The overrides of one size.
    fn at(self, size: f64, base: &Overrides) -> Overrides {
        let whole = size.round();
        match self {
            Self::Workers => Overrides {
                workers: Some(whole as u32),
                ..*base
            },
            Self::Starts => Overrides {
                starts_per_s: Some(size),
                ..*base
            },
            Self::Teams => Overrides {
                teams: Some(whole as usize),
                ..*base
            },
            Self::Controllers => Overrides {
                controllers: Some(whole as usize),
                ..*base
            },
        }
    }

    /// What a run's size came to.
    fn size_in(self, report: &Report) -> f64 {
        match self {
            Self::Workers => report.workers as f64,
            Self::Starts => report.starts_per_s,
            Self::Teams => report.teams as f64,
            Self::Controllers => report.controllers as f64,
        }
    }
}

/// A figure of a report that is followed over sizes.
struct Figure {
    name: &'static str,
    value: fn(&Report) -> f64,
}

/// The processor time of the controller that used most.
fn most_cores(report: &Report) -> f64 {
    let cores = report.controller_loads.iter().map(|u| u.cpu_cores);
    cores.fold(0.0, f64::max)
}

const FIGURES: [Figure; 10] = [
    Figure {
        name: "controllers_cores",
        value: |r| r.controllers_cpu_cores,
    },
    Figure {
        name: "busiest_controller_cores",
        value: most_cores,
    },
    Figure {
        name: "largest_controller_mb",
        value: |r| r.max_controller_mb,
    },
    Figure {
        name: "state_requests_per_s",
        value: |r| r.store_total.requests_per_s,
    },
    Figure {
        name: "state_changes_per_s",
        value: |r| r.store_total.writes_per_s,
    },
    Figure {
        name: "report_p99_ms",
        value: |r| r.heartbeats.p99_ms as f64,
    },
    Figure {
        name: "submission_p99_ms",
        value: |r| r.submissions.p99_ms as f64,
    },
    Figure {
        name: "worker_sent_bytes_per_s",
        value: |r| r.sent_per_worker_s,
    },
    Figure {
        name: "worker_messages_per_s",
        value: |r| r.messages_per_worker_s,
    },
    Figure {
        name: "hollow_process_cores",
        value: |r| r.hollow_process.cpu_cores,
    },
];

/// How one figure grows.
#[derive(Clone, Debug, Serialize)]
pub struct Growth {
    /// What was varied.
    pub dimension: &'static str,
    /// The figure.
    pub figure: &'static str,
    /// Sizes, as they came to be, with the figure at each.
    pub points: Vec<(f64, f64)>,
    /// The fit, if there are two sizes.
    pub fit: Option<Fit>,
}

/// How all figures grow over reports.
pub fn growth(dimension: Dimension, reports: &[Report]) -> Vec<Growth> {
    let of = |figure: &Figure| {
        let points = reports.iter();
        let points = points.map(|r| (dimension.size_in(r), (figure.value)(r)));
        let points: Vec<(f64, f64)> = points.collect();
        let fit = fit(&points);
        Growth {
            dimension: dimension.name(),
            figure: figure.name,
            points,
            fit,
        }
    };
    FIGURES.iter().map(of).collect()
}

/// Why a sweep ends.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A run ended without a report; it has said why.
    #[error("the run of {0} {1} has made no report")]
    Run(f64, &'static str),
    /// A file can't be written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A plot can't be drawn.
    #[error("{0}")]
    Plot(#[from] plot::Failure),
}

/// What is swept, and where its outcome goes.
pub struct Plan<'a> {
    /// The site file.
    pub site: &'a Path,
    /// What is varied.
    pub dimension: Dimension,
    /// The sizes.
    pub sizes: &'a [f64],
    /// What the command line sets besides.
    pub base: Overrides,
    /// The folder for reports, fits and plots.
    pub folder: &'a Path,
    /// Begins the names of the files.
    pub label: &'a str,
}

impl Plan<'_> {
    /// Makes all runs, and writes reports as they come, then fits and plots. Says
    /// whether a rule was broken.
    pub fn carry_out(&self, stop: &Arc<AtomicBool>) -> Result<bool, Failure> {
        let failed = |path: &Path, e| Failure::File(path.to_owned(), e);
        fs::create_dir_all(self.folder).map_err(|e| failed(self.folder, e))?;
        let path = self.file("jsonl");
        let mut lines = File::create(&path).map_err(|e| failed(&path, e))?;
        let mut reports = Vec::new();
        for size in self.sizes {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let report = self.run(*size)?;
            let line = serde_json::to_string(&report).unwrap_or_default();
            writeln!(lines, "{line}").map_err(|e| failed(&path, e))?;
            reports.push(report);
        }
        self.write_growth(&reports)?;
        Ok(reports.iter().any(|r| !r.rule_violations.is_empty()))
    }

    /// Makes one run, in a process of its own, so that none finds sockets or
    /// memory of the one before.
    fn run(&self, size: f64) -> Result<Report, Failure> {
        let path = self.file("run.json");
        let overrides = self.dimension.at(size, &self.base);
        let program = std::env::current_exe().map_err(|e| Failure::File(path.clone(), e))?;
        let mut command = Command::new(program);
        command.arg("run").arg(self.site).arg("--report").arg(&path);
        command.args(overrides.to_arguments());
        // It says by its status whether a rule was broken, and so does the report.
        let ran = command.status();
        ran.map_err(|e| Failure::File(path.clone(), e))?;
        let failed = || Failure::Run(size, self.dimension.name());
        let text = fs::read_to_string(&path).map_err(|_| failed())?;
        let removed = fs::remove_file(&path);
        removed.map_err(|e| Failure::File(path, e))?;
        serde_json::from_str(&text).map_err(|_| failed())
    }

    fn file(&self, ending: &str) -> PathBuf {
        let name = format!("{}-{}.{ending}", self.label, self.dimension.name());
        self.folder.join(name)
    }

    fn write_growth(&self, reports: &[Report]) -> Result<(), Failure> {
        let all = growth(self.dimension, reports);
        let path = self.file("fits.json");
        let text = serde_json::to_string_pretty(&all).unwrap_or_default();
        fs::write(&path, text + "\n").map_err(|e| Failure::File(path, e))?;
        for growth in &all {
            println!("{}", describe(growth));
            let path = self.file(&format!("{}.svg", growth.figure));
            let names = (growth.figure, growth.dimension);
            plot::draw(&path, names, &growth.points, growth.fit.as_ref())?;
        }
        Ok(())
    }
}

fn describe(growth: &Growth) -> String {
    let Growth {
        dimension, figure, ..
    } = growth;
    let Some(fit) = &growth.fit else {
        return format!("{figure}: one size, no fit");
    };
    let exponent = fit
        .exponent
        .map_or("none".to_owned(), |e| format!("{e:.2}"));
    format!(
        "{figure:<28} {:.5} + {:.8} a unit of {dimension}, exponent {exponent}, residual {:.5}",
        fit.intercept, fit.slope, fit.residual
    )
}

#[cfg(test)]
mod tests;
