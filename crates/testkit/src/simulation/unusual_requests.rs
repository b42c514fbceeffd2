//! Requests beside those that users make in turn: they look closely, repeat
//! themselves, cancel in a hurry, and ask for what can not be.

use super::network::{Destination, Message, Origin};
use super::users::UserState;
use super::{Event, World};
use crate::faults::MachineFault;
use crate::faults::Which;
use crate::Ms;
use forkshift_wire::users::{JobKind, JobSpec, JobStage, JobStatus};
use forkshift_wire::JobId;
use rand::Rng;
use serde_json::{json, Value};

/// What is asked.
#[derive(Clone, Debug)]
pub(super) enum UnusualRequest {
    /// The state of a job.
    Status,
    /// Its submission once more, maybe with another body.
    Resubmission { is_modified: bool },
    /// Its cancellation.
    Cancel,
    /// A job that must be refused with this status.
    InvalidJob { body: Vec<u8>, status: u16 },
}

/// A request that is under way.
pub(super) struct PendingRequest {
    job: JobId,
    request: UnusualRequest,
    ticket: u64,
    sent_at: Ms,
}

/// Odd requests come this often while they last.
const UNUSUAL_REQUEST_INTERVAL_MS: Ms = 200;
/// How long a user waits for an answer.
const WRITE_TIMEOUT_MS: Ms = 5_000;
const STATUS_TIMEOUT_MS: Ms = 2_000;
/// Times after the end of a job at which users look at all controllers.
const STATUS_BURST_DELAYS_MS: [Ms; 6] = [0, 120, 500, 1_200, 2_900, 3_100];

impl World {
    /// Requests beside those that users make in turn, and how many of them got
    /// an answer in time.
    pub fn unusual_request_counts(&self) -> (u64, u64) {
        self.unusual_request_counts
    }

    /// A request beside the others, at a controller.
    pub(super) fn send_unusual_request(&mut self, id: JobId, node: usize, ask: UnusualRequest) {
        let spec = self.ground_truths.get(&id).map(|t| t.spec.clone());
        let (method, path, body) = match (&ask, spec) {
            (UnusualRequest::Status, _) => ("GET", format!("/submissions/{id}"), Vec::new()),
            (UnusualRequest::Cancel, _) => {
                self.check.on_cancel_requested(&id);
                ("POST", format!("/submissions/{id}/abort"), Vec::new())
            }
            (UnusualRequest::Resubmission { is_modified }, Some(mut spec)) => {
                if *is_modified {
                    spec.tasks += 1;
                    spec.cpus = 10_000.0;
                    spec.team = "nobodys".to_owned();
                }
                let body = serde_json::to_vec(&spec).unwrap_or_default();
                ("POST", "/submissions".to_owned(), body)
            }
            (UnusualRequest::Resubmission { .. }, None) => return,
            (UnusualRequest::InvalidJob { body, .. }, _) => {
                ("POST", "/submissions".to_owned(), body.clone())
            }
        };
        let ticket = self.check.on_request_sent(self.now, &id);
        self.last_unusual_request += 1;
        let aside = PendingRequest {
            job: id,
            request: ask,
            ticket,
            sent_at: self.now,
        };
        self.unusual_requests
            .insert(self.last_unusual_request, aside);
        self.unusual_request_counts.0 += 1;
        self.send(Message {
            origin: Origin::UnusualRequest(self.last_unusual_request),
            destination: Destination::Node(node),
            method: method.to_owned(),
            path,
            body,
        });
    }

    pub(super) fn on_unusual_response(&mut self, aside: u64, status: u16, body: &[u8]) {
        let Some(aside) = self.unusual_requests.remove(&aside) else {
            return;
        };
        let patience = match aside.request {
            UnusualRequest::Status => STATUS_TIMEOUT_MS,
            _ => WRITE_TIMEOUT_MS,
        };
        // By then the user has hung up.
        if status == 0 || self.now > aside.sent_at + patience {
            return;
        }
        self.unusual_request_counts.1 += 1;
        let answer: Option<JobStatus> = serde_json::from_slice(body).ok();
        let stage = answer.map(|a| a.stage);
        let submission = matches!(
            aside.request,
            UnusualRequest::Resubmission { .. } | UnusualRequest::InvalidJob { .. }
        );
        let (now, ticket) = (self.now, aside.ticket);
        let news = self
            .check
            .on_response(ticket, now, &aside.job, submission, status, stage);
        if let UnusualRequest::InvalidJob { status: meant, .. } = aside.request {
            self.check.check_refusal(now, &aside.job, status, meant);
        }
        if news {
            self.schedule_status_burst(&aside.job, 0);
        }
    }

    /// Users ask at all controllers, again and again within milliseconds, and
    /// repeat the submission, while such a spell lasts.
    pub(super) fn schedule_status_burst(&mut self, id: &JobId, after: Ms) {
        if self.active_faults.status_bursts_until <= self.now {
            return;
        }
        for node in 0..self.size.nodes {
            for i in 0..3 {
                let time = self.now + after + self.rng.random_range(0..40);
                let ask = match i {
                    0 => UnusualRequest::Resubmission {
                        is_modified: self.rng.random_range(0..4) == 0,
                    },
                    _ => UnusualRequest::Status,
                };
                let id = id.clone();
                self.schedule(
                    time,
                    Event::UnusualRequest {
                        id,
                        node,
                        request: ask,
                    },
                );
            }
        }
    }

