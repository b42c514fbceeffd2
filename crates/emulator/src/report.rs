//! The report of a run.

use crate::metrics::Metrics;
use crate::pools::{BurstFigures, PoolFigures};
use crate::process::ProcessUsage;
use crate::purpose::Purpose;
use forkshift_wire::users::Priority;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Display, Write};

/// Times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// How many there were.
    pub count: u64,
    /// The median.
    pub median_ms: u64,
    /// What 99 of 100 stay below.
    pub p99_ms: u64,
    /// The longest.
    pub most_ms: u64,
}

impl From<&Histogram<u64>> for Times {
    fn from(times: &Histogram<u64>) -> Self {
        Self {
            count: times.len(),
            median_ms: times.value_at_quantile(0.5),
            p99_ms: times.value_at_quantile(0.99),
            most_ms: times.max(),
        }
    }
}

/// Requests and changes a second at the state service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateRates {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Changes a second.
    pub changes_per_s: f64,
}

/// What a process used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUse {
    /// Its name.
    pub name: String,
    /// Processor seconds a second, in parts of one core.
    pub cpu_cores: f64,
    /// Resident memory at the end, in MB.
    pub resident_mb: f64,
}

/// What one run showed. Rates and times are of the part behind the warm-up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the site.
    pub site: String,
    /// Seed.
    pub seed: u64,
    /// Whether it was ended before its time.
    pub interrupted: bool,
    /// Length of the whole run, in seconds.
    pub duration_s: f64,
    /// Length of the part that was measured, in seconds.
    pub measured_s: f64,
    /// Rules that were broken, the first twenty: which, when, and how.
    pub rules_broken: Vec<String>,
    /// Workers that were up at the end.
    pub workers: u64,
    /// Workers that the run was to have.
    pub workers_asked: u64,
    /// Controllers.
    pub controllers: u64,
    /// Controllers that ended by themselves.
    pub controllers_ended: u64,
    /// Teams.
    pub teams: u64,
    /// Tasks on machines at the end.
    pub tasks_running: u64,
    /// Jobs that were accepted.
    pub jobs_accepted: u64,
    /// Those of them that are done.
    pub jobs_done: u64,
    /// Those that were cancelled.
    pub jobs_cancelled: u64,
    /// Those with tasks on machines at the end.
    pub jobs_running: u64,
    /// Those with none at the end.
    pub jobs_waiting: u64,
    /// Replicas that were started again.
    #[serde(default)]
    pub replicas_restarted: u64,
    /// First starts of tasks.
    pub task_starts: u64,
    /// The same a second.
    pub starts_per_s: f64,
    /// From a user's first attempt until a task's first start, by priority.
    pub start_times: BTreeMap<String, Times>,
    /// From a user's first attempt until the job was accepted.
    pub submissions: Times,
    /// From sending a report until its answer.
    pub reports: Times,
    /// Reports that had no answer, or another than 200 and 421.
    pub reports_failed: u64,
    /// Reports that were led to another controller.
    pub reports_redirected: u64,
    /// Messages a worker a second, reports and commands.
    pub messages_per_worker_s: f64,
    /// Bytes that a worker sends a second.
    pub sent_per_worker_s: f64,
    /// Bytes that a worker receives a second.
    pub received_per_worker_s: f64,
    /// The state service, by purpose.
    pub state: BTreeMap<String, StateRates>,
    /// All of it.
    pub state_total: StateRates,
    /// Requests that it refused.
    pub state_refused: u64,
    /// Each controller.
    pub controller_use: Vec<ProcessUse>,
    /// All of them together, in cores.
    pub controllers_cpu_cores: f64,
    /// The largest of them, in MB.
    pub controller_most_mb: f64,
    /// The process with all hollow workers, users and services.
    pub hollow_use: ProcessUse,
    /// The longest time by which that process was behind the clock, in milliseconds.
    /// Beyond a few hundred, times are its own rather than the controllers'.
    pub hollow_behind_ms: u64,
    /// How soon the replicas of bursts answered, where there are bursts.
    #[serde(default)]
    pub burst: Option<BurstFigures>,
    /// Warm pools, where machines were in any.
    #[serde(default)]
    pub pools: Option<PoolFigures>,
}

/// What is used between two looks.
pub fn process_use(name: &str, from: ProcessUsage, to: ProcessUsage, s: f64) -> ProcessUse {
    ProcessUse {
        name: name.to_owned(),
        cpu_cores: (to.cpu_s - from.cpu_s).max(0.0) / s,
        resident_mb: to.resident_kb as f64 / 1024.0,
    }
}

/// The name of a priority in reports.
fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
        Priority::Production => "production",
    }
}

fn purpose_name(purpose: Purpose) -> String {
    let name = serde_json::to_value(purpose).unwrap_or_default();
    name.as_str().unwrap_or_default().to_owned()
}

impl Report {
    /// Fills in what the metrics hold, as rates over the measured part.
    pub fn fill(&mut self, metrics: &Metrics) {
        let seconds = self.measured_s.max(1e-3);
        let workers = self.workers.max(1) as f64;
        let per_worker = |n: u64| n as f64 / seconds / workers;
        self.task_starts = metrics.task_starts();
        self.starts_per_s = self.task_starts as f64 / seconds;
        let starts = metrics.starts.iter();
        self.start_times = starts
            .map(|(priority, times)| (priority_name(*priority).to_owned(), times.into()))
            .collect();
        self.submissions = (&metrics.acceptances).into();
        self.reports = (&metrics.reports).into();
        self.reports_failed = metrics.reports_failed;
        self.reports_redirected = metrics.reports_redirected;
        self.messages_per_worker_s = per_worker(metrics.reports.len() + metrics.commands);
        self.sent_per_worker_s = per_worker(metrics.worker_traffic.sent);
        self.received_per_worker_s = per_worker(metrics.worker_traffic.received);
        let state = metrics.state.iter().map(|(purpose, used)| {
            let rates = StateRates {
                requests_per_s: used.requests as f64 / seconds,
                changes_per_s: used.changes as f64 / seconds,
            };
            (purpose_name(*purpose), rates)
        });
        self.state = state.collect();
        self.state_total = StateRates {
            requests_per_s: self.state.values().map(|r| r.requests_per_s).sum(),
            changes_per_s: self.state.values().map(|r| r.changes_per_s).sum(),
        };
        self.state_refused = metrics.state_refused;
        self.hollow_behind_ms = metrics.behind_ms;
    }

