//! Builds the report of a run from the measurements after the warm-up.

use super::Run;
use crate::pools::pool_summary;
use crate::process::ProcessUsage;
use crate::report::{ProcessLoad, Report};
use crate::settings::controller_name;
use forkshift_testkit::Simulation;

/// Largest number of rule violations that a report lists.
const MAX_LISTED_VIOLATIONS: usize = 20;
/// Shortest measured time, in seconds, so that rates are finite.
const MIN_MEASURED_S: f64 = 1e-3;

/// Resources that all processes of a run have used since their start.
pub(super) struct ResourceUsage {
    controllers: Vec<ProcessUsage>,
    emulator: ProcessUsage,
}

/// The end of the warm-up, from which processor use and rates are measured.
pub(super) struct MeasurementStart {
    /// Seconds since the start of the run.
    at_s: f64,
    usage: ResourceUsage,
}

impl Run<'_> {
    /// Ends the warm-up: resets the metrics and records the resource usage so far.
    pub(super) fn start_measurement(&mut self, now_s: f64) {
        self.measurement_start = Some(MeasurementStart {
            at_s: now_s,
            usage: self.resource_usage(),
        });
        self.bridge
            .with_metrics(super::super::metrics::Metrics::reset);
    }

    fn resource_usage(&self) -> ResourceUsage {
        ResourceUsage {
            controllers: self.controllers.usage(),
            emulator: ProcessUsage::of_this_process().unwrap_or_default(),
        }
    }

    /// The report of the run. Its pool costs include those that `forkshift pools report`
    /// computes, so that the command is checked against the charges of the cloud.
    pub(super) async fn final_report(&self, now_s: f64, is_interrupted: bool) -> Report {
        let mut report = self.report(now_s, is_interrupted);
        if let Some(pools) = &mut report.pools {
            pools.reported_cost = self.reported_pool_cost().await;
        }
        report
    }

    fn report(&self, now_s: f64, is_interrupted: bool) -> Report {
        let end = self.resource_usage();
        let (start_s, start) = match &self.measurement_start {
            Some(start) => (start.at_s, &start.usage),
            None => (0.0, &end),
        };
        let measured_s = (now_s - start_s).max(MIN_MEASURED_S);
        let load = |name: &str, from, to| ProcessLoad::between(name, from, to, measured_s);
        let mut report = Report {
            site: self.site.name.clone(),
            seed: self.site.seed,
            interrupted: is_interrupted,
            duration_s: now_s,
            measured_s,
            workers_expected: u64::from(self.site.on_demand_machines()),
            controllers: self.controllers.len() as u64,
            controllers_exited: self.unexpected_exits,
            teams: self.site.teams.iter().map(|team| team.count as u64).sum(),
            emulator_load: load("hollow process", start.emulator, end.emulator),
            ..Report::default()
        };
        self.bridge
            .with_world(|world| self.add_world_state(&mut report, world));
        let burst = self.bridge.burst_summary();
        report.burst = (burst.replicas > 0).then_some(burst);
        let usages = start.controllers.iter().zip(&end.controllers).enumerate();
        let loads = usages.map(|(index, (from, to))| load(&controller_name(index), *from, *to));
        report.set_controller_loads(loads.collect());
        self.bridge
            .with_metrics(|metrics| report.set_metrics(metrics));
        report
    }

    /// Adds the state of the simulated world at the end of the run.
    fn add_world_state(&self, report: &mut Report, world: &Simulation) {
        let violations = world.checker.violations.iter().take(MAX_LISTED_VIOLATIONS);
        report.rule_violations = violations
            .map(|violation| format!("{violation:?}"))
            .collect();
        report.workers = world.machines() as u64;
        report.tasks_running = world.checker.tasks_on_machines() as u64;
        let jobs = world.job_counts();
        report.jobs_accepted = jobs.accepted;
        report.jobs_done = jobs.done;
        report.jobs_cancelled = jobs.cancelled;
        report.jobs_running = jobs.running;
        report.jobs_pending = jobs.waiting;
        report.replicas_restarted = world.replicas_restarted();
        let pools = pool_summary(world, self.site, self.bridge.start_time_ms());
        report.pools = (pools.machines > 0).then_some(pools);
    }

    /// The cost of all teams' pools by `forkshift pools report`; `None` if the command fails.
    async fn reported_pool_cost(&self) -> Option<f64> {
        let (sender, receiver) = async_channel::bounded(1);
        let request = self.controllers.pools_report_command();
        // The command reads the key-value store that this thread serves, so the wait for its
        // exit must not block this thread.
        std::thread::spawn(move || {
            let _ = sender.send_blocking(request());
        });
        let text = receiver.recv().await.ok()??;
        let report: serde_json::Value = serde_json::from_str(&text).ok()?;
        let teams = report.get("teams")?.as_object()?;
        Some(teams.values().filter_map(serde_json::Value::as_f64).sum())
    }
}
