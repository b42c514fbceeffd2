//! An unfinished job in its holder's memory.

use crate::io::RequestId;
use crate::records::{JobHeadRecord, ShardId, TaskBlockRecord};
use crate::shard::failure_attribution::{well_after, JobFailures};
use crate::shard::layout::Layout;
use crate::shard::ranges::Ranges;
use crate::Ms;
use forkshift_sched::Resources;
use forkshift_wire::users::{JobKind, JobSpec, JobStage, JobStatus, Priority};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Whether a start command for a task was ever sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum StartState {
    /// Not by us; the record says that we are the first who could.
    NotSent,
    /// By us, last under this token and for this incarnation.
    SentByUs { token: u64, incarnation: u64 },
    /// Perhaps, by an earlier holder.
    Unknown,
}

/// A task that is to be stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// Time it has for saving.
    pub(crate) grace_s: f64,
    /// When it was told last.
    pub(crate) last_sent_at: Option<Ms>,
}

impl Stop {
    /// A stop that was not told yet.
    pub(crate) fn after(grace_s: f64) -> Self {
        Self {
            grace_s,
            last_sent_at: None,
        }
    }
}

/// A task that may be on a machine.
#[derive(Clone, Debug)]
pub(crate) struct Binding {
    pub(crate) machine: MachineId,
    pub(crate) attempt: u64,
    /// The job's version that recorded it.
    pub(crate) version: u64,
    pub(crate) start: StartState,
    pub(crate) stage: Option<TaskStage>,
    pub(crate) stop: Option<Stop>,
    pub(crate) since: Ms,
    pub(crate) running_since: Option<Ms>,
}

/// One record's worth of tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Block {
    /// Version of the record; 0: there is none.
    pub(crate) record_version: u64,
    /// The job's version that last changed it.
    pub(crate) version: u64,
    /// The job's version that is known to be written.
    pub(crate) committed: u64,
    /// The job's version that is written under a layout that the job is being
    /// moved to: it counts once the head names that layout.
    pub(crate) staged: u64,
    pub(crate) next_attempt: u64,
}

impl Block {
    /// Whether something has changed that is not known to be written.
    pub(crate) fn is_dirty(&self) -> bool {
        self.version > self.committed.max(self.staged)
    }
}

/// An unfinished job.
pub(crate) struct Job {
    pub(crate) spec: Rc<JobSpec>,
    pub(crate) task: Resources,
    pub(crate) image: u32,
    layout: Layout,
    /// Its head does not name the layout yet.
    pub(crate) is_changing_layout: bool,
    /// Blocks of its earlier layout, with their versions.
    pub(crate) old_blocks: Vec<(String, u64)>,
    pub(crate) version: u64,
    pub(crate) blocks: BTreeMap<u32, Block>,
    pub(crate) done: Ranges,
    pub(crate) bound: BTreeMap<u32, Binding>,
    pub(crate) is_cancelled: bool,
    /// Time of day at which the first request to cancel it came, for whoever
    /// takes it over: no user can have been told before.
    pub(crate) cancelled_at_wall_ms: Ms,
    /// How long ago that was when this holder learnt of it, and when it did.
    pub(crate) cancellation_age_when_learnt: Ms,
    pub(crate) cancellation_learnt_at: Ms,
    /// The cancellation is written.
    pub(crate) is_cancellation_durable: bool,
    pub(crate) cancel_waiters: Vec<RequestId>,
    /// A write is under way.
    pub(crate) has_write_in_flight: bool,
    pub(crate) retry_at: Ms,
    /// Dependencies that are not known to be done.
    pub(crate) unresolved: BTreeSet<JobId>,
    /// The highest priority of the jobs that need it.
    pub(crate) inherited_priority: Priority,
    /// Time of day at which it was submitted.
    pub(crate) submitted_at_wall_ms: Ms,
    /// How long it had waited when this holder learnt of it, and when that was.
    pub(crate) age_when_learnt: Ms,
    pub(crate) learnt_at: Ms,
    /// When a task of it last completed, or, if an earlier holder saw that,
    /// when it was taken over.
    pub(crate) last_completion_at: Option<Ms>,
    /// Since when, having waited long, it has lacked nothing but machines.
    pub(crate) lacking_room_since: Option<Ms>,
    /// Nothing of it is placed before this.
    pub(crate) not_before: Ms,
    /// What it failed since a task of it last ran well.
    pub(crate) failures: JobFailures,
}

/// Boots for which a team's quota is kept for a job that waits for machines.
const KEEPS_QUOTA_BOOTS: f64 = 2.0;

