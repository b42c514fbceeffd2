//! Lookups of jobs that wait until the states of the jobs' dependencies are known.
//!
//! The job's record is read again after that, as it may have changed in the meantime.

use crate::api::refusals::Refusal;
use crate::io::RequestId;
use crate::job_feed::ReadPriority;
use crate::node::Node;
use crate::pending_call::LookupRequest;
use crate::shard::dependencies::DependencyCheck;
use forkshift_wire::JobId;
use std::collections::BTreeSet;

/// A request for an unfinished job, whose dependencies may be cancelled.
pub(crate) struct DelayedLookup {
    pub(crate) lookup: LookupRequest,
    /// The job's direct dependencies.
    pub(crate) dependencies: Vec<JobId>,
}

impl Node {
    /// Delays a lookup until more is known of the job's dependencies, and requests the records
    /// of those that are unknown.
    pub(crate) fn delay_lookup(&mut self, delayed: DelayedLookup, unknown: BTreeSet<JobId>) {
        self.read_dependencies(unknown, ReadPriority::Request);
        self.delayed_lookups.push(delayed);
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
            self.read_dependencies(unknown, priority);
        }
        self.refuse(request, id, Refusal::DependenciesUnknown, dependencies);
    }

    /// Repeats the lookups of jobs whose dependencies have become known, and requests more
    /// records for the others.
    pub(crate) fn resume_lookups(&mut self) {
        for delayed in std::mem::take(&mut self.delayed_lookups) {
            let is_final = self.final_stages.get(&delayed.lookup.id).is_some();
            match self.check_dependencies(&delayed.dependencies) {
                DependencyCheck::Uncertain(unknown) if !is_final => {
                    self.delay_lookup(delayed, unknown);
                }
                _ => self.read_job(delayed.lookup),
            }
        }
    }

    /// Refuses the requests whose lookups have been delayed for too long.
    pub(crate) fn expire_delayed_lookups(&mut self) {
        let now = self.ctx.now;
        let lookups = std::mem::take(&mut self.delayed_lookups).into_iter();
        let (expired, waiting): (Vec<_>, Vec<_>) =
            lookups.partition(|delayed| now >= delayed.lookup.deadline);
        self.delayed_lookups = waiting;
        for DelayedLookup {
            lookup,
            dependencies,
        } in expired
        {
            let refusal = Refusal::DependenciesUnknown;
            self.refuse(lookup.request, &lookup.id, refusal, &dependencies);
        }
    }
}
