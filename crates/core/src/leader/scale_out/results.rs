//! Results: machines that the cloud has provided are recorded, in parts if they are
//! too many for one transaction.

use super::MachineKind;
use crate::context::{revision_of, Context};
use crate::leader::transactions::preconditions;
use crate::leader::{boot_seconds, Leader};
use crate::pending_call::PendingCall;
use crate::records::{machine_key, provisioning_intent_key, MachineRecord, ProvisioningIntent};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use forkshift_wire::cloud::MachineIds;
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::to_value;

/// The cloud's answer to a request, while it is recorded.
pub(super) struct ProvisioningResult {
    /// The intent, with the machines that are recorded so far.
    intent: ProvisioningIntent,
    /// Version of the intent's record.
    version: u64,
    /// All machines that the cloud has provided.
    machines: Vec<MachineId>,
    /// How many machines have their records once the write that is under way
    /// is carried out. The limits may change before its answer comes.
    placed_after_write: u32,
}

impl ProvisioningResult {
    /// Whether all machines have their records.
    fn is_recorded(&self) -> bool {
        self.intent.recorded_count as usize >= self.machines.len()
    }

    /// Records the machines up to `end`, and how many those are. The last part
    /// removes the intent.
    fn transaction(&self, view: &ClusterView, request: &str, end: usize) -> Transaction {
        let intent_key = provisioning_intent_key(request);
        let mut transaction = Transaction {
            preconditions: preconditions(view, intent_key.clone(), self.version),
            writes: Vec::new(),
        };
        let shards = self.intent.shards_in_turn();
        let machines = self.machines.iter().zip(shards).take(end);
        for (id, shard) in machines.skip(self.intent.recorded_count as usize) {
            let machine = MachineRecord::new(
                shard,
                &self.intent.machine_type,
                &self.intent.zone,
                self.intent.spot,
            );
            let key = machine_key(id);
            transaction.preconditions.push(Precondition {
                key: key.clone(),
                version: 0,
            });
            let value = to_value(machine).unwrap_or_default();
            transaction.writes.push(Write::put(key, value));
        }
        transaction.writes.push(if end < self.machines.len() {
            let intent = ProvisioningIntent {
                recorded_count: end as u32,
                ..self.intent.clone()
            };
            Write::put(intent_key, to_value(intent).unwrap_or_default())
        } else {
            Write::Remove { remove: intent_key }
        });
        transaction
    }
}

impl Leader {
    /// The cloud has answered a provisioning request.
    pub(crate) fn on_provisioned(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        request: &str,
        status: u16,
        body: &[u8],
    ) {
        let Some(intent) = view.provisioning_intents.get(request).cloned() else {
            self.provisioning.requests_in_flight.remove(request);
            return;
        };
        if self.cloud.pause_if_unavailable(ctx.now, status, body) {
            self.provisioning.requests_in_flight.remove(request);
            return;
        }
        let machines = provisioned_machines(status, body);
        self.track_capacity(ctx, view, &intent.record, machines.len());
        let result = ProvisioningResult {
            intent: intent.record,
            version: intent.version,
            machines,
            placed_after_write: 0,
        };
        let results = &mut self.provisioning.results;
        results.insert(request.to_owned(), result);
        self.record_result(ctx, view, request);
    }

    /// Notes how many machines the cloud has provided of those that an intent requests.
    fn track_capacity(
        &mut self,
        ctx: &Context,
        view: &ClusterView,
        intent: &ProvisioningIntent,
        provisioned: usize,
    ) {
        let requested = intent.count();
        let kind = MachineKind::of_intent(intent);
        let capacity = &mut self.provisioning.capacity;
        log::info!(
            "leader: {provisioned} of {requested} machines provisioned, type {}, zone {}{}",
            kind.machine_type,
            kind.zone,
            if kind.spot { ", spot" } else { "" }
        );
        if (provisioned as u32) < requested {
            let boot_s = boot_seconds(view, &kind.machine_type);
            capacity.on_shortage(ctx.now, kind, boot_s);
        } else {
            capacity.on_provided(&kind);
        }
    }

    /// Writes the next part of a result.
    fn record_result(&mut self, ctx: &mut Context, view: &ClusterView, request: &str) {
        let Some(result) = self.provisioning.results.get_mut(request) else {
            return;
        };
        // One change is for the intent.
        let limit = result.intent.recorded_count as usize + ctx.limits.txn_ops - 1;
        let end = result.machines.len().min(limit);
        result.placed_after_write = end as u32;
        let transaction = result.transaction(view, request, end);
        let request = request.to_owned();
        ctx.transact(
            Urgency::Leadership,
            &transaction,
            PendingCall::ProvisionedRecordsWrite { request },
        );
    }

    /// The write of a part of a result was answered.
    pub(crate) fn on_result_recorded(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        request: &str,
        status: u16,
        body: &[u8],
    ) {
        let Some(result) = self.provisioning.results.get_mut(request) else {
            return;
        };
        match status {
            200 => {
                result.version = revision_of(body);
                result.intent.recorded_count = result.placed_after_write;
                if result.is_recorded() {
                    // The request stays in flight: its name must not be used again
                    // while the view still shows the intent.
                    self.provisioning.results.remove(request);
                } else {
                    self.record_result(ctx, view, request);
                }
            }
            // Writing again on the same conditions is safe: if an earlier
            // copy was carried out, this one fails.
            0 | 429 | 503 if Self::is_leader(ctx, view) => self.record_result(ctx, view, request),
            // The record has changed: the request is repeated, the cloud gives the
            // same answer, and the view shows which machines are recorded.
            _ => {
                self.provisioning.results.remove(request);
                self.provisioning.requests_in_flight.remove(request);
            }
        }
    }
}

/// The machines that an answer names; none if the request was refused.
fn provisioned_machines(status: u16, body: &[u8]) -> Vec<MachineId> {
    if status != 200 {
        return Vec::new();
    }
    let answer: MachineIds = serde_json::from_slice(body).unwrap_or_default();
    answer.machines
}