    /// A user that has just got its job accepted may cancel it at once.
    pub(super) fn maybe_cancel_accepted(&mut self, id: &JobId) {
        if self.active_faults.status_bursts_until <= self.now || self.rng.random_range(0..4) != 0 {
            return;
        }
        self.cancel_after(id, 0);
    }

    fn cancel_after(&mut self, id: &JobId, after: Ms) {
        let time = self.now + after;
        let user = self.users.iter_mut().find(|u| u.plan.spec.id == *id);
        if let Some(user) = user.filter(|u| matches!(u.state, UserState::Polling)) {
            user.state = UserState::Cancelling;
            user.is_waiting = false;
            user.next_request_at = time;
        }
    }

    /// Users cancel jobs that run, all at once, and machines of these hang.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang: Ms) {
        let mut jobs: Vec<(Ms, JobId)> = Vec::new();
        for user in &self.users {
            let id = &user.plan.spec.id;
            let runs = self.check.running_tasks(id) > 0 && self.check.final_stage(id).is_none();
            if user.state == UserState::Polling && runs {
                let service = user.plan.spec.kind == JobKind::Service;
                let length = if service { Ms::MAX } else { user.plan.run_ms };
                jobs.push((length, id.clone()));
            }
        }
        // Those that have long to go, as far as anybody knows.
        jobs.sort_by(|a, b| b.cmp(a));
        jobs.truncate(count);
        let mut hung = 0;
        for (_, id) in jobs {
            let after = self.rng.random_range(0..200);
            self.cancel_after(&id, after);
            let mut machines = self.machines_of(&Which::RunningJob(id));
            machines.truncate(8 - hung);
            if hang > 0 {
                hung += machines.len();
                self.inject_machine_fault(&Which::Named(machines), MachineFault::Hang(hang));
            }
        }
    }

    pub(super) fn tick_unusual_requests(&mut self) {
        for id in std::mem::take(&mut self.check.newly_completed) {
            let (until, share) = self.active_faults.cancel_completing_jobs;
            if until > self.now && self.rng.random_range(0..100) < share {
                let after = match self.rng.random_range(0..2) {
                    0 => 0,
                    _ => self.rng.random_range(0..400),
                };
                self.cancel_after(&id, after);
            }
            for after in STATUS_BURST_DELAYS_MS {
                self.schedule_status_burst(&id, after);
            }
        }
        if self.active_faults.unusual_requests_until > self.now
            && self.crosses_multiple_of(UNUSUAL_REQUEST_INTERVAL_MS)
        {
            self.send_random_unusual_request();
        }
    }

    fn send_random_unusual_request(&mut self) {
        let node = self.rng.random_range(0..self.size.nodes);
        let kind = self.rng.random_range(0..6);
        let over = kind == 1;
        let told = |id: &JobId| self.check.final_stage(id) == Some(JobStage::Done);
        let users = self.users.iter().filter(|u| u.state == UserState::Polling);
        let ids: Vec<JobId> = users
            .map(|u| u.plan.spec.id.clone())
            .filter(|id| !over || told(id))
            .collect();
        let some = (!ids.is_empty()).then(|| ids[self.rng.random_range(0..ids.len())].clone());
        self.last_unusual_request += 1;
        let stranger = JobId::new(&format!("j-9{:07}", self.last_unusual_request));
        match (kind, some) {
            (0, Some(id)) => {
                let is_modified = self.rng.random();
                self.send_unusual_request(id, node, UnusualRequest::Resubmission { is_modified });
            }
            (1, Some(id)) => self.send_unusual_request(id, node, UnusualRequest::Cancel),
            (2, _) => self.send_unusual_request(stranger, node, UnusualRequest::Status),
            (3, _) => self.send_unusual_request(stranger, node, UnusualRequest::Cancel),
            (_, Some(id)) => {
                let spec = self.ground_truths[&id].spec.clone();
                let (body, status) = self.random_invalid_job(spec, &stranger);
                self.check.expect_refusal(&stranger);
                self.send_unusual_request(
                    stranger,
                    node,
                    UnusualRequest::InvalidJob { body, status },
                );
            }
            _ => {}
        }
    }

    /// A job that no controller may accept, and what it must say.
    fn random_invalid_job(&mut self, spec: JobSpec, id: &JobId) -> (Vec<u8>, u16) {
        let spec = JobSpec {
            id: id.clone(),
            ..spec
        };
        let mut body = serde_json::to_value(&spec).unwrap_or_default();
        let fields = ["uid", "crew", "shape", "rank", "shifts", "cpus", "kit"];
        let status = match self.rng.random_range(0..7) {
            // Fits no machine.
            0 => {
                body["cpus"] = json!(500.0);
                422
            }
            1 => {
                body["rigs"] = json!(["none"]);
                422
            }
            // Belongs to nobody.
            2 => {
                body["crew"] = json!("nobodys");
                422
            }
            // More than its team may ever use.
            3 => {
                body["shape"] = json!("group");
                body["shifts"] = json!(99);
                body["cpus"] = json!(7.5);
                422
            }
            // Lacks a field.
            4 => {
                let field = fields[self.rng.random_range(0..fields.len())];
                if let Some(body) = body.as_object_mut() {
                    body.remove(field);
                }
                400
            }
            // A field of another type.
            5 => {
                let field = fields[self.rng.random_range(0..fields.len())];
                body[field] = json!([]);
                400
            }
            // Not an object.
            _ => {
                body = Value::Array(Vec::new());
                400
            }
        };
        (body.to_string().into_bytes(), status)
    }
}
