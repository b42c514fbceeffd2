//! Reconciliation of the cloud's list of machines with the machine records:
//! machines that failed, never came up or disappeared are decommissioned, and
//! machines without a record are deleted.

use super::{boot_seconds, Leader};
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::MachineRecord;
use crate::store::view::{ChangedMachines, ClusterView};
use crate::Ms;
use forkshift_wire::cloud::{
    ListedMachine, MachineList, MachineStage, MAX_DELETION_COUNT, MAX_LIST_PAGE_SIZE,
};
use forkshift_wire::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A machine that has not come up after this many boot times of its type is
/// decommissioned.
const MAX_BOOT_TIMES: f64 = 3.0;
/// Shortest interval between two reads of the list, in milliseconds.
const MIN_LIST_INTERVAL_MS: Ms = 2_000;
/// After this many times the lag of the list, a machine with a record is expected
/// in the list, and a machine in the list is expected to have a record.
const SETTLING_LAGS: u64 = 4;
/// A machine that is missing from this many consecutive lists no longer exists.
const MAX_MISSED_LISTS: u32 = 3;

/// State of machines that their records don't hold.
#[derive(Default)]
pub(super) struct MachineInventory {
    /// When the list of machines is read next.
    next_list_at: Ms,
    /// Whether a read of the list is in flight.
    is_listing: bool,
    /// When this leader first saw the record of each machine.
    first_seen_at: HashMap<MachineId, Ms>,
    /// Number of consecutive lists that each machine was missing from.
    missed_lists: HashMap<MachineId, u32>,
    /// Machines whose deletion, or the removal of whose record, is in flight.
    pub(super) being_deleted: BTreeSet<MachineId>,
}

impl MachineInventory {
    /// Records when each machine was first seen. Machines without a record are
    /// dropped from `being_deleted`, as repeating their deletion is safe: the cloud
    /// ignores names that it does not know.
    pub(super) fn track_all(&mut self, now: Ms, view: &ClusterView) {
        for id in view.machines.keys() {
            self.first_seen_at.entry(id.clone()).or_insert(now);
        }
        self.being_deleted
            .retain(|id| view.machines.contains_key(id));
    }

    /// Like [`Self::track_all`], for the machines whose records have changed.
    pub(super) fn track_changed(&mut self, now: Ms, view: &ClusterView, changed: &ChangedMachines) {
        for id in &changed.machines {
            if view.machines.contains_key(id) {
                self.first_seen_at.entry(id.clone()).or_insert(now);
            } else {
                self.being_deleted.remove(id);
            }
        }
    }

    /// Time since a machine's record was first seen, in milliseconds; 0 if never.
    pub(super) fn known_for_ms(&self, now: Ms, id: &MachineId) -> Ms {
        now - self.first_seen_at.get(id).copied().unwrap_or(now)
    }

    /// Counts a list that a machine is missing from. Returns whether the machine was
    /// missing from enough consecutive lists. One list is no proof, as a list may be
    /// older than the one before it.
    fn count_missed_list(&mut self, id: &MachineId) -> bool {
        let missed = self.missed_lists.entry(id.clone()).or_default();
        *missed += 1;
        *missed >= MAX_MISSED_LISTS
    }

    /// Drops the state of machines that no longer have a record. The time at which a
    /// machine was first seen is kept while the machine is listed.
    fn retain_existing(&mut self, view: &ClusterView, listed: &ListedMachines) {
        self.first_seen_at
            .retain(|id, _| view.machines.contains_key(id) || listed.contains_key(id));
        self.missed_lists
            .retain(|id, _| view.machines.contains_key(id));
    }
}

/// Machines of a complete list, by ID.
type ListedMachines<'a> = BTreeMap<&'a MachineId, &'a ListedMachine>;

impl Leader {
    /// Sends the reads of the catalogue and of the list of machines that are due.
    pub(super) fn poll_cloud(&mut self, ctx: &mut Context) {
        self.poll_catalog(ctx);
        let is_due = !self.inventory.is_listing && ctx.now >= self.inventory.next_list_at;
        if is_due && self.cloud.try_acquire(ctx.now) {
            self.inventory.is_listing = true;
            self.inventory.next_list_at =
                ctx.now + ctx.config.list_lag_ms.max(MIN_LIST_INTERVAL_MS);
            list_machines(ctx, Vec::new());
        }
    }

