//! Messages between controllers, encoded with borsh.
//!
//! Messages only reduce latency. What they state is also in the state service, or is
//! requested again, so a message may be lost, delayed or duplicated without harm.
//!
//! Borsh encodes fields and variants by position: neither may be reordered, and a new
//! variant goes to the end, with a new version of the format.

use borsh::{BorshDeserialize, BorshSerialize};

/// The only version of the format that the first release supports.
pub const FIRST_VERSION: u16 = 5;
/// First version with the messages about dependencies between jobs.
const DEPENDENCIES_VERSION: u16 = 6;
/// Latest version of the format. A message is sent with the oldest version that has its
/// body, so that controllers of earlier releases can decode it.
pub const LATEST_VERSION: u16 = 7;
/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 96 * 1024;

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// Version of the format.
    pub version: u16,
    /// Name of the sender.
    pub from: String,
    /// Incarnation of the sender; messages of earlier incarnations are dropped.
    pub incarnation: u64,
    /// Epoch of the shard that the message concerns, as the sender knows it.
    pub epoch: u64,
    /// The message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Body {
    /// A job was accepted for a shard that the receiver holds.
    NewJob {
        /// The shard.
        shard: u32,
        /// The job as it was submitted, in JSON.
        spec: String,
        /// Wall-clock time of the submission, in milliseconds since 1970.
        submitted_at_ms: u64,
        /// Revision of the store at which the job was recorded.
        revision: u64,
    },
    /// The rate at which the sender needs to use the state service; sent to the leader.
    BudgetRequest {
        /// Changes in a thousand seconds.
        writes: u32,
        /// Requests in a thousand seconds.
        requests: u32,
        /// Whether the sender is bound by a grant of the receiver at present.
        granted: bool,
    },
    /// The rate at which the receiver may use the state service beyond its fixed part, for
    /// a short time.
    BudgetGrant {
        /// Changes in a thousand seconds.
        writes: u32,
        /// Requests in a thousand seconds.
        requests: u32,
    },
    /// The unmet demand of a shard, to the leader; the envelope has the shard's epoch.
    UnmetDemand {
        /// The shard.
        shard: u32,
        /// The demand record, in JSON; the sender also writes it to the store periodically.
        demand: String,
    },
    /// A user requests the cancellation of a job that the receiver holds.
    CancelJob {
        /// The job.
        id: String,
    },
    /// A user's request, forwarded to the holder of the job.
    ForwardedRequest {
        /// Number of the request, which the response repeats.
        request_number: u64,
        /// `GET` or `POST`.
        method: String,
        /// Path and query.
        path: String,
        /// The body, if there is one.
        body: Option<Vec<u8>>,
    },
    /// Periodic sign of life of the sender.
    Heartbeat(PeerHeartbeat),
    /// Response to a forwarded request.
    ForwardedResponse {
        /// Incarnation of the receiver that forwarded the request.
        incarnation: u64,
        /// Number of the request.
        request_number: u64,
        /// HTTP status.
        status: u16,
        /// Body, in JSON.
        body: Vec<u8>,
        /// Value of the `retry-after` header, in seconds.
        retry_after_s: Option<u32>,
    },
    /// The final stage of a job was recorded. Since version 6.
    JobEnded {
        /// The job.
        id: String,
        /// Whether it was cancelled; otherwise it is done.
        cancelled: bool,
    },
    /// A job that the receiver holds is a dependency of one that the sender holds.
    /// Since version 6.
    InheritPriority {
        /// The job.
        id: String,
        /// The highest priority among its dependents; 0 is the lowest.
        priority: u8,
    },
    /// The sender holds these machines but receives no heartbeats from their workers; the
    /// receiver should relay those that it gets. Since version 7.
    RelayRequest {
        /// Number of the list within the incarnation. Messages with the same number are
        /// parts of one list; a list replaces those with lower numbers.
        list_number: u64,
        /// The machines.
        machines: Vec<String>,
    },
    /// The sender holds these machines but cannot reach their workers; the receiver should
    /// call the workers and relay their responses. Since version 7.
    ProbeRequest {
        /// The machines.
        machines: Vec<String>,
    },
    /// Response of a worker to a probe. Since version 7.
    ProbeResult {
        /// The worker's heartbeat, in JSON.
        heartbeat: Vec<u8>,
    },
}

impl Body {
    /// The oldest version of the format that has this body.
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

/// Sign of life of a controller, with statements that the receiver may rely on. The
/// statements hold as of the time at which the acknowledged heartbeat was sent.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// Monotonic clock of the sender, which the acknowledgement repeats.
    pub sent_at: u64,
    /// The last heartbeat that the sender received from the receiver.
    pub acknowledged: Option<HeartbeatAck>,
    /// The highest epoch that the sender has seen of each shard, as pairs of shard and
    /// epoch; none until it has read them in this incarnation.
    pub epochs: Option<Vec<(u32, u64)>>,
    /// How long the state service has been refusing the sender, in milliseconds; none: its
    /// last request was served.
    pub store_refused_for_ms: Option<u64>,
    /// Shards that the sender holds under a valid lease.
    pub settled_shards: Vec<SettledShard>,
}

/// Identifies a heartbeat that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeartbeatAck {
    /// Incarnation of the controller that sent it.
    pub incarnation: u64,
    /// Its [`PeerHeartbeat::sent_at`].
    pub sent_at: u64,
}

/// A shard, and where tasks of its cancelled jobs may still be running.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SettledShard {
    /// The shard.
    pub shard: u32,
    /// Machines of the shard that may hold such a task; all others hold none.
    pub unsettled_machines: Vec<String>,
}

/// Why a message can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`]; its length in bytes.
    #[error("{0} bytes are too many")]
    TooLong(usize),
    /// The version of the format is not supported.
    #[error("version {0} is not spoken here")]
    UnsupportedVersion(u16),
    /// The bytes are not a message.
    #[error("{0}")]
    Malformed(#[from] std::io::Error),
}

impl Envelope {
    /// Encodes the message, without a length prefix.
    ///
    /// # Errors
    ///
    /// [`MessageError::TooLong`].
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
    /// [`MessageError`]; trailing bytes are refused, too.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        // The version comes first, so that an unsupported one is distinguished from garbage.
        let version = u16::deserialize(&mut &bytes[..])?;
        if !(FIRST_VERSION..=LATEST_VERSION).contains(&version) {
            return Err(MessageError::UnsupportedVersion(version));
        }
        Ok(borsh::from_slice(bytes)?)
    }
}

#[cfg(test)]
mod tests;
