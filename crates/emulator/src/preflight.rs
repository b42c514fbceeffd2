//! What a run needs of the machine, checked before anything is started.

use crate::site::Site;
use std::fs;

/// Files that a hollow worker takes: its listener and its connection to a controller.
const FILES_A_WORKER: u64 = 2;
/// A controller keeps one of so many of its sockets open to workers between calls.
const SOCKETS_A_KEPT_ONE: u64 = 10;
/// Files beside the workers': services, users, logs.
const FILES_BESIDE: u64 = 500;
/// Memory that a hollow worker takes with its tasks, generously, in KiB.
const WORKER_KB: u64 = 128;
/// Memory of a controller, generously, in KiB.
const CONTROLLER_KB: u64 = 200 * 1024;
/// The part of the machine's memory that a run may take.
const MEMORY_PART: f64 = 0.5;

/// Why a run is not begun.
#[derive(Debug, thiserror::Error)]
pub enum Unfit {
    /// A figure of this machine can't be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: &'static str,
        /// What went wrong.
        error: String,
    },
    /// Too few files may be open.
    #[error(
        "{workers} workers need {needed} open files, and RLIMIT_NOFILE allows {allowed}: \
         raise it (`ulimit -n {needed}`) or run at most {most} workers"
    )]
    Files {
        /// Workers that were asked for.
        workers: u32,
        /// Files that they need.
        needed: u64,
        /// Files that may be open.
        allowed: u64,
        /// Workers that fit.
        most: u64,
    },
    /// It would take more than half of the memory.
    #[error("the run may need {needed_mb} MB, half of this machine's memory is {allowed_mb} MB")]
    Memory {
        /// What it may need.
        needed_mb: u64,
        /// What it may take.
        allowed_mb: u64,
    },
}

/// What this machine allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Files that a process may have open.
    pub files: u64,
    /// Memory of the machine, in KiB.
    pub memory_kb: u64,
}

impl Allowance {
    /// Reads what this machine allows.
    pub fn read() -> Result<Self, Unfit> {
        Ok(Self {
            files: read("/proc/self/limits", files_in)?,
            memory_kb: read("/proc/meminfo", memory_in)?,
        })
    }

    /// Whether a site's run fits.
    pub fn check(&self, site: &Site) -> Result<(), Unfit> {
        let workers = site.on_demand_machines() + site.spot_machines();
        let sockets = (site.controllers.count * site.controllers.sockets) as u64;
        let beside = FILES_BESIDE + sockets / SOCKETS_A_KEPT_ONE;
        let needed = u64::from(workers) * FILES_A_WORKER + beside;
        if needed > self.files {
            return Err(Unfit::Files {
                workers,
                needed,
                allowed: self.files,
                most: self.files.saturating_sub(beside) / FILES_A_WORKER,
            });
        }
        let controllers = site.controllers.count as u64;
        let needed_kb = u64::from(workers) * WORKER_KB + controllers * CONTROLLER_KB;
        let allowed_kb = (self.memory_kb as f64 * MEMORY_PART) as u64;
        if needed_kb > allowed_kb {
            return Err(Unfit::Memory {
                needed_mb: needed_kb / 1024,
                allowed_mb: allowed_kb / 1024,
            });
        }
        Ok(())
    }
}

fn read(path: &'static str, figure: fn(&str) -> Option<u64>) -> Result<u64, Unfit> {
    let failed = |error: String| Unfit::Read { path, error };
    let text = fs::read_to_string(path).map_err(|e| failed(e.to_string()))?;
    figure(&text).ok_or_else(|| failed("has no such line".to_owned()))
}

/// The soft limit in a text like `/proc/self/limits`.
fn files_in(text: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.starts_with("Max open files"))?;
    line.split_whitespace().nth(3)?.parse().ok()
}

/// The whole memory in a text like `/proc/meminfo`, in KiB.
fn memory_in(text: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.starts_with("MemTotal:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
