//! A shard that this controller holds: its jobs and its machines.
//!
//! [`Shard`] is the state; what is done with it is in the modules below by
//! concern, and in `reconcile`, `evidence`, `rounds`, `drain` and `commit`.

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
pub(crate) use bindings::new_layout;
pub(crate) use handover::hand_over;

use crate::context::Context;
use crate::io::Reply;
use crate::pending_call::PendingCall;
use crate::pools::ShardPools;
use crate::records::{shard_key, DemandRecord, MachineRecord, ShardId};
use crate::shard::job::Job;
use crate::shard::machine::Machine;
use crate::store::queue::Urgency;
use crate::timers::TimerQueue;
use crate::Ms;
use forkshift_sched::{Quota, Resources};
use forkshift_wire::state::{Item, Precondition, Transaction, Write};
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A token is an epoch above a counter of this many bits.
pub(crate) const TOKEN_BITS: u32 = 24;

/// The epoch of a shard's holding under which a fencing token was minted.
pub fn epoch_of_token(token: u64) -> u64 {
    token >> TOKEN_BITS
}

/// How far a shard is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// Its jobs are being read.
    Loading,
    /// Its jobs are read as of a revision that the view has not reached.
    Waiting(u64),
    /// In use.
    Active,
}

/// A shard that this controller holds.
pub(crate) struct Shard {
    /// Its number.
    pub(crate) id: ShardId,
    /// The epoch under which it is held: no other holder ever has the same.
    pub(crate) epoch: u64,
    /// Version of its record.
    pub(crate) version: u64,
    /// How far its loading is.
    pub(crate) phase: Phase,
    /// Since when it is in use.
    pub(crate) active_since: Ms,
    /// Its unfinished jobs.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Its machines, as the view's records show them.
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    /// Its teams, with their index in `quotas`.
    pub(crate) teams: BTreeMap<String, usize>,
    /// Guarantees, limits and use of its teams.
    pub(crate) quotas: Vec<Quota>,
    /// Machines to be looked at.
    pub(crate) recheck: TimerQueue<MachineId>,
    /// Jobs that may have to be written.
    pub(crate) unwritten_jobs: TimerQueue<JobId>,
    /// Jobs of which mere progress is to be written, once a round.
    pub(crate) jobs_with_progress: BTreeSet<JobId>,
    /// Gangs that may have lost a task.
    pub(crate) incomplete_gangs: BTreeSet<JobId>,
    /// Cancelled jobs, for when their tasks must be gone.
    pub(crate) cancelled_jobs: TimerQueue<JobId>,
    /// Jobs that are over, with the revision that removed them: a watch may
    /// still show how they were created.
    removed_jobs: HashMap<JobId, u64>,
    /// Records that were read before the shard is active.
    loaded_items: Vec<Item>,
    /// When its jobs are to be read anew.
    relist_at: Option<Ms>,
    /// The revision up to which its jobs are known.
    jobs_revision: u64,
    /// Whether a watch on its jobs is open.
    is_watching: bool,
    /// Numbers those watches.
    watch_serial: u64,
    /// When the next watch may be opened.
    next_watch_at: Ms,
    /// When the next round is due.
    pub(crate) next_round_at: Ms,
    /// When the last round was.
    pub(crate) last_round_at: Ms,
    /// When progress is written next.
    pub(crate) next_progress_write_at: Ms,
    /// Arrivals of each class.
    pub(crate) classes: BTreeMap<String, ArrivalStats>,
    /// Since when arrivals are counted: jobs that were taken over, or came
    /// before anything could run, are a backlog and tell of no rate.
    pub(crate) arrivals_counted_since: Option<Ms>,
    /// When a machine was last chosen to be drained.
    pub(crate) last_drain_at: Ms,
    /// When replicas were last moved.
    pub(crate) last_replica_move_at: Ms,
    /// When work was last preempted.
    pub(crate) last_preemption_at: Ms,
    /// When the demand was last written to the state service.
    pub(crate) last_demand_write_at: Ms,
    /// The demand that the leader was told last.
    pub(crate) last_demand_sent: DemandRecord,
    /// When that was.
    pub(crate) last_demand_sent_at: Ms,
    /// Whether the record of the demand is being written.
    pub(crate) is_writing_demand: bool,
    /// Shown again only in sight of this revision.
    pub(crate) demand_required_revision: u64,
    /// The watch was lost: the shard is to be loaded again.
    pub(crate) must_reload: bool,
    /// Somebody has seen a higher epoch of it, which our view has not: without
    /// a right of our own we answer for it no more.
    pub(crate) is_superseded: bool,
    /// A job was added for which a cancellation may have been left.
    pub(crate) must_check_cancellations: bool,
    /// Jobs that wait for others, and were just added.
    pub(crate) new_blocked_jobs: Vec<JobId>,
    /// Its teams' warm pools.
    pub(crate) pools: ShardPools,
}

impl Shard {
    /// A shard that was just assigned to this controller; its jobs are read.
    pub(crate) fn new(ctx: &mut Context, id: ShardId, epoch: u64, version: u64) -> Self {
        log::info!("shard {id}: ours from epoch {epoch}");
        let mut teams = BTreeMap::new();
        let mut quotas = Vec::new();
        for team in ctx.config.teams.values().filter(|t| t.shard == id) {
            teams.insert(team.name.clone(), quotas.len());
            quotas.push(Quota {
                guarantee: team.guarantee,
                limit: team.limit,
                used: Resources::default(),
            });
        }
        let shard = Self {
            id,
            epoch,
            version,
            phase: Phase::Loading,
            active_since: ctx.now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            teams,
            quotas,
            recheck: TimerQueue::default(),
            unwritten_jobs: TimerQueue::default(),
            jobs_with_progress: BTreeSet::new(),
            incomplete_gangs: BTreeSet::new(),
            cancelled_jobs: TimerQueue::default(),
            removed_jobs: HashMap::new(),
            loaded_items: Vec::new(),
            relist_at: None,
            jobs_revision: 0,
            is_watching: false,
            watch_serial: 0,
            next_watch_at: 0,
            next_round_at: ctx.now,
            last_round_at: 0,
            next_progress_write_at: 0,
            classes: BTreeMap::new(),
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
        shard.list_jobs(ctx, "");
        shard
    }

    /// Somebody has seen a higher epoch of the shard.
    pub(crate) fn mark_superseded(&mut self, how: &str) {
        if !self.is_superseded {
            log::info!("shard {}: not ours any more, {how}", self.id);
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

    /// Asks for a round before its time.
    pub(crate) fn schedule_round_soon(&mut self, ctx: &Context) {
        let gap = crate::ms(ctx.config.ops.round_gap_s);
        self.next_round_at = self
            .next_round_at
            .min(ctx.now.max(self.last_round_at + gap));
    }

    /// The shard is not ours any more: users who wait ask whoever has it.
    pub(crate) fn release(self, ctx: &mut Context) {
        let waiters = self.jobs.into_values().flat_map(|j| j.cancel_waiters);
        for request in waiters {
            ctx.respond(request, Reply::later("try again"));
        }
    }

    /// The longest boot of its machines.
    pub(crate) fn boot_ms(&self) -> Ms {
        self.machines.values().map(|m| m.boot_ms).max().unwrap_or(0)
    }
}

/// Removes a record that nothing refers to any more.
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
