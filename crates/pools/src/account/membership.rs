//! The membership of a machine in a pool.

use super::interval::{BilledMachine, UsageInterval};
use crate::declaration::PoolName;
use serde::{Deserialize, Serialize};

/// State of a machine in a pool, ordered by its progress towards holding the image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolState {
    /// The machine's worker has not sent a heartbeat yet.
    Booting,
    /// The machine is up, and its worker does not report which images are in its cache.
    Up,
    /// The machine is fetching the image.
    Fetching,
    /// The machine's worker has reported that the image is in its cache.
    Warm,
}

impl PoolState {
    /// All states, by ascending progress.
    pub const ALL: [Self; 4] = [Self::Booting, Self::Up, Self::Fetching, Self::Warm];

    /// Whether the machine counts as ready for tasks: it is warm, or its worker cannot report
    /// that it is.
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Up | Self::Warm)
    }
}

/// Why a machine left its pool. The serde names are those of stored records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndReason {
    /// The machine was allocated to a task with the team and the image of the pool.
    #[serde(rename = "handed_out")]
    Allocated,
    /// The machine was reclaimed for a task that was entitled to capacity and fitted on no
    /// other machine.
    #[serde(rename = "reclaimed")]
    Reclaimed,
    /// The pool had more machines than its target, or exceeded its cost limit.
    #[serde(rename = "surplus")]
    ScaledIn,
    /// The pool is no longer declared.
    #[serde(rename = "withdrawn")]
    PoolRemoved,
    /// The machine did not fetch the image within the time limit.
    #[serde(rename = "stalled")]
    FetchTimedOut,
    /// The machine failed, was preempted by the cloud, or did not boot.
    #[serde(rename = "lost")]
    Failed,
}

/// The present membership of a machine in a pool, as stored in the machine's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The pool.
    pub pool: PoolName,
    /// Present state of the machine.
    pub state: PoolState,
    /// Time at which the machine entered this state, in milliseconds since 1970.
    pub since_ms: u64,
}

impl Membership {
    /// The membership of a machine that joins a pool at `at_ms`. `charged_until_ms` is the end
    /// of the machine's last interval in any pool, 0 if there is none. Controllers have
    /// different clocks, so `at_ms` may be earlier; the time in between is not charged twice.
    pub fn begin(pool: PoolName, state: PoolState, at_ms: u64, charged_until_ms: u64) -> Self {
        Self {
            pool,
            state,
            since_ms: at_ms.max(charged_until_ms),
        }
    }

    /// The interval that ends at `at_ms`, when the machine changes its state or leaves the
    /// pool. `end_reason` is `None` if it stays in the pool. Controllers have different
    /// clocks; if `at_ms` is before the beginning, the interval is empty.
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
