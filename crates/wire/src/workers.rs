//! Messages between a worker, the agent on a machine, and the controllers: heartbeats,
//! commands and their replies.
//!
//! A worker sends a [`WorkerHeartbeat`] periodically and as the response to a
//! [`CommandRequest`]. A controller that may not command the worker answers with a
//! [`Redirect`]. Two numbers protect against stale messages: the *fencing token*, which
//! grows whenever another controller takes over the machine, and the worker's
//! *incarnation*, which grows whenever the worker has lost its lease and its tasks.

use crate::ids::{MachineId, TaskRef};
use serde::{Deserialize, Serialize};

/// Status of a worker, sent periodically and in response to commands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The machine that the worker runs on.
    #[serde(rename = "berth")]
    pub machine: MachineId,
    /// Socket address at which the worker accepts commands.
    pub addr: String,
    /// Machine type, as named by the catalog.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether this is a spot machine, which the cloud may reclaim.
    #[serde(rename = "loaner", default)]
    pub spot: bool,
    /// Incarnation of the worker; a new one begins when its lease expires.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Sequence number of the message within the incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen; 0: none.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine, once it has given notice.
    #[serde(rename = "recall_s", default)]
    pub reclaim_notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones that are not forgotten yet.
    #[serde(rename = "shifts", default)]
    pub tasks: Vec<TaskStatus>,
    /// Images on the machine. Present only if the worker supports
    /// [`CommandRequest::prefetch`].
    #[serde(rename = "kits", default, skip_serializing_if = "Option::is_none")]
    pub images: Option<HeldImages>,
}

/// Images on a machine. This is an extension of the protocol: a worker that sends it can
/// also fetch images before a task needs them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldImages {
    /// Images that are complete.
    pub held: Vec<String>,
    /// Images that are being fetched.
    #[serde(default)]
    pub fetching: Vec<String>,
}

/// Status of one task, as its worker reports it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "shift")]
    pub task: TaskRef,
    /// Number of the attempt that is on this machine.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Lifecycle stage.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why the task exited; absent unless it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether a checkpoint was saved before the task exited.
    #[serde(rename = "stored", default)]
    pub checkpoint_saved: bool,
}

/// Lifecycle stage of a task on a machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TaskStage {
    /// Waiting for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waiting for the other tasks of its gang to start.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Stopping: saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task exited, or why its start was refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ExitCause {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of its gang exited.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: the machine lacks free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Refused: the machine has another attempt of the task.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// Refused: no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// A command to a worker, about one task.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Command {
    /// The action.
    pub verb: Verb,
    /// The task that it applies to.
    #[serde(rename = "shift")]
    pub task: TaskRef,
    /// The attempt that it applies to.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Seconds that a stopped task has for saving a checkpoint.
    #[serde(rename = "leave_s", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<f64>,
}

/// Action of a command.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Verb {
    /// Fetch the image and run the task.
    #[serde(rename = "start")]
    Start,
    /// Save a checkpoint and exit.
    #[serde(rename = "kill")]
    Stop,
    /// Leave the exited task out of further heartbeats.
    #[serde(rename = "forget")]
    Forget,
}

/// Body of `POST /commands`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandRequest {
    /// Fencing token; the worker refuses one that is lower than the highest it has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Incarnation of the worker that the commands are meant for.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// The commands, in the order of their execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
    /// Images to fetch, and to keep like those of a task that has just exited. Sent only
    /// to workers that send [`WorkerHeartbeat::images`]. Idempotent, and harmless when late.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prefetch: Vec<Prefetch>,
}

/// An image to fetch before a task needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefetch {
    /// The image.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
}

/// Response to a heartbeat that was accepted; it extends the worker's lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Fencing token; the worker refuses one that is lower than the highest it has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The commands, in the order of their execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response to a heartbeat that belongs to another controller.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// Address of that controller; absent if it is not known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub holder_addr: Option<String>,
}

#[cfg(test)]
mod tests;
