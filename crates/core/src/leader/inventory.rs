//! The machines that the cloud lists, compared with the records of machines.

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

/// A machine that has not come up after this many boots never will.
const MAX_BOOT_TIMES: f64 = 3.0;
/// Least pause between two lists, in milliseconds.
const MIN_LIST_INTERVAL_MS: Ms = 2_000;
/// After this many times the list's lag a machine should be listed, and the
/// record of a listed one seen.
const SETTLING_LAGS: u64 = 4;
/// A machine missing from this many lists in a row no longer exists.
const MAX_MISSED_LISTS: u32 = 3;

/// What is known of machines beside their records.
#[derive(Default)]
pub(super) struct MachineInventory {
    /// When the list of machines is read next.
    next_list_at: Ms,
    /// Whether a list is being read.
    is_listing: bool,
    /// Since when machines have been known.
    first_seen_at: HashMap<MachineId, Ms>,
    /// In how many lists in a row machines have been missing.
    missed_lists: HashMap<MachineId, u32>,
    /// Machines whose deletion, or the removal of whose record, is under way.
    pub(super) being_deleted: BTreeSet<MachineId>,
}

impl MachineInventory {
    /// Notes since when machines have been known. A deletion of a machine without a
    /// record may be repeated: the cloud ignores names that it does not know.
    pub(super) fn track_all(&mut self, now: Ms, view: &ClusterView) {
        for id in view.machines.keys() {
            self.first_seen_at.entry(id.clone()).or_insert(now);
        }
        self.being_deleted
            .retain(|id| view.machines.contains_key(id));
    }

    /// The same for machines whose records have changed.
    pub(super) fn track_changed(&mut self, now: Ms, view: &ClusterView, changed: &ChangedMachines) {
        for id in &changed.machines {
            if view.machines.contains_key(id) {
                self.first_seen_at.entry(id.clone()).or_insert(now);
            } else {
                self.being_deleted.remove(id);
            }
        }
    }

    /// For how long a machine has been known, in milliseconds.
    pub(super) fn known_for_ms(&self, now: Ms, id: &MachineId) -> Ms {
        now - self.first_seen_at.get(id).copied().unwrap_or(now)
    }

    /// Counts a list that lacks a machine. Returns whether enough of them do: a list
    /// may be older than those before it.
    fn count_missed_list(&mut self, id: &MachineId) -> bool {
        let missed = self.missed_lists.entry(id.clone()).or_default();
        *missed += 1;
        *missed >= MAX_MISSED_LISTS
    }

    /// Drops what is known of machines that have no record any more.
    fn retain_existing(&mut self, view: &ClusterView, listed: &ListedMachines) {
        self.first_seen_at
            .retain(|id, _| view.machines.contains_key(id) || listed.contains_key(id));
        self.missed_lists
            .retain(|id, _| view.machines.contains_key(id));
    }
}

/// Machines of a complete list, by their names.
type ListedMachines<'a> = BTreeMap<&'a MachineId, &'a ListedMachine>;

impl Leader {
    /// Reads the catalogue and the list of machines when they are due.
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

    /// The cloud has sent a page of its list. After the last one, machines that
    /// failed, are late or are missing are decommissioned, and unknown ones deleted.
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

    /// Decommissions machines that failed, never came up, or are no longer listed.
    fn decommission_listed(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        listed: &ListedMachines,
    ) {
        for (id, machine) in &view.machines {
            let listed = listed.get(id).copied();
            if let Some(why) = self.decommission_reason(ctx, view, id, &machine.record, listed) {
                self.decommission(ctx, view, id, why);
            }
        }
    }

    /// Why a machine is to be decommissioned, as far as a list shows.
    fn decommission_reason(
        &mut self,
        ctx: &Context,
        view: &ClusterView,
        id: &MachineId,
        record: &MachineRecord,
        listed: Option<&ListedMachine>,
    ) -> Option<&'static str> {
        let known_for_ms = self.inventory.known_for_ms(ctx.now, id);
        let max_boot_ms = crate::ms(boot_seconds(view, &record.machine_type) * MAX_BOOT_TIMES);
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

    /// Deletes machines that have no record: they were provisioned by a request that
    /// was carried out late, and nothing was ever started there. Without a valid
    /// lease there may be a successor, whose machines this view does not show.
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
        let unknown: Vec<MachineId> = listed
            .iter()
            .filter(|machine| machine.age_s * 1000.0 > settling_ms)
            .map(|machine| &machine.id)
            .filter(|id| !view.machines.contains_key(*id))
            .filter(|id| !inventory.being_deleted.contains(*id))
            .filter(|id| !inventory.first_seen_at.contains_key(*id))
            .take(MAX_DELETION_COUNT)
            .cloned()
            .collect();
        if !unknown.is_empty() && self.cloud.try_acquire(ctx.now) {
            log::info!("leader: unknown machines deleted, {}", unknown.len());
            self.send_delete(ctx, unknown);
        }
    }
}

/// Reads the list of machines from behind the last one of those that are read.
fn list_machines(ctx: &mut Context, page: Vec<ListedMachine>) {
    let mut path = format!("/machines?most={MAX_LIST_PAGE_SIZE}");
    if let Some(last) = page.last() {
        path.push_str(&format!("&from={}", last.id));
    }
    ctx.call_cloud("GET", path, None, PendingCall::MachineList { page });
}
