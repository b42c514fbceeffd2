//! The controller's copy of what all controllers share.

use crate::membership::format::FormatVersion;
use crate::records::{
    DemandRecord, LeaderRecord, MachineRecord, NodeRecord, ProvisioningIntent, ShardId,
    ShardRecord, EPOCH, FINALIZED_FORMAT, LEADER,
};
use forkshift_wire::cloud::MachineType;
use forkshift_wire::state::{Change, Item};
use forkshift_wire::{JobId, MachineId, NodeName};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A record and its version.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    pub(crate) record: T,
    pub(crate) version: u64,
}

/// Everything below `c/`, as of one revision.
#[derive(Default)]
pub(crate) struct ClusterView {
    pub(crate) revision: u64,
    pub(crate) is_complete: bool,
    pub(crate) nodes: BTreeMap<NodeName, Versioned<NodeRecord>>,
    pub(crate) leader: Option<Versioned<LeaderRecord>>,
    pub(crate) epoch: Option<Versioned<u64>>,
    pub(crate) finalized_format: Option<Versioned<FormatVersion>>,
    pub(crate) shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    pub(crate) machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    pub(crate) provisioning_intents: BTreeMap<String, Versioned<ProvisioningIntent>>,
    pub(crate) machine_types: BTreeMap<String, Versioned<MachineType>>,
    pub(crate) demands: BTreeMap<ShardId, Versioned<DemandRecord>>,
    pub(crate) cancellations: BTreeMap<JobId, u64>,
    /// Machines that are given up.
    pub(crate) decommissioned: BTreeSet<MachineId>,
    changed: ChangedMachines,
}

/// Which machines' records changed since this was last asked for.
#[derive(Default)]
pub(crate) struct ChangedMachines {
    /// Perhaps all of them.
    pub(crate) all: bool,
    pub(crate) machines: BTreeSet<MachineId>,
}

impl ChangedMachines {
    /// Everything may have changed.
    pub(crate) fn everything() -> Self {
        Self {
            all: true,
            ..Self::default()
        }
    }
}

fn decode<T: DeserializeOwned>(key: &str, value: Value, version: u64) -> Option<Versioned<T>> {
    match serde_json::from_value(value) {
        Ok(record) => Some(Versioned { record, version }),
        Err(e) => {
            log::error!("record {key} is not understood: {e}");
            None
        }
    }
}

impl ClusterView {
    /// Whether all controllers say that they hear hardly any worker.
    pub(crate) fn has_no_node_with_heartbeats(&self) -> bool {
        self.nodes.values().all(|n| n.record.receives_no_heartbeats)
    }

    /// Replaces everything by a full listing.
    pub(crate) fn replace(&mut self, items: Vec<Item>, revision: u64) {
        *self = Self {
            revision,
            is_complete: true,
            changed: ChangedMachines::everything(),
            ..Self::default()
        };
        for item in items {
            self.put(&item.key, item.value, item.version);
        }
    }

    /// Applies what a watch has shown.
    pub(crate) fn apply(&mut self, events: Vec<Change>, revision: u64) {
        for event in events {
            match event {
                Change::Put {
                    put,
                    value,
                    version,
                } if version > self.revision => {
                    self.put(&put, value, version);
                }
                Change::Remove { remove, version } if version > self.revision => {
                    self.remove(&remove);
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(revision);
    }

    fn put(&mut self, key: &str, value: Value, v: u64) {
        if key == EPOCH {
            self.epoch = decode(key, value, v);
            return;
        }
        if key == FINALIZED_FORMAT {
            self.finalized_format = decode(key, value, v);
            return;
        }
        if key == LEADER {
            self.leader = decode(key, value, v);
            return;
        }
        let Some((kind, name)) = key.strip_prefix("c/").and_then(|k| k.split_once('/')) else {
            return;
        };
        fn set<K: Ord, T: DeserializeOwned>(
            map: &mut BTreeMap<K, Versioned<T>>,
            name: K,
            key: &str,
            value: Value,
            v: u64,
        ) {
            match decode(key, value, v) {
                Some(found) => map.insert(name, found),
                None => map.remove(&name),
            };
        }
        match kind {
            "node" => set(&mut self.nodes, NodeName::new(name), key, value, v),
            "machine" => {
                let id = MachineId::new(name);
                set(&mut self.machines, id.clone(), key, value, v);
                self.machine_changed(id);
            }
            "charter" => set(
                &mut self.provisioning_intents,
                name.to_owned(),
                key,
                value,
                v,
            ),
            "rig" => {
                // What a machine has is known by its type.
                self.changed.all = true;
                set(&mut self.machine_types, name.to_owned(), key, value, v);
            }
            "abort" => {
                self.cancellations.insert(JobId::new(name), v);
            }
            "share" | "demand" => {
                let Ok(k) = name.parse().map(ShardId) else {
                    return;
                };
                if kind == "share" {
                    set(&mut self.shards, k, key, value, v);
                } else {
                    set(&mut self.demands, k, key, value, v);
                }
            }
            _ => {}
        }
    }

    fn remove(&mut self, key: &str) {
        if key == EPOCH {
            self.epoch = None;
        } else if key == LEADER {
            self.leader = None;
        }
        let Some((kind, name)) = key.strip_prefix("c/").and_then(|k| k.split_once('/')) else {
            return;
        };
        match kind {
            "node" => drop(self.nodes.remove(&NodeName::new(name))),
            "machine" => {
                let id = MachineId::new(name);
                self.machines.remove(&id);
                self.machine_changed(id);
            }
            "charter" => drop(self.provisioning_intents.remove(name)),
            "rig" => drop(self.machine_types.remove(name)),
            "abort" => drop(self.cancellations.remove(&JobId::new(name))),
            "share" => drop(name.parse().map(|k| self.shards.remove(&ShardId(k)))),
            "demand" => drop(name.parse().map(|k| self.demands.remove(&ShardId(k)))),
            _ => {}
        }
    }

    fn machine_changed(&mut self, id: MachineId) {
        let record = self.machines.get(&id);
        if record.is_some_and(|m| m.record.decommission_reason.is_some()) {
            self.decommissioned.insert(id.clone());
        } else {
            self.decommissioned.remove(&id);
        }
        self.changed.machines.insert(id);
    }

    /// What changed since this was last asked for.
    pub(crate) fn take_changed(&mut self) -> ChangedMachines {
        std::mem::take(&mut self.changed)
    }

    /// The format that all controllers know.
    pub(crate) fn format(&self) -> FormatVersion {
        let finalized = self.finalized_format.as_ref();
        finalized.map_or(FormatVersion::FIRST, |f| f.record)
    }

    /// Version of the epoch counter, and its value.
    pub(crate) fn epoch(&self) -> (u64, u64) {
        self.epoch
            .as_ref()
            .map_or((0, 0), |e| (e.version, e.record))
    }

    /// Whether this start of a controller is alive, as far as is known.
    pub(crate) fn is_alive(&self, node: &NodeName, incarnation: u64) -> bool {
        self.nodes
            .get(node)
            .is_some_and(|n| n.record.incarnation == incarnation)
    }

    /// The controller that holds a shard, if it is alive.
    pub(crate) fn holder(&self, k: ShardId) -> Option<&NodeName> {
        let shard = &self.shards.get(&k)?.record;
        self.is_alive(&shard.holder, shard.holder_incarnation)
            .then_some(&shard.holder)
    }

    /// All zones in which machines can be had.
    pub(crate) fn zones(&self) -> BTreeSet<&str> {
        let types = self.machine_types.values();
        types
            .flat_map(|t| t.record.zones.iter().map(String::as_str))
            .collect()
    }
}
