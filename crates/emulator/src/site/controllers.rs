//! The `controllers` table of the site file.

use serde::Deserialize;
use std::path::PathBuf;

/// The controllers. Each is a separate process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ControllersSpec {
    /// Number of controllers, from 1 to 64.
    pub count: usize,
    /// Path of the controller's program, relative to the working directory; that of a release
    /// build if left out.
    #[serde(default = "default_program")]
    pub program: PathBuf,
    /// Path of the operators' settings that each controller gets with `--operator`; if left out,
    /// the argument is too.
    pub operator: Option<PathBuf>,
    /// Further arguments of the program's `serve` command.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// Delay until a controller that exited or was killed is restarted, in seconds.
    #[serde(default = "default_restart_s")]
    pub restart_s: f64,
    /// Largest number of sockets that each controller may open.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Port of services and controllers in 127.0.0.0/8. The next port is that of the
    /// controllers' messages to each other. Concurrent runs need different ports.
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
