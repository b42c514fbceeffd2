//! Account rows of warm pools that are written in a transaction of their own: the cold starts,
//! which are jobs that found no machine in their pool.

use super::requests::{ReadState, StoredRequest};
use crate::context::Context;
use crate::membership::format::FormatVersion;
use crate::pending_call::PendingCall;
use crate::shard::Shard;
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_pools::account::ColdStart;
use forkshift_pools::{PoolError, PoolName};
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::JobId;
use serde::Serialize;
use serde_json::{to_value, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time before a failed read or write is retried, in milliseconds.
pub(super) const RETRY_PAUSE_MS: Ms = 1_000;

/// Adds an account row to a transaction, on condition that its key does not exist. The key is
/// derived from the event that the row records, so that a repeated write is idempotent.
pub(crate) fn add_account_row(transaction: &mut Transaction, key: String, row: &impl Serialize) {
    transaction.preconditions.push(Precondition {
        key: key.clone(),
        version: 0,
    });
    let value = to_value(row).unwrap_or_default();
    transaction.writes.push(Write::put(key, value));
}

/// An account row that is not written yet.
#[derive(Debug)]
struct PendingRow {
    value: Value,
    /// Whether a write is in flight.
    is_writing: bool,
    /// Earliest time of the next write attempt.
    retry_at: Ms,
}

impl PendingRow {
    fn new(value: Value) -> Self {
        Self {
            value,
            is_writing: false,
            retry_at: 0,
        }
    }

    fn is_due(&self, now: Ms) -> bool {
        !self.is_writing && now >= self.retry_at
    }
}

/// State of the warm pools of a shard's teams.
#[derive(Debug, Default)]
pub(crate) struct ShardPools {
    /// Recorded number of requested machines, by pool.
    pub(super) requests: BTreeMap<PoolName, StoredRequest>,
    /// Whether `requests` was read from the key-value store.
    pub(super) requests_read: ReadState,
    /// Account rows that are not written yet, by key.
    pending_rows: BTreeMap<String, PendingRow>,
    /// Unfinished jobs whose cold start was recorded.
    counted_cold_starts: BTreeSet<JobId>,
    /// Times at which machines were allocated to tasks, the oldest first, by pool.
    allocated_at: BTreeMap<PoolName, VecDeque<Ms>>,
    /// Pools for which the cloud's catalog has no machine type, with the logged error.
    pub(super) catalog_errors: BTreeMap<PoolName, PoolError>,
}

impl ShardPools {
    /// Records that a machine of a pool was allocated to a task of the pool's jobs.
    pub(super) fn record_allocation(&mut self, pool: &PoolName, now: Ms) {
        self.allocated_at
            .entry(pool.clone())
            .or_default()
            .push_back(now);
    }

    /// Number of machines that a pool has allocated within the last `period` milliseconds. Older
    /// allocations are dropped.
    pub(super) fn allocations_within(&mut self, pool: &PoolName, now: Ms, period: Ms) -> u32 {
        let Some(times) = self.allocated_at.get_mut(pool) else {
            return 0;
        };
        while times.front().is_some_and(|at| at + period < now) {
            times.pop_front();
        }
        times.len() as u32
    }

    /// Records the cold start of a job that found no machine in its pool, once for each job.
    pub(super) fn add_cold_start(&mut self, id: &JobId, cold_start: ColdStart) {
        if !self.counted_cold_starts.insert(id.clone()) {
            return;
        }
        log::info!(
            "pool {}: no machine for job {id}, {} tasks",
            cold_start.pool,
            cold_start.tasks
        );
        let row = PendingRow::new(to_value(&cold_start).unwrap_or_default());
        self.pending_rows.insert(cold_start.key(), row);
    }

    /// Drops the entries of finished jobs from the set of recorded cold starts.
    pub(super) fn retain_cold_starts(&mut self, is_unfinished: impl Fn(&JobId) -> bool) {
        self.counted_cold_starts.retain(is_unfinished);
    }
}

impl Shard {
    /// Reads the recorded requests if a read is due, and writes the account rows that are due.
    pub(crate) fn sync_pool_records(&mut self, ctx: &mut Context) {
        if ctx.format < FormatVersion::POOLS {
            return;
        }
        self.read_due_requests(ctx);
        self.write_due_rows(ctx);
    }

    fn write_due_rows(&mut self, ctx: &mut Context) {
        let held = self.fencing_precondition();
        let rows = self.pools.pending_rows.iter_mut();
        let now = ctx.now;
        for (key, row) in rows.filter(|(_, row)| row.is_due(now)) {
            row.is_writing = true;
            let mut transaction = Transaction {
                preconditions: vec![held.clone()],
                writes: Vec::new(),
            };
            add_account_row(&mut transaction, key.clone(), &row.value);
            let call = PendingCall::PoolRowWrite {
                shard: self.id,
                epoch: self.epoch,
                key: key.clone(),
            };
            ctx.transact(Urgency::Background, &transaction, call);
        }
    }

    /// Processes the response to the write of an account row. A 409 means that an earlier write
    /// of the row has succeeded.
    pub(crate) fn on_pool_row_written(&mut self, ctx: &Context, key: &str, status: u16) {
        if matches!(status, 200 | 409) {
            self.pools.pending_rows.remove(key);
        } else if let Some(row) = self.pools.pending_rows.get_mut(key) {
            row.is_writing = false;
            row.retry_at = ctx.now + RETRY_PAUSE_MS;
        }
    }
}
