//! Reads the usage records of warm pools, from which reports are computed.

use super::records::{parse, RecordReader, RecordsError};
use forkshift_pools::account::{
    AccountRow, BilledMachine, Price, UsageInterval, ACCOUNT_PREFIX, PRICE_PREFIX,
};
use forkshift_pools::report::UsageRecords;
use std::collections::BTreeSet;

/// Reads the usage records of all pools. Machines that are in a pool at present count with an
/// interval that ends at `now_ms` (milliseconds since 1970).
///
/// # Errors
///
/// [`RecordsError`], if the key-value store does not respond or refuses a request, or if a
/// record is malformed.
pub(super) fn read(reader: &RecordReader, now_ms: u64) -> Result<UsageRecords, RecordsError> {
    // Open intervals are read first. An interval that is closed while the records are being
    // read is then also among the closed intervals, and its key identifies the duplicate. In
    // the opposite order, the interval would be missing from both.
    let open = read_open_intervals(reader, now_ms)?;
    let mut usage = UsageRecords {
        requests: reader.read_current_requests()?,
        ..UsageRecords::default()
    };
    let mut closed: Vec<UsageInterval> = Vec::new();
    let mut closed_keys: BTreeSet<String> = BTreeSet::new();
    for item in reader.read_prefix(ACCOUNT_PREFIX)? {
        match AccountRow::parse(&item.key, &item.value.to_string()) {
            Some(AccountRow::Interval(interval)) => {
                closed_keys.insert(item.key);
                closed.push(interval);
            }
            Some(AccountRow::Request(request)) => usage.requests.push(request),
            Some(AccountRow::ColdStart(cold_start)) => usage.cold_starts.push(cold_start),
            None => return Err(RecordsError::UnknownRow { key: item.key }),
        }
    }
    let still_open = open
        .into_iter()
        .filter(|interval| !closed_keys.contains(&interval.key()));
    usage.intervals = still_open.chain(closed).collect();
    for item in reader.read_prefix(PRICE_PREFIX)? {
        usage.prices.push(parse::<Price>(&item)?);
    }
    Ok(usage)
}

/// Reads the machines that are in pools at present, each as an interval that ends at
/// `now_ms`.
fn read_open_intervals(
    reader: &RecordReader,
    now_ms: u64,
) -> Result<Vec<UsageInterval>, RecordsError> {
    let mut intervals = Vec::new();
    for (id, machine) in reader.read_machines()? {
        let Some(membership) = &machine.pool else {
            continue;
        };
        let billed_machine = BilledMachine {
            id,
            machine_type: machine.machine_type,
            spot: machine.spot,
        };
        intervals.push(membership.close(&billed_machine, now_ms, None));
    }
    Ok(intervals)
}
