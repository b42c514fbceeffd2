//! Classifies requests to the key-value store by their paths and keys. The report has rates
//! by category.

use forkshift_wire::state::{Transaction, Write};
use serde::Serialize;

/// Category of a request to the key-value store, or of a write.
///
/// A transaction with keys of several categories counts as [`Self::Job`] if it has a key of a
/// job, and otherwise as the first of its categories in the order of the variants. The
/// serialized names are those of the report.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestCategory {
    /// Long polling for changed keys.
    Watch,
    /// Granting and renewing leases.
    Lease,
    /// Reading keys.
    Read,
    /// Keys of live controllers, the leader, the holders of shards, and the format version.
    Membership,
    /// Keys of machines.
    Machine,
    /// Keys of provisioning requests, machine types and the shards' unmet demand.
    #[serde(rename = "renting")]
    Provisioning,
    /// Keys of accepted jobs and their final states.
    Job,
    /// Keys of tasks: starts, exits and progress.
    Task,
    /// Keys of cancellations that the holder of the job's shard has yet to execute.
    Cancellation,
    /// All other keys and unreadable transactions.
    Other,
}

/// A request to the key-value store with its categories.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClassifiedRequest {
    /// Category of the request as a whole.
    pub category: RequestCategory,
    /// Category of each write of a transaction; empty for other requests.
    pub writes: Vec<RequestCategory>,
}

impl ClassifiedRequest {
    /// A request that is not a transaction with writes.
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
    // Accepting a job writes keys of tasks too. Such a transaction counts as one of a job,
    // since acceptances are rarer than changes of tasks.
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
