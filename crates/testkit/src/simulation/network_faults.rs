//! Faults that delay, lose or copy messages for some time.

use super::events::Event;
use super::network::{Destination, Message, Origin};
use super::partitions::ZonePartition;
use super::Simulation;
use crate::faults::{RepeatedReceiver, REPEAT_DELAY_MS};
use crate::Ms;
use forkshift_wire::state::{Transaction, Write};
use rand::Rng;

/// Maximum number of heartbeat copies that are withheld until a failover, per machine. In small
/// fleets [`MIN_WITHHELD_COPIES_LIMIT`] applies.
const WITHHELD_COPIES_PER_MACHINE: usize = 2;
/// Lower bound of the maximum number of withheld heartbeat copies.
const MIN_WITHHELD_COPIES_LIMIT: usize = 2_000;

/// When a transaction whose response is lost is executed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LostWriteResponse {
    /// The transaction is executed on arrival.
    ExecutedAtOnce,
    /// The transaction is executed 2 to 12 s after its arrival.
    ExecutedLate,
}

/// The fault that loses responses to transactions.
#[derive(Default)]
pub(super) struct LostWriteResponses {
    pub(super) until: Ms,
    pub(super) percent: u32,
    /// Only transactions that put a key with this prefix are affected; all if absent.
    pub(super) key_prefix: Option<&'static str>,
    pub(super) executes_at_once: bool,
}

/// The fault that delivers late copies of heartbeats.
#[derive(Default)]
pub(super) struct LateHeartbeats {
    pub(super) until: Ms,
    pub(super) percent: u32,
    /// Whether the copies are withheld until the next failover.
    pub(super) until_failover: bool,
}

/// A fault that affects a percentage of the messages or jobs until a time.
#[derive(Clone, Copy, Default)]
pub(super) struct SampledFault {
    pub(super) until: Ms,
    pub(super) percent: u32,
}

/// The fault that repeats executed requests.
#[derive(Clone, Copy)]
pub(super) struct RepeatedRequests {
    pub(super) receiver: RepeatedReceiver,
    pub(super) sample: SampledFault,
}

/// The faults of the network. Each is active until its time.
#[derive(Default)]
pub(super) struct NetworkFaults {
    pub(super) zone_partition: ZonePartition,
    pub(super) late_copies_until: Ms,
    pub(super) lost_responses_until: Ms,
    pub(super) slow_store_until: Ms,
    pub(super) late_writes_until: Ms,
    pub(super) lost_write_responses: LostWriteResponses,
    pub(super) late_heartbeats: LateHeartbeats,
    /// Delays commands to workers and the responses to them.
    pub(super) delayed_commands: SampledFault,
    pub(super) repeated_requests: Vec<RepeatedRequests>,
    /// Number of requests that were or will be repeated.
    repetitions: u64,
    /// Copies of heartbeats that are withheld until the next failover.
    withheld_heartbeats: Vec<Message>,
    /// [`crate::store::StoreModel::leadership_terms`] when the first copy was withheld. A failover
    /// has occurred once they differ.
    terms_when_first_withheld: String,
}

impl Simulation {
    /// Number of heartbeat copies that are withheld until the next failover.
    pub fn withheld_heartbeats(&self) -> usize {
        self.network_faults.withheld_heartbeats.len()
    }

    /// Number of executed requests that were repeated or will be.
    pub fn repeated_requests(&self) -> u64 {
        self.network_faults.repetitions
    }

