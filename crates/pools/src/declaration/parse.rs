//! Parsing and validation of a pool's declaration.

use super::error::{FieldError, PoolError};
use super::name::PoolName;
use super::parse_window::parse_window;
use super::pool::Pool;
use super::spec::PoolSpec;
use crate::calendar::{Calendar, PoolSize, Window};
use jiff::tz::TimeZone;

/// Maximum number of windows of a pool. Each pair of windows is searched for overlaps day by
/// day, so that the time to parse a declaration grows with the square of the number.
const MAX_WINDOWS: usize = 32;

/// Parses a declaration. The error is about the first invalid field.
pub(super) fn parse_pool(
    spec: &PoolSpec,
    teams: &[&str],
    zones: &[String],
) -> Result<Pool, PoolError> {
    let error = |field: &str, problem| PoolError::new(&spec.name, field, problem);
    let name = PoolName::parse(&spec.name);
    let name = name.ok_or_else(|| error("name", FieldError::InvalidName))?;
    if !teams.contains(&spec.team.as_str()) {
        return Err(error("team", FieldError::UnknownTeam(spec.team.clone())));
    }
    if spec.image.is_empty() {
        return Err(error("image", FieldError::Empty));
    }
    if !is_positive(spec.image_gb) {
        return Err(error("image_gb", FieldError::NotPositive));
    }
    check_zones(spec, zones)?;
    let default_size =
        parse_size(spec.min_machines, spec.max_machines).map_err(|e| error("least", e))?;
    if spec
        .max_cost_per_hour
        .is_some_and(|cost| !is_positive(cost))
    {
        return Err(error("cost_per_hour_most", FieldError::NotPositive));
    }
    Ok(Pool {
        name,
        team: spec.team.clone(),
        image: spec.image.clone(),
        image_gb: spec.image_gb,
        types: spec.types.clone(),
        zones: spec.zones.clone(),
        spot: spec.spot,
        max_cost_per_hour: spec.max_cost_per_hour,
        calendar: parse_calendar(spec, default_size)?,
    })
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

/// Checks that the settings contain the pool's zones. If the settings list no zones, any zone
/// is accepted here and checked against the catalogue later.
fn check_zones(spec: &PoolSpec, zones: &[String]) -> Result<(), PoolError> {
    if zones.is_empty() {
        return Ok(());
    }
    for (i, zone) in spec.zones.iter().enumerate() {
        if !zones.contains(zone) {
            let problem = FieldError::UnknownZone(zone.clone());
            return Err(PoolError::new(&spec.name, format!("zones[{i}]"), problem));
        }
    }
    Ok(())
}

/// Parses the bounds on the number of machines. The caller reports errors for the field
/// `least`, which holds the minimum.
pub(super) fn parse_size(min_machines: u32, max_machines: u32) -> Result<PoolSize, FieldError> {
    match (min_machines, max_machines) {
        (_, 0) => Err(FieldError::MaxIsZero),
        (min, max) if min > max => Err(FieldError::MinAboveMax),
        (min, max) => Ok(PoolSize {
            min_machines: min,
            max_machines: max,
        }),
    }
}

/// Parses the windows of a pool. `default_size` is the size of a pool without windows, and
/// supplies the bounds that a window leaves out.
fn parse_calendar(spec: &PoolSpec, default_size: PoolSize) -> Result<Calendar, PoolError> {
    let time_zone = parse_time_zone(spec)
        .map_err(|problem| PoolError::new(&spec.name, "time_zone", problem))?;
    if spec.windows.len() > MAX_WINDOWS {
        let problem = FieldError::TooManyWindows(MAX_WINDOWS);
        return Err(PoolError::new(&spec.name, "windows", problem));
    }
    let mut windows: Vec<Window> = Vec::new();
    for (i, window_spec) in spec.windows.iter().enumerate() {
        let window = parse_window(window_spec, default_size).map_err(|error| {
            let field = format!("windows[{i}].{}", error.field);
            PoolError::new(&spec.name, field, error.problem)
        })?;
        let is_contradictory =
            |other: &Window| other.size != window.size && other.overlaps(&window);
        if let Some(other) = windows.iter().position(is_contradictory) {
            let problem = FieldError::ContradictsWindow(other);
            return Err(PoolError::new(&spec.name, format!("windows[{i}]"), problem));
        }
        windows.push(window);
    }
    Ok(Calendar::new(time_zone, windows, default_size))
}

fn parse_time_zone(spec: &PoolSpec) -> Result<TimeZone, FieldError> {
    match (spec.time_zone.as_str(), spec.windows.is_empty()) {
        ("", true) => Ok(TimeZone::UTC),
        ("", false) => Err(FieldError::MissingTimeZone),
        (name, _) => TimeZone::get(name).map_err(|_| FieldError::UnknownTimeZone(name.to_owned())),
    }
}
