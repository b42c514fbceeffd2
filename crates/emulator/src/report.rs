//! The report of a run. Serialized names are those of the report's JSON, which sweeps
//! read back.

mod table;

use crate::metrics::{Metrics, StoreUsage};
use crate::pools::{BurstSummary, PoolSummary};
use crate::process::ProcessUsage;
use crate::request_category::RequestCategory;
use forkshift_wire::users::Priority;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Shortest measured time, in seconds, so that rates are finite.
const MIN_MEASURED_S: f64 = 1e-3;
const KIB_PER_MIB: f64 = 1024.0;

/// Summary of a latency distribution, in milliseconds. All fields are 0 without values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LatencySummary {
    /// Number of measured values.
    pub count: u64,
    /// The 50th percentile.
    pub median_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
    /// The largest value.
    #[serde(rename = "most_ms")]
    pub max_ms: u64,
}

impl From<&Histogram<u64>> for LatencySummary {
    fn from(latencies: &Histogram<u64>) -> Self {
        Self {
            count: latencies.len(),
            median_ms: latencies.value_at_quantile(0.5),
            p99_ms: latencies.value_at_quantile(0.99),
            max_ms: latencies.max(),
        }
    }
}

/// Rates of requests and writes at the key-value store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoreRates {
    /// Requests per second, with any status.
    pub requests_per_s: f64,
    /// Puts and deletes of successful transactions per second.
    #[serde(rename = "changes_per_s")]
    pub writes_per_s: f64,
}

impl StoreRates {
    fn new(usage: StoreUsage, seconds: f64) -> Self {
        Self {
            requests_per_s: usage.requests as f64 / seconds,
            writes_per_s: usage.writes as f64 / seconds,
        }
    }
}

/// Load of a process over the measured part of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ProcessLoad {
    /// Name of the controller, or of the emulator's process.
    pub name: String,
    /// Mean processor use, in cores.
    pub cpu_cores: f64,
    /// Resident memory at the end, in MiB.
    pub resident_mb: f64,
}

impl ProcessLoad {
    /// The load between two measurements that are `seconds` apart. The processor use is 0 if
    /// the processor time decreased, as it may for a restarted process.
    pub(crate) fn between(
        name: &str,
        start: ProcessUsage,
        end: ProcessUsage,
        seconds: f64,
    ) -> Self {
        Self {
            name: name.to_owned(),
            cpu_cores: (end.cpu_s - start.cpu_s).max(0.0) / seconds,
            resident_mb: end.resident_kib as f64 / KIB_PER_MIB,
        }
    }
}

/// Results of one run. Rates and latencies are those after the warm-up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Name of the site, from its file.
    pub site: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Whether Ctrl-C ended the run early.
    pub interrupted: bool,
    /// Length of the whole run, in seconds.
    pub duration_s: f64,
    /// Length of the measured part after the warm-up, in seconds.
    pub measured_s: f64,
    /// Violations of the scheduling rules, at most twenty: the rule, the time and the details.
    #[serde(rename = "rules_broken")]
    pub rule_violations: Vec<String>,
    /// Number of machines with a worker that is up at the end.
    pub workers: u64,
    /// Number of on-demand machines of the site's capacity.
    #[serde(rename = "workers_asked")]
    pub workers_expected: u64,
    /// Number of controllers.
    pub controllers: u64,
    /// Exits of controllers that no fault of the site caused.
    #[serde(rename = "controllers_ended")]
    pub controllers_exited: u64,
    /// Number of teams.
    pub teams: u64,
    /// Number of tasks on machines at the end.
    pub tasks_running: u64,
    /// Number of accepted jobs.
    pub jobs_accepted: u64,
    /// Number of accepted jobs that are done at the end.
    pub jobs_done: u64,
    /// Number of accepted jobs that were cancelled.
    pub jobs_cancelled: u64,
    /// Number of accepted jobs with running tasks at the end.
    pub jobs_running: u64,
    /// Number of accepted jobs that are not over and have no running task at the end.
    #[serde(rename = "jobs_waiting")]
    pub jobs_pending: u64,
    /// Number of restarts of replicas of services.
    #[serde(default)]
    pub replicas_restarted: u64,
    /// Number of tasks that started for the first time.
    pub task_starts: u64,
    /// First starts of tasks per second.
    pub starts_per_s: f64,
    /// From a user's first attempt to submit a job until each task's first start, by priority.
    #[serde(rename = "start_times")]
    pub start_latencies: BTreeMap<String, LatencySummary>,
    /// From a user's first attempt to submit a job until a controller accepted it.
    pub submissions: LatencySummary,
    /// From sending a heartbeat until its response or its failure.
    #[serde(rename = "reports")]
    pub heartbeats: LatencySummary,
    /// Number of heartbeats without a response, or with a status other than 200 and 421.
    #[serde(rename = "reports_failed")]
    pub heartbeats_failed: u64,
    /// Number of heartbeats that were redirected to another controller with 421.
    #[serde(rename = "reports_redirected")]
    pub heartbeats_redirected: u64,
    /// Heartbeats and commands, per worker and second.
    pub messages_per_worker_s: f64,
    /// Bytes that workers sent, per worker and second.
    pub sent_per_worker_s: f64,
    /// Bytes that workers received, per worker and second.
    pub received_per_worker_s: f64,
    /// Rates at the key-value store, by category.
    #[serde(rename = "state")]
    pub store: BTreeMap<String, StoreRates>,
    /// Sum of the rates at the key-value store over all categories.
    #[serde(rename = "state_total")]
    pub store_total: StoreRates,
    /// Number of requests that the key-value store refused with 429 or 503.
    #[serde(rename = "state_refused")]
    pub store_requests_refused: u64,
    /// Load of each controller, by index.
    #[serde(rename = "controller_use")]
    pub controller_loads: Vec<ProcessLoad>,
    /// Sum of the mean processor use of the controllers, in cores.
    pub controllers_cpu_cores: f64,
    /// Resident memory of the controller that has the most at the end, in MiB.
    #[serde(rename = "controller_most_mb")]
    pub max_controller_mb: f64,
    /// Load of the emulator's process: hollow workers, users and services.
    #[serde(rename = "hollow_use")]
    pub emulator_load: ProcessLoad,
    /// Largest lag of the emulator's simulated time behind the clock, in milliseconds. Beyond a
    /// few hundred, latencies measure the emulator rather than the controllers.
    #[serde(rename = "hollow_behind_ms")]
    pub emulator_lag_ms: u64,
    /// First answers of the replicas of bursts; `None` without bursts.
    #[serde(default)]
    pub burst: Option<BurstSummary>,
    /// Totals of the warm pools; `None` if no machine was in one.
    #[serde(default)]
    pub pools: Option<PoolSummary>,
}

