//! Stored records of an account besides intervals: requests, cold starts and prices.

use super::row::{current_request_key, price_key, row_key};
use crate::declaration::PoolName;
use serde::{Deserialize, Serialize};

/// The number of machines that a pool was to keep for a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRequest {
    /// The pool.
    pub pool: PoolName,
    /// Team that is charged.
    pub team: String,
    /// Number of machines.
    pub machines: u32,
    /// Beginning, in milliseconds since 1970.
    pub from_ms: u64,
    /// End, in milliseconds since 1970; `None` for the present request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_ms: Option<u64>,
}

impl PoolRequest {
    /// Key at the key-value store: the pool's present request, or a row of its account.
    pub fn key(&self) -> String {
        match self.to_ms {
            None => current_request_key(&self.pool),
            Some(_) => row_key(&self.pool, self.from_ms, "asked"),
        }
    }

    /// Ends this request and begins one for another number of machines. Returns both.
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

/// A cold start: a job of a pool's team and image that found no machine of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// The pool.
    pub pool: PoolName,
    /// Id of the job.
    pub job: String,
    /// Number of its tasks that found no machine at first.
    pub tasks: u32,
    /// Time of submission, in milliseconds since 1970: the same for whichever controller
    /// records it.
    pub at_ms: u64,
}

impl ColdStart {
    /// Key at the key-value store.
    pub fn key(&self) -> String {
        row_key(&self.pool, self.at_ms, &format!("missed-{}", self.job))
    }
}

/// The prices of a machine type from some time on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Time from which they are valid, in milliseconds since 1970.
    pub from_ms: u64,
    /// Price per hour of an on-demand machine.
    pub hourly: f64,
    /// Price per hour of a spot machine; `None` if there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spot_hourly: Option<f64>,
}

impl Price {
    /// Key at the key-value store.
    pub fn key(&self) -> String {
        price_key(&self.machine_type, self.from_ms)
    }
}
