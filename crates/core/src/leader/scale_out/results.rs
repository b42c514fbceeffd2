//! Results of provisioning requests: the provisioned machines are recorded, in
//! several batches if there are too many for one transaction.

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

/// The cloud's response to a provisioning request, while its machines are recorded.
pub(super) struct ProvisioningResult {
    /// The intent, with the number of machines that are recorded so far.
    intent: ProvisioningIntent,
    /// Version of the intent's record.
    version: u64,
    /// All machines that the cloud has provided.
    machines: Vec<MachineId>,
    /// Number of machines that are recorded once the write in flight succeeds. This
    /// can't be recomputed when its response arrives, as the store's limit on writes
    /// per transaction may have changed.
    recorded_after_write: u32,
}

impl ProvisioningResult {
    /// Whether all machines are recorded.
    fn is_recorded(&self) -> bool {
        self.intent.recorded_count as usize >= self.machines.len()
    }

    /// The transaction that records the machines up to index `end`, and updates the
    /// count in the intent. The last batch removes the intent.
    ///
    /// Machines that have a record already are left out. The intent was executed before
    /// and has come back: its key is absent again once its machines are recorded, so that
    /// a copy of the transaction that wrote it takes effect a second time.
    fn transaction(&self, view: &ClusterView, request: &str, end: usize) -> Transaction {
        let intent_key = provisioning_intent_key(request);
        let mut transaction = Transaction {
            preconditions: preconditions(view, intent_key.clone(), self.version),
            writes: Vec::new(),
        };
        let shards = self.intent.shards_in_turn();
        let machines = self.machines.iter().zip(shards).take(end);
        let remaining = machines.skip(self.intent.recorded_count as usize);
        for (id, shard) in remaining.filter(|(id, _)| !view.machines.contains_key(*id)) {
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
            Write::Remove { key: intent_key }
        });
        transaction
    }
}

impl Leader {
    /// Handles the cloud's response to a provisioning request.
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
            recorded_after_write: 0,
        };
        let results = &mut self.provisioning.results;
        results.insert(request.to_owned(), result);
        self.record_result(ctx, view, request);
    }

    /// Updates the capacity tracker: the cloud has provided `provisioned` of the
    /// machines that an intent requests.
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
            capacity.on_fully_provisioned(&kind);
        }
    }

    /// Writes the next batch of a result.
    fn record_result(&mut self, ctx: &mut Context, view: &ClusterView, request: &str) {
        let Some(result) = self.provisioning.results.get_mut(request) else {
            return;
        };
        // One write of the transaction is that of the intent.
        let limit = result.intent.recorded_count as usize + ctx.limits.txn_ops - 1;
        let end = result.machines.len().min(limit);
        result.recorded_after_write = end as u32;
        let transaction = result.transaction(view, request, end);
        let request = request.to_owned();
        ctx.transact(
            Urgency::Leadership,
            &transaction,
            PendingCall::ProvisionedRecordsWrite { request },
        );
    }

    /// Handles the response to the write of a batch.
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
                result.intent.recorded_count = result.recorded_after_write;
                if result.is_recorded() {
                    // The request stays in `requests_in_flight`, or it would be sent
                    // again while the view still shows the intent.
                    self.provisioning.results.remove(request);
                } else {
                    self.record_result(ctx, view, request);
                }
            }
            // Retrying with the same preconditions is safe: if the earlier attempt
            // was committed, this one fails.
            0 | 429 | 503 if Self::is_leader(ctx, view) => self.record_result(ctx, view, request),
            // The intent has changed. Its request is sent again: the cloud repeats
            // its response, and the view then shows which machines are recorded.
            _ => {
                self.provisioning.results.remove(request);
                self.provisioning.requests_in_flight.remove(request);
            }
        }
    }
}

/// The machines in a response; empty if the request was refused.
fn provisioned_machines(status: u16, body: &[u8]) -> Vec<MachineId> {
    if status != 200 {
        return Vec::new();
    }
    let answer: MachineIds = serde_json::from_slice(body).unwrap_or_default();
    answer.machines
}