/// Name of a priority in reports.
fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
        Priority::Production => "production",
    }
}

/// Name of a category in reports.
fn category_name(category: RequestCategory) -> String {
    let name = serde_json::to_value(category).unwrap_or_default();
    name.as_str().unwrap_or_default().to_owned()
}

impl Report {
    /// Whether a scheduling rule was violated, or the usage records of the pools are wrong.
    pub(crate) fn has_failures(&self) -> bool {
        let discrepancies = self.pools.as_ref().map(|pools| &pools.discrepancies);
        !self.rule_violations.is_empty() || discrepancies.is_some_and(|list| !list.is_empty())
    }

    /// Sets the fields that are computed from metrics. `measured_s` and `workers` must be set
    /// before, as the rates are computed with them.
    pub(crate) fn set_metrics(&mut self, metrics: &Metrics) {
        let seconds = self.measured_s.max(MIN_MEASURED_S);
        self.set_start_metrics(metrics, seconds);
        self.set_worker_metrics(metrics, seconds);
        self.set_store_metrics(metrics, seconds);
        self.emulator_lag_ms = metrics.max_lag_ms;
    }

    fn set_start_metrics(&mut self, metrics: &Metrics, seconds: f64) {
        self.task_starts = metrics.task_starts();
        self.starts_per_s = self.task_starts as f64 / seconds;
        let latencies = metrics.start_latencies.iter();
        self.start_latencies = latencies
            .map(|(priority, latencies)| (priority_name(*priority).to_owned(), latencies.into()))
            .collect();
        self.submissions = (&metrics.submission_latencies).into();
    }

    fn set_worker_metrics(&mut self, metrics: &Metrics, seconds: f64) {
        let workers = self.workers.max(1) as f64;
        let rate_per_worker = |count: u64| count as f64 / seconds / workers;
        let messages = metrics.heartbeat_latencies.len() + metrics.commands;
        self.heartbeats = (&metrics.heartbeat_latencies).into();
        self.heartbeats_failed = metrics.heartbeats_failed;
        self.heartbeats_redirected = metrics.heartbeats_redirected;
        self.messages_per_worker_s = rate_per_worker(messages);
        self.sent_per_worker_s = rate_per_worker(metrics.worker_traffic.sent);
        self.received_per_worker_s = rate_per_worker(metrics.worker_traffic.received);
    }

    fn set_store_metrics(&mut self, metrics: &Metrics, seconds: f64) {
        let usages = metrics.store.iter();
        self.store = usages
            .map(|(category, usage)| (category_name(*category), StoreRates::new(*usage, seconds)))
            .collect();
        self.store_total = StoreRates {
            requests_per_s: self.store.values().map(|rates| rates.requests_per_s).sum(),
            writes_per_s: self.store.values().map(|rates| rates.writes_per_s).sum(),
        };
        self.store_requests_refused = metrics.store_requests_refused;
    }

    /// Sets the loads of the controllers, with their sum and maximum.
    pub(crate) fn set_controller_loads(&mut self, loads: Vec<ProcessLoad>) {
        self.controllers_cpu_cores = loads.iter().map(|load| load.cpu_cores).sum();
        let memory = loads.iter().map(|load| load.resident_mb);
        self.max_controller_mb = memory.fold(0.0, f64::max);
        self.controller_loads = loads;
    }
}

#[cfg(test)]
mod tests;
