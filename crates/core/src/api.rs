//! Requests from users, workers and probes.

use crate::context::{revision_of, AbortPoll, Creation, Lookup, Pending, Reply, RequestId};
use crate::layout::can_be_recorded;
use crate::node::Node;
use crate::records::{
    abort_key, job_key, live_key, total_of, JobHeadRecord, JobRecord, ShareId, TaskBlockRecord,
};
use crate::share::{new_layout, Phase, TOKEN_BITS};
use crate::store::Urgency;
use crate::Ms;
use forkshift_sched::{Quota, Resources};
use forkshift_wire::state::{Cond, Item, Txn, TxnReply, Write};
use forkshift_wire::users::{JobKind, JobSpec, JobStage, JobStatus};
use forkshift_wire::workers::{Redirect, Report, ReportReply};
use forkshift_wire::JobId;
use serde_json::{from_value, to_value};

/// A submission or a cancellation is answered within this, whatever happens:
/// users give up after 5 s.
const ANSWER_MS: Ms = 4_000;
/// A question is asked of the state service again if its connection breaks
/// within this; users wait 2 s for an answer.
const LOOKUP_MS: Ms = 1_000;
/// Pause between two looks at whether a cancellation was carried out.
const POLL_MS: Ms = 250;

/// What is told of a job when its tasks do not matter.
pub(crate) fn status(id: &JobId, stage: JobStage) -> JobStatus {
    JobStatus {
        id: id.clone(),
        stage,
        done: None,
        running: None,
    }
}

impl Node {
    /// Takes a request: passes it on to another controller, or deals with it here.
    pub(crate) fn on_request(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        let path = path.split('?').next().unwrap_or_default();
        if let Err(body) = self.pass_on(request, method, path, body) {
            self.serve_here(request, method, path, body);
        }
    }

    /// Answers a request without asking another controller.
    pub(crate) fn serve_here(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let reply = match (method, parts.as_slice()) {
            ("GET", ["up"]) => Some(self.up()),
            ("POST", ["v1", "report"]) => Some(self.report(body)),
            ("POST", ["submissions"]) => self.submit(request, body),
            ("GET", ["submissions", id]) => self.question(request, id),
            ("POST", ["submissions", id, "abort"]) => self.abort(request, id),
            (
                _,
                ["up"]
                | ["v1", "report"]
                | ["submissions"]
                | ["submissions", _]
                | ["submissions", _, "abort"],
            ) => Some(Reply::error(405, "wrong method")),
            _ => Some(Reply::error(404, "no such path")),
        };
        if let Some(reply) = reply {
            self.ctx.respond(request, reply);
        }
    }

    fn up(&self) -> Reply {
        if self.is_up() {
            Reply::json(200, &serde_json::json!({}))
        } else {
            Reply::later("not ready")
        }
    }

    // Submissions.

