//! Machines.

use super::{is_zero_ms, ShardId};
use forkshift_pools::account::BilledMachine;
use forkshift_pools::{EndReason, Membership, PoolState, UsageInterval};
use forkshift_sched::Resources;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// The capacity of a machine of a type.
pub fn capacity_of(machine_type: &MachineType) -> Resources {
    Resources::new(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
}

/// A machine that was provisioned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The shard that it works for.
    #[serde(rename = "share")]
    pub shard: ShardId,
    /// Machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may preempt.
    pub spot: bool,
    /// Address of its worker, once a heartbeat was received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    /// Why it is to be deleted and never used again, if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "condemned")]
    pub decommission_reason: Option<String>,
    /// The shard that it should be moved to once it is free.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "want")]
    pub reassign_to: Option<ShardId>,
    /// Fencing tokens of its present shard are above this.
    #[serde(default)]
    #[serde(rename = "floor")]
    pub token_floor: u64,
    /// Images that it held when it last changed shards, with their sizes in GB.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
    /// Its membership in a warm pool. Since format 3.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<Membership>,
    /// Until when pools were charged for it, in milliseconds since 1970. Since format 3.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    pub charged_until_ms: u64,
}

impl MachineRecord {
    /// The record of a machine that was just provisioned.
    pub(crate) fn new(shard: ShardId, machine_type: &str, zone: &str, spot: bool) -> Self {
        Self {
            shard,
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            addr: None,
            decommission_reason: None,
            reassign_to: None,
            token_floor: 0,
            images: Vec::new(),
            pool: None,
            charged_until_ms: 0,
        }
    }

    /// Closes the interval of its pool membership at `at_ms`, and goes on with the state
    /// `next` or ends it. Returns the row of the pool's account that must be written in
    /// the same transaction; none, if it is in no pool.
    pub(crate) fn close_membership(
        &mut self,
        id: &MachineId,
        at_ms: u64,
        next: Result<PoolState, EndReason>,
    ) -> Option<UsageInterval> {
        let membership = self.pool.take()?;
        let machine = BilledMachine {
            id: id.clone(),
            machine_type: self.machine_type.clone(),
            spot: self.spot,
        };
        let interval = membership.close(&machine, at_ms, next.err());
        self.charged_until_ms = interval.to_ms;
        self.pool = next.ok().map(|state| Membership {
            state,
            since_ms: interval.to_ms,
            ..membership
        });
        Some(interval)
    }
}
