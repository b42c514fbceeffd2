//! What reaches a controller and what it wants done: batches of inputs go in,
//! effects come out.

use crate::Ms;
use forkshift_wire::NodeName;
use serde::Serialize;

/// Names a call that is under way.
pub type CallId = u64;

/// Names a request that waits for its answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u64);

/// Set in the names of requests that other controllers have passed on.
pub(crate) const PEER_REQUEST_BIT: u64 = 1 << 63;

impl RequestId {
    /// Whether another controller waits for the answer.
    pub(crate) fn is_from_peer(self) -> bool {
        self.0 & PEER_REQUEST_BIT != 0
    }
}

/// What reaches the controller.
#[derive(Debug)]
pub enum Input {
    /// A request from a user, a worker or a probe.
    Request {
        /// To be named in the answer.
        request: RequestId,
        /// `GET`, `POST`, …
        method: String,
        /// Path and query.
        path: String,
        /// The body; none if it was too long.
        body: Option<Vec<u8>>,
    },
    /// A message from another controller, as it came.
    Peer(Vec<u8>),
    /// The end of a call.
    Response {
        /// Which call.
        call: CallId,
        /// HTTP status; 0: no answer came.
        status: u16,
        /// The body as it came.
        body: Vec<u8>,
    },
}

/// Whom a call goes to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Target {
    /// The state service.
    Store,
    /// The cloud.
    Cloud,
    /// A worker, by its address.
    Worker(String),
}

/// An answer to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: Vec<u8>,
    /// When to come back.
    pub retry_after_s: Option<u32>,
}

impl Reply {
    /// An answer with a JSON body.
    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
            retry_after_s: None,
        }
    }

    /// An answer that says what was wrong.
    pub(crate) fn error(status: u16, error: &str) -> Self {
        let error = error.to_owned();
        Self::json(status, &forkshift_wire::users::Refusal { error })
    }

    /// Not now: come back after a while.
    pub(crate) fn later(error: &str) -> Self {
        Self {
            retry_after_s: Some(1),
            ..Self::error(503, error)
        }
    }
}

/// What the controller wants done.
#[derive(Debug)]
pub enum Effect {
    /// Answer a request.
    Respond {
        /// Which request.
        request: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Tell another controller something. It may get lost.
    SendToPeer {
        /// Whom.
        node: NodeName,
        /// What, ready to be sent.
        message: Vec<u8>,
    },
    /// Make a call, once.
    Call {
        /// To be named in the answer.
        id: CallId,
        /// To whom.
        target: Target,
        /// `GET`, `POST` or `DELETE`.
        method: &'static str,
        /// Path and query.
        path: String,
        /// JSON.
        body: Option<Vec<u8>>,
        /// No answer counts after this.
        timeout: Ms,
    },
}
