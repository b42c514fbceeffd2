//! Where a task of a job may be: its machine, and the state of its start and
//! stop commands.

use crate::Ms;
use forkshift_wire::workers::TaskStage;
use forkshift_wire::MachineId;

/// Whether a start command for a task was ever sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum StartState {
    /// Never: not by this holder, and the record says that this holder is the
    /// first that could have sent it.
    NotSent,
    /// By this holder. `token` is the fencing token of the last call that
    /// carried the start, `incarnation` that of the worker it was sent to.
    SentByThisHolder { token: u64, incarnation: u64 },
    /// Possibly: an earlier holder of the shard recorded the binding.
    Unknown,
}

/// A task that is to be stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// Time that the task has to save its progress, in seconds.
    pub(crate) grace_s: f64,
    /// When the stop command was last sent (steady clock, milliseconds).
    pub(crate) last_sent_at: Option<Ms>,
}

impl Stop {
    /// A stop whose command was not sent yet.
    pub(crate) fn with_grace_s(grace_s: f64) -> Self {
        Self {
            grace_s,
            last_sent_at: None,
        }
    }

    /// Whether its command is to be sent, for the first time or again.
    pub(crate) fn is_due(&self, now: Ms, repeat_ms: Ms) -> bool {
        self.last_sent_at
            .is_none_or(|sent_at| now >= sent_at + repeat_ms)
    }
}

/// A task that may be on a machine.
///
/// Times are in milliseconds of the steady clock.
#[derive(Clone, Debug)]
pub(crate) struct Binding {
    /// The machine.
    pub(crate) machine: MachineId,
    /// Number of the attempt at the task.
    pub(crate) attempt: u64,
    /// The job's version that recorded the binding; 0: an earlier holder did.
    pub(crate) recorded_in_version: u64,
    /// Whether the start was sent.
    pub(crate) start: StartState,
    /// The stage in the worker's newest heartbeat, if that listed the task.
    pub(crate) stage: Option<TaskStage>,
    /// Its stop, if it is to be stopped.
    pub(crate) stop: Option<Stop>,
    /// When this holder bound or restored the task.
    pub(crate) bound_at: Ms,
    /// When this holder first saw the task run.
    pub(crate) running_since: Option<Ms>,
}

impl Binding {
    /// A binding that an earlier holder of the shard recorded.
    pub(super) fn restored(machine: MachineId, attempt: u64, now: Ms) -> Self {
        Self {
            machine,
            attempt,
            recorded_in_version: 0,
            start: StartState::Unknown,
            stage: None,
            stop: None,
            bound_at: now,
            running_since: None,
        }
    }
}
