//! Pools whose declarations have been validated.

use super::error::{FieldError, PoolError};
use super::name::PoolName;
use super::parse::parse_pool;
use super::spec::PoolSpec;
use crate::calendar::Calendar;
use forkshift_wire::cloud::MachineType;
use std::collections::BTreeSet;

/// A pool whose declaration has been validated.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the pool, unique in the deployment.
    pub name: PoolName,
    /// Team that is charged for the machines, and for whose tasks they are kept ready.
    pub team: String,
    /// Image that the machines of the pool have in their caches.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Machine types that the pool may use; empty allows any.
    pub types: Vec<String>,
    /// Zones that the pool may use; empty allows any.
    pub zones: Vec<String>,
    /// Whether the pool uses only spot machines; otherwise it uses only on-demand machines.
    pub spot: bool,
    /// Maximum cost per hour of all machines of the pool together; `None` is no limit.
    pub max_cost_per_hour: Option<f64>,
    /// Bounds on the number of machines of the pool by time.
    pub calendar: Calendar,
}

impl Pool {
    /// Whether the pool may use a machine of this type and zone that is a spot instance
    /// (`spot`) or an on-demand machine.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.spot == spot && is_allowed(&self.types, machine_type) && is_allowed(&self.zones, zone)
    }

    /// Whether the pool may use machines of a type in at least one zone where it is offered.
    pub(super) fn allows_type(&self, machine_type: &MachineType) -> bool {
        let mut zones = machine_type.zones.iter();
        zones.any(|zone| self.allows(&machine_type.name, zone, self.spot))
    }

    /// Price per hour of a machine type, spot or on-demand as the pool uses it. `None` if the
    /// pool may not use the type, if the image does not fit in its cache, or if it is not
    /// offered as a spot instance and the pool requires that.
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

/// All pools of a deployment, with unique names.
#[derive(Clone, Debug, Default)]
pub struct Pools(Vec<Pool>);

impl Pools {
    /// Parses and validates declarations with the teams and zones of the settings. If
    /// `zones` is empty, the zones of pools are not validated.
    ///
    /// # Errors
    ///
    /// The first invalid field of the first invalid declaration.
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

    /// The pool with a name; `None` if there is no such pool.
    pub fn get(&self, name: &PoolName) -> Option<&Pool> {
        self.0.iter().find(|pool| pool.name == *name)
    }
}
