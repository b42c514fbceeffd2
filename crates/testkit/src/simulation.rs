//! Deterministic simulation of the services, workers, users and network around the controllers,
//! in virtual time.
//!
//! [`Simulation`] owns the clock, the random number generator and the simulated components. Each
//! component has a module with its state and the methods of [`Simulation`] that drive it.

mod adversarial_requests;
mod build;
mod config;
mod controllers;
mod digest;
mod events;
mod fault_injection;
mod gangs;
mod network;
mod network_faults;
mod observe;
mod partitions;
mod pending_jobs;
mod plan;
mod pools;
mod remote;
mod selectors;
mod users;
mod workers;

pub use build::ServicesConfig;
pub use config::{settings, DeploymentConfig, NextLimits};
pub use observe::JobCounts;
pub(crate) use plan::random_job_id;
pub use plan::{job_id, JobDefect, JobPlan};
pub use remote::{CallResponse, ControllerRequest, MachineChange, Requester, Service};

use crate::checker::{Checker, Quiescence};
use crate::cloud::CloudModel;
use crate::faults::FaultKind;
use crate::store::StoreModel;
use crate::worker::GroundTruth;
use crate::Ms;
use adversarial_requests::{AdversarialRequests, UserRequestFaults};
use controllers::Controller;
use digest::ControllerTraffic;
use events::EventQueue;
use fault_injection::FaultTimeline;
use forkshift_wire::JobId;
use network::{Destination, Origin};
use network_faults::NetworkFaults;
use rand::rngs::StdRng;
use remote::RemoteQueues;
use std::collections::BTreeMap;
use users::User;
use workers::WorkerFleet;

/// Length of a simulation step.
const STEP_MS: Ms = 10;
/// Interval between the checker's scans for conditions with a time limit: tasks of cancelled
/// jobs, and unanswered requests.
const CHECK_INTERVAL_MS: Ms = 500;
/// Interval between scans for jobs that stay pending although free capacity exists.
const PENDING_JOBS_CHECK_INTERVAL_MS: Ms = 2_000;
/// Wall-clock time that controllers see at virtual time 0.
const WALL_CLOCK_OFFSET_MS: Ms = 1_000_000;

/// A simulated deployment: controllers, store, cloud, workers, users and faults.
pub struct Simulation {
    config: DeploymentConfig,
    now: Ms,
    previous_step_at: Ms,
    rng: StdRng,
    events: EventQueue,
    controllers: Vec<Controller>,
    /// Starts of all controllers so far. The count serves as the incarnation number of the next.
    controller_starts: u64,
    store: StoreModel<Origin>,
    cloud: CloudModel,
    workers: WorkerFleet,
    ground_truths: BTreeMap<JobId, GroundTruth>,
    users: Vec<User>,
    faults: FaultTimeline,
    network_faults: NetworkFaults,
    user_request_faults: UserRequestFaults,
    adversarial_requests: AdversarialRequests,
    traffic: ControllerTraffic,
    /// Queues to and from controllers that run as separate processes; absent if the controllers
    /// are simulated.
    remote: Option<RemoteQueues>,
    /// Checks the events on the machines and the responses to users against the protocol's rules.
    pub checker: Checker,
}

impl Simulation {
    /// Runs in steps of 10 ms until a time.
    pub fn run_until(&mut self, end: Ms) {
        while self.now < end {
            self.step_to(self.now + STEP_MS);
        }
    }

    /// Makes one step that ends at `time`.
    fn step_to(&mut self, time: Ms) {
        self.previous_step_at = self.now;
        self.now = time;
        self.step();
    }

    /// Whether the current step ended at or passed a multiple of a period. Steps in real time
    /// rarely end exactly at a multiple.
    fn crosses_multiple_of(&self, period: Ms) -> bool {
        self.now / period > self.previous_step_at / period
    }

    /// Runs all components once. Their order determines the order of random draws, so changing it
    /// changes what every seed produces.
    fn step(&mut self) {
        self.release_withheld_heartbeats();
        self.inject_due_faults();
        while let Some(event) = self.events.pop_due(self.now) {
            self.execute_event(event);
        }
        self.end_outages();
        self.respond_to_watches();
        self.cloud.tick(self.now);
        self.sync_workers_with_cloud();
        self.workers.record_count();
        self.tick_workers();
        self.tick_gangs();
        self.tick_users();
        self.tick_adversarial_requests();
        for controller in 0..self.controllers.len() {
            self.step_controller(controller);
        }
        if self.crosses_multiple_of(CHECK_INTERVAL_MS) {
            self.run_periodic_checks();
        }
        if self.crosses_multiple_of(PENDING_JOBS_CHECK_INTERVAL_MS) {
            self.check_pending_jobs();
        }
    }

    /// Responds to the store's watches that have new changes or whose wait time is over.
    fn respond_to_watches(&mut self) {
        let (now, controllers) = (self.now, &self.controllers);
        let is_locked_out = |watcher: &Origin| match watcher {
            Origin::Controller { index, .. } => {
                controllers[*index].faults.store_lockout_until > now
            }
            _ => false,
        };
        for (to, value) in self.store.tick(now, is_locked_out) {
            let body = value.to_string().into_bytes();
            self.respond(&Destination::Store, to, 200, body);
        }
    }

    fn run_periodic_checks(&mut self) {
        let quiescence = match self.faults.faults_over_since(self.now) {
            Some(since) => Quiescence::Since(since),
            None => Quiescence::NotYet,
        };
        self.checker.set_quiescence(quiescence);
        let workers = self.workers.by_id.values();
        let expired = workers
            .filter(|worker| worker.is_hung_without_lease(self.now, self.config.lease_ms))
            .map(|worker| worker.id.clone())
            .collect();
        self.checker.check_time_limits(self.now, &expired);
    }

    /// Injects a fault at the current time, in addition to the scheduled faults.
    pub fn inject_fault(&mut self, kind: FaultKind) {
        self.inject(kind);
    }

    /// Starts recording all puts to the store and all messages between controllers, for tests of
    /// the stored and transmitted formats.
    pub fn record_puts_and_messages(&mut self) {
        self.store.recorded_puts = Some(Vec::new());
        self.traffic.recorded_messages = Some(Vec::new());
    }

    /// Runs the checks that need the whole run. Call it once, at the end.
    pub fn finish(&mut self) {
        self.checker.finish(self.now);
    }
}
