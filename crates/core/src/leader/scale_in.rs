//! Scale-in: decommissioned machines are deleted, and their records are removed
//! once the cloud has confirmed the deletion. The removal of the record is the
//! holder's proof that no task runs on the machine any more.

use super::transactions::{leader_precondition, put_if_unchanged};
use super::Leader;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::pools::add_account_row;
use crate::records::{machine_key, MachineRecord};
use crate::store::queue::Urgency;
use crate::store::view::{ClusterView, Versioned};
use forkshift_pools::{EndReason, UsageInterval};
use forkshift_wire::cloud::MAX_DELETION_COUNT;
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::MachineId;

impl Leader {
    /// Writes a decommission reason into a machine's record, unless it has one.
    pub(super) fn decommission(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
        reason: &str,
    ) {
        let Some(machine) = view.machines.get(id) else {
            return;
        };
        if machine.record.decommission_reason.is_some() {
            return;
        }
        log::info!("machine {id}: decommissioned, {reason}");
        let mut record = machine.record.clone();
        record.decommission_reason = Some(reason.to_owned());
        let transaction = put_if_unchanged(view, machine_key(id), machine.version, &record);
        ctx.transact(Urgency::Tasks, &transaction, PendingCall::Housekeeping);
    }

    /// Requests the deletion of machines whose records have a decommission reason.
    pub(super) fn delete_decommissioned(&mut self, ctx: &mut Context, view: &ClusterView) {
        let decommissioned: Vec<MachineId> = view
            .decommissioned
            .iter()
            .filter(|id| !self.inventory.being_deleted.contains(*id))
            .take(MAX_DELETION_COUNT)
            .cloned()
            .collect();
        if !decommissioned.is_empty() && self.cloud.try_acquire(ctx.now) {
            self.send_delete(ctx, decommissioned);
        }
    }

    /// Requests the deletion of machines in one call to the cloud.
    pub(super) fn send_delete(&mut self, ctx: &mut Context, machines: Vec<MachineId>) {
        self.inventory
            .being_deleted
            .extend(machines.iter().cloned());
        let pending = PendingCall::DeleteMachines {
            machines: machines.clone(),
        };
        ctx.delete_machines(machines, pending);
    }

    /// Handles the cloud's response to a deletion. If the cloud has confirmed it, the
    /// records of the machines are removed.
    pub(crate) fn on_machines_deleted(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        machines: Vec<MachineId>,
        status: u16,
        body: &[u8],
    ) {
        for id in &machines {
            self.inventory.being_deleted.remove(id);
        }
        if self.cloud.pause_if_unavailable(ctx.now, status, body) || status != 200 {
            return;
        }
        let deleted = machines.iter().filter_map(|id| {
            let machine = view.machines.get(id)?;
            Some(DeletedMachine::new(id, machine, ctx.wall_clock_ms))
        });
        for batch in batches(deleted.collect(), ctx.limits.txn_ops) {
            self.remove_records(ctx, view, batch);
        }
    }

    /// Removes the records of one batch of deleted machines, in one transaction.
    fn remove_records(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        batch: Vec<DeletedMachine>,
    ) {
        log::info!("leader: machines deleted, {}", batch.len());
        let transaction = removal_transaction(view, &batch);
        let machines: Vec<MachineId> = batch.into_iter().map(|machine| machine.id).collect();
        // Until the view shows the removal, the machines must not be deleted again.
        self.inventory
            .being_deleted
            .extend(machines.iter().cloned());
        ctx.transact(
            Urgency::Tasks,
            &transaction,
            PendingCall::MachineRecordsRemoval { machines },
        );
    }

    /// Handles the response to a removal of records. After a failure the deletion of
    /// the machines is repeated.
    pub(crate) fn on_records_removed(&mut self, machines: &[MachineId], status: u16) {
        if status != 200 {
            for id in machines {
                self.inventory.being_deleted.remove(id);
            }
        }
    }
}

/// A machine that no longer exists and whose record is to be removed.
struct DeletedMachine {
    id: MachineId,
    /// Version of the machine's record.
    version: u64,
    /// The last usage interval charged to the machine's pool; none if the machine
    /// belongs to no pool or the holder has already recorded the end.
    usage_row: Option<UsageInterval>,
}

impl DeletedMachine {
    fn new(id: &MachineId, machine: &Versioned<MachineRecord>, wall_clock_ms: u64) -> Self {
        let mut record = machine.record.clone();
        Self {
            id: id.clone(),
            version: machine.version,
            usage_row: record.close_membership(id, wall_clock_ms, Err(EndReason::Failed)),
        }
    }

    /// Number of writes that the removal takes.
    fn write_count(&self) -> usize {
        1 + usize::from(self.usage_row.is_some())
    }
}

/// The transaction that removes the records of a batch of machines, and records the
/// end of the pools' charges for them.
fn removal_transaction(view: &ClusterView, batch: &[DeletedMachine]) -> Transaction {
    let mut transaction = Transaction {
        preconditions: vec![leader_precondition(view)],
        writes: Vec::new(),
    };
    for machine in batch {
        let key = machine_key(&machine.id);
        transaction.preconditions.push(Precondition {
            key: key.clone(),
            version: machine.version,
        });
        transaction.writes.push(Write::Remove { key });
        if let Some(row) = &machine.usage_row {
            add_account_row(&mut transaction, row.key(), row);
        }
    }
    transaction
}

/// Groups machines into batches whose removal takes up to `max_writes` writes each.
fn batches(deleted: Vec<DeletedMachine>, max_writes: usize) -> Vec<Vec<DeletedMachine>> {
    let mut batches: Vec<Vec<DeletedMachine>> = Vec::new();
    let mut remaining = 0;
    for machine in deleted {
        let writes = machine.write_count();
        if writes > remaining || batches.is_empty() {
            batches.push(Vec::new());
            remaining = max_writes;
        }
        remaining -= writes;
        if let Some(batch) = batches.last_mut() {
            batch.push(machine);
        }
    }
    batches
}
