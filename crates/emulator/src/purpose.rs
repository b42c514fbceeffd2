//! What a request to the state service is for, by its path and keys.

use forkshift_wire::state::{Transaction, Write};
use serde::Serialize;

/// What a request or a change is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Waiting for changes.
    Watch,
    /// Granting and extending leases.
    Lease,
    /// Reading records.
    Read,
    /// Who is alive, leads, holds which shard, and which format is written.
    Membership,
    /// Machines: rented, heard of, given up, gone.
    Machine,
    /// Rental requests, machine types and unmet demand.
    Renting,
    /// Acceptance of jobs, and their final stages.
    Job,
    /// Starts, ends and progress of tasks.
    Task,
    /// Cancellations left for the holder.
    Cancellation,
    /// Anything else.
    Other,
}

/// What a request is for, and what its changes are for.
pub fn of_request(method: &str, path: &str, body: &[u8]) -> (Purpose, Vec<Purpose>) {
    if path.starts_with("/changes") {
        return (Purpose::Watch, Vec::new());
    }
    if path.starts_with("/grants") {
        return (Purpose::Lease, Vec::new());
    }
    if method == "GET" {
        return (Purpose::Read, Vec::new());
    }
    let txn: Transaction = serde_json::from_slice(body).unwrap_or_default();
    let changes: Vec<Purpose> = txn.writes.iter().map(Write::key).map(of_key).collect();
    let conditions = txn.preconditions.iter().map(|c| of_key(&c.key));
    // A transaction of a job's records is named by the rarer kind.
    let all = changes.iter().copied().chain(conditions);
    let first = all.min_by_key(|p| (*p != Purpose::Job, *p));
    (first.unwrap_or(Purpose::Other), changes)
}

fn of_key(key: &str) -> Purpose {
    let parts: Vec<&str> = key.splitn(3, '/').collect();
    match parts.as_slice() {
        ["c", "node" | "leader" | "share" | "epoch" | "format", ..] => Purpose::Membership,
        ["c", "machine", ..] => Purpose::Machine,
        ["c", "charter" | "rig" | "demand", ..] => Purpose::Renting,
        ["c", "abort", ..] => Purpose::Cancellation,
        ["job", ..] => Purpose::Job,
        ["live", ..] => Purpose::Task,
        _ => Purpose::Other,
    }
}

#[cfg(test)]
mod tests;
