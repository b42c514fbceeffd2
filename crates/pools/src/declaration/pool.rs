//! Pools whose declarations have been checked.

use super::error::{FieldError, PoolError};
use super::name::PoolName;
use super::parse::parse_pool;
use super::spec::PoolSpec;
use crate::calendar::Calendar;
use forkshift_wire::cloud::MachineType;
use std::collections::BTreeSet;

/// A pool whose declaration has been checked.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Team that is charged.
    pub team: String,
    /// Image that its machines hold.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Machine types that it may use; empty allows any.
    pub types: Vec<String>,
    /// Zones that it may use; empty allows any.
    pub zones: Vec<String>,
    /// Whether it uses spot machines, and no others.
    pub spot: bool,
    /// Most that all its machines may cost per hour.
    pub max_cost_per_hour: Option<f64>,
    /// Number of machines that it keeps at any time.
    pub calendar: Calendar,
}

impl Pool {
    /// Whether it may use a machine of this type, zone and kind.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.spot == spot && is_allowed(&self.types, machine_type) && is_allowed(&self.zones, zone)
    }

    /// Whether it may use machines of a type in some zone.
    pub(super) fn allows_type(&self, machine_type: &MachineType) -> bool {
        let mut zones = machine_type.zones.iter();
        zones.any(|zone| self.allows(&machine_type.name, zone, self.spot))
    }

    /// Price per hour of a machine type; `None` if the pool may not use it.
    pub fn price_of(&self, machine_type: &MachineType) -> Option<f64> {
        let price = match self.spot {
            true => machine_type.spot_price_per_hour,
            false => Some(machine_type.price_per_hour),
        };
        let can_cache = self.image_gb <= machine_type.cache_gb;
        price.filter(|_| can_cache && self.allows_type(machine_type))
    }
}

fn is_allowed(allowed: &[String], name: &str) -> bool {
    allowed.is_empty() || allowed.iter().any(|allowed| allowed == name)
}

/// All pools of a deployment. Their names are unique.
#[derive(Clone, Debug, Default)]
pub struct Pools(Vec<Pool>);

impl Pools {
    /// Checks declarations against the teams and zones of the settings. Zones are not
    /// checked if the settings name none.
    ///
    /// # Errors
    ///
    /// The first field that is wrong, with its pool.
    pub fn parse(specs: &[PoolSpec], teams: &[&str], zones: &[String]) -> Result<Self, PoolError> {
        let mut names = BTreeSet::new();
        let mut pools = Vec::new();
        for spec in specs {
            let pool = parse_pool(spec, teams, zones)?;
            if !names.insert(pool.name.clone()) {
                return Err(PoolError::new(
                    &spec.name,
                    "name",
                    FieldError::DuplicateName,
                ));
            }
            pools.push(pool);
        }
        Ok(Self(pools))
    }

    /// Whether there are no pools.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All pools, in the order of their declarations.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.0.iter()
    }

    /// The pool of a name.
    pub fn get(&self, name: &PoolName) -> Option<&Pool> {
        self.0.iter().find(|pool| pool.name == *name)
    }
}
