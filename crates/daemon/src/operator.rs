//! The operators' own settings, in protobuf text format.

use forkshift_core::Operator;
use forkshift_pools::{BadPool, PoolSpec, Pools, WindowSpec};
use forkshift_sched::Weights;
use forkshift_wire::settings::Settings;

#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod generated {
    include!(concat!(env!("OUT_DIR"), "/proto/mod.rs"));
}

use generated::operator::{Operator as Message, Pool as PoolMessage, Window as WindowMessage};

/// Why the operators' settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum BadOperator {
    /// Not text of the expected message.
    #[error("{0}")]
    Text(#[from] protobuf::text_format::ParseError),
    /// A pool can't be as it is declared.
    #[error("{0}")]
    Pool(#[from] BadPool),
    /// A field is out of its range.
    #[error("`{field}` must be {range}")]
    Field {
        /// The field.
        field: &'static str,
        /// What it must be.
        range: &'static str,
    },
}

/// Reads and checks the operators' settings beside the platform's; what they leave out
/// keeps its default.
pub fn parse(text: &str, settings: &Settings) -> Result<Operator, BadOperator> {
    let message: Message = protobuf::text_format::parse_from_str(text)?;
    let mut ops = Operator::default();
    if let Some(w) = message.weights.as_ref() {
        ops.weights = Weights {
            fit: w.fit,
            cost: w.cost,
            latency: w.latency,
        };
    }
    let fields = [
        (message.round_s, &mut ops.round_s),
        (message.round_gap_s, &mut ops.round_gap_s),
        (message.assign_s, &mut ops.assign_s),
        (message.spare, &mut ops.spare),
        (message.idle_boots, &mut ops.idle_boots),
        (message.silent_leases, &mut ops.silent_leases),
    ];
    for (given, field) in fields {
        *field = given.unwrap_or(*field);
    }
    ops.machines = message.machines;
    ops.pools = parse_pools(&message.pools, settings)?;
    check(&ops)?;
    Ok(ops)
}

fn parse_pools(messages: &[PoolMessage], settings: &Settings) -> Result<Pools, BadPool> {
    let specs: Vec<PoolSpec> = messages.iter().map(pool_spec).collect();
    let cluster = &settings.cluster;
    let teams: Vec<&str> = cluster.teams.iter().map(|t| t.name.as_str()).collect();
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
        least: message.least,
        most: message.most,
        cost_per_hour_most: message.cost_per_hour_most,
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
        least: message.least,
        most: message.most,
    }
}

fn check(ops: &Operator) -> Result<(), BadOperator> {
    let w = &ops.weights;
    let weights = [w.fit, w.cost, w.latency];
    let unit = |x: &f64| (0.0..=1.0).contains(x);
    let sums = (weights.iter().sum::<f64>() - 1.0).abs() < 1e-3;
    let period = |x: f64| x > 0.0 && x <= 10.0;
    let rules = [
        (
            "weights",
            weights.iter().all(unit) && sums,
            "parts from 0 to 1 that sum to 1",
        ),
        ("weights.fit", (w.fit - 1.0 / 3.0).abs() < 1e-3, "one third"),
        ("round_s", period(ops.round_s), "above 0 and at most 10"),
        (
            "round_gap_s",
            period(ops.round_gap_s),
            "above 0 and at most 10",
        ),
        ("assign_s", period(ops.assign_s), "above 0 and at most 10"),
        ("spare", (0.0..=10.0).contains(&ops.spare), "from 0 to 10"),
        (
            "idle_boots",
            (0.0..=100.0).contains(&ops.idle_boots),
            "from 0 to 100",
        ),
        (
            "silent_leases",
            (0.1..=10.0).contains(&ops.silent_leases),
            "from 0.1 to 10",
        ),
        ("machines", ops.machines != Some(0), "above 0"),
    ];
    match rules.into_iter().find(|(_, good, _)| !good) {
        Some((field, _, range)) => Err(BadOperator::Field { field, range }),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
