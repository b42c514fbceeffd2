//! Messages between controllers: dispatch of received messages, and notifications of the
//! holder of a shard.
//!
//! The contents of the messages can be read from the key-value store as well, so correctness
//! does not depend on them. They save the time until a watch delivers the change.

use crate::io::Reply;
use crate::node::Node;
use crate::records::ShardId;
use crate::store::queue::StoreRate;
use forkshift_wire::peer::{Body, Envelope};
use forkshift_wire::users::JobSpec;
use forkshift_wire::{JobId, NodeName};

/// The controller and its incarnation that sent a message.
pub(crate) struct MessageSender {
    pub(crate) node: NodeName,
    pub(crate) incarnation: u64,
}

impl Node {
    /// Decodes and processes a message from another controller. A malformed message is logged
    /// and dropped.
    pub(crate) fn on_peer_message(&mut self, message: &[u8]) {
        let envelope = match Envelope::decode(message) {
            Ok(envelope) => envelope,
            Err(e) => {
                log::error!("peer message: malformed, {e}");
                return;
            }
        };
        let sender = MessageSender {
            node: NodeName::new(&envelope.from),
            incarnation: envelope.incarnation,
        };
        // Messages of an earlier incarnation of the sender may still be in transit.
        let is_registered = self.view.is_registered(&sender.node, sender.incarnation);
        if self.ctx.config.nodes.contains(&sender.node) {
            self.record_peer_message(&sender.node, sender.incarnation);
        }
        let unhandled = self.on_message_of_any_peer(&sender, envelope.body);
        if let Some(body) = unhandled.filter(|_| is_registered) {
            self.on_message_of_live_peer(sender, envelope.epoch, body);
        }
    }

    /// Processes messages that are valid whether or not their sender has a valid lease. Returns
    /// the others unprocessed.
    fn on_message_of_any_peer(&mut self, sender: &MessageSender, body: Body) -> Option<Body> {
        match body {
            // A forwarded request is equivalent to a request from the user, and its answer is
            // identified by its number, so the sender's lease is irrelevant.
            Body::ForwardedRequest {
                request_number,
                method,
                path,
                body,
            } => self.on_forwarded_request(sender, request_number, &method, &path, body),
            // The request was forwarded by an earlier incarnation of this controller.
            Body::ForwardedResponse { incarnation, .. } if incarnation != self.ctx.incarnation => {}
            Body::ForwardedResponse {
                incarnation: _,
                request_number,
                status,
                body,
                retry_after_s,
            } => {
                let reply = Reply {
                    status,
                    body,
                    retry_after_s,
                };
                self.on_forwarded_response(request_number, reply);
            }
            Body::Heartbeat(heartbeat) => {
                if self.ctx.config.nodes.contains(&sender.node) {
                    self.on_heartbeat(&sender.node, sender.incarnation, heartbeat);
                }
            }
            // A job that has ended never changes its stage, so any incarnation may report it.
            Body::JobEnded { id, cancelled } => self.on_job_ended_message(&id, cancelled),
            other => return Some(other),
        }
        None
    }

