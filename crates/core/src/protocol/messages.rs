//! Messages between controllers.
//!
//! What they say can be read in the state service as well, so nothing rests
//! on them: they save the time until a watch shows it.

use crate::io::Reply;
use crate::node::Node;
use crate::records::ShardId;
use crate::store::queue::StoreRate;
use forkshift_wire::peer::{Body, Envelope};
use forkshift_wire::users::JobSpec;
use forkshift_wire::{JobId, NodeName};

impl Node {
    /// Takes in a message from another controller.
    pub(crate) fn on_peer_message(&mut self, message: &[u8]) {
        let envelope = match Envelope::decode(message) {
            Ok(envelope) => envelope,
            Err(e) => {
                log::error!("a peer's message is not understood: {e}");
                return;
            }
        };
        let Envelope {
            from,
            incarnation,
            epoch,
            body,
            ..
        } = envelope;
        let from = NodeName::new(&from);
        // An earlier start of a peer may still have messages on the way.
        let alive = self.view.is_alive(&from, incarnation);
        if self.ctx.config.nodes.contains(&from) {
            self.note_peer_alive(&from, incarnation);
        }
        match body {
            // What is passed on is as good as a user's own request, and its
            // answer is known by its number: the sender's lease does not matter.
            Body::ForwardedRequest {
                request_number,
                method,
                path,
                body,
            } => {
                self.on_forwarded_request((from, incarnation), request_number, &method, &path, body)
            }
            // Meant for an earlier start of ours.
            Body::ForwardedResponse {
                incarnation: to, ..
            } if to != self.ctx.incarnation => {}
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
                if self.ctx.config.nodes.contains(&from) {
                    self.on_heartbeat(&from, incarnation, heartbeat);
                }
            }
            // What is recorded stays so, whoever tells of it.
            Body::JobEnded { id, cancelled } => self.on_job_ended_message(&id, cancelled),
            _ if !alive => {}
            Body::BudgetRequest {
                writes,
                requests,
                granted,
            } => {
                let rate = StoreRate::from_milli(requests, writes);
                let now = self.ctx.now;
                self.budget
                    .on_budget_request(now, from, incarnation, rate, granted);
            }
            Body::UnmetDemand { shard, demand } => {
                self.on_demand_message(ShardId(shard), epoch, &demand);
            }
            Body::BudgetGrant { writes, requests } => {
                let rate = StoreRate::from_milli(requests, writes);
                self.budget.on_grant(&self.ctx, from, incarnation, rate);
            }
            Body::NewJob {
                shard,
                spec,
                submitted_at_ms: at,
                revision,
            } => {
                let shard = self.shards.get_mut(&ShardId(shard));
                let shard = shard.filter(|s| s.epoch == epoch);
                if let (Some(shard), Ok(spec)) = (shard, JobSpec::parse(spec.as_bytes())) {
                    shard.on_job_accepted(&mut self.ctx, spec, at, revision);
                }
            }
            Body::CancelJob { id } => self.on_cancel_message(epoch, &id),
            Body::RelayRequest { list, machines } => {
                self.on_relay_request(&from, incarnation, list, &machines);
            }
            Body::ProbeRequest { machines } => self.on_probe(&from, &machines),
            Body::ProbeResult { heartbeat } => self.on_probe_result(&heartbeat),
            Body::InheritPriority { id, priority } => {
                self.on_inherited_priority_message(&id, priority)
            }
        }
    }

    /// A holder tells the leader the unmet demand of its shard.
    fn on_demand_message(&mut self, shard: ShardId, epoch: u64, demand: &str) {
        match serde_json::from_str(demand) {
            Ok(record) => self.leader.on_demand(self.ctx.now, shard, epoch, record),
            Err(e) => log::error!("a peer's demand is not understood: {e}"),
        }
    }

    /// A user has asked another controller to cancel a job that is held here,
    /// under an epoch.
    fn on_cancel_message(&mut self, epoch: u64, id: &str) {
        let Some(id) = JobId::parse(id) else { return };
        let Node { shards, ctx, .. } = self;
        for shard in shards.values_mut().filter(|s| s.epoch == epoch) {
            shard.cancel(ctx, &id);
        }
    }

    /// Tells a shard's holder of a job that was accepted here.
    pub(crate) fn send_new_job(&mut self, shard: ShardId, spec: &JobSpec, revision: u64) {
        let body = Body::NewJob {
            shard: shard.0,
            spec: serde_json::to_string(spec).unwrap_or_default(),
            submitted_at_ms: self.ctx.wall_clock_ms,
            revision,
        };
        self.send_to_holder(shard, body);
    }

    /// Tells a shard's holder of a cancellation that was asked for here.
    pub(crate) fn send_cancel(&mut self, id: &JobId, shard: ShardId) {
        let id = id.to_string();
        self.send_to_holder(shard, Body::CancelJob { id });
    }

    /// Tells a shard's holder something, if that is another controller.
    pub(crate) fn send_to_holder(&mut self, shard: ShardId, body: Body) {
        let epoch = self.view.shards.get(&shard).map_or(0, |s| s.record.epoch);
        let holder = self.view.holder(shard).cloned();
        if let Some(holder) = holder.filter(|h| *h != self.ctx.config.node) {
            self.ctx.send_to_peer(&holder, epoch, body);
        }
    }
}
