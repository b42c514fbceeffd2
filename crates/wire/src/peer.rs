//! Messages between controllers, encoded with borsh.
//!
//! Messages only reduce latency. Their contents are also in the key-value store, or are
//! requested again, so a message may be lost, delayed or duplicated without harm.
//!
//! Borsh encodes fields and variants by position. Neither fields nor variants may be
//! reordered. A new variant goes to the end and needs a new version of the format.

use borsh::{BorshDeserialize, BorshSerialize};

/// The only version of the format that the first release supports.
pub const FIRST_VERSION: u16 = 5;
/// First version with the messages about dependencies between jobs.
const DEPENDENCIES_VERSION: u16 = 6;
/// Latest version of the format. A message is sent with the oldest version that supports its
/// body, so that controllers of earlier releases can decode the message.
pub const LATEST_VERSION: u16 = 7;
/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 96 * 1024;

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// Version of the format. It is the first field, so that every release can decode it.
    pub version: u16,
    /// Name of the controller that sends the message.
    pub from: String,
    /// Incarnation of the sender. The receiver drops messages of earlier incarnations.
    pub incarnation: u64,
    /// Epoch of the shard that the message concerns, as the sender knows it.
    pub epoch: u64,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Body {
    /// The sender accepted a job for a shard that the receiver holds.
    NewJob {
        /// The shard.
        shard: u32,
        /// The submitted [`JobSpec`](crate::users::JobSpec), in JSON.
        spec: String,
        /// Wall-clock time of the submission, in milliseconds since 1970.
        submitted_at_ms: u64,
        /// Revision of the store at which the job was recorded.
        revision: u64,
    },
    /// The rates at which the sender needs to use the key-value store; sent to the leader.
    BudgetRequest {
        /// Writes per 1000 seconds.
        writes: u32,
        /// Requests per 1000 seconds.
        requests: u32,
        /// Whether a [`Body::BudgetGrant`] of the receiver is in force at the sender.
        granted: bool,
    },
    /// The rates at which the receiver may use the key-value store for a short time, beyond
    /// its fixed part of the store's limits.
    BudgetGrant {
        /// Writes per 1000 seconds.
        writes: u32,
        /// Requests per 1000 seconds.
        requests: u32,
    },
    /// The unmet demand of a shard; sent to the leader. [`Envelope::epoch`] is the epoch of the
    /// shard.
    UnmetDemand {
        /// The shard.
        shard: u32,
        /// The demand record, in JSON. The sender also writes the record to the key-value store
        /// periodically.
        demand: String,
    },
    /// A user requests the cancellation of a job that the receiver holds.
    CancelJob {
        /// The job.
        id: String,
    },
    /// A user's request, forwarded to the controller that holds the job.
    ForwardedRequest {
        /// Number of the request, which is repeated in the response.
        request_number: u64,
        /// `GET` or `POST`.
        method: String,
        /// Path and query.
        path: String,
        /// Body of the request; none if the request has no body.
        body: Option<Vec<u8>>,
    },
    /// Periodic heartbeat of the sender.
    Heartbeat(PeerHeartbeat),
    /// Response to a forwarded request.
    ForwardedResponse {
        /// Incarnation in which the receiver of this message forwarded the request.
        incarnation: u64,
        /// Number of the request.
        request_number: u64,
        /// HTTP status.
        status: u16,
        /// Body, in JSON.
        body: Vec<u8>,
        /// Value of the `retry-after` header, in seconds; none: the response has no such
        /// header.
        retry_after_s: Option<u32>,
    },
    /// The final stage of a job was recorded. Since version 6.
    JobEnded {
        /// The job.
        id: String,
        /// Whether the job was cancelled; otherwise it completed.
        cancelled: bool,
    },
    /// A job that the receiver holds is a dependency of jobs that the sender holds, and
    /// inherits their priority. Since version 6.
    InheritPriority {
        /// The job.
        id: String,
        /// The highest priority among the dependent jobs; 0 is the lowest priority.
        priority: u8,
    },
    /// The sender holds these machines but receives no heartbeats from their workers. It asks
    /// the receiver to relay heartbeats of these workers. Since version 7.
    RelayRequest {
        /// Number of the list of machines within the sender's incarnation. Messages with the
        /// same number are parts of one list. A list replaces lists with lower numbers.
        list_number: u64,
        /// The machines.
        machines: Vec<String>,
    },
    /// The sender holds these machines but cannot reach their workers. It asks the receiver to
    /// call the workers and to relay their responses. Since version 7.
    ProbeRequest {
        /// The machines.
        machines: Vec<String>,
    },
    /// Response of a worker to a call that the receiver asked for with
    /// [`Body::ProbeRequest`]. Since version 7.
    ProbeResult {
        /// The worker's heartbeat, in JSON.
        heartbeat: Vec<u8>,
    },
}

