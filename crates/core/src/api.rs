//! The HTTP API: requests of users, workers and readiness probes, routed by method and path.
//!
//! A handler returns the response, or `None` if it responds later by [`Context::respond`].
//!
//! [`Context::respond`]: crate::context::Context::respond

pub(crate) mod admission;
mod cancellations;
pub(crate) mod delayed_lookups;
mod heartbeats;
pub(crate) mod refusals;
mod status_queries;
mod submissions;

pub(crate) use status_queries::{parse_job_record, parse_versioned_job_record};

use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::protocol::relay::RelayPermission;
use crate::Ms;
use forkshift_wire::users::{JobStage, JobStatus};
use forkshift_wire::JobId;

/// Time within which a submission or a cancellation is answered, in milliseconds. Clients of
/// users time out after 5 s.
pub(crate) const USER_ANSWER_TIMEOUT_MS: Ms = 4_000;

/// The status of a job by its stage alone, without counts of its tasks.
pub(crate) fn status_of_stage(id: &JobId, stage: JobStage) -> JobStatus {
    JobStatus {
        id: id.clone(),
        stage,
        done: None,
        running: None,
    }
}

impl Node {
    /// Forwards a request to another controller if necessary, or processes it here.
    pub(crate) fn on_request(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        let path = path.split('?').next().unwrap_or_default();
        if let Err(body) = self.try_forward(request, method, path, body) {
            self.handle_locally(request, method, path, body);
        }
    }

    /// Processes a request on this controller, without forwarding it.
    pub(crate) fn handle_locally(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let reply = match (method, segments.as_slice()) {
            ("GET", ["up"]) => Some(self.readiness()),
            ("POST", ["v1", "report"]) => {
                self.on_heartbeat_request(request, body, RelayPermission::Allowed)
            }
            ("POST", ["submissions"]) => self.submit(request, body),
            ("GET", ["submissions", id]) => self.answer_status_query(request, id),
            ("POST", ["submissions", id, "abort"]) => self.cancel_job(request, id),
            (
                _,
                ["up" | "submissions"]
                | ["v1", "report"]
                | ["submissions", _]
                | ["submissions", _, "abort"],
            ) => Some(Reply::error(405, "wrong method")),
            _ => Some(Reply::error(404, "no such path")),
        };
        if let Some(reply) = reply {
            self.ctx.respond(request, reply);
        }
    }

    /// The response to a readiness probe.
    fn readiness(&self) -> Reply {
        if self.is_ready() {
            Reply::json(200, &serde_json::json!({}))
        } else {
            Reply::unavailable("not ready")
        }
    }
}

#[cfg(test)]
mod tests;
