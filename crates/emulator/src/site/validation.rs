//! Validates the values of a site file, and the names and indexes that refer to other entries.

use super::error::FieldProblem;
use super::{CapacitySpec, CrashSpec, JobClass, JobKindSpec, LinkCutSpec, Site, SiteError};

/// Largest number of controllers. Each is a process with up to 200 MiB of memory.
const MAX_CONTROLLERS: usize = 64;
/// Largest number of teams of an entry.
const MAX_TEAMS: usize = 1_000;
/// Longest run, in seconds.
const MAX_DURATION_S: f64 = 3_600.0;
/// Largest number of on-demand machines. Each hollow worker has a loopback address, sockets and
/// memory.
const MAX_MACHINES: usize = 20_000;
/// Largest number of images of a class.
const MAX_IMAGES: usize = 10_000;
/// Largest `every` of a cut, which cuts every n-th link to workers.
const MAX_CUT_STEP: usize = 1_000;

fn invalid(field: impl Into<String>, problem: FieldProblem) -> SiteError {
    SiteError::Field {
        field: field.into(),
        problem,
    }
}

/// Returns an error for the field with the problem, unless its value is valid.
fn require(is_valid: bool, field: &str, problem: FieldProblem) -> Result<(), SiteError> {
    match is_valid {
        true => Ok(()),
        false => Err(invalid(field, problem)),
    }
}

fn require_positive(field: &str, value: f64) -> Result<(), SiteError> {
    let is_valid = value.is_finite() && value > 0.0;
    require(is_valid, field, FieldProblem::NotPositive { value })
}

fn require_fraction(field: &str, value: f64) -> Result<(), SiteError> {
    let is_valid = (0.0..=1.0).contains(&value);
    require(is_valid, field, FieldProblem::NotAFraction { value })
}

fn require_count(field: &str, value: usize, max: usize) -> Result<(), SiteError> {
    let is_valid = (1..=max).contains(&value);
    require(
        is_valid,
        field,
        FieldProblem::CountOutOfRange { value, max },
    )
}

/// Validates a whole site. The error is about the first invalid field that is found.
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
    let (value, max) = (site.duration_s, MAX_DURATION_S);
    let too_large = FieldProblem::TooLarge { value, max };
    require(value <= max, "duration_s", too_large)?;
    require(
        (0.0..site.duration_s).contains(&site.warmup_s),
        "warmup_s",
        FieldProblem::NotBelowDuration {
            value: site.warmup_s,
            duration_s: site.duration_s,
        },
    )
}

fn validate_sizes(site: &Site) -> Result<(), SiteError> {
    require_count("controllers.count", site.controllers.count, MAX_CONTROLLERS)?;
    let machines = site.on_demand_machines() as usize;
    require_count("sum of capacity[].count", machines, MAX_MACHINES)?;
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
        FieldProblem::UnknownMachineType {
            name: capacity.machine_type.clone(),
        },
    )?;
    require(
        site.zones.contains(&capacity.zone),
        &format!("{path}.zone"),
        FieldProblem::UnknownZone {
            name: capacity.zone.clone(),
        },
    )
}

fn validate_classes(site: &Site) -> Result<(), SiteError> {
    let team_names = site.team_names();
    for (index, class) in site.classes.iter().enumerate() {
        let path = format!("classes[{index}]");
        validate_class(&path, class)?;
        if let Some(team) = &class.team {
            let is_known = team_names.contains(team);
            let unknown = FieldProblem::UnknownTeam { name: team.clone() };
            require(is_known, &format!("{path}.team"), unknown)?;
        }
    }
    Ok(())
}

fn validate_class(path: &str, class: &JobClass) -> Result<(), SiteError> {
    let is_service = class.kind == JobKindSpec::Service;
    require(
        !class.tasks.is_empty() && !class.tasks.contains(&0),
        &format!("{path}.tasks"),
        FieldProblem::NotPositiveNumbers {
            values: class.tasks.clone(),
        },
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
        FieldProblem::Negative { value: class.per_s },
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
        let unknown = FieldProblem::UnknownZone { name: zone.clone() };
        require(is_known, &format!("{path}.zone"), unknown)?;
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
    let controllers = site.controllers.count;
    let Some(index) = index.filter(|index| *index >= controllers) else {
        return Ok(());
    };
    let unknown = FieldProblem::UnknownController { index, controllers };
    Err(invalid(format!("{path}.controller"), unknown))
}
