//! Admission of jobs with dependencies.
//!
//! A job is accepted only if all of its dependencies were accepted before. The permanent
//! records of the dependencies are read first; the transaction that accepts the job is
//! conditional on the versions that were read.

use crate::api::parse_versioned_job_record;
use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::pending_call::{JobCreation, LookupPurpose, PendingCall};
use crate::records::job_key;
use crate::store::queue::Urgency;
use forkshift_wire::users::{JobKind, JobSpec, JobStage};
use forkshift_wire::JobId;
use std::collections::BTreeSet;

/// A submitted job whose dependencies are being read.
pub(crate) struct Admission {
    creation: JobCreation,
    /// Dependencies whose records have not been read yet.
    pending_reads: BTreeSet<JobId>,
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
                self.on_dependency_found(request, id, record.stage, version);
            }
            (404, _) => self.refuse_admission(request, &format!("{id} was never accepted")),
            (0, _) if self.ctx.now < deadline => self.read_for_admission(request, id.clone()),
            _ => {
                self.admissions.remove(&request);
                self.ctx.respond(request, Reply::unavailable("not now"));
            }
        }
    }

    /// Records that a dependency exists. Accepts the job once this is known of all.
    fn on_dependency_found(
        &mut self,
        request: RequestId,
        id: &JobId,
        stage: JobStage,
        version: u64,
    ) {
        if stage.is_final() {
            self.final_stages.insert(id.clone(), stage);
        }
        let Some(admission) = self.admissions.get_mut(&request) else {
            return;
        };
        admission.pending_reads.remove(id);
        admission.creation.dependencies.push((id.clone(), version));
        admission.creation.is_cancelled |= stage == JobStage::Cancelled;
        if !admission.pending_reads.is_empty() {
            return;
        }
        if let Some(admission) = self.admissions.remove(&request) {
            self.create_job(admission.creation);
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
