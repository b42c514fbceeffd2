//! What a site file must hold beside its types.

use super::{Class, Kind, Site};

/// Most controllers: each is a process.
const CONTROLLERS_MOST: usize = 64;
/// Most teams of an entry.
const TEAMS_MOST: usize = 1_000;
/// Longest run, in seconds.
const DURATION_MOST_S: f64 = 3_600.0;
/// Most machines: each has an address below 127.64.0.0.
const MACHINES_MOST: u32 = 20_000;

/// Why a site file is refused.
#[derive(Debug, thiserror::Error)]
pub enum BadSite {
    /// Not TOML, or a field is unknown, missing or of another type.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A field is out of its range.
    #[error("`{field}` {problem}")]
    Field {
        /// The field, with its path.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
}

fn wrong(field: impl Into<String>, problem: impl Into<String>) -> BadSite {
    BadSite::Field {
        field: field.into(),
        problem: problem.into(),
    }
}

fn positive(field: &str, value: f64) -> Result<(), BadSite> {
    match value.is_finite() && value > 0.0 {
        true => Ok(()),
        false => Err(wrong(field, "must be above 0")),
    }
}

fn part(field: &str, value: f64) -> Result<(), BadSite> {
    match (0.0..=1.0).contains(&value) {
        true => Ok(()),
        false => Err(wrong(field, "must be from 0 to 1")),
    }
}

fn within(field: &str, value: usize, most: usize) -> Result<(), BadSite> {
    match (1..=most).contains(&value) {
        true => Ok(()),
        false => Err(wrong(field, format!("must be from 1 to {most}"))),
    }
}

/// Checks a whole site.
pub(super) fn check(site: &Site) -> Result<(), BadSite> {
    let times = [
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
    for (field, value) in times {
        positive(field, value)?;
    }
    if site.duration_s > DURATION_MOST_S {
        return Err(wrong("duration_s", "must be at most 3600"));
    }
    if !(0.0..site.duration_s).contains(&site.warmup_s) {
        return Err(wrong("warmup_s", "must be below duration_s"));
    }
    within(
        "controllers.count",
        site.controllers.count,
        CONTROLLERS_MOST,
    )?;
    within("capacity", site.machines() as usize, MACHINES_MOST as usize)?;
    part("cloud.boot_fail", site.cloud.boot_fail)?;
    for (field, empty) in [
        ("zones", site.zones.is_empty()),
        ("teams", site.teams.is_empty()),
        ("machine_types", site.machine_types.is_empty()),
    ] {
        if empty {
            return Err(wrong(field, "must not be empty"));
        }
    }
    for (i, team) in site.teams.iter().enumerate() {
        within(&format!("teams[{i}].count"), team.count, TEAMS_MOST)?;
    }
    check_capacity(site)?;
    let teams: Vec<String> = site.teams.iter().flat_map(|t| t.names()).collect();
    for (i, class) in site.classes.iter().enumerate() {
        check_class(&format!("classes[{i}]"), class)?;
        if class
            .team
            .as_ref()
            .is_some_and(|team| !teams.contains(team))
        {
            return Err(wrong(format!("classes[{i}].team"), "names no team"));
        }
    }
    check_kills(site)?;
    check_cuts(site)
}

fn check_capacity(site: &Site) -> Result<(), BadSite> {
    for (i, capacity) in site.capacity.iter().enumerate() {
        let known = site.machine_types.iter();
        if !known.into_iter().any(|t| t.name == capacity.machine_type) {
            let field = format!("capacity[{i}].type");
            return Err(wrong(field, "names no machine type"));
        }
        if !site.zones.contains(&capacity.zone) {
            return Err(wrong(format!("capacity[{i}].zone"), "names no zone"));
        }
    }
    Ok(())
}

fn check_class(path: &str, class: &Class) -> Result<(), BadSite> {
    if class.tasks.is_empty() || class.tasks.contains(&0) {
        let field = format!("{path}.tasks");
        return Err(wrong(field, "must be a list of numbers above 0"));
    }
    if class.kind != Kind::Service {
        positive(&format!("{path}.run_s"), class.run_s)?;
    }
    if class.cancelled > 0.0 {
        positive(
            &format!("{path}.cancelled_within_s"),
            class.cancelled_within_s,
        )?;
    }
    if !(class.per_s.is_finite() && class.per_s >= 0.0) {
        return Err(wrong(format!("{path}.per_s"), "must not be negative"));
    }
    if class.answers && class.kind != Kind::Service {
        let field = format!("{path}.answers");
        return Err(wrong(field, "is for classes of kind `service`"));
    }
    if let Some(at_s) = class.burst_s {
        positive(&format!("{path}.burst_s"), at_s)?;
    }
    within(&format!("{path}.images"), class.images as usize, 10_000)?;
    part(&format!("{path}.cancelled"), class.cancelled)
}

fn check_kills(site: &Site) -> Result<(), BadSite> {
    for (i, kill) in site.kills.iter().enumerate() {
        let path = format!("kills[{i}]");
        let named = [
            kill.controller.is_some(),
            kill.workers.is_some(),
            kill.zone.is_some(),
            kill.holder,
        ];
        if named.into_iter().filter(|is_named| *is_named).count() != 1 {
            let problem = "must name one of `controller`, `workers`, `zone` and `holder`";
            return Err(wrong(path, problem));
        }
        if kill.zone.as_ref().is_some_and(|z| !site.zones.contains(z)) {
            return Err(wrong(format!("{path}.zone"), "names no zone"));
        }
        check_controller(&path, kill.controller, site)?;
    }
    Ok(())
}

fn check_cuts(site: &Site) -> Result<(), BadSite> {
    for (i, cut) in site.cuts.iter().enumerate() {
        let path = format!("cuts[{i}]");
        positive(&format!("{path}.at_s"), cut.at_s)?;
        positive(&format!("{path}.for_s"), cut.for_s)?;
        within(&format!("{path}.every"), cut.every, 1_000)?;
        check_controller(&path, cut.controller, site)?;
    }
    Ok(())
}

fn check_controller(path: &str, index: Option<usize>, site: &Site) -> Result<(), BadSite> {
    if index.is_some_and(|n| n >= site.controllers.count) {
        let field = format!("{path}.controller");
        return Err(wrong(field, "is not the index of a controller"));
    }
    Ok(())
}
