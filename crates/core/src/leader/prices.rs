//! Price history of machine types, recorded for the accounts of warm pools.
//!
//! A pool's account holds usage intervals; their cost is computed from the prices
//! that the catalogue had at the time. The leader records a price whenever the
//! catalogue shows a changed one, once for all pools and machines.

use super::transactions::leader_precondition;
use super::Leader;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::pools::add_account_row;
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use forkshift_pools::account::Price;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::state::Transaction;

impl Leader {
    /// Whether warm pools are configured and this leader has not recorded any price yet.
    pub(super) fn lacks_prices(&self, ctx: &Context) -> bool {
        ctx.has_pools() && self.catalog.recorded_prices.is_empty()
    }

    /// Records the prices that have changed, if warm pools are configured.
    pub(super) fn record_prices(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        types: &[MachineType],
    ) {
        if !ctx.has_pools() {
            return;
        }
        for machine_type in types {
            let price = Price {
                machine_type: machine_type.name.clone(),
                from_ms: ctx.wall_clock_ms,
                hourly: machine_type.price_per_hour,
                spot_hourly: machine_type.spot_price_per_hour,
            };
            if !self.is_recorded(&price) {
                write_price(ctx, view, price);
            }
        }
    }

    /// Whether the last recorded price of the machine type equals this one. The time
    /// of the price is not compared.
    fn is_recorded(&self, price: &Price) -> bool {
        let recorded = self.catalog.recorded_prices.get(&price.machine_type);
        recorded.is_some_and(|recorded| {
            recorded.hourly == price.hourly && recorded.spot_hourly == price.spot_hourly
        })
    }

    /// Handles the response to the write of a price. If the write failed, the price is
    /// written again after the next read of the catalogue.
    pub(crate) fn on_price_recorded(&mut self, price: Price, status: u16) {
        if status == 200 {
            let machine_type = price.machine_type.clone();
            self.catalog.recorded_prices.insert(machine_type, price);
        }
    }
}

/// Writes the row of a price into the price history.
fn write_price(ctx: &mut Context, view: &ClusterView, price: Price) {
    let mut transaction = Transaction {
        preconditions: vec![leader_precondition(view)],
        writes: Vec::new(),
    };
    add_account_row(&mut transaction, price.key(), &price);
    ctx.transact(
        Urgency::Background,
        &transaction,
        PendingCall::PriceRowWrite(Box::new(price)),
    );
}
