//! The machines of a shard: they follow the records that the view shows, are
//! decommissioned, and are transferred to another shard.

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
    /// Follows a changed record.
    fn follow_record(&mut self, versioned: &Versioned<MachineRecord>) {
        if self.version == versioned.version {
            return;
        }
        let record = &versioned.record;
        self.version = versioned.version;
        self.transfer_version = None;
        if record.decommission_reason.is_some() {
            self.decommission_reason = record.decommission_reason.clone();
        }
        self.addr = record.addr.clone().or(self.addr.take());
        self.pool.apply_record(record);
    }

    /// Whether nothing is or may come on it, so that another shard can use it.
    /// A machine of a warm pool must be offered too.
    fn is_transferable(&self, is_offered: bool) -> bool {
        self.tasks.is_empty()
            && self.exited.is_empty()
            && self.orphans.is_empty()
            && !self.has_call_in_flight
            && !self.has_unanswered_call
            && self.decommission_reason.is_none()
            && (self.pool.membership.is_none() || is_offered)
            && self.is_confirmed()
    }
}

impl Shard {
    /// Follows the view: new machines, changed records, removed machines.
    pub(crate) fn apply_machine_records(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        changed: &ChangedMachines,
    ) {
        if changed.all {
            let known = self.machines.keys().chain(view.machines.keys());
            let all: BTreeSet<MachineId> = known.cloned().collect();
            for id in &all {
                self.apply_machine_record(ctx, view, id);
            }
        } else {
            for id in &changed.machines {
                self.apply_machine_record(ctx, view, id);
            }
        }
    }

    /// Follows one machine's record.
    fn apply_machine_record(&mut self, ctx: &mut Context, view: &ClusterView, id: &MachineId) {
        ctx.work_units += 1;
        let versioned = view.machines.get(id);
        let Some(versioned) = versioned.filter(|m| m.record.shard == self.id) else {
            self.remove_machine(ctx, id);
            return;
        };
        self.machines_to_reconcile.mark_due(id);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.follow_record(versioned);
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

    /// Drops a machine whose record is removed: the cloud has confirmed its
    /// deletion, so nothing that was on it runs any more.
    fn remove_machine(&mut self, ctx: &Context, id: &MachineId) {
        if !self.machines.contains_key(id) {
            return;
        }
        self.unbind_all(ctx, id);
        self.machines.remove(id);
        self.machines_to_reconcile.remove(id);
    }

    /// Notes by which route a machine's heartbeat has come.
    pub(crate) fn note_route(&mut self, ctx: &Context, id: &MachineId, route: HeartbeatRoute) {
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
            // Any answered call will do.
            machine.must_send_token = true;
        }
    }

    /// Unbinds all tasks of a machine on which nothing runs any more.
    pub(crate) fn unbind_all(&mut self, ctx: &Context, id: &MachineId) {
        let tasks = self.machines.get(id).map(|m| m.tasks.clone());
        for task in tasks.into_iter().flatten() {
            self.unbind(&task.job, task.index);
        }
        self.schedule_round_soon(ctx);
    }

    /// Transfers a machine that the leader requests to another shard, if it is
    /// free. From the moment the write is sent nothing is placed on it until the
    /// record has changed: a write without an answer may be carried out late,
    /// and the other shard then owns whatever is on the machine.
    pub(crate) fn transfer_machine(
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
            machine.transfer_version = Some(machine.version);
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

    /// Whether the demand that was last sent to the leader offers a machine.
    fn is_offered(&self, id: &MachineId) -> bool {
        let demand = &self.last_demand_sent;
        demand.reclaimable_machines.contains(id) || demand.pool_machines.contains(id)
    }

    /// Names and sizes of the images that are on a machine.
    fn image_names(&self, ctx: &Context, id: &MachineId) -> Vec<(String, f64)> {
        let images = self.machines.get(id).map(|m| m.images.as_slice());
        let images = images.unwrap_or_default().iter();
        let mut names: Vec<(String, f64)> = images
            .filter_map(|(image, size_gb)| Some((ctx.images.name(*image)?.to_owned(), *size_gb)))
            .collect();
        // The list only saves fetches, so it may be cut short.
        let max_bytes = ctx.limits.value_bytes / 2;
        let encoded_bytes =
            |names: &Vec<(String, f64)>| serde_json::to_vec(names).map_or(0, |json| json.len());
        while encoded_bytes(&names) > max_bytes {
            names.truncate(names.len() / 2);
        }
        names
    }

    /// Writes a machine's record, if it and the shard's record are unchanged.
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

    /// Writes a machine's record as [`Self::update_machine_record`] does, with
    /// the row of a pool's ledger that the change closes.
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
        let row = change(&mut record);
        // Other changes are needed by the next holder only.
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
        if let Some(row) = row {
            add_account_row(&mut transaction, row.key(), &row);
        }
        ctx.transact(
            urgency,
            &transaction,
            PendingCall::MachineRecordWrite(id.clone()),
        );
    }

    /// Decommissions a machine: nothing more is placed on it, and the leader
    /// deletes it once the record says so.
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

    /// Records the decommissioning of a machine, until the record says so, and
    /// unbinds tasks whose start was never sent to it.
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
        self.unbind_unsent_tasks(tasks);
        let recorded = view.machines.get(id);
        if recorded.is_some_and(|m| m.record.decommission_reason.is_none()) {
            // The leader may remove the record at once, and knows less of when the
            // membership ended.
            let (at_ms, ended) = self.end_of_membership(ctx, id);
            self.update_machine_record_with(ctx, view, id, |record| {
                record.decommission_reason = Some(reason);
                record.close_membership(id, at_ms, Err(ended))
            });
        }
    }
}
