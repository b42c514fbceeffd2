//! Parsing and validation of the operators' settings, a file in protobuf text format.
//!
//! `proto/operator.proto` defines the fields. A field that is left out has the default of
//! [`Operator`].

use forkshift_core::Operator;
use forkshift_pools::{PoolError, PoolSpec, Pools, WindowSpec};
use forkshift_sched::Weights;
use forkshift_wire::settings::Settings;
use std::ops::RangeInclusive;

/// Types generated from `proto/operator.proto` by the build script.
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    clippy::pedantic,
    clippy::unwrap_used,
    reason = "generated code"
)]
mod generated {
    include!(concat!(env!("OUT_DIR"), "/proto/mod.rs"));
}

use generated::operator::{Operator as Message, Pool as PoolMessage, Window as WindowMessage};

/// Maximum of `round_s`, `round_gap_s` and `assign_s`, in seconds.
const MAX_PERIOD_S: f64 = 10.0;
/// The only value that `weights.fit` may have: operators can shift weight between cost and
/// latency, but not to or from the fit.
const FIT_WEIGHT: f64 = 1.0 / 3.0;
/// Tolerance of the checks of weights, because a file has weights as rounded decimals, such
/// as 0.3333 for one third.
const WEIGHT_TOLERANCE: f64 = 1e-3;

/// Why the operators' settings are refused.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorError {
    /// The text is not an `Operator` message in protobuf text format.
    #[error("{0}")]
    Text(#[from] protobuf::text_format::ParseError),
    /// The declaration of a warm pool is refused.
    #[error("{0}")]
    Pool(#[from] PoolError),
    /// The value of a field is outside its range.
    #[error("`{field}` must be {allowed}; the given value is {value}")]
    Field {
        /// Path of the field in the file.
        field: &'static str,
        /// The allowed values.
        allowed: &'static str,
        /// The given value.
        value: String,
    },
}

/// Parses and validates the operators' settings. The teams and zones of the declared pools
/// must be in the platform's settings.
///
/// # Errors
///
/// [`OperatorError`], for the first field that is refused.
pub(crate) fn parse(text: &str, settings: &Settings) -> Result<Operator, OperatorError> {
    let message: Message = protobuf::text_format::parse_from_str(text)?;
    let mut operator = Operator::default();
    if let Some(weights) = message.weights.as_ref() {
        operator.weights = Weights {
            fit: weights.fit,
            cost: weights.cost,
            latency: weights.latency,
        };
    }
    let optional_fields = [
        (message.round_s, &mut operator.round_interval_s),
        (message.round_gap_s, &mut operator.min_round_interval_s),
        (message.assign_s, &mut operator.assignment_interval_s),
        (message.spare, &mut operator.headroom_ratio),
        (message.idle_boots, &mut operator.idle_boots),
        (message.silent_leases, &mut operator.max_silence_leases),
    ];
    for (value, field) in optional_fields {
        *field = value.unwrap_or(*field);
    }
    operator.expected_machines = message.machines;
    operator.pools = parse_pools(&message.pools, settings)?;
    validate(&operator)?;
    Ok(operator)
}

fn parse_pools(messages: &[PoolMessage], settings: &Settings) -> Result<Pools, PoolError> {
    let specs: Vec<PoolSpec> = messages.iter().map(pool_spec).collect();
    let cluster = &settings.cluster;
    let teams: Vec<&str> = cluster
        .teams
        .iter()
        .map(|team| team.name.as_str())
        .collect();
    Pools::parse(&specs, &teams, &cluster.zones)
}

fn pool_spec(message: &PoolMessage) -> PoolSpec {
    PoolSpec {
        name: message.name.clone(),
        team: message.team.clone(),
        image: message.image.clone(),
        image_gb: message.image_gb,
        types: message.types.clone(),
        zones: message.zones.clone(),
        spot: message.spot,
        min_machines: message.least,
        max_machines: message.most,
        max_cost_per_hour: message.cost_per_hour_most,
        time_zone: message.time_zone.clone(),
        windows: message.windows.iter().map(window_spec).collect(),
    }
}

fn window_spec(message: &WindowMessage) -> WindowSpec {
    WindowSpec {
        weekdays: message.weekdays.clone(),
        from: message.from.clone(),
        to: message.to.clone(),
        first_date: message.first_date.clone(),
        last_date: message.last_date.clone(),
        last_days_of_month: message.last_days_of_month,
        min_machines: message.least,
        max_machines: message.most,
    }
}

/// The result of validating one field.
struct FieldCheck {
    /// Path of the field in the file.
    field: &'static str,
    is_valid: bool,
    /// The allowed values, for the error message.
    allowed: &'static str,
    /// The given value, for the error message.
    value: String,
}

/// Validates all fields, in the order of [`weight_checks`] and [`field_checks`]. Returns an
/// error for the first field that is not valid.
fn validate(operator: &Operator) -> Result<(), OperatorError> {
    let weight_checks = weight_checks(&operator.weights);
    let checks = weight_checks.into_iter().chain(field_checks(operator));
    let mut failed = checks.filter(|check| !check.is_valid);
    match failed.next() {
        Some(FieldCheck {
            field,
            allowed,
            value,
            ..
        }) => Err(OperatorError::Field {
            field,
            allowed,
            value,
        }),
        None => Ok(()),
    }
}

fn weight_checks(weights: &Weights) -> [FieldCheck; 2] {
    let all = [weights.fit, weights.cost, weights.latency];
    let are_fractions = all.iter().all(|weight| (0.0..=1.0).contains(weight));
    let sum: f64 = all.iter().sum();
    let Weights { fit, cost, latency } = weights;
    [
        FieldCheck {
            field: "weights",
            is_valid: are_fractions && (sum - 1.0).abs() < WEIGHT_TOLERANCE,
            allowed: "fractions from 0 to 1 that sum to 1",
            value: format!("fit {fit}, cost {cost}, latency {latency}"),
        },
        FieldCheck {
            field: "weights.fit",
            is_valid: (weights.fit - FIT_WEIGHT).abs() < WEIGHT_TOLERANCE,
            allowed: "one third (0.3333)",
            value: fit.to_string(),
        },
    ]
}

fn field_checks(operator: &Operator) -> [FieldCheck; 7] {
    let check = |field, is_valid, allowed, value: String| FieldCheck {
        field,
        is_valid,
        allowed,
        value,
    };
    let period = |field, seconds: f64| {
        let is_valid = seconds > 0.0 && seconds <= MAX_PERIOD_S;
        check(
            field,
            is_valid,
            "above 0 and at most 10",
            seconds.to_string(),
        )
    };
    let factor = |field, value: f64, range: RangeInclusive<f64>, allowed| {
        check(field, range.contains(&value), allowed, value.to_string())
    };
    [
        period("round_s", operator.round_interval_s),
        period("round_gap_s", operator.min_round_interval_s),
        period("assign_s", operator.assignment_interval_s),
        factor("spare", operator.headroom_ratio, 0.0..=10.0, "from 0 to 10"),
        factor(
            "idle_boots",
            operator.idle_boots,
            0.0..=100.0,
            "from 0 to 100",
        ),
        factor(
            "silent_leases",
            operator.max_silence_leases,
            0.1..=10.0,
            "from 0.1 to 10",
        ),
        check(
            "machines",
            operator.expected_machines != Some(0),
            "above 0",
            operator.expected_machines.unwrap_or_default().to_string(),
        ),
    ]
}

#[cfg(test)]
mod tests;
