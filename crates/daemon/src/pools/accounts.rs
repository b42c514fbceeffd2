//! The accounts of warm pools, from which reports are made.

use super::records::{parse, RecordReader, RecordsError};
use forkshift_pools::account::{
    AccountRow, BilledMachine, Price, UsageInterval, ACCOUNT_PREFIX, PRICE_PREFIX,
};
use forkshift_pools::report::UsageRecords;
use std::collections::BTreeSet;

/// Reads the accounts of all pools; open intervals are taken to end at `now_ms`.
///
/// # Errors
///
/// If the service does not respond or refuses, or a record is malformed.
pub(super) fn read(reader: &RecordReader, now_ms: u64) -> Result<UsageRecords, RecordsError> {
    // Open intervals are read first: one that ends meanwhile is then among the rows as
    // well, and is recognised by its key.
    let open = open_intervals(reader, now_ms)?;
    let mut accounts = UsageRecords {
        requests: reader.requested_sizes()?,
        ..UsageRecords::default()
    };
    let mut closed: Vec<UsageInterval> = Vec::new();
    let mut closed_keys: BTreeSet<String> = BTreeSet::new();
    for item in reader.with_prefix(ACCOUNT_PREFIX)? {
        match AccountRow::parse(&item.key, &item.value.to_string()) {
            Some(AccountRow::Interval(interval)) => {
                closed_keys.insert(item.key);
                closed.push(interval);
            }
            Some(AccountRow::Request(asked)) => accounts.requests.push(asked),
            Some(AccountRow::ColdStart(miss)) => accounts.cold_starts.push(miss),
            None => return Err(RecordsError::UnknownRow { key: item.key }),
        }
    }
    let still_open = open
        .into_iter()
        .filter(|interval| !closed_keys.contains(&interval.key()));
    accounts.intervals = still_open.chain(closed).collect();
    for item in reader.with_prefix(PRICE_PREFIX)? {
        accounts.prices.push(parse::<Price>(&item)?);
    }
    Ok(accounts)
}

/// The intervals of the machines that are in pools at present.
fn open_intervals(reader: &RecordReader, now_ms: u64) -> Result<Vec<UsageInterval>, RecordsError> {
    let mut intervals = Vec::new();
    for (id, machine) in reader.machines()? {
        let Some(membership) = &machine.pool else {
            continue;
        };
        let facts = BilledMachine {
            id,
            machine_type: machine.machine_type,
            spot: machine.spot,
        };
        intervals.push(membership.close(&facts, now_ms, None));
    }
    Ok(intervals)
}
