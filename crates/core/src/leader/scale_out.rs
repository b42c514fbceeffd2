//! Scale-out: provisioning of machines for the unmet demand of shards.
//!
//! An intent is written before its request is sent to the cloud, and the
//! machines that the cloud names are recorded in parts, each on condition of
//! the intent's version. So a new leader can repeat any request, and goes on
//! recording where the last one stopped.
//!
//! [`planning`] chooses what to provision, [`capacity`] keeps track of what can be
//! had, [`intents`] writes and sends requests, [`results`] records the answers.

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

/// A kind of machine that the cloud provides.
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
    /// Names of requests that were sent to the cloud or are being recorded.
    requests_in_flight: BTreeSet<String>,
    /// Answers of the cloud that are being recorded, by request.
    results: BTreeMap<String, ProvisioningResult>,
    /// Revisions that a shard's demand must be based on to be considered again:
    /// those of the last intents for it.
    min_demand_revisions: BTreeMap<ShardId, u64>,
    /// Intents that are being written, with the shards that they are for.
    intents_being_written: BTreeMap<String, Vec<ShardId>>,
    /// How many intents this incarnation has written; part of their names.
    intents_written: u64,
    capacity: CapacityTracker,
}

impl ProvisioningState {
    /// The state after an election. A controller that leads for a second time must
    /// not use a request's name again: the cloud would repeat its old answer.
    pub(super) fn for_next_term(&self) -> Self {
        Self {
            intents_written: self.intents_written,
            ..Self::default()
        }
    }

    /// Forgets requests whose intents were removed.
    pub(super) fn drop_completed_requests(&mut self, view: &ClusterView) {
        self.requests_in_flight
            .retain(|request| view.provisioning_intents.contains_key(request));
    }

    /// Whether an intent is being written.
    pub(super) fn is_writing_intents(&self) -> bool {
        !self.intents_being_written.is_empty()
    }
}

impl Leader {
    /// Turns the unmet demand of shards into provisioning intents. The cloud takes few
    /// calls a second: no intent is made while others wait to be carried out, so
    /// that what comes up meanwhile is put together in larger ones.
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

/// Names of all zones, in the order of their numbers in offers.
fn zone_names(view: &ClusterView) -> Vec<String> {
    view.zones().into_iter().map(str::to_owned).collect()
}

#[cfg(test)]
mod tests;
