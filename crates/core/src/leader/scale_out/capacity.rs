//! Availability of the kinds of machines. A kind that the cloud lacked is not
//! requested again until its backoff ends, and zones in which machines are overdue
//! are chosen last.

use super::MachineKind;
use crate::context::Context;
use crate::leader::boot_seconds;
use crate::leader::inventory::MachineInventory;
use crate::shard::demand::OVERDUE_BOOTS;
use crate::store::view::ClusterView;
use crate::Ms;
use std::collections::BTreeMap;

/// For this many boot times after a machine was overdue, its kind counts as slow and
/// is requested only if no other zone offers an equivalent kind.
const SLOW_ZONE_PENALTY_BOOTS: f64 = 6.0;
/// Number of machines added to a slow zone's count when zones are compared: more
/// than a shard ever holds.
const SLOW_ZONE_PENALTY_MACHINES: u32 = 1 << 20;
/// The first pause after a lack of capacity is the type's boot time divided by this.
const MIN_PAUSES_PER_BOOT: f64 = 5.0;
/// Lower bound of a pause, in milliseconds, for types with a boot time near 0.
const MIN_PAUSE_MS: Ms = 1;

/// Backoff after a lack of capacity.
#[derive(Clone, Copy, Default)]
struct Backoff {
    until: Ms,
    /// Length of the current pause, in milliseconds; the next one is twice as long.
    pause: Ms,
}

/// Tracks shortages and slow boots of the cloud, by kind of machine.
#[derive(Default)]
pub(super) struct CapacityTracker {
    /// Kinds that the cloud lacked, with their backoff.
    out_of_capacity: BTreeMap<MachineKind, Backoff>,
    /// Kinds of which a machine was overdue, and until when they are chosen last.
    /// Among equivalent offers the zone with the fewest machines is preferred, so
    /// without this penalty a zone in which no machine ever comes up would be chosen
    /// repeatedly while other zones had capacity.
    slow_until: BTreeMap<MachineKind, Ms>,
}

impl CapacityTracker {
    /// Whether a kind must not be requested now, as the cloud lacked it recently.
    pub(super) fn is_out_of_capacity(&self, now: Ms, kind: &MachineKind) -> bool {
        let backoff = self.out_of_capacity.get(kind);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Number of machines to add to the count of a zone when zones are compared; 0
    /// unless the kind is slow.
    pub(super) fn penalty_machines(&self, now: Ms, kind: &MachineKind) -> u32 {
        let slow_until = self.slow_until.get(kind);
        if slow_until.is_some_and(|until| now < *until) {
            SLOW_ZONE_PENALTY_MACHINES
        } else {
            0
        }
    }

    /// Ends the backoff of a kind after the cloud has provided all machines of a request.
    pub(super) fn on_fully_provisioned(&mut self, kind: &MachineKind) {
        self.out_of_capacity.remove(kind);
    }

    /// Pauses requests for a kind after the cloud has provided fewer machines than
    /// requested. The pause doubles with each shortage, up to the boot time `boot_s`.
    pub(super) fn on_shortage(&mut self, now: Ms, kind: MachineKind, boot_s: f64) {
        let last = self.out_of_capacity.get(&kind).copied().unwrap_or_default();
        let min_pause = crate::seconds_to_ms(boot_s / MIN_PAUSES_PER_BOOT).max(MIN_PAUSE_MS);
        let max_pause = crate::seconds_to_ms(boot_s).max(min_pause);
        let pause = (last.pause * 2).clamp(min_pause, max_pause);
        let until = now + pause;
        self.out_of_capacity.insert(kind, Backoff { until, pause });
    }

    /// Marks the kinds of overdue machines as slow.
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
            if inventory.known_for_ms(ctx.now, id) > crate::seconds_to_ms(boot_s * OVERDUE_BOOTS) {
                let until = ctx.now + crate::seconds_to_ms(boot_s * SLOW_ZONE_PENALTY_BOOTS);
                self.slow_until
                    .insert(MachineKind::of_machine(record), until);
            }
        }
    }
}