impl Job {
    pub(crate) fn new(spec: JobSpec, image: u32, stamp: u64, layout: Layout, now: Ms) -> Self {
        let head = Block {
            record_version: stamp,
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
            cancellation_age_when_learnt: 0,
            cancellation_learnt_at: 0,
            is_cancellation_durable: false,
            cancel_waiters: Vec::new(),
            has_write_in_flight: false,
            retry_at: 0,
            unresolved: spec.dependencies.iter().cloned().collect(),
            inherited_priority: Priority::Low,
            submitted_at_wall_ms: 0,
            age_when_learnt: 0,
            learnt_at: now,
            last_completion_at: None,
            lacking_room_since: None,
            not_before: 0,
            failures: JobFailures::default(),
            spec: Rc::new(spec),
        }
    }

    /// Takes over a block that an earlier holder wrote. Where its tasks are
    /// bound is returned for the shard to book.
    pub(crate) fn restore(
        &mut self,
        block: u32,
        record: TaskBlockRecord,
        stamp: u64,
        now: Ms,
    ) -> Vec<(u32, Binding)> {
        let entry = self.blocks.entry(block).or_default();
        entry.record_version = stamp;
        entry.next_attempt = record.next_attempt;
        // It has begun, so all that it needs was done.
        if record.next_attempt > 0 {
            self.unresolved.clear();
        }
        for (from, to) in record.done {
            self.done.insert_range(from, to.min(self.spec.tasks));
            self.last_completion_at = Some(now);
        }
        let bound = record.bound.into_iter();
        bound
            .map(|(index, attempt, machine)| {
                let binding = Binding {
                    machine,
                    attempt,
                    version: 0,
                    start: StartState::Unknown,
                    stage: None,
                    stop: None,
                    since: now,
                    running_since: None,
                };
                (index, binding)
            })
            .collect()
    }

    /// The block in which a task is recorded.
    pub(crate) fn block_of(&self, index: u32) -> u32 {
        self.layout.block_of(index)
    }

    /// Whether the job's tasks all run at the same time or not at all.
    pub(crate) fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Marks a block as changed.
    pub(crate) fn mark_block_changed(&mut self, block: u32) -> u64 {
        self.version += 1;
        self.blocks.entry(block).or_default().version = self.version;
        self.version
    }

    /// Whether what a version of the job says of a task is written.
    pub(crate) fn is_durable(&self, index: u32, version: u64) -> bool {
        let block = self.blocks.get(&self.block_of(index));
        version == 0 || block.is_some_and(|b| b.committed >= version)
    }

    /// A number for the next attempt at a task, that was never used before.
    pub(crate) fn next_attempt(&mut self, index: u32) -> u64 {
        let block = self.block_of(index);
        let block = self.blocks.entry(block).or_default();
        block.next_attempt += 1;
        block.next_attempt
    }

    /// A number for the next attempt of the whole gang.
    pub(crate) fn next_gang_attempt(&mut self) -> u64 {
        let next = 1 + self
            .blocks
            .values()
            .map(|b| b.next_attempt)
            .max()
            .unwrap_or(0);
        for block in 0..=self.block_of(self.spec.tasks - 1) {
            self.blocks.entry(block).or_default().next_attempt = next;
        }
        next
    }

    /// Whether all tasks are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Whether nothing is left but the last write.
    pub(crate) fn is_over(&self) -> bool {
        self.bound.is_empty() && (self.is_cancelled || self.is_complete())
    }

    /// Whether memory tells how the job stands. While its last write or its
    /// cancellation is under way the record may say more than we know: another
    /// node may have read it there, and told, before our answer comes.
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

    /// For how long it has been waiting since it was submitted.
    pub(crate) fn age(&self, now: Ms) -> Ms {
        self.age_when_learnt + now.saturating_sub(self.learnt_at)
    }

    /// For how long nothing of it has been served: since a task of it last
    /// completed, or since it was submitted. A large array between two of its
    /// tasks, counted by its whole age, once went before jobs that had not
    /// begun at all.
    pub(crate) fn waiting_for(&self, now: Ms) -> Ms {
        match self.last_completion_at {
            Some(at) => now.saturating_sub(at),
            None => self.age(now),
        }
    }

    /// Whether its team's quota is kept for it while machines are all that it
    /// lacks. For as long as rented ones should take to come, and only once:
    /// where there are none to be had, its team must not stand idle.
    pub(crate) fn may_keep_quota(&self, now: Ms, boot_ms: Ms) -> bool {
        let most = (boot_ms as f64 * KEEPS_QUOTA_BOOTS) as Ms;
        self.lacking_room_since.is_none_or(|t| now < t + most)
    }

