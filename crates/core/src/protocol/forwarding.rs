//! Requests that another controller can answer better.
//!
//! A question or a cancellation goes to the holder of the job's shard, who
//! answers from memory by right; that saves a read of the state service, which
//! has few to spare. While the service refuses this controller alone, all
//! requests go to another one. The answer counts from the moment between
//! request and answer at which the other gave it, as if the user had come to
//! it. Without an answer in time the request is dealt with here.

use crate::api::status;
use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::overflow::Overflow;
use crate::protocol::relay::Relaying;
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::users::JobStatus;
use forkshift_wire::{JobId, NodeName};

/// Where workers report.
const REPORT_PATH: &str = "/v1/report";
/// Time that another controller has for a question; users wait 2 s.
const QUESTION_MS: Ms = 500;
/// Time for what has to be written.
const WRITE_MS: Ms = 1_500;
/// Pause before a report is passed on again: the same report a second time changes nothing.
const RESEND_MS: Ms = 500;
/// Pause after another controller was found to be refused as well.
const OUT_MS: Ms = 1_000;

/// What is asked of another controller.
pub(crate) struct ForwardedRequest {
    method: String,
    path: String,
    body: Option<Vec<u8>>,
}

impl ForwardedRequest {
    fn message(&self, request_number: u64) -> Body {
        Body::ForwardedRequest {
            request_number,
            method: self.method.clone(),
            path: self.path.clone(),
            body: self.body.clone(),
        }
    }

    /// A worker's report.
    pub(crate) fn heartbeat(body: Vec<u8>) -> Self {
        Self {
            method: "POST".to_owned(),
            path: REPORT_PATH.to_owned(),
            body: Some(body),
        }
    }
}

/// A request that was passed on.
pub(crate) struct PendingForward {
    request: RequestId,
    message: ForwardedRequest,
    target: NodeName,
    deadline: Ms,
    /// When it is sent again, if it may be: a message may be lost with its connection.
    resend_at: Option<Ms>,
}

impl Node {
    /// Passes a user's request on, if somebody else should answer it. Returns
    /// the body if not.
    pub(crate) fn forward_if_preferred(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(), Option<Vec<u8>>> {
        if request.is_from_peer() {
            return Err(body);
        }
        let Some(to) = self.preferred_controller(method, path) else {
            return Err(body);
        };
        let time = if method == "GET" {
            QUESTION_MS
        } else {
            WRITE_MS
        };
        let what = ForwardedRequest {
            method: method.to_owned(),
            path: path.to_owned(),
            body,
        };
        self.forward(request, &to, what, time);
        Ok(())
    }

    /// Asks another controller, which has so much time for its answer.
    pub(crate) fn forward(
        &mut self,
        request: RequestId,
        to: &NodeName,
        what: ForwardedRequest,
        time: Ms,
    ) {
        self.forwarded_count += 1;
        let request_number = self.forwarded_count;
        let now = self.ctx.now;
        self.ctx.send_to_peer(to, 0, what.message(request_number));
        let forward = PendingForward {
            request,
            target: to.clone(),
            deadline: now + time,
            resend_at: (what.path == REPORT_PATH).then_some(now + RESEND_MS),
            message: what,
        };
        self.forwards.insert(request_number, forward);
    }

    /// Sends again what may be and has had no answer yet.
    fn resend_forwards(&mut self) {
        let now = self.ctx.now;
        for (request_number, forward) in &mut self.forwards {
            if forward.resend_at.is_some_and(|t| now >= t) {
                forward.resend_at = Some(now + RESEND_MS);
                self.ctx
                    .send_to_peer(&forward.target, 0, forward.message.message(*request_number));
            }
        }
    }

    /// Who should answer a request instead of us.
    fn preferred_controller(&self, method: &str, path: &str) -> Option<NodeName> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let id = match (method, parts.as_slice()) {
            ("POST", ["submissions"]) => None,
            ("GET", ["submissions", id]) | ("POST", ["submissions", id, "abort"]) => {
                Some(JobId::parse(id)?)
            }
            _ => return None,
        };
        let us = &self.ctx.config.node;
        if let Some(id) = &id {
            let ours = self.shards.values().any(|s| s.jobs.contains_key(id));
            let right = self.membership.has_valid_lease(&self.ctx, &self.view);
            if self.final_stages.get(id).is_some() || (ours && right) {
                return None;
            }
            let home = self.job_shards.get(id);
            let holder = home.and_then(|k| self.view.holder(k)).filter(|n| *n != us);
            if holder.is_some() && !ours {
                return holder.cloned();
            }
        }
        if !self.ctx.store.is_out() || self.ctx.now < self.store_down_everywhere_until {
            return None;
        }
        let others: Vec<&NodeName> = self.view.nodes.keys().filter(|n| *n != us).collect();
        let n = others.len().max(1) as u64;
        others
            .get((self.forwarded_count % n) as usize)
            .map(|n| (*n).clone())
    }

