//! Publishes the unmet demand: as a message to the leader, and as a record in the
//! key-value store for a leader that messages do not reach.

use crate::context::Context;
use crate::overflow::Overflow;
use crate::pending_call::PendingCall;
use crate::records::{demand_key, DemandRecord};
use crate::shard::Shard;
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::state::{Transaction, Write};
use serde_json::to_value;

/// Fraction of the key-value store's write rate that the demand records of all shards may
/// use.
const DEMAND_WRITE_FRACTION: f64 = 0.05;

/// Minimum interval between two writes of a shard's demand record, in milliseconds.
const MIN_DEMAND_WRITE_INTERVAL_MS: Ms = 1_500;

impl Shard {
    /// Publishes the unmet demand as a message to the leader and as a record.
    pub(super) fn publish_demand(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        record: DemandRecord,
    ) {
        self.send_demand(ctx, view, &record);
        self.write_demand(ctx, view, record);
    }

    /// Sends the unmet demand to the leader when it has changed, and otherwise once a
    /// scheduling interval.
    fn send_demand(&mut self, ctx: &mut Context, view: &ClusterView, record: &DemandRecord) {
        let Some(leader) = view.leader.as_ref().map(|l| l.record.clone()) else {
            return;
        };
        let resend_at =
            self.last_demand_sent_at + crate::seconds_to_ms(ctx.config.operator.round_interval_s);
        if record.has_same_demand(&self.last_demand_sent) && ctx.now < resend_at {
            return;
        }
        self.last_demand_sent = record.clone();
        self.last_demand_sent_at = ctx.now;
        if leader.node == ctx.config.node {
            ctx.unmet_demand.push((self.id, self.epoch, record.clone()));
            return;
        }
        let truncated = record.clone().truncated_to(ctx.config.bounds.list_bytes);
        if !truncated.has_same_demand(record) {
            ctx.overflows.record(ctx.now, Overflow::Demand);
        }
        let body = Body::UnmetDemand {
            shard: self.id.0,
            demand: serde_json::to_string(&truncated).unwrap_or_default(),
        };
        ctx.send_to_peer(&leader.node, self.epoch, body);
    }

    /// Writes the demand record if the demand has changed, or if the stored record has
    /// unmet demand as of an older revision. At most one write is in flight. All shards
    /// share [`DEMAND_WRITE_FRACTION`] of the store's write rate.
    fn write_demand(&mut self, ctx: &mut Context, view: &ClusterView, record: DemandRecord) {
        let shards = f64::from(ctx.config.shard_count());
        let min_interval_ms =
            crate::seconds_to_ms(shards / (ctx.limits.write_rps * DEMAND_WRITE_FRACTION));
        let min_interval_ms = min_interval_ms.max(MIN_DEMAND_WRITE_INTERVAL_MS);
        let has_unobserved_write =
            self.is_writing_demand || view.revision < self.demand_required_revision;
        if has_unobserved_write || ctx.now < self.last_demand_write_at + min_interval_ms {
            return;
        }
        let record = record.truncated_to(ctx.limits.value_bytes);
        let no_demand = DemandRecord::default();
        let stored = view.demands.get(&self.id).map_or(&no_demand, |d| &d.record);
        let is_stale = !record.unmet_shapes.is_empty() && stored.revision < view.revision;
        if record.has_same_demand(stored) && !is_stale {
            return;
        }
        self.is_writing_demand = true;
        self.last_demand_write_at = ctx.now;
        log::debug!(
            "shard {}: unmet demand {:?}, waiting tasks {:?}",
            self.id,
            record.unmet_shapes,
            record.pending_shapes
        );
        let value = to_value(record).unwrap_or_default();
        let transaction = Transaction {
            preconditions: vec![self.fencing_precondition()],
            writes: vec![Write::put(demand_key(self.id), value)],
        };
        let call = PendingCall::DemandWrite { shard: self.id };
        ctx.transact(Urgency::Background, &transaction, call);
    }
}
