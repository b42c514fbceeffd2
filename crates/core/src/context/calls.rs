//! Outgoing calls to the key-value store, the cloud and workers, and messages to other
//! controllers.
//!
//! Calls to the store pass through a rate-limited queue; all others are sent at once.

use super::Context;
use crate::io::{CallId, Effect, Target};
use crate::pending_call::PendingCall;
use crate::store::queue::{StoreCall, Urgency};
use crate::Ms;
use forkshift_wire::cloud::MachineIds;
use forkshift_wire::peer::{Body, Envelope};
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::{MachineId, NodeName};

/// Timeout of a call to the store, and longest time that a call may be queued before it is
/// rejected, each in milliseconds.
const STORE_TIMEOUT_MS: Ms = 2_000;
/// Timeout of a call to the cloud, in milliseconds.
const CLOUD_TIMEOUT_MS: Ms = 5_000;
/// Lower bound on the rate of watches in requests per second, so that the interval stays finite.
const MIN_WATCH_RPS: f64 = 0.1;

impl Context {
    /// Sends a message to another controller, without a delivery guarantee. `epoch` is that of
    /// the shard that the message concerns; 0 if it concerns none.
    pub(crate) fn send_to_peer(&mut self, node: &NodeName, epoch: u64, body: Body) {
        let envelope = Envelope {
            version: body.version(),
            from: self.config.node.to_string(),
            incarnation: self.incarnation,
            epoch,
            body,
        };
        match envelope.encode() {
            Ok(message) => self.effects.push(Effect::SendToPeer {
                node: node.clone(),
                message,
            }),
            Err(error) => log::error!("peer {node}: message not sent, {error}"),
        }
    }

    /// Adds the effect of a call, bypassing the store's queue. `timeout` is in milliseconds.
    fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        timeout: Ms,
        pending: PendingCall,
    ) -> CallId {
        self.next_call += 1;
        let id = self.next_call;
        self.pending_calls.insert(id, pending);
        self.effects.push(Effect::Call {
            id,
            target,
            method,
            path,
            body,
            timeout,
        });
        id
    }

    /// Sends the queued store calls that the rate limit allows, and collects those that the
    /// queue has rejected.
    pub(crate) fn send_due_store_calls(&mut self) {
        let due = self.store.take_due(self.now);
        for call in due.to_send {
            self.call(
                Target::Store,
                call.method,
                call.path,
                call.body,
                call.timeout_ms,
                call.pending,
            );
        }
        self.unsent_calls
            .extend(due.rejected.into_iter().map(|c| c.pending));
    }

    /// Queues a read from the store.
    pub(crate) fn read_store(&mut self, urgency: Urgency, path: String, pending: PendingCall) {
        let call = StoreCall {
            method: "GET",
            path,
            body: None,
            writes: 0,
            timeout_ms: STORE_TIMEOUT_MS,
            expires_at: self.now + STORE_TIMEOUT_MS,
            pending,
        };
        self.store.push(urgency, call);
    }

    /// The interval between two watch requests of a controller, in milliseconds, such that the
    /// watches of all controllers together use a fraction of the store's request limit.
    pub(crate) fn watch_interval_ms(&self, request_fraction: f64) -> Ms {
        let watch_rps = self.limits.rps * request_fraction;
        (self.config.nodes.len() as f64 * 1000.0 / watch_rps.max(MIN_WATCH_RPS)) as Ms
    }

    /// Queues a watch for changes to keys with a prefix after revision `from`. The store ends it
    /// after `wait` milliseconds without a change; with 0 it answers at once.
    pub(crate) fn watch_store(&mut self, prefix: &str, from: u64, wait: Ms, pending: PendingCall) {
        let call = StoreCall {
            method: "GET",
            path: format!("/changes?starts={prefix}&from={from}&wait_ms={wait}"),
            body: None,
            writes: 0,
            timeout_ms: wait + STORE_TIMEOUT_MS * 2,
            expires_at: self.now + STORE_TIMEOUT_MS,
            pending,
        };
        self.store.push(Urgency::Membership, call);
    }

    /// Queues a call to the store that is neither a read nor a transaction, such as a request
    /// for a lease.
    pub(crate) fn call_store(
        &mut self,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        pending: PendingCall,
    ) {
        let call = StoreCall {
            method,
            path,
            body,
            writes: 0,
            timeout_ms: STORE_TIMEOUT_MS,
            expires_at: self.now + STORE_TIMEOUT_MS,
            pending,
        };
        self.store.push(Urgency::Membership, call);
    }

    /// Queues a transaction. A transaction that exceeds the store's limits is logged and queued
    /// nevertheless, for the store to reject.
    pub(crate) fn transact(
        &mut self,
        urgency: Urgency,
        transaction: &Transaction,
        pending: PendingCall,
    ) {
        let body = serde_json::to_vec(transaction).unwrap_or_default();
        if body.len() > self.limits.value_bytes || transaction.writes.len() > self.limits.txn_ops {
            self.log_oversized_changes(transaction);
        }
        let call = StoreCall {
            method: "POST",
            path: "/txn".to_owned(),
            body: Some(body),
            writes: transaction.writes.len(),
            timeout_ms: STORE_TIMEOUT_MS,
            expires_at: self.now + STORE_TIMEOUT_MS,
            pending,
        };
        self.store.push(urgency, call);
    }

    /// Logs which limits of the store a transaction exceeds.
    fn log_oversized_changes(&self, transaction: &Transaction) {
        let (writes, limit) = (transaction.writes.len(), self.limits.txn_ops);
        if writes > limit {
            log::error!("transaction: too many writes, {writes} of {limit}");
        }
        for write in &transaction.writes {
            let Write::Put { key, value, .. } = write else {
                continue;
            };
            let (bytes, limit) = (value.to_string().len(), self.limits.value_bytes);
            if bytes > limit {
                log::error!("record {key}: too large, {bytes} of {limit} bytes");
            }
        }
    }

    /// Makes a call to the cloud, which is not queued.
    pub(crate) fn call_cloud(
        &mut self,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        pending: PendingCall,
    ) -> CallId {
        self.call(Target::Cloud, method, path, body, CLOUD_TIMEOUT_MS, pending)
    }

    /// Requests the deletion of machines from the cloud.
    pub(crate) fn delete_machines(&mut self, machines: Vec<MachineId>, pending: PendingCall) {
        let body = serde_json::to_vec(&MachineIds { machines }).unwrap_or_default();
        let path = "/machines/delete".to_owned();
        self.call_cloud("POST", path, Some(body), pending);
    }

    /// Requests a worker's status, which has the form of a heartbeat. Used for probes.
    pub(crate) fn request_worker_status(&mut self, addr: &str, timeout: Ms, pending: PendingCall) {
        self.worker_calls_in_flight += 1;
        let target = Target::Worker(addr.to_owned());
        let path = "/status".to_owned();
        self.call(target, "GET", path, None, timeout, pending);
    }

    /// Sends commands to a worker.
    pub(crate) fn send_commands(
        &mut self,
        addr: &str,
        body: Vec<u8>,
        timeout: Ms,
        pending: PendingCall,
    ) -> CallId {
        self.worker_calls_in_flight += 1;
        self.call(
            Target::Worker(addr.to_owned()),
            "POST",
            "/commands".to_owned(),
            Some(body),
            timeout,
            pending,
        )
    }
}
