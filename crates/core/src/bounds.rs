//! Bounds on what a controller holds and sends, as ratios to its settings.
//!
//! Every queue, list and message is bounded, and no bound is a number of its own: it
//! follows from the memory, the sockets or the message size that there is, or from
//! the machines that a shard has. `docs/CAPACITY.md` lists what lies beyond each.

use crate::shard::layout::TASK_BYTES;
use forkshift_wire::peer::MAX_MESSAGE_BYTES;
use forkshift_wire::settings::Settings;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The part of the sockets that connections from outside may take; the rest is
/// for calls of our own.
pub(crate) const INCOMING_PART: f64 = 0.6;
/// The part beyond which connections from outside are not kept open.
const ROOMY_PART: f64 = 0.3;
/// The part that may be kept open to workers and services while idle.
const IDLE_PART: f64 = 0.1;
/// The part that calls to workers may take at a time: whoever takes over tells its
/// token to a whole fleet at once.
const CALLS_PART: f64 = 0.15;

/// The part of the memory for what is remembered of jobs held elsewhere.
const REMEMBERED_PART: f64 = 0.05;
/// What remembering a job takes, its final stage and where it is held, generously.
const REMEMBERED_BYTES: f64 = 512.0;
/// The part of the memory for messages that wait for other controllers.
const PEER_QUEUE_PART: f64 = 0.05;
/// The part of the memory that one answer to a call may take.
const ANSWER_PART: f64 = 0.1;
/// The state service's longest page, twice.
const ANSWER_LEAST: u64 = 1024 * 1024;
/// The part of the memory for names of images.
const IMAGE_NAMES_PART: f64 = 0.05;
/// What the name of an image takes, generously.
const IMAGE_NAME_BYTES: f64 = 256.0;
/// Tasks of a job that a round places where few could be recorded, so that an array is
/// not asked for bit by bit.
const TASKS_A_ROUND_LEAST: usize = 256;
/// Bytes that a name in a message takes beside itself.
pub(crate) const NAME_LENGTH_BYTES: usize = 4;
/// The part of a message that lists in it may take.
const LIST_PART: f64 = 0.75;

/// Bounds that follow from a controller's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Connections from outside at a time. More wait until one is closed.
    pub connections: usize,
    /// Connections from outside that are kept open behind their answers.
    pub kept_connections: usize,
    /// Idle connections of our own that are kept.
    pub idle_connections: usize,
    /// Calls to workers under way. More wait for the next step.
    pub worker_calls: usize,
    /// Requests passed on by other controllers that wait here. More are answered
    /// with 503 at once, and dealt with by whoever passed them on.
    pub forwarded_requests: usize,
    /// Jobs of other controllers that are remembered. The oldest is forgotten; its
    /// record is read if somebody asks for it.
    pub remembered_jobs: usize,
    /// Names of images that are known before those out of use are forgotten.
    pub image_names: usize,
    /// Bytes of messages that wait for one other controller. What is told by a message
    /// beyond that is learnt from the state service.
    pub peer_queue_bytes: usize,
    /// The largest answer to a call, in bytes. Longer changes are read again in pages.
    pub answer_bytes: u64,
    /// Tasks of one job that a round looks at: as many as could be recorded until the next
    /// one. The rest waits for it.
    pub tasks_a_round: usize,
    /// Bytes of a list in a message to another controller.
    pub list_bytes: usize,
}

impl Bounds {
    /// The bounds of a controller with these settings, whose rounds are so many seconds
    /// apart.
    pub fn new(settings: &Settings, round_s: f64) -> Self {
        let limits = &settings.cluster.limits;
        let sockets = |part: f64| (limits.sockets as f64 * part).max(1.0) as usize;
        let memory = |part: f64| limits.memory_mb * BYTES_PER_MB * part;
        let peers = settings.peers.len().max(1) as f64;
        Self {
            connections: sockets(INCOMING_PART),
            kept_connections: sockets(ROOMY_PART),
            idle_connections: sockets(IDLE_PART),
            worker_calls: sockets(CALLS_PART),
            forwarded_requests: sockets(INCOMING_PART),
            remembered_jobs: at_least_one(memory(REMEMBERED_PART) / REMEMBERED_BYTES),
            image_names: at_least_one(memory(IMAGE_NAMES_PART) / IMAGE_NAME_BYTES),
            // Any one message has room.
            peer_queue_bytes: ((memory(PEER_QUEUE_PART) / peers) as usize).max(MAX_MESSAGE_BYTES),
            answer_bytes: (memory(ANSWER_PART) as u64).max(ANSWER_LEAST),
            tasks_a_round: tasks_recorded_in(round_s, settings).max(TASKS_A_ROUND_LEAST),
            list_bytes: (MAX_MESSAGE_BYTES as f64 * LIST_PART) as usize,
        }
    }
}

/// Tasks that one controller can record in some seconds with an even part of the changes
/// that the state service takes.
fn tasks_recorded_in(seconds: f64, settings: &Settings) -> usize {
    let state = &settings.cluster.state;
    let tasks_a_change = state.value_kb * 1024.0 / TASK_BYTES as f64;
    let changes = state.write_rps / (settings.peers.len() + 1) as f64 * seconds;
    (tasks_a_change * changes) as usize
}

fn at_least_one(count: f64) -> usize {
    count.max(1.0) as usize
}

/// Bytes of a name in a list in a message.
pub(crate) fn listed_bytes(name: &str) -> usize {
    name.len() + NAME_LENGTH_BYTES
}

/// One part in so many of a shard's machines, at least `least`. For work that is done
/// a few machines at a time: a larger shard does more of it at once, so that it takes
/// no longer.
pub(crate) fn part_of_machines(machines: usize, part: usize, least: usize) -> usize {
    (machines / part).max(least)
}

#[cfg(test)]
mod tests;
