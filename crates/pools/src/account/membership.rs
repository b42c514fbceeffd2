//! The membership of a machine in a pool.

use super::interval::{BilledMachine, UsageInterval};
use crate::declaration::PoolName;
use serde::{Deserialize, Serialize};

/// State of a machine in a pool, ordered by its progress towards holding the image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolState {
    /// Its worker has sent no heartbeat yet.
    Booting,
    /// It is up; its worker does not report its images.
    Up,
    /// It is fetching the image.
    Fetching,
    /// Its worker has reported the image.
    Warm,
}

impl PoolState {
    /// All states, in order.
    pub const ALL: [Self; 4] = [Self::Booting, Self::Up, Self::Fetching, Self::Warm];

    /// Whether the machine is as ready as its worker can report.
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Up | Self::Warm)
    }
}

/// Why a machine left its pool. The serde names are those of stored records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndReason {
    /// It was allocated to a task of the pool's team and image.
    #[serde(rename = "handed_out")]
    Allocated,
    /// It was reclaimed for a task that was entitled to capacity and fitted on no other.
    #[serde(rename = "reclaimed")]
    Reclaimed,
    /// The pool was scaled in.
    #[serde(rename = "surplus")]
    ScaledIn,
    /// The pool is no longer declared.
    #[serde(rename = "withdrawn")]
    PoolRemoved,
    /// It did not get the image in time.
    #[serde(rename = "stalled")]
    FetchTimedOut,
    /// It failed, was preempted by the cloud, or never came up.
    #[serde(rename = "lost")]
    Failed,
}

/// A machine's membership in a pool, as stored in the machine's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The pool.
    pub pool: PoolName,
    /// State of the machine.
    pub state: PoolState,
    /// Time since when it has been in this state, in milliseconds since 1970.
    pub since_ms: u64,
}

impl Membership {
    /// The membership of a machine that joins a pool at `at_ms`. Clocks of controllers
    /// differ, so a machine that was in a pool before is charged only from
    /// `charged_until_ms` on, the end of its last interval.
    pub fn begin(pool: PoolName, state: PoolState, at_ms: u64, charged_until_ms: u64) -> Self {
        Self {
            pool,
            state,
            since_ms: at_ms.max(charged_until_ms),
        }
    }

    /// The interval up to `at_ms`, for a machine that changes its state or leaves the pool.
    /// Clocks of controllers differ: an interval never ends before it begins.
    pub fn close(
        &self,
        machine: &BilledMachine,
        at_ms: u64,
        end_reason: Option<EndReason>,
    ) -> UsageInterval {
        UsageInterval {
            pool: self.pool.clone(),
            machine: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            spot: machine.spot,
            state: self.state,
            from_ms: self.since_ms,
            to_ms: at_ms.max(self.since_ms),
            end_reason,
        }
    }
}
