//! Status queries: answered from memory under a valid lease, otherwise from the job's record in
//! the key-value store.

use crate::api::delayed_lookups::DelayedLookup;
use crate::api::refusals::Refusal;
use crate::api::status_of_stage;
use crate::io::{Reply, RequestId};
use crate::node::{active_shard_of, Node};
use crate::pending_call::{JobLookup, LookupPurpose, LookupRequest, PendingCall};
use crate::records::{job_key, JobRecord};
use crate::shard::dependencies::DependencyCheck;
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::Item;
use forkshift_wire::JobId;
use serde_json::from_value;
use std::collections::BTreeSet;

/// Time within which the read of a job's record is retried after a broken connection, in
/// milliseconds. Users wait 2 s for a response.
const LOOKUP_RETRY_TIMEOUT_MS: Ms = 1_000;

impl Node {
    /// Processes a user's query for the status of a job.
    pub(crate) fn answer_status_query(&mut self, request: RequestId, id: &str) -> Option<Reply> {
        let Some(id) = JobId::parse(id) else {
            return Some(Reply::error(404, "no such job"));
        };
        if let Some(stage) = self.final_stages.get(&id) {
            return Some(Reply::json(200, &status_of_stage(&id, stage)));
        }
        if self.membership.has_valid_lease(&self.ctx, &self.view) {
            if let Some(reply) = self.status_from_memory(&id) {
                return Some(reply);
            }
        }
        self.look_up_job(request, id, LookupPurpose::StatusQuery)
    }

    /// The status of a job from memory; `None` if the job is not held here, or if its record in
    /// the key-value store may be newer.
    pub(crate) fn status_from_memory(&self, id: &JobId) -> Option<Reply> {
        let shard = active_shard_of(&self.shards, id)?;
        // An input of the current batch may have updated the view to a new holder of the shard,
        // before the shard is dropped.
        let current = self.view.shards.get(&shard.id);
        let is_current = current.is_some_and(|current| current.record.epoch == shard.epoch);
        let job = shard.jobs.get(id).filter(|_| is_current)?;
        if !job.is_status_certain() {
            return None;
        }
        // Otherwise the job's record is read, which may already show that it is cancelled.
        let check = self.check_dependencies(&job.unresolved_dependencies);
        (check == DependencyCheck::NotCancelled).then(|| Reply::json(200, &job.status()))
    }

    /// Reads a job's record to answer a request. The answer must not be older than any status
    /// that a controller has reported for the job, so it is read from the key-value store.
    /// Always returns `None`, as the response follows the read.
    ///
    /// A request for a job whose dependencies are known not to be settled waits without a read:
    /// users repeat it until it is answered, and their reads would hold up those that settle it.
    pub(crate) fn look_up_job(
        &mut self,
        request: RequestId,
        id: JobId,
        purpose: LookupPurpose,
    ) -> Option<Reply> {
        let unsettled = self.unsettled_dependencies(&id);
        let lookup = LookupRequest {
            request,
            id,
            purpose,
            deadline: self.ctx.now + LOOKUP_RETRY_TIMEOUT_MS,
        };
        match unsettled.filter(|_| !lookup.purpose.is_cancellation()) {
            Some((dependencies, unknown)) => {
                let delayed = DelayedLookup {
                    lookup,
                    dependencies,
                };
                self.delay_lookup(delayed, unknown);
            }
            None => self.read_job(lookup),
        }
        None
    }

    /// The dependencies of a job that the job feed shows unfinished, and those of which nothing
    /// is known, if it is uncertain whether one of them is cancelled.
    pub(crate) fn unsettled_dependencies(
        &self,
        id: &JobId,
    ) -> Option<(Vec<JobId>, BTreeSet<JobId>)> {
        let dependencies = &self.job_feed.unfinished(id)?.dependencies;
        match self.check_dependencies(dependencies) {
            DependencyCheck::Uncertain(unknown) => Some((dependencies.clone(), unknown)),
            DependencyCheck::NotCancelled | DependencyCheck::Cancelled => None,
        }
    }

    /// Reads a job's record to answer a request, within a deadline for retries.
    pub(super) fn read_job(&mut self, lookup: LookupRequest) {
        let path = format!("/kv/{}", job_key(&lookup.id));
        let pending = PendingCall::JobLookup(JobLookup {
            lookup,
            feed_run: self.job_feed.run(),
            sent: self.ctx.now,
        });
        self.ctx.read_store(Urgency::User, path, pending);
    }

