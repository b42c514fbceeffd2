//! Reading pools' accounts from the state service.

use super::PoolsFailure;
use forkshift_core::records::{MachineRecord, CLUSTER};
use forkshift_net::{Call, Client, ClientLimits};
use forkshift_pools::account::{Asked, MachineFacts, Price, Row, HEADS, POOLS, PRICES};
use forkshift_pools::report::Accounts;
use forkshift_pools::{PoolName, PoolState};
use forkshift_wire::cloud::MachineType;
use forkshift_wire::state::{Item, Page};
use forkshift_wire::MachineId;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for a page.
const PATIENCE: Duration = Duration::from_secs(5);
/// Pages hold so many records at the most.
const PAGE_ITEMS: usize = 500;
/// Tries at a page that the service has no room for, and the pause between them.
const TRIES: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Too many requests.
const BUSY: u16 = 429;
/// The longest page, with room to spare.
const PAGE_BYTES: u64 = 4 * 1024 * 1024;

/// How many machines a pool has, by what they are doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CountByState {
    /// Machines that boot.
    pub booting: u32,
    /// Machines that are up, of workers that don't tell their images.
    pub up: u32,
    /// Machines that fetch the image.
    pub fetching: u32,
    /// Machines that hold it.
    pub warm: u32,
}

impl CountByState {
    fn add(&mut self, state: PoolState) {
        let count = match state {
            PoolState::Booting => &mut self.booting,
            PoolState::Up => &mut self.up,
            PoolState::Fetching => &mut self.fetching,
            PoolState::Warm => &mut self.warm,
        };
        *count += 1;
    }
}

/// What a pool is asked for and has now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The team that is charged.
    pub team: String,
    /// Machines that it is asked for.
    pub asked: u32,
    /// Machines that it has.
    pub machines: CountByState,
    /// What they cost an hour at present.
    pub cost_per_hour: f64,
}

/// Reads records from the state service.
pub struct StateReader {
    addr: SocketAddr,
    client: Client,
}

impl StateReader {
    /// A reader of the service at an address.
    pub fn new(addr: SocketAddr) -> Self {
        let client = Client::new(ClientLimits {
            per_host: 1,
            idle: 1,
            keep: PATIENCE,
            largest: PAGE_BYTES,
        });
        Self { addr, client }
    }

    /// What each pool is asked for and has now.
    ///
    /// # Errors
    ///
    /// If the service does not answer or refuses, or a record is not understood.
    pub fn status(&self) -> Result<Vec<PoolStatus>, PoolsFailure> {
        let types: BTreeMap<String, MachineType> = self.named("rig")?;
        let mut pools: BTreeMap<PoolName, PoolStatus> = BTreeMap::new();
        for asked in self.heads()? {
            let status = PoolStatus {
                pool: asked.pool.clone(),
                team: asked.team,
                asked: asked.machines,
                machines: CountByState::default(),
                cost_per_hour: 0.0,
            };
            pools.insert(asked.pool, status);
        }
        for (_, machine) in self.machines()? {
            let Some(membership) = &machine.pool else {
                continue;
            };
            let empty = || PoolStatus {
                pool: membership.pool.clone(),
                team: String::new(),
                asked: 0,
                machines: CountByState::default(),
                cost_per_hour: 0.0,
            };
            let status = pools.entry(membership.pool.clone()).or_insert_with(empty);
            status.machines.add(membership.state);
            let of_type = types.get(&machine.machine_type);
            let price = of_type.and_then(|t| match machine.spot {
                true => t.spot_price,
                false => Some(t.price),
            });
            status.cost_per_hour += price.unwrap_or(0.0);
        }
        Ok(pools.into_values().collect())
    }

