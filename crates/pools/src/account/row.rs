//! Keys of stored records, and the rows that are read from them.

use super::interval::UsageInterval;
use super::records::{ColdStart, PoolRequest};
use crate::declaration::PoolName;

/// Prefix of the rows of all accounts.
pub const ACCOUNT_PREFIX: &str = "pool/";
/// Prefix of the present requests of all pools.
pub const CURRENT_REQUEST_PREFIX: &str = "pool-asked/";
/// Prefix of prices.
pub const PRICE_PREFIX: &str = "price/";
/// Digits of a time in a key, so that keys are ordered by time.
const TIME_DIGITS: usize = 14;

/// Key of the present request of a pool.
pub fn current_request_key(pool: &PoolName) -> String {
    format!("{CURRENT_REQUEST_PREFIX}{pool}")
}

/// Key of a row of a pool's account.
pub(super) fn row_key(pool: &PoolName, at_ms: u64, kind: &str) -> String {
    format!("{ACCOUNT_PREFIX}{pool}/{at_ms:0TIME_DIGITS$}-{kind}")
}

/// Key of the prices of a machine type from a time on.
pub(super) fn price_key(machine_type: &str, from_ms: u64) -> String {
    format!("{PRICE_PREFIX}{machine_type}/{from_ms:0TIME_DIGITS$}")
}

/// A row of a pool's account.
#[derive(Clone, Debug, PartialEq)]
pub enum AccountRow {
    /// An interval of a machine.
    Interval(UsageInterval),
    /// A past request, or the present one.
    Request(PoolRequest),
    /// A cold start.
    ColdStart(ColdStart),
}

impl AccountRow {
    /// Parses a record below [`ACCOUNT_PREFIX`] or [`CURRENT_REQUEST_PREFIX`]; `None` if the kind of its key is
    /// unknown or its value is invalid.
    pub fn parse(key: &str, value: &str) -> Option<Self> {
        if key.starts_with(CURRENT_REQUEST_PREFIX) {
            return parse_json(value).map(Self::Request);
        }
        let (_, row) = key.strip_prefix(ACCOUNT_PREFIX)?.split_once('/')?;
        let (_, kind) = row.split_once('-')?;
        match kind.split_once('-') {
            None if kind == "asked" => parse_json(value).map(Self::Request),
            Some(("machine", _)) => parse_json(value).map(Self::Interval),
            Some(("missed", _)) => parse_json(value).map(Self::ColdStart),
            _ => None,
        }
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
