//! Requests of users that another controller can answer better.
//!
//! A question or a cancellation goes to the holder of the job's share, who
//! answers from memory by right; that saves a read of the state service, which
//! has few to spare. While the service refuses this controller alone, all
//! requests go to another one. The answer counts from the moment between
//! request and answer at which the other gave it, as if the user had come to
//! it. Without an answer in time the request is dealt with here.

use crate::api::status;
use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::overflow::Overflow;
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::users::JobStatus;
use forkshift_wire::{JobId, NodeName};

/// Time that another controller has for a question; users wait 2 s.
const QUESTION_MS: Ms = 500;
/// Time for what has to be written.
const WRITE_MS: Ms = 1_500;
/// Pause after another controller was found to be refused as well.
const OUT_MS: Ms = 1_000;

/// A request that was passed on.
pub(crate) struct Forward {
    request: RequestId,
    method: String,
    path: String,
    body: Option<Vec<u8>>,
    until: Ms,
}

impl Node {
    /// Passes a user's request on, if somebody else should answer it. Returns
    /// the body if not.
    pub(crate) fn pass_on(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(), Option<Vec<u8>>> {
        if request.is_remote() {
            return Err(body);
        }
        let Some(to) = self.better(method, path) else {
            return Err(body);
        };
        let time = if method == "GET" {
            QUESTION_MS
        } else {
            WRITE_MS
        };
        self.asks += 1;
        let ask = self.asks;
        let forward = Forward {
            request,
            method: method.to_owned(),
            path: path.to_owned(),
            body: body.clone(),
            until: self.ctx.now + time,
        };
        self.forwards.insert(ask, forward);
        let (method, path) = (method.to_owned(), path.to_owned());
        let body = Body::Forward {
            ask,
            method,
            path,
            body,
        };
        self.ctx.tell(&to, 0, body);
        Ok(())
    }

    /// Who should answer a request instead of us.
    fn better(&self, method: &str, path: &str) -> Option<NodeName> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let id = match (method, parts.as_slice()) {
            ("POST", ["submissions"]) => None,
            ("GET", ["submissions", id]) | ("POST", ["submissions", id, "abort"]) => {
                Some(JobId::parse(id)?)
            }
            _ => return None,
        };
        let us = &self.ctx.cfg.node;
        if let Some(id) = &id {
            let ours = self.shares.values().any(|s| s.jobs.contains_key(id));
            let right = self.member.has_right(&self.ctx, &self.view);
            if self.finals.get(id).is_some() || (ours && right) {
                return None;
            }
            let home = self.homes.get(id);
            let holder = home.and_then(|k| self.view.holder(k)).filter(|n| *n != us);
            if holder.is_some() && !ours {
                return holder.cloned();
            }
        }
        if !self.ctx.store.is_out() || self.ctx.now < self.all_out_until {
            return None;
        }
        let others: Vec<&NodeName> = self.view.nodes.keys().filter(|n| *n != us).collect();
        let n = others.len().max(1) as u64;
        others.get((self.asks % n) as usize).map(|n| (*n).clone())
    }

    /// Another controller passes a request on to us.
    pub(crate) fn on_forward(
        &mut self,
        (from, inc): (NodeName, u64),
        ask: u64,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        if !path.starts_with("/submissions") {
            return;
        }
        let is_full = self.ctx.remote.len() >= self.ctx.cfg.bounds.forwarded_requests;
        let request = self.ctx.remote_request(from, inc, ask);
        if is_full {
            // Whoever passed it on deals with it, and need not wait to do so.
            let now = self.ctx.now;
            self.ctx.overflows.note(now, Overflow::ForwardedRequests);
            return self.ctx.respond(request, Reply::later("too many requests"));
        }
        self.on_request(request, method, path, body);
    }

    /// Another controller has answered a request that was passed on.
    pub(crate) fn on_forwarded(&mut self, ask: u64, reply: Reply) {
        let Some(forward) = self.forwards.remove(&ask) else {
            return;
        };
        if reply.status == 503 {
            if self.ctx.store.is_out() {
                // The service is out for others, too.
                self.all_out_until = self.ctx.now + OUT_MS;
            }
            return self.deal_with(forward);
        }
        let told = serde_json::from_slice::<JobStatus>(&reply.body).ok();
        if let Some(told) = told.filter(|_| reply.status == 200) {
            if told.stage.is_final() {
                self.finals.insert(told.id, told.stage);
            } else if let Some(stage) = self.finals.get(&told.id) {
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
            .filter(|(_, f)| now >= f.until)
            .map(|(ask, _)| *ask)
            .collect();
        for ask in late {
            if let Some(forward) = self.forwards.remove(&ask) {
                self.deal_with(forward);
            }
        }
        self.ctx.forget_remote();
    }

    fn deal_with(&mut self, forward: Forward) {
        let Forward {
            request,
            method,
            path,
            body,
            ..
        } = forward;
        self.serve_here(request, &method, &path, body);
    }
}

#[cfg(test)]
mod tests;