    /// Fills in what the controllers used.
    pub fn fill_controllers(&mut self, used: Vec<ProcessUse>) {
        self.controllers_cpu_cores = used.iter().map(|u| u.cpu_cores).sum();
        let most = used.iter().map(|u| u.resident_mb);
        self.controller_most_mb = most.fold(0.0, f64::max);
        self.controller_use = used;
    }
}

/// One line of the table.
fn row(out: &mut String, name: &str, value: impl Display) {
    // Writing to a string does not fail.
    let _ = writeln!(out, "{name:<34} {value}");
}

fn times(times: &Times) -> String {
    let Times {
        count,
        median_ms,
        p99_ms,
        most_ms,
    } = times;
    format!("median {median_ms} ms, 99% {p99_ms} ms, most {most_ms} ms ({count})")
}

fn burst_text(burst: &BurstFigures) -> String {
    let ms = |ms: Option<u64>| ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
    format!(
        "{} of {} replicas answered, the first after {}, all after {}",
        burst.answered,
        burst.replicas,
        ms(burst.first_answer_ms),
        ms(burst.all_answered_ms)
    )
}

fn pool_rows(out: &mut String, pools: &PoolFigures) {
    let times = format!(
        "{} machines, {:.0} machine-seconds asked for, {:.0} warm, {:.0} short",
        pools.machines, pools.asked_s, pools.warm_s, pools.short_s
    );
    row(out, "pools", times);
    let counts = format!(
        "{} handed out, {} missed, {} reclaimed, {} lost",
        pools.handed_out, pools.missed, pools.reclaimed, pools.lost
    );
    row(out, "", counts);
    let reported = pools.reported_cost;
    let cost = format!(
        "cost {:.4} by the accounts, {} by the report, {:.4} by the cloud; {:.3} s apart at most",
        pools.cost,
        reported.map_or("none".to_owned(), |cost| format!("{cost:.4}")),
        pools.cloud_cost,
        pools.largest_difference_s
    );
    row(out, "", cost);
    for mistake in &pools.mistakes {
        row(out, "account", mistake);
    }
}

fn process(used: &ProcessUse) -> String {
    format!("{:.3} cores, {:.1} MB", used.cpu_cores, used.resident_mb)
}

impl Display for Report {
    /// A table for people.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = String::new();
        row(
            &mut out,
            "site, seed",
            format!("{}, {}", self.site, self.seed),
        );
        let measured = format!("{:.0} s of {:.0} s", self.measured_s, self.duration_s);
        row(&mut out, "measured", measured);
        let workers = format!("{} of {}", self.workers, self.workers_asked);
        row(&mut out, "workers up", workers);
        row(&mut out, "tasks running", self.tasks_running);
        let jobs = format!(
            "{} accepted: {} done, {} cancelled, {} running, {} waiting",
            self.jobs_accepted,
            self.jobs_done,
            self.jobs_cancelled,
            self.jobs_running,
            self.jobs_waiting
        );
        row(&mut out, "jobs", jobs);
        let starts = format!("{}, {:.1} a second", self.task_starts, self.starts_per_s);
        row(&mut out, "task starts", starts);
        let again = self.replicas_restarted.to_string();
        row(&mut out, "replicas started again", again);
        for (priority, of_priority) in &self.start_times {
            row(&mut out, &format!("start, {priority}"), times(of_priority));
        }
        row(&mut out, "submission", times(&self.submissions));
        row(&mut out, "report", times(&self.reports));
        let reports = format!("{}, {}", self.reports_failed, self.reports_redirected);
        row(&mut out, "reports failed, redirected", reports);
        let messages = format!(
            "{:.2} messages, {:.0} bytes out, {:.0} in",
            self.messages_per_worker_s, self.sent_per_worker_s, self.received_per_worker_s
        );
        row(&mut out, "a worker a second", messages);
        for (purpose, rates) in &self.state {
            let value = format!(
                "{:.1} requests, {:.1} changes a second",
                rates.requests_per_s, rates.changes_per_s
            );
            row(&mut out, &format!("state service, {purpose}"), value);
        }
        row(&mut out, "state service, refused", self.state_refused);
        for used in &self.controller_use {
            row(&mut out, &used.name, process(used));
        }
        row(&mut out, "hollow process", process(&self.hollow_use));
        let behind = format!("{} ms", self.hollow_behind_ms);
        row(&mut out, "hollow process behind by", behind);
        row(
            &mut out,
            "controllers ended by themselves",
            self.controllers_ended,
        );
        if let Some(burst) = &self.burst {
            row(&mut out, "burst", burst_text(burst));
        }
        if let Some(pools) = &self.pools {
            pool_rows(&mut out, pools);
        }
        row(&mut out, "rules broken", self.rules_broken.len());
        for broken in &self.rules_broken {
            row(&mut out, "", broken);
        }
        f.write_str(&out)
    }
}

#[cfg(test)]
mod tests;