    /// Processes the response to the read of a job's record.
    pub(crate) fn on_lookup(&mut self, read: JobLookup, status_code: u16, body: &[u8]) {
        let JobLookup {
            lookup,
            feed_run,
            sent,
        } = read;
        let request = lookup.request;
        // A final stage that became known during the read is newer than the record.
        if let Some(stage) = self.final_stages.get(&lookup.id) {
            let reply = Reply::json(200, &status_of_stage(&lookup.id, stage));
            return self.ctx.respond(request, reply);
        }
        let is_in_time = self.ctx.now < lookup.deadline;
        let record = match status_code {
            200 => parse_job_record(body),
            // The job was accepted after the read.
            404 if self.job_shards.get(&lookup.id).is_some()
                || self.active_shard_of_mut(&lookup.id).is_some() =>
            {
                if is_in_time {
                    return self.read_job(lookup);
                }
                None
            }
            404 => {
                let reply = match lookup.purpose {
                    LookupPurpose::Submission(reply_if_missing) => reply_if_missing,
                    LookupPurpose::StatusQuery | LookupPurpose::Cancellation => {
                        Reply::error(404, "no such job")
                    }
                };
                return self.ctx.respond(request, reply);
            }
            // A broken connection does not imply an outage of the store, so the read is retried.
            0 if is_in_time => return self.read_job(lookup),
            _ => None,
        };
        let Some(record) = record else {
            return self.refuse(request, &lookup.id, Refusal::Unreadable(status_code), &[]);
        };
        // A cancellation is answered by the holder, once the final stage is recorded.
        if record.stage.is_final() || lookup.purpose.is_cancellation() {
            return self.on_record_found(lookup, &record);
        }
        match self.check_unfinished_record(&record) {
            DependencyCheck::NotCancelled => self.on_record_found(lookup, &record),
            DependencyCheck::Cancelled => {
                let dependencies = &record.spec.dependencies;
                let refusal = Refusal::DependencyCancelled;
                self.refuse(request, &lookup.id, refusal, dependencies);
            }
            DependencyCheck::Uncertain(unknown) => {
                self.job_feed.insert_read(feed_run, &record, sent);
                self.job_shards.insert(lookup.id.clone(), record.shard);
                let delayed = DelayedLookup {
                    lookup,
                    dependencies: record.spec.dependencies,
                };
                if !self.forward_undecided_query(&delayed) {
                    self.delay_lookup(delayed, unknown);
                }
            }
        }
    }

    /// Responds to a request by the record of its job.
    fn on_record_found(&mut self, lookup: LookupRequest, record: &JobRecord) {
        let LookupRequest {
            request,
            id,
            purpose,
            ..
        } = lookup;
        if record.stage.is_final() {
            self.final_stages.insert(id.clone(), record.stage);
        } else {
            self.job_shards.insert(id.clone(), record.shard);
        }
        if !record.stage.is_final() && purpose.is_cancellation() {
            return self.forward_cancellation(request, id, record.shard);
        }
        self.ctx.respond(
            request,
            Reply::json(200, &status_of_stage(&id, record.stage)),
        );
    }

    /// Checks the dependencies of a job whose record shows it unfinished. The record of a job
    /// that is bound to be cancelled may not show the cancellation yet.
    fn check_unfinished_record(&self, record: &JobRecord) -> DependencyCheck {
        if record.spec.dependencies.is_empty() {
            return DependencyCheck::NotCancelled;
        }
        let held = self.held_job(&record.spec.id);
        if held.is_some_and(|job| job.is_cancelled) {
            return DependencyCheck::Cancelled;
        }
        self.check_dependencies(&record.spec.dependencies)
    }
}

/// Parses the record of a job from a response of the key-value store; `None` if it is
/// malformed.
pub(crate) fn parse_job_record(body: &[u8]) -> Option<JobRecord> {
    parse_versioned_job_record(body).map(|(record, _)| record)
}

/// Parses the record of a job and its version from a response of the key-value store.
pub(crate) fn parse_versioned_job_record(body: &[u8]) -> Option<(JobRecord, u64)> {
    let item: Item = serde_json::from_slice(body).ok()?;
    let record = from_value(item.value).ok()?;
    Some((record, item.version))
}
