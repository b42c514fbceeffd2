//! Keys of stored records, and parsing of the rows of accounts.

use super::interval::UsageInterval;
use super::records::{ColdStart, PoolRequest};
use crate::declaration::PoolName;

/// Prefix of the keys of account rows, of all pools.
pub const ACCOUNT_PREFIX: &str = "pool/";
/// Prefix of the keys of present requests, of all pools.
pub const CURRENT_REQUEST_PREFIX: &str = "pool-asked/";
/// Prefix of the keys of prices.
pub const PRICE_PREFIX: &str = "price/";
/// Number of digits of a time in a key. Times are padded with zeros, so that the
/// lexicographic order of keys is the order of times.
const TIME_DIGITS: usize = 14;

/// Key of a pool's present request, which is replaced when the target size changes.
pub fn current_request_key(pool: &PoolName) -> String {
    format!("{CURRENT_REQUEST_PREFIX}{pool}")
}

/// Key of a row of a pool's account. `kind` begins with the kind of the row; see
/// [`AccountRow::parse`].
pub(super) fn row_key(pool: &PoolName, at_ms: u64, kind: &str) -> String {
    format!("{ACCOUNT_PREFIX}{pool}/{at_ms:0TIME_DIGITS$}-{kind}")
}

/// Key of the prices of a machine type that are valid from `from_ms`.
pub(super) fn price_key(machine_type: &str, from_ms: u64) -> String {
    format!("{PRICE_PREFIX}{machine_type}/{from_ms:0TIME_DIGITS$}")
}

/// A row of a pool's account.
#[derive(Clone, Debug, PartialEq)]
pub enum AccountRow {
    /// An interval for which the pool is charged for a machine.
    Interval(UsageInterval),
    /// A past or the present request for machines.
    Request(PoolRequest),
    /// A cold start.
    ColdStart(ColdStart),
}

impl AccountRow {
    /// Parses a record whose key begins with [`ACCOUNT_PREFIX`] or
    /// [`CURRENT_REQUEST_PREFIX`]. `None` if the key has another prefix or an unknown kind, or
    /// if the value is invalid.
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
