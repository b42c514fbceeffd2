//! Return of machines to the cloud: machines that were given up are deleted,
//! and their records are removed once the cloud has confirmed the deletion.
//! The removed record proves to the holder that nothing is left there.

use super::Leader;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::pools::add_row;
use crate::records::{machine_key, MachineRecord, LEADER};
use crate::store::queue::Urgency;
use crate::store::view::{ClusterView, Versioned};
use forkshift_pools::{Ended, Interval};
use forkshift_wire::cloud::DELETE_MOST;
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::to_value;

impl Leader {
    /// Writes that a machine is given up.
    pub(super) fn decommission(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
        why: &str,
    ) {
        let Some(machine) = view.machines.get(id) else {
            return;
        };
        if machine.record.decommission_reason.is_some() {
            return;
        }
        log::info!("machine {id}: condemned, {why}");
        let mut record = machine.record.clone();
        record.decommission_reason = Some(why.to_owned());
        let key = machine_key(id);
        let transaction = Transaction {
            preconditions: self.preconditions(view, key.clone(), machine.version),
            writes: vec![Write::put(key, to_value(record).unwrap_or_default())],
        };
        ctx.transact(Urgency::Tasks, &transaction, PendingCall::Housekeeping);
    }

    /// Has machines deleted that were given up in their records.
    pub(super) fn delete_decommissioned(&mut self, ctx: &mut Context, view: &ClusterView) {
        let condemned = view.decommissioned.iter();
        let condemned: Vec<MachineId> = condemned
            .filter(|id| !self.machines_being_deleted.contains(*id))
            .take(DELETE_MOST)
            .cloned()
            .collect();
        if !condemned.is_empty() && self.may_call(ctx) {
            self.send_delete(ctx, condemned);
        }
    }

    /// Sends one request for the deletion of some machines.
    pub(super) fn send_delete(&mut self, ctx: &mut Context, machines: Vec<MachineId>) {
        self.machines_being_deleted.extend(machines.iter().cloned());
        let pending = PendingCall::DeleteMachines {
            machines: machines.clone(),
        };
        ctx.delete_machines(machines, pending);
    }

    /// The cloud has answered a deletion: the records of machines that are gone
    /// are removed.
    pub(crate) fn on_machines_deleted(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        machines: Vec<MachineId>,
        status: u16,
        body: &[u8],
    ) {
        for id in &machines {
            self.machines_being_deleted.remove(id);
        }
        if self.cloud_unavailable(ctx, status, body) || status != 200 {
            return;
        }
        // The machines are gone: their records say so by going, too.
        let gone: Vec<DeletedMachine> = machines
            .iter()
            .filter_map(|id| {
                Some(DeletedMachine::new(
                    id,
                    view.machines.get(id)?,
                    ctx.wall_clock_ms,
                ))
            })
            .collect();
        for group in groups_of(gone, ctx.limits.txn_ops) {
            let leader = view.leader.as_ref().map_or(0, |l| l.version);
            let mut transaction = Transaction {
                preconditions: vec![Precondition {
                    key: LEADER.to_owned(),
                    version: leader,
                }],
                writes: Vec::new(),
            };
            for machine in &group {
                let key = machine_key(&machine.id);
                transaction.preconditions.push(Precondition {
                    key: key.clone(),
                    version: machine.version,
                });
                transaction.writes.push(Write::Remove { remove: key });
                if let Some(row) = &machine.row {
                    add_row(&mut transaction, row.key(), row);
                }
                // Until the view shows it, it must not be deleted again.
                self.machines_being_deleted.insert(machine.id.clone());
            }
            log::info!("{} machines returned", group.len());
            let machines = group.into_iter().map(|machine| machine.id).collect();
            ctx.transact(
                Urgency::Tasks,
                &transaction,
                PendingCall::MachineRecordsRemoval { machines },
            );
        }
    }

    /// The removal of records was answered. After a failure the machines are
    /// deleted again.
    pub(crate) fn on_records_removed(&mut self, machines: &[MachineId], status: u16) {
        if status != 200 {
            for id in machines {
                self.machines_being_deleted.remove(id);
            }
        }
    }
}

/// A machine that is gone, and whose record is to be removed.
struct DeletedMachine {
    id: MachineId,
    version: u64,
    /// The end of a pool's charge for it, if its holder has not recorded one.
    row: Option<Interval>,
}

impl DeletedMachine {
    fn new(id: &MachineId, versioned: &Versioned<MachineRecord>, wall: u64) -> Self {
        let mut record = versioned.record.clone();
        Self {
            id: id.clone(),
            version: versioned.version,
            row: record.close_membership(id, wall, Err(Ended::Lost)),
        }
    }

    /// Changes that its removal takes.
    fn changes(&self) -> usize {
        1 + usize::from(self.row.is_some())
    }
}

/// Groups of machines whose removal takes so many changes at the most.
fn groups_of(gone: Vec<DeletedMachine>, most: usize) -> Vec<Vec<DeletedMachine>> {
    let mut groups: Vec<Vec<DeletedMachine>> = Vec::new();
    let mut room = 0;
    for machine in gone {
        let changes = machine.changes();
        if changes > room || groups.is_empty() {
            groups.push(Vec::new());
            room = most;
        }
        room -= changes;
        if let Some(group) = groups.last_mut() {
            group.push(machine);
        }
    }
    groups
}