    /// The accounts of all pools; what goes on is taken to end now.
    ///
    /// # Errors
    ///
    /// As for [`Self::status`].
    pub fn accounts(&self, now_ms: u64) -> Result<Accounts, PoolsFailure> {
        let mut accounts = Accounts::default();
        // What goes on is read first: what ends meanwhile is then found among the rows, too,
        // and told apart by when it began.
        for (id, machine) in self.machines()? {
            let Some(membership) = &machine.pool else {
                continue;
            };
            let facts = MachineFacts {
                id,
                machine_type: machine.machine_type,
                spot: machine.spot,
            };
            accounts
                .intervals
                .push(membership.close(&facts, now_ms, None));
        }
        accounts.asked = self.heads()?;
        let open: Vec<String> = accounts.intervals.iter().map(|i| i.key()).collect();
        let mut over = Vec::new();
        for item in self.below(POOLS)? {
            let row = Row::parse(&item.key, &item.value.to_string());
            match row {
                Some(Row::Interval(interval)) => over.push((item.key, interval)),
                Some(Row::Asked(asked)) => accounts.asked.push(asked),
                Some(Row::Miss(miss)) => accounts.misses.push(miss),
                None => return Err(not_understood(&item, "it is no row of an account")),
            }
        }
        let ended: Vec<&String> = over.iter().map(|(key, _)| key).collect();
        let goes_on = open.iter().map(|key| !ended.contains(&key));
        let mut goes_on = goes_on.collect::<Vec<bool>>().into_iter();
        accounts.intervals.retain(|_| goes_on.next() == Some(true));
        accounts
            .intervals
            .extend(over.into_iter().map(|(_, interval)| interval));
        for item in self.below(PRICES)? {
            accounts.prices.push(parse::<Price>(&item)?);
        }
        Ok(accounts)
    }

    fn heads(&self) -> Result<Vec<Asked>, PoolsFailure> {
        let items = self.below(HEADS)?;
        items.iter().map(parse).collect()
    }

    fn machines(&self) -> Result<Vec<(MachineId, MachineRecord)>, PoolsFailure> {
        let machines: BTreeMap<String, MachineRecord> = self.named("machine")?;
        let machines = machines.into_iter();
        Ok(machines
            .map(|(name, record)| (MachineId::new(&name), record))
            .collect())
    }

    /// All records of a kind, by their names.
    fn named<T: DeserializeOwned>(&self, kind: &str) -> Result<BTreeMap<String, T>, PoolsFailure> {
        let prefix = format!("{CLUSTER}{kind}/");
        let items = self.below(&prefix)?;
        let one = |item: &Item| {
            let name = item.key.strip_prefix(&prefix).unwrap_or_default();
            Ok((name.to_owned(), parse(item)?))
        };
        items.iter().map(one).collect()
    }

    /// All records below a prefix, page by page.
    fn below(&self, prefix: &str) -> Result<Vec<Item>, PoolsFailure> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            let from = items.last().map(|last| format!("&from={}", last.key));
            let from = from.unwrap_or_default();
            let path = format!("/kv?starts={prefix}&most={PAGE_ITEMS}{from}");
            let page = self.page(path)?;
            let is_last = !page.has_next || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok(items);
            }
        }
    }

    fn page(&self, path: String) -> Result<Page, PoolsFailure> {
        let fails = |problem: String| PoolsFailure::State {
            addr: self.addr,
            problem,
        };
        for _ in 0..TRIES {
            let call = Call {
                addr: self.addr,
                method: "GET",
                path: path.clone(),
                body: None,
                timeout: PATIENCE,
            };
            let outcome = async_io::block_on(self.client.call(call));
            match outcome.status {
                200 => {
                    let page = serde_json::from_slice(&outcome.body);
                    return page.map_err(|e| fails(format!("is not understood: {e}")));
                }
                BUSY => std::thread::sleep(RETRY_PAUSE),
                0 => return Err(fails("does not answer".to_owned())),
                status => return Err(fails(format!("refuses with {status}"))),
            }
        }
        Err(fails(format!("refuses with {BUSY}, {TRIES} times")))
    }
}

fn parse<T: DeserializeOwned>(item: &Item) -> Result<T, PoolsFailure> {
    let parsed = serde_json::from_value(item.value.clone());
    parsed.map_err(|e| not_understood(item, &e.to_string()))
}

fn not_understood(item: &Item, problem: &str) -> PoolsFailure {
    PoolsFailure::Record {
        key: item.key.clone(),
        problem: problem.to_owned(),
    }
}
