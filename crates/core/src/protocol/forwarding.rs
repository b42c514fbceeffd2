//! Forwarding of requests to the controller that should answer them.
//!
//! A status query or a cancellation is forwarded to the holder of the job's shard, which
//! answers from memory under a valid lease. That saves a read of the key-value store, whose
//! request rate is limited. While the store refuses this controller but may serve others,
//! all requests are forwarded to another controller.
//!
//! Forwarding keeps the guarantees of a direct request: the answer reflects the state at a
//! time between request and answer, as if the user had sent the request to the other
//! controller. If there is no answer in time, the request is handled here.

use crate::api::delayed_lookups::DelayedLookup;
use crate::api::status_of_stage;
use crate::io::{Reply, RequestId};
use crate::job_feed::ReadPriority;
use crate::node::Node;
use crate::overflow::Overflow;
use crate::pending_call::{LookupPurpose, LookupRequest};
use crate::protocol::messages::MessageSender;
use crate::protocol::relay::RelayPermission;
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::users::JobStatus;
use forkshift_wire::{JobId, NodeName};

/// Path of the requests that carry workers' heartbeats.
const WORKER_HEARTBEAT_PATH: &str = "/v1/report";
/// Timeout for another controller's answer to a status query, in milliseconds. Users wait
/// 2 s, so time remains to handle the query here.
const QUERY_TIMEOUT_MS: Ms = 500;
/// Timeout for another controller's answer to a request that writes, in milliseconds.
const WRITE_TIMEOUT_MS: Ms = 1_500;
/// Interval at which an unanswered heartbeat is forwarded again, in milliseconds. Heartbeats
/// are idempotent.
const HEARTBEAT_RESEND_MS: Ms = 500;
/// How long requests are not forwarded after the store was found to refuse another controller
/// as well, in milliseconds.
const STORE_DOWN_PAUSE_MS: Ms = 1_000;

/// The contents of a request that is sent to another controller.
pub(crate) struct ForwardedRequest {
    method: String,
    path: String,
    body: Option<Vec<u8>>,
}

impl ForwardedRequest {
    /// The message that forwards the request under the sender's number for it.
    fn to_message(&self, request_number: u64) -> Body {
        Body::ForwardedRequest {
            request_number,
            method: self.method.clone(),
            path: self.path.clone(),
            body: self.body.clone(),
        }
    }

    /// The request that carries a worker's heartbeat.
    pub(crate) fn heartbeat(body: Vec<u8>) -> Self {
        Self {
            method: "POST".to_owned(),
            path: WORKER_HEARTBEAT_PATH.to_owned(),
            body: Some(body),
        }
    }

    /// The request for the status of a job.
    fn status_query(id: &JobId) -> Self {
        Self {
            method: "GET".to_owned(),
            path: format!("/submissions/{id}"),
            body: None,
        }
    }

    /// The job whose status is requested; none if it is another request.
    fn queried_job(&self) -> Option<JobId> {
        match ForwardableRequest::parse(&self.method, &self.path)? {
            ForwardableRequest::ForJob(id) if self.method == "GET" => Some(id),
            _ => None,
        }
    }

    fn is_heartbeat(&self) -> bool {
        self.path == WORKER_HEARTBEAT_PATH
    }
}

/// What is done with a forwarded request that the other controller refuses or doesn't answer.
pub(crate) enum ForwardFallback {
    /// It is processed here.
    HandleLocally,
    /// It is refused, as it is uncertain here whether a dependency of the job is cancelled.
    Refuse {
        id: JobId,
        /// The job's direct dependencies.
        dependencies: Vec<JobId>,
    },
}

/// A forwarded request that has no answer yet.
pub(crate) struct PendingForward {
    request: RequestId,
    forwarded: ForwardedRequest,
    fallback: ForwardFallback,
    target: NodeName,
    deadline: Ms,
    /// When the message is sent again, as it may be lost with its connection; none if the
    /// request must not be repeated.
    resend_at: Option<Ms>,
}

/// A user's request of a kind that may be forwarded.
enum ForwardableRequest {
    /// A new job.
    Submission,
    /// A status query or a cancellation.
    ForJob(JobId),
}

impl ForwardableRequest {
    fn parse(method: &str, path: &str) -> Option<Self> {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            ("POST", ["submissions"]) => Some(Self::Submission),
            ("GET", ["submissions", id]) | ("POST", ["submissions", id, "abort"]) => {
                JobId::parse(id).map(Self::ForJob)
            }
            _ => None,
        }
    }
}

