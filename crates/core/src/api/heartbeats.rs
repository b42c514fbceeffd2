//! Heartbeats of workers: processed for machines in shards held here, otherwise relayed or
//! redirected to the holder.

use crate::context::Context;
use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::protocol::relay::RelayPermission;
use crate::records::ShardId;
use crate::shard::{epoch_of_token, RecoveryState};
use forkshift_links::HeartbeatRoute;
use forkshift_wire::workers::{Command, HeartbeatReply, Redirect, WorkerHeartbeat};
use forkshift_wire::MachineId;

impl Node {
    /// Processes a worker's heartbeat, which the worker has sent to this controller or another
    /// controller has relayed. Returns `None` if the heartbeat is relayed to the holder.
    pub(crate) fn on_heartbeat_request(
        &mut self,
        request: RequestId,
        body: Option<Vec<u8>>,
        relaying: RelayPermission,
    ) -> Option<Reply> {
        let Some(body) = body else {
            return Some(Reply::error(413, "too large"));
        };
        let heartbeat: WorkerHeartbeat = match serde_json::from_slice(&body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                log::info!("worker heartbeat: malformed, {e}");
                return Some(Reply::error(400, "not a report"));
            }
        };
        if request.is_from_peer() {
            return Some(self.answer_heartbeat(&heartbeat, HeartbeatRoute::Relayed));
        }
        let holder = match relaying {
            RelayPermission::Allowed => self.relay_target(&heartbeat.machine),
            RelayPermission::AlreadyTried => None,
        };
        if let Some(holder) = holder {
            self.relay_heartbeat(request, &holder, body);
            return None;
        }
        Some(self.answer_heartbeat(&heartbeat, HeartbeatRoute::Direct))
    }

    fn answer_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, route: HeartbeatRoute) -> Reply {
        let Some(machine) = self.view.machines.get(&heartbeat.machine) else {
            return redirect_to_next();
        };
        let shard_id = machine.record.shard;
        let Some(shard) = self.shards.get(&shard_id) else {
            return self.answer_for_other_holder(heartbeat, shard_id);
        };
        if !self.ctx.has_valid_lease && !self.may_answer_without_lease(shard) {
            return redirect_to_next();
        }
        if shard.recovery_state == RecoveryState::Active {
            return self.answer_as_holder(heartbeat, route, shard_id);
        }
        let token = shard.first_token(&machine.record);
        if heartbeat.token <= token && self.may_answer_while_loading(shard, &heartbeat.machine) {
            return accept(token, Vec::new());
        }
        redirect_to_next()
    }

    /// Responds to a worker whose shard another controller holds: renews its lease if that is
    /// allowed, otherwise redirects the worker.
    fn answer_for_other_holder(&mut self, heartbeat: &WorkerHeartbeat, shard_id: ShardId) -> Reply {
        if self.may_keep_worker_alive(shard_id, &heartbeat.machine) {
            return accept(heartbeat.token, Vec::new());
        }
        let report_to = self.redirect_target(shard_id, &heartbeat.machine);
        Reply::json(
            421,
            &Redirect {
                holder_addr: report_to,
            },
        )
    }

    /// Responds to a worker whose shard is held here and active.
    fn answer_as_holder(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        route: HeartbeatRoute,
        shard_id: ShardId,
    ) -> Reply {
        let newest_epoch = self.view.epoch_counter().1;
        let Node { shards, ctx, .. } = self;
        let Some(shard) = shards.get_mut(&shard_id) else {
            return redirect_to_next();
        };
        let id = &heartbeat.machine;
        let machine = shard.machines.get(id);
        if machine.is_none_or(|machine| heartbeat.token > machine.token) {
            // A newer holder has issued the token. The worker would ignore a 200 with an older
            // token, and send its heartbeats here until its lease expires.
            let epoch = epoch_of_token(heartbeat.token);
            if epoch > newest_epoch {
                shard.mark_superseded(&format!("{id} has a token of epoch {epoch}"));
            }
            return redirect_to_next();
        }
        // A delayed duplicate says nothing about the route of current heartbeats.
        if shard.on_worker_heartbeat(ctx, heartbeat) {
            shard.record_heartbeat_route(ctx, id, route);
        }
        match shard.heartbeat_response(ctx, id) {
            Some((token, commands)) => accept(token, commands),
            None => redirect_to_next(),
        }
    }

    /// Name of the controller that a worker is redirected to; `None` for the next controller in
    /// the worker's list.
    fn redirect_target(&mut self, shard_id: ShardId, machine: &MachineId) -> Option<String> {
        let shard = &self.view.shards.get(&shard_id)?.record;
        let (holder, incarnation) = (shard.holder.clone(), shard.holder_incarnation);
        if holder == self.ctx.config.node || self.unreachable_holder(machine).is_some() {
            return None;
        }
        // Without a valid lease the view may be out of date. A worker that is redirected to an
        // unreachable holder returns to this controller, as the next one in its list, and
        // repeats this until its lease expires.
        if !self.ctx.has_valid_lease && !self.ctx.is_peer_answering(&holder) {
            return None;
        }
        let Context { redirects, now, .. } = &mut self.ctx;
        if redirects.was_recently_redirected(machine, &holder, incarnation, *now) {
            return None;
        }
        redirects.on_redirected(machine.clone(), holder.clone(), incarnation, *now);
        Some(holder.to_string())
    }
}

/// The response that renews a worker's lease, with commands.
fn accept(token: u64, commands: Vec<Command>) -> Reply {
    Reply::json(200, &HeartbeatReply { token, commands })
}

/// The response that redirects a worker to the next controller in its list.
fn redirect_to_next() -> Reply {
    Reply::json(421, &Redirect::default())
}
