//! Reports of workers.

use crate::context::Context;
use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::protocol::relay::Relaying;
use crate::records::ShardId;
use crate::shard::{epoch_of_token, Phase};
use forkshift_links::Route;
use forkshift_wire::workers::{HeartbeatReply, Redirect, WorkerHeartbeat};
use forkshift_wire::MachineId;

impl Node {
    /// A worker reports, to us or to a controller that passes it on. No reply: it is
    /// passed on from here.
    pub(crate) fn on_heartbeat_request(
        &mut self,
        request: RequestId,
        body: Option<Vec<u8>>,
        relaying: Relaying,
    ) -> Option<Reply> {
        let Some(body) = body else {
            return Some(Reply::error(413, "too large"));
        };
        let heartbeat: WorkerHeartbeat = match serde_json::from_slice(&body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                log::info!("a report is not understood: {e}");
                return Some(Reply::error(400, "not a report"));
            }
        };
        if request.is_from_peer() {
            return Some(self.answer_heartbeat(&heartbeat, Route::Relayed));
        }
        let holder = match relaying {
            Relaying::Allowed => self.relay_to(&heartbeat.machine),
            Relaying::Tried => None,
        };
        if let Some(holder) = holder {
            self.relay_report(request, &holder, body);
            return None;
        }
        Some(self.answer_heartbeat(&heartbeat, Route::Direct))
    }

    fn answer_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, route: Route) -> Reply {
        let Some(record) = self.view.machines.get(&heartbeat.machine) else {
            return Reply::json(421, &Redirect::default());
        };
        let k = record.record.shard;
        if !self.shards.contains_key(&k) {
            if self.may_keep_worker_alive(k, &heartbeat.machine) {
                let (token, commands) = (heartbeat.token, Vec::new());
                return Reply::json(200, &HeartbeatReply { token, commands });
            }
            let report_to = self.redirect_to(k, &heartbeat.machine);
            return Reply::json(421, &Redirect { report_to });
        }
        let shard = self.shards.get(&k);
        let has_valid_lease =
            shard.is_some_and(|s| self.ctx.has_valid_lease || self.may_answer_without_lease(s));
        let bridges = shard.is_some_and(|s| self.may_answer_while_loading(s, &heartbeat.machine));
        let newest = self.view.epoch().1;
        let first = shard.map(|s| s.first_token(&record.record));
        let Node { shards, ctx, .. } = self;
        let Some(shard) = shards.get_mut(&k).filter(|_| has_valid_lease) else {
            return Reply::json(421, &Redirect::default());
        };
        if shard.phase != Phase::Active {
            let token = first.filter(|t| heartbeat.token <= *t && bridges);
            return match token {
                Some(token) => {
                    let commands = Vec::new();
                    Reply::json(200, &HeartbeatReply { token, commands })
                }
                None => Reply::json(421, &Redirect::default()),
            };
        }
        if shard
            .machines
            .get(&heartbeat.machine)
            .is_none_or(|m| heartbeat.token > m.token)
        {
            // Somebody newer holds the machine. A 200 would be dropped, and
            // the worker would stay here while its lease runs out.
            let epoch = epoch_of_token(heartbeat.token);
            if epoch > newest {
                shard.mark_superseded(&format!(
                    "{} has a token of epoch {epoch}",
                    heartbeat.machine
                ));
            }
            return Reply::json(421, &Redirect::default());
        }
        // A late copy tells nothing of the way by which reports come now.
        if shard.on_worker_heartbeat(ctx, heartbeat) {
            shard.note_route(ctx, &heartbeat.machine, route);
        }
        match shard.report_reply(ctx, &heartbeat.machine) {
            Some((token, commands)) => Reply::json(200, &HeartbeatReply { token, commands }),
            None => Reply::json(421, &Redirect::default()),
        }
    }

    /// To which controller a worker is sent that has come to us; none: to the next one.
    fn redirect_to(&mut self, shard: ShardId, machine: &MachineId) -> Option<String> {
        let holder = &self.view.shards.get(&shard)?.record;
        let (to, incarnation) = (holder.holder.clone(), holder.holder_incarnation);
        if to == self.ctx.config.node || self.holder_without_link(machine).is_some() {
            return None;
        }
        // What we knew before we lost the state service may be over. A worker that was sent
        // to a holder that it could not reach came back here again and again, as the next one
        // in its list, until its lease was over.
        if !self.ctx.has_valid_lease && !self.ctx.is_peer_answering(&to) {
            return None;
        }
        let Context { redirects, now, .. } = &mut self.ctx;
        if redirects.has_returned(machine, &to, incarnation, *now) {
            return None;
        }
        redirects.on_redirected(machine.clone(), to.clone(), incarnation, *now);
        Some(to.to_string())
    }
}
