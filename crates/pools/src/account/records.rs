//! The other stored records of accounts: requests for machines, cold starts and prices.

use super::row::{current_request_key, price_key, row_key};
use crate::declaration::PoolName;
use serde::{Deserialize, Serialize};

/// The target number of machines of a pool during an interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRequest {
    /// The pool.
    pub pool: PoolName,
    /// Team that is charged for the pool.
    pub team: String,
    /// Target number of machines.
    pub machines: u32,
    /// Beginning, in milliseconds since 1970.
    pub from_ms: u64,
    /// End, in milliseconds since 1970; `None` for the present request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_ms: Option<u64>,
}

impl PoolRequest {
    /// Key in the key-value store. The present request of a pool has a key of its own; past
    /// requests are rows of the pool's account.
    pub fn key(&self) -> String {
        match self.to_ms {
            None => current_request_key(&self.pool),
            Some(_) => row_key(&self.pool, self.from_ms, "asked"),
        }
    }

    /// Ends this request at `at_ms` and begins a request for `machines` machines. Returns the
    /// past and the present request. `at_ms` before the beginning counts as the beginning,
    /// because the clocks of controllers differ.
    pub fn replace_with(self, machines: u32, at_ms: u64) -> (Self, Self) {
        let at_ms = at_ms.max(self.from_ms);
        let next = Self {
            machines,
            from_ms: at_ms,
            ..self.clone()
        };
        let to_ms = Some(at_ms);
        (Self { to_ms, ..self }, next)
    }
}

/// A cold start: a job with the team and the image of a pool for which the pool had no free
/// machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// The pool.
    pub pool: PoolName,
    /// Id of the job.
    pub job: String,
    /// Number of the job's tasks that could not be placed when the cold start was recorded.
    pub tasks: u32,
    /// Time at which the job was submitted, in milliseconds since 1970. It does not depend on
    /// the controller that records the cold start, so that writes are idempotent.
    pub at_ms: u64,
}

impl ColdStart {
    /// Key in the key-value store.
    pub fn key(&self) -> String {
        row_key(&self.pool, self.at_ms, &format!("missed-{}", self.job))
    }
}

/// The prices of a machine type, valid until the next record of the same type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Time from which the prices are valid, in milliseconds since 1970.
    pub from_ms: u64,
    /// Price per hour of an on-demand machine.
    pub hourly: f64,
    /// Price per hour of a spot machine; `None` if the type is not offered as spot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spot_hourly: Option<f64>,
}

impl Price {
    /// Key in the key-value store.
    pub fn key(&self) -> String {
        price_key(&self.machine_type, self.from_ms)
    }
}
