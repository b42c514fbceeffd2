//! Limits of the store: rates of requests and writes, and sizes of transactions.

use crate::Ms;
use forkshift_wire::state::{Transaction, Write};
use std::fmt;

/// Maximum number of preconditions of a transaction, per allowed write.
const MAX_PRECONDITIONS_PER_WRITE: usize = 4;

/// A token bucket with a burst of one second's worth of its rate.
pub(super) struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Ms,
}

impl RateLimiter {
    pub(super) fn new(per_second: f64) -> Self {
        Self {
            per_second,
            tokens: per_second,
            refilled_at: 0,
        }
    }

    /// Takes `count` tokens if there are enough. Returns whether there were.
    pub(super) fn try_take(&mut self, now: Ms, count: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * self.per_second).min(self.per_second);
        self.refilled_at = now;
        let is_within = self.tokens >= count;
        if is_within {
            self.tokens -= count;
        }
        is_within
    }
}

/// Limits on the size of a transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizeLimits {
    /// Maximum size of a value, in bytes of JSON.
    pub(crate) value_bytes: usize,
    /// Maximum number of writes.
    pub(crate) txn_ops: usize,
}

/// The limit that a transaction exceeds.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum SizeError {
    TooManyWrites(usize),
    TooManyPreconditions(usize),
    ValueTooLarge { key: String },
}

impl fmt::Display for SizeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::TooManyWrites(count) => write!(f, "{count} changes"),
            Self::TooManyPreconditions(count) => write!(f, "{count} conditions"),
            Self::ValueTooLarge { key } => write!(f, "{key} is too large"),
        }
    }
}

impl std::error::Error for SizeError {}

impl SizeLimits {
    /// Checks that a transaction is within the limits.
    pub(super) fn check(&self, transaction: &Transaction) -> Result<(), SizeError> {
        let (writes, preconditions) = (&transaction.writes, &transaction.preconditions);
        if writes.len() > self.txn_ops {
            return Err(SizeError::TooManyWrites(writes.len()));
        }
        if preconditions.len() > self.txn_ops * MAX_PRECONDITIONS_PER_WRITE {
            return Err(SizeError::TooManyPreconditions(preconditions.len()));
        }
        let oversized_key = writes.iter().find_map(|write| match write {
            Write::Put { key, value, .. } if value.to_string().len() > self.value_bytes => {
                Some(key.clone())
            }
            _ => None,
        });
        oversized_key.map_or(Ok(()), |key| Err(SizeError::ValueTooLarge { key }))
    }
}