    /// Another controller passes a request on to us.
    pub(crate) fn on_forwarded_request(
        &mut self,
        (from, incarnation): (NodeName, u64),
        request_number: u64,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        if !path.starts_with("/submissions") && path != REPORT_PATH {
            return;
        }
        let is_full = self.ctx.peer_requests.len() >= self.ctx.config.bounds.forwarded_requests;
        let request = self.ctx.add_peer_request(from, incarnation, request_number);
        if is_full {
            // Whoever passed it on deals with it, and need not wait to do so.
            let now = self.ctx.now;
            self.ctx.overflows.note(now, Overflow::ForwardedRequests);
            return self.ctx.respond(request, Reply::later("too many requests"));
        }
        self.on_request(request, method, path, body);
    }

    /// Another controller has answered a request that was passed on.
    pub(crate) fn on_forwarded_response(&mut self, request_number: u64, reply: Reply) {
        let Some(forward) = self.forwards.remove(&request_number) else {
            return;
        };
        if forward.message.path == REPORT_PATH {
            return self.ctx.respond(forward.request, reply);
        }
        if reply.status == 503 {
            if self.ctx.store.is_out() {
                // The service is out for others, too.
                self.store_down_everywhere_until = self.ctx.now + OUT_MS;
            }
            return self.serve_locally(forward);
        }
        let told = serde_json::from_slice::<JobStatus>(&reply.body).ok();
        if let Some(told) = told.filter(|_| reply.status == 200) {
            if told.stage.is_final() {
                self.final_stages.insert(told.id, told.stage);
            } else if let Some(stage) = self.final_stages.get(&told.id) {
                // The answer was overtaken by a newer one.
                let newer = Reply::json(200, &status(&told.id, stage));
                return self.ctx.respond(forward.request, newer);
            }
        }
        self.ctx.respond(forward.request, reply);
    }

    /// Deals here with what had no answer elsewhere, and forgets requests of
    /// others that can have no answer in time.
    pub(crate) fn follow_forwards(&mut self) {
        let now = self.ctx.now;
        let late: Vec<u64> = self
            .forwards
            .iter()
            .filter(|(_, f)| now >= f.deadline)
            .map(|(request_number, _)| *request_number)
            .collect();
        for request_number in late {
            if let Some(forward) = self.forwards.remove(&request_number) {
                self.serve_locally(forward);
            }
        }
        self.resend_forwards();
        self.ctx.expire_peer_requests();
    }

    fn serve_locally(&mut self, forward: PendingForward) {
        let PendingForward {
            request,
            message: what,
            ..
        } = forward;
        if what.path == REPORT_PATH {
            if let Some(reply) = self.on_heartbeat_request(request, what.body, Relaying::Tried) {
                self.ctx.respond(request, reply);
            }
            return;
        }
        self.serve_here(request, &what.method, &what.path, what.body);
    }
}

#[cfg(test)]
mod tests;
