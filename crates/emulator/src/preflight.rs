//! Checks before a run that this machine has the open files and the memory for it.

use crate::site::Site;
use std::{fs, io};

/// Open files of a hollow worker: its listener, and its connection to a controller.
const FILES_PER_WORKER: u64 = 2;
/// A controller keeps idle connections to workers on one in this many of the sockets that it
/// may open; the emulator holds the other end of each.
const SOCKETS_PER_IDLE_CONNECTION: u64 = 10;
/// Open files of the emulator for services, users and logs.
const OTHER_OPEN_FILES: u64 = 500;
/// Upper bound of the memory of a hollow worker with its tasks, in KiB.
const KIB_PER_WORKER: u64 = 128;
/// Upper bound of the memory of a controller, in KiB.
const KIB_PER_CONTROLLER: u64 = 200 * 1024;
/// Largest fraction of the machine's memory that a run may need.
const MAX_MEMORY_FRACTION: f64 = 0.5;
/// Start of the line of `/proc/self/limits` with the limit of open files.
const OPEN_FILES_LINE: &str = "Max open files";
/// Start of the line of `/proc/meminfo` with the total memory.
const TOTAL_MEMORY_LINE: &str = "MemTotal:";

/// Why a run is refused on this machine.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PreflightError {
    /// A file of `/proc` can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: &'static str,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A file of `/proc` has no line with the limit, or the line has no number.
    #[error("{path}: no line `{line}` with a number")]
    Parse {
        /// Path of the file.
        path: &'static str,
        /// Start of the line.
        line: &'static str,
    },
    /// The run needs more open files than a process may have.
    #[error(
        "{workers} workers need {needed} open files, and RLIMIT_NOFILE allows {allowed}: \
         raise it (`ulimit -n {needed}`) or run at most {max_workers} workers"
    )]
    Files {
        /// Workers of the site.
        workers: u32,
        /// Open files that the run needs.
        needed: u64,
        /// Limit of open files.
        allowed: u64,
        /// Largest number of workers within the limit.
        max_workers: u64,
    },
    /// The run may need more memory than [`MAX_MEMORY_FRACTION`] of the machine's.
    #[error(
        "{workers} workers and {controllers} controllers may need {needed_mib} MiB of memory, and \
         a run may need at most half of this machine's, {allowed_mib} MiB: run fewer workers"
    )]
    Memory {
        /// Workers of the site.
        workers: u32,
        /// Controllers of the site.
        controllers: u64,
        /// Upper bound of the memory that the run needs, in MiB.
        needed_mib: u64,
        /// Largest memory that a run may need, in MiB.
        allowed_mib: u64,
    },
}

/// Resource limits of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MachineLimits {
    /// Soft limit of the open files of this process.
    pub max_open_files: u64,
    /// Total memory, in KiB.
    pub memory_kib: u64,
}

impl MachineLimits {
    /// Reads the limits of this machine.
    pub(crate) fn read() -> Result<Self, PreflightError> {
        Ok(Self {
            max_open_files: read("/proc/self/limits", OPEN_FILES_LINE, parse_open_files)?,
            memory_kib: read("/proc/meminfo", TOTAL_MEMORY_LINE, parse_total_memory_kib)?,
        })
    }

    /// Checks that a run of a site stays within the limits.
    pub(crate) fn check(&self, site: &Site) -> Result<(), PreflightError> {
        let workers = site.on_demand_machines() + site.spot_machines();
        self.check_files(site, workers)?;
        self.check_memory(site, workers)
    }

    fn check_files(&self, site: &Site, workers: u32) -> Result<(), PreflightError> {
        let sockets = (site.controllers.count * site.controllers.sockets) as u64;
        let other_files = OTHER_OPEN_FILES + sockets / SOCKETS_PER_IDLE_CONNECTION;
        let needed = u64::from(workers) * FILES_PER_WORKER + other_files;
        if needed > self.max_open_files {
            return Err(PreflightError::Files {
                workers,
                needed,
                allowed: self.max_open_files,
                max_workers: self.max_open_files.saturating_sub(other_files) / FILES_PER_WORKER,
            });
        }
        Ok(())
    }

    fn check_memory(&self, site: &Site, workers: u32) -> Result<(), PreflightError> {
        let controllers = site.controllers.count as u64;
        let needed_kib = u64::from(workers) * KIB_PER_WORKER + controllers * KIB_PER_CONTROLLER;
        let allowed_kib = (self.memory_kib as f64 * MAX_MEMORY_FRACTION) as u64;
        if needed_kib > allowed_kib {
            return Err(PreflightError::Memory {
                workers,
                controllers,
                needed_mib: needed_kib / 1024,
                allowed_mib: allowed_kib / 1024,
            });
        }
        Ok(())
    }
}

/// Reads a value from a file of `/proc`. The value's line starts with `line`.
fn read(
    path: &'static str,
    line: &'static str,
    parse: fn(&str) -> Option<u64>,
) -> Result<u64, PreflightError> {
    let text = fs::read_to_string(path).map_err(|source| PreflightError::Read { path, source })?;
    parse(&text).ok_or(PreflightError::Parse { path, line })
}

/// Parses the soft limit of open files in the text of `/proc/self/limits`.
fn parse_open_files(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find(|line| line.starts_with(OPEN_FILES_LINE))?;
    line.split_whitespace().nth(3)?.parse().ok()
}

/// Parses the total memory, in KiB, in the text of `/proc/meminfo`.
fn parse_total_memory_kib(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find(|line| line.starts_with(TOTAL_MEMORY_LINE))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
