//! The cloud that rents machines.

use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// Answer of `GET /catalog`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types on offer.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Room for images.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price an hour of a spot machine, at present.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// Usual time from the request until the machine is up.
    #[serde(default)]
    pub boot_s: f64,
    /// Where it can be had.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Body of `POST /machines`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rent {
    /// Name of the request, never used again.
    #[serde(rename = "charter")]
    pub request: String,
    /// Type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are meant.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// The most machines that one request may ask for.
pub const RENT_MOST: u32 = 50;
/// The most machines that one request may delete.
pub const DELETE_MOST: usize = 100;
/// The most machines on one page of the list.
pub const LIST_MOST: u32 = 500;

/// Answer of `POST /machines`, and body of `POST /machines/delete`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Machines {
    /// The machines.
    #[serde(rename = "berths")]
    pub machines: Vec<MachineId>,
}

/// Answer of `GET /machines`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines, by name.
    #[serde(rename = "berths")]
    pub machines: Vec<Listed>,
    /// Whether there is another page.
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

/// A machine on the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Its worker's address.
    #[serde(default)]
    pub addr: String,
    /// Type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take it back.
    #[serde(rename = "loaner", default)]
    pub spot: bool,
    /// How far it is.
    #[serde(rename = "stage")]
    pub stage: MachineStage,
    /// Seconds since the rental request.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// How far a listed machine is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStage {
    /// Not up yet.
    Booting,
    /// Up, or not yet known to be down.
    Running,
    /// Stopped on its own.
    Failed,
    /// A word that this version does not know.
    #[serde(other)]
    Unknown,
}
