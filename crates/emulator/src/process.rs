//! Processor time and memory of processes, as Linux accounts for them.

use std::fs;

/// Clock ticks a second in `/proc/PID/stat`; Linux shows 100 on all machines.
const TICKS_PER_S: f64 = 100.0;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessFigures {
    /// Processor seconds, its own and the kernel's for it.
    pub cpu_s: f64,
    /// Resident memory, in KiB.
    pub resident_kb: u64,
}

impl ProcessFigures {
    /// Those of a process that runs.
    pub fn read(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let rollup = fs::read_to_string(format!("/proc/{pid}/smaps_rollup")).ok()?;
        Some(Self {
            cpu_s: cpu_s_in(&stat)?,
            resident_kb: resident_kb_in(&rollup)?,
        })
    }

    /// Those of this process.
    pub fn own() -> Option<Self> {
        Self::read(std::process::id())
    }
}

/// Processor seconds in a text like `/proc/PID/stat`. The name of the program may
/// hold spaces, so fields are counted from behind it.
fn cpu_s_in(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(11);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// Resident memory in a text like `/proc/PID/smaps_rollup`.
fn resident_kb_in(rollup: &str) -> Option<u64> {
    let line = rollup.lines().find(|l| l.starts_with("Rss:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