    /// Draws true with a probability in percent.
    pub(super) fn draw_percent(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Draws whether a response is lost, one in twenty while the fault lasts.
    pub(super) fn is_response_lost(&mut self) -> bool {
        self.now < self.network_faults.lost_responses_until && self.rng.random_range(0..20) == 0
    }

    /// Draws the additional delay of a response of a slow store; 0 for other responses.
    pub(super) fn slow_store_delay(&mut self, from: &Destination) -> Ms {
        let is_store = matches!(from, Destination::Store);
        let is_slow = is_store && self.now < self.network_faults.slow_store_until;
        if is_slow && self.rng.random_range(0..4) == 0 {
            return self.rng.random_range(100..1_500);
        }
        0
    }

    /// Draws whether a request is a transaction that is executed late and gets no response.
    pub(super) fn is_write_late(&mut self, message: &Message) -> bool {
        let is_detached = matches!(message.origin, Origin::Detached);
        let is_transaction = message.path == "/txn" && !is_detached;
        let is_possible = is_transaction && self.now < self.network_faults.late_writes_until;
        is_possible && self.rng.random_range(0..8) == 0
    }

    /// Delivers a request 2 to 12 s later and discards the response.
    pub(super) fn execute_late(&mut self, message: &Message) {
        let late = self.now + self.rng.random_range(2_000..12_000);
        self.schedule(late, Event::RequestArrival(message.detached()));
    }

    /// Draws whether the response to a request is lost, and when the request is executed then.
    /// Returns none if the request is unaffected.
    pub(super) fn lost_write_response(&mut self, message: &Message) -> Option<LostWriteResponse> {
        let fault = &self.network_faults.lost_write_responses;
        let is_transaction =
            matches!(message.origin, Origin::Controller { .. }) && message.path == "/txn";
        if fault.until <= self.now || !is_transaction {
            return None;
        }
        let is_affected = fault
            .key_prefix
            .is_none_or(|prefix| puts_key_with_prefix(&message.body, prefix));
        let outcome = match fault.executes_at_once {
            true => LostWriteResponse::ExecutedAtOnce,
            false => LostWriteResponse::ExecutedLate,
        };
        let percent = fault.percent;
        (is_affected && self.draw_percent(percent)).then_some(outcome)
    }

    /// Makes a copy of some heartbeats, which is withheld until a failover or delivered late.
    pub(super) fn copy_heartbeat(&mut self, message: &Message) {
        let LateHeartbeats {
            until,
            percent,
            until_failover,
        } = self.network_faults.late_heartbeats;
        let is_heartbeat = matches!(message.origin, Origin::Worker { .. });
        if until <= self.now || !is_heartbeat || !self.draw_percent(percent) {
            return;
        }
        if until_failover {
            self.withhold_heartbeat(message.detached());
        } else {
            let late = self.rng.random_range(2_000..self.config.lease_ms * 4);
            self.schedule(self.now + late, Event::RequestArrival(message.detached()));
        }
    }

    fn withhold_heartbeat(&mut self, copy: Message) {
        let per_machine = self.workers.by_id.len() * WITHHELD_COPIES_PER_MACHINE;
        let faults = &mut self.network_faults;
        if faults.withheld_heartbeats.len() >= MIN_WITHHELD_COPIES_LIMIT.max(per_machine) {
            return;
        }
        if faults.withheld_heartbeats.is_empty() {
            faults.terms_when_first_withheld = self.store.leadership_terms();
        }
        faults.withheld_heartbeats.push(copy);
    }

    /// Delivers a copy of one in four heartbeats 1 s to four leases later, while the fault lasts.
    pub(super) fn send_late_copy(&mut self, message: &Message) {
        let is_possible = matches!(message.destination, Destination::Controller(_))
            && self.now < self.network_faults.late_copies_until;
        if !is_possible || self.rng.random_range(0..4) != 0 {
            return;
        }
        if let Origin::Worker { .. } = message.origin {
            let late = self.now + self.rng.random_range(1_000..self.config.lease_ms * 4);
            self.schedule(late, Event::RequestArrival(message.detached()));
        }
    }

    /// Delivers the withheld copies to every controller after a failover: a third within 0.1 s, a
    /// third within 1 s and a third within 5 s, when the new leader or holder has made its first
    /// decisions.
    pub(super) fn release_withheld_heartbeats(&mut self) {
        if self.network_faults.withheld_heartbeats.is_empty() || self.leader().is_none() {
            return;
        }
        if self.store.leadership_terms() == self.network_faults.terms_when_first_withheld {
            return;
        }
        for copy in std::mem::take(&mut self.network_faults.withheld_heartbeats) {
            let late = match self.rng.random_range(0..3) {
                0 => self.rng.random_range(1..100),
                1 => self.rng.random_range(100..1_000),
                _ => self.rng.random_range(1_000..5_000),
            };
            for index in 0..self.config.controllers {
                let copy = Message {
                    destination: Destination::Controller(index),
                    ..copy.clone()
                };
                self.schedule(self.now + late, Event::RequestArrival(copy));
            }
        }
    }

    /// Delivers some of a controller's executed requests a second time, while the fault lasts. The
    /// repetition needs no response from its receiver and is not repeated itself.
    pub(super) fn repeat_executed(&mut self, request: &Message, status: u16) {
        let is_executed = status == 200 && matches!(request.origin, Origin::Controller { .. });
        let receiver = repeated_receiver(request).filter(|_| is_executed);
        let now = self.now;
        let faults = self.network_faults.repeated_requests.iter();
        let mut active = faults.filter(|f| Some(f.receiver) == receiver && f.sample.until > now);
        let percent = active.next().map(|fault| fault.sample.percent);
        if percent.is_some_and(|percent| self.draw_percent(percent)) {
            self.network_faults.repetitions += 1;
            let late = self.rng.random_range(REPEAT_DELAY_MS);
            self.schedule(now + late, Event::RequestArrival(request.detached()));
        }
    }

    /// Draws the additional delay of a command to a worker or of the response to one; 0 for other
    /// messages.
    pub(super) fn command_delay(&mut self, origin: &Origin, destination: &Destination) -> Ms {
        let SampledFault { until, percent } = self.network_faults.delayed_commands;
        let is_command = matches!(
            (origin, destination),
            (Origin::Controller { .. }, Destination::Worker(_))
        );
        if until > self.now && is_command && self.draw_percent(percent) {
            return self.rng.random_range(1_000..12_000);
        }
        0
    }
}

/// The receiver of a request that changes the state of the receiver; none for other requests.
fn repeated_receiver(request: &Message) -> Option<RepeatedReceiver> {
    match (&request.destination, request.path.as_str()) {
        (Destination::Worker(_), "/commands") => Some(RepeatedReceiver::Worker),
        (Destination::Store, "/txn") => Some(RepeatedReceiver::Store),
        (Destination::Cloud, "/machines" | "/machines/delete") => Some(RepeatedReceiver::Cloud),
        _ => None,
    }
}

/// Whether a transaction puts a key with a prefix.
fn puts_key_with_prefix(body: &[u8], prefix: &str) -> bool {
    let transaction = serde_json::from_slice::<Transaction>(body);
    let puts = |write: &Write| matches!(write, Write::Put { key, .. } if key.starts_with(prefix));
    transaction.is_ok_and(|transaction| transaction.writes.iter().any(puts))
}
