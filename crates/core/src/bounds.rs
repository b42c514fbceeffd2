//! Bounds on the queues, caches, connections and messages of a controller.
//!
//! No bound is a fixed number. Each is derived from the configured memory and sockets, from
//! the maximum message size, or from the number of machines in a shard. `docs/CAPACITY.md`
//! lists the effect of exceeding each bound.

use crate::shard::layout::MAX_TASK_RECORD_BYTES;
use forkshift_wire::peer::MAX_MESSAGE_BYTES;
use forkshift_wire::settings::Settings;

/// Bytes in a KiB, the unit of value sizes in the settings.
pub(crate) const BYTES_PER_KB: f64 = 1024.0;
/// Bytes in a MB of memory, as the settings count it.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Fraction of the sockets that incoming connections may use. The rest is reserved for
/// outgoing calls.
pub(crate) const INCOMING_CONNECTIONS_FRACTION: f64 = 0.6;
/// Fraction of the sockets that incoming connections may keep open between requests.
const KEEP_ALIVE_CONNECTIONS_FRACTION: f64 = 0.3;
/// Fraction of the sockets that idle outgoing connections may use.
const IDLE_CONNECTIONS_FRACTION: f64 = 0.1;
/// Fraction of the sockets that calls to workers may use. The fraction matters after a
/// failover, when the new holder of a shard sends its fencing token to all workers at once.
const WORKER_CALLS_FRACTION: f64 = 0.15;

/// Fraction of the memory for cached stages and shards of jobs that this controller does not
/// hold.
const CACHED_JOBS_MEMORY_FRACTION: f64 = 0.05;
/// Upper estimate of the memory for the cached stage and shard of one job, in bytes.
const CACHED_JOB_BYTES: f64 = 512.0;
/// Fraction of the memory for the unfinished jobs in the job feed.
const FEED_MEMORY_FRACTION: f64 = 0.05;
/// Upper estimate of the memory for one job in the job feed, or for one dependency that such a
/// job names, in bytes.
const FEED_ENTRY_BYTES: f64 = 256.0;
/// Fraction of the job feed's entries that equals the number of revisions at which the feed
/// starts before the current one. The jobs that changed in these revisions leave room for
/// others.
const FEED_LOOK_BACK_FRACTION: f64 = 0.25;
/// Fraction of the memory for queued messages to all other controllers.
const PEER_QUEUE_MEMORY_FRACTION: f64 = 0.05;
/// Fraction of the memory that the response to one call may use.
const ANSWER_MEMORY_FRACTION: f64 = 0.1;
/// Lower bound on the maximum size of a response, in bytes: twice the size of the largest page
/// that the key-value store returns.
const MIN_ANSWER_BYTES: u64 = 1024 * 1024;
/// Fraction of the memory for interned names of images.
const IMAGE_NAMES_MEMORY_FRACTION: f64 = 0.05;
/// Upper estimate of the memory for one interned image name, in bytes.
const IMAGE_NAME_BYTES: f64 = 256.0;
/// Lower bound on the number of tasks of one job that a scheduling round considers. With
/// fewer, the machines for a large array job would be requested in many small batches.
const MIN_TASKS_PER_ROUND: usize = 256;
/// Size of the length prefix of a name in a message, in bytes.
pub(crate) const NAME_LENGTH_BYTES: usize = 4;
/// Fraction of the maximum message size that the lists in a message may use.
const MESSAGE_LIST_FRACTION: f64 = 0.75;

