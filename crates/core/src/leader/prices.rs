//! Prices of machine types, recorded for the accounts of warm pools.
//!
//! A pool's account holds times; what they cost follows from the prices that the
//! catalogue had then. These are recorded whenever the leader learns that one has
//! changed, once for all pools and machines.

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
    /// Whether accounts may need prices of which none is recorded yet.
    pub(super) fn lacks_prices(&self, ctx: &Context) -> bool {
        ctx.has_pools() && self.catalog.recorded_prices.is_empty()
    }

    /// Records prices that changed, if there may be pools.
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

    /// Whether the recorded price of a type is this one.
    fn is_recorded(&self, price: &Price) -> bool {
        let recorded = self.catalog.recorded_prices.get(&price.machine_type);
        recorded.is_some_and(|recorded| {
            recorded.hourly == price.hourly && recorded.spot_hourly == price.spot_hourly
        })
    }

    /// The write of a price was answered. Without an answer it is written again after
    /// the next read of the catalogue.
    pub(crate) fn on_price_recorded(&mut self, price: Price, status: u16) {
        if status == 200 {
            let machine_type = price.machine_type.clone();
            self.catalog.recorded_prices.insert(machine_type, price);
        }
    }
}

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
