//! Declarations of pools, and what is wrong with them.

use crate::calendar::{Calendar, Size, Window, MINUTES_A_DAY};
use forkshift_wire::cloud::MachineType;
use jiff::civil::Date;
use jiff::tz::TimeZone;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Longest name of a pool, in bytes: it is part of keys at the state service.
const NAME_LENGTH_MOST: usize = 40;
/// Days of the shortest month.
const LAST_DAYS_MOST: u32 = 28;
/// Most windows of a pool; each pair of them is compared day by day.
const WINDOWS_MOST: usize = 32;

/// Name of a pool: small letters, digits and hyphens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolName(String);

impl PoolName {
    /// Takes a name if it is one.
    pub fn parse(name: &str) -> Option<Self> {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let good = (1..=NAME_LENGTH_MOST).contains(&name.len()) && name.chars().all(allowed);
        good.then(|| Self(name.to_owned()))
    }

    /// As text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PoolName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A pool as its operators wrote it down.
#[derive(Clone, Debug, Default)]
pub struct PoolSpec {
    /// Its name.
    pub name: String,
    /// The team that is charged.
    pub team: String,
    /// The image that its machines hold.
    pub image: String,
    /// The image's size, in GB.
    pub image_gb: f64,
    /// Machine types that it may use; none: any.
    pub types: Vec<String>,
    /// Zones that it may use; none: any.
    pub zones: Vec<String>,
    /// Whether it uses spot machines, and no others.
    pub spot: bool,
    /// Machines that it keeps at least.
    pub least: u32,
    /// Machines that it keeps at most.
    pub most: u32,
    /// What its machines may cost an hour, all together.
    pub cost_per_hour_most: Option<f64>,
    /// Time zone of its windows, by its IANA name.
    pub time_zone: String,
    /// When it keeps them; none: always.
    pub windows: Vec<WindowSpec>,
}

/// A window as its operators wrote it down.
#[derive(Clone, Debug, Default)]
pub struct WindowSpec {
    /// Days of the week, as in `mon`; none: any.
    pub weekdays: Vec<String>,
    /// When it begins, as in `08:30`; empty: at midnight.
    pub from: String,
    /// When it ends, as in `17:00` or `24:00`; empty: at midnight.
    pub to: String,
    /// First date, as in `2026-12-31`; empty: from ever.
    pub first_date: String,
    /// Last date; empty: for ever.
    pub last_date: String,
    /// Only on so many last days of a month.
    pub last_days_of_month: Option<u32>,
    /// Instead of the pool's.
    pub least: Option<u32>,
    /// Instead of the pool's.
    pub most: Option<u32>,
}

/// Why a pool is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("pool `{pool}`: `{field}` {problem}")]
pub struct BadPool {
    /// The pool, as it calls itself.
    pub pool: String,
    /// The field.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// A pool that was checked.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// The team that is charged.
    pub team: String,
    /// The image that its machines hold.
    pub image: String,
    /// The image's size, in GB.
    pub image_gb: f64,
    /// Machine types that it may use; none: any.
    pub types: Vec<String>,
    /// Zones that it may use; none: any.
    pub zones: Vec<String>,
    /// Whether it uses spot machines, and no others.
    pub spot: bool,
    /// What its machines may cost an hour, all together.
    pub cost_per_hour_most: Option<f64>,
    /// When it keeps how many.
    pub calendar: Calendar,
}

impl Pool {
    /// Whether it may use a machine.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let named = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
        self.spot == spot && named(&self.types, machine_type) && named(&self.zones, zone)
    }

    /// Price an hour of a machine type, if the pool may use it.
    pub fn price_of(&self, machine_type: &MachineType) -> Option<f64> {
        let there = machine_type.zones.iter();
        let allowed = there
            .into_iter()
            .any(|z| self.allows(&machine_type.name, z, self.spot));
        let price = match self.spot {
            true => machine_type.spot_price,
            false => Some(machine_type.price),
        };
        price.filter(|_| allowed && self.image_gb <= machine_type.cache_gb)
    }

