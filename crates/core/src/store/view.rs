//! The local copy of the records that all controllers share.
//!
//! A listing replaces the copy and watches update it, so the copy lags behind the store. A
//! transaction based on the copy has the versions of the records that it depends on as
//! preconditions.

use crate::membership::format::FormatVersion;
use crate::records::{
    DemandRecord, LeaderRecord, MachineRecord, NodeRecord, ProvisioningIntent, ShardId,
    ShardRecord, CLUSTER_PREFIX, EPOCH_KEY, FINALIZED_FORMAT_KEY, LEADER_KEY,
};
use forkshift_wire::cloud::MachineType;
use forkshift_wire::state::{Change, Item};
use forkshift_wire::{JobId, MachineId, NodeName};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A record and its version: the revision at which the record was written.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    pub(crate) record: T,
    pub(crate) version: u64,
}

/// All records under the prefix `c/`, as of one revision.
#[derive(Default)]
pub(crate) struct ClusterView {
    /// The revision up to which changes are applied.
    pub(crate) revision: u64,
    /// Whether no change was missed since the last listing. While this is false, the view must
    /// be replaced by a new listing.
    pub(crate) is_complete: bool,
    pub(crate) nodes: BTreeMap<NodeName, Versioned<NodeRecord>>,
    pub(crate) leader: Option<Versioned<LeaderRecord>>,
    /// The epoch counter: the highest epoch given to any shard.
    pub(crate) epoch: Option<Versioned<u64>>,
    /// The finalized format; none until a format has been finalized.
    pub(crate) finalized_format: Option<Versioned<FormatVersion>>,
    pub(crate) shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    pub(crate) machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    /// Provisioning intents by request name.
    pub(crate) provisioning_intents: BTreeMap<String, Versioned<ProvisioningIntent>>,
    pub(crate) machine_types: BTreeMap<String, Versioned<MachineType>>,
    /// The last demand record that the holder of each shard has written.
    pub(crate) demands: BTreeMap<ShardId, Versioned<DemandRecord>>,
    /// Cancellation requests: the versions of their keys, by job.
    pub(crate) cancellations: BTreeMap<JobId, u64>,
    /// Machines whose records have a decommission reason; an index of `machines`.
    pub(crate) decommissioned: BTreeSet<MachineId>,
    /// Machines whose changes have not been taken yet.
    changed: ChangedMachines,
}

/// Machines whose records have changed since the previous call of
/// [`ClusterView::take_changed_machines`].
#[derive(Default)]
pub(crate) struct ChangedMachines {
    /// Whether the record or the type of any machine may have changed.
    pub(crate) all: bool,
    /// The machines whose records have changed; complete only if `all` is false.
    pub(crate) machines: BTreeSet<MachineId>,
}

impl ChangedMachines {
    /// The value that stands for a change of any machine.
    pub(crate) fn all_machines() -> Self {
        Self {
            all: true,
            ..Self::default()
        }
    }
}

/// Decodes a record. A record that can't be decoded is logged and treated as missing.
fn decode<T: DeserializeOwned>(key: &str, value: Value, version: u64) -> Option<Versioned<T>> {
    match serde_json::from_value(value) {
        Ok(record) => Some(Versioned { record, version }),
        Err(error) => {
            log::error!("record {key}: cannot be decoded, {error}");
            None
        }
    }
}

