//! The inputs of a controller, and the effects that it wants carried out.

use crate::Ms;
use forkshift_wire::NodeName;
use serde::Serialize;

/// Names a call in flight.
pub type CallId = u64;

/// Names a request that has not been answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u64);

/// The `Retry-After` of a 503, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Set in the names of requests that other controllers have forwarded.
pub(crate) const PEER_REQUEST_BIT: u64 = 1 << 63;

impl RequestId {
    /// Whether another controller has forwarded the request.
    pub(crate) fn is_from_peer(self) -> bool {
        self.0 & PEER_REQUEST_BIT != 0
    }
}

/// An input of the controller.
#[derive(Debug)]
pub enum Input {
    /// A request from a user, a worker or a probe.
    Request {
        /// Named in [`Effect::Respond`].
        request: RequestId,
        /// `GET`, `POST`, …
        method: String,
        /// Path and query.
        path: String,
        /// The body; none if it exceeded the limit.
        body: Option<Vec<u8>>,
    },
    /// An encoded message from another controller.
    Peer(Vec<u8>),
    /// The end of a call.
    Response {
        /// Which call.
        call: CallId,
        /// HTTP status; 0 without an answer.
        status: u16,
        /// The unparsed body.
        body: Vec<u8>,
    },
}

/// The service that a call goes to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Target {
    /// The key-value store.
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
    /// The `Retry-After` header, in seconds.
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

    /// An answer with an error message.
    pub(crate) fn error(status: u16, error: &str) -> Self {
        let error = error.to_owned();
        Self::json(status, &forkshift_wire::users::ErrorBody { error })
    }

    /// A 503 with an error message, to be retried after a second.
    pub(crate) fn unavailable(error: &str) -> Self {
        Self {
            retry_after_s: Some(RETRY_AFTER_S),
            ..Self::error(503, error)
        }
    }
}

/// An effect that the controller wants carried out.
#[derive(Debug)]
pub enum Effect {
    /// Answer a request.
    Respond {
        /// Which request.
        request: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Send a message to another controller. It may be lost.
    SendToPeer {
        /// The receiver.
        node: NodeName,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Make a call, without retries.
    Call {
        /// Named in [`Input::Response`].
        id: CallId,
        /// The service to be called.
        target: Target,
        /// `GET`, `POST` or `DELETE`.
        method: &'static str,
        /// Path and query.
        path: String,
        /// JSON.
        body: Option<Vec<u8>>,
        /// Time for the answer, in milliseconds.
        timeout: Ms,
    },
}
