//! Records of machines.

use super::{is_zero_ms, ShardId};
use forkshift_pools::account::BilledMachine;
use forkshift_pools::{EndReason, Membership, PoolState, UsageInterval};
use forkshift_sched::Resources;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// The total capacity of a machine of a type.
pub fn capacity_of(machine_type: &MachineType) -> Resources {
    Resources::new(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
}

/// A provisioned machine, with the state that must survive a change of the machine's holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The shard whose holder controls the machine.
    #[serde(rename = "share")]
    pub shard: ShardId,
    /// Name of the machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may preempt.
    pub spot: bool,
    /// Address of the machine's worker; absent until the first heartbeat is received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    /// Why the machine is to be deleted and must not be used again; absent otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "condemned")]
    pub decommission_reason: Option<String>,
    /// The shard to which the machine is to be reassigned once it is free; absent if no
    /// reassignment is requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "want")]
    pub reassign_to: Option<ShardId>,
    /// Lower bound, exclusive, on the fencing tokens that the machine's present shard issues.
    #[serde(default)]
    #[serde(rename = "floor")]
    pub token_floor: u64,
    /// Images in the machine's cache when it last changed shards, with their sizes in GB.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
    /// The machine's membership in a warm pool; absent if it is in none. Since format 3.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<Membership>,
    /// Until when pools were charged for the machine, in milliseconds since 1970; 0 if never.
    /// Since format 3.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    pub charged_until_ms: u64,
}

impl MachineRecord {
    /// The record of a machine that was just provisioned, with no worker address yet.
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

    /// Closes the usage interval of the machine's pool membership at `at_ms`. The membership
    /// continues in the state `next`, or ends for the given reason. Returns the row of the
    /// pool's account that must be written in the same transaction; none if the machine is in
    /// no pool.
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
