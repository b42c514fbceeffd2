//! Rows of pools' accounts that stand by themselves: what a pool is asked for, and jobs
//! that found no machine of it.

use crate::context::{revision_of, Context};
use crate::membership::format::FormatVersion;
use crate::pending_call::PendingCall;
use crate::shard::Shard;
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_pools::account::{Asked, Miss, HEADS};
use forkshift_pools::{BadPool, Pool, PoolName};
use forkshift_wire::state::{Page, Precondition, Transaction, Write};
use forkshift_wire::JobId;
use serde::Serialize;
use serde_json::{from_value, to_value, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Pause before what was not answered is tried again.
const RETRY_PAUSE: Ms = 1_000;

/// Adds a row to a transaction, on condition that there is none: its key says of what it
/// is, so a second copy is the same.
pub(crate) fn add_row(transaction: &mut Transaction, key: String, row: &impl Serialize) {
    transaction.preconditions.push(Precondition {
        key: key.clone(),
        version: 0,
    });
    transaction
        .writes
        .push(Write::put(key, to_value(row).unwrap_or_default()));
}

/// What a pool is asked for, as it is recorded.
#[derive(Debug)]
struct PoolHead {
    version: u64,
    asked: Asked,
    is_writing: bool,
}

/// How far the heads are read.
#[derive(Debug, Default, PartialEq)]
enum ReadState {
    /// Not yet, and not before this.
    #[default]
    Due,
    Pause(Ms),
    UnderWay,
    Done,
}

/// A row that is to be written.
#[derive(Debug)]
struct PendingRow {
    value: Value,
    /// A write is under way, or not due before this.
    is_writing: bool,
    retry_at: Ms,
}

/// What a shard keeps of its teams' pools.
#[derive(Debug, Default)]
pub(crate) struct ShardPools {
    heads: BTreeMap<PoolName, PoolHead>,
    reading: ReadState,
    rows: BTreeMap<String, PendingRow>,
    missed: BTreeSet<JobId>,
    handed_out: BTreeMap<PoolName, VecDeque<Ms>>,
    /// Pools that the catalogue speaks against, and why.
    pub(super) problems: BTreeMap<PoolName, BadPool>,
}

impl ShardPools {
    /// A machine was handed out.
    pub(super) fn note_handed_out(&mut self, pool: &PoolName, now: Ms) {
        self.handed_out
            .entry(pool.clone())
            .or_default()
            .push_back(now);
    }

    /// How many machines a pool has handed out within some time.
    pub(super) fn handed_out_within(&mut self, pool: &PoolName, now: Ms, time: Ms) -> u32 {
        let Some(times) = self.handed_out.get_mut(pool) else {
            return 0;
        };
        while times.front().is_some_and(|at| at + time < now) {
            times.pop_front();
        }
        times.len() as u32
    }

    /// A job found no machine of its pool.
    pub(super) fn note_miss(&mut self, id: &JobId, miss: Miss) {
        if !self.missed.insert(id.clone()) {
            return;
        }
        log::info!(
            "pool {}: no machine for {} tasks of {id}",
            miss.pool,
            miss.tasks
        );
        let row = PendingRow {
            value: to_value(&miss).unwrap_or_default(),
            is_writing: false,
            retry_at: 0,
        };
        self.rows.insert(miss.key(), row);
    }

    /// Forgets which jobs were counted that are over.
    pub(super) fn forget_misses(&mut self, is_there: impl Fn(&JobId) -> bool) {
        self.missed.retain(is_there);
    }
}

impl Shard {
    /// Writes what a pool is asked for, if that changed. Pools that are not declared any
    /// more are asked for nothing.
    pub(super) fn note_asked(&mut self, ctx: &mut Context, pool: &Pool, machines: u32) {
        if self.pools.reading != ReadState::Done || ctx.format < FormatVersion::POOLS {
            return;
        }
        if let Some(head) = self.pools.heads.get(&pool.name) {
            if head.asked.machines != machines || head.asked.team != pool.team {
                self.change_asked(ctx, &pool.name, &pool.team, machines);
            }
            return;
        }
        let asked = Asked {
            pool: pool.name.clone(),
            team: pool.team.clone(),
            machines,
            from_ms: ctx.wall_clock_ms,
            to_ms: None,
        };
        let head = PoolHead {
            version: 0,
            asked: Asked {
                machines: 0,
                ..asked.clone()
            },
            is_writing: true,
        };
        self.pools.heads.insert(pool.name.clone(), head);
        self.put_asked(ctx, asked, 0, None);
    }

    /// Asks withdrawn pools of our teams for nothing.
    pub(super) fn note_withdrawn(&mut self, ctx: &mut Context) {
        let pools = &ctx.config.ops.pools;
        let is_withdrawn = |(name, head): &(&PoolName, &PoolHead)| {
            head.asked.machines > 0 && pools.get(name).is_none()
        };
        let heads = self.pools.heads.iter().filter(is_withdrawn);
        let withdrawn: Vec<Asked> = heads.map(|(_, head)| head.asked.clone()).collect();
        for asked in withdrawn {
            self.change_asked(ctx, &asked.pool, &asked.team, 0);
        }
    }

    fn change_asked(&mut self, ctx: &mut Context, name: &PoolName, team: &str, machines: u32) {
        let Some(head) = self.pools.heads.get_mut(name) else {
            return;
        };
        if head.is_writing {
            return;
        }
        head.is_writing = true;
        log::info!(
            "pool {name}: asked for {machines} machines, was {}",
            head.asked.machines
        );
        let version = head.version;
        let (over, mut next) = head.asked.clone().change(machines, ctx.wall_clock_ms);
        team.clone_into(&mut next.team);
        self.put_asked(ctx, next, version, Some(over));
    }

    fn put_asked(&mut self, ctx: &mut Context, next: Asked, version: u64, over: Option<Asked>) {
        let key = next.key();
        let mut transaction = Transaction {
            preconditions: vec![
                self.held_precondition(),
                Precondition {
                    key: key.clone(),
                    version,
                },
            ],
            writes: vec![Write::put(key, to_value(&next).unwrap_or_default())],
        };
        if let Some(over) = over {
            add_row(&mut transaction, over.key(), &over);
        }
        let pending = PendingCall::PoolRequestWrite {
            shard: self.id,
            epoch: self.epoch,
            asked: Box::new(next),
        };
        ctx.transact(Urgency::Background, &transaction, pending);
    }

    /// The write of what a pool is asked for was answered. If it is not known what became
    /// of it, the heads are read again.
    pub(crate) fn on_pool_asked(&mut self, asked: Asked, status: u16, body: &[u8]) {
        if status != 200 {
            self.pools.reading = ReadState::Due;
            return;
        }
        let head = PoolHead {
            version: revision_of(body),
            asked,
            is_writing: false,
        };
        self.pools.heads.insert(head.asked.pool.clone(), head);
    }

    /// Reads what pools are asked for, once after a takeover and after writes whose fate
    /// is not known; writes rows that are due.
    pub(crate) fn write_pool_rows(&mut self, ctx: &mut Context) {
        if ctx.format < FormatVersion::POOLS {
            return;
        }
        let is_due = match self.pools.reading {
            ReadState::Due => true,
            ReadState::Pause(until) => ctx.now >= until,
            ReadState::UnderWay | ReadState::Done => false,
        };
        if is_due {
            self.pools.reading = ReadState::UnderWay;
            let (shard, epoch) = (self.id, self.epoch);
            let path = format!("/kv?starts={HEADS}&most=1000");
            ctx.read_store(
                Urgency::Background,
                path,
                PendingCall::PoolRecordsRead { shard, epoch },
            );
        }
        let held = self.held_precondition();
        let rows = self.pools.rows.iter_mut();
        let now = ctx.now;
        let due = rows.filter(|(_, row)| !row.is_writing && now >= row.retry_at);
        for (key, row) in due {
            row.is_writing = true;
            let mut transaction = Transaction {
                preconditions: vec![held.clone()],
                writes: Vec::new(),
            };
            add_row(&mut transaction, key.clone(), &row.value);
            let pending = PendingCall::PoolRowWrite {
                shard: self.id,
                epoch: self.epoch,
                key: key.clone(),
            };
            ctx.transact(Urgency::Background, &transaction, pending);
        }
    }

    /// The write of a row was answered: it is there, or was there before.
    pub(crate) fn on_pool_row(&mut self, ctx: &Context, key: &str, status: u16) {
        if matches!(status, 200 | 409) {
            self.pools.rows.remove(key);
        } else if let Some(row) = self.pools.rows.get_mut(key) {
            row.is_writing = false;
            row.retry_at = ctx.now + RETRY_PAUSE;
        }
    }

    /// What pools are asked for was read, or could not be.
    pub(crate) fn on_pool_heads(&mut self, ctx: &Context, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok();
        let Some(page) = page.filter(|page| status == 200 && !page.has_next) else {
            self.pools.reading = ReadState::Pause(ctx.now + RETRY_PAUSE);
            return;
        };
        self.pools.heads.clear();
        for item in page.items {
            let asked = match from_value::<Asked>(item.value) {
                Ok(asked) => asked,
                Err(e) => {
                    log::error!("record {} is not understood: {e}", item.key);
                    continue;
                }
            };
            if self.teams.contains_key(&asked.team) {
                let head = PoolHead {
                    version: item.version,
                    asked,
                    is_writing: false,
                };
                self.pools.heads.insert(head.asked.pool.clone(), head);
            }
        }
        self.pools.reading = ReadState::Done;
    }
}
