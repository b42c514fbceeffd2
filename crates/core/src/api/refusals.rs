//! Refusals of requests for jobs: why a user was told to ask again later.
//!
//! A refusal that lasts breaks the promise that an accepted job stays known, so each one is
//! logged with what the controller knew, and all are counted for the status log.

use crate::io::{Reply, RequestId};
use crate::node::Node;
use forkshift_wire::JobId;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of unknown dependencies that a log line names.
const MAX_LOGGED_DEPENDENCIES: usize = 4;

/// Why a request for a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Refusal {
    /// The job's record could not be read. Carries the status of the last attempt.
    Unreadable(u16),
    /// A dependency is cancelled, and the cancellation of the job is not recorded yet.
    DependencyCancelled,
    /// It is not known whether a dependency is cancelled.
    DependenciesUnknown,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(status) => write!(f, "its record is not readable, status {status}"),
            Self::DependencyCancelled => f.write_str("a dependency is cancelled"),
            Self::DependenciesUnknown => f.write_str("its dependencies may be cancelled"),
        }
    }
}

/// Numbers of refusals since the last status log.
#[derive(Debug, Default)]
pub(crate) struct RefusalCounts(BTreeMap<Refusal, u64>);

impl RefusalCounts {
    fn record(&mut self, refusal: Refusal) {
        *self.0.entry(refusal).or_default() += 1;
    }

    /// Logs the numbers and starts a new count.
    pub(crate) fn log_and_reset(&mut self) {
        for (refusal, times) in std::mem::take(&mut self.0) {
            log::info!("requests: {times} refused, {refusal}");
        }
    }
}

impl Node {
    /// Refuses a request for a job, which may have these `dependencies`.
    pub(crate) fn refuse(
        &mut self,
        request: RequestId,
        id: &JobId,
        refusal: Refusal,
        dependencies: &[JobId],
    ) {
        self.refusals.record(refusal);
        match refusal {
            Refusal::Unreadable(_) => log::debug!("job {id}: request refused, {refusal}"),
            Refusal::DependencyCancelled | Refusal::DependenciesUnknown => log::info!(
                "job {id}: request refused, {refusal}: {}; {}",
                self.describe_dependencies(dependencies),
                self.job_feed.status(self.ctx.now),
            ),
        }
        self.ctx.respond(request, Reply::unavailable("not now"));
    }

    /// What the log says of a job's transitive dependencies: those that are cancelled, and some
    /// of those that are unknown.
    fn describe_dependencies(&self, dependencies: &[JobId]) -> String {
        let now = self.ctx.now;
        let walk = self.walk_dependencies(dependencies);
        let cancelled: Vec<String> = walk.cancelled.iter().map(JobId::to_string).collect();
        let unknown: Vec<String> = walk
            .unknown
            .iter()
            .take(MAX_LOGGED_DEPENDENCIES)
            .map(|id| match self.job_feed.wanted_for_ms(id, now) {
                Some(ms) => format!("{id} wanted for {ms} ms"),
                None => format!("{id} not wanted"),
            })
            .collect();
        format!(
            "cancelled [{}], {} unknown [{}], others not cancelled as of {} ms ago",
            cancelled.join(", "),
            walk.unknown.len(),
            unknown.join(", "),
            now.saturating_sub(walk.not_cancelled_as_of),
        )
    }
}
