//! Machine types on offer and how many machines of each there are.

use serde::Deserialize;

/// A machine type that the simulated cloud offers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MachineTypeSpec {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
    /// Size of the image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Price an hour of an on-demand machine.
    pub price: f64,
    /// Price an hour of a spot machine; without it the type has no spot machines.
    pub spot_price: Option<f64>,
    /// Usual time from the request until a machine is up, in seconds.
    pub boot_s: f64,
}

/// Number of machines of one type in one zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CapacitySpec {
    /// Name of the machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// On-demand machines.
    pub count: u32,
    /// Spot machines.
    #[serde(default)]
    pub spot: u32,
}
