//! Machine types on offer, their numbers and their boot times.

use crate::Ms;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;

/// Nominal boot time of every type of the default fleet.
pub(crate) const BOOT_MS: Ms = 10_000;

/// How long machines take until they are up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BootModel {
    /// One in twenty never comes up, one comes up late, and one at once.
    Adverse,
    /// Around the boot time of the type, except for machines that never come up.
    Normal {
        /// Probability that a machine never comes up, from 0 to 1.
        failure_probability: f64,
    },
}

/// A machine type, a zone, and whether spot machines are meant.
pub type CapacityKey = (String, String, bool);

/// The machines that the cloud offers, and the addresses of their workers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Types on offer, each with its zones.
    pub types: Vec<MachineType>,
    /// Number of machines of each kind. If there are none here, `PoolSize::capacity` applies.
    pub capacity: BTreeMap<CapacityKey, u32>,
    /// How long they take to boot.
    pub boots: BootModel,
    /// The address of a machine's worker.
    pub address: fn(&MachineId) -> String,
}

impl Default for Fleet {
    /// Two types in three zones, whose workers are addressed by their names.
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
                boot_s: BOOT_MS as f64 / 1000.0,
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
    /// The type of a name.
    pub(crate) fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }
}
