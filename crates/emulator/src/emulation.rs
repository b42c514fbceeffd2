//! One run: controllers, hollow workers, load, and what is measured.

use crate::addresses::{self, Addresses};
use crate::bridge::Bridge;
use crate::controllers::{ControllerError, Controllers};
use crate::load::{self, milliseconds};
use crate::pools::{pool_summary, AnsweringJobs};
use crate::preflight::{MachineLimits, PreflightError};
use crate::process::ProcessUsage;
use crate::progress::Progress;
use crate::report::{ProcessLoad, Report};
use crate::settings::controller_name;
use crate::site::{CrashSpec, CrashTarget, LinkCutSpec, LinkKind, Site};
use async_executor::LocalExecutor;
use async_io::Timer;
use forkshift_net::Executor;
use forkshift_testkit::{
    BootModel, Deployment, Direction, FaultKind, Fleet, MachineFault, Plan, Size, Which, World,
};
use forkshift_wire::cloud::MachineType;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often a run looks at the clock, its children and its progress.
const LOOK: Duration = Duration::from_millis(250);
/// Users ask for their jobs this often, as the protocol has it, in milliseconds.
const POLL_MS: u64 = 5_000;
/// Broken rules that a report names.
const BROKEN_MOST: usize = 20;

/// Why a run can't be made.
#[derive(Debug, thiserror::Error)]
pub enum EmulationError {
    /// The machine is too small.
    #[error("{0}")]
    Preflight(#[from] PreflightError),
    /// The controllers can't be started.
    #[error("{0}")]
    Controllers(#[from] ControllerError),
    /// A socket can't be had, or the folder for logs can't be made.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// What all controllers and this process had used at a moment.
struct Used {
    controllers: Vec<ProcessUsage>,
    own: ProcessUsage,
}

/// A run that is going on.
struct Run<'a> {
    site: &'a Site,
    bridge: Rc<Bridge>,
    controllers: Controllers,
    kills: Vec<CrashSpec>,
    cuts: Vec<LinkCutSpec>,
    /// Controllers to be started again, with when, in seconds.
    restarts: Vec<(f64, usize)>,
    ended: u64,
    warm: Option<(f64, Used)>,
    progress: Progress,
}

/// Makes a run of a site. It ends early once `stop` is set.
pub fn run(site: &Site, stop: &AtomicBool) -> Result<Report, EmulationError> {
    MachineLimits::read()?.check(site)?;
    let folder = Folder::new()?;
    let addresses = Addresses::new(site.controllers.base_port);
    let mut controllers = Controllers::prepare(site, addresses, &folder.0)?;
    let ex: Executor = Rc::new(LocalExecutor::new());
    let plans = load::plans(site);
    let jobs = AnsweringJobs::new(site, &plans);
    let bridge = Bridge::start(&ex, world(site, plans), addresses, controllers.len(), jobs)?;
    for index in 0..controllers.len() {
        controllers.start(index)?;
    }
    let mut kills = site.kills.clone();
    kills.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut cuts = site.cuts.clone();
    cuts.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let run = Run {
        site,
        bridge,
        controllers,
        kills,
        cuts,
        restarts: Vec::new(),
        ended: 0,
        warm: None,
        progress: Progress::new(site.duration_s as u64),
    };
    async_io::block_on(ex.run(run.play(stop)))
}

/// A cut as a fault of the world.
fn fault_of(cut: &LinkCutSpec, node: usize, world: &World) -> FaultKind {
    let time = milliseconds(cut.for_s);
    let lost = match cut.link {
        LinkKind::State | LinkKind::Cloud => {
            return FaultKind::Cut {
                node,
                state: cut.link == LinkKind::State,
                workers: false,
                cloud: cut.link == LinkKind::Cloud,
                time,
                hold: false,
            }
        }
        LinkKind::Reports => Direction::Reports,
        LinkKind::Calls => Direction::Calls,
        LinkKind::Workers => Direction::Both,
    };
    let machines = world.machines_of(&Which::All).into_iter();
    let machines = Which::Named(machines.step_by(cut.every.max(1)).collect());
    FaultKind::LinkCut {
        node,
        machines,
        lost,
        time,
        hold: false,
    }
}

impl Run<'_> {
    async fn play(mut self, stop: &AtomicBool) -> Result<Report, EmulationError> {
        let site = self.site;
        loop {
            Timer::after(LOOK).await;
            let now_s = self.bridge.elapsed().as_secs_f64();
            if now_s >= site.warmup_s && self.warm.is_none() {
                self.warm = Some((now_s, self.used()));
                self.bridge.with_metrics(|m| m.reset());
            }
            self.kill_due(now_s);
            self.cut_due(now_s);
            self.restart_due(now_s)?;
            self.show(now_s);
            let interrupted = stop.load(Ordering::Relaxed);
            if interrupted || now_s >= site.duration_s {
                self.progress.finish();
                let mut report = self.report(now_s, interrupted);
                if let Some(pools) = &mut report.pools {
                    pools.reported_cost = self.ask_for_cost().await;
                }
                return Ok(report);
            }
        }
    }

    fn used(&self) -> Used {
        Used {
            controllers: self.controllers.usage(),
            own: ProcessUsage::of_this_process().unwrap_or_default(),
        }
    }

    fn kill_due(&mut self, now_s: f64) {
        while self.kills.first().is_some_and(|k| k.at_s <= now_s) {
            let crash = self.kills.remove(0);
            self.inject_crash(now_s, &crash);
        }
    }

    fn inject_crash(&mut self, now_s: f64, crash: &CrashSpec) {
        match crash.target() {
            Some(CrashTarget::Controller(index)) => self.crash_controller(now_s, index),
            Some(CrashTarget::ShardHolder) => {
                if let Some(index) = self.bridge.holder_of_answers() {
                    self.crash_controller(now_s, index);
                }
            }
            Some(CrashTarget::Workers(count)) => {
                let description = format!("{count} workers");
                self.kill_workers(now_s, Which::Some(count), &description);
            }
            Some(CrashTarget::Zone(zone)) => {
                let machines = self.bridge.with_world(|world| world.machines_in(&zone));
                let description = format!("all {} workers of zone {zone}", machines.len());
                self.kill_workers(now_s, Which::Named(machines), &description);
            }
            // Validation of the site ensures a target.
            None => {}
        }
    }

    fn crash_controller(&mut self, now_s: f64, index: usize) {
        self.controllers.kill(index);
        let back_s = now_s + self.site.controllers.restart_s;
        self.restarts.push((back_s, index));
        let name = controller_name(index);
        self.progress
            .event(&format!("{now_s:>4.0} s: {name} is killed"));
    }

    fn cut_due(&mut self, now_s: f64) {
        while self.cuts.first().is_some_and(|c| c.at_s <= now_s) {
            let cut = self.cuts.remove(0);
            let node = cut.controller.or_else(|| self.bridge.holder_of_answers());
            let Some(node) = node else { continue };
            self.bridge.with_world(|w| {
                let fault = fault_of(&cut, node, w);
                w.fault_now(fault);
            });
            let (name, link, for_s) = (controller_name(node), cut.link, cut.for_s);
            let line = format!("{now_s:>4.0} s: {name} loses {link:?} for {for_s} s");
            self.progress.event(&line);
        }
    }

    /// Workers stop with their machines.
    fn kill_workers(&self, now_s: f64, which: Which, what: &str) {
        let fault = FaultKind::Machines(which, MachineFault::Die);
        self.bridge.with_world(|w| w.fault_now(fault));
        let line = format!("{now_s:>4.0} s: {what} are killed");
        self.progress.event(&line);
    }

    fn restart_due(&mut self, now_s: f64) -> Result<(), EmulationError> {
        for index in self.controllers.take_exited() {
            self.ended += 1;
            let name = controller_name(index);
            self.progress
                .event(&format!("{now_s:>4.0} s: {name} has ended by itself"));
            let back_s = now_s + self.site.controllers.restart_s;
            self.restarts.push((back_s, index));
        }
        let is_due = |(at, _): &(f64, usize)| *at <= now_s;
        let (due, later): (Vec<_>, Vec<_>) = self.restarts.drain(..).partition(is_due);
        self.restarts = later;
        for (_, index) in due {
            self.controllers.start(index)?;
            let name = controller_name(index);
            self.progress
                .event(&format!("{now_s:>4.0} s: {name} is started again"));
        }
        Ok(())
    }

    fn show(&mut self, now_s: f64) {
        let starts = self.bridge.with_metrics(|m| m.task_starts());
        let (machines, running, broken) = self.bridge.with_world(|w| {
            let broken = w.check.broken.len();
            (w.machines(), w.check.tasks_on_machines(), broken)
        });
        let message = format!(
            "{} of {} controllers healthy, {machines} of {} workers up, {running} tasks running, \
             {starts} started, {broken} rules broken",
            self.bridge.healthy().len(),
            self.controllers.len(),
            self.site.on_demand_machines(),
        );
        self.progress.show(now_s as u64, &message);
    }

    /// What the program itself reports that pools cost. It asks the state service that
    /// this very process plays, so it is waited for in another thread.
    async fn ask_for_cost(&self) -> Option<f64> {
        let (sender, answer) = async_channel::bounded(1);
        let asking = self.controllers.pools_report();
        std::thread::spawn(move || {
            let _ = sender.send_blocking(asking());
        });
        let text = answer.recv().await.ok()??;
        let report: serde_json::Value = serde_json::from_str(&text).ok()?;
        let teams = report.get("teams")?.as_object()?;
        Some(teams.values().filter_map(serde_json::Value::as_f64).sum())
    }

    fn report(&self, now_s: f64, interrupted: bool) -> Report {
        let now = self.used();
        let (from_s, from) = match &self.warm {
            Some((at, used)) => (*at, used),
            None => (0.0, &now),
        };
        let measured_s = (now_s - from_s).max(1e-3);
        let mut report = Report {
            site: self.site.name.clone(),
            seed: self.site.seed,
            interrupted,
            duration_s: now_s,
            measured_s,
            workers_expected: u64::from(self.site.on_demand_machines()),
            controllers: self.controllers.len() as u64,
            controllers_exited: self.ended,
            teams: self.site.teams.iter().map(|t| t.count as u64).sum(),
            hollow_process: ProcessLoad::between("hollow process", from.own, now.own, measured_s),
            ..Report::default()
        };
        self.bridge.with_world(|w| {
            let broken = w.check.broken.iter().take(BROKEN_MOST);
            report.rule_violations = broken.map(|b| format!("{b:?}")).collect();
            report.workers = w.machines() as u64;
            report.tasks_running = w.check.tasks_on_machines() as u64;
            let jobs = w.job_counts();
            report.jobs_accepted = jobs.accepted;
            report.jobs_done = jobs.done;
            report.jobs_cancelled = jobs.cancelled;
            report.jobs_running = jobs.running;
            report.jobs_waiting = jobs.waiting;
            report.replicas_restarted = w.replicas_restarted();
            let figures = pool_summary(w, self.site, self.bridge.began_ms());
            report.pools = (figures.machines > 0).then_some(figures);
        });
        let burst = self.bridge.burst_summary();
        report.burst = (burst.replicas > 0).then_some(burst);
        let ends = from.controllers.iter().zip(&now.controllers).enumerate();
        let used = ends.map(|(i, (from, to))| {
            ProcessLoad::between(&controller_name(i), *from, *to, measured_s)
        });
        report.set_controller_loads(used.collect());
        self.bridge.with_metrics(|m| report.set_metrics(m));
        report
    }
}

/// The world of a site, without its controllers.
fn world(site: &Site, plans: Vec<Plan>) -> World {
    let times = &site.workers;
    let size = Size {
        nodes: site.controllers.count,
        rps: site.state.rps,
        write_rps: site.state.write_rps,
        cloud_rps: site.cloud.rps,
        report_ms: milliseconds(times.report_s),
        lease_ms: milliseconds(times.lease_s),
        gang_wait_ms: milliseconds(times.gang_wait_s),
        cancel_ms: milliseconds(times.cancel_s),
        poll_ms: POLL_MS,
        tells_images: times.tells_images,
        ..Size::default()
    };
    let team_limits = site.teams.iter().flat_map(|team| {
        let limit = (team.cpus_max, team.gpus_max);
        team.names().into_iter().map(move |name| (name, limit))
    });
    let deployment = Deployment {
        fleet: fleet(site),
        team_limits: team_limits.collect(),
        value_bytes: (site.state.value_kb * 1024.0) as usize,
        txn_ops: site.state.txn_ops,
    };
    World::remote(site.seed, plans, Vec::new(), size, deployment)
}

fn fleet(site: &Site) -> Fleet {
    let types = site.machine_types.iter().map(|t| {
        let of_type = site.capacity.iter().filter(|c| c.machine_type == t.name);
        MachineType {
            name: t.name.clone(),
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
            cache_gb: t.cache_gb,
            fetch_gb_per_s: t.fetch_gb_per_s,
            price: t.price,
            spot_price: t.spot_price,
            boot_s: t.boot_s,
            zones: of_type.map(|c| c.zone.clone()).collect(),
        }
    });
    let capacity = site.capacity.iter().flat_map(|c| {
        let kind = |spot| (c.machine_type.clone(), c.zone.clone(), spot);
        [(kind(false), c.count), (kind(true), c.spot)]
    });
    Fleet {
        types: types.collect(),
        capacity: capacity.collect(),
        boots: BootModel::Usual {
            fails: site.cloud.boot_fail,
        },
        address: addresses::worker,
    }
}

/// A folder for settings and logs, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new() -> io::Result<Self> {
        let name = format!("forkshift-emulator-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // Logs of a run that went well are of no use; a folder that stays is no harm.
        if std::env::var_os("FORKSHIFT_KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
