//! Keys of stored records, and the rows that are read from them.

use super::interval::Interval;
use super::records::{Asked, Miss};
use crate::declaration::PoolName;

/// Prefix of the rows of all accounts.
pub const POOLS: &str = "pool/";
/// Prefix of the present requests of all pools.
pub const HEADS: &str = "pool-asked/";
/// Prefix of prices.
pub const PRICES: &str = "price/";
/// Digits of a time in a key, so that keys are ordered by time.
const TIME_DIGITS: usize = 14;

/// Key of the present request of a pool.
pub fn head_key(pool: &PoolName) -> String {
    format!("{HEADS}{pool}")
}

/// Key of a row of a pool's account.
pub(super) fn row_key(pool: &PoolName, at_ms: u64, kind: &str) -> String {
    format!("{POOLS}{pool}/{at_ms:0TIME_DIGITS$}-{kind}")
}

/// Key of the prices of a machine type from a time on.
pub(super) fn price_key(machine_type: &str, from_ms: u64) -> String {
    format!("{PRICES}{machine_type}/{from_ms:0TIME_DIGITS$}")
}

/// A row of a pool's account.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// An interval of a machine.
    Interval(Interval),
    /// A past request, or the present one.
    Asked(Asked),
    /// A cold start.
    Miss(Miss),
}

impl Row {
    /// Parses a record below [`POOLS`] or [`HEADS`]; `None` if the kind of its key is
    /// unknown or its value is invalid.
    pub fn parse(key: &str, value: &str) -> Option<Self> {
        if key.starts_with(HEADS) {
            return parse_json(value).map(Self::Asked);
        }
        let (_, row) = key.strip_prefix(POOLS)?.split_once('/')?;
        let (_, kind) = row.split_once('-')?;
        match kind.split_once('-') {
            None if kind == "asked" => parse_json(value).map(Self::Asked),
            Some(("machine", _)) => parse_json(value).map(Self::Interval),
            Some(("missed", _)) => parse_json(value).map(Self::Miss),
            _ => None,
        }
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
