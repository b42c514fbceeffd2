//! The intervals for which pools are charged for machines.

use super::membership::{EndReason, PoolState};
use super::row::row_key;
use crate::declaration::PoolName;
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// The attributes of a machine that its usage intervals record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BilledMachine {
    /// Id of the machine.
    pub id: MachineId,
    /// Machine type.
    pub machine_type: String,
    /// Whether the machine is a spot instance, which the cloud may preempt.
    pub spot: bool,
}

/// A past interval for which a pool is charged for a machine that was in one state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageInterval {
    /// The pool.
    pub pool: PoolName,
    /// The machine.
    pub machine: MachineId,
    /// Machine type, which determines the price.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Whether the machine is a spot instance. Records without this field are of on-demand
    /// machines.
    #[serde(default)]
    pub spot: bool,
    /// State of the machine during the interval.
    pub state: PoolState,
    /// Beginning, in milliseconds since 1970.
    pub from_ms: u64,
    /// End, which is not included, in milliseconds since 1970.
    pub to_ms: u64,
    /// Why the machine left the pool at the end; `None` if it only changed its state.
    #[serde(rename = "ended", default, skip_serializing_if = "Option::is_none")]
    pub end_reason: Option<EndReason>,
}

impl UsageInterval {
    /// Key in the key-value store. Keys of a pool are ordered by time. Each controller
    /// derives the same key for the same interval, so that writes are idempotent.
    pub fn key(&self) -> String {
        let kind = format!("machine-{}", self.machine);
        row_key(&self.pool, self.from_ms, &kind)
    }
}
