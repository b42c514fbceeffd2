//! Checks of a site file beyond the types of its fields.

use super::error::FieldProblem;
use super::{CapacitySpec, CrashSpec, JobClass, JobKindSpec, LinkCutSpec, Site, SiteError};

/// Largest number of controllers: each is a process.
const MAX_CONTROLLERS: usize = 64;
/// Largest number of teams of an entry.
const MAX_TEAMS: usize = 1_000;
/// Longest run, in seconds.
const MAX_DURATION_S: f64 = 3_600.0;
/// Largest number of machines: each has an address below 127.64.0.0.
const MAX_MACHINES: usize = 20_000;
/// Largest number of images of a class.
const MAX_IMAGES: usize = 10_000;
/// Largest step over the links to workers that a cut takes.
const MAX_CUT_STEP: usize = 1_000;

fn invalid(field: impl Into<String>, problem: FieldProblem) -> SiteError {
    SiteError::Field {
        field: field.into(),
        problem,
    }
}

/// Rejects a field with a problem unless its value is valid.
fn require(is_valid: bool, field: &str, problem: FieldProblem) -> Result<(), SiteError> {
    match is_valid {
        true => Ok(()),
        false => Err(invalid(field, problem)),
    }
}

fn require_positive(field: &str, value: f64) -> Result<(), SiteError> {
    let is_valid = value.is_finite() && value > 0.0;
    require(is_valid, field, FieldProblem::NotPositive)
}

fn require_fraction(field: &str, value: f64) -> Result<(), SiteError> {
    let is_valid = (0.0..=1.0).contains(&value);
    require(is_valid, field, FieldProblem::NotAFraction)
}

fn require_count(field: &str, value: usize, max: usize) -> Result<(), SiteError> {
    let is_valid = (1..=max).contains(&value);
    require(is_valid, field, FieldProblem::CountOutOfRange { max })
}

/// Validates a whole site. The first invalid field is the error.
pub(super) fn validate(site: &Site) -> Result<(), SiteError> {
    validate_positive_values(site)?;
    validate_run_times(site)?;
    validate_sizes(site)?;
    for (index, capacity) in site.capacity.iter().enumerate() {
        validate_capacity(&format!("capacity[{index}]"), capacity, site)?;
    }
    validate_classes(site)?;
    for (index, crash) in site.kills.iter().enumerate() {
        validate_crash(&format!("kills[{index}]"), crash, site)?;
    }
    for (index, cut) in site.cuts.iter().enumerate() {
        validate_link_cut(&format!("cuts[{index}]"), cut, site)?;
    }
    Ok(())
}

fn validate_positive_values(site: &Site) -> Result<(), SiteError> {
    let values = [
        ("duration_s", site.duration_s),
        ("workers.report_s", site.workers.report_s),
        ("workers.lease_s", site.workers.lease_s),
        ("workers.gang_wait_s", site.workers.gang_wait_s),
        ("workers.gang_peer_s", site.workers.gang_peer_s),
        ("workers.cancel_s", site.workers.cancel_s),
        ("state.rps", site.state.rps),
        ("state.write_rps", site.state.write_rps),
        ("state.value_kb", site.state.value_kb),
        ("cloud.rps", site.cloud.rps),
        ("controllers.restart_s", site.controllers.restart_s),
    ];
    values
        .into_iter()
        .try_for_each(|(field, value)| require_positive(field, value))
}

fn validate_run_times(site: &Site) -> Result<(), SiteError> {
    let max = MAX_DURATION_S;
    require(
        site.duration_s <= max,
        "duration_s",
        FieldProblem::TooLarge { max },
    )?;
    require(
        (0.0..site.duration_s).contains(&site.warmup_s),
        "warmup_s",
        FieldProblem::NotBelowDuration,
    )
}

