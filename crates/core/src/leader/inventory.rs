//! What the cloud offers and what it lists: the catalogue of machine types is
//! written to the state service, and the list of machines is compared with
//! the records of machines.

use super::Leader;
use crate::context::{Context, Pending};
use crate::records::type_key;
use crate::store::Urgency;
use crate::view::View;
use forkshift_wire::cloud::{Catalog, Listed, MachineList, MachineStage, DELETE_MOST, LIST_MOST};
use forkshift_wire::state::{Txn, Write};
use forkshift_wire::MachineId;
use serde_json::to_value;
use std::collections::BTreeMap;

/// A machine that has not come up after this many boots never will.
const BOOTS_MOST: f64 = 3.0;
/// A machine missing from this many lists in a row is gone.
const ABSENT_LISTS: u32 = 3;

impl Leader {
    /// Reads the catalogue and the list of machines when they are due.
    pub(super) fn look(&mut self, ctx: &mut Context) {
        if ctx.now >= self.catalog_at && self.may_call(ctx) {
            self.catalog_at = ctx.now + 5_000;
            ctx.cloud("GET", "/catalog".to_owned(), None, Pending::Catalog);
        }
        if !self.listing && ctx.now >= self.list_at && self.may_call(ctx) {
            self.listing = true;
            self.list_at = ctx.now + ctx.cfg.list_lag_ms.max(2_000);
            self.list(ctx, Vec::new());
        }
    }

    /// Reads the list of machines from behind the last one of `page`.
    fn list(&mut self, ctx: &mut Context, page: Vec<Listed>) {
        let mut path = format!("/machines?most={LIST_MOST}");
        if let Some(last) = page.last() {
            path.push_str(&format!("&from={}", last.id));
        }
        ctx.cloud("GET", path, None, Pending::MachineList { page });
    }

    /// The cloud has sent its catalogue: types that changed are written.
    pub(crate) fn on_catalog(&mut self, ctx: &mut Context, view: &View, status: u16, body: &[u8]) {
        if self.trouble(ctx, status, body) || status != 200 {
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
            .all(|t| view.types.contains_key(&t.name));
        self.catalog_at = ctx.now + if all_known { 60_000 } else { 1_000 };
        for t in catalog.types {
            let known = view.types.get(&t.name);
            if known.is_some_and(|k| k.rec == t) {
                continue;
            }
            let key = type_key(&t.name);
            let txn = Txn {
                conds: self.conds(view, key.clone(), known.map_or(0, |k| k.version)),
                writes: vec![Write::put(key, to_value(t).unwrap_or_default())],
            };
            ctx.txn(Urgency::Work, &txn, Pending::Housekeeping);
        }
    }

    /// The cloud has sent a page of its list. After the last one, machines that
    /// failed, are late or are missing are given up, and unknown ones returned.
    pub(crate) fn on_list(
        &mut self,
        ctx: &mut Context,
        view: &View,
        mut page: Vec<Listed>,
        status: u16,
        body: &[u8],
    ) {
        self.listing = false;
        if self.trouble(ctx, status, body) {
            return;
        }
        let list: Option<MachineList> = serde_json::from_slice(body).ok();
        let Some(list) = list.filter(|_| status == 200) else {
            return;
        };
        page.extend(list.machines);
        if list.more && !page.is_empty() {
            self.listing = true;
            self.list(ctx, page);
            return;
        }
        let listed: BTreeMap<&MachineId, &Listed> = page.iter().map(|m| (&m.id, m)).collect();
        let mut condemn: Vec<(MachineId, &str)> = Vec::new();
        for (id, machine) in &view.machines {
            let known_for = ctx.now - self.seen.get(id).copied().unwrap_or(ctx.now);
            let boot = view
                .types
                .get(&machine.rec.machine_type)
                .map_or(60.0, |t| t.rec.boot_s);
            let up = machine.rec.addr.is_some();
            let late = !up && known_for > crate::ms(boot * BOOTS_MOST);
            match listed.get(id) {
                Some(l) if l.stage == MachineStage::Failed => {
                    condemn.push((id.clone(), "it failed"))
                }
                _ if late => condemn.push((id.clone(), "it never came up")),
                Some(_) => {
                    self.absent.remove(id);
                }
                None if known_for > ctx.cfg.list_lag_ms * 4 => {
                    // Lists may be older than those before them.
                    let n = self.absent.entry(id.clone()).or_default();
                    *n += 1;
                    if *n >= ABSENT_LISTS {
                        condemn.push((id.clone(), "it is gone from the list"));
                    }
                }
                None => {}
            }
        }
        for (id, why) in condemn {
            self.condemn(ctx, view, &id, why);
        }
        // What nobody rented as far as we know was rented by a request that
        // came late. Nothing was ever started there.
        // Without a right we may have a successor, whose machines our view
        // does not show.
        let settled =
            ctx.entitled && view.rental_intents.is_empty() && self.intents_being_written.is_empty();
        let unknown: Vec<MachineId> = page
            .iter()
            .filter(|m| !view.machines.contains_key(&m.id) && !self.deleting.contains(&m.id))
            .filter(|m| settled && m.age_s * 1000.0 > ctx.cfg.list_lag_ms as f64 * 4.0)
            .filter(|m| !self.seen.contains_key(&m.id))
            .map(|m| m.id.clone())
            .take(DELETE_MOST)
            .collect();
        if !unknown.is_empty() && self.may_call(ctx) {
            log::info!("{} unknown machines are returned", unknown.len());
            self.send_delete(ctx, unknown);
        }
        self.seen
            .retain(|id, _| view.machines.contains_key(id) || listed.contains_key(id));
        self.absent.retain(|id, _| view.machines.contains_key(id));
    }
}
