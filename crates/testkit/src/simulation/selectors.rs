//! Selection of controllers and machines by their current role or state.

use super::config::controller_index;
use super::Simulation;
use crate::faults::{ControllerSelector, MachineSelector};
use crate::worker::Worker;
use forkshift_core::records::{self, ShardId};
use forkshift_wire::{JobId, MachineId};
use serde_json::Value;

/// The index of the controller that a field of a record names, if it names one.
pub(super) fn controller_in(field: Option<&Value>) -> Option<usize> {
    controller_index(field?.as_str()?)
}

impl Simulation {
    /// Index of the selected controller; none if no controller matches now.
    pub fn select_controller(&self, selector: &ControllerSelector) -> Option<usize> {
        match selector {
            ControllerSelector::Index(index) => Some(*index),
            ControllerSelector::HolderOfJob(id) => self.holder_of(id),
            ControllerSelector::Leader => self.leader(),
            ControllerSelector::NextAfter(selector) => {
                let first = self.select_controller(selector)?;
                let nodes = self.config.controllers;
                let mut others = (1..nodes).map(|offset| (first + offset) % nodes);
                others.find(|index| self.controllers[*index].is_up())
            }
        }
    }

    /// Index of the leader according to the store, if there is one.
    pub fn leader(&self) -> Option<usize> {
        controller_in(self.store.value(records::LEADER_KEY)?.get("node"))
    }

    fn shard_of(&self, id: &JobId) -> Option<ShardId> {
        let shard = self.store.value(&records::job_key(id))?.get("share")?;
        Some(ShardId(shard.as_u64()? as u32))
    }

    /// Index of the controller that holds a job's shard according to the store, if any.
    pub fn holder_of(&self, id: &JobId) -> Option<usize> {
        let key = records::shard_key(self.shard_of(id)?);
        controller_in(self.store.value(&key)?.get("holder"))
    }

    /// The records of all shards in the store. There are as many shards as controllers.
    pub(super) fn shard_records(&self) -> impl Iterator<Item = &Value> {
        let shards =
            (0..self.config.controllers as u32).map(|shard| records::shard_key(ShardId(shard)));
        shards.filter_map(|key| self.store.value(&key))
    }

    /// Whether a controller holds any shard according to the store.
    pub fn holds_shards(&self, node: usize) -> bool {
        let mut records = self.shard_records();
        records.any(|record| controller_in(record.get("holder")) == Some(node))
    }

    /// Epoch of a job's shard according to the store.
    pub fn epoch_of(&self, id: &JobId) -> Option<u64> {
        let key = records::shard_key(self.shard_of(id)?);
        self.store.value(&key)?.get("epoch")?.as_u64()
    }

    /// Index of the controller that holds a machine's shard according to the store, if any.
    fn holder_of_machine(&self, id: &MachineId) -> Option<usize> {
        let machine = self.store.value(&records::machine_key(id))?;
        let shard = ShardId(machine.get("share")?.as_u64()? as u32);
        let shard = self.store.value(&records::shard_key(shard))?;
        controller_in(shard.get("holder"))
    }

    /// The machines of a zone that are up.
    pub fn machines_in_zone(&self, zone: &str) -> Vec<MachineId> {
        let workers = self.workers.by_id.values();
        let in_zone = workers.filter(|worker| worker.zone == zone);
        in_zone.map(|worker| worker.id.clone()).collect()
    }

    /// The selected machines that are up. For [`MachineSelector::Random`] these are all machines, from
    /// which the caller draws.
    pub fn select_machines(&self, selector: &MachineSelector) -> Vec<MachineId> {
        let workers = self.workers.by_id.values();
        let selected = workers.filter(|worker| self.is_selected(worker, selector));
        selected.map(|worker| worker.id.clone()).collect()
    }

    fn is_selected(&self, worker: &Worker, selector: &MachineSelector) -> bool {
        match selector {
            MachineSelector::RunningJob(id) => worker.has_task_of(id),
            MachineSelector::HeldBy(selector) => {
                let controller = self.select_controller(selector);
                controller.is_some() && controller == self.holder_of_machine(&worker.id)
            }
            MachineSelector::InZone(zone) => worker.zone == *zone,
            MachineSelector::Named(ids) => ids.contains(&worker.id),
            MachineSelector::Random(_) | MachineSelector::All => true,
        }
    }
}
