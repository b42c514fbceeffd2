//! Options of the command line that replace or scale values of the site file.

use super::{validation, Site, SiteError};

/// Options of the command line that replace or scale values of the site file. `None` leaves
/// the site's value.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overrides {
    /// Total on-demand machines; spot machines, the teams' quotas and the load are scaled in
    /// proportion.
    pub workers: Option<u32>,
    /// Mean task starts per second of the jobs that arrive; the rates of all classes are scaled.
    pub starts_per_s: Option<f64>,
    /// Number of controllers.
    pub controllers: Option<usize>,
    /// Number of teams of each entry; the sum of an entry's quotas stays.
    pub teams: Option<usize>,
    /// Length of the run, in seconds; the warm-up is scaled in proportion.
    pub duration_s: Option<f64>,
    /// Seed of all random draws.
    pub seed: Option<u64>,
}

impl Overrides {
    /// The command-line arguments that set the same values, for a run in another process.
    pub(crate) fn to_arguments(self) -> Vec<String> {
        let options = [
            ("--workers", self.workers.map(|n| n.to_string())),
            (
                "--starts-per-second",
                self.starts_per_s.map(|n| n.to_string()),
            ),
            ("--controllers", self.controllers.map(|n| n.to_string())),
            ("--teams", self.teams.map(|n| n.to_string())),
            ("--duration-s", self.duration_s.map(|n| n.to_string())),
            ("--seed", self.seed.map(|n| n.to_string())),
        ];
        let mut arguments = Vec::new();
        for (name, value) in options {
            if let Some(value) = value {
                arguments.extend([name.to_owned(), value]);
            }
        }
        arguments
    }
}

impl Site {
    /// The site with the overrides. It is validated again, since they may make it invalid.
    pub(crate) fn with_overrides(mut self, overrides: &Overrides) -> Result<Self, SiteError> {
        if let Some(seed) = overrides.seed {
            self.seed = seed;
        }
        if let Some(count) = overrides.controllers {
            self.controllers.count = count;
        }
        if let Some(count) = overrides.teams {
            self.set_teams_per_entry(count);
        }
        if let Some(duration_s) = overrides.duration_s {
            self.warmup_s *= duration_s / self.duration_s;
            self.duration_s = duration_s;
        }
        if let Some(workers) = overrides.workers {
            self.scale_to_workers(workers);
        }
        if let Some(starts_per_s) = overrides.starts_per_s {
            self.scale_to_starts_per_s(starts_per_s);
        }
        validation::validate(&self)?;
        Ok(self)
    }

    /// Sets the number of teams of each entry, and divides the entry's quotas among them.
    fn set_teams_per_entry(&mut self, count: usize) {
        for team in &mut self.teams {
            let factor = team.count as f64 / count.max(1) as f64;
            team.count = count;
            team.scale_quotas(factor);
        }
    }

    /// Scales capacity, quotas and load so that the site has `workers` on-demand machines.
    /// Machines are rounded up for each type and zone, so there may be a few more.
    fn scale_to_workers(&mut self, workers: u32) {
        let factor = f64::from(workers) / f64::from(self.on_demand_machines().max(1));
        let scaled = |count: u32| (f64::from(count) * factor).ceil() as u32;
        for capacity in &mut self.capacity {
            capacity.count = scaled(capacity.count);
            capacity.spot = scaled(capacity.spot);
        }
        for team in &mut self.teams {
            team.scale_quotas(factor);
        }
        for class in &mut self.classes {
            class.initial = (f64::from(class.initial) * factor).round() as u32;
            class.per_s *= factor;
        }
    }

    /// Scales the arrival rates so that on average `starts_per_s` tasks start per second. Does
    /// nothing if no jobs arrive.
    fn scale_to_starts_per_s(&mut self, starts_per_s: f64) {
        let present_starts_per_s = self.starts_per_s();
        let factor = if present_starts_per_s > 0.0 {
            starts_per_s / present_starts_per_s
        } else {
            0.0
        };
        for class in &mut self.classes {
            class.per_s *= factor;
        }
    }
}
