//! What the cloud offers and what it lists: the catalogue of machine types is
//! written to the state service, and the list of machines is compared with
//! the records of machines.

use super::Leader;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::{type_key, MachineRecord};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::cloud::{Catalog, Listed, MachineList, MachineStage, DELETE_MOST, LIST_MOST};
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::to_value;
use std::collections::BTreeMap;

/// A machine that has not come up after this many boots never will.
const BOOTS_MOST: f64 = 3.0;
/// Pause before the catalogue is read again if no answer came.
const CATALOG_RETRY: Ms = 5_000;
/// Pause between two looks at the prices.
const CATALOG_PAUSE: Ms = 60_000;
/// The same while a type's record is not seen yet.
const CATALOG_UNKNOWN_PAUSE: Ms = 1_000;
/// Least pause between two lists.
const LIST_PAUSE_LEAST: Ms = 2_000;
/// Boot time that is assumed of a type that is not known, in seconds.
pub(super) const BOOT_S_UNKNOWN: f64 = 60.0;
/// After this many times the list's lag a machine should be listed, and the
/// record of a listed one seen.
const SETTLED_LAGS: u64 = 4;
/// A machine missing from this many lists in a row is gone.
const ABSENT_LISTS: u32 = 3;

impl Leader {
    /// Reads the catalogue and the list of machines when they are due.
    pub(super) fn poll_cloud(&mut self, ctx: &mut Context) {
        if self.lacks_prices(ctx) {
            self.next_catalog_at = self.next_catalog_at.min(ctx.now + CATALOG_UNKNOWN_PAUSE);
        }
        if ctx.now >= self.next_catalog_at && self.may_call(ctx) {
            self.next_catalog_at = ctx.now + CATALOG_RETRY;
            ctx.call_cloud("GET", "/catalog".to_owned(), None, PendingCall::Catalog);
        }
        if !self.is_listing && ctx.now >= self.next_list_at && self.may_call(ctx) {
            self.is_listing = true;
            self.next_list_at = ctx.now + ctx.config.list_lag_ms.max(LIST_PAUSE_LEAST);
            self.list_machines(ctx, Vec::new());
        }
    }

    /// Reads the list of machines from behind the last one of `page`.
    fn list_machines(&mut self, ctx: &mut Context, page: Vec<Listed>) {
        let mut path = format!("/machines?most={LIST_MOST}");
        if let Some(last) = page.last() {
            path.push_str(&format!("&from={}", last.id));
        }
        ctx.call_cloud("GET", path, None, PendingCall::MachineList { page });
    }

    /// The cloud has sent its catalogue: types that changed are written.
    pub(crate) fn on_catalog(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        status: u16,
        body: &[u8],
    ) {
        if self.cloud_unavailable(ctx, status, body) || status != 200 {
            return;
        }
        let catalog: Catalog = match serde_json::from_slice(body) {
            Ok(catalog) => catalog,
            Err(e) => {
                log::error!("the cloud's catalogue is not understood: {e}");
                return;
            }
        };
        // Prices move all the time; they need not be followed closely. But
        // until all types are known nothing can be accepted, so a write of
        // them that fails must not wait for the next look at the prices.
        let all_known = catalog
            .types
            .iter()
            .all(|t| view.machine_types.contains_key(&t.name));
        self.next_catalog_at = ctx.now
            + if all_known {
                CATALOG_PAUSE
            } else {
                CATALOG_UNKNOWN_PAUSE
            };
        self.record_prices(ctx, view, &catalog.types);
        for t in catalog.types {
            let known = view.machine_types.get(&t.name);
            if known.is_some_and(|k| k.record == t) {
                continue;
            }
            let key = type_key(&t.name);
            let transaction = Transaction {
                preconditions: self.preconditions(
                    view,
                    key.clone(),
                    known.map_or(0, |k| k.version),
                ),
                writes: vec![Write::put(key, to_value(t).unwrap_or_default())],
            };
            ctx.transact(Urgency::Tasks, &transaction, PendingCall::Housekeeping);
        }
    }

