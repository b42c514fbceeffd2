//! The accounts of warm pools, from which reports are made.

use super::records::{parse, RecordReader, RecordsError};
use forkshift_pools::account::{Interval, MachineFacts, Price, Row, POOLS, PRICES};
use forkshift_pools::report::Accounts;
use std::collections::BTreeSet;

/// Reads the accounts of all pools; open intervals are taken to end at `now_ms`.
///
/// # Errors
///
/// If the service does not respond or refuses, or a record is malformed.
pub fn read(reader: &RecordReader, now_ms: u64) -> Result<Accounts, RecordsError> {
    // Open intervals are read first: one that ends meanwhile is then among the rows as
    // well, and is recognised by its key.
    let open = open_intervals(reader, now_ms)?;
    let mut accounts = Accounts {
        asked: reader.requested_sizes()?,
        ..Accounts::default()
    };
    let mut closed: Vec<Interval> = Vec::new();
    let mut closed_keys: BTreeSet<String> = BTreeSet::new();
    for item in reader.with_prefix(POOLS)? {
        match Row::parse(&item.key, &item.value.to_string()) {
            Some(Row::Interval(interval)) => {
                closed_keys.insert(item.key);
                closed.push(interval);
            }
            Some(Row::Asked(asked)) => accounts.asked.push(asked),
            Some(Row::Miss(miss)) => accounts.misses.push(miss),
            None => return Err(RecordsError::UnknownRow { key: item.key }),
        }
    }
    let still_open = open
        .into_iter()
        .filter(|interval| !closed_keys.contains(&interval.key()));
    accounts.intervals = still_open.chain(closed).collect();
    for item in reader.with_prefix(PRICES)? {
        accounts.prices.push(parse::<Price>(&item)?);
    }
    Ok(accounts)
}

/// The intervals of the machines that are in pools at present.
fn open_intervals(reader: &RecordReader, now_ms: u64) -> Result<Vec<Interval>, RecordsError> {
    let mut intervals = Vec::new();
    for (id, machine) in reader.machines()? {
        let Some(membership) = &machine.pool else {
            continue;
        };
        let facts = MachineFacts {
            id,
            machine_type: machine.machine_type,
            spot: machine.spot,
        };
        intervals.push(membership.close(&facts, now_ms, None));
    }
    Ok(intervals)
}
