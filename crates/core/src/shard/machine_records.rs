//! Synchronization of a shard's machines with their records: the holder follows the records
//! in its view of the store, and writes a record when it decommissions a machine or transfers
//! the machine to another shard.

use super::Shard;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::pools::add_account_row;
use crate::records::{machine_key, MachineRecord};
use crate::shard::machine::{Machine, RecordedMachine};
use crate::store::queue::Urgency;
use crate::store::view::{ChangedMachines, ClusterView, Versioned};
use forkshift_links::HeartbeatRoute;
use forkshift_pools::{EndReason, UsageInterval};
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::{MachineId, TaskRef};
use serde_json::to_value;
use std::collections::BTreeSet;

impl Machine {
    /// Updates the machine from its record, unless this version of the record has been
    /// processed already.
    fn update_from_record(&mut self, versioned: &Versioned<MachineRecord>) {
        if self.record_version == versioned.version {
            return;
        }
        let record = &versioned.record;
        self.record_version = versioned.version;
        self.transfer_version = None;
        if record.decommission_reason.is_some() {
            self.decommission_reason = record.decommission_reason.clone();
        }
        self.addr = record.addr.clone().or(self.addr.take());
        self.pool.update_from_record(record);
    }

    /// Whether the machine can be transferred to another shard: no task, exited attempt or
    /// orphan is on it, and no command in flight can put one there. A machine of a warm pool
    /// must also have been offered to the leader (`is_offered`).
    fn is_transferable(&self, is_offered: bool) -> bool {
        self.tasks.is_empty()
            && self.exited_attempts.is_empty()
            && self.orphans.is_empty()
            && !self.has_call_in_flight
            && !self.has_unanswered_call
            && self.decommission_reason.is_none()
            && (self.pool.membership.is_none() || is_offered)
            && self.has_acknowledged_token()
    }
}

impl Shard {
    /// Brings the shard's machines in line with the records in the view: adds machines,
    /// updates changed ones and removes those without a record in this shard.
    pub(crate) fn sync_machine_records(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        changed: &ChangedMachines,
    ) {
        if changed.all {
            let known = self.machines.keys().chain(view.machines.keys());
            let all: BTreeSet<MachineId> = known.cloned().collect();
            for id in &all {
                self.sync_machine_record(ctx, view, id);
            }
        } else {
            for id in &changed.machines {
                self.sync_machine_record(ctx, view, id);
            }
        }
    }

