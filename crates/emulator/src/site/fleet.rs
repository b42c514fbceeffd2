//! Machine types that the simulated cloud offers, and how many machines of each it has.

use serde::Deserialize;

/// A machine type that the simulated cloud offers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MachineTypeSpec {
    /// Name of the type.
    pub name: String,
    /// Number of CPUs of a machine.
    pub cpus: f64,
    /// Number of GPUs of a machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    pub memory_gb: f64,
    /// Size of the image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    pub price: f64,
    /// Price per hour of a spot machine; if left out, the type has no spot machines.
    pub spot_price: Option<f64>,
    /// Usual time from the request until a machine is up, in seconds.
    pub boot_s: f64,
}

/// Number of machines of one type in one zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CapacitySpec {
    /// Name of a machine type of `machine_types`.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Name of a zone of `zones`.
    pub zone: String,
    /// Number of on-demand machines.
    pub count: u32,
    /// Number of spot machines.
    #[serde(default)]
    pub spot: u32,
}
