//! One run: starts the simulated world and the controllers, injects the site's faults, and
//! builds the report.

mod faults;
mod measurement;
mod simulation;
mod temporary_directory;

use crate::addresses::Addresses;
use crate::controllers::{ControllerError, Controllers};
use crate::load;
use crate::pools::ModelServerJobs;
use crate::preflight::{MachineLimits, PreflightError};
use crate::progress::Progress;
use crate::report::Report;
use crate::settings::controller_name;
use crate::site::{CrashSpec, LinkCutSpec, Site};
use crate::socket_bridge::SocketBridge;
use async_executor::LocalExecutor;
use async_io::Timer;
use forkshift_net::Executor;
use measurement::MeasurementStart;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use temporary_directory::TemporaryDirectory;

/// Interval at which a run injects due faults, checks its child processes and shows its
/// progress.
const RUN_STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Why a run can't be started or completed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EmulationError {
    /// This machine lacks the open files or the memory that the run needs.
    #[error(transparent)]
    Preflight(#[from] PreflightError),
    /// The controllers can't be started.
    #[error(transparent)]
    Controllers(#[from] ControllerError),
    /// A socket can't be opened, or the directory for settings and logs can't be created.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A controller that exited and is to be started again.
struct ScheduledRestart {
    /// Seconds since the start of the run.
    at_s: f64,
    /// Index of the controller that exited.
    controller: usize,
}

/// A run in progress.
struct Run<'a> {
    site: &'a Site,
    bridge: Rc<SocketBridge>,
    controllers: Controllers,
    /// Crashes that are not injected yet, in the order of their times.
    crashes: VecDeque<CrashSpec>,
    /// Link cuts that are not injected yet, in the order of their times.
    link_cuts: VecDeque<LinkCutSpec>,
    restarts: Vec<ScheduledRestart>,
    /// Controllers that exited without being killed by a fault.
    unexpected_exits: u64,
    /// `None` until the warm-up is over.
    measurement_start: Option<MeasurementStart>,
    progress: Progress,
}

/// Runs a site and returns its report. Once `stop` is set, the run ends early and the report
/// is marked as interrupted.
pub(crate) fn run(site: &Site, stop: &AtomicBool) -> Result<Report, EmulationError> {
    MachineLimits::read()?.check(site)?;
    let directory = TemporaryDirectory::create()?;
    let addresses = Addresses::new(site.controllers.base_port);
    let mut controllers = Controllers::prepare(site, addresses, directory.path())?;
    let executor: Executor = Rc::new(LocalExecutor::new());
    let plans = load::draw_job_plans(site);
    let jobs = ModelServerJobs::new(site, &plans);
    let world = simulation::world(site, plans);
    let bridge = SocketBridge::start(&executor, world, addresses, controllers.len(), jobs)?;
    for index in 0..controllers.len() {
        controllers.start(index)?;
    }
    let run = Run {
        site,
        bridge,
        controllers,
        crashes: sorted_by_time(&site.kills, |crash| crash.at_s),
        link_cuts: sorted_by_time(&site.cuts, |cut| cut.at_s),
        restarts: Vec::new(),
        unexpected_exits: 0,
        measurement_start: None,
        progress: Progress::new(site.duration_s as u64),
    };
    async_io::block_on(executor.run(run.execute(stop)))
}

/// Sorts faults by their times. Faults of the same time stay in the order of the site file.
fn sorted_by_time<T: Clone>(faults: &[T], at_s: fn(&T) -> f64) -> VecDeque<T> {
    let mut sorted = faults.to_vec();
    sorted.sort_by(|first, second| at_s(first).total_cmp(&at_s(second)));
    sorted.into()
}

impl Run<'_> {
    async fn execute(mut self, stop: &AtomicBool) -> Result<Report, EmulationError> {
        loop {
            Timer::after(RUN_STEP_INTERVAL).await;
            let now_s = self.bridge.elapsed().as_secs_f64();
            self.step(now_s)?;
            let is_interrupted = stop.load(Ordering::Relaxed);
            if is_interrupted || now_s >= self.site.duration_s {
                self.progress.finish();
                return Ok(self.final_report(now_s, is_interrupted).await);
            }
        }
    }

    fn step(&mut self, now_s: f64) -> Result<(), EmulationError> {
        if now_s >= self.site.warmup_s && self.measurement_start.is_none() {
            self.start_measurement(now_s);
        }
        self.inject_crashes(now_s);
        self.inject_link_cuts(now_s);
        self.detect_exits(now_s);
        self.start_due_controllers(now_s)?;
        self.show_progress(now_s);
        Ok(())
    }

    fn detect_exits(&mut self, now_s: f64) {
        for index in self.controllers.reap_exited() {
            self.unexpected_exits += 1;
            let name = controller_name(index);
            let restart_s = self.site.controllers.restart_s;
            let event = format!("{name}: exited unexpectedly, restart in {restart_s} s");
            self.print_event(now_s, &event);
            self.schedule_restart(now_s, index);
        }
    }

    fn schedule_restart(&mut self, now_s: f64, controller: usize) {
        self.restarts.push(ScheduledRestart {
            at_s: now_s + self.site.controllers.restart_s,
            controller,
        });
    }

    fn start_due_controllers(&mut self, now_s: f64) -> Result<(), EmulationError> {
        let is_due = |restart: &ScheduledRestart| restart.at_s <= now_s;
        let (due, later): (Vec<_>, Vec<_>) = self.restarts.drain(..).partition(is_due);
        self.restarts = later;
        for restart in due {
            self.controllers.start(restart.controller)?;
            let name = controller_name(restart.controller);
            self.print_event(now_s, &format!("{name}: restarted"));
        }
        Ok(())
    }

    fn print_event(&self, now_s: f64, event: &str) {
        self.progress
            .print_event(&format!("{now_s:>4.0} s: {event}"));
    }

    fn show_progress(&mut self, now_s: f64) {
        let starts = self.bridge.with_metrics(|metrics| metrics.task_starts());
        let (machines, running, violations) = self.bridge.with_world(|world| {
            let violations = world.checker.violations.len();
            (
                world.machines(),
                world.checker.tasks_on_machines(),
                violations,
            )
        });
        let message = format!(
            "{} of {} controllers healthy, {machines} of {} workers up, {running} tasks running, \
             {starts} task starts, {violations} rule violations",
            self.bridge.healthy_controllers().len(),
            self.controllers.len(),
            self.site.on_demand_machines(),
        );
        self.progress.show(now_s as u64, &message);
    }
}
