//! Requests from users, workers and probes, told apart by method and path.

pub(crate) mod admission;
mod cancellations;
mod heartbeats;
mod status_queries;
mod submissions;

pub(crate) use status_queries::{read_job, read_versioned_job};

use crate::io::{Reply, RequestId};
use crate::node::Node;
use crate::protocol::relay::Relaying;
use crate::Ms;
use forkshift_wire::users::{JobStage, JobStatus};
use forkshift_wire::JobId;

/// A submission or a cancellation is answered within this, whatever happens:
/// users give up after 5 s.
pub(crate) const ANSWER_MS: Ms = 4_000;

/// What is told of a job when its tasks do not matter.
pub(crate) fn status(id: &JobId, stage: JobStage) -> JobStatus {
    JobStatus {
        id: id.clone(),
        stage,
        done: None,
        running: None,
    }
}

impl Node {
    /// Takes a request: passes it on to another controller, or deals with it here.
    pub(crate) fn on_request(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        let path = path.split('?').next().unwrap_or_default();
        if let Err(body) = self.forward_if_preferred(request, method, path, body) {
            self.serve_here(request, method, path, body);
        }
    }

    /// Answers a request without asking another controller.
    pub(crate) fn serve_here(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let reply = match (method, parts.as_slice()) {
            ("GET", ["up"]) => Some(self.up()),
            ("POST", ["v1", "report"]) => {
                self.on_heartbeat_request(request, body, Relaying::Allowed)
            }
            ("POST", ["submissions"]) => self.submit(request, body),
            ("GET", ["submissions", id]) => self.answer_status_query(request, id),
            ("POST", ["submissions", id, "abort"]) => self.cancel_job(request, id),
            (
                _,
                ["up"]
                | ["v1", "report"]
                | ["submissions"]
                | ["submissions", _]
                | ["submissions", _, "abort"],
            ) => Some(Reply::error(405, "wrong method")),
            _ => Some(Reply::error(404, "no such path")),
        };
        if let Some(reply) = reply {
            self.ctx.respond(request, reply);
        }
    }

    fn up(&self) -> Reply {
        if self.is_ready() {
            Reply::json(200, &serde_json::json!({}))
        } else {
            Reply::later("not ready")
        }
    }
}

#[cfg(test)]
mod tests;
