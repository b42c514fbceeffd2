//! Which kinds of machines can be had: those that the cloud lacked lately are not
//! requested for a while, and zones where machines boot slowly come last.

use super::MachineKind;
use crate::context::Context;
use crate::leader::boot_seconds;
use crate::leader::inventory::MachineInventory;
use crate::shard::demand::OVERDUE_BOOTS;
use crate::store::view::ClusterView;
use crate::Ms;
use std::collections::BTreeMap;

/// Where a machine was overdue, others are requested only if nothing as good
/// is to be had elsewhere, for this many boots.
const SLOW_ZONE_PENALTY_BOOTS: f64 = 6.0;
/// What a slow zone counts for: more machines than a shard ever holds.
const SLOW_ZONE_PENALTY_MACHINES: u32 = 1 << 20;
/// A boot takes as long as this many of the shortest pauses after a lack of capacity.
const MIN_PAUSES_PER_BOOT: f64 = 5.0;
/// The shortest pause where a type boots at once, in milliseconds.
const MIN_PAUSE_MS: Ms = 1;

/// The pause after a lack of capacity.
#[derive(Clone, Copy, Default)]
struct Backoff {
    until: Ms,
    /// How long it is; the next one is twice as long.
    pause: Ms,
}

/// What is known of the cloud's capacity, by kind of machine.
#[derive(Default)]
pub(super) struct CapacityTracker {
    /// Kinds that the cloud lacked.
    out_of_capacity: BTreeMap<MachineKind, Backoff>,
    /// Kinds of which a machine was overdue, and until when they come last. The zone
    /// with the fewest machines is preferred among equals, so one in which no machine
    /// ever came up would be chosen again and again while others had room.
    slow_until: BTreeMap<MachineKind, Ms>,
}

impl CapacityTracker {
    /// Whether a kind is not to be requested now.
    pub(super) fn is_out_of_capacity(&self, now: Ms, kind: &MachineKind) -> bool {
        let backoff = self.out_of_capacity.get(kind);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Machines that are added to those held of a kind when zones are compared.
    pub(super) fn penalty_machines(&self, now: Ms, kind: &MachineKind) -> u32 {
        let slow_until = self.slow_until.get(kind);
        if slow_until.is_some_and(|until| now < *until) {
            SLOW_ZONE_PENALTY_MACHINES
        } else {
            0
        }
    }

    /// The cloud has provided all machines of a request.
    pub(super) fn on_fully_provisioned(&mut self, kind: &MachineKind) {
        self.out_of_capacity.remove(kind);
    }

    /// The cloud has provided fewer machines than requested. The pause doubles while
    /// there are too few, up to one boot.
    pub(super) fn on_shortage(&mut self, now: Ms, kind: MachineKind, boot_s: f64) {
        let last = self.out_of_capacity.get(&kind).copied().unwrap_or_default();
        let min_pause = crate::ms(boot_s / MIN_PAUSES_PER_BOOT).max(MIN_PAUSE_MS);
        let max_pause = crate::ms(boot_s).max(min_pause);
        let pause = (last.pause * 2).clamp(min_pause, max_pause);
        let until = now + pause;
        self.out_of_capacity.insert(kind, Backoff { until, pause });
    }

    /// Notes the kinds of which machines are overdue.
    pub(super) fn track_overdue(
        &mut self,
        ctx: &Context,
        view: &ClusterView,
        inventory: &MachineInventory,
    ) {
        for (id, machine) in &view.machines {
            let record = &machine.record;
            if record.addr.is_some() {
                continue;
            }
            let boot_s = boot_seconds(view, &record.machine_type);
            if inventory.known_for_ms(ctx.now, id) > crate::ms(boot_s * OVERDUE_BOOTS) {
                let until = ctx.now + crate::ms(boot_s * SLOW_ZONE_PENALTY_BOOTS);
                self.slow_until
                    .insert(MachineKind::of_machine(record), until);
            }
        }
    }
}
