//! The machine types that the simulated cloud offers, their capacity and their boot times.

use crate::Ms;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;

/// Nominal boot time of all machine types of the default fleet.
pub(crate) const NOMINAL_BOOT_MS: Ms = 10_000;

/// Distribution of the boot times of new machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BootModel {
    /// Of twenty machines, one never boots, one takes four times the nominal time, one takes 0.5 s,
    /// and the others take 0.6 to 1.5 times the nominal time.
    Adverse,
    /// 0.6 to 1.5 times the boot time of the type, except for machines that never boot.
    Normal {
        /// Probability that a machine never boots, from 0 to 1.
        failure_probability: f64,
    },
}

/// Key of a capacity: machine type, zone, and whether the capacity is of spot machines.
pub type CapacityKey = (String, String, bool);

/// The machine types, capacities and boot times of the simulated cloud.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Machine types in the catalog, each with the zones that offer it.
    pub types: Vec<MachineType>,
    /// Maximum number of machines per type, zone and spot flag. If the map is empty, the capacity
    /// of [`crate::DeploymentConfig`] applies to all; otherwise a missing key means no machines.
    pub capacity: BTreeMap<CapacityKey, u32>,
    /// Distribution of boot times.
    pub boots: BootModel,
    /// Address at which controllers reach the worker of a machine.
    pub address: fn(&MachineId) -> String,
}

impl Default for Fleet {
    /// One type with GPUs and one without, in three zones; the address of a worker is the id of
    /// its machine.
    fn default() -> Self {
        let machine_type = |name: &str, (cpus, gpus, memory_gb), (cache_gb, rate), price| {
            let (price, spot_price) = price;
            MachineType {
                name: name.to_owned(),
                cpus,
                gpus,
                memory_gb,
                cache_gb,
                fetch_gb_per_s: rate,
                price_per_hour: price,
                spot_price_per_hour: Some(spot_price),
                boot_s: NOMINAL_BOOT_MS as f64 / 1000.0,
                zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            }
        };
        Self {
            types: vec![
                machine_type("g8", (64.0, 8.0, 256.0), (200.0, 4.0), (16.0, 5.0)),
                machine_type("c8", (8.0, 0.0, 32.0), (50.0, 1.0), (0.5, 0.2)),
            ],
            capacity: BTreeMap::new(),
            boots: BootModel::Adverse,
            address: ToString::to_string,
        }
    }
}

impl Fleet {
    /// The machine type with a name; none if the fleet does not offer it.
    pub(crate) fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }
}
