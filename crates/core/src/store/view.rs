//! The local copy of the records that all controllers have in common.
//!
//! It is replaced by a listing and updated by watches, and so lags behind the store. A
//! decision on it is written with the versions that it was based on as preconditions.

use crate::membership::format::FormatVersion;
use crate::records::{
    DemandRecord, LeaderRecord, MachineRecord, NodeRecord, ProvisioningIntent, ShardId,
    ShardRecord, CLUSTER, EPOCH_KEY, FINALIZED_FORMAT_KEY, LEADER_KEY,
};
use forkshift_wire::cloud::MachineType;
use forkshift_wire::state::{Change, Item};
use forkshift_wire::{JobId, MachineId, NodeName};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A record and its version, the revision at which it was written.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    pub(crate) record: T,
    pub(crate) version: u64,
}

/// All records below `c/`, as of one revision.
#[derive(Default)]
pub(crate) struct ClusterView {
    /// The revision up to which changes are applied.
    pub(crate) revision: u64,
    /// Nothing is missing since the last listing.
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
    /// Machines whose records name a reason for decommissioning.
    pub(crate) decommissioned: BTreeSet<MachineId>,
    changed: ChangedMachines,
}

/// Machines whose records have changed since the last request for them.
#[derive(Default)]
pub(crate) struct ChangedMachines {
    /// Any machine's record or type may have changed.
    pub(crate) all: bool,
    pub(crate) machines: BTreeSet<MachineId>,
}

impl ChangedMachines {
    /// All machines may have changed.
    pub(crate) fn everything() -> Self {
        Self {
            all: true,
            ..Self::default()
        }
    }
}

/// Decodes a record. One that cannot be decoded is logged and treated as missing.
fn decode<T: DeserializeOwned>(key: &str, value: Value, version: u64) -> Option<Versioned<T>> {
    match serde_json::from_value(value) {
        Ok(record) => Some(Versioned { record, version }),
        Err(error) => {
            log::error!("record {key}: cannot be decoded, {error}");
            None
        }
    }
}

/// Decodes a record into a map; one that cannot be decoded is removed from it.
fn put_into<K: Ord, T: DeserializeOwned>(
    map: &mut BTreeMap<K, Versioned<T>>,
    name: K,
    key: &str,
    value: Value,
    version: u64,
) {
    match decode(key, value, version) {
        Some(record) => map.insert(name, record),
        None => map.remove(&name),
    };
}

/// What a key of the form `c/<kind>/<name>` names.
enum RecordKey {
    Node(NodeName),
    Machine(MachineId),
    ProvisioningIntent(String),
    MachineType(String),
    Cancellation(JobId),
    Shard(ShardId),
    Demand(ShardId),
}

impl RecordKey {
    /// Parses a key; none for keys of other forms and kinds.
    fn parse(key: &str) -> Option<Self> {
        let (kind, name) = key.strip_prefix(CLUSTER)?.split_once('/')?;
        let shard = || name.parse().ok().map(ShardId);
        match kind {
            "node" => Some(Self::Node(NodeName::new(name))),
            "machine" => Some(Self::Machine(MachineId::new(name))),
            "charter" => Some(Self::ProvisioningIntent(name.to_owned())),
            "rig" => Some(Self::MachineType(name.to_owned())),
            "abort" => Some(Self::Cancellation(JobId::new(name))),
            "share" => shard().map(Self::Shard),
            "demand" => shard().map(Self::Demand),
            _ => None,
        }
    }
}

impl ClusterView {
    /// Whether all controllers have recorded that they receive hardly any heartbeats of
    /// workers.
    pub(crate) fn has_no_node_with_heartbeats(&self) -> bool {
        self.nodes.values().all(|n| n.record.receives_no_heartbeats)
    }

    /// Replaces all records by those of a full listing.
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

    /// Applies the changes of a watch, but those that are older than the view.
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

    /// Applies the put of one record; a record that cannot be decoded counts as removed.
    fn put(&mut self, key: &str, value: Value, version: u64) {
        match key {
            EPOCH_KEY => self.epoch = decode(key, value, version),
            FINALIZED_FORMAT_KEY => self.finalized_format = decode(key, value, version),
            LEADER_KEY => self.leader = decode(key, value, version),
            _ => {
                if let Some(record_key) = RecordKey::parse(key) {
                    self.put_record(record_key, key, value, version);
                }
            }
        }
    }