    /// Processes messages that are valid only while their sender is alive according to the
    /// view. `epoch` is the epoch of the shard that a message concerns; 0 if it concerns none.
    fn on_message_of_live_peer(&mut self, sender: MessageSender, epoch: u64, body: Body) {
        let MessageSender { node, incarnation } = sender;
        match body {
            Body::BudgetRequest {
                writes,
                requests,
                granted,
            } => {
                let rate = StoreRate::from_milli(requests, writes);
                let now = self.ctx.now;
                self.budget
                    .on_budget_request(now, node, incarnation, rate, granted);
            }
            Body::BudgetGrant { writes, requests } => {
                let rate = StoreRate::from_milli(requests, writes);
                self.budget.on_grant(&self.ctx, node, incarnation, rate);
            }
            Body::UnmetDemand { shard, demand } => {
                self.on_demand_message(ShardId(shard), epoch, &demand);
            }
            Body::NewJob {
                shard,
                spec,
                submitted_at_ms,
                revision,
            } => self.on_new_job_message(ShardId(shard), epoch, &spec, submitted_at_ms, revision),
            Body::CancelJob { id } => self.on_cancel_message(epoch, &id),
            Body::RelayRequest {
                list_number,
                machines,
            } => {
                self.on_relay_request(&node, incarnation, list_number, &machines);
            }
            Body::ProbeRequest { machines } => self.on_probe_request(&node, &machines),
            Body::ProbeResult { heartbeat } => self.on_probe_result(&heartbeat),
            Body::InheritPriority { id, priority } => {
                self.on_inherited_priority_message(&id, priority);
            }
            // Processed by `on_message_of_any_peer`.
            Body::ForwardedRequest { .. }
            | Body::ForwardedResponse { .. }
            | Body::Heartbeat(_)
            | Body::JobEnded { .. } => {}
        }
    }

    /// Passes the unmet demand of a shard, sent by its holder, to the state of the leader. A
    /// malformed record is logged and dropped.
    fn on_demand_message(&mut self, shard_id: ShardId, epoch: u64, demand: &str) {
        match serde_json::from_str(demand) {
            Ok(record) => {
                self.leader
                    .on_demand_received(self.ctx.now, shard_id, epoch, record);
            }
            Err(e) => log::error!("shard {shard_id}: demand from a peer malformed, {e}"),
        }
    }

    /// Adds a job that another controller has accepted to the shard held here. The message is
    /// ignored if the shard is not held under the epoch.
    fn on_new_job_message(
        &mut self,
        shard_id: ShardId,
        epoch: u64,
        spec: &str,
        submitted_at_ms: u64,
        revision: u64,
    ) {
        let shard = self.shards.get_mut(&shard_id);
        let shard = shard.filter(|shard| shard.epoch == epoch);
        if let (Some(shard), Ok(spec)) = (shard, JobSpec::parse(spec.as_bytes())) {
            shard.on_job_accepted(&mut self.ctx, spec, submitted_at_ms, revision);
        }
    }

    /// Cancels a job of a shard that is held here under the epoch. A user has requested the
    /// cancellation from another controller.
    fn on_cancel_message(&mut self, epoch: u64, id: &str) {
        let Some(id) = JobId::parse(id) else { return };
        let Node { shards, ctx, .. } = self;
        for shard in shards.values_mut().filter(|shard| shard.epoch == epoch) {
            shard.cancel(ctx, &id);
        }
    }

    /// Notifies the holder of a shard of a job that was accepted here. `revision` is the
    /// store's revision of the job's record.
    pub(crate) fn send_new_job(&mut self, shard_id: ShardId, spec: &JobSpec, revision: u64) {
        let body = Body::NewJob {
            shard: shard_id.0,
            spec: serde_json::to_string(spec).unwrap_or_default(),
            submitted_at_ms: self.ctx.wall_clock_ms,
            revision,
        };
        self.send_to_holder(shard_id, body);
    }

    /// Notifies the holder of a shard of a cancellation that was requested here.
    pub(crate) fn send_cancel(&mut self, id: &JobId, shard_id: ShardId) {
        let id = id.to_string();
        self.send_to_holder(shard_id, Body::CancelJob { id });
    }

    /// Sends a message to the holder of a shard with the shard's epoch, if the view shows a
    /// holder and that is another controller.
    pub(crate) fn send_to_holder(&mut self, shard_id: ShardId, body: Body) {
        let shard = self.view.shards.get(&shard_id);
        let epoch = shard.map_or(0, |shard| shard.record.epoch);
        let holder = self.view.holder(shard_id).cloned();
        if let Some(holder) = holder.filter(|holder| *holder != self.ctx.config.node) {
            self.ctx.send_to_peer(&holder, epoch, body);
        }
    }
}