/// Bounds that are derived from a controller's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum number of incoming connections. Further connections wait until one is closed.
    pub connections: usize,
    /// Maximum number of incoming connections that stay open after a response.
    pub keep_alive_connections: usize,
    /// Maximum number of idle outgoing connections that stay open.
    pub idle_connections: usize,
    /// Maximum number of calls to workers in flight. Further calls wait for the next step.
    pub worker_calls: usize,
    /// Maximum number of unanswered requests that other controllers have forwarded. Further
    /// ones are answered with 503 at once; the forwarding controller then processes them itself.
    pub forwarded_requests: usize,
    /// Maximum number of jobs in each cache of job stages and shards. The oldest entry is
    /// evicted when the cache is full; the job's record is then read from the key-value store.
    pub cached_jobs: usize,
    /// Maximum number of unfinished jobs in the job feed, together with the dependencies that they
    /// name. The oldest job is evicted when the feed is full; its record is then read again.
    pub feed_entries: usize,
    /// Number of revisions before the current one at which the job feed starts.
    pub feed_look_back: u64,
    /// Number of interned image names above which the unused ones are evicted.
    pub image_names: usize,
    /// Maximum size of the message queue to one other controller, in bytes. Messages beyond it
    /// are dropped; the receiver reads their contents from the key-value store.
    pub peer_queue_bytes: usize,
    /// Maximum size of the response to a call, in bytes. If the changes in the response to a
    /// watch exceed it, the records are listed in pages instead.
    pub answer_bytes: u64,
    /// Maximum number of tasks of one job that a scheduling round considers: the number that
    /// can be recorded before the next round. Further tasks stay pending until then.
    pub tasks_per_round: usize,
    /// Maximum size of the lists in a message to another controller, in bytes.
    pub list_bytes: usize,
}

impl Bounds {
    /// Derives the bounds from the settings. `round_s` is the interval between scheduling
    /// rounds, in seconds.
    pub fn new(settings: &Settings, round_s: f64) -> Self {
        let limits = &settings.cluster.limits;
        let sockets = |fraction: f64| (limits.sockets as f64 * fraction).max(1.0) as usize;
        let memory = |fraction: f64| limits.memory_mb * BYTES_PER_MB * fraction;
        let peers = settings.peers.len().max(1) as f64;
        Self {
            connections: sockets(INCOMING_CONNECTIONS_FRACTION),
            keep_alive_connections: sockets(KEEP_ALIVE_CONNECTIONS_FRACTION),
            idle_connections: sockets(IDLE_CONNECTIONS_FRACTION),
            worker_calls: sockets(WORKER_CALLS_FRACTION),
            forwarded_requests: sockets(INCOMING_CONNECTIONS_FRACTION),
            cached_jobs: at_least_one(memory(CACHED_JOBS_MEMORY_FRACTION) / CACHED_JOB_BYTES),
            feed_entries: at_least_one(memory(FEED_MEMORY_FRACTION) / FEED_ENTRY_BYTES),
            feed_look_back: (memory(FEED_MEMORY_FRACTION) / FEED_ENTRY_BYTES
                * FEED_LOOK_BACK_FRACTION) as u64,
            image_names: at_least_one(memory(IMAGE_NAMES_MEMORY_FRACTION) / IMAGE_NAME_BYTES),
            // The queue must be able to hold a message of maximum size.
            peer_queue_bytes: ((memory(PEER_QUEUE_MEMORY_FRACTION) / peers) as usize)
                .max(MAX_MESSAGE_BYTES),
            answer_bytes: (memory(ANSWER_MEMORY_FRACTION) as u64).max(MIN_ANSWER_BYTES),
            tasks_per_round: recordable_tasks(round_s, settings).max(MIN_TASKS_PER_ROUND),
            list_bytes: (MAX_MESSAGE_BYTES as f64 * MESSAGE_LIST_FRACTION) as usize,
        }
    }
}

/// Number of tasks that one controller can record in `seconds`, with an equal share of the
/// writes that the key-value store accepts from all controllers.
fn recordable_tasks(seconds: f64, settings: &Settings) -> usize {
    let state = &settings.cluster.state;
    let tasks_per_write = state.max_value_kib * BYTES_PER_KB / MAX_TASK_RECORD_BYTES as f64;
    let writes = state.writes_per_s / (settings.peers.len() + 1) as f64 * seconds;
    (tasks_per_write * writes) as usize
}

/// Rounds a count down to an integer of at least 1.
fn at_least_one(count: f64) -> usize {
    count.max(1.0) as usize
}

/// Size of a name in a list of a message, in bytes.
pub(crate) fn encoded_name_bytes(name: &str) -> usize {
    name.len() + NAME_LENGTH_BYTES
}

/// The number of machines in a shard divided by `divisor`, but at least `min`. Limits
/// operations that affect a few machines at a time; the limit grows with the shard, so that
/// the operation takes no longer in a large shard.
pub(crate) fn fraction_of_machines(machines: usize, divisor: usize, min: usize) -> usize {
    (machines / divisor).max(min)
}

#[cfg(test)]
mod tests;