    /// The cloud has sent a page of its list. After the last one, machines that
    /// failed, are late or are missing are given up, and unknown ones returned.
    pub(crate) fn on_machine_list(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        mut page: Vec<Listed>,
        status: u16,
        body: &[u8],
    ) {
        self.is_listing = false;
        if self.cloud_unavailable(ctx, status, body) {
            return;
        }
        let list: Option<MachineList> = serde_json::from_slice(body).ok();
        let Some(list) = list.filter(|_| status == 200) else {
            return;
        };
        page.extend(list.machines);
        if list.more && !page.is_empty() {
            self.is_listing = true;
            self.list_machines(ctx, page);
            return;
        }
        let listed: BTreeMap<&MachineId, &Listed> = page.iter().map(|m| (&m.id, m)).collect();
        self.decommission_listed(ctx, view, &listed);
        self.delete_unknown(ctx, view, &page);
        self.first_seen_at
            .retain(|id, _| view.machines.contains_key(id) || listed.contains_key(id));
        self.missing_from_lists
            .retain(|id, _| view.machines.contains_key(id));
    }

    /// Gives up machines that failed, never came up, or are gone from the list.
    fn decommission_listed(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        listed: &BTreeMap<&MachineId, &Listed>,
    ) {
        for (id, machine) in &view.machines {
            let listed = listed.get(id).copied();
            if let Some(why) = self.decommission_reason(ctx, view, id, &machine.record, listed) {
                self.decommission(ctx, view, id, why);
            }
        }
    }

    /// Why a machine is to be given up, as far as a list shows.
    fn decommission_reason(
        &mut self,
        ctx: &Context,
        view: &ClusterView,
        id: &MachineId,
        record: &MachineRecord,
        listed: Option<&Listed>,
    ) -> Option<&'static str> {
        let known_for = ctx.now - self.first_seen_at.get(id).copied().unwrap_or(ctx.now);
        let of_type = view.machine_types.get(&record.machine_type);
        let boot_s = of_type.map_or(BOOT_S_UNKNOWN, |t| t.record.boot_s);
        let late = record.addr.is_none() && known_for > crate::ms(boot_s * BOOTS_MOST);
        match listed {
            Some(l) if l.stage == MachineStage::Failed => Some("it failed"),
            _ if late => Some("it never came up"),
            Some(_) => {
                self.missing_from_lists.remove(id);
                None
            }
            None if known_for > ctx.config.list_lag_ms * SETTLED_LAGS => {
                // Lists may be older than those before them.
                let lists = self.missing_from_lists.entry(id.clone()).or_default();
                *lists += 1;
                (*lists >= ABSENT_LISTS).then_some("it is gone from the list")
            }
            None => None,
        }
    }

    /// Returns machines that nobody rented as far as we know: they were rented
    /// by a request that came late, and nothing was ever started there. Without
    /// a valid lease we may have a successor, whose machines our view does not
    /// show.
    fn delete_unknown(&mut self, ctx: &mut Context, view: &ClusterView, listed: &[Listed]) {
        let no_intents =
            view.provisioning_intents.is_empty() && self.intents_being_written.is_empty();
        if !ctx.has_valid_lease || !no_intents {
            return;
        }
        let settled_ms = ctx.config.list_lag_ms as f64 * SETTLED_LAGS as f64;
        let unknown: Vec<MachineId> = listed
            .iter()
            .filter(|m| {
                !view.machines.contains_key(&m.id) && !self.machines_being_deleted.contains(&m.id)
            })
            .filter(|m| m.age_s * 1000.0 > settled_ms)
            .filter(|m| !self.first_seen_at.contains_key(&m.id))
            .map(|m| m.id.clone())
            .take(DELETE_MOST)
            .collect();
        if !unknown.is_empty() && self.may_call(ctx) {
            log::info!("{} unknown machines are returned", unknown.len());
            self.send_delete(ctx, unknown);
        }
    }
}
