//! The rules about responses to users.

use super::{Checker, Quiescence, Rule};
use crate::Ms;
use forkshift_wire::users::{JobSpec, JobStage};
use forkshift_wire::JobId;
use std::collections::BTreeSet;

/// Maximum time after the last fault in which no request about a job is answered.
const MAX_UNANSWERED_MS: Ms = 75_000;

fn is_success(status: u16) -> bool {
    matches!(status, 200 | 201)
}

impl Checker {
    /// Records that a user submits a job.
    pub fn on_submitted(&mut self, spec: &JobSpec) {
        self.jobs.insert(spec.id.clone(), spec.clone());
    }

    /// Records that a user requests the cancellation of a job.
    pub fn on_cancel_requested(&mut self, id: &JobId) {
        self.cancel_requested.insert(id.clone());
    }

    /// Records that a user sends a request about a job. Returns a ticket to be passed to
    /// [`Checker::on_response`]: the response must not contradict any response that had arrived
    /// when the request was sent.
    pub fn on_request_sent(&mut self, now: Ms, id: &JobId) -> u64 {
        self.last_sequence += 1;
        self.unanswered.entry(id.clone()).or_insert(now);
        self.first_requested_at.entry(id.clone()).or_insert(now);
        self.last_sequence
    }

    /// Records a request and its response at the same time.
    pub fn on_immediate_response(
        &mut self,
        now: Ms,
        id: &JobId,
        is_submission: bool,
        status: u16,
        stage: Option<JobStage>,
    ) {
        let ticket = self.on_request_sent(now, id);
        self.on_response(ticket, now, id, is_submission, status, stage);
    }

    /// Records and checks the response to a request about a job. `stage` is the stage in the body
    /// of a successful response. Returns whether this response is the first to report that the job
    /// is accepted or in a final stage.
    pub fn on_response(
        &mut self,
        ticket: u64,
        now: Ms,
        id: &JobId,
        is_submission: bool,
        status: u16,
        stage: Option<JobStage>,
    ) -> bool {
        self.last_sequence += 1;
        if is_success(status) || status == 404 {
            self.unanswered.remove(id);
            self.poll_answers.on_answered(now, id);
        }
        let is_first_acceptance = match is_success(status) {
            true => self.on_success(now, id, status),
            false => {
                self.check_not_forgotten(ticket, now, id, is_submission, status);
                false
            }
        };
        let is_first_end = match stage.filter(|_| is_success(status)) {
            Some(stage) => {
                self.check_stage(ticket, now, id, stage);
                self.record_stage(now, id, stage)
            }
            None => false,
        };
        is_first_acceptance || is_first_end
    }

    /// Checks that a job which was accepted before the request was sent is not reported as unknown
    /// and its resubmission not refused.
    fn check_not_forgotten(
        &mut self,
        ticket: u64,
        now: Ms,
        id: &JobId,
        is_submission: bool,
        status: u16,
    ) {
        let accepted = self.accepted.get(id);
        let is_known = accepted.is_some_and(|sequence| *sequence < ticket);
        let is_wrong = match status {
            404 => is_known,
            400 | 422 => is_known && is_submission,
            _ => false,
        };
        if is_wrong {
            self.record_violation(Rule::Forgotten, now, format!("{id}: {status}"));
        }
    }

    /// Checks a successful response and records the acceptance. Returns whether it is the first
    /// successful response for the job.
    fn on_success(&mut self, now: Ms, id: &JobId, status: u16) -> bool {
        if self.expected_refusals.contains(id) {
            self.record_violation(Rule::Unfit, now, format!("{id}: {status}"));
            return false;
        }
        if !self.jobs.contains_key(id) {
            self.record_violation(Rule::Invented, now, format!("{id}: {status}"));
            return false;
        }
        if self.accepted.contains_key(id) {
            return false;
        }
        let requested_at = self.first_requested_at.get(id).copied().unwrap_or(now);
        let after = now - requested_at;
        self.max_acceptance_ms = self.max_acceptance_ms.max(after);
        if let Some(observations) = &mut self.observations {
            observations.acceptances.push(after);
        }
        self.accepted.insert(id.clone(), self.last_sequence);
        true
    }

