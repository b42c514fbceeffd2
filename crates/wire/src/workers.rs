//! Workers and controllers: reports, commands and their answers.

use crate::ids::{MachineId, TaskRef};
use serde::{Deserialize, Serialize};

/// What a worker says of itself, unasked or in answer to commands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The machine the worker runs on.
    #[serde(rename = "berth")]
    pub machine: MachineId,
    /// Where the worker takes commands.
    pub addr: String,
    /// Type of the machine.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take the machine back.
    #[serde(rename = "loaner", default)]
    pub spot: bool,
    /// The worker's incarnation; a new one begins when its lease runs out.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Orders the messages of one incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine away.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "shifts", default)]
    pub tasks: Vec<TaskReport>,
    /// The images on the machine, of a worker that takes [`CommandRequest::prefetch`];
    /// others leave it out.
    #[serde(rename = "kits", default, skip_serializing_if = "Option::is_none")]
    pub images: Option<HeldImages>,
}

/// The images on a machine. An extension of the protocol: a worker that reports them
/// also fetches images before any task needs them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldImages {
    /// Those that are there, whole.
    pub held: Vec<String>,
    /// Those that are being fetched.
    #[serde(default)]
    pub fetching: Vec<String>,
}

/// One task, as its worker sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    #[serde(rename = "shift")]
    pub task: TaskRef,
    /// Its attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// How far it is.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why it ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether its progress was saved.
    #[serde(rename = "stored", default)]
    pub saved: bool,
}

/// How far a task on a machine is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TaskStage {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ExitCause {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: no room on the machine.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: the machine has another attempt of it.
    #[serde(rename = "in_use")]
    InUse,
    /// Refused: no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// A command to a worker.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Command {
    /// What is to be done.
    pub verb: Verb,
    /// To which task.
    #[serde(rename = "shift")]
    pub task: TaskRef,
    /// In which attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Seconds a stopped task has for saving.
    #[serde(rename = "leave_s", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<f64>,
}

/// The commands.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Verb {
    /// Fetch the image and run.
    #[serde(rename = "start")]
    Start,
    /// Save and exit.
    #[serde(rename = "kill")]
    Stop,
    /// Leave the exited task out of the reports.
    #[serde(rename = "forget")]
    Forget,
}

/// Body of `POST /commands`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandRequest {
    /// Token that entitles to give commands.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The incarnation that the commands are meant for.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
    /// Images to be fetched, and kept like those of a task that has just ended. Sent only
    /// to workers that report [`Report::images`]; harmless however often and late it
    /// arrives.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prefetch: Vec<Prefetch>,
}

/// An image to be fetched before any task needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefetch {
    /// The image.
    #[serde(rename = "kit")]
    pub image: String,
    /// Its size.
    pub image_gb: f64,
}

/// Answer to a report that is accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Token that entitles to give commands.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Answer to a report that another controller should get.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// That controller, where it is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub report_to: Option<String>,
}

#[cfg(test)]
mod tests;