fn validate_sizes(site: &Site) -> Result<(), SiteError> {
    require_count("controllers.count", site.controllers.count, MAX_CONTROLLERS)?;
    let machines = site.on_demand_machines() as usize;
    require_count("capacity", machines, MAX_MACHINES)?;
    require_fraction("cloud.boot_fail", site.cloud.boot_fail)?;
    for (field, is_empty) in [
        ("zones", site.zones.is_empty()),
        ("teams", site.teams.is_empty()),
        ("machine_types", site.machine_types.is_empty()),
    ] {
        require(!is_empty, field, FieldProblem::Empty)?;
    }
    for (index, team) in site.teams.iter().enumerate() {
        require_count(&format!("teams[{index}].count"), team.count, MAX_TEAMS)?;
    }
    Ok(())
}

fn validate_capacity(path: &str, capacity: &CapacitySpec, site: &Site) -> Result<(), SiteError> {
    let mut types = site.machine_types.iter();
    require(
        types.any(|machine_type| machine_type.name == capacity.machine_type),
        &format!("{path}.type"),
        FieldProblem::UnknownMachineType,
    )?;
    require(
        site.zones.contains(&capacity.zone),
        &format!("{path}.zone"),
        FieldProblem::UnknownZone,
    )
}

fn validate_classes(site: &Site) -> Result<(), SiteError> {
    let team_names = site.team_names();
    for (index, class) in site.classes.iter().enumerate() {
        let path = format!("classes[{index}]");
        validate_class(&path, class)?;
        if let Some(team) = &class.team {
            let is_known = team_names.contains(team);
            require(is_known, &format!("{path}.team"), FieldProblem::UnknownTeam)?;
        }
    }
    Ok(())
}

fn validate_class(path: &str, class: &JobClass) -> Result<(), SiteError> {
    let is_service = class.kind == JobKindSpec::Service;
    require(
        !class.tasks.is_empty() && !class.tasks.contains(&0),
        &format!("{path}.tasks"),
        FieldProblem::NotPositiveNumbers,
    )?;
    if !is_service {
        require_positive(&format!("{path}.run_s"), class.run_s)?;
    }
    if class.cancelled > 0.0 {
        let field = format!("{path}.cancelled_within_s");
        require_positive(&field, class.cancelled_within_s)?;
    }
    require(
        class.per_s.is_finite() && class.per_s >= 0.0,
        &format!("{path}.per_s"),
        FieldProblem::Negative,
    )?;
    require(
        is_service || !class.answers,
        &format!("{path}.answers"),
        FieldProblem::ServicesOnly,
    )?;
    if let Some(burst_s) = class.burst_s {
        require_positive(&format!("{path}.burst_s"), burst_s)?;
    }
    let images = class.images as usize;
    require_count(&format!("{path}.images"), images, MAX_IMAGES)?;
    require_fraction(&format!("{path}.cancelled"), class.cancelled)
}

fn validate_crash(path: &str, crash: &CrashSpec, site: &Site) -> Result<(), SiteError> {
    let has_one_target = crash.target().is_some();
    require(has_one_target, path, FieldProblem::NotOneCrashTarget)?;
    if let Some(zone) = &crash.zone {
        let is_known = site.zones.contains(zone);
        require(is_known, &format!("{path}.zone"), FieldProblem::UnknownZone)?;
    }
    validate_controller_index(path, crash.controller, site)
}

fn validate_link_cut(path: &str, cut: &LinkCutSpec, site: &Site) -> Result<(), SiteError> {
    require_positive(&format!("{path}.at_s"), cut.at_s)?;
    require_positive(&format!("{path}.for_s"), cut.for_s)?;
    require_count(&format!("{path}.every"), cut.every, MAX_CUT_STEP)?;
    validate_controller_index(path, cut.controller, site)
}

fn validate_controller_index(
    path: &str,
    index: Option<usize>,
    site: &Site,
) -> Result<(), SiteError> {
    require(
        index.is_none_or(|index| index < site.controllers.count),
        &format!("{path}.controller"),
        FieldProblem::UnknownController,
    )
}
