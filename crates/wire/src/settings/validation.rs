//! Ranges of the fields of the settings.

use super::{Cluster, NextStateLimits, Peer, Settings, SettingsError, Team};
use crate::ids::NodeName;

/// Minimum of `cluster.state.txn_ops`: a handover of a shard, and the end of a job,
/// are transactions of this many changes.
const MIN_TRANSACTION_WRITES: usize = 4;
/// Minimum of `cluster.limits.sockets`.
const MIN_SOCKETS: usize = 32;

/// What is wrong with the value of a field.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum FieldProblem {
    /// Zero, negative, or no number.
    #[error("must be above 0")]
    NotPositive,
    /// Negative, or no number.
    #[error("must not be negative")]
    Negative,
    /// An empty text.
    #[error("must not be empty")]
    Empty,
    /// Below a minimum, which is given.
    #[error("must be at least {0}")]
    BelowMinimum(usize),
    /// A peer has the name of this controller.
    #[error("is this controller's own name")]
    OwnName,
}

/// Checks all fields.
///
/// # Errors
///
/// The first field that is refused.
pub(super) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    let cluster = &settings.cluster;
    let next_limits = cluster.state.next.clone().unwrap_or_default();
    validate_positive(cluster, &next_limits)?;
    validate_minimums(cluster, &next_limits)?;
    validate_names(&settings.node, &settings.peers)?;
    validate_quotas(&cluster.teams)
}

fn field_error(field: impl Into<String>, problem: FieldProblem) -> SettingsError {
    SettingsError::Field {
        field: field.into(),
        problem,
    }
}

/// Times, rates and sizes that must be above zero.
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
            return Err(field_error(field, FieldProblem::NotPositive));
        }
    }
    Ok(())
}

/// Counts that have a minimum.
fn validate_minimums(cluster: &Cluster, next: &NextStateLimits) -> Result<(), SettingsError> {
    if cluster.node_count == 0 {
        let problem = FieldProblem::NotPositive;
        return Err(field_error("cluster.initial_size", problem));
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
        if value.is_some_and(|value| value < minimum) {
            return Err(field_error(field, FieldProblem::BelowMinimum(minimum)));
        }
    }
    Ok(())
}

/// The name of this controller, which no peer may have.
fn validate_names(own_name: &NodeName, peers: &[Peer]) -> Result<(), SettingsError> {
    if own_name.as_str().is_empty() {
        return Err(field_error("host_name", FieldProblem::Empty));
    }
    match peers.iter().position(|peer| peer.node == *own_name) {
        Some(index) => {
            let field = format!("peers[{index}].host_name");
            Err(field_error(field, FieldProblem::OwnName))
        }
        None => Ok(()),
    }
}

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
                return Err(field_error(field, FieldProblem::Negative));
            }
        }
    }
    Ok(())
}