    /// Checks a reported stage against earlier responses and the completed tasks.
    fn check_stage(&mut self, ticket: u64, now: Ms, id: &JobId, stage: JobStage) {
        if let Some((final_stage, sequence)) = self.final_stages.get(id).copied() {
            // Two different final stages are wrong in any order of arrival. A stage that is not
            // final is allowed in a response to a request sent before the final stage was known.
            if stage != final_stage && (sequence < ticket || stage.is_final()) {
                let details = format!("{id}: {final_stage:?}, then {stage:?}");
                self.record_violation(Rule::WentBack, now, details);
            }
        }
        if !stage.is_final() {
            self.check_orphaned(now, id);
        }
        if stage == JobStage::Cancelled && !self.is_cancel_wanted(id) {
            let details = format!("{id}: nobody cancelled it");
            self.record_violation(Rule::WentBack, now, details);
        }
        if stage == JobStage::Done {
            self.check_done(now, id);
        }
    }

    fn check_done(&mut self, now: Ms, id: &JobId) {
        let completed = self.completed_tasks.get(id).map_or(0, BTreeSet::len) as u32;
        let spec = self.jobs.get(id);
        if spec.is_some_and(|spec| completed < spec.tasks) {
            let details = format!("{id}: {completed} tasks done");
            self.record_violation(Rule::NotDone, now, details);
        }
    }

    /// Records a final stage. Returns whether it is the first final stage reported for the job.
    fn record_stage(&mut self, now: Ms, id: &JobId, stage: JobStage) -> bool {
        if stage == JobStage::Cancelled {
            self.cancelled_at.entry(id.clone()).or_insert(now);
        }
        if !stage.is_final() || self.final_stages.contains_key(id) {
            return false;
        }
        let record = (stage, self.last_sequence);
        self.final_stages.insert(id.clone(), record);
        true
    }

    /// Records that controllers must refuse a job, as it is malformed or can never be scheduled.
    pub fn expect_refusal(&mut self, id: &JobId) {
        self.expected_refusals.insert(id.clone());
    }

    /// Checks the response to the submission of a job that must be refused: the status is the
    /// expected one, or it says that the controller cannot decide now (429, 503, 504). Successful
    /// responses violate [`Rule::Unfit`] and are reported there.
    pub fn check_refusal(&mut self, now: Ms, id: &JobId, status: u16, expected: u16) {
        if !matches!(status, 200 | 201 | 429 | 503 | 504) && status != expected {
            let details = format!("{id}: {status} instead of {expected}");
            self.record_violation(Rule::WrongAnswer, now, details);
        }
    }

    /// Checks that, after the last fault, requests about accepted jobs are answered in time.
    pub(super) fn check_unanswered(&mut self, now: Ms) {
        let Quiescence::Since(quiet_since) = self.quiescence else {
            return;
        };
        let is_late = |since: Ms| now > since.max(quiet_since) + MAX_UNANSWERED_MS;
        let unanswered = self.unanswered.iter();
        let late: Vec<(JobId, Ms)> = unanswered
            .filter(|(id, since)| is_late(**since) && self.accepted.contains_key(*id))
            .map(|(id, since)| (id.clone(), *since))
            .collect();
        for (id, since) in late {
            self.unanswered.remove(&id);
            self.record_violation(Rule::Unanswered, now, format!("{id} since {since}"));
        }
    }

    /// Whether a response has confirmed that a job is cancelled.
    pub fn is_cancel_confirmed(&self, id: &JobId) -> bool {
        self.cancelled_at.contains_key(id)
    }

    /// When a response first confirmed that a job is cancelled.
    pub fn cancelled_at(&self, id: &JobId) -> Option<Ms> {
        self.cancelled_at.get(id).copied()
    }

    /// Whether a user has requested the cancellation of a job.
    pub fn is_cancel_requested(&self, id: &JobId) -> bool {
        self.cancel_requested.contains(id)
    }

    /// Whether a response has confirmed that a job is accepted.
    pub fn is_accepted(&self, id: &JobId) -> bool {
        self.accepted.contains_key(id)
    }

    /// The first final stage that a response reported for a job, if any.
    pub fn final_stage(&self, id: &JobId) -> Option<JobStage> {
        self.final_stages.get(id).map(|(stage, _)| *stage)
    }

    /// The longest time from the first request about a job until its acceptance.
    pub fn max_acceptance_ms(&self) -> Ms {
        self.max_acceptance_ms
    }
}
