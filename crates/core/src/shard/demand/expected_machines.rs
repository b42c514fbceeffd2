//! Adds hosts for machines on which pending tasks may be placed tentatively although they
//! are not usable now: draining machines, booting machines, and machines that are being
//! provisioned.

use crate::context::Context;
use crate::records::{capacity_of, ProvisioningIntent};
use crate::shard::machine::Machine;
use crate::shard::scheduling::{machine_snapshot, SECONDS_PER_HOUR};
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_sched::MachineSnapshot;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// A machine that has not reported after this many boot times is overdue: pending tasks
/// no longer count on it, and its shard requests another machine.
pub(crate) const OVERDUE_BOOTS: f64 = 1.5;

/// The machine that each host stands for. Usable machines come first, then draining ones,
/// booting ones, and those that are being provisioned.
pub(crate) struct ExpectedMachines<'a> {
    /// Machines on which tasks may be placed.
    pub(crate) usable: &'a [MachineId],
    /// Draining machines.
    pub(crate) draining: Vec<MachineId>,
    /// Booting machines that are not overdue.
    pub(crate) booting: Vec<MachineId>,
}

impl ExpectedMachines<'_> {
    /// The machine that a host stands for, if it may join a warm pool: it is usable or
    /// booting.
    pub(crate) fn pool_candidate(&self, host: usize) -> Option<&MachineId> {
        let first_booting = self.usable.len() + self.draining.len();
        if host < self.usable.len() {
            return self.usable.get(host);
        }
        let booting = host.checked_sub(first_booting)?;
        self.booting.get(booting)
    }

    /// The index of the first host that stands for a machine that is being provisioned.
    pub(crate) fn first_provisioned_host(&self) -> usize {
        self.usable.len() + self.draining.len() + self.booting.len()
    }
}

impl Shard {
    /// Adds hosts for draining and booting machines, and for machines of this shard that
    /// are being provisioned.
    pub(super) fn add_expected_machines<'a>(
        &self,
        ctx: &mut Context,
        view: &ClusterView,
        usable: &'a [MachineId],
        hosts: &mut Vec<MachineSnapshot>,
    ) -> ExpectedMachines<'a> {
        let draining = self.add_draining_machines(hosts);
        let booting = self.add_booting_machines(ctx, hosts);
        self.add_provisioning_intents(ctx, view, hosts);
        ExpectedMachines {
            usable,
            draining,
            booting,
        }
    }

    fn add_draining_machines(&self, hosts: &mut Vec<MachineSnapshot>) -> Vec<MachineId> {
        let draining = self.machines.values().filter(|m| m.is_draining);
        let mut ids = Vec::new();
        for machine in draining {
            ids.push(machine.id.clone());
            hosts.push(machine_snapshot(machine));
        }
        ids
    }

    fn add_booting_machines(
        &self,
        ctx: &Context,
        hosts: &mut Vec<MachineSnapshot>,
    ) -> Vec<MachineId> {
        let mut ids = Vec::new();
        for machine in self.machines.values() {
            let is_booting =
                machine.last_heartbeat_at.is_none() && machine.decommission_reason.is_none();
            if is_booting && ctx.now < overdue_at(machine) {
                hosts.push(booting_host(machine, ctx.now));
                ids.push(machine.id.clone());
            }
        }
        ids
    }

    fn add_provisioning_intents(
        &self,
        ctx: &mut Context,
        view: &ClusterView,
        hosts: &mut Vec<MachineSnapshot>,
    ) {
        for intent in view.provisioning_intents.values().map(|i| &i.record) {
            let Some(machine_type) = view.machine_types.get(&intent.machine_type) else {
                continue;
            };
            let shards = intent.shards_in_turn().into_iter();
            let unplaced = shards.skip(intent.recorded_count as usize);
            for _ in unplaced.filter(|shard| *shard == self.id) {
                hosts.push(provisioned_host(ctx, intent, &machine_type.record));
            }
        }
    }
}

/// The time after which a machine that has not reported is overdue.
pub(crate) fn overdue_at(machine: &Machine) -> Ms {
    machine.known_since + (machine.boot_ms as f64 * OVERDUE_BOOTS) as Ms
}

/// A snapshot of a booting machine: all of its capacity is free after the rest of its
/// boot time.
fn booting_host(machine: &Machine, now: Ms) -> MachineSnapshot {
    let elapsed = now.saturating_sub(machine.known_since);
    let boot_remaining_ms = machine.boot_ms.saturating_sub(elapsed);
    MachineSnapshot {
        free: machine.capacity,
        startup_delay_s: boot_remaining_ms as f64 / 1000.0,
        ..machine_snapshot(machine)
    }
}

/// A snapshot of a machine that is being provisioned: all of its capacity is free after a
/// full boot time.
fn provisioned_host(
    ctx: &mut Context,
    intent: &ProvisioningIntent,
    machine_type: &MachineType,
) -> MachineSnapshot {
    MachineSnapshot {
        free: capacity_of(machine_type),
        total: capacity_of(machine_type),
        machine_type: ctx.types_and_zones.intern(&intent.machine_type),
        zone: ctx.types_and_zones.intern(&intent.zone),
        is_spot: intent.spot,
        price_per_s: machine_type.price_per_hour / SECONDS_PER_HOUR,
        fetch_gb_per_s: machine_type.fetch_gb_per_s,
        images: BTreeSet::new(),
        is_held_for_aged_job: false,
        startup_delay_s: machine_type.boot_s,
        reserved_for: None,
    }
}
