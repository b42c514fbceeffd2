//! The cloud's catalogue of machine types. The leader reads it at intervals and
//! writes the machine types to the key-value store, for all controllers.

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

/// Interval until the catalogue is read again if the read fails, in milliseconds.
const RETRY_INTERVAL_MS: Ms = 5_000;
/// Interval between two reads of the catalogue, in milliseconds. Prices change often but
/// need not be followed closely.
const REFRESH_INTERVAL_MS: Ms = 60_000;
/// Interval between two reads while the view lacks the record of a machine type, or
/// while no price is recorded for warm pools, in milliseconds. No job can be accepted until all types are recorded, so a failed
/// write of a type must be repeated soon.
const UNRECORDED_TYPE_REFRESH_INTERVAL_MS: Ms = 1_000;

/// State of the reads of the catalogue.
#[derive(Default)]
pub(super) struct CatalogState {
    /// When the catalogue is read next.
    next_read_at: Ms,
    /// The last price that this leader recorded for the accounts of warm pools, by
    /// machine type.
    pub(super) recorded_prices: BTreeMap<String, Price>,
}

impl Leader {
    /// Requests the catalogue if a read is due and the cloud's rate limit allows it.
    pub(super) fn poll_catalog(&mut self, ctx: &mut Context) {
        if self.lacks_prices(ctx) {
            let soon = ctx.now + UNRECORDED_TYPE_REFRESH_INTERVAL_MS;
            self.catalog.next_read_at = self.catalog.next_read_at.min(soon);
        }
        if ctx.now >= self.catalog.next_read_at && self.cloud.try_acquire(ctx.now) {
            self.catalog.next_read_at = ctx.now + RETRY_INTERVAL_MS;
            ctx.call_cloud("GET", "/catalog".to_owned(), None, PendingCall::Catalog);
        }
    }

    /// Handles the cloud's response with the catalogue: new and changed machine types
    /// and prices are written.
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

/// Interval until the next read of the catalogue, in milliseconds. It is shorter while
/// the view lacks the record of any type.
fn refresh_interval(view: &ClusterView, types: &[MachineType]) -> Ms {
    let is_known = |t: &MachineType| view.machine_types.contains_key(&t.name);
    if types.iter().all(is_known) {
        REFRESH_INTERVAL_MS
    } else {
        UNRECORDED_TYPE_REFRESH_INTERVAL_MS
    }
}

/// Writes the record of a machine type if the type is new or has changed.
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