    /// What is wrong with it where there are these machine types.
    ///
    /// # Errors
    ///
    /// The first field that names something that is not there, or that asks for what no
    /// machine can do.
    pub fn check_catalog(&self, catalog: &[MachineType]) -> Result<(), BadPool> {
        let wrong = |field: &str, problem: String| Err(bad(self.name.as_str(), field, &problem));
        for (i, name) in self.types.iter().enumerate() {
            if !catalog.iter().any(|t| t.name == *name) {
                return wrong(
                    &format!("types[{i}]"),
                    format!("is `{name}`, which is no machine type"),
                );
            }
        }
        for (i, zone) in self.zones.iter().enumerate() {
            if !catalog.iter().any(|t| t.zones.contains(zone)) {
                return wrong(
                    &format!("zones[{i}]"),
                    format!("is `{zone}`, which is no zone"),
                );
            }
        }
        let allowed = |t: &&MachineType| {
            let mut zones = t.zones.iter();
            zones.any(|z| self.allows(&t.name, z, self.spot))
        };
        let allowed: Vec<&MachineType> = catalog.iter().filter(allowed).collect();
        let cache_gb = allowed.iter().map(|t| t.cache_gb).fold(0.0, f64::max);
        if allowed.is_empty() {
            return wrong("types", "are in none of its zones".to_owned());
        }
        if self.image_gb > cache_gb {
            return wrong(
                "image_gb",
                format!("is more than the largest cache, {cache_gb} GB"),
            );
        }
        let prices = allowed.iter().filter_map(|t| self.price_of(t));
        let cheapest = prices.fold(f64::INFINITY, f64::min);
        if cheapest.is_infinite() {
            return wrong(
                "spot",
                "asks for machines that are not to be had as spot".to_owned(),
            );
        }
        match self.cost_per_hour_most {
            Some(most) if most < cheapest => wrong(
                "cost_per_hour_most",
                format!("is less than one machine costs, {cheapest}"),
            ),
            _ => Ok(()),
        }
    }
}

/// All pools of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Pools(Vec<Pool>);

impl Pools {
    /// Checks declarations against the teams and zones that the settings name.
    ///
    /// # Errors
    ///
    /// The first field that is wrong, with its pool.
    pub fn parse(specs: &[PoolSpec], teams: &[&str], zones: &[String]) -> Result<Self, BadPool> {
        let mut names = BTreeSet::new();
        let mut pools = Vec::new();
        for spec in specs {
            let pool = parse_pool(spec, teams, zones)?;
            if !names.insert(pool.name.clone()) {
                return Err(bad(&spec.name, "name", "is used twice"));
            }
            pools.push(pool);
        }
        Ok(Self(pools))
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.0.iter()
    }

    /// The pool of a name.
    pub fn get(&self, name: &PoolName) -> Option<&Pool> {
        self.0.iter().find(|p| p.name == *name)
    }
}

fn bad(pool: &str, field: &str, problem: &str) -> BadPool {
    BadPool {
        pool: pool.to_owned(),
        field: field.to_owned(),
        problem: problem.to_owned(),
    }
}

fn parse_pool(spec: &PoolSpec, teams: &[&str], zones: &[String]) -> Result<Pool, BadPool> {
    let wrong = |field: &str, problem: &str| bad(&spec.name, field, problem);
    let name = PoolName::parse(&spec.name);
    let name = name.ok_or_else(|| wrong("name", "must be 1 to 40 of a-z, 0-9 and -"))?;
    if !teams.contains(&spec.team.as_str()) {
        return Err(wrong(
            "team",
            &format!("is `{}`, which is no team", spec.team),
        ));
    }
    if spec.image.is_empty() {
        return Err(wrong("image", "must not be empty"));
    }
    if !(spec.image_gb.is_finite() && spec.image_gb > 0.0) {
        return Err(wrong("image_gb", "must be above 0"));
    }
    for (i, zone) in spec.zones.iter().enumerate() {
        if !zones.is_empty() && !zones.contains(zone) {
            let problem = format!("is `{zone}`, which is no zone");
            return Err(wrong(&format!("zones[{i}]"), &problem));
        }
    }
    let always = parse_size(spec.least, spec.most).map_err(|e| wrong("least", e))?;
    if let Some(most) = spec.cost_per_hour_most {
        if !(most.is_finite() && most > 0.0) {
            return Err(wrong("cost_per_hour_most", "must be above 0"));
        }
    }
    let calendar = parse_calendar(spec, always)?;
    Ok(Pool {
        name,
        team: spec.team.clone(),
        image: spec.image.clone(),
        image_gb: spec.image_gb,
        types: spec.types.clone(),
        zones: spec.zones.clone(),
        spot: spec.spot,
        cost_per_hour_most: spec.cost_per_hour_most,
        calendar,
    })
}

fn parse_size(least: u32, most: u32) -> Result<Size, &'static str> {
    match (least, most) {
        (_, 0) => Err("and `most`: `most` must be above 0"),
        (least, most) if least > most => Err("must not be above `most`"),
        (least, most) => Ok(Size { least, most }),
    }
}