    /// Handles a page of the cloud's list of machines; `machines` are those of the
    /// earlier pages. After the last page, the list is compared with the records.
    pub(crate) fn on_machine_list(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        mut machines: Vec<ListedMachine>,
        status: u16,
        body: &[u8],
    ) {
        self.inventory.is_listing = false;
        if self.cloud.pause_if_unavailable(ctx.now, status, body) {
            return;
        }
        let page: Option<MachineList> = serde_json::from_slice(body).ok();
        let Some(page) = page.filter(|_| status == 200) else {
            return;
        };
        machines.extend(page.machines);
        if page.has_next && !machines.is_empty() {
            self.inventory.is_listing = true;
            list_machines(ctx, machines);
            return;
        }
        let listed: ListedMachines = machines.iter().map(|m| (&m.id, m)).collect();
        self.decommission_listed(ctx, view, &listed);
        self.delete_unrecorded(ctx, view, &machines);
        self.inventory.retain_existing(view, &listed);
    }

    /// Decommissions machines that failed, never came up, or disappeared from the list.
    fn decommission_listed(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        listed: &ListedMachines,
    ) {
        for (id, machine) in &view.machines {
            let listed = listed.get(id).copied();
            if let Some(reason) = self.decommission_reason(ctx, view, id, &machine.record, listed) {
                self.decommission(ctx, view, id, reason);
            }
        }
    }

    /// The reason to decommission a machine, given its entry in the list. None if
    /// the machine stays.
    fn decommission_reason(
        &mut self,
        ctx: &Context,
        view: &ClusterView,
        id: &MachineId,
        record: &MachineRecord,
        listed: Option<&ListedMachine>,
    ) -> Option<&'static str> {
        let known_for_ms = self.inventory.known_for_ms(ctx.now, id);
        let max_boot_ms =
            crate::seconds_to_ms(boot_seconds(view, &record.machine_type) * MAX_BOOT_TIMES);
        let is_overdue = record.addr.is_none() && known_for_ms > max_boot_ms;
        match listed {
            Some(machine) if machine.stage == MachineStage::Failed => Some("it failed"),
            _ if is_overdue => Some("it never came up"),
            Some(_) => {
                self.inventory.missed_lists.remove(id);
                None
            }
            None if known_for_ms > ctx.config.list_lag_ms * SETTLING_LAGS => {
                let is_removed = self.inventory.count_missed_list(id);
                is_removed.then_some("it is gone from the list")
            }
            None => None,
        }
    }

    /// Deletes listed machines that have no record. Such a machine comes from a
    /// provisioning request that the cloud carried out late, and no task was ever
    /// started on it.
    ///
    /// No machine is deleted while an intent exists, as its machines are not
    /// recorded yet, or without a valid lease, as the view may lack the machines of
    /// a new leader.
    fn delete_unrecorded(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        listed: &[ListedMachine],
    ) {
        let has_intents =
            !view.provisioning_intents.is_empty() || self.provisioning.is_writing_intents();
        if !ctx.has_valid_lease || has_intents {
            return;
        }
        let settling_ms = ctx.config.list_lag_ms as f64 * SETTLING_LAGS as f64;
        let inventory = &self.inventory;
        let unrecorded: Vec<MachineId> = listed
            .iter()
            .filter(|machine| machine.age_s * 1000.0 > settling_ms)
            .map(|machine| &machine.id)
            .filter(|id| !view.machines.contains_key(*id))
            .filter(|id| !inventory.being_deleted.contains(*id))
            .filter(|id| !inventory.first_seen_at.contains_key(*id))
            .take(MAX_DELETION_COUNT)
            .cloned()
            .collect();
        if !unrecorded.is_empty() && self.cloud.try_acquire(ctx.now) {
            log::info!(
                "leader: deletion of machines without a record requested, machines={}",
                unrecorded.len()
            );
            self.send_delete(ctx, unrecorded);
        }
    }
}

/// Requests the next page of the list. `page` holds the machines read so far; the
/// next page begins after the last of them.
fn list_machines(ctx: &mut Context, page: Vec<ListedMachine>) {
    let mut path = format!("/machines?most={MAX_LIST_PAGE_SIZE}");
    if let Some(last) = page.last() {
        path.push_str(&format!("&from={}", last.id));
    }
    ctx.call_cloud("GET", path, None, PendingCall::MachineList { page });
}
