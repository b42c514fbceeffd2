//! Return of machines to the cloud: machines that were given up are deleted,
//! and their records are removed once the cloud has confirmed the deletion.
//! The removed record proves to the holder that nothing is left there.

use super::Leader;
use crate::context::Context;
use crate::pending::Pending;
use crate::records::{machine_key, LEADER};
use crate::store::Urgency;
use crate::view::View;
use forkshift_wire::cloud::DELETE_MOST;
use forkshift_wire::state::{Cond, Txn, Write};
use forkshift_wire::MachineId;
use serde_json::to_value;

impl Leader {
    /// Writes that a machine is given up.
    pub(super) fn condemn(&mut self, ctx: &mut Context, view: &View, id: &MachineId, why: &str) {
        let Some(machine) = view.machines.get(id) else {
            return;
        };
        if machine.rec.condemned.is_some() {
            return;
        }
        log::info!("machine {id}: condemned, {why}");
        let mut rec = machine.rec.clone();
        rec.condemned = Some(why.to_owned());
        let key = machine_key(id);
        let txn = Txn {
            conds: self.conds(view, key.clone(), machine.version),
            writes: vec![Write::put(key, to_value(rec).unwrap_or_default())],
        };
        ctx.txn(Urgency::Work, &txn, Pending::Housekeeping);
    }

    /// Has machines deleted that were given up in their records.
    pub(super) fn delete(&mut self, ctx: &mut Context, view: &View) {
        let condemned = view.condemned.iter();
        let condemned: Vec<MachineId> = condemned
            .filter(|id| !self.deleting.contains(*id))
            .take(DELETE_MOST)
            .cloned()
            .collect();
        if !condemned.is_empty() && self.may_call(ctx) {
            self.send_delete(ctx, condemned);
        }
    }

    /// Sends one request for the deletion of some machines.
    pub(super) fn send_delete(&mut self, ctx: &mut Context, machines: Vec<MachineId>) {
        self.deleting.extend(machines.iter().cloned());
        let pending = Pending::Delete {
            machines: machines.clone(),
        };
        ctx.delete_machines(machines, pending);
    }

    /// The cloud has answered a deletion: the records of machines that are gone
    /// are removed.
    pub(crate) fn on_delete(
        &mut self,
        ctx: &mut Context,
        view: &View,
        machines: Vec<MachineId>,
        status: u16,
        body: &[u8],
    ) {
        for id in &machines {
            self.deleting.remove(id);
        }
        if self.cloud_unavailable(ctx, status, body) || status != 200 {
            return;
        }
        // The machines are gone: their records say so by going, too.
        let gone: Vec<(&MachineId, u64)> = machines
            .iter()
            .filter_map(|id| view.machines.get(id).map(|m| (id, m.version)))
            .collect();
        for group in gone.chunks(ctx.limits.txn_ops) {
            let leader = view.leader.as_ref().map_or(0, |l| l.version);
            let mut txn = Txn {
                conds: vec![Cond {
                    key: LEADER.to_owned(),
                    version: leader,
                }],
                writes: Vec::new(),
            };
            for (id, version) in group {
                let key = machine_key(id);
                txn.conds.push(Cond {
                    key: key.clone(),
                    version: *version,
                });
                txn.writes.push(Write::Remove { remove: key });
                // Until the view shows it, it must not be deleted again.
                self.deleting.insert((*id).clone());
            }
            let machines = group.iter().map(|(id, _)| (*id).clone()).collect();
            log::info!("{} machines returned", group.len());
            ctx.txn(Urgency::Work, &txn, Pending::Removed { machines });
        }
    }

    /// The removal of records was answered. After a failure the machines are
    /// deleted again.
    pub(crate) fn on_removed(&mut self, machines: &[MachineId], status: u16) {
        if status != 200 {
            for id in machines {
                self.deleting.remove(id);
            }
        }
    }
}
