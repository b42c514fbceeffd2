//! Validation of a pool against the cloud's catalogue of machine types.

use super::error::{FieldError, PoolError};
use super::pool::Pool;
use forkshift_wire::cloud::MachineType;

impl Pool {
    /// Checks that the catalogue offers at least one machine that the pool may use.
    ///
    /// # Errors
    ///
    /// The first field that names an unknown machine type or zone, or that no machine type
    /// of the catalogue satisfies.
    pub fn check_catalog(&self, catalog: &[MachineType]) -> Result<(), PoolError> {
        self.check_names(catalog)?;
        let allowed = catalog.iter().filter(|t| self.allows_type(t));
        let allowed: Vec<&MachineType> = allowed.collect();
        if allowed.is_empty() {
            return Err(self.error("types", FieldError::NotInZones));
        }
        let cache_gb = allowed.iter().map(|t| t.cache_gb).fold(0.0, f64::max);
        if self.image_gb > cache_gb {
            return Err(self.error("image_gb", FieldError::ImageTooLarge { cache_gb }));
        }
        self.check_price(&allowed)
    }

    /// Checks that the machine types and zones of the pool are in the catalogue.
    fn check_names(&self, catalog: &[MachineType]) -> Result<(), PoolError> {
        for (i, name) in self.types.iter().enumerate() {
            if !catalog.iter().any(|t| t.name == *name) {
                let problem = FieldError::UnknownMachineType(name.clone());
                return Err(self.error(format!("types[{i}]"), problem));
            }
        }
        for (i, zone) in self.zones.iter().enumerate() {
            if !catalog.iter().any(|t| t.zones.contains(zone)) {
                let problem = FieldError::UnknownZone(zone.clone());
                return Err(self.error(format!("zones[{i}]"), problem));
            }
        }
        Ok(())
    }

    /// Checks that the price of the cheapest allowed machine is within the pool's cost limit.
    fn check_price(&self, allowed: &[&MachineType]) -> Result<(), PoolError> {
        let prices = allowed.iter().filter_map(|t| self.price_of(t));
        let cheapest = prices.fold(f64::INFINITY, f64::min);
        if cheapest.is_infinite() {
            return Err(self.error("spot", FieldError::NoSpotOffer));
        }
        match self.max_cost_per_hour {
            Some(max_cost) if max_cost < cheapest => {
                let problem = FieldError::BelowCheapestMachine { cheapest };
                Err(self.error("cost_per_hour_most", problem))
            }
            _ => Ok(()),
        }
    }

    fn error(&self, field: impl Into<String>, problem: FieldError) -> PoolError {
        PoolError::new(self.name.as_str(), field, problem)
    }
}
