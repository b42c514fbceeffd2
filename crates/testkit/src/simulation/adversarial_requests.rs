//! Adversarial requests, which users send in addition to their regular ones and concurrently with
//! them: status bursts, resubmissions, cancellations at critical times, and invalid jobs.

use super::events::Event;
use super::network::{Destination, Message, Origin};
use super::network_faults::SampledFault;
use super::users::UserState;
use super::Simulation;
use crate::faults::{MachineFault, MachineSelector};
use crate::Ms;
use forkshift_wire::users::{JobKind, JobSpec, JobStage, JobStatus};
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Kind and content of an adversarial request.
#[derive(Clone, Debug)]
pub(super) enum AdversarialRequest {
    /// Request of the state of a job.
    Status,
    /// Repeated submission of a job. A modified specification must not replace the accepted one.
    Resubmission { is_modified: bool },
    /// Cancellation of a job.
    Cancel,
    /// Submission of a job that must be refused with this status.
    InvalidJob { body: Vec<u8>, status: u16 },
}

/// A request that awaits its response.
struct PendingRequest {
    job: JobId,
    request: AdversarialRequest,
    /// Ticket of [`crate::Checker::on_request_sent`].
    ticket: u64,
    sent_at: Ms,
}

impl PendingRequest {
    fn timeout_ms(&self) -> Ms {
        match self.request {
            AdversarialRequest::Status => STATUS_TIMEOUT_MS,
            _ => WRITE_TIMEOUT_MS,
        }
    }

    fn is_submission(&self) -> bool {
        matches!(
            self.request,
            AdversarialRequest::Resubmission { .. } | AdversarialRequest::InvalidJob { .. }
        )
    }
}

/// State and counts of adversarial requests.
#[derive(Default)]
pub(super) struct AdversarialRequests {
    /// Requests without a response, by number.
    pending: BTreeMap<u64, PendingRequest>,
    /// Number of the last request.
    last: u64,
    sent: u64,
    answered_in_time: u64,
}

/// The faults that consist of users' requests. Each is active until its time.
#[derive(Default)]
pub(super) struct UserRequestFaults {
    /// Users cancel some jobs when the last task completes.
    pub(super) cancel_completing_jobs: SampledFault,
    pub(super) adversarial_requests_until: Ms,
    pub(super) status_bursts_until: Ms,
}

/// Interval between random adversarial requests while the fault lasts.
const ADVERSARIAL_REQUEST_INTERVAL_MS: Ms = 200;
/// Timeout of submissions and cancellations. Later responses are ignored.
const WRITE_TIMEOUT_MS: Ms = 5_000;
/// Timeout of status requests. Later responses are ignored.
const STATUS_TIMEOUT_MS: Ms = 2_000;
/// Times after the completion of a job at which status bursts start.
const STATUS_BURST_DELAYS_MS: [Ms; 6] = [0, 120, 500, 1_200, 2_900, 3_100];
/// Number of requests to each controller in a status burst; the first is a resubmission.
const STATUS_BURST_REQUESTS: usize = 3;
/// Maximum number of machines that hang when users cancel running jobs.
const MAX_HUNG_MACHINES: usize = 8;

impl Simulation {
    /// Number of adversarial requests sent so far, and of those that got a response in time.
    pub fn adversarial_request_counts(&self) -> (u64, u64) {
        let requests = &self.adversarial_requests;
        (requests.sent, requests.answered_in_time)
    }

    /// Sends an adversarial request about a job to a controller.
    pub(super) fn send_adversarial_request(
        &mut self,
        job: JobId,
        controller: usize,
        request: AdversarialRequest,
    ) {
        let (method, path, body) = match &request {
            AdversarialRequest::Status => ("GET", format!("/submissions/{job}"), Vec::new()),
            AdversarialRequest::Cancel => {
                self.checker.on_cancel_requested(&job);
                ("POST", format!("/submissions/{job}/abort"), Vec::new())
            }
            AdversarialRequest::Resubmission { is_modified } => {
                let Some(ground_truth) = self.ground_truths.get(&job) else {
                    return;
                };
                let body = resubmission(ground_truth.spec.clone(), *is_modified);
                ("POST", "/submissions".to_owned(), body)
            }
            AdversarialRequest::InvalidJob { body, .. } => {
                ("POST", "/submissions".to_owned(), body.clone())
            }
        };
        let ticket = self.checker.on_request_sent(self.now, &job);
        let pending = PendingRequest {
            job,
            request,
            ticket,
            sent_at: self.now,
        };
        let requests = &mut self.adversarial_requests;
        requests.last += 1;
        requests.sent += 1;
        requests.pending.insert(requests.last, pending);
        let origin = Origin::AdversarialRequest(requests.last);
        self.send(Message {
            origin,
            destination: Destination::Controller(controller),
            method: method.to_owned(),
            path,
            body,
        });
    }

