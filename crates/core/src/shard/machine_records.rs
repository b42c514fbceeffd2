//! The machines of a shard: they follow the records that the view shows, are
//! given up, and change to another shard.

use super::Shard;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::pools::{add_row, MachinePool};
use crate::records::{capacity_of, machine_key, MachineRecord};
use crate::shard::failure_attribution::MachineFailures;
use crate::shard::machine::Machine;
use crate::store::queue::Urgency;
use crate::store::view::{ChangedMachines, ClusterView};
use forkshift_links::{MachineLink, Route};
use forkshift_pools::{Ended, Interval};
use forkshift_sched::Resources;
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::{MachineId, TaskRef};
use serde_json::to_value;
use std::collections::{BTreeMap, BTreeSet};

impl Shard {
    /// Follows the view: new machines, changed records, machines that are gone.
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
        let ours = view.machines.get(id).filter(|m| m.record.shard == self.id);
        let Some(versioned) = ours else {
            self.remove_machine(ctx, id);
            return;
        };
        self.recheck.touch(id);
        if let Some(machine) = self.machines.get_mut(id) {
            if machine.version != versioned.version {
                machine.version = versioned.version;
                machine.transfer_version = None;
                if versioned.record.decommission_reason.is_some() {
                    machine.decommission_reason = versioned.record.decommission_reason.clone();
                }
                machine.addr = versioned.record.addr.clone().or(machine.addr.take());
                machine.pool.follow(&versioned.record);
            }
        } else if let Some(machine) =
            self.new_machine(ctx, view, id, &versioned.record, versioned.version)
        {
            self.machines.insert(id.clone(), machine);
        }
    }

    /// A machine of which nothing is known but its record.
    fn new_machine(
        &self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
        record: &MachineRecord,
        version: u64,
    ) -> Option<Machine> {
        let of_type = &view.machine_types.get(&record.machine_type)?.record;
        let hourly = if record.spot {
            of_type.spot_price.unwrap_or(of_type.price)
        } else {
            of_type.price
        };
        Some(Machine {
            id: id.clone(),
            machine_type: ctx.places.number(&record.machine_type),
            zone: ctx.places.number(&record.zone),
            spot: record.spot,
            total: capacity_of(of_type),
            price: hourly / 3600.0,
            fetch_rate: of_type.fetch_gb_per_s,
            cache_gb: of_type.cache_gb,
            boot_ms: crate::ms(of_type.boot_s),
            addr: record.addr.clone(),
            decommission_reason: record.decommission_reason.clone(),
            version,
            is_writing_record: false,
            record_required_revision: 0,
            incarnation: 0,
            heartbeat_sequence: 0,
            acknowledged_token: 0,
            token: self.first_token(record),
            unacknowledged_since: None,
            last_heartbeat_at: None,
            link: MachineLink::default(),
            known_since: ctx.now,
            reclaimed_at: None,
            has_call_in_flight: false,
            retry_at: 0,
            has_unanswered_call: false,
            must_send_token: record.addr.is_some(),
            tasks: BTreeSet::new(),
            used: Resources::default(),
            orphans: Vec::new(),
            exited: Vec::new(),
            exit_versions: BTreeMap::new(),
            images: record
                .images
                .iter()
                .map(|(name, gb)| (ctx.images.number(name), *gb))
                .collect(),
            failures: MachineFailures::default(),
            full_until: 0,
            transfer_version: None,
            is_vacating: false,
            is_deleted: false,
            next_delete_at: 0,
            drain_retry_at: 0,
            is_draining: false,
            idle_since: None,
            pool: MachinePool::new(record),
        })
    }

    /// The machine's record is gone: the cloud has answered that it was
    /// deleted, so nothing that was on it is left.
    fn remove_machine(&mut self, ctx: &Context, id: &MachineId) {
        if !self.machines.contains_key(id) {
            return;
        }
        self.unbind_all(ctx, id);
        self.machines.remove(id);
        self.recheck.forget(id);
    }

    /// Notes by which way a machine's report has come.
    pub(crate) fn note_route(&mut self, ctx: &Context, id: &MachineId, route: Route) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let timing = ctx.config.link_timing();
        let was_relayed = machine.link.is_relayed();
        machine.link.on_heartbeat(ctx.now, route, &timing);
        if was_relayed != machine.link.is_relayed() {
            log::info!("machine {id}: reports are {route:?}");
        }
        if machine.link.is_probe_due(ctx.now) {
            // Any answered call will do.
            machine.must_send_token = true;
        }
    }

    /// Nothing that was on a machine is left.
    pub(crate) fn unbind_all(&mut self, ctx: &Context, id: &MachineId) {
        let tasks = self.machines.get(id).map(|m| m.tasks.clone());
        for task in tasks.into_iter().flatten() {
            self.unbind(&task.job, task.index);
        }
        self.schedule_round_soon(ctx);
    }

    /// Gives a machine that the leader asks for to another shard, if it is
    /// free. From the moment the write is sent nothing is placed there until
    /// the record has changed: a write without an answer may land late, and
    /// the other shard then owns whatever is on the machine.
    pub(crate) fn transfer_machine(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
    ) {
        let Some(to) = view.machines.get(id).and_then(|m| m.record.reassign_to) else {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.is_vacating = false;
            }
            return;
        };
        let names = self.image_names(ctx, id);
        let is_offered = self.last_demand_sent.reclaimable_machines.contains(id)
            || self.last_demand_sent.pool_machines.contains(id);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.is_writing_record
            || view.revision < machine.record_required_revision
            || to == self.id
        {
            return;
        }
        let free = machine.tasks.is_empty()
            && machine.exited.is_empty()
            && machine.orphans.is_empty()
            && !machine.has_call_in_flight
            && !machine.has_unanswered_call
            && machine.decommission_reason.is_none()
            && (machine.pool.membership.is_none() || is_offered)
            && machine.is_confirmed();
        let floor = machine.token;
        if free || machine.transfer_version.is_some() {
            machine.transfer_version = Some(machine.version);
            let at_ms = ctx.wall_clock_ms;
            self.update_machine_record_with(ctx, view, id, |record| {
                record.shard = to;
                record.reassign_to = None;
                record.token_floor = floor;
                record.images = names;
                record.close_membership(id, at_ms, Err(Ended::Reclaimed))
            });
        } else if !self.vacate(ctx, id) {
            self.update_machine_record(ctx, view, id, |record| record.reassign_to = None);
        }
    }

    /// Names and sizes of the images that are on a machine.
    fn image_names(&self, ctx: &Context, id: &MachineId) -> Vec<(String, f64)> {
        let images = self.machines.get(id).map(|m| m.images.as_slice());
        let images = images.unwrap_or_default().iter();
        let mut names: Vec<(String, f64)> = images
            .filter_map(|(i, gb)| Some((ctx.images.name(*i)?.to_owned(), *gb)))
            .collect();
        // They save fetches, and nothing rests on them.
        let most = ctx.limits.value_bytes / 2;
        let size = |names: &Vec<(String, f64)>| serde_json::to_vec(names).map_or(0, |j| j.len());
        while size(&names) > most {
            names.truncate(names.len() / 2);
        }
        names
    }

    /// Writes a machine's record, on condition that it and the shard are as we know them.
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

    /// The same, with a row of a pool's account that the change ends.
    pub(crate) fn update_machine_record_with(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
        change: impl FnOnce(&mut MachineRecord) -> Option<Interval>,
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
        // Only a takeover needs an address; all else frees a machine.
        let moves = record.shard != versioned.record.shard
            || record.decommission_reason != versioned.record.decommission_reason;
        let urgency = if moves {
            Urgency::Tasks
        } else {
            Urgency::Background
        };
        let key = machine_key(id);
        let mut transaction = Transaction {
            preconditions: vec![
                self.held_precondition(),
                Precondition {
                    key: key.clone(),
                    version: versioned.version,
                },
            ],
            writes: vec![Write::put(key, to_value(record).unwrap_or_default())],
        };
        if let Some(row) = row {
            add_row(&mut transaction, row.key(), &row);
        }
        ctx.transact(
            urgency,
            &transaction,
            PendingCall::MachineRecordWrite(id.clone()),
        );
    }

    /// Gives a machine up: nothing more is placed there, and the leader
    /// deletes it once the record says so.
    pub(crate) fn decommission(&mut self, id: &MachineId, why: &str) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.decommission_reason.is_none() {
            log::info!(
                "machine {id}: condemned, {why}, {} tasks",
                machine.tasks.len()
            );
            machine.decommission_reason = Some(why.to_owned());
            self.recheck.touch(id);
        }
    }

    /// Writes that a machine is given up, until the record says so, and takes
    /// away from it what was never sent there.
    pub(crate) fn record_decommission(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let Some(why) = machine.decommission_reason.clone() else {
            return;
        };
        let tasks: Vec<TaskRef> = machine.tasks.iter().cloned().collect();
        self.unbind_unsent_tasks(tasks);
        let recorded = view.machines.get(id);
        if recorded.is_some_and(|m| m.record.decommission_reason.is_none()) {
            // The leader may remove the record at once, and knows less of when it ended.
            let (at_ms, ended) = self.end_of_membership(ctx, id);
            self.update_machine_record_with(ctx, view, id, |record| {
                record.decommission_reason = Some(why);
                record.close_membership(id, at_ms, Err(ended))
            });
        }
    }
}
