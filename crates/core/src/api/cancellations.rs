//! Cancellations: of jobs in shards held here, and of jobs that other controllers hold.
//!
//! A cancellation is confirmed to the user only after it is durable in the key-value store.

use crate::api::status_queries::parse_job_record;
use crate::api::{status_of_stage, USER_ANSWER_TIMEOUT_MS};
use crate::context::revision_of;
use crate::io::{Reply, RequestId};
use crate::node::{active_shard_of_mut, Node};
use crate::pending_call::{CancellationPoll, LookupPurpose, PendingCall};
use crate::records::{cancellation_key, job_key, ShardId};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;

/// Interval between two reads of a job's record while its holder cancels the job, in
/// milliseconds.
const CANCELLATION_POLL_INTERVAL_MS: Ms = 250;

impl Node {
    /// Processes a user's request to cancel a job.
    pub(crate) fn cancel_job(&mut self, request: RequestId, id: &str) -> Option<Reply> {
        let Some(id) = JobId::parse(id) else {
            return Some(Reply::error(404, "no such job"));
        };
        if let Some(stage) = self.final_stages.get(&id) {
            return Some(Reply::json(200, &status_of_stage(&id, stage)));
        }
        let has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        let Node { shards, ctx, .. } = self;
        let Some(shard) = active_shard_of_mut(shards, &id) else {
            return self.look_up_job(request, id, LookupPurpose::Cancellation);
        };
        shard.cancel(ctx, &id);
        let job = shard.jobs.get_mut(&id)?;
        // An earlier holder may have confirmed the cancellation. The user need not wait for the
        // remaining tasks, which may take long to stop.
        if job.is_cancellation_durable {
            return Some(Reply::json(200, &status_of_stage(&id, JobStage::Cancelled)));
        }
        // Tasks may be stopped without a valid lease, but the cancellation may not be confirmed.
        if !has_valid_lease {
            return Some(Reply::unavailable("not now"));
        }
        job.cancel_waiters.push(request);
        let deadline = ctx.now + USER_ANSWER_TIMEOUT_MS;
        self.cancel_deadlines.push_back((deadline, request, id));
        None
    }

    /// Requests a cancellation from the holder of a job: by a message, which may be lost, and
    /// by a key that the holder watches. The job's record is then polled for the result.
    pub(crate) fn forward_cancellation(&mut self, request: RequestId, id: JobId, shard: ShardId) {
        let deadline = self.ctx.now + USER_ANSWER_TIMEOUT_MS * 3 / 4;
        self.send_cancel(&id, shard);
        let known = self.view.cancellations.get(&id).copied();
        let key = cancellation_key(&id);
        let poll = CancellationPoll {
            request,
            id,
            version: known.unwrap_or(0),
            deadline,
        };
        if known.is_some() {
            return self.poll_cancellation(poll);
        }
        let transaction = Transaction {
            preconditions: Vec::new(),
            writes: vec![Write::put(key, true.into())],
        };
        self.ctx.transact(
            Urgency::User,
            &transaction,
            PendingCall::CancellationWrite(poll),
        );
    }

    /// Processes the response to the write of the key that requests a cancellation.
    pub(crate) fn on_cancellation_written(
        &mut self,
        mut poll: CancellationPoll,
        code: u16,
        body: &[u8],
    ) {
        if code == 200 {
            poll.version = revision_of(body);
            self.poll_cancellation(poll);
        } else {
            self.ctx
                .respond(poll.request, Reply::unavailable("not now"));
        }
    }

    fn poll_cancellation(&mut self, poll: CancellationPoll) {
        let path = format!("/kv/{}", job_key(&poll.id));
        self.ctx
            .read_store(Urgency::User, path, PendingCall::CancellationPoll(poll));
    }

    /// Processes the response to a read of a job's record while its holder cancels the job.
    pub(crate) fn on_cancellation_poll(&mut self, poll: CancellationPoll, code: u16, body: &[u8]) {
        let CancellationPoll {
            request,
            id,
            version,
            deadline,
        } = &poll;
        let record = if code == 200 {
            parse_job_record(body)
        } else {
            None
        };
        match record {
            Some(record) if record.stage.is_final() => {
                self.final_stages.insert(id.clone(), record.stage);
                let reply = Reply::json(200, &status_of_stage(id, record.stage));
                self.ctx.respond(*request, reply);
                // The holder may have cancelled the job upon the message, before the key
                // appeared in any view. The key is obsolete and is removed here; otherwise the
                // leader would remove it only after the cancellation timeout.
                crate::shard::remove_key(&mut self.ctx, cancellation_key(id), *version);
            }
            _ if code == 503 => self.ctx.respond(*request, Reply::unavailable("not now")),
            _ if self.ctx.now < *deadline => self
                .delayed_cancellation_polls
                .push((self.ctx.now + CANCELLATION_POLL_INTERVAL_MS, poll)),
            _ => self
                .ctx
                .respond(*request, Reply::unavailable("being cancelled")),
        }
    }

    /// Responds with 503 to users whose cancellation has not become durable in time.
    pub(crate) fn expire_cancel_waits(&mut self) {
        let now = self.ctx.now;
        while self
            .cancel_deadlines
            .front()
            .is_some_and(|(deadline, ..)| now >= *deadline)
        {
            let Some((_, request, id)) = self.cancel_deadlines.pop_front() else {
                return;
            };
            let Some(job) = self
                .active_shard_of_mut(&id)
                .and_then(|s| s.jobs.get_mut(&id))
            else {
                continue;
            };
            let waiter_count = job.cancel_waiters.len();
            job.cancel_waiters.retain(|waiter| *waiter != request);
            if job.cancel_waiters.len() < waiter_count {
                self.ctx
                    .respond(request, Reply::unavailable("being cancelled"));
            }
        }
    }

    /// Repeats the reads of job records that are due, for cancellations by other holders.
    pub(crate) fn repeat_cancellation_polls(&mut self) {
        let now = self.ctx.now;
        let polls = std::mem::take(&mut self.delayed_cancellation_polls);
        for (at, poll) in polls {
            if now >= at {
                self.poll_cancellation(poll);
            } else {
                self.delayed_cancellation_polls.push((at, poll));
            }
        }
    }
}
