//! Outgoing calls to the key-value store, the cloud and workers, and messages to other
//! controllers.
//!
//! Calls to the store go through its queue; all others are sent at once.

use super::Context;
use crate::io::{CallId, Effect, Target};
use crate::pending_call::PendingCall;
use crate::store::queue::{StoreCall, Urgency};
use crate::Ms;
use forkshift_wire::cloud::MachineIds;
use forkshift_wire::peer::{Body, Envelope};
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::{MachineId, NodeName};

/// Time that the store has for an answer, and that a call may be queued, in milliseconds.
const STORE_TIMEOUT_MS: Ms = 2_000;
/// Time that the cloud has for an answer, in milliseconds.
const CLOUD_TIMEOUT_MS: Ms = 5_000;
/// Least number of watches a second that pauses are computed for.
const MIN_WATCH_RPS: f64 = 0.1;

impl Context {
    /// Sends a message to another controller. It may be lost without notice.
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

    /// Makes a call at once.
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

    /// Sends the queued calls to the store that its rate limit allows.
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

    /// The pause between two watches of a kind of which every controller has one, in
    /// milliseconds, so that all of them together use a part of the limit on requests.
    pub(crate) fn watch_pause(&self, part: f64) -> Ms {
        let watch_rps = self.limits.rps * part;
        (self.config.nodes.len() as f64 * 1000.0 / watch_rps.max(MIN_WATCH_RPS)) as Ms
    }

    /// Queues a watch for changes below a prefix after revision `from`, which ends after
    /// `wait` milliseconds without one.
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

    /// Queues a call to the store that is neither a read nor a transaction.
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

    /// Queues a transaction. One that exceeds the limits is logged and queued all the same.
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

    /// Logs what of a transaction exceeds the limits of the store.
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

    /// Makes a call to the cloud.
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

    /// Requests a status heartbeat from a worker.
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
