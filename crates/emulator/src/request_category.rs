//! Classifies requests to the key-value store by their paths and keys, for the report.

use forkshift_wire::state::{Transaction, Write};
use serde::Serialize;

/// Category of a request to the key-value store, or of a write.
///
/// Variants are ordered: the least one of a transaction's keys gives its category. The
/// serialised names are those of the report.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestCategory {
    /// Long polling for changed keys.
    Watch,
    /// Granting and renewing leases.
    Lease,
    /// Reading keys.
    Read,
    /// Live controllers, the leader, holders of shards, and the version of the format.
    Membership,
    /// Records of machines.
    Machine,
    /// Provisioning requests, machine types and unmet demand.
    #[serde(rename = "renting")]
    Provisioning,
    /// Acceptance of jobs, and their final states.
    Job,
    /// Starts, ends and progress of tasks.
    Task,
    /// Cancellations that wait for the holder of the shard.
    Cancellation,
    /// All others.
    Other,
}

/// A request to the key-value store with its categories.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClassifiedRequest {
    /// Category of the request.
    pub category: RequestCategory,
    /// Category of each write of a transaction.
    pub writes: Vec<RequestCategory>,
}

impl ClassifiedRequest {
    /// A request without writes.
    pub(crate) fn without_writes(category: RequestCategory) -> Self {
        Self {
            category,
            writes: Vec::new(),
        }
    }
}

/// Classifies a request to the key-value store.
pub(crate) fn classify(method: &str, path: &str, body: &[u8]) -> ClassifiedRequest {
    if path.starts_with("/changes") {
        return ClassifiedRequest::without_writes(RequestCategory::Watch);
    }
    if path.starts_with("/grants") {
        return ClassifiedRequest::without_writes(RequestCategory::Lease);
    }
    if method == "GET" {
        return ClassifiedRequest::without_writes(RequestCategory::Read);
    }
    classify_transaction(&serde_json::from_slice(body).unwrap_or_default())
}

fn classify_transaction(transaction: &Transaction) -> ClassifiedRequest {
    let keys = transaction.writes.iter().map(Write::key);
    let writes: Vec<RequestCategory> = keys.map(category_of_key).collect();
    let preconditions = transaction.preconditions.iter();
    let preconditions = preconditions.map(|precondition| category_of_key(&precondition.key));
    let categories = writes.iter().copied().chain(preconditions);
    // Acceptance writes keys of tasks too, but it is the rarer event.
    let category = categories.min_by_key(|category| (*category != RequestCategory::Job, *category));
    ClassifiedRequest {
        category: category.unwrap_or(RequestCategory::Other),
        writes,
    }
}

fn category_of_key(key: &str) -> RequestCategory {
    let parts: Vec<&str> = key.splitn(3, '/').collect();
    match parts.as_slice() {
        ["c", "node" | "leader" | "share" | "epoch" | "format", ..] => RequestCategory::Membership,
        ["c", "machine", ..] => RequestCategory::Machine,
        ["c", "charter" | "rig" | "demand", ..] => RequestCategory::Provisioning,
        ["c", "abort", ..] => RequestCategory::Cancellation,
        ["job", ..] => RequestCategory::Job,
        ["live", ..] => RequestCategory::Task,
        _ => RequestCategory::Other,
    }
}

#[cfg(test)]
mod tests;
