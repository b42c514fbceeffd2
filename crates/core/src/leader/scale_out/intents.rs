//! Provisioning intents: each is written to the store before its request is sent
//! to the cloud, so that a new leader finds every request that may have been sent.

use super::planning::OfferedKind;
use super::zone_names;
use crate::context::{revision_of, Context};
use crate::leader::transactions::put_if_unchanged;
use crate::leader::Leader;
use crate::pending_call::PendingCall;
use crate::records::{provisioning_intent_key, ProvisioningIntent, ShardId};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use forkshift_wire::cloud::{ProvisionRequest, MAX_PROVISION_COUNT};

impl Leader {
    /// Writes one intent. Its request name is unique across incarnations and terms.
    pub(super) fn write_intent(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        kind: OfferedKind,
        parts: Vec<(ShardId, u32)>,
    ) {
        let type_names: Vec<&String> = view.machine_types.keys().collect();
        let intent = ProvisioningIntent {
            machines_per_shard: limit_parts(parts, MAX_PROVISION_COUNT),
            machine_type: type_names[kind.machine_type as usize].clone(),
            zone: zone_names(view)[kind.zone as usize].clone(),
            spot: kind.spot,
            recorded_count: 0,
        };
        let provisioning = &mut self.provisioning;
        provisioning.intents_written += 1;
        let count = provisioning.intents_written;
        let request = format!("r-{:x}-{count}", ctx.incarnation);
        let shards = intent
            .machines_per_shard
            .iter()
            .map(|(shard_id, _)| *shard_id);
        provisioning
            .intents_being_written
            .insert(request.clone(), shards.collect());
        let transaction = put_if_unchanged(view, provisioning_intent_key(&request), 0, &intent);
        ctx.transact(
            Urgency::Leadership,
            &transaction,
            PendingCall::ProvisioningIntentWrite { request },
        );
    }

    /// Handles the response to the write of an intent. From now on, a demand of the
    /// intent's shards is considered only if it is based on a view that shows the
    /// intent.
    pub(crate) fn on_intent_written(&mut self, request: &str, body: &[u8]) {
        let provisioning = &mut self.provisioning;
        let shards = provisioning.intents_being_written.remove(request);
        let revision = revision_of(body);
        for shard_id in shards.unwrap_or_default() {
            let min_revision = provisioning
                .min_demand_revisions
                .entry(shard_id)
                .or_default();
            *min_revision = (*min_revision).max(revision);
        }
    }

    /// Sends the requests of all intents that are not in flight, including those of
    /// earlier leaders. Requests are idempotent: the cloud repeats its response to a
    /// request name that it has already served, and provisions nothing.
    pub(in crate::leader) fn send_intents(&mut self, ctx: &mut Context, view: &ClusterView) {
        for (request, intent) in &view.provisioning_intents {
            let is_in_flight = self.provisioning.requests_in_flight.contains(request);
            if is_in_flight || !self.cloud.try_acquire(ctx.now) {
                continue;
            }
            self.provisioning.requests_in_flight.insert(request.clone());
            send_request(ctx, request, &intent.record);
        }
    }
}

/// Requests the machines of an intent from the cloud. `request` is the idempotency
/// key.
fn send_request(ctx: &mut Context, request: &str, intent: &ProvisioningIntent) {
    let body = ProvisionRequest {
        request_name: request.to_owned(),
        machine_type: intent.machine_type.clone(),
        zone: intent.zone.clone(),
        spot: intent.spot,
        count: intent.count(),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let request = request.to_owned();
    ctx.call_cloud(
        "POST",
        "/machines".to_owned(),
        Some(body),
        PendingCall::Provision { request },
    );
}

/// Reduces the number of machines to `max_machines` in total, by repeatedly taking
/// one machine from the shard with the most.
fn limit_parts(mut parts: Vec<(ShardId, u32)>, max_machines: u32) -> Vec<(ShardId, u32)> {
    while parts.iter().map(|(_, count)| count).sum::<u32>() > max_machines {
        if let Some((_, count)) = parts.iter_mut().max_by_key(|(_, count)| *count) {
            *count -= 1;
        }
    }
    parts
}