impl Node {
    /// Forwards a user's request, if another controller should answer it. Otherwise returns
    /// the body as the error, so that the request can be handled here. A request that was
    /// forwarded to this controller is not forwarded again.
    pub(crate) fn try_forward(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(), Option<Vec<u8>>> {
        if request.is_from_peer() {
            return Err(body);
        }
        let Some(target) = self.forward_target(method, path) else {
            return Err(body);
        };
        let timeout = if method == "GET" {
            QUERY_TIMEOUT_MS
        } else {
            WRITE_TIMEOUT_MS
        };
        let forwarded = ForwardedRequest {
            method: method.to_owned(),
            path: path.to_owned(),
            body,
        };
        let fallback = ForwardFallback::HandleLocally;
        self.forward(request, &target, forwarded, fallback, timeout);
        Ok(())
    }

    /// Forwards a status query to the holder of its job, if there is another one, as it is
    /// uncertain here whether one of the job's dependencies is cancelled. The holder looks
    /// after the dependencies of its jobs; if all controllers read the dependencies of all jobs,
    /// the store could not serve the reads. Returns whether the query was forwarded.
    pub(crate) fn forward_undecided_query(&mut self, delayed: &DelayedLookup) -> bool {
        let LookupRequest { request, id, .. } = &delayed.lookup;
        let is_query = matches!(delayed.lookup.purpose, LookupPurpose::StatusQuery);
        if !is_query || request.is_from_peer() {
            return false;
        }
        let Some(holder) = self.remote_holder(id).cloned() else {
            return false;
        };
        let fallback = ForwardFallback::Refuse {
            id: id.clone(),
            dependencies: delayed.dependencies.clone(),
        };
        let forwarded = ForwardedRequest::status_query(id);
        let timeout = delayed.lookup.deadline.saturating_sub(self.ctx.now);
        self.forward(*request, &holder, forwarded, fallback, timeout);
        true
    }

    /// Sends a request to another controller, which must answer within `timeout` milliseconds.
    pub(crate) fn forward(
        &mut self,
        request: RequestId,
        target: &NodeName,
        forwarded: ForwardedRequest,
        fallback: ForwardFallback,
        timeout: Ms,
    ) {
        self.last_forward_number += 1;
        let request_number = self.last_forward_number;
        let now = self.ctx.now;
        let message = forwarded.to_message(request_number);
        self.ctx.send_to_peer(target, 0, message);
        let forward = PendingForward {
            request,
            target: target.clone(),
            deadline: now + timeout,
            resend_at: forwarded
                .is_heartbeat()
                .then_some(now + HEARTBEAT_RESEND_MS),
            forwarded,
            fallback,
        };
        self.pending_forwards.insert(request_number, forward);
    }

    /// Repeats the unanswered requests that may be repeated and are due.
    fn resend_forwards(&mut self) {
        let now = self.ctx.now;
        for (request_number, forward) in &mut self.pending_forwards {
            if forward.resend_at.is_some_and(|time| now >= time) {
                forward.resend_at = Some(now + HEARTBEAT_RESEND_MS);
                let message = forward.forwarded.to_message(*request_number);
                self.ctx.send_to_peer(&forward.target, 0, message);
            }
        }
    }

    /// The controller that should answer a request instead of this one; none if the request is
    /// handled here.
    fn forward_target(&self, method: &str, path: &str) -> Option<NodeName> {
        let request = ForwardableRequest::parse(method, path)?;
        if let ForwardableRequest::ForJob(id) = &request {
            if self.can_answer_from_memory(id) {
                return None;
            }
            if let Some(holder) = self.remote_holder(id) {
                return Some(holder.clone());
            }
        }
        self.peer_with_store_access().cloned()
    }

    /// Whether the status of a job can be answered here without a read of the store.
    fn can_answer_from_memory(&self, id: &JobId) -> bool {
        let has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        self.final_stages.get(id).is_some() || (has_valid_lease && self.has_job(id))
    }

    /// Whether a shard held here contains the unfinished job.
    fn has_job(&self, id: &JobId) -> bool {
        self.shards
            .values()
            .any(|shard| shard.jobs.contains_key(id))
    }

    /// The other controller that holds the job's shard, if the shard is known.
    fn remote_holder(&self, id: &JobId) -> Option<&NodeName> {
        if self.has_job(id) {
            return None;
        }
        let in_feed = || self.job_feed.unfinished(id).map(|job| job.shard);
        let shard_id = self.job_shards.get(id).or_else(in_feed)?;
        let holder = self.view.holder(shard_id)?;
        (*holder != self.ctx.config.node).then_some(holder)
    }

    /// Another controller that the store may serve, while it refuses this one; successive
    /// requests rotate through the other controllers. None if the store serves this controller
    /// or was recently found to refuse another one.
    fn peer_with_store_access(&self) -> Option<&NodeName> {
        if !self.ctx.store.is_refusing_calls() || self.ctx.now < self.store_down_everywhere_until {
            return None;
        }
        let own_name = &self.ctx.config.node;
        let names = self.view.nodes.keys();
        let peers: Vec<&NodeName> = names.filter(|name| *name != own_name).collect();
        let peer_count = peers.len().max(1) as u64;
        let index = (self.last_forward_number % peer_count) as usize;
        peers.get(index).copied()
    }

    /// Processes a request that another controller has forwarded. Requests other than users'
    /// requests for jobs and heartbeats are dropped.
    pub(crate) fn on_forwarded_request(
        &mut self,
        sender: &MessageSender,
        request_number: u64,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        if !path.starts_with("/submissions") && path != WORKER_HEARTBEAT_PATH {
            return;
        }
        let is_full = self.ctx.peer_requests.len() >= self.ctx.config.bounds.forwarded_requests;
        let node = sender.node.clone();
        let request = self
            .ctx
            .register_peer_request(node, sender.incarnation, request_number);
        if is_full {
            // A refusal makes the sender handle the request at once instead of after its timeout.
            let now = self.ctx.now;
            self.ctx.overflows.record(now, Overflow::ForwardedRequests);
            return self
                .ctx
                .respond(request, Reply::unavailable("too many requests"));
        }
        self.on_request(request, method, path, body);
    }

    /// Processes another controller's answer to a forwarded request. A 503 makes this
    /// controller handle the request; an answer to an unknown number is dropped.
    pub(crate) fn on_forwarded_response(&mut self, request_number: u64, reply: Reply) {
        let Some(forward) = self.pending_forwards.remove(&request_number) else {
            return;
        };
        if forward.forwarded.is_heartbeat() {
            return self.ctx.respond(forward.request, reply);
        }
        if reply.status == 503 {
            if self.ctx.store.is_refusing_calls() {
                // The store refuses the other controller as well.
                self.store_down_everywhere_until = self.ctx.now + STORE_DOWN_PAUSE_MS;
            }
            return self.serve_refused(forward);
        }
        let reply = self.with_latest_stage(reply);
        self.ctx.respond(forward.request, reply);
    }

    /// Records the final stage in an answer. If the answer states an earlier stage than the
    /// final one that is known here, returns an answer with the final stage instead.
    fn with_latest_stage(&mut self, reply: Reply) -> Reply {
        let reported = serde_json::from_slice::<JobStatus>(&reply.body).ok();
        let Some(reported) = reported.filter(|_| reply.status == 200) else {
            return reply;
        };
        if reported.stage.is_final() {
            self.final_stages.insert(reported.id, reported.stage);
            return reply;
        }
        match self.final_stages.get(&reported.id) {
            Some(stage) => Reply::json(200, &status_of_stage(&reported.id, stage)),
            None => reply,
        }
    }

    /// Handles the requests here that had no answer in time, repeats others that are due, and
    /// drops expired requests from other controllers.
    pub(crate) fn expire_pending_forwards(&mut self) {
        let now = self.ctx.now;
        let expired: Vec<u64> = self
            .pending_forwards
            .iter()
            .filter(|(_, forward)| now >= forward.deadline)
            .map(|(request_number, _)| *request_number)
            .collect();
        for request_number in expired {
            if let Some(forward) = self.pending_forwards.remove(&request_number) {
                self.serve_unanswered(forward);
            }
        }
        self.resend_forwards();
        self.ctx.expire_peer_requests();
    }

    /// Handles a request here that another controller has refused. A query is refused here as
    /// well while it is uncertain whether a dependency of the job is cancelled.
    fn serve_refused(&mut self, forward: PendingForward) {
        let unsettled = forward.forwarded.queried_job().and_then(|id| {
            let unsettled = self.unsettled_dependencies(&id)?;
            Some((id, unsettled))
        });
        let (id, dependencies) = match (&forward.fallback, unsettled) {
            (ForwardFallback::Refuse { id, dependencies }, _) => (id.clone(), dependencies.clone()),
            (ForwardFallback::HandleLocally, Some((id, (dependencies, _)))) => (id, dependencies),
            (ForwardFallback::HandleLocally, None) => return self.serve_unanswered(forward),
        };
        // The holder reads the dependencies first.
        self.refuse_undecided(
            forward.request,
            &id,
            &dependencies,
            ReadPriority::Background,
        );
    }

    /// Handles a request here that another controller has refused or not answered in time.
    fn serve_unanswered(&mut self, forward: PendingForward) {
        let PendingForward {
            request,
            forwarded,
            fallback,
            ..
        } = forward;
        if let ForwardFallback::Refuse { id, dependencies } = fallback {
            let priority = ReadPriority::Request;
            return self.refuse_undecided(request, &id, &dependencies, priority);
        }
        if !forwarded.is_heartbeat() {
            let ForwardedRequest { method, path, body } = forwarded;
            return self.handle_locally(request, &method, &path, body);
        }
        let reply =
            self.on_heartbeat_request(request, forwarded.body, RelayPermission::AlreadyTried);
        if let Some(reply) = reply {
            self.ctx.respond(request, reply);
        }
    }
}

#[cfg(test)]
mod tests;
