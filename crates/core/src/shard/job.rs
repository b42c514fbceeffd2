//! State of an unfinished job in the memory of the controller that holds its shard.

mod binding;
mod blocks;
mod layout_change;
mod wait_time;

pub(crate) use binding::{Binding, StartState, Stop};
pub(crate) use blocks::Block;
pub(crate) use layout_change::StoredBlock;
pub(crate) use wait_time::EventAge;

use crate::io::RequestId;
use crate::shard::failure_attribution::{min_healthy_run_ms, JobFailures};
use crate::shard::layout::BlockLayout;
use crate::shard::ranges::RangeSet;
use crate::Ms;
use forkshift_sched::Resources;
use forkshift_wire::users::{JobKind, JobSpec, JobStage, JobStatus, Priority};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::JobId;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An unfinished job.
///
/// Times are in milliseconds of the steady clock unless a field's name says
/// otherwise.
pub(crate) struct Job {
    /// The job as the user submitted it.
    pub(crate) spec: Rc<JobSpec>,
    /// Resource request of one task.
    pub(crate) task_resources: Resources,
    /// Number of the container image, as [`crate::names::ImageNames`] assigns it.
    pub(crate) image: u32,
    /// Assignment of task indices to stored blocks.
    layout: BlockLayout,
    /// The job is being moved to `layout`, which the stored head does not name yet.
    pub(crate) is_changing_layout: bool,
    /// Stored blocks of the previous layout, removed once the head names `layout`.
    pub(crate) obsolete_blocks: Vec<StoredBlock>,
    /// Number of changes to the job's state in this controller's memory. Unlike
    /// `record_version`, it isn't stored, and restarts at 0 under a new holder.
    pub(crate) memory_version: u64,
    /// Write state of each block. Block 0 is part of the head record.
    pub(crate) blocks: BTreeMap<u32, Block>,
    /// Indices of the completed tasks.
    pub(crate) completed: RangeSet,
    /// Tasks that may be on a machine, by task index.
    pub(crate) bindings: BTreeMap<u32, Binding>,
    /// Whether cancellation was requested; it may not be durable yet.
    pub(crate) is_cancelled: bool,
    /// Wall-clock time of the first cancellation request, in milliseconds. It is
    /// stored for the next holder: no user was told before this time that the job
    /// is cancelled.
    pub(crate) cancelled_at_wall_ms: Ms,
    /// Age of the first cancellation request.
    pub(crate) cancellation_age: EventAge,
    /// The key-value store has recorded the cancellation.
    pub(crate) is_cancellation_durable: bool,
    /// User requests that are answered once the cancellation is durable.
    pub(crate) cancel_waiters: Vec<RequestId>,
    /// A write or a read of the job's records is in flight. No other write is
    /// sent meanwhile.
    pub(crate) has_record_call_in_flight: bool,
    /// End of the pause after a failed write: the job's records are not written
    /// before.
    pub(crate) write_retry_at: Ms,
    /// Dependencies that are not known to be done; the job is blocked by them.
    pub(crate) unresolved_dependencies: BTreeSet<JobId>,
    /// The highest priority of the jobs that depend on this job.
    pub(crate) inherited_priority: Priority,
    /// Wall-clock time of the submission, in milliseconds.
    pub(crate) submitted_at_wall_ms: Ms,
    /// Age of the submission or, if the job had dependencies, of the completion of
    /// the last one.
    pub(crate) submission_age: EventAge,
    /// When a task last completed. If an earlier holder recorded the completion,
    /// the time at which this controller restored the job.
    pub(crate) last_completion_at: Option<Ms>,
    /// When the job, after a long wait, was first found unschedulable for lack of
    /// machines alone. Never reset, so quota is reserved for the job only once.
    pub(crate) lacking_machines_since: Option<Ms>,
    /// End of the backoff after a failure: no task is placed on a machine before.
    pub(crate) placement_backoff_until: Ms,
    /// Failures since a task of the job last ran long enough to count as healthy.
    pub(crate) failures: JobFailures,
}

