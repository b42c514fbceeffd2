//! Bounds on what a controller holds and sends, as ratios to its settings.
//!
//! Every queue, list and message is bounded, and no bound is a number of its own: it
//! follows from the memory, the sockets or the message size that there is, or from
//! the machines that a shard has. `docs/CAPACITY.md` lists what lies beyond each.

use crate::shard::layout::MAX_TASK_RECORD_BYTES;
use forkshift_wire::peer::MAX_MESSAGE_BYTES;
use forkshift_wire::settings::Settings;

/// Bytes of a KB in the settings.
pub(crate) const BYTES_PER_KB: f64 = 1024.0;
/// Bytes of a MB in the settings.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The part of the sockets that incoming connections may take; the rest is
/// for outgoing calls.
pub(crate) const INCOMING_CONNECTIONS_FRACTION: f64 = 0.6;
/// The part of the sockets up to which incoming connections are kept open.
const KEEP_ALIVE_CONNECTIONS_FRACTION: f64 = 0.3;
/// The part of the sockets that idle outgoing connections may take.
const IDLE_CONNECTIONS_FRACTION: f64 = 0.1;
/// The part of the sockets that calls to workers may take: after a failover the new
/// holder sends its token to a whole fleet at once.
const WORKER_CALLS_FRACTION: f64 = 0.15;

/// The part of the memory for what is remembered of jobs of other holders.
const CACHED_JOBS_MEMORY_FRACTION: f64 = 0.05;
/// Memory for one remembered job, its final stage and its shard: an upper estimate.
const CACHED_JOB_BYTES: f64 = 512.0;
/// The part of the memory for messages that wait for other controllers.
const PEER_QUEUE_MEMORY_FRACTION: f64 = 0.05;
/// The part of the memory that one answer to a call may take.
const ANSWER_MEMORY_FRACTION: f64 = 0.1;
/// The least bound on an answer, in bytes: twice the longest page of the key-value store.
const MIN_ANSWER_BYTES: u64 = 1024 * 1024;
/// The part of the memory for names of images.
const IMAGE_NAMES_MEMORY_FRACTION: f64 = 0.05;
/// Memory for the name of one image: an upper estimate.
const IMAGE_NAME_BYTES: f64 = 256.0;
/// Least number of tasks of a job that a round places, so that machines for an array are
/// requested in few parts.
const MIN_TASKS_PER_ROUND: usize = 256;
/// Bytes of the length that precedes a name in a message.
pub(crate) const NAME_LENGTH_BYTES: usize = 4;
/// The part of a message that lists in it may take.
const MESSAGE_LIST_FRACTION: f64 = 0.75;

/// Bounds that follow from a controller's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Incoming connections at a time. More wait until one is closed.
    pub connections: usize,
    /// Incoming connections that are kept open after their answers.
    pub keep_alive_connections: usize,
    /// Idle outgoing connections that are kept open.
    pub idle_connections: usize,
    /// Calls to workers under way. More wait for the next step.
    pub worker_calls: usize,
    /// Requests forwarded by other controllers that wait here. More are answered
    /// with 503 at once, and handled by the controller that forwarded them.
    pub forwarded_requests: usize,
    /// Jobs of other holders that are remembered. Beyond that the oldest is forgotten; its
    /// record is read when it is needed.
    pub cached_jobs: usize,
    /// Names of images that are known before those out of use are forgotten.
    pub image_names: usize,
    /// Bytes of messages that wait for one other controller. Messages beyond that are
    /// dropped; the receiver reads their contents from the key-value store.
    pub peer_queue_bytes: usize,
    /// The largest answer to a call, in bytes. Longer changes are read again in pages.
    pub answer_bytes: u64,
    /// Tasks of one job that a round considers: as many as can be recorded until the next
    /// one. The others wait for that.
    pub tasks_per_round: usize,
    /// Bytes of a list in a message to another controller.
    pub list_bytes: usize,
}

impl Bounds {
    /// The bounds of a controller with these settings, whose rounds are `round_s` seconds
    /// apart.
    pub fn new(settings: &Settings, round_s: f64) -> Self {
        let limits = &settings.cluster.limits;
        let sockets = |part: f64| (limits.sockets as f64 * part).max(1.0) as usize;
        let memory = |part: f64| limits.memory_mb * BYTES_PER_MB * part;
        let peers = settings.peers.len().max(1) as f64;
        Self {
            connections: sockets(INCOMING_CONNECTIONS_FRACTION),
            keep_alive_connections: sockets(KEEP_ALIVE_CONNECTIONS_FRACTION),
            idle_connections: sockets(IDLE_CONNECTIONS_FRACTION),
            worker_calls: sockets(WORKER_CALLS_FRACTION),
            forwarded_requests: sockets(INCOMING_CONNECTIONS_FRACTION),
            cached_jobs: at_least_one(memory(CACHED_JOBS_MEMORY_FRACTION) / CACHED_JOB_BYTES),
            image_names: at_least_one(memory(IMAGE_NAMES_MEMORY_FRACTION) / IMAGE_NAME_BYTES),
            // Any single message has room.
            peer_queue_bytes: ((memory(PEER_QUEUE_MEMORY_FRACTION) / peers) as usize)
                .max(MAX_MESSAGE_BYTES),
            answer_bytes: (memory(ANSWER_MEMORY_FRACTION) as u64).max(MIN_ANSWER_BYTES),
            tasks_per_round: tasks_recorded_in(round_s, settings).max(MIN_TASKS_PER_ROUND),
            list_bytes: (MAX_MESSAGE_BYTES as f64 * MESSAGE_LIST_FRACTION) as usize,
        }
    }
}

/// Tasks that one controller can record in some seconds with an even part of the changes
/// that the key-value store accepts.
fn tasks_recorded_in(seconds: f64, settings: &Settings) -> usize {
    let state = &settings.cluster.state;
    let tasks_per_change = state.max_value_kib * BYTES_PER_KB / MAX_TASK_RECORD_BYTES as f64;
    let changes = state.writes_per_s / (settings.peers.len() + 1) as f64 * seconds;
    (tasks_per_change * changes) as usize
}

/// A count, rounded down, but at least one.
fn at_least_one(count: f64) -> usize {
    count.max(1.0) as usize
}

/// Bytes of a name in a list in a message.
pub(crate) fn encoded_name_bytes(name: &str) -> usize {
    name.len() + NAME_LENGTH_BYTES
}

/// One in `divisor` of a shard's machines, at least `min`. For work that is done
/// a few machines at a time: a larger shard does more of it at once, so that it takes
/// no longer.
pub(crate) fn fraction_of_machines(machines: usize, divisor: usize, min: usize) -> usize {
    (machines / divisor).max(min)
}

#[cfg(test)]
mod tests;
