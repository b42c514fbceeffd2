//! The machines that the stand-in for the cloud rents.

use crate::Ms;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;

/// Boot time of every type of the usual fleet, nominally.
pub(crate) const BOOT_MS: Ms = 10_000;

/// How long machines take until they are up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BootModel {
    /// One in twenty never comes up, one comes late, and one at once.
    Adverse,
    /// As the protocol says is usual, but for this part, which never comes up.
    Usual {
        /// From 0 to 1.
        fails: f64,
    },
}

/// A type of machine in a zone, and whether spot machines are meant.
pub type CapacityKey = (String, String, bool);

/// What the cloud rents, and how the machines are reached.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Types on offer, each with its zones.
    pub types: Vec<MachineType>,
    /// How many of each kind there are; what is left out is bounded by
    /// `Size::capacity`.
    pub capacity: BTreeMap<CapacityKey, u32>,
    /// How long they boot.
    pub boots: BootModel,
    /// The address of a machine's worker.
    pub address: fn(&MachineId) -> String,
}

impl Default for Fleet {
    /// Two types in three zones, which are reached by their names.
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
                price,
                spot_price: Some(spot_price),
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
    /// A type by its name.
    pub(crate) fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}
