//! The intervals for which pools are charged.

use super::membership::{EndReason, PoolState};
use super::row::row_key;
use crate::declaration::PoolName;
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// What an account records of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BilledMachine {
    /// Id of the machine.
    pub id: MachineId,
    /// Machine type.
    pub machine_type: String,
    /// Whether it is a spot machine, which the cloud may preempt.
    pub spot: bool,
}

/// A past interval for which a pool is charged for a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageInterval {
    /// The pool.
    pub pool: PoolName,
    /// The machine.
    pub machine: MachineId,
    /// Machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Whether it is a spot machine.
    #[serde(default)]
    pub spot: bool,
    /// State of the machine.
    pub state: PoolState,
    /// Beginning, in milliseconds since 1970.
    pub from_ms: u64,
    /// End, in milliseconds since 1970.
    pub to_ms: u64,
    /// Why the machine left the pool at the end; `None` if it changed its state.
    #[serde(rename = "ended", default, skip_serializing_if = "Option::is_none")]
    pub end_reason: Option<EndReason>,
}

impl UsageInterval {
    /// Key at the key-value store: ordered by time within a pool, and the same for whichever
    /// controller writes it.
    pub fn key(&self) -> String {
        let kind = format!("machine-{}", self.machine);
        row_key(&self.pool, self.from_ms, &kind)
    }
}