impl Body {
    /// The oldest version of the format that supports this body.
    pub fn version(&self) -> u16 {
        match self {
            Self::JobEnded { .. } | Self::InheritPriority { .. } => DEPENDENCIES_VERSION,
            Self::RelayRequest { .. } | Self::ProbeRequest { .. } | Self::ProbeResult { .. } => {
                LATEST_VERSION
            }
            _ => FIRST_VERSION,
        }
    }
}

/// Heartbeat of a controller, with statements about the sender's state. The receiver may rely
/// on the statements as of the time at which it sent the acknowledged heartbeat.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// Time on the sender's monotonic clock, in milliseconds. The acknowledgement repeats it.
    pub sent_at: u64,
    /// The last heartbeat that the sender received from the receiver of this message; none if
    /// it has received none.
    pub acknowledged: Option<HeartbeatAck>,
    /// The highest epoch of each shard that the sender has seen, as pairs of shard and epoch;
    /// none until the sender has read the epochs in this incarnation.
    pub epochs: Option<Vec<(u32, u64)>>,
    /// Time for which the key-value store has been refusing the sender's requests, in
    /// milliseconds; none if the last request was served.
    pub store_refused_for_ms: Option<u64>,
    /// The shards that the sender holds under a valid lease.
    pub settled_shards: Vec<SettledShard>,
}

/// Identifies a heartbeat that the sender of the acknowledgement received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeartbeatAck {
    /// Incarnation of the controller that sent the heartbeat.
    pub incarnation: u64,
    /// [`PeerHeartbeat::sent_at`] of the heartbeat.
    pub sent_at: u64,
}

/// A shard, and the machines on which tasks of its cancelled jobs may still be running.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SettledShard {
    /// The shard.
    pub shard: u32,
    /// Machines of the shard on which tasks of cancelled jobs may still be running. No other
    /// machine of the shard has such a task.
    pub unsettled_machines: Vec<String>,
}

/// Why a message can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`]; its length in bytes.
    #[error("message of {0} bytes exceeds the maximum of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// The version of the format is not supported.
    #[error(
        "format version {0} is not supported; versions {FIRST_VERSION} to {LATEST_VERSION} are"
    )]
    UnsupportedVersion(u16),
    /// The bytes are not an encoded message.
    #[error("{0}")]
    Malformed(#[from] std::io::Error),
}

impl Envelope {
    /// Encodes the message, without a length prefix.
    ///
    /// # Errors
    ///
    /// [`MessageError::TooLong`], if the encoded message exceeds [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = borsh::to_vec(self)?;
        match bytes.len() {
            length if length > MAX_MESSAGE_BYTES => Err(MessageError::TooLong(length)),
            _ => Ok(bytes),
        }
    }

    /// Decodes a message, without a length prefix.
    ///
    /// # Errors
    ///
    /// [`MessageError`], if the bytes are not exactly one message of a supported version.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        // The version is decoded first, so that a message of an unsupported version is not
        // reported as malformed.
        let version = u16::deserialize(&mut &bytes[..])?;
        if !(FIRST_VERSION..=LATEST_VERSION).contains(&version) {
            return Err(MessageError::UnsupportedVersion(version));
        }
        Ok(borsh::from_slice(bytes)?)
    }
}

#[cfg(test)]
mod tests;