impl Job {
    /// A job with a stored head but no recorded tasks. `head_version` is the
    /// version of the head record in the key-value store.
    pub(crate) fn new(
        spec: JobSpec,
        image: u32,
        head_version: u64,
        layout: BlockLayout,
        now: Ms,
    ) -> Self {
        let head = Block {
            record_version: head_version,
            ..Block::default()
        };
        Self {
            task_resources: Resources::new(spec.cpus, spec.gpus, spec.memory_gb),
            image,
            layout,
            is_changing_layout: false,
            obsolete_blocks: Vec::new(),
            memory_version: 0,
            blocks: BTreeMap::from([(0, head)]),
            completed: RangeSet::default(),
            bindings: BTreeMap::new(),
            is_cancelled: false,
            cancelled_at_wall_ms: 0,
            cancellation_age: EventAge {
                age_when_learned_ms: 0,
                learned_at: 0,
            },
            is_cancellation_durable: false,
            cancel_waiters: Vec::new(),
            has_record_call_in_flight: false,
            write_retry_at: 0,
            unresolved_dependencies: spec.dependencies.iter().cloned().collect(),
            inherited_priority: Priority::Low,
            submitted_at_wall_ms: 0,
            submission_age: EventAge {
                age_when_learned_ms: 0,
                learned_at: now,
            },
            last_completion_at: None,
            lacking_machines_since: None,
            placement_backoff_until: 0,
            failures: JobFailures::default(),
            spec: Rc::new(spec),
        }
    }

    /// Whether all tasks of the job must run at the same time.
    pub(crate) fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether all tasks have completed.
    pub(crate) fn is_complete(&self) -> bool {
        self.completed.len() == self.spec.tasks
    }

    /// Whether the job was cancelled or has completed, and has no bound task left:
    /// only its final write is outstanding.
    pub(crate) fn is_finished(&self) -> bool {
        self.bindings.is_empty() && (self.is_cancelled || self.is_complete())
    }

    /// Whether the stage in memory is at least as new as the stored one. While the
    /// final write or the cancellation is in flight, the key-value store may have
    /// executed it already, and another controller may have read the new stage and
    /// reported it to a user.
    pub(crate) fn is_status_certain(&self) -> bool {
        !self.is_complete() && (!self.is_cancelled || self.is_cancellation_durable)
    }

    /// The stage in which the job ends: `Cancelled` once cancellation was requested,
    /// otherwise `Done`.
    pub(crate) fn final_stage(&self) -> JobStage {
        if self.is_cancelled {
            JobStage::Cancelled
        } else {
            JobStage::Done
        }
    }

    /// Whether a bound task has not yet run long enough to count as healthy.
    /// Another task of a repeatedly failing job is placed only after that.
    pub(crate) fn has_unproven_task(&self, now: Ms, heartbeat_interval_ms: Ms) -> bool {
        let min_run =
            min_healthy_run_ms(self.failures.longest_failed_run_ms, heartbeat_interval_ms);
        let is_proven = |binding: &Binding| {
            let since = binding.running_since;
            since.is_some_and(|since| now >= since + min_run)
        };
        self.bindings.values().any(|binding| !is_proven(binding))
    }

    /// Indices of up to `max_tasks` pending tasks: neither completed nor bound to a
    /// machine. A cancelled job has none.
    pub(crate) fn pending_tasks(&self, max_tasks: usize) -> Vec<u32> {
        if self.is_cancelled {
            return Vec::new();
        }
        let missing = self.completed.missing_below(self.spec.tasks);
        missing
            .filter(|index| !self.bindings.contains_key(index))
            .take(max_tasks)
            .collect()
    }

    /// The status that users see. A cancellation shows once it is durable.
    pub(crate) fn status(&self) -> JobStatus {
        let stages = self.bindings.values().map(|binding| binding.stage);
        let running = stages
            .filter(|stage| *stage == Some(TaskStage::Running))
            .count() as u32;
        JobStatus {
            id: self.spec.id.clone(),
            stage: if self.is_cancelled && self.is_cancellation_durable {
                JobStage::Cancelled
            } else if running > 0 {
                JobStage::Running
            } else {
                JobStage::Queued
            },
            done: Some(self.completed.len()),
            running: Some(running),
        }
    }
}

#[cfg(test)]
mod tests;
