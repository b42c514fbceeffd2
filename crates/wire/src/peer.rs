//! Messages between controllers, in borsh.
//!
//! They only speed things up: whatever they say is also in the state service,
//! and a message that is lost, late or doubled does no harm.

use borsh::{BorshDeserialize, BorshSerialize};

/// Version of the format that the first release speaks, and no other.
pub const FIRST_VERSION: u16 = 5;
/// Version since which dependencies are spoken of.
const DEPENDENCIES_VERSION: u16 = 6;
/// Newest version of the format. A message is sent under the oldest version
/// that has its body.
pub const VERSION: u16 = 7;
/// Largest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 96 * 1024;

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// Version of the format.
    pub version: u16,
    /// Name of the sender.
    pub from: String,
    /// This start of the sender; messages of earlier ones are dropped.
    pub incarnation: u64,
    /// Epoch of the shard that the message is about, as the sender knows it.
    pub epoch: u64,
    /// The message.
    pub body: Body,
}

/// What one controller tells another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Body {
    /// A job was accepted for a shard that the receiver holds.
    NewJob {
        /// The shard.
        shard: u32,
        /// The job as it was submitted, in JSON.
        spec: String,
        /// Time of day of the submission, in milliseconds.
        submitted_at_ms: u64,
        /// Revision that recorded it.
        revision: u64,
    },
    /// What the sender needs of the state service, to the leader.
    BudgetRequest {
        /// Changes in a thousand seconds.
        writes: u32,
        /// Requests in a thousand seconds.
        requests: u32,
        /// Whether it keeps to what the receiver has granted.
        granted: bool,
    },
    /// What the receiver may use of the state service beyond its fixed part,
    /// for a short while.
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
        /// The record, in JSON, as it is also written now and then.
        demand: String,
    },
    /// A user wants a job cancelled that the receiver holds.
    CancelJob {
        /// The job.
        id: String,
    },
    /// A user's request that the receiver can answer better than the sender.
    ForwardedRequest {
        /// Names the request, for the answer.
        request_number: u64,
        /// `GET` or `POST`.
        method: String,
        /// Path.
        path: String,
        /// The body, if there is one.
        body: Option<Vec<u8>>,
    },
    /// The sender is there.
    Heartbeat(PeerHeartbeat),
    /// The answer to a request that was passed on.
    ForwardedResponse {
        /// The start of the receiver that passed it on.
        incarnation: u64,
        /// The request.
        request_number: u64,
        /// HTTP status.
        status: u16,
        /// JSON.
        body: Vec<u8>,
        /// When to come back.
        retry_after_s: Option<u32>,
    },
    /// A job's final stage was recorded. Since version 6.
    JobEnded {
        /// The job.
        id: String,
        /// It was cancelled; else it is done.
        cancelled: bool,
    },
    /// A job that the receiver holds is needed by one that the sender holds.
    /// Since version 6.
    InheritPriority {
        /// The job.
        id: String,
        /// The highest priority among those that need it, the lowest being 0.
        priority: u8,
    },
    /// The sender holds these machines and does not hear their workers: their reports
    /// are to be passed on to it. Since version 7.
    RelayRequest {
        /// Grows with each list of a start. Messages with the same number add up; a
        /// list replaces those before it.
        list: u64,
        /// The machines.
        machines: Vec<String>,
    },
    /// The receiver is to call these machines' workers and pass on what they answer: the
    /// sender holds them and does not hear them. Since version 7.
    ProbeRequest {
        /// The machines.
        machines: Vec<String>,
    },
    /// What a worker has answered to a probe. Since version 7.
    ProbeResult {
        /// Its report, in JSON.
        heartbeat: Vec<u8>,
    },
}

impl Body {
    /// The oldest version of the format that has this body.
    pub fn version(&self) -> u16 {
        match self {
            Self::JobEnded { .. } | Self::InheritPriority { .. } => DEPENDENCIES_VERSION,
            Self::RelayRequest { .. } | Self::ProbeRequest { .. } | Self::ProbeResult { .. } => {
                VERSION
            }
            _ => FIRST_VERSION,
        }
    }
}

/// That a controller is there, and what the receiver may rely on. A statement
/// is true as of the moment at which the heartbeat that it echoes was sent.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// The sender's steady clock, for the echo.
    pub sent_at: u64,
    /// The last heartbeat that the sender had from the receiver.
    pub acknowledged: Option<HeartbeatAck>,
    /// Shards with the highest epochs that the sender has seen; none while it
    /// has not read them since it started.
    pub epochs: Option<Vec<(u32, u64)>>,
    /// For how long the state service has refused the sender, in milliseconds;
    /// none: it was served last.
    pub store_refused_for_ms: Option<u64>,
    /// Shards that the sender holds by right.
    pub settled_shards: Vec<SettledShard>,
}

/// Names a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeartbeatAck {
    /// The start of the controller that sent it.
    pub incarnation: u64,
    /// That controller's steady clock.
    pub sent_at: u64,
}

/// Where tasks of cancelled jobs may be left.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SettledShard {
    /// The shard.
    pub shard: u32,
    /// Its machines that may hold one; all others hold none.
    pub unsettled_machines: Vec<String>,
}

/// Why a message is refused.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// Longer than allowed.
    #[error("{0} bytes are too many")]
    TooLong(usize),
    /// Another version of the format.
    #[error("version {0} is not spoken here")]
    UnsupportedVersion(u16),
    /// Not a message.
    #[error("{0}")]
    Malformed(#[from] std::io::Error),
}

impl Envelope {
    /// As bytes, without their length.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = borsh::to_vec(self)?;
        match bytes.len() {
            n if n > MAX_MESSAGE_BYTES => Err(MessageError::TooLong(n)),
            _ => Ok(bytes),
        }
    }

    /// From bytes, without their length.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        // The version comes first, so that others are told from garbage.
        let version = u16::deserialize(&mut &bytes[..])?;
        if !(FIRST_VERSION..=VERSION).contains(&version) {
            return Err(MessageError::UnsupportedVersion(version));
        }
        Ok(borsh::from_slice(bytes)?)
    }
}

#[cfg(test)]
mod tests;
