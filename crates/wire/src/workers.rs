//! Messages between a worker, the agent on a machine, and the controllers: heartbeats,
//! commands and their replies.
//!
//! A worker sends a [`WorkerHeartbeat`] periodically and as the response to a
//! [`CommandRequest`]. A controller responds to a heartbeat with a [`HeartbeatReply`], or with
//! a [`Redirect`] if another controller holds the machine. Two numbers protect against stale
//! messages. The *fencing token* grows whenever another controller becomes the holder of the
//! machine. The worker's *incarnation* grows whenever the worker has lost its lease, which
//! ends its tasks.

use crate::ids::{MachineId, TaskRef};
use serde::{Deserialize, Serialize};

/// Status of a worker, sent periodically and in response to commands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The machine that the worker runs on.
    #[serde(rename = "berth")]
    pub machine: MachineId,
    /// Socket address at which the worker accepts command requests.
    pub addr: String,
    /// Name of the machine type in the cloud's catalog.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether this is a spot machine, which the cloud may reclaim.
    #[serde(rename = "loaner", default)]
    pub spot: bool,
    /// Incarnation of the worker. A new one begins when the worker's lease expires.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has received; 0: none yet.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud reclaims the spot machine; none: the cloud has given no notice.
    #[serde(rename = "recall_s", default)]
    pub reclaim_notice_s: Option<f64>,
    /// All tasks on the machine, including exited tasks for which the worker has not received
    /// [`Verb::Forget`].
    #[serde(rename = "shifts", default)]
    pub tasks: Vec<TaskStatus>,
    /// Images on the machine. Present only if the worker supports
    /// [`CommandRequest::prefetch`].
    #[serde(rename = "kits", default, skip_serializing_if = "Option::is_none")]
    pub images: Option<HeldImages>,
}

/// Images on a machine. This message is an extension of the protocol: a worker that sends it
/// can also fetch images before a task needs them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldImages {
    /// Images that the machine holds completely.
    pub held: Vec<String>,
    /// Images that the machine is fetching.
    #[serde(default)]
    pub fetching: Vec<String>,
}

/// Status of one task, as its worker reports it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "shift")]
    pub task: TaskRef,
    /// Number of the task's attempt that is on this machine.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Lifecycle stage of the attempt.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why the task exited; none unless the stage is [`TaskStage::Exited`].
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether a checkpoint was saved before the task exited.
    #[serde(rename = "stored", default)]
    pub checkpoint_saved: bool,
}

/// Lifecycle stage of a task on a machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TaskStage {
    /// The machine is fetching the task's image.
    #[serde(rename = "fetching")]
    Fetching,
    /// The task has its image and waits for the other tasks of its gang to start.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task is being stopped and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// The task exited, or its start was refused.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task exited, or why its start was refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ExitCause {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang exited.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The gang was not complete before its start timeout.
    #[serde(rename = "alone")]
    GangTimeout,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The start was refused: the machine lacks free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The start was refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The start was refused: the job or the task does not exist.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// A command to a worker, about one task.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Command {
    /// What the worker has to do.
    pub verb: Verb,
    /// The task to which the command applies.
    #[serde(rename = "shift")]
    pub task: TaskRef,
    /// The attempt to which the command applies.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Time that a task has for saving a checkpoint when it is stopped, in seconds. Set only
    /// for [`Verb::Stop`].
    #[serde(rename = "leave_s", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<f64>,
}

/// Action of a command.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Verb {
    /// Fetch the image and run the task.
    #[serde(rename = "start")]
    Start,
    /// Stop the task: it saves a checkpoint and exits.
    #[serde(rename = "kill")]
    Stop,
    /// Leave the exited task out of further heartbeats.
    #[serde(rename = "forget")]
    Forget,
}

/// Body of `POST /commands`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandRequest {
    /// Fencing token of the sender. The worker refuses a token that is lower than the highest
    /// it has received.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Incarnation of the worker for which the commands are valid.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// The commands, in the order of their execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
    /// Images that the worker fetches and then keeps in its cache, like the image of a task
    /// that has just exited. Sent only to workers that send [`WorkerHeartbeat::images`]. The
    /// request is idempotent, and a late one has no harmful effect.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prefetch: Vec<Prefetch>,
}

/// An image that a worker fetches before a task needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefetch {
    /// The image.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
}

/// Response to a heartbeat from the controller that holds the machine. It renews the worker's
/// lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Fencing token of the controller. The worker refuses a token that is lower than the
    /// highest it has received.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The commands, in the order of their execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response to a heartbeat from a controller that does not hold the machine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// Address of the controller that holds the machine; none if that controller is unknown.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub holder_addr: Option<String>,
}

#[cfg(test)]
mod tests;
