//! The `controllers` table of the site file.

use serde::Deserialize;
use std::path::PathBuf;

/// The controllers, each a process of its own.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ControllersSpec {
    /// Number of controllers.
    pub count: usize,
    /// Path of the controller's program.
    #[serde(default = "default_program")]
    pub program: PathBuf,
    /// Path of the operators' settings that each controller is given.
    pub operator: Option<PathBuf>,
    /// Further arguments of the program's `serve` command.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// Delay until a controller that exited is started again, in seconds.
    #[serde(default = "default_restart_s")]
    pub restart_s: f64,
    /// Largest number of sockets that each controller may open.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// First of the ports that the run listens on in 127.0.0.0/8.
    #[serde(default = "default_base_port")]
    pub base_port: u16,
}

fn default_program() -> PathBuf {
    PathBuf::from("target/release/forkshift")
}

fn default_restart_s() -> f64 {
    3.0
}

fn default_sockets() -> usize {
    2_000
}

fn default_base_port() -> u16 {
    18_080
}