    pub(super) fn on_adversarial_response(&mut self, number: u64, status: u16, body: &[u8]) {
        let Some(pending) = self.adversarial_requests.pending.remove(&number) else {
            return;
        };
        if status == 0 || self.now > pending.sent_at + pending.timeout_ms() {
            return;
        }
        self.adversarial_requests.answered_in_time += 1;
        let response: Option<JobStatus> = serde_json::from_slice(body).ok();
        let stage = response.map(|response| response.stage);
        let is_first_report = self.checker.on_response(
            pending.ticket,
            self.now,
            &pending.job,
            pending.is_submission(),
            status,
            stage,
        );
        if let AdversarialRequest::InvalidJob {
            status: expected, ..
        } = pending.request
        {
            self.checker
                .check_refusal(self.now, &pending.job, status, expected);
        }
        if is_first_report {
            self.schedule_status_burst(&pending.job, 0);
        }
    }

    /// Schedules a status burst if the fault is active: users resubmit a job and request its state at
    /// all controllers within 40 ms.
    pub(super) fn schedule_status_burst(&mut self, job: &JobId, after: Ms) {
        if self.user_request_faults.status_bursts_until <= self.now {
            return;
        }
        for controller in 0..self.config.controllers {
            for index in 0..STATUS_BURST_REQUESTS {
                let time = self.now + after + self.rng.random_range(0..40);
                let request = match index {
                    0 => AdversarialRequest::Resubmission {
                        is_modified: self.rng.random_range(0..4) == 0,
                    },
                    _ => AdversarialRequest::Status,
                };
                let event = Event::AdversarialRequest {
                    job: job.clone(),
                    controller,
                    request,
                };
                self.schedule(time, event);
            }
        }
    }

    /// Cancels one in four accepted jobs at once while status bursts are active.
    pub(super) fn maybe_cancel_accepted(&mut self, job: &JobId) {
        let is_possible = self.user_request_faults.status_bursts_until > self.now;
        if is_possible && self.rng.random_range(0..4) == 0 {
            self.schedule_cancellation(job, 0);
        }
    }

    fn schedule_cancellation(&mut self, job: &JobId, after: Ms) {
        let time = self.now + after;
        let user = self.users.iter_mut().find(|user| user.plan.spec.id == *job);
        if let Some(user) = user.filter(|user| user.state == UserState::Polling) {
            user.state = UserState::Cancelling;
            user.is_awaiting_response = false;
            user.next_request_at = time;
        }
    }

