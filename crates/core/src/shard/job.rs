//! An unfinished job in its holder's memory.

mod binding;
mod blocks;
mod layout_change;
mod waiting;

pub(crate) use binding::{Binding, StartState, Stop};
pub(crate) use blocks::Block;
pub(crate) use layout_change::StoredBlock;
pub(crate) use waiting::EventAge;

use crate::io::RequestId;
use crate::shard::failure_attribution::{min_healthy_run_ms, JobFailures};
use crate::shard::layout::Layout;
use crate::shard::ranges::Ranges;
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
    /// The submission.
    pub(crate) spec: Rc<JobSpec>,
    /// Resources that one task takes.
    pub(crate) task: Resources,
    /// Number of its image.
    pub(crate) image: u32,
    /// How its tasks are spread over blocks.
    layout: Layout,
    /// The stored head does not name the layout yet.
    pub(crate) is_changing_layout: bool,
    /// Stored blocks of the earlier layout.
    pub(crate) old_blocks: Vec<StoredBlock>,
    /// Counts the changes of the job in this holder's memory.
    pub(crate) version: u64,
    /// Write state of its blocks; block 0 is part of the head.
    pub(crate) blocks: BTreeMap<u32, Block>,
    /// Completed tasks.
    pub(crate) done: Ranges,
    /// Tasks that may be on a machine, by index.
    pub(crate) bound: BTreeMap<u32, Binding>,
    /// Whether the job was cancelled.
    pub(crate) is_cancelled: bool,
    /// Wall-clock time of the first request to cancel it, which the next holder
    /// needs: no user was answered before.
    pub(crate) cancelled_at_wall_ms: Ms,
    /// Age of that request.
    pub(crate) cancellation_age: EventAge,
    /// The cancellation is written.
    pub(crate) is_cancellation_durable: bool,
    /// Requests that wait until the cancellation is written.
    pub(crate) cancel_waiters: Vec<RequestId>,
    /// A write or a read of its records is under way.
    pub(crate) has_write_in_flight: bool,
    /// Its records are not written before this.
    pub(crate) retry_at: Ms,
    /// Dependencies that are not known to be done.
    pub(crate) unresolved: BTreeSet<JobId>,
    /// The highest priority of the jobs that depend on it.
    pub(crate) inherited_priority: Priority,
    /// Wall-clock time of its submission.
    pub(crate) submitted_at_wall_ms: Ms,
    /// Age of its submission, or of its last dependency's completion.
    pub(crate) submission_age: EventAge,
    /// When a task last completed; if an earlier holder saw that, when the job
    /// was restored.
    pub(crate) last_completion_at: Option<Ms>,
    /// Since when, having waited long, it has lacked nothing but machines.
    pub(crate) lacking_machines_since: Option<Ms>,
    /// No task is placed before this.
    pub(crate) not_before: Ms,
    /// Its failures since a task last ran well.
    pub(crate) failures: JobFailures,
}

impl Job {
    /// A job of which nothing is recorded but its submission, in a head of this
    /// version.
    pub(crate) fn new(
        spec: JobSpec,
        image: u32,
        head_version: u64,
        layout: Layout,
        now: Ms,
    ) -> Self {
        let head = Block {
            record_version: head_version,
            ..Block::default()
        };
        Self {
            task: Resources::new(spec.cpus, spec.gpus, spec.memory_gb),
            image,
            layout,
            is_changing_layout: false,
            old_blocks: Vec::new(),
            version: 0,
            blocks: BTreeMap::from([(0, head)]),
            done: Ranges::default(),
            bound: BTreeMap::new(),
            is_cancelled: false,
            cancelled_at_wall_ms: 0,
            cancellation_age: EventAge {
                when_learned_ms: 0,
                learned_at: 0,
            },
            is_cancellation_durable: false,
            cancel_waiters: Vec::new(),
            has_write_in_flight: false,
            retry_at: 0,
            unresolved: spec.dependencies.iter().cloned().collect(),
            inherited_priority: Priority::Low,
            submitted_at_wall_ms: 0,
            submission_age: EventAge {
                when_learned_ms: 0,
                learned_at: now,
            },
            last_completion_at: None,
            lacking_machines_since: None,
            not_before: 0,
            failures: JobFailures::default(),
            spec: Rc::new(spec),
        }
    }

    /// Whether the job's tasks all run at the same time or not at all.
    pub(crate) fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether all tasks are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Whether only the last write of the job is outstanding.
    pub(crate) fn is_over(&self) -> bool {
        self.bound.is_empty() && (self.is_cancelled || self.is_complete())
    }

    /// Whether its stage is known for certain. While its last write or its
    /// cancellation is under way the stored record may be newer: another
    /// controller may have read it, and answered a user, before the store's
    /// answer arrives here.
    pub(crate) fn is_status_certain(&self) -> bool {
        !self.is_complete() && (!self.is_cancelled || self.is_cancellation_durable)
    }

    /// The stage in which the job ends.
    pub(crate) fn final_stage(&self) -> JobStage {
        if self.is_cancelled {
            JobStage::Cancelled
        } else {
            JobStage::Done
        }
    }

    /// Whether a task is bound that has not run for long enough to run well.
    pub(crate) fn is_trying(&self, now: Ms, heartbeat_interval_ms: Ms) -> bool {
        let min_run =
            min_healthy_run_ms(self.failures.longest_failed_run_ms, heartbeat_interval_ms);
        let runs_well = |binding: &Binding| {
            let since = binding.running_since;
            since.is_some_and(|since| now >= since + min_run)
        };
        self.bound.values().any(|binding| !runs_well(binding))
    }

    /// Up to `max_tasks` tasks that wait for a machine.
    pub(crate) fn waiting(&self, max_tasks: usize) -> Vec<u32> {
        if self.is_cancelled {
            return Vec::new();
        }
        let missing = self.done.missing(self.spec.tasks);
        missing
            .filter(|index| !self.bound.contains_key(index))
            .take(max_tasks)
            .collect()
    }

    /// The status that users see.
    pub(crate) fn status(&self) -> JobStatus {
        let stages = self.bound.values().map(|binding| binding.stage);
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
            done: Some(self.done.len()),
            running: Some(running),
        }
    }
}

#[cfg(test)]
mod tests;
