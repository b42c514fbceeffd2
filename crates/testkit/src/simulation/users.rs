//! Users. Each submits one job, polls its state and, if planned, cancels it.

use super::network::{Destination, Message, Origin};
use super::{JobPlan, Simulation};
use crate::faults::ControllerSelector;
use crate::worker::GroundTruth;
use crate::Ms;
use forkshift_wire::users::{JobStage, JobStatus};

/// Interval at which a user checks whether the dependencies of its job are accepted.
const DEPENDENCY_POLL_MS: Ms = 200;
/// Time until a failed request is repeated.
const RETRY_MS: Ms = 1_500;
/// Timeout of a request.
const REQUEST_TIMEOUT_MS: Ms = 5_000;
/// Time from the timeout of a request to the next one.
const TIMEOUT_RETRY_MS: Ms = 1_000;
/// Minimum time from an accepted submission to the first poll.
const MIN_FIRST_POLL_MS: Ms = 2_000;
/// Time from an accepted cancellation to the next poll.
const CANCELLED_POLL_MS: Ms = 3_000;
/// Interval at which a job in a final stage is polled, to check that the stage does not change.
const FINAL_POLL_MS: Ms = 20_000;

/// The kind of a user's next request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum UserState {
    Submitting,
    Polling,
    Cancelling,
    /// No further request, as the job was refused.
    Finished,
}

/// A user and its job.
pub(super) struct User {
    pub(super) plan: JobPlan,
    pub(super) state: UserState,
    pub(super) next_request_at: Ms,
    /// Number of the last request. Responses to earlier requests are ignored.
    last_request: u64,
    /// Ticket of [`crate::Checker::on_request_sent`] for the last request.
    ticket: u64,
    /// Whether the last request has neither a response nor timed out.
    pub(super) is_awaiting_response: bool,
    sent_at: Ms,
}

impl User {
    pub(super) fn new(plan: JobPlan) -> Self {
        Self {
            next_request_at: plan.submit_at,
            plan,
            state: UserState::Submitting,
            last_request: 0,
            ticket: 0,
            is_awaiting_response: false,
            sent_at: 0,
        }
    }

    /// Abandons the last request if it has timed out.
    fn expire_request(&mut self, now: Ms) {
        if self.is_awaiting_response && now >= self.sent_at + REQUEST_TIMEOUT_MS {
            self.is_awaiting_response = false;
            self.next_request_at = now + TIMEOUT_RETRY_MS;
        }
    }

    fn is_request_due(&self, now: Ms) -> bool {
        !self.is_awaiting_response
            && self.state != UserState::Finished
            && now >= self.next_request_at
    }

    fn begin_request(&mut self, now: Ms) {
        self.last_request += 1;
        self.is_awaiting_response = true;
        self.sent_at = now;
    }

    /// The state after a response, and the time until the next request.
    fn state_after(&self, status: u16, stage: Option<JobStage>, poll_ms: Ms) -> (UserState, Ms) {
        let is_success = is_success(status);
        let is_final = stage.is_some_and(JobStage::is_final);
        match self.state {
            UserState::Submitting if is_success => {
                (UserState::Polling, poll_ms.max(MIN_FIRST_POLL_MS))
            }
            UserState::Submitting if matches!(status, 400 | 422) => (UserState::Finished, 0),
            UserState::Cancelling if is_success => (UserState::Polling, CANCELLED_POLL_MS),
            UserState::Polling if is_success && is_final => (UserState::Polling, FINAL_POLL_MS),
            UserState::Polling if is_success => (UserState::Polling, poll_ms),
            state => (state, RETRY_MS),
        }
    }
}

fn is_success(status: u16) -> bool {
    matches!(status, 200 | 201)
}

impl Simulation {
    /// Routes all further requests of users to one controller.
    pub fn route_users_to(&mut self, node: usize) {
        for user in &mut self.users {
            user.plan.target_controller = Some(ControllerSelector::Index(node));
        }
    }

    /// Sends the requests of users that are due.
    pub(super) fn tick_users(&mut self) {
        for index in 0..self.users.len() {
            if self.prepare_request(index) {
                self.send_user_request(index);
            }
        }
    }

    /// Updates the state of a user. Returns whether it sends a request now.
    fn prepare_request(&mut self, index: usize) -> bool {
        let now = self.now;
        let user = &mut self.users[index];
        user.expire_request(now);
        if !user.is_request_due(now) {
            return false;
        }
        // A submission with dependencies that are not accepted may be refused, so users submit a job
        // once all its dependencies are accepted.
        let mut dependencies = user.plan.spec.dependencies.iter();
        let is_submitting = user.state == UserState::Submitting;
        if is_submitting && !dependencies.all(|id| self.checker.is_accepted(id)) {
            user.next_request_at = now + DEPENDENCY_POLL_MS;
            return false;
        }
        let is_cancel_due = user.plan.cancel_at.is_some_and(|at| now >= at);
        if user.state == UserState::Polling && is_cancel_due {
            user.state = UserState::Cancelling;
        }
        true
    }

    fn send_user_request(&mut self, index: usize) {
        let user = &mut self.users[index];
        user.begin_request(self.now);
        let plan = user.plan.clone();
        let id = &plan.spec.id;
        let request = user.last_request;
        let (method, path, body) = match user.state {
            UserState::Submitting => {
                self.checker.on_submitted(&plan.spec);
                self.ground_truths
                    .insert(id.clone(), GroundTruth::from_plan(&plan));
                let body = serde_json::to_vec(&plan.spec).unwrap_or_default();
                ("POST", "/submissions".to_owned(), body)
            }
            UserState::Cancelling => {
                self.checker.on_cancel_requested(id);
                ("POST", format!("/submissions/{id}/abort"), Vec::new())
            }
            UserState::Polling | UserState::Finished => {
                self.checker.on_poll_sent(self.now, id);
                ("GET", format!("/submissions/{id}"), Vec::new())
            }
        };
        user.ticket = self.checker.on_request_sent(self.now, id);
        let selected = plan
            .target_controller
            .and_then(|selector| self.select_controller(&selector));
        let controller = selected.unwrap_or_else(|| self.random_user_controller());
        self.send(Message {
            origin: Origin::User {
                user: index,
                request,
            },
            destination: Destination::Controller(controller),
            method: method.to_owned(),
            path,
            body,
        });
    }

    pub(super) fn on_user_response(
        &mut self,
        index: usize,
        request: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let user = &mut self.users[index];
        if user.last_request != request || !user.is_awaiting_response {
            return;
        }
        user.is_awaiting_response = false;
        let response: Option<JobStatus> = serde_json::from_slice(body).ok();
        let stage = response.map(|response| response.stage);
        let id = user.plan.spec.id.clone();
        let is_submission = user.state == UserState::Submitting;
        let is_first_report = status > 0
            && self
                .checker
                .on_response(user.ticket, now, &id, is_submission, status, stage);
        if is_submission {
            self.checker.check_admission(now, &id, status);
        }
        let (state, pause) = user.state_after(status, stage, self.config.poll_ms);
        user.state = state;
        user.next_request_at = now + pause;
        if is_success(status) && stage.is_some_and(JobStage::is_final) {
            user.plan.cancel_at = None;
        }
        if is_first_report {
            self.schedule_status_burst(&id, 0);
            if is_submission {
                self.maybe_cancel_accepted(&id);
            }
        }
    }
}
