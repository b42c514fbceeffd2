//! Admission of jobs with dependencies.
//!
//! A job is accepted only if all of its dependencies were accepted before. The permanent
//! records of the dependencies are read first; the transaction that accepts the job is
//! conditional on the versions that were read. If a transitive dependency is cancelled, the
//! job is cancelled upon acceptance, so the records of those that are not known are read too.

use crate::api::parse_versioned_job_record;
use crate::io::{Reply, RequestId};
use crate::job_feed::{FeedRun, ReadPriority};
use crate::node::Node;
use crate::pending_call::{JobCreation, LookupPurpose, PendingCall};
use crate::records::{job_key, JobRecord};
use crate::shard::dependencies::DependencyCheck;
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::JobId;
use std::collections::BTreeSet;

/// A submitted job whose dependencies are being read.
pub(crate) struct Admission {
    creation: JobCreation,
    /// Dependencies whose records have not been read yet.
    pending_reads: BTreeSet<JobId>,
    /// Run of the job feed in which the records are read.
    feed_run: FeedRun,
    /// When the reads were requested, in milliseconds of the steady clock.
    read_at: Ms,
}

impl Node {
    /// The response that refuses a job because of its list of dependencies; `None` if the list
    /// is valid. Does not check whether the dependencies exist.
    pub(crate) fn dependency_refusal(&self, spec: &JobSpec) -> Option<Reply> {
        if spec.dependencies.is_empty() {
            return None;
        }
        // Controllers of the first release ignore dependencies and would start the job at once.
        if self.ctx.format.is_first() {
            return Some(Reply::unavailable("not until all controllers are upgraded"));
        }
        if spec.dependencies.contains(&spec.id) {
            return Some(Reply::error(422, "a job can't await itself"));
        }
        // The transaction has one more precondition, on the job's own record.
        let max_dependencies = self.ctx.limits.max_preconditions() - 1;
        if spec.dependencies.len() > max_dependencies {
            let why = format!("`awaits` names more than {max_dependencies} jobs");
            return Some(Reply::error(422, &why));
        }
        None
    }

    /// Reads the records of a job's dependencies, then accepts the job.
    pub(crate) fn admit(&mut self, creation: JobCreation) {
        if creation.spec.dependencies.is_empty() {
            return self.create_job(creation);
        }
        self.request_job_feed();
        let request = creation.request;
        let pending_reads: BTreeSet<JobId> = creation.spec.dependencies.iter().cloned().collect();
        for id in &pending_reads {
            self.read_for_admission(request, id.clone());
        }
        let creation = JobCreation {
            dependencies: Vec::new(),
            is_cancelled: false,
            ..creation
        };
        self.admissions.insert(
            request,
            Admission {
                creation,
                pending_reads,
                feed_run: self.job_feed.run(),
                read_at: self.ctx.now,
            },
        );
    }

    fn read_for_admission(&mut self, request: RequestId, id: JobId) {
        let path = format!("/kv/{}", job_key(&id));
        let pending = PendingCall::AdmissionRead { request, id };
        self.ctx.read_store(Urgency::User, path, pending);
    }

    /// Processes the response to the read of a dependency's record.
    pub(crate) fn on_admission_read(
        &mut self,
        request: RequestId,
        id: &JobId,
        status: u16,
        body: &[u8],
    ) {
        let Some(admission) = self.admissions.get_mut(&request) else {
            return;
        };
        // The response to an earlier read for the same request has provided the record.
        if !admission.pending_reads.contains(id) {
            return;
        }
        let deadline = admission.creation.deadline;
        match (status, parse_versioned_job_record(body)) {
            (200, Some((record, _))) if record.spec.kind == JobKind::Service => {
                self.refuse_admission(request, &format!("{id} is a service"));
            }
            (200, Some((record, version))) => {
                self.on_dependency_found(request, id, &record, version);
            }
            (404, _) => self.refuse_admission(request, &format!("{id} was never accepted")),
            (0, _) if self.ctx.now < deadline => self.read_for_admission(request, id.clone()),
            _ => {
                self.admissions.remove(&request);
                self.ctx.respond(request, Reply::unavailable("not now"));
            }
        }
    }

    /// Records that a dependency exists, with the state that its record shows.
    fn on_dependency_found(
        &mut self,
        request: RequestId,
        id: &JobId,
        record: &JobRecord,
        version: u64,
    ) {
        let Some(admission) = self.admissions.get_mut(&request) else {
            return;
        };
        admission.pending_reads.remove(id);
        admission.creation.dependencies.push((id.clone(), version));
        if record.stage.is_final() {
            self.final_stages.insert(id.clone(), record.stage);
        } else {
            let (run, read_at) = (admission.feed_run, admission.read_at);
            self.job_feed.insert_read(run, record, read_at);
        }
        self.complete_admission(request);
    }

    /// Accepts the job once all of its dependencies are known to exist and it is known whether
    /// one of its transitive dependencies is cancelled.
    fn complete_admission(&mut self, request: RequestId) {
        let Some(admission) = self.admissions.get(&request) else {
            return;
        };
        if !admission.pending_reads.is_empty() {
            return;
        }
        let check = self.check_dependencies(&admission.creation.spec.dependencies);
        if let DependencyCheck::Uncertain(unknown) = check {
            return self.read_dependencies(unknown, ReadPriority::Request);
        }
        if let Some(admission) = self.admissions.remove(&request) {
            self.create_job(JobCreation {
                is_cancelled: check == DependencyCheck::Cancelled,
                ..admission.creation
            });
        }
    }

    /// Continues the admissions that wait until more is known of transitive dependencies.
    pub(crate) fn resume_admissions(&mut self) {
        let requests: Vec<RequestId> = self.admissions.keys().copied().collect();
        for request in requests {
            self.complete_admission(request);
        }
    }

    /// Refuses for now the jobs whose dependencies were not known in time.
    pub(crate) fn expire_admissions(&mut self) {
        let now = self.ctx.now;
        let is_expired = |admission: &Admission| now >= admission.creation.deadline;
        let admissions = self.admissions.iter();
        let expired: Vec<RequestId> = admissions
            .filter(|(_, admission)| is_expired(admission))
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            self.admissions.remove(&request);
            self.ctx.respond(request, Reply::unavailable("not now"));
        }
    }

    /// Refuses a job, unless its own record shows that an earlier submission was accepted.
    fn refuse_admission(&mut self, request: RequestId, why: &str) {
        let Some(admission) = self.admissions.remove(&request) else {
            return;
        };
        let refusal = LookupPurpose::Submission(Reply::error(422, why));
        if let Some(reply) = self.look_up_job(request, admission.creation.spec.id, refusal) {
            self.ctx.respond(request, reply);
        }
    }
}

#[cfg(test)]
mod tests;
