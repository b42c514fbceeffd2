//! Prices of machine types, recorded for the accounts of warm pools.
//!
//! A pool's account holds times; what they cost follows from the prices that the
//! catalogue had then. These are recorded whenever the leader learns that one has
//! changed, once for all pools and machines.

use super::Leader;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::pools::add_row;
use crate::records::LEADER;
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use forkshift_pools::account::Price;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::state::{Precondition, Transaction};

impl Leader {
    /// Whether accounts may need prices of which none is recorded yet.
    pub(super) fn lacks_prices(&self, ctx: &Context) -> bool {
        ctx.has_pools() && self.recorded_prices.is_empty()
    }

    /// Records prices that changed, if there may be pools.
    pub(super) fn record_prices(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        catalog: &[MachineType],
    ) {
        if !ctx.has_pools() {
            return;
        }
        for machine_type in catalog {
            let price = Price {
                machine_type: machine_type.name.clone(),
                from_ms: ctx.wall_clock_ms,
                hourly: machine_type.price,
                spot_hourly: machine_type.spot_price,
            };
            let recorded = self.recorded_prices.get(&price.machine_type);
            let is_recorded = recorded
                .is_some_and(|r| r.hourly == price.hourly && r.spot_hourly == price.spot_hourly);
            if is_recorded {
                continue;
            }
            let leader = Precondition {
                key: LEADER.to_owned(),
                version: view.leader.as_ref().map_or(0, |l| l.version),
            };
            let mut transaction = Transaction {
                preconditions: vec![leader],
                writes: Vec::new(),
            };
            add_row(&mut transaction, price.key(), &price);
            ctx.transact(
                Urgency::Background,
                &transaction,
                PendingCall::PriceRowWrite(Box::new(price)),
            );
        }
    }

    /// The write of a price was answered. Without an answer it is written again after
    /// the next look at the catalogue.
    pub(crate) fn on_price_row(&mut self, price: Price, status: u16) {
        if status == 200 {
            self.recorded_prices
                .insert(price.machine_type.clone(), price);
        }
    }
}
