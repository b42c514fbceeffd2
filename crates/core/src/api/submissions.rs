//! Submissions: validation of a job, and the transaction that accepts the job.
//!
//! Submissions are idempotent: a repeated submission is answered with the status of the job,
//! even if the job would no longer be valid.

use crate::api::{status_of_stage, USER_ANSWER_TIMEOUT_MS};
use crate::context::revision_of;
use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::pending_call::{JobCreation, LookupPurpose, PendingCall};
use crate::records::{
    capacity_of, job_key, unfinished_job_key, JobHeadRecord, JobRecord, ShardId, TaskBlockRecord,
};
use crate::shard::layout::can_be_recorded;
use crate::shard::new_job_layout;
use crate::store::queue::Urgency;
use forkshift_sched::{Quota, Resources};
use forkshift_wire::cloud::MachineType;
use forkshift_wire::state::{Precondition, Transaction, TransactionReply, Write};
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::JobId;
use serde_json::to_value;

impl Node {
    /// Processes a user's submission of a job.
    pub(crate) fn submit(&mut self, request: RequestId, body: Option<Vec<u8>>) -> Option<Reply> {
        let Some(body) = body else {
            return Some(Reply::error(413, "too large"));
        };
        let spec = match JobSpec::parse(&body) {
            Ok(spec) => spec,
            Err(e) => {
                // A repeated submission of an accepted job is answered with the job's status,
                // even if it is no longer valid.
                let refusal = Reply::error(400, &e.to_string());
                return match job_id_of(&body) {
                    Some(id) => self.look_up_job(request, id, LookupPurpose::Submission(refusal)),
                    None => Some(refusal),
                };
            }
        };
        let id = spec.id.clone();
        if let Some(stage) = self.final_stages.get(&id) {
            return Some(Reply::json(200, &status_of_stage(&id, stage)));
        }
        if self.membership.has_valid_lease(&self.ctx, &self.view) {
            if let Some(reply) = self.status_from_memory(&id) {
                return Some(reply);
            }
            if self.active_shard_of_mut(&id).is_some() {
                let retry_later = LookupPurpose::Submission(Reply::unavailable("try again"));
                return self.look_up_job(request, id, retry_later);
            }
        }
        if let Some(refusal) = self.dependency_refusal(&spec) {
            return self.look_up_job(request, id, LookupPurpose::Submission(refusal));
        }
        match self.validate(&spec) {
            Ok(shard) => {
                let deadline = self.ctx.now + USER_ANSWER_TIMEOUT_MS;
                let creation = JobCreation {
                    request,
                    spec,
                    shard,
                    deadline,
                    dependencies: Vec::new(),
                    is_cancelled: false,
                };
                self.admit(creation);
                None
            }
            Err(refusal) => self.look_up_job(request, id, LookupPurpose::Submission(refusal)),
        }
    }

