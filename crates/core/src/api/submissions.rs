//! Submissions: whether a job can be accepted, and the transaction that accepts it.

use crate::api::{status, ANSWER_MS};
use crate::context::revision_of;
use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::pending_call::{Creation, Lookup, PendingCall};
use crate::records::{
    capacity_of, job_key, unfinished_key, JobHeadRecord, JobRecord, ShardId, TaskBlockRecord,
};
use crate::shard::layout::can_be_recorded;
use crate::shard::new_layout;
use crate::store::queue::Urgency;
use forkshift_sched::{Quota, Resources};
use forkshift_wire::state::{Precondition, Transaction, TransactionReply, Write};
use forkshift_wire::users::{JobKind, JobSpec, JobStage};
use forkshift_wire::JobId;
use serde_json::to_value;

impl Node {
    /// A user submits a job.
    pub(crate) fn submit(&mut self, request: RequestId, body: Option<Vec<u8>>) -> Option<Reply> {
        let Some(body) = body else {
            return Some(Reply::error(413, "too large"));
        };
        let spec = match JobSpec::parse(&body) {
            Ok(spec) => spec,
            Err(e) => {
                // A repetition of a job that is known gets its state, even if
                // it would not be accepted today.
                let refusal = Reply::error(400, &e.to_string());
                return match id_of(&body) {
                    Some(id) => self.look_up(request, id, Lookup::Submission(refusal)),
                    None => Some(refusal),
                };
            }
        };
        let id = spec.id.clone();
        if let Some(stage) = self.final_stages.get(&id) {
            return Some(Reply::json(200, &status(&id, stage)));
        }
        if self.membership.has_valid_lease(&self.ctx, &self.view) {
            if let Some(reply) = self.remembered_status(&id) {
                return Some(reply);
            }
            if self.shard_of(&id).is_some() {
                let unknown = Lookup::Submission(Reply::later("try again"));
                return self.look_up(request, id, unknown);
            }
        }
        if let Some(refusal) = self.refuse_dependencies(&spec) {
            return self.look_up(request, id, Lookup::Submission(refusal));
        }
        match self.validate(&spec) {
            Ok(shard) => {
                let until = self.ctx.now + ANSWER_MS;
                let creation = Creation {
                    request,
                    spec,
                    shard,
                    until,
                    dependencies: Vec::new(),
                    is_cancelled: false,
                };
                self.admit(creation);
                None
            }
            Err(refusal) => self.look_up(request, id, Lookup::Submission(refusal)),
        }
    }

    /// Whether a job can ever run, and in which shard.
    fn validate(&self, spec: &JobSpec) -> Result<ShardId, Reply> {
        let Some(team) = self.ctx.config.teams.get(&spec.team) else {
            return Err(Reply::error(422, "unknown team"));
        };
        if self.view.machine_types.is_empty() {
            return Err(Reply::later("the machine types are not known yet"));
        }
        let task = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let fits = self
            .view
            .machine_types
            .values()
            .map(|t| &t.record)
            .any(|t| {
                let allowed = spec
                    .types
                    .as_ref()
                    .is_none_or(|names| names.contains(&t.name));
                let there = spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
                allowed && there && task.fits(&capacity_of(t))
            });
        if !fits {
            return Err(Reply::error(422, "a task fits no allowed machine type"));
        }
        let at_once = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => i64::from(spec.tasks),
        };
        let quota = Quota {
            limit: team.limit,
            ..Quota::default()
        };
        if !quota.could_allow(&task, at_once) {
            return Err(Reply::error(422, "more than the team's limit"));
        }
        if !can_be_recorded(spec, &self.ctx.limits) {
            return Err(Reply::error(422, "too large to be recorded"));
        }
        Ok(team.shard)
    }

    /// Writes the records by which a job is accepted.
    pub(crate) fn create_job(&mut self, creation: Creation) {
        let Creation { spec, shard, .. } = &creation;
        let record = JobRecord {
            spec: spec.clone(),
            shard: *shard,
            stage: creation.stage(),
        };
        let head = JobHeadRecord {
            spec: spec.clone(),
            cancelled: false,
            cancelled_at_ms: 0,
            submitted_at_ms: self.ctx.wall_clock_ms,
            tasks_per_block: new_layout(&self.ctx, spec).to_record(),
            block: TaskBlockRecord::default(),
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
            let key = unfinished_key(*shard, &spec.id, 0);
            let head = to_value(head).unwrap_or_default();
            transaction.writes.push(Write::put(key, head));
        }
        let pending = PendingCall::JobCreation(Box::new(creation));
        self.ctx.transact(Urgency::User, &transaction, pending);
    }

    /// The transaction that accepts a job was answered.
    pub(crate) fn on_created(&mut self, creation: Creation, code: u16, body: &[u8]) {
        let stage = creation.stage();
        let is_accepted = code == 409 && is_known(&creation, body);
        let Creation {
            request,
            spec,
            shard,
            until,
            ..
        } = &creation;
        let (request, shard, until) = (*request, *shard, *until);
        let id = spec.id.clone();
        match code {
            200 if stage.is_final() => {
                self.final_stages.insert_written(id.clone(), stage);
                let reply = Reply::json(201, &status(&id, stage));
                self.ctx.respond(request, reply);
            }
            200 => {
                let revision = revision_of(body);
                self.job_shards.insert(id.clone(), shard);
                self.send_new_job(shard, spec, revision);
                if let Some(shard) = self.shards.get_mut(&shard) {
                    let at = self.ctx.wall_clock_ms;
                    shard.on_job_accepted(&mut self.ctx, creation.spec, at, revision);
                }
                let reply = Reply::json(201, &status(&id, JobStage::Queued));
                self.ctx.respond(request, reply);
            }
            // A dependency has changed since it was read.
            409 if !is_accepted && self.ctx.now < until => self.admit(creation),
            409 => {
                let lost = Reply::later("try again");
                if let Some(reply) = self.look_up(request, id, Lookup::Submission(lost)) {
                    self.ctx.respond(request, reply);
                }
            }
            0 | 429 if self.ctx.now < until => {
                // If an earlier copy is carried out after all, the condition
                // fails and the job is found.
                self.create_job(creation);
            }
            _ => self.ctx.respond(request, Reply::later("not now")),
        }
    }
}

/// Whether a transaction that was to accept a job failed because it was
/// accepted before.
fn is_known(creation: &Creation, body: &[u8]) -> bool {
    let reply: TransactionReply = serde_json::from_slice(body).unwrap_or_default();
    let key = job_key(&creation.spec.id);
    reply.failed.is_empty() || reply.failed.contains(&key)
}

/// The id that a body names, whatever else it holds.
fn id_of(body: &[u8]) -> Option<JobId> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    JobId::parse(value.get("uid")?.as_str()?)
}
