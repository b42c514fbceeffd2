//! Validation of the fields of the settings.

use super::{Cluster, NextStateLimits, Peer, Settings, SettingsError, Team};
use crate::ids::NodeName;
use std::fmt::Debug;

/// Minimum of `cluster.state.txn_ops`: the transactions that hand over a shard and that end a
/// job have this many writes.
const MIN_TRANSACTION_WRITES: usize = 4;
/// Minimum of `cluster.limits.sockets`.
const MIN_SOCKETS: usize = 32;

/// Why the value of a field is refused. The message states which values are allowed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum FieldProblem {
    /// The value is zero, negative, infinite or not a number.
    #[error("must be a number above 0")]
    NotPositive,
    /// The value is negative, infinite or not a number.
    #[error("must be a number that is not negative")]
    Negative,
    /// The text is empty.
    #[error("must not be empty")]
    Empty,
    /// The value is below the minimum, which this variant contains.
    #[error("must be at least {0}")]
    BelowMinimum(usize),
    /// A peer has the name of this controller.
    #[error("must not be `host_name`, the name of this controller")]
    OwnName,
}

/// Validates all fields.
///
/// # Errors
///
/// [`SettingsError::Field`], for the first field that is refused.
pub(super) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    let cluster = &settings.cluster;
    let next_limits = cluster.state.next.clone().unwrap_or_default();
    validate_positive(cluster, &next_limits)?;
    validate_minimums(cluster, &next_limits)?;
    validate_names(&settings.node, &settings.peers)?;
    validate_quotas(&cluster.teams)
}

fn field_error(
    field: impl Into<String>,
    problem: FieldProblem,
    value: impl Debug,
) -> SettingsError {
    SettingsError::Field {
        field: field.into(),
        problem,
        value: format!("{value:?}"),
    }
}

/// Validates times, rates and sizes, which must be above 0. Announced limits may be absent.
fn validate_positive(cluster: &Cluster, next: &NextStateLimits) -> Result<(), SettingsError> {
    let required = [
        (
            "cluster.workers.report_s",
            cluster.workers.heartbeat_interval_s,
        ),
        ("cluster.workers.lease_s", cluster.workers.lease_s),
        (
            "cluster.workers.gang_wait_s",
            cluster.workers.gang_start_timeout_s,
        ),
        (
            "cluster.workers.gang_peer_s",
            cluster.workers.gang_exit_detection_s,
        ),
        (
            "cluster.workers.cancel_s",
            cluster.workers.cancellation_deadline_s,
        ),
        ("cluster.state.rps", cluster.state.requests_per_s),
        ("cluster.state.write_rps", cluster.state.writes_per_s),
        ("cluster.state.value_kb", cluster.state.max_value_kib),
        ("cluster.cloud.rps", cluster.cloud.requests_per_s),
        ("cluster.limits.cpu", cluster.limits.cpu_fraction),
        ("cluster.limits.mem_mb", cluster.limits.memory_mb),
    ];
    let optional = [
        ("cluster.state.next.rps", next.requests_per_s),
        ("cluster.state.next.write_rps", next.writes_per_s),
        ("cluster.state.next.value_kb", next.max_value_kib),
    ];
    let announced = optional
        .into_iter()
        .filter_map(|(field, value)| Some((field, value?)));
    for (field, value) in required.into_iter().chain(announced) {
        if !(value.is_finite() && value > 0.0) {
            return Err(field_error(field, FieldProblem::NotPositive, value));
        }
    }
    Ok(())
}

/// Validates counts that have a minimum.
fn validate_minimums(cluster: &Cluster, next: &NextStateLimits) -> Result<(), SettingsError> {
    if cluster.node_count == 0 {
        let problem = FieldProblem::NotPositive;
        return Err(field_error(
            "cluster.initial_size",
            problem,
            cluster.node_count,
        ));
    }
    let minimums = [
        (
            "cluster.state.txn_ops",
            Some(cluster.state.max_transaction_writes),
            MIN_TRANSACTION_WRITES,
        ),
        (
            "cluster.state.next.txn_ops",
            next.max_transaction_writes,
            MIN_TRANSACTION_WRITES,
        ),
        (
            "cluster.limits.sockets",
            Some(cluster.limits.sockets),
            MIN_SOCKETS,
        ),
    ];
    for (field, value, minimum) in minimums {
        if let Some(value) = value.filter(|value| *value < minimum) {
            let problem = FieldProblem::BelowMinimum(minimum);
            return Err(field_error(field, problem, value));
        }
    }
    Ok(())
}

/// Validates the name of this controller: it must not be empty, and no peer may have it.
fn validate_names(own_name: &NodeName, peers: &[Peer]) -> Result<(), SettingsError> {
    if own_name.as_str().is_empty() {
        return Err(field_error(
            "host_name",
            FieldProblem::Empty,
            own_name.as_str(),
        ));
    }
    match peers.iter().position(|peer| peer.node == *own_name) {
        Some(index) => {
            let field = format!("peers[{index}].host_name");
            Err(field_error(field, FieldProblem::OwnName, own_name.as_str()))
        }
        None => Ok(()),
    }
}

/// Validates the quotas of the teams, which must not be negative.
fn validate_quotas(teams: &[Team]) -> Result<(), SettingsError> {
    for (index, team) in teams.iter().enumerate() {
        let amounts = [
            ("cpus", team.guaranteed_cpus),
            ("cpus_max", team.max_cpus),
            ("gpus", team.guaranteed_gpus),
            ("gpus_max", team.max_gpus),
        ];
        for (name, value) in amounts {
            if !(value.is_finite() && value >= 0.0) {
                let field = format!("cluster.teams[{index}].{name}");
                return Err(field_error(field, FieldProblem::Negative, value));
            }
        }
    }
    Ok(())
}
