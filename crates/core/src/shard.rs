//! A shard that this controller holds: its jobs and its machines.
//!
//! [`Shard`] is the state in memory. The modules below act on it, each for one
//! concern; [`Shard::reconcile`] runs them after every batch of messages.

mod arrivals;
mod bindings;
pub(crate) mod commands;
mod debug_log;
pub(crate) mod demand;
pub(crate) mod dependencies;
pub(crate) mod drain;
pub(crate) mod failure_attribution;
mod handover;
pub(crate) mod heartbeats;
pub(crate) mod job;
mod job_writes;
mod jobs_watch;
pub(crate) mod layout;
pub(crate) mod machine;
mod machine_costs;
mod machine_records;
mod preemption;
pub(crate) mod ranges;
pub(crate) mod reclaim;
mod reconciliation;
mod recovery;
pub(crate) mod scheduling;

pub(crate) use arrivals::ArrivalStats;
pub(crate) use bindings::new_job_layout;
pub(crate) use handover::hand_over_shards;

use crate::config::Config;
use crate::context::Context;
use crate::io::Reply;
use crate::pending_call::PendingCall;
use crate::pools::ShardPools;
use crate::records::{shard_key, DemandRecord, MachineRecord, ShardId};
use crate::shard::job::Job;
use crate::shard::jobs_watch::JobsWatch;
use crate::shard::machine::Machine;
use crate::store::queue::Urgency;
use crate::timers::TimerQueue;
use crate::Ms;
use forkshift_sched::{Quota, Resources};
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// Bits of a fencing token below the epoch: a counter of the tokens that were
/// minted under that epoch.
pub(crate) const TOKEN_BITS: u32 = 24;

/// The epoch of a shard's holding under which a fencing token was minted.
pub fn epoch_of_token(token: u64) -> u64 {
    token >> TOKEN_BITS
}

/// Recovery state of a shard after its holder changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum RecoveryState {
    /// The records of its jobs are being read.
    Loading,
    /// Its jobs are read as of this revision, which the view has not reached.
    Waiting(u64),
    /// Recovered: its jobs are scheduled and its requests served.
    Active,
}

/// A shard that this controller holds.
///
/// Times are in milliseconds of the steady clock ([`Context::now`]) unless a
/// field's name says otherwise.
pub(crate) struct Shard {
    /// Number of the shard.
    pub(crate) id: ShardId,
    /// The epoch under which it is held; no two holdings have the same.
    pub(crate) epoch: u64,
    /// Version of the shard's record.
    pub(crate) version: u64,
    /// How far its recovery is.
    pub(crate) recovery_state: RecoveryState,
    /// When it became active; until then, when it was assigned.
    pub(crate) active_since: Ms,
    /// Its unfinished jobs.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Its machines, as the view's records show them.
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    /// Its teams, with their index in `quotas`.
    pub(crate) teams: BTreeMap<String, usize>,
    /// Guarantee, limit and use of each team.
    pub(crate) quotas: Vec<Quota>,
    /// Machines that are due for reconciliation.
    pub(crate) recheck: TimerQueue<MachineId>,
    /// Jobs whose records may have to be written.
    pub(crate) unwritten_jobs: TimerQueue<JobId>,
    /// Jobs of which nothing but progress has to be written.
    progress_writes: ProgressWrites,
    /// Gangs that may have lost a task.
    pub(crate) incomplete_gangs: BTreeSet<JobId>,
    /// Cancelled jobs, due when the stop of their tasks is to be enforced.
    pub(crate) cancelled_jobs: TimerQueue<JobId>,
    /// The list of its jobs' records, and the watch that keeps it current.
    jobs_watch: JobsWatch,
    /// When the next scheduling round is due.
    pub(crate) next_round_at: Ms,
    /// When the last scheduling round was.
    pub(crate) last_round_at: Ms,
    /// Arrivals of each job class.
    pub(crate) arrivals_by_class: BTreeMap<String, ArrivalStats>,
    /// Since when arrivals are counted. Jobs that were recovered, or submitted
    /// before anything could run, are a backlog and give no arrival rate.
    pub(crate) arrivals_counted_since: Option<Ms>,
    /// When a machine was last chosen to be drained.
    pub(crate) last_drain_at: Ms,
    /// When replicas were last moved.
    pub(crate) last_replica_move_at: Ms,
    /// When work was last preempted.
    pub(crate) last_preemption_at: Ms,
    /// When the demand was last written to the key-value store.
    pub(crate) last_demand_write_at: Ms,
    /// The demand that was last sent to the leader.
    pub(crate) last_demand_sent: DemandRecord,
    /// When the demand was last sent to the leader.
    pub(crate) last_demand_sent_at: Ms,
    /// Whether the record of the demand is being written.
    pub(crate) is_writing_demand: bool,
    /// The demand is written again only once the view has reached this
    /// revision.
    pub(crate) demand_required_revision: u64,
    /// The watch on the jobs was lost: the shard is to be recovered anew.
    pub(crate) must_reload: bool,
    /// Another process has seen a higher epoch of the shard, which our view has
    /// not reached: without a valid lease its requests are no longer served.
    pub(crate) is_superseded: bool,
    /// A job was added for which a request to cancel it may be recorded.
    pub(crate) must_check_cancellations: bool,
    /// Jobs with dependencies that are not registered yet.
    new_blocked_jobs: Vec<JobId>,
    /// Warm pools of its teams.
    pub(crate) pools: ShardPools,
}

