//! What is counted while a run goes on.

use crate::purpose::Purpose;
use forkshift_net::Traffic;
use forkshift_testkit::StartSeen;
use forkshift_wire::users::Priority;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Times are told apart to three digits.
const DIGITS: u8 = 3;
/// Longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;

/// Requests and changes of one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateUse {
    /// Requests.
    pub requests: u64,
    /// Puts and deletes.
    pub changes: u64,
}

/// Counts and times since the last [`Metrics::restart`].
pub struct Metrics {
    /// From a user's first attempt until a task's first start, by priority.
    pub starts: BTreeMap<Priority, Histogram<u64>>,
    /// From a user's first attempt until the job was accepted.
    pub acceptances: Histogram<u64>,
    /// From sending a report until its answer.
    pub reports: Histogram<u64>,
    /// Reports that had no answer, or another than 200 and 421.
    pub reports_failed: u64,
    /// Reports that were led to another controller.
    pub reports_redirected: u64,
    /// Calls of `/commands` and `/status`.
    pub commands: u64,
    /// Bytes of workers, of their reports with heads and of the bodies of commands.
    pub worker_traffic: Traffic,
    /// The state service, by purpose.
    pub state: BTreeMap<Purpose, StateUse>,
    /// Requests that the state service refused with 429 or 503.
    pub state_refused: u64,
    /// The longest time by which the world was behind the clock, in milliseconds.
    pub behind_ms: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MS, DIGITS).unwrap_or_else(|e| panic!("histogram: {e}"))
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            starts: BTreeMap::new(),
            acceptances: histogram(),
            reports: histogram(),
            reports_failed: 0,
            reports_redirected: 0,
            commands: 0,
            worker_traffic: Traffic::default(),
            state: BTreeMap::new(),
            state_refused: 0,
            behind_ms: 0,
        }
    }
}

impl Metrics {
    /// Forgets what was counted: the run is warm from now on.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Task starts and acceptances of jobs that the checker has seen.
    pub fn note_observations(&mut self, starts: &[StartSeen], acceptances: &[u64]) {
        for start in starts {
            let times = self.starts.entry(start.priority).or_insert_with(histogram);
            times.saturating_record(start.after);
        }
        for after in acceptances {
            self.acceptances.saturating_record(*after);
        }
    }

    /// A report has ended, with this status, after so long.
    pub fn note_report(&mut self, status: u16, took_ms: u64) {
        self.reports.saturating_record(took_ms);
        match status {
            200 => {}
            421 => self.reports_redirected += 1,
            _ => self.reports_failed += 1,
        }
    }

    /// A worker has moved so many bytes.
    pub fn note_worker_traffic(&mut self, traffic: Traffic) {
        self.worker_traffic.sent += traffic.sent;
        self.worker_traffic.received += traffic.received;
    }

    /// A request to the state service has ended, with this status.
    pub fn note_state(&mut self, (purpose, changes): (Purpose, Vec<Purpose>), status: u16) {
        self.state.entry(purpose).or_default().requests += 1;
        self.state_refused += u64::from(matches!(status, 429 | 503));
        if status == 200 {
            for change in changes {
                self.state.entry(change).or_default().changes += 1;
            }
        }
    }

    /// The world was behind the clock by so much.
    pub fn note_behind(&mut self, behind_ms: u64) {
        self.behind_ms = self.behind_ms.max(behind_ms);
    }

    /// First starts of tasks.
    pub fn task_starts(&self) -> u64 {
        self.starts.values().map(Histogram::len).sum()
    }
}
