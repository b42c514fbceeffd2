//! The in-memory state of one shard that this controller holds: the shard's teams, their
//! unfinished jobs, and the machines that run them.
//!
//! [`Shard`] is the state. Each module below implements one concern on it;
//! [`Shard::reconcile`] runs them after every batch of messages.

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

/// Number of low bits of a fencing token that count the tokens minted under one epoch.
/// The bits above hold the epoch of the shard.
pub(crate) const TOKEN_COUNTER_BITS: u32 = 24;

/// The shard epoch under which a fencing token was minted.
pub fn epoch_of_token(token: u64) -> u64 {
    token >> TOKEN_COUNTER_BITS
}

/// Progress of a shard's recovery after its assignment to this controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum RecoveryState {
    /// The job records are being read from the key-value store.
    Loading,
    /// All job records have been read as of this store revision. The shard becomes active
    /// once the cluster view has reached the same revision.
    AwaitingView(u64),
    /// Recovery is complete: the controller schedules the shard's jobs and serves
    /// requests for them.
    Active,
}

/// A shard that this controller holds.
///
/// Times are in milliseconds of the steady clock ([`Context::now`]). A `last_..._at` of 0
/// means that the event has not happened under this holder.
pub(crate) struct Shard {
    pub(crate) id: ShardId,
    /// The epoch under which this controller holds the shard. No two holdings of a shard
    /// have the same epoch.
    pub(crate) epoch: u64,
    /// Version of the shard's ownership record in the key-value store, which
    /// [`Shard::fencing_precondition`] requires to be unchanged.
    pub(crate) version: u64,
    pub(crate) recovery_state: RecoveryState,
    /// When the shard became active, or was assigned if its recovery is not complete.
    pub(crate) active_since: Ms,
    /// Unfinished jobs of the shard's teams.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Machines whose records in the cluster view name this shard.
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    /// Teams that the settings assign to this shard, each with the index of its quota in
    /// `quotas`.
    pub(crate) teams: BTreeMap<String, usize>,
    /// Guarantee, limit and current use of each team.
    pub(crate) quotas: Vec<Quota>,
    /// Machines to reconcile, each with the time at which it is due.
    pub(crate) machines_to_reconcile: TimerQueue<MachineId>,
    /// Jobs whose stored records may differ from memory, each with the time at which this
    /// is checked.
    pub(crate) unwritten_jobs: TimerQueue<JobId>,
    progress_writes: ProgressWrites,
    /// Gangs that may have lost a task. Their remaining tasks must be stopped before the
    /// next attempt.
    pub(crate) incomplete_gangs: BTreeSet<JobId>,
    /// Cancelled jobs, each with the time at which its tasks are stopped by force.
    pub(crate) cancelled_jobs: TimerQueue<JobId>,
    /// Lists the job records during recovery, then watches them for changes.
    jobs_watch: JobsWatch,
    pub(crate) next_round_at: Ms,
    pub(crate) last_round_at: Ms,
    /// Arrival statistics of each job class, from which headroom is computed.
    pub(crate) arrivals_by_class: BTreeMap<String, ArrivalStats>,
    /// Start of the period over which arrival rates are computed; `None` until the first
    /// machine has reported. Jobs that were recovered, or submitted before any machine
    /// was up, are a backlog and say nothing about the arrival rate.
    pub(crate) arrivals_counted_since: Option<Ms>,
    /// When draining of a machine last started.
    pub(crate) last_drain_at: Ms,
    /// When a replica was last moved off a draining machine.
    pub(crate) last_replica_move_at: Ms,
    /// When tasks were last preempted.
    pub(crate) last_preemption_at: Ms,
    /// When a write of the unmet demand to the key-value store was last started.
    pub(crate) last_demand_write_at: Ms,
    /// The unmet demand that was last sent to the leader.
    pub(crate) last_demand_sent: DemandRecord,
    /// When the unmet demand was last sent to the leader.
    pub(crate) last_demand_sent_at: Ms,
    /// Whether a write of the demand record is in flight.
    pub(crate) is_writing_demand: bool,
    /// Store revision of the last write of the demand record. The record is not written
    /// again before the cluster view has reached this revision, because until then the
    /// view shows an outdated record.
    pub(crate) demand_required_revision: u64,
    /// The watch on the job records was lost, so changes may have been missed: the shard
    /// must be recovered again from the store.
    pub(crate) must_reload: bool,
    /// Another process has reported a higher epoch of the shard, which this controller's
    /// view has not reached. Requests are then served only under a valid lease.
    pub(crate) is_superseded: bool,
    /// A job was added whose cancellation may already be recorded in the cluster view.
    pub(crate) must_check_cancellations: bool,
    /// Jobs whose dependencies have not been registered yet.
    new_blocked_jobs: Vec<JobId>,
    /// Warm pools of the shard's teams.
    pub(crate) pools: ShardPools,
}

