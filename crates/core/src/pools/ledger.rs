//! Rows of pools' accounts that are written on their own, such as jobs that found no
//! machine of a pool.

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

/// Pause before a read or write that failed is retried.
pub(super) const RETRY_PAUSE_MS: Ms = 1_000;

/// Adds an account row to a transaction, on condition that its key does not exist. Keys
/// name what a row is about, so writing a row again is idempotent.
pub(crate) fn add_account_row(transaction: &mut Transaction, key: String, row: &impl Serialize) {
    transaction.preconditions.push(Precondition {
        key: key.clone(),
        version: 0,
    });
    let value = to_value(row).unwrap_or_default();
    transaction.writes.push(Write::put(key, value));
}

/// An account row that is to be written.
#[derive(Debug)]
struct PendingRow {
    value: Value,
    /// Whether a write is in flight.
    is_writing: bool,
    /// Not written before this.
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

/// A shard's state of its teams' pools.
#[derive(Debug, Default)]
pub(crate) struct ShardPools {
    /// The recorded request of each pool.
    pub(super) requests: BTreeMap<PoolName, StoredRequest>,
    /// Whether these were read.
    pub(super) requests_read: ReadState,
    /// Rows to be written, by key.
    pending_rows: BTreeMap<String, PendingRow>,
    /// Jobs whose miss was counted.
    counted_cold_starts: BTreeSet<JobId>,
    /// When machines of each pool were handed out, the oldest first.
    allocated_at: BTreeMap<PoolName, VecDeque<Ms>>,
    /// Pools that the catalogue rules out, and why.
    pub(super) catalog_errors: BTreeMap<PoolName, PoolError>,
}

impl ShardPools {
    /// Records that a machine was handed out.
    pub(super) fn record_allocation(&mut self, pool: &PoolName, now: Ms) {
        self.allocated_at
            .entry(pool.clone())
            .or_default()
            .push_back(now);
    }

    /// How many machines a pool has handed out within the last `period`.
    pub(super) fn allocations_within(&mut self, pool: &PoolName, now: Ms, period: Ms) -> u32 {
        let Some(times) = self.allocated_at.get_mut(pool) else {
            return 0;
        };
        while times.front().is_some_and(|at| at + period < now) {
            times.pop_front();
        }
        times.len() as u32
    }

    /// Records that a job found no machine of its pool, once for each job.
    pub(super) fn add_cold_start(&mut self, id: &JobId, miss: ColdStart) {
        if !self.counted_cold_starts.insert(id.clone()) {
            return;
        }
        log::info!(
            "pool {}: no machine for job {id}, {} tasks",
            miss.pool,
            miss.tasks
        );
        let row = PendingRow::new(to_value(&miss).unwrap_or_default());
        self.pending_rows.insert(miss.key(), row);
    }

    /// Forgets the counted misses of jobs that are over.
    pub(super) fn retain_cold_starts(&mut self, is_unfinished: impl Fn(&JobId) -> bool) {
        self.counted_cold_starts.retain(is_unfinished);
    }
}

impl Shard {
    /// Reads the recorded requests if that is due, and writes the rows that are due.
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

    /// Handles the answer to the write of a row: 409 means that it had been written
    /// before.
    pub(crate) fn on_pool_row_written(&mut self, ctx: &Context, key: &str, status: u16) {
        if matches!(status, 200 | 409) {
            self.pools.pending_rows.remove(key);
        } else if let Some(row) = self.pools.pending_rows.get_mut(key) {
            row.is_writing = false;
            row.retry_at = ctx.now + RETRY_PAUSE_MS;
        }
    }
}