    /// How long ago its cancellation was asked for.
    pub(crate) fn cancel_age(&self, now: Ms) -> Ms {
        self.cancellation_age_when_learnt + now.saturating_sub(self.cancellation_learnt_at)
    }

    /// Whether a task is being tried, and is not known to run well yet.
    pub(crate) fn is_trying(&self, now: Ms, report_ms: Ms) -> bool {
        let least = well_after(self.failures.longest_run, report_ms);
        let runs_well = |b: &Binding| b.running_since.is_some_and(|t| now >= t + least);
        self.bound.values().any(|b| !runs_well(b))
    }

    /// Up to `most` tasks that wait for a place.
    pub(crate) fn waiting(&self, most: usize) -> Vec<u32> {
        if self.is_cancelled {
            return Vec::new();
        }
        let missing = self.done.missing(self.spec.tasks);
        missing
            .filter(|i| !self.bound.contains_key(i))
            .take(most)
            .collect()
    }

    /// What users are told of the job.
    pub(crate) fn status(&self) -> JobStatus {
        let running = self.bound.values();
        let running = running
            .filter(|b| b.stage == Some(TaskStage::Running))
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

    /// A block as it is to be written.
    pub(crate) fn block_record(&self, block: u32) -> TaskBlockRecord {
        let (from, to) = self.layout.tasks_of(block);
        let bound = self.bound.range(from..to);
        TaskBlockRecord {
            next_attempt: self.blocks.get(&block).map_or(0, |b| b.next_attempt),
            done: self.done.within(from, to),
            bound: bound
                .map(|(i, b)| (*i, b.attempt, b.machine.clone()))
                .collect(),
        }
    }

    /// The head as it is to be written.
    pub(crate) fn head_record(&self) -> JobHeadRecord {
        JobHeadRecord {
            spec: (*self.spec).clone(),
            cancelled: self.is_cancelled,
            cancelled_at_ms: self.cancelled_at_wall_ms,
            submitted_at_ms: self.submitted_at_wall_ms,
            tasks_per_block: self.layout.to_record(),
            block: self.block_record(0),
        }
    }

    /// How its tasks are spread over blocks.
    pub(crate) fn layout(&self) -> Layout {
        self.layout
    }

    /// Key of a block.
    pub(crate) fn block_key(&self, shard: ShardId, block: u32) -> String {
        self.layout.key(shard, &self.spec.id, block)
    }

    /// Begins to move the job to another layout. The new blocks are written
    /// first; the head, which then names the layout, is the point of
    /// commitment, and the old blocks are removed after it. Whoever takes the
    /// job over in between finds the old head with its old blocks.
    pub(crate) fn change_layout(&mut self, layout: Layout, shard: ShardId) {
        let old_layout = self.layout;
        let old = std::mem::take(&mut self.blocks);
        self.version += 1;
        self.layout = layout;
        self.is_changing_layout = true;
        for (block, old_block) in old {
            let head_stamp = if block == 0 {
                old_block.record_version
            } else {
                0
            };
            if block > 0 && old_block.record_version > 0 {
                let key = old_layout.key(shard, &self.spec.id, block);
                self.old_blocks.push((key, old_block.record_version));
            }
            if block > 0 && old_block.next_attempt == 0 {
                continue;
            }
            let (from, to) = old_layout.tasks_of(block);
            let last = to.min(self.spec.tasks).saturating_sub(1);
            for new in layout.block_of(from)..=layout.block_of(last) {
                let entry = self.blocks.entry(new).or_default();
                entry.version = self.version;
                entry.next_attempt = entry.next_attempt.max(old_block.next_attempt);
                if new == 0 {
                    entry.record_version = entry.record_version.max(head_stamp);
                }
            }
        }
    }

    /// The head names the layout now: what was written under it counts.
    /// Returns the old blocks, which may be removed.
    pub(crate) fn finish_layout_change(&mut self) -> Vec<(String, u64)> {
        self.is_changing_layout = false;
        for block in self.blocks.values_mut() {
            block.committed = block.committed.max(block.staged);
        }
        std::mem::take(&mut self.old_blocks)
    }

    /// Whether something has changed that is not known to be written.
    pub(crate) fn is_dirty(&self) -> bool {
        self.blocks.values().any(Block::is_dirty)
    }
}

#[cfg(test)]
mod tests;
