//! Runs a site at several sizes and fits how each metric of the reports grows, with plots.

mod growth;

use crate::plot::{Plot, PlotError};
use crate::report::Report;
use crate::site::Overrides;
use growth::{growth_of_metrics, Growth};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// The dimension of the load that a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum Dimension {
    /// Number of workers; capacity, quotas and load are scaled in proportion.
    Workers,
    /// Task starts per second.
    Starts,
    /// Number of teams per entry.
    Teams,
    /// Number of controllers.
    Controllers,
}

impl Dimension {
    /// Name of the dimension in file names, fits and plots.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Starts => "starts",
            Self::Teams => "teams",
            Self::Controllers => "controllers",
        }
    }

    /// The base overrides with a size of this dimension. Counts are rounded.
    fn overrides(self, size: f64, base: &Overrides) -> Overrides {
        let count = size.round();
        match self {
            Self::Workers => Overrides {
                workers: Some(count as u32),
                ..*base
            },
            Self::Starts => Overrides {
                starts_per_s: Some(size),
                ..*base
            },
            Self::Teams => Overrides {
                teams: Some(count as usize),
                ..*base
            },
            Self::Controllers => Overrides {
                controllers: Some(count as usize),
                ..*base
            },
        }
    }

    /// The size that a run reached by its report, which may differ from the configured one.
    fn measured_size(self, report: &Report) -> f64 {
        match self {
            Self::Workers => report.workers as f64,
            Self::Starts => report.starts_per_s,
            Self::Teams => report.teams as f64,
            Self::Controllers => report.controllers as f64,
        }
    }
}

/// Why a sweep fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SweepError {
    /// A run ended without a valid report. Its process has printed the reason.
    #[error("the run with {size} {dimension} wrote no valid report; its error is printed above")]
    NoReport {
        /// Size of the run.
        size: f64,
        /// Name of the dimension.
        dimension: &'static str,
    },
    /// A file can't be read, written or run.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Why the operation failed.
        source: io::Error,
    },
    /// A plot can't be written.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

impl SweepError {
    fn file(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        |source| Self::File {
            path: path.to_owned(),
            source,
        }
    }
}

/// A sweep, and the directory for its results.
pub(crate) struct Sweep<'a> {
    /// Path of the site file.
    pub site: &'a Path,
    /// The dimension that is varied.
    pub dimension: Dimension,
    /// Sizes in the dimension; each is one run.
    pub sizes: &'a [f64],
    /// Overrides of all runs; the size of each run is added to them.
    pub overrides: Overrides,
    /// Directory for reports, regressions and plots.
    pub directory: &'a Path,
    /// Prefix of the names of the files.
    pub label: &'a str,
}

impl Sweep<'_> {
    /// Runs the sizes one after the other until `stop` is set. Writes the report of each run
    /// when it ends, and regressions and plots at the end. Returns whether a run violated a
    /// scheduling rule.
    pub(crate) fn run(&self, stop: &AtomicBool) -> Result<bool, SweepError> {
        fs::create_dir_all(self.directory).map_err(SweepError::file(self.directory))?;
        let path = self.result_path("jsonl");
        let mut lines = File::create(&path).map_err(SweepError::file(&path))?;
        let mut reports = Vec::new();
        for size in self.sizes {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let report = self.run_size(*size)?;
            let line = serde_json::to_string(&report).unwrap_or_default();
            writeln!(lines, "{line}").map_err(SweepError::file(&path))?;
            reports.push(report);
        }
        self.write_fits(&reports)?;
        Ok(reports
            .iter()
            .any(|report| !report.rule_violations.is_empty()))
    }

    /// Runs one size in a separate process, so that sockets and memory of one run do not affect
    /// the next.
    fn run_size(&self, size: f64) -> Result<Report, SweepError> {
        let path = self.result_path("run.json");
        let overrides = self.dimension.overrides(size, &self.overrides);
        let program = std::env::current_exe().map_err(SweepError::file(&path))?;
        let mut command = Command::new(program);
        command.arg("run").arg(self.site);
        command.arg("--report").arg(&path);
        command.args(overrides.to_arguments());
        // The exit status is ignored, since the report lists rule violations too.
        command.status().map_err(SweepError::file(&path))?;
        let no_report = || SweepError::NoReport {
            size,
            dimension: self.dimension.name(),
        };
        let text = fs::read_to_string(&path).map_err(|_| no_report())?;
        fs::remove_file(&path).map_err(SweepError::file(&path))?;
        serde_json::from_str(&text).map_err(|_| no_report())
    }

    /// Path of a result file of the sweep, with the sweep's label and dimension in its name.
    fn result_path(&self, ending: &str) -> PathBuf {
        let name = format!("{}-{}.{ending}", self.label, self.dimension.name());
        self.directory.join(name)
    }

    fn write_fits(&self, reports: &[Report]) -> Result<(), SweepError> {
        let growth = growth_of_metrics(self.dimension, reports);
        let path = self.result_path("fits.json");
        let text = serde_json::to_string_pretty(&growth).unwrap_or_default();
        fs::write(&path, text + "\n").map_err(SweepError::file(&path))?;
        for growth in &growth {
            println!("{growth}");
            self.write_plot(growth)?;
        }
        Ok(())
    }

    fn write_plot(&self, growth: &Growth) -> Result<(), SweepError> {
        let plot = Plot {
            metric: growth.metric,
            dimension: growth.dimension,
            points: &growth.points,
            regression: growth.regression.as_ref(),
        };
        Ok(plot.write(&self.result_path(&format!("{}.svg", growth.metric)))?)
    }
}

#[cfg(test)]
mod tests;