/// Decodes a record and inserts it into a map. If the record can't be decoded, its earlier
/// version is removed from the map.
fn insert_decoded<K: Ord, T: DeserializeOwned>(
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

/// A parsed key of the form `c/<kind>/<name>`.
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
    /// Parses a key; none for keys of other forms or kinds.
    fn parse(key: &str) -> Option<Self> {
        let (kind, name) = key.strip_prefix(CLUSTER_PREFIX)?.split_once('/')?;
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
    /// Whether every registered controller has recorded that it receives hardly any worker
    /// heartbeats.
    pub(crate) fn are_all_nodes_isolated(&self) -> bool {
        self.nodes.values().all(|n| n.record.receives_no_heartbeats)
    }

    /// Replaces all records by those of a complete listing.
    pub(crate) fn replace_all(&mut self, items: Vec<Item>, revision: u64) {
        *self = Self {
            revision,
            is_complete: true,
            changed: ChangedMachines::all_machines(),
            ..Self::default()
        };
        for item in items {
            self.put(&item.key, item.value, item.version);
        }
    }

    /// Applies the changes of a watch, except changes that are older than the view.
    pub(crate) fn apply_changes(&mut self, events: Vec<Change>, revision: u64) {
        for event in events {
            match event {
                Change::Put {
                    key,
                    value,
                    version,
                } if version > self.revision => {
                    self.put(&key, value, version);
                }
                Change::Remove { key, version } if version > self.revision => {
                    self.remove(&key);
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Applies the put of one record. A record that can't be decoded counts as removed.
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
            RecordKey::Node(node) => insert_decoded(&mut self.nodes, node, key, value, version),
            RecordKey::Machine(id) => {
                insert_decoded(&mut self.machines, id.clone(), key, value, version);
                self.track_machine_change(id);
            }
            RecordKey::ProvisioningIntent(name) => {
                insert_decoded(&mut self.provisioning_intents, name, key, value, version);
            }
            RecordKey::MachineType(name) => {
                // The capacity of a machine depends on its type, so any machine may be
                // affected.
                self.changed.all = true;
                insert_decoded(&mut self.machine_types, name, key, value, version);
            }
            RecordKey::Cancellation(job) => {
                self.cancellations.insert(job, version);
            }
            RecordKey::Shard(shard) => insert_decoded(&mut self.shards, shard, key, value, version),
            RecordKey::Demand(shard) => {
                insert_decoded(&mut self.demands, shard, key, value, version);
            }
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
                self.track_machine_change(id);
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

    /// Updates the set of changed machines and the index of decommissioned machines.
    fn track_machine_change(&mut self, id: MachineId) {
        let record = self.machines.get(&id);
        if record.is_some_and(|m| m.record.decommission_reason.is_some()) {
            self.decommissioned.insert(id.clone());
        } else {
            self.decommissioned.remove(&id);
        }
        self.changed.machines.insert(id);
    }

    /// Returns the machines that have changed since the last call.
    pub(crate) fn take_changed_machines(&mut self) -> ChangedMachines {
        std::mem::take(&mut self.changed)
    }

    /// The finalized format, which all controllers support; the first format if none has been
    /// finalized.
    pub(crate) fn format(&self) -> FormatVersion {
        let finalized = self.finalized_format.as_ref();
        finalized.map_or(FormatVersion::FIRST, |f| f.record)
    }

    /// Whether the leader record names this incarnation of a controller.
    pub(crate) fn is_led_by(&self, node: &NodeName, incarnation: u64) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|l| l.record.node == *node && l.record.incarnation == incarnation)
    }

    /// The epochs of all shards; none while the view is incomplete.
    pub(crate) fn shard_epochs(&self) -> Option<Vec<(u32, u64)>> {
        let epochs = || {
            let shards = self.shards.iter();
            shards.map(|(id, s)| (id.0, s.record.epoch)).collect()
        };
        self.is_complete.then(epochs)
    }

    /// The version and the value of the epoch counter; both 0 if the counter doesn't exist.
    pub(crate) fn epoch_counter(&self) -> (u64, u64) {
        self.epoch
            .as_ref()
            .map_or((0, 0), |e| (e.version, e.record))
    }

    /// Whether this incarnation of a controller is registered.
    pub(crate) fn is_registered(&self, node: &NodeName, incarnation: u64) -> bool {
        self.nodes
            .get(node)
            .is_some_and(|n| n.record.incarnation == incarnation)
    }

    /// The controller that holds a shard; none if the shard has no record or its holder's
    /// incarnation is not registered.
    pub(crate) fn holder(&self, shard_id: ShardId) -> Option<&NodeName> {
        let shard = &self.shards.get(&shard_id)?.record;
        self.is_registered(&shard.holder, shard.holder_incarnation)
            .then_some(&shard.holder)
    }

    /// All zones in which at least one machine type is offered.
    pub(crate) fn zones(&self) -> BTreeSet<&str> {
        let types = self.machine_types.values();
        types
            .flat_map(|t| t.record.zones.iter().map(String::as_str))
            .collect()
    }
}
