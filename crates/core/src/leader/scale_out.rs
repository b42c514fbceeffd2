//! Scale-out: provisioning of machines for the unmet demand of shards.
//!
//! An intent is written to the store before its request is sent to the cloud.
//! The machines in the cloud's response are recorded in batches, each with the
//! version of the intent as a precondition. Provisioning requests are idempotent,
//! so a new leader can repeat any request, and continues to record the machines
//! where its predecessor stopped.
//!
//! [`planning`] chooses the machines to provision, [`capacity`] tracks which kinds of
//! machines the cloud lacks, [`intents`] writes intents and sends requests, and
//! [`results`] records the provisioned machines.

mod capacity;
mod intents;
mod planning;
mod results;

use super::Leader;
use crate::context::Context;
use crate::records::{DemandRecord, MachineRecord, ProvisioningIntent, ShardId};
use crate::store::view::ClusterView;
use capacity::CapacityTracker;
use results::ProvisioningResult;
use std::collections::{BTreeMap, BTreeSet};

/// A kind of machine that can be requested from the cloud.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MachineKind {
    machine_type: String,
    zone: String,
    spot: bool,
}

impl MachineKind {
    /// The kind of a provisioned machine.
    fn of_machine(record: &MachineRecord) -> Self {
        Self {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        }
    }

    /// The kind that an intent requests.
    fn of_intent(intent: &ProvisioningIntent) -> Self {
        Self {
            machine_type: intent.machine_type.clone(),
            zone: intent.zone.clone(),
            spot: intent.spot,
        }
    }
}

/// State of the provisioning of machines.
#[derive(Default)]
pub(super) struct ProvisioningState {
    /// Names of requests that were sent to the cloud, until the view shows that their
    /// intents were removed.
    requests_in_flight: BTreeSet<String>,
    /// Responses of the cloud whose machines are being recorded, by request name.
    results: BTreeMap<String, ProvisioningResult>,
    /// Lowest revision that a shard's demand must be based on: that of the last
    /// intent for the shard. An older demand doesn't take the intent into account,
    /// so the same machines would be provisioned twice.
    min_demand_revisions: BTreeMap<ShardId, u64>,
    /// Intents whose write is in flight, by request name, each with the shards that
    /// it provisions for.
    intents_being_written: BTreeMap<String, Vec<ShardId>>,
    /// Number of intents that this incarnation has written; part of request names.
    intents_written: u64,
    capacity: CapacityTracker,
}

impl ProvisioningState {
    /// The state after an election. The number of intents is kept, as a controller
    /// that leads for a second time must not reuse a request name: the cloud would
    /// repeat its response to the earlier request.
    pub(super) fn for_next_term(&self) -> Self {
        Self {
            intents_written: self.intents_written,
            ..Self::default()
        }
    }

    /// Drops requests whose intents were removed.
    pub(super) fn drop_completed_requests(&mut self, view: &ClusterView) {
        self.requests_in_flight
            .retain(|request| view.provisioning_intents.contains_key(request));
    }

    /// Whether the write of an intent is in flight.
    pub(super) fn is_writing_intents(&self) -> bool {
        !self.intents_being_written.is_empty()
    }
}

impl Leader {
    /// Writes provisioning intents for the unmet demand of shards.
    ///
    /// The number of open intents is limited to the number of calls per second that
    /// the cloud accepts. Demand that arises at the limit is combined into larger
    /// intents later.
    pub(super) fn scale_out(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
    ) {
        let written = view.provisioning_intents.len();
        let open_intents = written + self.provisioning.intents_being_written.len();
        if open_intents as f64 >= ctx.config.cloud_rps.ceil() {
            return;
        }
        for (kind, parts) in self.plan_provisioning(ctx, view, demands) {
            self.write_intent(ctx, view, kind, parts);
        }
    }
}

/// Names of all zones. Offers refer to a zone by its index in this list.
fn zone_names(view: &ClusterView) -> Vec<String> {
    view.zones().into_iter().map(str::to_owned).collect()
}

#[cfg(test)]
mod tests;