    /// Checks whether the job could ever run, and returns its shard. Otherwise returns the
    /// response that refuses the job.
    fn validate(&self, spec: &JobSpec) -> Result<ShardId, Reply> {
        let Some(team) = self.ctx.config.teams.get(&spec.team) else {
            return Err(Reply::error(422, "unknown team"));
        };
        if self.view.machine_types.is_empty() {
            return Err(Reply::unavailable("the machine types are not known yet"));
        }
        let task = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let mut types = self.view.machine_types.values().map(|known| &known.record);
        if !types.any(|machine_type| fits_type(spec, &task, machine_type)) {
            return Err(Reply::error(422, "a task fits no allowed machine type"));
        }
        let concurrent_tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => i64::from(spec.tasks),
        };
        let quota = Quota {
            limit: team.limit,
            ..Quota::default()
        };
        if !quota.could_ever_allow(&task, concurrent_tasks) {
            return Err(Reply::error(422, "more than the team's limit"));
        }
        if !can_be_recorded(spec, &self.ctx.limits) {
            return Err(Reply::error(422, "too large to be recorded"));
        }
        Ok(team.shard)
    }

    /// Writes the records that make a job accepted.
    pub(crate) fn create_job(&mut self, creation: JobCreation) {
        let transaction = self.creation_transaction(&creation);
        let pending = PendingCall::JobCreation(Box::new(creation));
        self.ctx.transact(Urgency::User, &transaction, pending);
    }

    /// The transaction that accepts a job, on condition that the job has no record yet and that
    /// the records of its dependencies are unchanged. A job that is cancelled upon acceptance
    /// gets no head record, as it needs no scheduling.
    fn creation_transaction(&self, creation: &JobCreation) -> Transaction {
        let JobCreation { spec, shard, .. } = creation;
        let record = JobRecord {
            spec: spec.clone(),
            shard: *shard,
            stage: creation.stage(),
        };
        let key = job_key(&spec.id);
        let mut transaction = Transaction {
            preconditions: vec![Precondition {
                key: key.clone(),
                version: 0,
            }],
            writes: vec![Write::put(key, to_value(record).unwrap_or_default())],
        };
        let dependencies = creation.dependencies.iter();
        transaction
            .preconditions
            .extend(dependencies.map(|(id, version)| Precondition {
                key: job_key(id),
                version: *version,
            }));
        if !creation.is_cancelled {
            let head = JobHeadRecord {
                spec: spec.clone(),
                cancelled: false,
                cancelled_at_ms: 0,
                submitted_at_ms: self.ctx.wall_clock_ms,
                tasks_per_block: new_job_layout(&self.ctx, spec).to_record(),
                block: TaskBlockRecord::default(),
            };
            let key = unfinished_job_key(*shard, &spec.id, 0);
            let value = to_value(head).unwrap_or_default();
            transaction.writes.push(Write::put(key, value));
        }
        transaction
    }

    /// Processes the response to the transaction that accepts a job.
    pub(crate) fn on_job_created(&mut self, creation: JobCreation, status_code: u16, body: &[u8]) {
        let is_in_time = self.ctx.now < creation.deadline;
        match status_code {
            200 => self.on_accepted(creation, revision_of(body)),
            // A dependency has changed since it was read: all dependencies are read again.
            409 if is_in_time && !was_accepted_before(&creation, body) => self.admit(creation),
            409 => {
                let retry_later = LookupPurpose::Submission(Reply::unavailable("try again"));
                let JobCreation { request, spec, .. } = creation;
                if let Some(reply) = self.look_up_job(request, spec.id, retry_later) {
                    self.ctx.respond(request, reply);
                }
            }
            // The retry is safe: if the earlier transaction commits after all, the retry fails
            // with 409 and the job's record is found.
            0 | 429 if is_in_time => self.create_job(creation),
            _ => self
                .ctx
                .respond(creation.request, Reply::unavailable("not now")),
        }
    }

    /// Notifies the holder of an accepted job, and responds to the user.
    fn on_accepted(&mut self, creation: JobCreation, revision: u64) {
        let stage = creation.stage();
        let JobCreation {
            request,
            spec,
            shard: shard_id,
            ..
        } = creation;
        let id = spec.id.clone();
        if stage.is_final() {
            self.final_stages.insert_written(id.clone(), stage);
        } else {
            self.job_shards.insert(id.clone(), shard_id);
            self.send_new_job(shard_id, &spec, revision);
            if let Some(shard) = self.shards.get_mut(&shard_id) {
                let submitted_at_ms = self.ctx.wall_clock_ms;
                shard.on_job_accepted(&mut self.ctx, spec, submitted_at_ms, revision);
            }
        }
        let reply = Reply::json(201, &status_of_stage(&id, stage));
        self.ctx.respond(request, reply);
    }
}

/// Whether a task of a job is allowed on a machine type and fits on it.
fn fits_type(spec: &JobSpec, task: &Resources, machine_type: &MachineType) -> bool {
    let (types, zone) = (spec.machine_types.as_ref(), spec.zone.as_ref());
    types.is_none_or(|names| names.contains(&machine_type.name))
        && zone.is_none_or(|zone| machine_type.zones.contains(zone))
        && task.fits_in(&capacity_of(machine_type))
}

/// Whether a transaction to accept a job failed because the job was accepted before. Assumed if
/// the response does not list the failed preconditions.
fn was_accepted_before(creation: &JobCreation, body: &[u8]) -> bool {
    let reply: TransactionReply = serde_json::from_slice(body).unwrap_or_default();
    let key = job_key(&creation.spec.id);
    reply.failed.is_empty() || reply.failed.contains(&key)
}

/// The job id in a malformed submission, if it has a valid one.
fn job_id_of(body: &[u8]) -> Option<JobId> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    JobId::parse(value.get("uid")?.as_str()?)
}
