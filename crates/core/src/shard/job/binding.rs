//! Binding of a task to a machine, with the state of its start and stop commands.

use crate::Ms;
use forkshift_wire::workers::TaskStage;
use forkshift_wire::MachineId;

/// Whether a start command for a task was ever sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum StartState {
    /// No. This controller made the binding and has not sent the start, so no
    /// evidence is needed that the task is not running.
    NotSent,
    /// Yes, by this controller. `token` is the fencing token of the last call that
    /// carried the start; `incarnation` is that of the worker that it was sent to.
    SentByThisHolder { token: u64, incarnation: u64 },
    /// Unknown: an earlier holder of the shard recorded the binding, and may have
    /// sent the start.
    Unknown,
}

impl StartState {
    /// Highest fencing token under which the start may have been sent. `last_start_token` is the
    /// highest one of any start that was sent to the machine.
    pub(crate) fn max_token(&self, last_start_token: u64) -> u64 {
        match self {
            Self::SentByThisHolder { token, .. } => *token,
            Self::NotSent | Self::Unknown => last_start_token,
        }
    }
}

/// The stop of a task, which is requested by repeated stop commands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// Time that the worker gives the task to save its progress, in seconds.
    pub(crate) grace_s: f64,
    /// When the stop command was last sent, in milliseconds of the steady clock.
    pub(crate) last_sent_at: Option<Ms>,
}

impl Stop {
    /// A stop whose command was not sent yet. The task has `grace_s` seconds to
    /// save its progress.
    pub(crate) fn with_grace_s(grace_s: f64) -> Self {
        Self {
            grace_s,
            last_sent_at: None,
        }
    }

    /// Whether the stop command must be sent, for the first time or again after
    /// `repeat_ms` milliseconds.
    pub(crate) fn is_due(&self, now: Ms, repeat_ms: Ms) -> bool {
        self.last_sent_at
            .is_none_or(|sent_at| now >= sent_at + repeat_ms)
    }
}

/// The assignment of a task to a machine, which holds while the task may run there.
///
/// Times are in milliseconds of the steady clock.
#[derive(Clone, Debug)]
pub(crate) struct Binding {
    pub(crate) machine: MachineId,
    /// Number of this attempt; never reused for another attempt at the same task.
    pub(crate) attempt: u64,
    /// The job's `memory_version` with which the binding becomes durable; 0 if it
    /// was already recorded by an earlier holder.
    pub(crate) recorded_in_version: u64,
    /// Whether the start command was sent.
    pub(crate) start: StartState,
    /// The task's stage in the worker's newest heartbeat, if the heartbeat listed
    /// the task.
    pub(crate) stage: Option<TaskStage>,
    /// The requested stop, if the task is to be stopped.
    pub(crate) stop: Option<Stop>,
    /// When this controller bound the task or restored its binding.
    pub(crate) bound_at: Ms,
    /// When this controller first saw the task run in a heartbeat.
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
