//! For which times a pool is charged for which machine.
//!
//! A machine's membership says since when it has been in its present state. Whenever
//! that changes, the time up to then becomes an [`Interval`] that is never changed
//! again, and the membership goes on from the very same moment. Both are written in one
//! transaction, on condition of the machine's record: so no second is charged twice or
//! not at all, whoever writes.

use crate::declaration::PoolName;
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// What a pool's machine is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolState {
    /// Its worker was not heard of yet.
    Booting,
    /// It is up; its worker does not tell which images it holds.
    Up,
    /// It is fetching the image.
    Fetching,
    /// Its worker has reported the image.
    Warm,
}

impl PoolState {
    /// All states, in the order in which a machine goes through them.
    pub const ALL: [Self; 4] = [Self::Booting, Self::Up, Self::Fetching, Self::Warm];

    /// Whether it is as ready as its worker can tell.
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Up | Self::Warm)
    }
}

/// Why a machine left its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// It got a task of the pool's team and image.
    HandedOut,
    /// It got a task that had a right to room and found no other.
    Reclaimed,
    /// The pool is to be smaller.
    Surplus,
    /// The pool is not declared any more.
    Withdrawn,
    /// It did not get the image in time.
    Stalled,
    /// It failed, was taken, or never came up.
    Lost,
}

/// A machine's membership in a pool, as it stands in the machine's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The pool.
    pub pool: PoolName,
    /// What the machine is doing.
    pub state: PoolState,
    /// Since when, in milliseconds since 1970.
    pub since_ms: u64,
}

impl Membership {
    /// A machine joins a pool. Clocks of controllers differ, so a machine that was in a
    /// pool before is not charged again for what that one was: `charged_until_ms` is when
    /// its last interval ended.
    pub fn begin(pool: PoolName, state: PoolState, at_ms: u64, charged_until_ms: u64) -> Self {
        Self {
            pool,
            state,
            since_ms: at_ms.max(charged_until_ms),
        }
    }

    /// The time until now, as an interval, for a machine that changes its state or
    /// leaves. Clocks of controllers differ: an end before the beginning is the
    /// beginning.
    pub fn close(&self, machine: &MachineFacts, at_ms: u64, ended: Option<Ended>) -> Interval {
        Interval {
            pool: self.pool.clone(),
            machine: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            spot: machine.spot,
            state: self.state,
            from_ms: self.since_ms,
            to_ms: at_ms.max(self.since_ms),
            ended,
        }
    }
}

/// What an account needs to know of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineFacts {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
}

/// A time for which a pool is charged for a machine. It is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The pool.
    pub pool: PoolName,
    /// The machine.
    pub machine: MachineId,
    /// Its type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Whether it is a spot machine.
    #[serde(default)]
    pub spot: bool,
    /// What it was doing.
    pub state: PoolState,
    /// When this began, in milliseconds since 1970.
    pub from_ms: u64,
    /// When it ended.
    pub to_ms: u64,
    /// Why the machine left the pool, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<Ended>,
}

impl Interval {
    /// Its key at the state service: in the order of time within a pool, and the same for
    /// whoever writes it.
    pub fn key(&self) -> String {
        row_key(
            &self.pool,
            self.from_ms,
            &format!("machine-{}", self.machine),
        )
    }
}

/// How many machines a pool was to keep, for a time that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    /// The pool.
    pub pool: PoolName,
    /// The team that is charged.
    pub team: String,
    /// So many machines.
    pub machines: u32,
    /// When this began, in milliseconds since 1970.
    pub from_ms: u64,
    /// When it ended; in a pool's head: not yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_ms: Option<u64>,
}

impl Asked {
    /// Its key at the state service: the pool's head while it lasts, a row afterwards.
    pub fn key(&self) -> String {
        match self.to_ms {
            None => head_key(&self.pool),
            Some(_) => row_key(&self.pool, self.from_ms, "asked"),
        }
    }

    /// It has ended, and another number follows.
    pub fn change(self, machines: u32, at_ms: u64) -> (Self, Self) {
        let at_ms = at_ms.max(self.from_ms);
        let next = Self {
            machines,
            from_ms: at_ms,
            ..self.clone()
        };
        let to_ms = Some(at_ms);
        (Self { to_ms, ..self }, next)
    }
}

/// A job of a pool's team and image that found no machine of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Miss {
    /// The pool.
    pub pool: PoolName,
    /// The job.
    pub job: String,
    /// Tasks of it that found none at first.
    pub tasks: u32,
    /// When it was submitted, in milliseconds since 1970: the same for whoever counts it.
    pub at_ms: u64,
}

impl Miss {
    /// Its key at the state service.
    pub fn key(&self) -> String {
        row_key(&self.pool, self.at_ms, &format!("missed-{}", self.job))
    }
}

/// A machine type's prices, from some moment on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// The type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Since when, in milliseconds since 1970.
    pub from_ms: u64,
    /// Price an hour.
    pub hourly: f64,
    /// Price an hour of a spot machine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spot_hourly: Option<f64>,
}

impl Price {
    /// Its key at the state service.
    pub fn key(&self) -> String {
        format!(
            "{PRICES}{}/{:0TIME_DIGITS$}",
            self.machine_type, self.from_ms
        )
    }
}

/// Prefix of all that is recorded of pools.
pub const POOLS: &str = "pool/";
/// Prefix of what pools are asked for now.
pub const HEADS: &str = "pool-asked/";
/// Prefix of prices.
pub const PRICES: &str = "price/";
/// Digits of a time in a key, so that keys are in the order of time.
const TIME_DIGITS: usize = 14;

/// Key of what a pool is asked for now.
pub fn head_key(pool: &PoolName) -> String {
    format!("{HEADS}{pool}")
}

fn row_key(pool: &PoolName, at_ms: u64, what: &str) -> String {
    format!("{POOLS}{pool}/{at_ms:0TIME_DIGITS$}-{what}")
}

/// A row of a pool's account, by the form of its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// A machine's interval.
    Interval(Interval),
    /// What was asked for, or is.
    Asked(Asked),
    /// A miss.
    Miss(Miss),
}

impl Row {
    /// Reads a record below [`POOLS`] or [`HEADS`]; none if it is not understood.
    pub fn parse(key: &str, value: &str) -> Option<Self> {
        if key.starts_with(HEADS) {
            return parse_json(value).map(Self::Asked);
        }
        let (_, row) = key.strip_prefix(POOLS)?.split_once('/')?;
        let (_, what) = row.split_once('-')?;
        match what.split_once('-') {
            None if what == "asked" => parse_json(value).map(Self::Asked),
            Some(("machine", _)) => parse_json(value).map(Self::Interval),
            Some(("missed", _)) => parse_json(value).map(Self::Miss),
            _ => None,
        }
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}

#[cfg(test)]
mod tests;
