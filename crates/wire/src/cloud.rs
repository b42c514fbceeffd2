//! Messages between controllers and the cloud, which provisions machines.
//!
//! A provisioning request is idempotent: it has a unique name, and a repetition returns the
//! machines of the first request.

use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// Response to `GET /catalog`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types that the cloud offers.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// A machine type of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Capacity of a machine's image cache, in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(rename = "hourly")]
    pub price_per_hour: f64,
    /// Current price of a spot machine per hour; none: the type has no spot machines.
    #[serde(rename = "market_price", default)]
    pub spot_price_per_hour: Option<f64>,
    /// Typical time from the provisioning request until the machine is up, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones in which the type is available.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Body of `POST /machines`, a request to provision machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Unique name of the request. A request with a name that the cloud has seen returns the
    /// machines of the first request.
    #[serde(rename = "charter")]
    pub request_name: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested instead of on-demand machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Maximum number of machines that the cloud accepts in one provisioning request.
pub const MAX_PROVISION_COUNT: u32 = 50;
/// Maximum number of machines that the cloud accepts in one deletion request.
pub const MAX_DELETION_COUNT: usize = 100;
/// Maximum number of machines that the cloud returns on one page of the list.
pub const MAX_LIST_PAGE_SIZE: u32 = 500;

/// Response to `POST /machines`, and body of `POST /machines/delete`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MachineIds {
    /// Identifiers of the machines.
    #[serde(rename = "berths")]
    pub machines: Vec<MachineId>,
}

/// One page of the response to `GET /machines`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines, in the order of their identifiers.
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "has_next", default)]
    pub has_next: bool,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Identifier of the machine.
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Socket address of the machine's worker; empty until the machine has one.
    #[serde(default)]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether this is a spot machine, which the cloud may reclaim.
    #[serde(rename = "loaner", default)]
    pub spot: bool,
    /// Lifecycle stage of the machine.
    #[serde(rename = "stage")]
    pub stage: MachineStage,
    /// Seconds since the provisioning request.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// Lifecycle stage of a listed machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStage {
    /// The machine is not up yet.
    Booting,
    /// The machine is up, or the cloud has not noticed yet that it is down.
    Running,
    /// The machine stopped without a deletion request.
    Failed,
    /// A stage that this version does not know.
    #[serde(other)]
    Unknown,
}
