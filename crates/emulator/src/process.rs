//! Processor time and resident memory of processes, read from Linux's `/proc`.

use std::fs;

/// Clock ticks per second in `/proc/PID/stat`. Linux reports 100 on all machines.
const TICKS_PER_S: f64 = 100.0;
/// Number of fields of `/proc/PID/stat` between the program's name and the user time. The
/// kernel time is the field after the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ProcessUsage {
    /// Processor seconds in user and kernel mode since the start of the process.
    pub cpu_s: f64,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// Usage of a running process. `None` if the process has exited or can't be read.
    pub(crate) fn of_process(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let rollup = fs::read_to_string(format!("/proc/{pid}/smaps_rollup")).ok()?;
        Some(Self {
            cpu_s: parse_cpu_s(&stat)?,
            resident_kib: parse_resident_kib(&rollup)?,
        })
    }

    /// Usage of this process. `None` if it can't be read.
    pub(crate) fn of_this_process() -> Option<Self> {
        Self::of_process(std::process::id())
    }
}

/// Parses the processor seconds in the text of `/proc/PID/stat`. The program's name may
/// contain spaces and parentheses, so fields are counted from the last `)`.
fn parse_cpu_s(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// Parses the resident memory, in KiB, in the text of `/proc/PID/smaps_rollup`.
fn parse_resident_kib(rollup: &str) -> Option<u64> {
    let line = rollup.lines().find(|line| line.starts_with("Rss:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
