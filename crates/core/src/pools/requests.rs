//! Recorded requests: the number of machines that each pool requests, written to the pool's
//! account whenever it changes.

use super::ledger::{add_account_row, RETRY_PAUSE_MS};
use crate::context::{revision_of, Context};
use crate::membership::format::FormatVersion;
use crate::pending_call::PendingCall;
use crate::shard::Shard;
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_pools::account::{PoolRequest, CURRENT_REQUEST_PREFIX};
use forkshift_pools::{Pool, PoolName};
use forkshift_wire::state::{Item, Page, Precondition, Transaction, Write};
use serde_json::{from_value, to_value};

/// The recorded request of a pool.
#[derive(Debug)]
pub(super) struct StoredRequest {
    /// Version of the record; 0 if there is none.
    version: u64,
    request: PoolRequest,
    /// Whether a write is in flight.
    is_writing: bool,
}

/// State of the read of the recorded requests.
#[derive(Debug, Default, PartialEq)]
pub(super) enum ReadState {
    /// The requests must be read.
    #[default]
    Due,
    /// A read failed. The next one follows at this time.
    Pause(Ms),
    /// A read is in flight.
    InFlight,
    /// The requests were read.
    Done,
}

impl ReadState {
    fn is_due(&self, now: Ms) -> bool {
        match self {
            Self::Due => true,
            Self::Pause(until) => now >= *until,
            Self::InFlight | Self::Done => false,
        }
    }
}

impl Shard {
    /// Records the number of machines that a pool requests, if it differs from the record.
    pub(super) fn record_request(&mut self, ctx: &mut Context, pool: &Pool, machines: u32) {
        if self.pools.requests_read != ReadState::Done || ctx.format < FormatVersion::POOLS {
            return;
        }
        if let Some(stored) = self.pools.requests.get(&pool.name) {
            if stored.request.machines != machines || stored.request.team != pool.team {
                self.change_request(ctx, &pool.name, &pool.team, machines);
            }
            return;
        }
        let request = PoolRequest {
            pool: pool.name.clone(),
            team: pool.team.clone(),
            machines,
            from_ms: ctx.wall_clock_ms,
            to_ms: None,
        };
        let stored = StoredRequest {
            version: 0,
            request: PoolRequest {
                machines: 0,
                ..request.clone()
            },
            is_writing: true,
        };
        self.pools.requests.insert(pool.name.clone(), stored);
        self.write_request(ctx, request, 0, None);
    }

    /// Records that pools of the shard's teams that are no longer declared request no machines.
    pub(super) fn withdraw_undeclared_pools(&mut self, ctx: &mut Context) {
        let declared = &ctx.config.operator.pools;
        let requests = self.pools.requests.iter();
        let withdrawn: Vec<PoolRequest> = requests
            .filter(|(name, stored)| stored.request.machines > 0 && declared.get(name).is_none())
            .map(|(_, stored)| stored.request.clone())
            .collect();
        for request in withdrawn {
            self.change_request(ctx, &request.pool, &request.team, 0);
        }
    }

    fn change_request(&mut self, ctx: &mut Context, name: &PoolName, team: &str, machines: u32) {
        let Some(stored) = self.pools.requests.get_mut(name) else {
            return;
        };
        if stored.is_writing {
            return;
        }
        stored.is_writing = true;
        log::info!(
            "pool {name}: requests {machines} machines, before {}",
            stored.request.machines
        );
        let version = stored.version;
        let (ended, mut next) = stored
            .request
            .clone()
            .replace_with(machines, ctx.wall_clock_ms);
        team.clone_into(&mut next.team);
        self.write_request(ctx, next, version, Some(ended));
    }

    /// Writes a pool's request on condition that the record has `version`, together with the
    /// account row of the request that ends.
    fn write_request(
        &mut self,
        ctx: &mut Context,
        next: PoolRequest,
        version: u64,
        ended: Option<PoolRequest>,
    ) {
        let key = next.key();
        let unchanged = Precondition {
            key: key.clone(),
            version,
        };
        let mut transaction = Transaction {
            preconditions: vec![self.fencing_precondition(), unchanged],
            writes: vec![Write::put(key, to_value(&next).unwrap_or_default())],
        };
        if let Some(ended) = ended {
            add_account_row(&mut transaction, ended.key(), &ended);
        }
        let call = PendingCall::PoolRequestWrite {
            shard: self.id,
            epoch: self.epoch,
            request: Box::new(next),
        };
        ctx.transact(Urgency::Background, &transaction, call);
    }

    /// Processes the response to the write of a request. If the write may have failed, all
    /// requests are read again.
    pub(crate) fn on_pool_request_written(
        &mut self,
        request: PoolRequest,
        status: u16,
        body: &[u8],
    ) {
        if status != 200 {
            self.pools.requests_read = ReadState::Due;
            return;
        }
        self.store_request(request, revision_of(body));
    }

    /// Reads the recorded requests if a read is due: once after a failover, and after a write
    /// that may have failed.
    pub(super) fn read_due_requests(&mut self, ctx: &mut Context) {
        if !self.pools.requests_read.is_due(ctx.now) {
            return;
        }
        self.pools.requests_read = ReadState::InFlight;
        let call = PendingCall::PoolRecordsRead {
            shard: self.id,
            epoch: self.epoch,
        };
        let path = format!("/kv?starts={CURRENT_REQUEST_PREFIX}&most=1000");
        ctx.read_store(Urgency::Background, path, call);
    }

    /// Processes the response to the read of the recorded requests.
    pub(crate) fn on_pool_requests_read(&mut self, ctx: &Context, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok();
        let Some(page) = page.filter(|page| status == 200 && !page.has_next) else {
            self.pools.requests_read = ReadState::Pause(ctx.now + RETRY_PAUSE_MS);
            return;
        };
        self.pools.requests.clear();
        for item in page.items {
            self.store_read_request(item);
        }
        self.pools.requests_read = ReadState::Done;
    }

    /// Stores a record that was read, if it is a request of one of the shard's teams.
    fn store_read_request(&mut self, item: Item) {
        match from_value::<PoolRequest>(item.value) {
            Ok(request) if self.teams.contains_key(&request.team) => {
                self.store_request(request, item.version);
            }
            Ok(_) => {}
            Err(e) => log::error!("record {}: cannot be decoded, {e}", item.key),
        }
    }

    fn store_request(&mut self, request: PoolRequest, version: u64) {
        let name = request.pool.clone();
        let stored = StoredRequest {
            version,
            request,
            is_writing: false,
        };
        self.pools.requests.insert(name, stored);
    }
}