    fn submit(&mut self, request: RequestId, body: Option<Vec<u8>>) -> Option<Reply> {
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
        if let Some(stage) = self.finals.get(&id) {
            return Some(Reply::json(200, &status(&id, stage)));
        }
        if self.member.has_right(&self.ctx, &self.view) {
            if let Some(reply) = self.remembered(&id) {
                return Some(reply);
            }
            if self.share_of(&id).is_some() {
                let unknown = Lookup::Submission(Reply::later("try again"));
                return self.look_up(request, id, unknown);
            }
        }
        if let Some(refusal) = self.refuse_dependencies(&spec) {
            return self.look_up(request, id, Lookup::Submission(refusal));
        }
        match self.judge(&spec) {
            Ok(share) => {
                let until = self.ctx.now + ANSWER_MS;
                let creation = Creation {
                    request,
                    spec,
                    share,
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

    /// Whether a job can ever run, and in which share.
    fn judge(&self, spec: &JobSpec) -> Result<ShareId, Reply> {
        let Some(team) = self.ctx.cfg.teams.get(&spec.team) else {
            return Err(Reply::error(422, "unknown team"));
        };
        if self.view.types.is_empty() {
            return Err(Reply::later("the machine types are not known yet"));
        }
        let task = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let fits = self.view.types.values().map(|t| &t.rec).any(|t| {
            let allowed = spec
                .types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name));
            let there = spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
            allowed && there && task.fits(&total_of(t))
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
        Ok(team.share)
    }

    /// Writes the records by which a job is accepted.
    pub(crate) fn create(&mut self, creation: Creation) {
        let Creation { spec, share, .. } = &creation;
        let record = JobRecord {
            spec: spec.clone(),
            share: *share,
            stage: creation.stage(),
        };
        let head = JobHeadRecord {
            spec: spec.clone(),
            cancelled: false,
            cancelled_at: 0,
            at: self.ctx.wall,
            layout: new_layout(&self.ctx, spec).to_record(),
            block: TaskBlockRecord::default(),
        };
        let key = job_key(&spec.id);
        let mut txn = Txn {
            conds: vec![Cond {
                key: key.clone(),
                version: 0,
            }],
            writes: vec![Write::put(key, to_value(record).unwrap_or_default())],
        };
        let dependencies = creation.dependencies.iter();
        txn.conds.extend(dependencies.map(|(id, version)| Cond {
            key: job_key(id),
            version: *version,
        }));
        if !creation.is_cancelled {
            let key = live_key(*share, &spec.id, 0);
            let head = to_value(head).unwrap_or_default();
            txn.writes.push(Write::put(key, head));
        }
        let pending = Pending::Create(Box::new(creation));
        self.ctx.txn(Urgency::User, &txn, pending);
    }

    /// The transaction that accepts a job was answered.
    pub(crate) fn on_created(&mut self, creation: Creation, code: u16, body: &[u8]) {
        let stage = creation.stage();
        let is_accepted = code == 409 && is_known(&creation, body);
        let Creation {
            request,
            spec,
            share,
            until,
            ..
        } = &creation;
        let (request, share, until) = (*request, *share, *until);
        let id = spec.id.clone();
        match code {
            200 if stage.is_final() => {
                self.finals.insert_written(id.clone(), stage);
                let reply = Reply::json(201, &status(&id, stage));
                self.ctx.respond(request, reply);
            }
            200 => {
                let revision = revision_of(body);
                self.homes.insert(id.clone(), share);
                self.tell_new_job(share, spec, revision);
                if let Some(share) = self.shares.get_mut(&share) {
                    let at = self.ctx.wall;
                    share.on_job_accepted(&mut self.ctx, creation.spec, at, revision);
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
                self.create(creation);
            }
            _ => self.ctx.respond(request, Reply::later("not now")),
        }
    }

    // Questions.

    fn question(&mut self, request: RequestId, id: &str) -> Option<Reply> {
        let Some(id) = JobId::parse(id) else {
            return Some(Reply::error(404, "no such job"));
        };
        if let Some(stage) = self.finals.get(&id) {
            return Some(Reply::json(200, &status(&id, stage)));
        }
        if self.member.has_right(&self.ctx, &self.view) {
            if let Some(reply) = self.remembered(&id) {
                return Some(reply);
            }
        }
        self.look_up(request, id, Lookup::Question)
    }

    /// What memory says of a job of ours: nothing, if its record may say more.
    pub(crate) fn remembered(&mut self, id: &JobId) -> Option<Reply> {
        let share = self.share_of(id)?;
        let (k, epoch) = (share.id, share.epoch);
        // The view may have gone on in this very batch, and the share with it.
        let still_ours = self
            .view
            .shares
            .get(&k)
            .is_some_and(|s| s.rec.epoch == epoch);
        let job = self.share_of(id).filter(|_| still_ours)?.jobs.get(id)?;
        if !job.is_certain() {
            return None;
        }
        // A cancellation that we have not heard of may be on its way to it.
        let job = self.shares.get(&k)?.jobs.get(id)?;
        if !self.is_known_unfinished(job) {
            return Some(Reply::later("not known at the moment"));
        }
        Some(Reply::json(200, &job.status()))
    }

    /// Reads a job's record, for an answer that must not be older than what
    /// any node has told.
    pub(crate) fn look_up(&mut self, request: RequestId, id: JobId, why: Lookup) -> Option<Reply> {
        let until = self.ctx.now + LOOKUP_MS;
        self.read_job(request, id, why, until);
        None
    }

    fn read_job(&mut self, request: RequestId, id: JobId, why: Lookup, until: Ms) {
        let path = format!("/kv/{}", job_key(&id));
        let pending = Pending::Lookup {
            request,
            id,
            why,
            until,
        };
        self.ctx.read(Urgency::User, path, pending);
    }

    /// The read of a job's record was answered.
    pub(crate) fn on_lookup(
        &mut self,
        request: RequestId,
        id: JobId,
        why: Lookup,
        until: Ms,
        code: u16,
        body: &[u8],
    ) {
        // What was told meanwhile is newer than what was read.
        if let Some(stage) = self.finals.get(&id) {
            let reply = Reply::json(200, &status(&id, stage));
            return self.ctx.respond(request, reply);
        }
        let record = match code {
            200 => read_job(body),
            // It was accepted after the read.
            404 if self.homes.get(&id).is_some() || self.share_of(&id).is_some() => {
                if self.ctx.now < until {
                    return self.read_job(request, id, why, until);
                }
                None
            }
            404 => {
                let reply = match why {
                    Lookup::Submission(otherwise) => otherwise,
                    Lookup::Question | Lookup::Abort => Reply::error(404, "no such job"),
                };
                return self.ctx.respond(request, reply);
            }
            // A connection that broke is no outage: a read may be repeated.
            0 if self.ctx.now < until => return self.read_job(request, id, why, until),
            _ => None,
        };
        let Some(record) = record.filter(|r| !self.is_cancelled_with_another(r)) else {
            return self.ctx.respond(request, Reply::later("not now"));
        };
        if record.stage.is_final() {
            self.finals.insert(id.clone(), record.stage);
        } else {
            self.homes.insert(id.clone(), record.share);
        }
        if !record.stage.is_final() && matches!(why, Lookup::Abort) {
            return self.pass_abort(request, id, record.share);
        }
        self.ctx
            .respond(request, Reply::json(200, &status(&id, record.stage)));
    }

    /// Whether a job whose record does not say so yet is known to be cancelled
    /// with one that it needs. It must not be called queued for long.
    fn is_cancelled_with_another(&mut self, record: &JobRecord) -> bool {
        let dependencies = &record.spec.dependencies;
        if record.stage.is_final() || dependencies.is_empty() {
            return false;
        }
        let finals = &self.finals;
        let is_cancelled = |id: &JobId| finals.get(id) == Some(JobStage::Cancelled);
        if dependencies.iter().any(is_cancelled) {
            return true;
        }
        let job = self.share_of(&record.spec.id);
        let job = job.and_then(|s| s.jobs.get(&record.spec.id));
        job.is_some_and(|j| j.cancelled)
    }

    // Cancellations.

    fn abort(&mut self, request: RequestId, id: &str) -> Option<Reply> {
        let Some(id) = JobId::parse(id) else {
            return Some(Reply::error(404, "no such job"));
        };
        if let Some(stage) = self.finals.get(&id) {
            return Some(Reply::json(200, &status(&id, stage)));
        }
        let right = self.member.has_right(&self.ctx, &self.view);
        let Node { shares, ctx, .. } = self;
        let ours = shares
            .values_mut()
            .find(|s| s.phase == Phase::Active && s.jobs.contains_key(&id));
        if let Some(share) = ours {
            share.cancel(ctx, &id);
            let job = share.jobs.get_mut(&id)?;
            // An earlier holder may have told the user already; what is left of
            // the job may take long to end.
            if job.cancel_durable {
                return Some(Reply::json(200, &status(&id, JobStage::Cancelled)));
            }
            // Stopping is always allowed, but it is not for us to confirm it.
            if !right {
                return Some(Reply::later("not now"));
            }
            job.cancel_waiters.push(request);
            let until = ctx.now + ANSWER_MS;
            self.cancel_ends.push_back((until, request, id));
            return None;
        }
        self.look_up(request, id, Lookup::Abort)
    }

    /// Leaves word for the holder, in the place that it watches.
    fn pass_abort(&mut self, request: RequestId, id: JobId, share: ShareId) {
        let until = self.ctx.now + ANSWER_MS * 3 / 4;
        self.tell_cancel(&id, share);
        let known = self.view.aborts.get(&id).copied();
        let key = abort_key(&id);
        let poll = AbortPoll {
            request,
            id,
            version: known.unwrap_or(0),
            until,
        };
        if known.is_some() {
            return self.poll_abort(poll);
        }
        let txn = Txn {
            conds: Vec::new(),
            writes: vec![Write::put(key, true.into())],
        };
        self.ctx.txn(Urgency::User, &txn, Pending::Abort(poll));
    }

    /// The write of a key that asks for a cancellation was answered.
    pub(crate) fn on_abort_put(&mut self, mut poll: AbortPoll, code: u16, body: &[u8]) {
        if code == 200 {
            poll.version = revision_of(body);
            self.poll_abort(poll);
        } else {
            self.ctx.respond(poll.request, Reply::later("not now"));
        }
    }

    fn poll_abort(&mut self, poll: AbortPoll) {
        let path = format!("/kv/{}", job_key(&poll.id));
        self.ctx.read(Urgency::User, path, Pending::AbortPoll(poll));
    }

    /// The read that shows whether a cancellation was carried out was answered.
    pub(crate) fn on_abort_poll(&mut self, poll: AbortPoll, code: u16, body: &[u8]) {
        let AbortPoll {
            request,
            id,
            version,
            until,
        } = &poll;
        let record = if code == 200 { read_job(body) } else { None };
        match record {
            Some(record) if record.stage.is_final() => {
                self.finals.insert(id.clone(), record.stage);
                let reply = Reply::json(200, &status(id, record.stage));
                self.ctx.respond(*request, reply);
                // The holder may have been told by message, and have done it
                // before any view showed the key: it is for us to remove.
                crate::share::remove_key(&mut self.ctx, abort_key(id), *version);
            }
            _ if code == 503 => self.ctx.respond(*request, Reply::later("not now")),
            _ if self.ctx.now < *until => self.later_polls.push((self.ctx.now + POLL_MS, poll)),
            _ => self.ctx.respond(*request, Reply::later("being cancelled")),
        }
    }

    /// Answers users whose cancellation could not be written in time.
    pub(crate) fn end_waits(&mut self) {
        let now = self.ctx.now;
        while self
            .cancel_ends
            .front()
            .is_some_and(|(until, ..)| now >= *until)
        {
            let Some((_, request, id)) = self.cancel_ends.pop_front() else {
                return;
            };
            let Some(job) = self.share_of(&id).and_then(|s| s.jobs.get_mut(&id)) else {
                continue;
            };
            let waiting = job.cancel_waiters.len();
            job.cancel_waiters.retain(|waiter| *waiter != request);
            if job.cancel_waiters.len() < waiting {
                self.ctx.respond(request, Reply::later("being cancelled"));
            }
        }
    }

    /// Looks again at cancellations that others are to carry out.
    pub(crate) fn repeat_polls(&mut self) {
        let now = self.ctx.now;
        let polls = std::mem::take(&mut self.later_polls);
        for (at, poll) in polls {
            if now >= at {
                self.poll_abort(poll);
            } else {
                self.later_polls.push((at, poll));
            }
        }
    }

    // Workers.

    fn report(&mut self, body: Option<Vec<u8>>) -> Reply {
        let Some(body) = body else {
            return Reply::error(413, "too large");
        };
        let report: Report = match serde_json::from_slice(&body) {
            Ok(report) => report,
            Err(e) => {
                log::info!("a report is not understood: {e}");
                return Reply::error(400, "not a report");
            }
        };
        let Some(record) = self.view.machines.get(&report.machine) else {
            return Reply::json(421, &Redirect::default());
        };
        let k = record.rec.share;
        if !self.shares.contains_key(&k) {
            if self.keeps(k, &report.machine) {
                let (token, commands) = (report.token, Vec::new());
                return Reply::json(200, &ReportReply { token, commands });
            }
            let holder = self.view.holder(k).filter(|n| **n != self.ctx.cfg.node);
            let report_to = holder.map(|n| n.to_string());
            return Reply::json(421, &Redirect { report_to });
        }
        let share = self.shares.get(&k);
        let entitled = share.is_some_and(|s| self.ctx.entitled || self.holds_on(s));
        let bridges = share.is_some_and(|s| self.bridges(s, &report.machine));
        let newest = self.view.epoch().1;
        let first = share.map(|s| s.first_token(&record.rec));
        let Node { shares, ctx, .. } = self;
        let Some(share) = shares.get_mut(&k).filter(|_| entitled) else {
            return Reply::json(421, &Redirect::default());
        };
        if share.phase != Phase::Active {
            let token = first.filter(|t| report.token <= *t && bridges);
            return match token {
                Some(token) => {
                    let commands = Vec::new();
                    Reply::json(200, &ReportReply { token, commands })
                }
                None => Reply::json(421, &Redirect::default()),
            };
        }
        if share
            .machines
            .get(&report.machine)
            .is_none_or(|m| report.token > m.token)
        {
            // Somebody newer holds the machine. A 200 would be dropped, and
            // the worker would stay here while its lease runs out.
            let epoch = report.token >> TOKEN_BITS;
            if epoch > newest {
                share.supersede(&format!("{} has a token of epoch {epoch}", report.machine));
            }
            return Reply::json(421, &Redirect::default());
        }
        share.ingest(ctx, &report);
        match share.report_reply(ctx, &report.machine) {
            Some((token, commands)) => Reply::json(200, &ReportReply { token, commands }),
            None => Reply::json(421, &Redirect::default()),
        }
    }
}

/// Whether a transaction that was to accept a job failed because it was
/// accepted before.
fn is_known(creation: &Creation, body: &[u8]) -> bool {
    let reply: TxnReply = serde_json::from_slice(body).unwrap_or_default();
    let key = job_key(&creation.spec.id);
    reply.failed.is_empty() || reply.failed.contains(&key)
}

/// The record of a job in an answer of the state service.
pub(crate) fn read_job(body: &[u8]) -> Option<JobRecord> {
    let item: Item = serde_json::from_slice(body).ok()?;
    from_value(item.value).ok()
}

/// The id that a body names, whatever else it holds.
fn id_of(body: &[u8]) -> Option<JobId> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    JobId::parse(value.get("uid")?.as_str()?)
}

#[cfg(test)]
mod tests;