/// Jobs of which nothing but progress is to be written, at most once a round.
#[derive(Default)]
struct ProgressWrites {
    /// Jobs with unwritten progress.
    jobs: BTreeSet<JobId>,
    /// When they are written next, in milliseconds of the steady clock.
    next_at: Ms,
}

impl Shard {
    /// A shard that was just assigned to this controller; starts to read its
    /// jobs.
    pub(crate) fn new(ctx: &mut Context, id: ShardId, epoch: u64, version: u64) -> Self {
        log::info!("shard {id}: assigned to this controller, epoch {epoch}");
        let mut shard = Self {
            id,
            epoch,
            version,
            recovery_state: RecoveryState::Loading,
            active_since: ctx.now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            teams: BTreeMap::new(),
            quotas: Vec::new(),
            recheck: TimerQueue::default(),
            unwritten_jobs: TimerQueue::default(),
            progress_writes: ProgressWrites::default(),
            incomplete_gangs: BTreeSet::new(),
            cancelled_jobs: TimerQueue::default(),
            jobs_watch: JobsWatch::default(),
            next_round_at: ctx.now,
            last_round_at: 0,
            arrivals_by_class: BTreeMap::new(),
            arrivals_counted_since: None,
            last_drain_at: 0,
            last_replica_move_at: 0,
            last_preemption_at: 0,
            last_demand_write_at: 0,
            last_demand_sent: DemandRecord::default(),
            last_demand_sent_at: 0,
            is_writing_demand: false,
            demand_required_revision: 0,
            must_reload: false,
            is_superseded: false,
            must_check_cancellations: false,
            new_blocked_jobs: Vec::new(),
            pools: ShardPools::default(),
        };
        shard.add_teams(&ctx.config);
        shard.list_jobs(ctx, "");
        shard
    }

    /// Adds the teams that the settings place in this shard.
    fn add_teams(&mut self, config: &Config) {
        for team in config.teams.values().filter(|t| t.shard == self.id) {
            self.teams.insert(team.name.clone(), self.quotas.len());
            self.quotas.push(Quota {
                guarantee: team.guarantee,
                limit: team.limit,
                used: Resources::default(),
            });
        }
    }

    /// Notes that another process has seen a higher epoch of the shard.
    pub(crate) fn mark_superseded(&mut self, how: &str) {
        if !self.is_superseded {
            log::info!("shard {}: superseded, {how}", self.id);
            self.is_superseded = true;
        }
    }

    /// The first token that is used for a machine: above those of earlier
    /// holders of the shard, and of the machine's earlier shards.
    pub(crate) fn first_token(&self, record: &MachineRecord) -> u64 {
        (self.epoch << TOKEN_BITS).max(record.token_floor + 1)
    }

    /// The condition that the shard is still held under this epoch.
    pub(crate) fn held_precondition(&self) -> Precondition {
        Precondition {
            key: shard_key(self.id),
            version: self.version,
        }
    }

    /// Brings the next scheduling round forward, as far as the least gap between
    /// two rounds allows.
    pub(crate) fn schedule_round_soon(&mut self, ctx: &Context) {
        let min_gap_ms = crate::ms(ctx.config.operator.min_round_interval_s);
        let earliest = ctx.now.max(self.last_round_at + min_gap_ms);
        self.next_round_at = self.next_round_at.min(earliest);
    }

    /// Drops the shard, which another controller holds now: requests that wait
    /// for a cancellation are answered to be retried.
    pub(crate) fn release(self, ctx: &mut Context) {
        let waiters = self.jobs.into_values().flat_map(|job| job.cancel_waiters);
        for request in waiters {
            ctx.respond(request, Reply::unavailable("try again"));
        }
    }

    /// The longest boot time of its machines, in milliseconds; 0 without any.
    pub(crate) fn boot_ms(&self) -> Ms {
        self.machines.values().map(|m| m.boot_ms).max().unwrap_or(0)
    }
}

/// Removes a record to which nothing refers, if it still has this version.
pub(crate) fn remove_key(ctx: &mut Context, key: String, version: u64) {
    let transaction = Transaction {
        preconditions: vec![Precondition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Remove { remove: key }],
    };
    ctx.transact(Urgency::Background, &transaction, PendingCall::Housekeeping);
}
