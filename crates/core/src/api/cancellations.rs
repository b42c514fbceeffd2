//! Cancellations of jobs that are held here, and requests to other holders to cancel
//! theirs.

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

/// Pause between two reads that show whether a cancellation was carried out, in
/// milliseconds.
const CANCELLATION_POLL_INTERVAL_MS: Ms = 250;

impl Node {
    /// A user requests the cancellation of a job.
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
        // An earlier holder may have confirmed it already; the remaining tasks of
        // the job may take long to end.
        if job.is_cancellation_durable {
            return Some(Reply::json(200, &status_of_stage(&id, JobStage::Cancelled)));
        }
        // Stopping is always allowed, but only a valid lease allows to confirm it.
        if !has_valid_lease {
            return Some(Reply::unavailable("not now"));
        }
        job.cancel_waiters.push(request);
        let until = ctx.now + USER_ANSWER_TIMEOUT_MS;
        self.cancel_deadlines.push_back((until, request, id));
        None
    }

    /// Requests a cancellation from the holder of a job, by a message and by a key that
    /// the holder watches.
    pub(crate) fn forward_cancellation(&mut self, request: RequestId, id: JobId, shard: ShardId) {
        let until = self.ctx.now + USER_ANSWER_TIMEOUT_MS * 3 / 4;
        self.send_cancel(&id, shard);
        let known = self.view.cancellations.get(&id).copied();
        let key = cancellation_key(&id);
        let poll = CancellationPoll {
            request,
            id,
            version: known.unwrap_or(0),
            deadline: until,
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

    /// The write of a key that requests a cancellation was answered.
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

    /// A read that shows whether a cancellation was carried out was answered.
    pub(crate) fn on_cancellation_poll(&mut self, poll: CancellationPoll, code: u16, body: &[u8]) {
        let CancellationPoll {
            request,
            id,
            version,
            deadline: until,
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
                // The holder may have had the message, and have carried it out before any
                // view showed the key: then the key is removed here.
                crate::shard::remove_key(&mut self.ctx, cancellation_key(id), *version);
            }
            _ if code == 503 => self.ctx.respond(*request, Reply::unavailable("not now")),
            _ if self.ctx.now < *until => self
                .delayed_cancellation_polls
                .push((self.ctx.now + CANCELLATION_POLL_INTERVAL_MS, poll)),
            _ => self
                .ctx
                .respond(*request, Reply::unavailable("being cancelled")),
        }
    }

    /// Answers users whose cancellation could not be written in time.
    pub(crate) fn expire_cancel_waits(&mut self) {
        let now = self.ctx.now;
        while self
            .cancel_deadlines
            .front()
            .is_some_and(|(until, ..)| now >= *until)
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
            let waiting = job.cancel_waiters.len();
            job.cancel_waiters.retain(|waiter| *waiter != request);
            if job.cancel_waiters.len() < waiting {
                self.ctx
                    .respond(request, Reply::unavailable("being cancelled"));
            }
        }
    }

    /// Repeats the reads for cancellations that other holders are to carry out.
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