/// Jobs whose only unwritten change is progress. They are written at most once a
/// scheduling interval, to limit the write rate of the key-value store.
#[derive(Default)]
struct ProgressWrites {
    jobs: BTreeSet<JobId>,
    /// When the jobs are written next, in milliseconds of the steady clock.
    next_at: Ms,
}

impl Shard {
    /// Creates a shard that was just assigned to this controller, and starts to read its
    /// job records.
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
            machines_to_reconcile: TimerQueue::default(),
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

    /// Adds the teams that the settings assign to this shard, with unused quotas.
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

    /// Marks the shard as superseded because another process has reported a higher epoch.
    /// `how` says by which message, for the log.
    pub(crate) fn mark_superseded(&mut self, how: &str) {
        if !self.is_superseded {
            log::info!("shard {}: superseded, {how}", self.id);
            self.is_superseded = true;
        }
    }

    /// The first fencing token that this holder uses for a machine. The token is higher
    /// than every token of earlier holders of the shard and of the shards that the
    /// machine belonged to before.
    pub(crate) fn first_token(&self, record: &MachineRecord) -> u64 {
        (self.epoch << TOKEN_COUNTER_BITS).max(record.token_floor + 1)
    }

    /// The precondition that fences a write: it fails if another controller has taken
    /// over the shard, since this changes the version of the ownership record.
    pub(crate) fn fencing_precondition(&self) -> Precondition {
        Precondition {
            key: shard_key(self.id),
            version: self.version,
        }
    }

    /// Brings the next scheduling round forward, to the earliest time that the minimum
    /// interval between two rounds allows.
    pub(crate) fn schedule_round_soon(&mut self, ctx: &Context) {
        let min_gap_ms = crate::seconds_to_ms(ctx.config.operator.min_round_interval_s);
        let earliest = ctx.now.max(self.last_round_at + min_gap_ms);
        self.next_round_at = self.next_round_at.min(earliest);
    }

    /// Drops the shard, which another controller now holds. Requests that wait for a
    /// cancellation to be written are answered with "unavailable", so that their clients
    /// retry.
    pub(crate) fn release(self, ctx: &mut Context) {
        let waiters = self.jobs.into_values().flat_map(|job| job.cancel_waiters);
        for request in waiters {
            ctx.respond(request, Reply::unavailable("try again"));
        }
    }

    /// The longest boot time of the shard's machines, in milliseconds; 0 if the shard has
    /// no machines. Many delays are multiples of this time, because it is how long a
    /// replacement machine takes.
    pub(crate) fn max_boot_ms(&self) -> Ms {
        self.machines.values().map(|m| m.boot_ms).max().unwrap_or(0)
    }
}

/// Removes a record that is no longer referenced, on the condition that its version is
/// still `version`.
pub(crate) fn remove_key(ctx: &mut Context, key: String, version: u64) {
    let transaction = Transaction {
        preconditions: vec![Precondition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Remove { key }],
    };
    ctx.transact(Urgency::Background, &transaction, PendingCall::Housekeeping);
}