    fn put_record(&mut self, record_key: RecordKey, key: &str, value: Value, version: u64) {
        match record_key {
            RecordKey::Node(node) => put_into(&mut self.nodes, node, key, value, version),
            RecordKey::Machine(id) => {
                put_into(&mut self.machines, id.clone(), key, value, version);
                self.note_machine_change(id);
            }
            RecordKey::ProvisioningIntent(name) => {
                put_into(&mut self.provisioning_intents, name, key, value, version);
            }
            RecordKey::MachineType(name) => {
                // The capacity of every machine follows from its type.
                self.changed.all = true;
                put_into(&mut self.machine_types, name, key, value, version);
            }
            RecordKey::Cancellation(job) => {
                self.cancellations.insert(job, version);
            }
            RecordKey::Shard(shard) => put_into(&mut self.shards, shard, key, value, version),
            RecordKey::Demand(shard) => put_into(&mut self.demands, shard, key, value, version),
        }
    }

    /// Applies the removal of one record.
    fn remove(&mut self, key: &str) {
        match key {
            EPOCH_KEY => self.epoch = None,
            LEADER_KEY => self.leader = None,
            _ => {}
        }
        match RecordKey::parse(key) {
            None => {}
            Some(RecordKey::Node(node)) => drop(self.nodes.remove(&node)),
            Some(RecordKey::Machine(id)) => {
                self.machines.remove(&id);
                self.note_machine_change(id);
            }
            Some(RecordKey::ProvisioningIntent(name)) => {
                drop(self.provisioning_intents.remove(&name));
            }
            Some(RecordKey::MachineType(name)) => drop(self.machine_types.remove(&name)),
            Some(RecordKey::Cancellation(job)) => drop(self.cancellations.remove(&job)),
            Some(RecordKey::Shard(shard)) => drop(self.shards.remove(&shard)),
            Some(RecordKey::Demand(shard)) => drop(self.demands.remove(&shard)),
        }
    }

    /// Notes the change of a machine's record, and whether it is to be decommissioned.
    fn note_machine_change(&mut self, id: MachineId) {
        let record = self.machines.get(&id);
        if record.is_some_and(|m| m.record.decommission_reason.is_some()) {
            self.decommissioned.insert(id.clone());
        } else {
            self.decommissioned.remove(&id);
        }
        self.changed.machines.insert(id);
    }

    /// The machines that have changed since the last call of this.
    pub(crate) fn take_changed(&mut self) -> ChangedMachines {
        std::mem::take(&mut self.changed)
    }

    /// The finalized format, which all controllers know.
    pub(crate) fn format(&self) -> FormatVersion {
        let finalized = self.finalized_format.as_ref();
        finalized.map_or(FormatVersion::FIRST, |f| f.record)
    }

    /// Whether an incarnation of a controller is the recorded leader.
    pub(crate) fn is_led_by(&self, node: &NodeName, incarnation: u64) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|l| l.record.node == *node && l.record.incarnation == incarnation)
    }

    /// The epochs of all shards; none while the view is not complete.
    pub(crate) fn shard_epochs(&self) -> Option<Vec<(u32, u64)>> {
        let epochs = || {
            let shards = self.shards.iter();
            shards.map(|(id, s)| (id.0, s.record.epoch)).collect()
        };
        self.is_complete.then(epochs)
    }

    /// The version of the epoch counter, and its value.
    pub(crate) fn epoch(&self) -> (u64, u64) {
        self.epoch
            .as_ref()
            .map_or((0, 0), |e| (e.version, e.record))
    }

    /// Whether the view shows an incarnation of a controller as registered.
    pub(crate) fn is_alive(&self, node: &NodeName, incarnation: u64) -> bool {
        self.nodes
            .get(node)
            .is_some_and(|n| n.record.incarnation == incarnation)
    }

    /// The controller that holds a shard, if it is registered.
    pub(crate) fn holder(&self, shard_id: ShardId) -> Option<&NodeName> {
        let shard = &self.shards.get(&shard_id)?.record;
        self.is_alive(&shard.holder, shard.holder_incarnation)
            .then_some(&shard.holder)
    }

    /// All zones that offer machines of some type.
    pub(crate) fn zones(&self) -> BTreeSet<&str> {
        let types = self.machine_types.values();
        types
            .flat_map(|t| t.record.zones.iter().map(String::as_str))
            .collect()
    }
}
