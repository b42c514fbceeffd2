//! Lookups of jobs that wait until the states of the jobs' dependencies are known.
//!
//! The job's record is read again after that, as it may have changed in the meantime.

use crate::api::refusals::Refusal;
use crate::io::RequestId;
use crate::job_feed::ReadPriority;
use crate::node::Node;
use crate::pending_call::LookupPurpose;
use crate::shard::dependencies::DependencyCheck;
use crate::Ms;
use forkshift_wire::JobId;
use std::collections::BTreeSet;

/// A request for an unfinished job, whose dependencies may be cancelled.
pub(crate) struct DelayedLookup {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    pub(crate) purpose: LookupPurpose,
    /// Time at which the request is refused, in milliseconds of the steady clock.
    pub(crate) deadline: Ms,
    /// The job's direct dependencies.
    pub(crate) dependencies: Vec<JobId>,
}

impl Node {
    /// Delays a lookup until more is known of the job's dependencies, and requests the records
    /// of those that are unknown.
    pub(crate) fn delay_lookup(&mut self, lookup: DelayedLookup, unknown: BTreeSet<JobId>) {
        self.request_job_feed();
        self.job_feed
            .read(unknown, ReadPriority::Request, self.ctx.now);
        self.delayed_lookups.push(lookup);
    }

    /// Refuses a request for a job, as it is uncertain whether one of its `dependencies` is
    /// cancelled, and requests the records of those of which nothing is known.
    pub(crate) fn refuse_undecided(
        &mut self,
        request: RequestId,
        id: &JobId,
        dependencies: &[JobId],
        priority: ReadPriority,
    ) {
        if let DependencyCheck::Uncertain(unknown) = self.check_dependencies(dependencies) {
            self.request_job_feed();
            self.job_feed.read(unknown, priority, self.ctx.now);
        }
        self.refuse(request, id, Refusal::DependenciesUnknown, dependencies);
    }

    /// Repeats the lookups of jobs whose dependencies have become known, and requests more
    /// records for the others.
    pub(crate) fn resume_lookups(&mut self) {
        for lookup in std::mem::take(&mut self.delayed_lookups) {
            let is_final = self.final_stages.get(&lookup.id).is_some();
            match self.check_dependencies(&lookup.dependencies) {
                DependencyCheck::Uncertain(unknown) if !is_final => {
                    self.delay_lookup(lookup, unknown);
                }
                _ => {
                    let DelayedLookup {
                        request,
                        id,
                        purpose,
                        deadline,
                        ..
                    } = lookup;
                    self.read_job(request, id, purpose, deadline);
                }
            }
        }
    }

    /// Refuses the requests whose lookups have been delayed for too long.
    pub(crate) fn expire_delayed_lookups(&mut self) {
        let now = self.ctx.now;
        let lookups = std::mem::take(&mut self.delayed_lookups).into_iter();
        let (expired, waiting): (Vec<_>, Vec<_>) =
            lookups.partition(|lookup| now >= lookup.deadline);
        self.delayed_lookups = waiting;
        for lookup in expired {
            let DelayedLookup { request, id, .. } = &lookup;
            let refusal = Refusal::DependenciesUnknown;
            self.refuse(*request, id, refusal, &lookup.dependencies);
        }
    }
}