    /// Brings one machine in line with its record. A machine whose type is not in the view
    /// yet is not added.
    fn sync_machine_record(&mut self, ctx: &mut Context, view: &ClusterView, id: &MachineId) {
        ctx.work_units += 1;
        let versioned = view.machines.get(id);
        let Some(versioned) = versioned.filter(|m| m.record.shard == self.id) else {
            self.remove_machine(ctx, id);
            return;
        };
        self.machines_to_reconcile.mark_due(id);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.update_from_record(versioned);
            return;
        }
        let Some(machine_type) = view.machine_types.get(&versioned.record.machine_type) else {
            return;
        };
        let recorded = RecordedMachine {
            id,
            record: versioned,
            machine_type: &machine_type.record,
            first_token: self.first_token(&versioned.record),
        };
        let machine = Machine::new(ctx, &recorded);
        self.machines.insert(id.clone(), machine);
    }

    /// Removes a machine that has no record in this shard any more. The record of a deleted
    /// machine is removed only after the cloud has confirmed the deletion, and a machine is
    /// transferred only while it is empty, so that no task of this shard runs on it.
    fn remove_machine(&mut self, ctx: &Context, id: &MachineId) {
        if !self.machines.contains_key(id) {
            return;
        }
        self.unbind_all_tasks(ctx, id);
        self.machines.remove(id);
        self.machines_to_reconcile.remove(id);
    }

    /// Records the route, direct or relayed, by which a machine's heartbeat has arrived.
    pub(crate) fn record_heartbeat_route(
        &mut self,
        ctx: &Context,
        id: &MachineId,
        route: HeartbeatRoute,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let timing = ctx.config.link_timing();
        let was_relayed = machine.link.is_relayed();
        machine.link.on_heartbeat(ctx.now, route, &timing);
        if was_relayed != machine.link.is_relayed() {
            log::info!("machine {id}: heartbeat route changed, {route:?}");
        }
        if machine.link.is_failback_probe_due(ctx.now) {
            // Any call with a response starts the failback; a call that only sends the token
            // suffices.
            machine.must_send_token = true;
        }
    }

    /// Unbinds all tasks of a machine on which nothing runs any more, and schedules a round
    /// to place them again.
    pub(crate) fn unbind_all_tasks(&mut self, ctx: &Context, id: &MachineId) {
        let tasks = self.machines.get(id).map(|m| m.tasks.clone());
        for task in tasks.into_iter().flatten() {
            self.unbind(&task.job, task.index);
        }
        self.schedule_round_soon(ctx);
    }

    /// Writes the transfer of a machine to another shard if the leader has requested it and
    /// the machine is transferable.
    ///
    /// No task is placed on the machine from the time the write is sent until its record has
    /// changed. A write without a response may still be executed later, and the other shard
    /// then owns whatever is on the machine.
    ///
    /// A machine that is in use is vacated first. If that is not possible, the request is
    /// removed from the record.
    pub(crate) fn transfer_machine_if_requested(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
    ) {
        let requested = view.machines.get(id).and_then(|m| m.record.reassign_to);
        let Some(new_shard) = requested else {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.is_vacating = false;
            }
            return;
        };
        let is_offered = self.is_offered(id);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.is_writing_record
            || view.revision < machine.record_required_revision
            || new_shard == self.id
        {
            return;
        }
        if machine.is_transferable(is_offered) || machine.transfer_version.is_some() {
            machine.transfer_version = Some(machine.record_version);
            let token_floor = machine.token;
            let images = self.image_names(ctx, id);
            let at_ms = ctx.wall_clock_ms;
            self.update_machine_record_with(ctx, view, id, |record| {
                record.shard = new_shard;
                record.reassign_to = None;
                record.token_floor = token_floor;
                record.images = images;
                record.close_membership(id, at_ms, Err(EndReason::Reclaimed))
            });
        } else if !self.vacate(ctx, id) {
            self.update_machine_record(ctx, view, id, |record| record.reassign_to = None);
        }
    }

    /// Whether the demand record last sent to the leader offers the machine for reclaim.
    fn is_offered(&self, id: &MachineId) -> bool {
        let demand = &self.last_demand_sent;
        demand.reclaimable_machines.contains(id) || demand.pool_machines.contains(id)
    }

    /// Names and sizes in GB of the images on a machine, for the next holder.
    fn image_names(&self, ctx: &Context, id: &MachineId) -> Vec<(String, f64)> {
        let images = self.machines.get(id).map(|m| m.cached_images.as_slice());
        let images = images.unwrap_or_default().iter();
        let mut names: Vec<(String, f64)> = images
            .filter_map(|(image, size_gb)| Some((ctx.images.name(*image)?.to_owned(), *size_gb)))
            .collect();
        // A shorter list is safe, as it only costs the next holder image fetches.
        let max_bytes = ctx.limits.value_bytes / 2;
        let encoded_bytes =
            |names: &Vec<(String, f64)>| serde_json::to_vec(names).map_or(0, |json| json.len());
        while encoded_bytes(&names) > max_bytes {
            names.truncate(names.len() / 2);
        }
        names
    }

    /// Writes a changed record of a machine, on condition that the machine's record and the
    /// shard's record still have the versions in the view. Nothing is written while another
    /// write of the record is in flight, or while the view is behind the last write.
    pub(crate) fn update_machine_record(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
        change: impl FnOnce(&mut MachineRecord),
    ) {
        self.update_machine_record_with(ctx, view, id, |record| {
            change(record);
            None
        });
    }

    /// Writes a changed record as [`Self::update_machine_record`] does. If the change ends a
    /// pool membership, `change` returns the row of the pool's account, which is written in
    /// the same transaction.
    pub(crate) fn update_machine_record_with(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
        change: impl FnOnce(&mut MachineRecord) -> Option<UsageInterval>,
    ) {
        let (Some(machine), Some(versioned)) = (self.machines.get_mut(id), view.machines.get(id))
        else {
            return;
        };
        if machine.is_writing_record || view.revision < machine.record_required_revision {
            return;
        }
        machine.is_writing_record = true;
        let mut record = versioned.record.clone();
        let account_row = change(&mut record);
        // The leader and other shards wait for these two changes; other changes matter only
        // to the next holder of the shard.
        let frees_machine = record.shard != versioned.record.shard
            || record.decommission_reason != versioned.record.decommission_reason;
        let urgency = if frees_machine {
            Urgency::Tasks
        } else {
            Urgency::Background
        };
        let key = machine_key(id);
        let mut transaction = Transaction {
            preconditions: vec![
                self.fencing_precondition(),
                Precondition {
                    key: key.clone(),
                    version: versioned.version,
                },
            ],
            writes: vec![Write::put(key, to_value(record).unwrap_or_default())],
        };
        if let Some(row) = account_row {
            add_account_row(&mut transaction, row.key(), &row);
        }
        ctx.transact(
            urgency,
            &transaction,
            PendingCall::MachineRecordWrite(id.clone()),
        );
    }

    /// Decommissions a machine for a reason that is stored in its record. No task is placed
    /// on it any more, and the leader deletes it once the record shows the reason.
    pub(crate) fn decommission(&mut self, id: &MachineId, reason: &str) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.decommission_reason.is_none() {
            log::info!(
                "machine {id}: decommissioned, {reason}, {} tasks",
                machine.tasks.len()
            );
            machine.decommission_reason = Some(reason.to_owned());
            self.machines_to_reconcile.mark_due(id);
        }
    }

    /// For a decommissioned machine, writes the reason to its record until the view shows it,
    /// and unbinds tasks whose start was never sent.
    pub(crate) fn record_decommission(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let Some(reason) = machine.decommission_reason.clone() else {
            return;
        };
        let tasks: Vec<TaskRef> = machine.tasks.iter().cloned().collect();
        self.stop_unsent_tasks(tasks);
        let recorded = view.machines.get(id);
        if recorded.is_some_and(|m| m.record.decommission_reason.is_none()) {
            // The membership is closed in the same write, because the leader may remove the
            // record at once and does not know as exactly when the membership ended.
            let (at_ms, end_reason) = self.end_of_membership(ctx, id);
            self.update_machine_record_with(ctx, view, id, |record| {
                record.decommission_reason = Some(reason);
                record.close_membership(id, at_ms, Err(end_reason))
            });
        }
    }
}
