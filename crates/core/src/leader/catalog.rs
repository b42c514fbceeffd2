//! The cloud's catalogue of machine types, which is written to the state service.

use super::transactions::put_if_unchanged;
use super::Leader;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::machine_type_key;
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_pools::account::Price;
use forkshift_wire::cloud::{Catalog, MachineType};
use std::collections::BTreeMap;

/// Pause before the catalogue is read again if no answer came, in milliseconds.
const RETRY_MS: Ms = 5_000;
/// Pause between two reads of the prices, in milliseconds.
const REFRESH_MS: Ms = 60_000;
/// The same while a type's record is not seen yet.
const UNKNOWN_TYPE_REFRESH_MS: Ms = 1_000;

/// What is known of the catalogue.
#[derive(Default)]
pub(super) struct CatalogState {
    /// When it is read next.
    next_read_at: Ms,
    /// Prices that are recorded for the accounts of pools, by machine type.
    pub(super) recorded_prices: BTreeMap<String, Price>,
}

impl Leader {
    /// Reads the catalogue when it is due.
    pub(super) fn poll_catalog(&mut self, ctx: &mut Context) {
        if self.lacks_prices(ctx) {
            let soon = ctx.now + UNKNOWN_TYPE_REFRESH_MS;
            self.catalog.next_read_at = self.catalog.next_read_at.min(soon);
        }
        if ctx.now >= self.catalog.next_read_at && self.cloud.try_acquire(ctx.now) {
            self.catalog.next_read_at = ctx.now + RETRY_MS;
            ctx.call_cloud("GET", "/catalog".to_owned(), None, PendingCall::Catalog);
        }
    }

    /// The cloud has sent its catalogue: types that changed are written.
    pub(crate) fn on_catalog(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        status: u16,
        body: &[u8],
    ) {
        if self.cloud.pause_if_unavailable(ctx.now, status, body) || status != 200 {
            return;
        }
        let catalog: Catalog = match serde_json::from_slice(body) {
            Ok(catalog) => catalog,
            Err(e) => {
                log::error!("leader: the cloud's catalogue is malformed, {e}");
                return;
            }
        };
        self.catalog.next_read_at = ctx.now + refresh_interval(view, &catalog.types);
        self.record_prices(ctx, view, &catalog.types);
        for machine_type in &catalog.types {
            record_type(ctx, view, machine_type);
        }
    }
}

/// Time until the catalogue is read again. Prices move all the time; they need not
/// be followed closely. But until all types are known nothing can be accepted, so a
/// write of them that fails must not wait for the next read of the prices.
fn refresh_interval(view: &ClusterView, types: &[MachineType]) -> Ms {
    let is_known = |t: &MachineType| view.machine_types.contains_key(&t.name);
    if types.iter().all(is_known) {
        REFRESH_MS
    } else {
        UNKNOWN_TYPE_REFRESH_MS
    }
}

/// Writes a machine type that is new or has changed.
fn record_type(ctx: &mut Context, view: &ClusterView, machine_type: &MachineType) {
    let known = view.machine_types.get(&machine_type.name);
    if known.is_some_and(|known| known.record == *machine_type) {
        return;
    }
    let version = known.map_or(0, |known| known.version);
    let key = machine_type_key(&machine_type.name);
    let transaction = put_if_unchanged(view, key, version, machine_type);
    ctx.transact(Urgency::Tasks, &transaction, PendingCall::Housekeeping);
}
