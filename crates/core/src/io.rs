//! The inputs of a controller, and the effects that it requests from its caller.

use crate::Ms;
use forkshift_wire::NodeName;
use serde::Serialize;

/// Identifies a call in flight. Unique within the process.
pub type CallId = u64;

/// Identifies a request until it is answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u64);

/// Value of the `Retry-After` header of a 503 response, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Bit that is set in the ids of requests that other controllers have forwarded.
pub(crate) const PEER_REQUEST_BIT: u64 = 1 << 63;

impl RequestId {
    /// Whether the request was forwarded by another controller.
    pub(crate) fn is_from_peer(self) -> bool {
        self.0 & PEER_REQUEST_BIT != 0
    }
}

/// An input of the controller.
#[derive(Debug)]
pub enum Input {
    /// A request from a user, a worker or a probe.
    Request {
        /// Id to pass back in [`Effect::Respond`].
        request: RequestId,
        /// HTTP method, such as `GET` or `POST`.
        method: String,
        /// Path with query.
        path: String,
        /// Body; `None` if it exceeded the limit.
        body: Option<Vec<u8>>,
    },
    /// An encoded message from another controller.
    Peer(Vec<u8>),
    /// The response to a call, or its failure.
    Response {
        /// Id of the call, from [`Effect::Call`].
        call: CallId,
        /// HTTP status; 0 if no response was received.
        status: u16,
        /// Unparsed response body.
        body: Vec<u8>,
    },
}

/// The service that a call goes to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Target {
    /// The key-value store.
    Store,
    /// The API of the cloud.
    Cloud,
    /// A worker, by its network address.
    Worker(String),
}

/// The response to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds; `None` omits the header.
    pub retry_after_s: Option<u32>,
}

impl Reply {
    /// A response with a JSON body.
    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
            retry_after_s: None,
        }
    }

    /// A response with an error message.
    pub(crate) fn error(status: u16, error: &str) -> Self {
        let error = error.to_owned();
        Self::json(status, &forkshift_wire::users::ErrorBody { error })
    }

    /// A 503 response with an error message and a `Retry-After` header.
    pub(crate) fn unavailable(error: &str) -> Self {
        Self {
            retry_after_s: Some(RETRY_AFTER_S),
            ..Self::error(503, error)
        }
    }
}

/// An effect that the caller must carry out for the controller.
#[derive(Debug)]
pub enum Effect {
    /// Respond to a request.
    Respond {
        /// Id of the request, from [`Input::Request`].
        request: RequestId,
        /// The response.
        reply: Reply,
    },
    /// Send a message to another controller. Delivery is not guaranteed.
    SendToPeer {
        /// Name of the receiver.
        node: NodeName,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Make an HTTP call, without retries.
    Call {
        /// Id to pass back in [`Input::Response`].
        id: CallId,
        /// Service to call.
        target: Target,
        /// HTTP method: `GET`, `POST` or `DELETE`.
        method: &'static str,
        /// Path with query.
        path: String,
        /// JSON body; `None` if the call has none.
        body: Option<Vec<u8>>,
        /// Time after which the call fails without a response, in milliseconds.
        timeout: Ms,
    },
}