    /// Makes users cancel up to `count` running jobs within 0.2 s, and lets some machines of these
    /// jobs hang.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_ms: Ms) {
        let mut hung = 0;
        for job in self.longest_running_jobs(count) {
            let after = self.rng.random_range(0..200);
            self.schedule_cancellation(&job, after);
            if hang_ms > 0 {
                let mut machines = self.select_machines(&MachineSelector::RunningJob(job));
                machines.truncate(MAX_HUNG_MACHINES - hung);
                hung += machines.len();
                self.inject_into_selected_machines(
                    &MachineSelector::Named(machines),
                    MachineFault::Hang(hang_ms),
                );
            }
        }
    }

    /// Running jobs for which no final stage was reported, those with the longest run time first.
    /// Services come before all others.
    fn longest_running_jobs(&self, count: usize) -> Vec<JobId> {
        let is_running = |id: &JobId| {
            self.checker.running_tasks(id) > 0 && self.checker.final_stage(id).is_none()
        };
        let mut jobs: Vec<(Ms, JobId)> = Vec::new();
        for user in &self.users {
            let spec = &user.plan.spec;
            if user.state == UserState::Polling && is_running(&spec.id) {
                let is_service = spec.kind == JobKind::Service;
                let run_ms = if is_service {
                    Ms::MAX
                } else {
                    user.plan.run_ms
                };
                jobs.push((run_ms, spec.id.clone()));
            }
        }
        jobs.sort_by(|a, b| b.cmp(a));
        jobs.truncate(count);
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    pub(super) fn tick_adversarial_requests(&mut self) {
        for job in std::mem::take(&mut self.checker.newly_completed) {
            self.maybe_cancel_completed(&job);
            for after in STATUS_BURST_DELAYS_MS {
                self.schedule_status_burst(&job, after);
            }
        }
        let is_active = self.user_request_faults.adversarial_requests_until > self.now;
        if is_active && self.crosses_multiple_of(ADVERSARIAL_REQUEST_INTERVAL_MS) {
            self.send_random_adversarial_request();
        }
    }

    fn maybe_cancel_completed(&mut self, job: &JobId) {
        let SampledFault { until, percent } = self.user_request_faults.cancel_completing_jobs;
        if until > self.now && self.draw_percent(percent) {
            let after = match self.rng.random_range(0..2) {
                0 => 0,
                _ => self.rng.random_range(0..400),
            };
            self.schedule_cancellation(job, after);
        }
    }

    fn send_random_adversarial_request(&mut self) {
        let controller = self.rng.random_range(0..self.config.controllers);
        let kind = self.rng.random_range(0..6);
        let known = self.random_accepted_job(kind == 1);
        self.adversarial_requests.last += 1;
        let unknown = JobId::new(&format!("j-9{:07}", self.adversarial_requests.last));
        let (job, request) = match (kind, known) {
            (0, Some(job)) => {
                let is_modified = self.rng.random();
                (job, AdversarialRequest::Resubmission { is_modified })
            }
            (1, Some(job)) => (job, AdversarialRequest::Cancel),
            (2, _) => (unknown, AdversarialRequest::Status),
            (3, _) => (unknown, AdversarialRequest::Cancel),
            (_, Some(job)) => {
                let spec = self.ground_truths[&job].spec.clone();
                let invalid = random_invalid_job(&mut self.rng, spec, &unknown);
                self.checker.expect_refusal(&unknown);
                (unknown, invalid)
            }
            _ => return,
        };
        self.send_adversarial_request(job, controller, request);
    }

    /// Draws an accepted job, which was reported as done if `must_be_done` is set; none if there is no
    /// such job.
    fn random_accepted_job(&mut self, must_be_done: bool) -> Option<JobId> {
        let is_done = |id: &JobId| self.checker.final_stage(id) == Some(JobStage::Done);
        let users = self.users.iter();
        let ids: Vec<JobId> = users
            .filter(|user| user.state == UserState::Polling)
            .map(|user| user.plan.spec.id.clone())
            .filter(|id| !must_be_done || is_done(id))
            .collect();
        (!ids.is_empty()).then(|| ids[self.rng.random_range(0..ids.len())].clone())
    }
}

fn resubmission(mut spec: JobSpec, is_modified: bool) -> Vec<u8> {
    if is_modified {
        spec.tasks += 1;
        spec.cpus = 10_000.0;
        spec.team = UNKNOWN_TEAM.to_owned();
    }
    serde_json::to_vec(&spec).unwrap_or_default()
}

/// Name of a team that exists in no deployment.
const UNKNOWN_TEAM: &str = "nobodys";
/// Required fields of a submission. Malformed jobs lack one or have a value of a wrong type in it.
const REQUIRED_FIELDS: [&str; 7] = ["uid", "crew", "shape", "rank", "shifts", "cpus", "kit"];

/// Draws a job that controllers must refuse: with 422 if it can never be scheduled, with 400 if it
/// is malformed.
fn random_invalid_job(rng: &mut StdRng, mut spec: JobSpec, id: &JobId) -> AdversarialRequest {
    spec.id = id.clone();
    let mut body = serde_json::to_value(&spec).unwrap_or_default();
    let kind = rng.random_range(0..7);
    let status = match kind {
        0..=3 => {
            make_unschedulable(&mut body, kind);
            422
        }
        4 => {
            let field = REQUIRED_FIELDS[rng.random_range(0..REQUIRED_FIELDS.len())];
            if let Some(body) = body.as_object_mut() {
                body.remove(field);
            }
            400
        }
        5 => {
            let field = REQUIRED_FIELDS[rng.random_range(0..REQUIRED_FIELDS.len())];
            body[field] = json!([]);
            400
        }
        _ => {
            body = Value::Array(Vec::new());
            400
        }
    };
    let body = body.to_string().into_bytes();
    AdversarialRequest::InvalidJob { body, status }
}

/// Changes a submission so that it is well-formed but can never be scheduled.
fn make_unschedulable(body: &mut Value, kind: u32) {
    match kind {
        // No machine type has this many CPUs.
        0 => body["cpus"] = json!(500.0),
        1 => body["rigs"] = json!(["none"]),
        2 => body["crew"] = json!(UNKNOWN_TEAM),
        // The gang exceeds the limit of its team.
        _ => {
            body["shape"] = json!("group");
            body["shifts"] = json!(99);
            body["cpus"] = json!(7.5);
        }
    }
}