fn parse_calendar(spec: &PoolSpec, always: Size) -> Result<Calendar, BadPool> {
    let wrong = |field: &str, problem: &str| bad(&spec.name, field, problem);
    let zone = match (spec.time_zone.as_str(), spec.windows.is_empty()) {
        ("", true) => TimeZone::UTC,
        ("", false) => return Err(wrong("time_zone", "must be given with windows")),
        (name, _) => TimeZone::get(name)
            .map_err(|_| wrong("time_zone", &format!("is `{name}`, which is no time zone")))?,
    };
    if spec.windows.len() > WINDOWS_MOST {
        return Err(wrong("windows", "must be at most 32"));
    }
    let mut windows: Vec<Window> = Vec::new();
    for (i, window) in spec.windows.iter().enumerate() {
        let parsed = parse_window(window, always)
            .map_err(|(field, problem)| wrong(&format!("windows[{i}].{field}"), &problem))?;
        let against = |w: &Window| w.size != parsed.size && w.overlaps(&parsed);
        if let Some(other) = windows.iter().position(against) {
            let problem = format!("contradicts windows[{other}]: they overlap, with other sizes");
            return Err(wrong(&format!("windows[{i}]"), &problem));
        }
        windows.push(parsed);
    }
    Ok(Calendar::new(zone, windows, always))
}

/// A field and what is wrong with it.
type BadField = (&'static str, String);

fn parse_window(spec: &WindowSpec, always: Size) -> Result<Window, BadField> {
    let from = parse_time("from", &spec.from, 0)?;
    let to = parse_time("to", &spec.to, MINUTES_A_DAY)?;
    if from == MINUTES_A_DAY {
        return Err(("from", "must be before 24:00".to_owned()));
    }
    if from == to {
        return Err(("to", "is when the window begins".to_owned()));
    }
    let first_date = parse_date("first_date", &spec.first_date)?;
    let last_date = parse_date("last_date", &spec.last_date)?;
    if first_date
        .zip(last_date)
        .is_some_and(|(first, last)| last < first)
    {
        return Err(("last_date", "is before `first_date`".to_owned()));
    }
    let days = spec.last_days_of_month;
    if days.is_some_and(|n| !(1..=LAST_DAYS_MOST).contains(&n)) {
        return Err(("last_days_of_month", "must be from 1 to 28".to_owned()));
    }
    let (least, most) = (
        spec.least.unwrap_or(always.least),
        spec.most.unwrap_or(always.most),
    );
    Ok(Window {
        weekdays: parse_weekdays(&spec.weekdays)?,
        from,
        to,
        first_date,
        last_date,
        last_days_of_month: days.map(|n| n as u8),
        size: parse_size(least, most).map_err(|e| ("least", e.to_owned()))?,
    })
}

/// A time such as `08:30` in minutes.
fn parse_time(field: &'static str, text: &str, otherwise: u16) -> Result<u16, BadField> {
    if text.is_empty() {
        return Ok(otherwise);
    }
    let wrong = || {
        (
            field,
            format!("is `{text}`, which is no time such as 08:30"),
        )
    };
    let (hour, minute) = text.split_once(':').ok_or_else(wrong)?;
    let two_digits = |part: &str| match part.len() {
        2 => part.parse::<u16>().ok(),
        _ => None,
    };
    let (hour, minute) = two_digits(hour).zip(two_digits(minute)).ok_or_else(wrong)?;
    match hour * 60 + minute {
        minutes if minute < 60 && minutes <= MINUTES_A_DAY => Ok(minutes),
        _ => Err(wrong()),
    }
}

fn parse_date(field: &'static str, text: &str) -> Result<Option<Date>, BadField> {
    if text.is_empty() {
        return Ok(None);
    }
    let wrong = |_| {
        (
            field,
            format!("is `{text}`, which is no date such as 2026-12-31"),
        )
    };
    text.parse().map(Some).map_err(wrong)
}

fn parse_weekdays(names: &[String]) -> Result<[bool; 7], BadField> {
    const NAMES: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
    if names.is_empty() {
        return Ok([true; 7]);
    }
    let mut days = [false; 7];
    for name in names {
        let day = NAMES.iter().position(|known| known == name);
        let wrong = || {
            (
                "weekdays",
                format!("has `{name}`, which is none of mon to sun"),
            )
        };
        days[day.ok_or_else(wrong)?] = true;
    }
    Ok(days)
}

#[cfg(test)]
mod tests;
