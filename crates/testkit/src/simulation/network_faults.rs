//! Faults of messages that last for a while: late, lost, copied and delayed ones.

use super::events::Event;
use super::network::{Destination, Message, Origin};
use super::partitions::ZonePartition;
use super::Simulation;
use crate::Ms;
use forkshift_wire::state::{Transaction, Write};
use rand::Rng;

/// Copies of heartbeats that are kept for the next leader: so many for each machine, or the
/// minimum if that is more.
const KEPT_COPIES_PER_MACHINE: usize = 2;
const MIN_KEPT_COPIES: usize = 2_000;

/// What becomes of a transaction whose response is lost.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LostWriteResponse {
    /// It is executed when it arrives.
    ExecutedAtOnce,
    /// It is executed seconds later.
    ExecutedLate,
}

/// Lost responses to transactions.
#[derive(Default)]
pub(super) struct LostWriteResponses {
    pub(super) until: Ms,
    pub(super) percent: u32,
    /// Only of transactions that put a key with this prefix.
    pub(super) key_prefix: Option<&'static str>,
    pub(super) executes_at_once: bool,
}

/// Late copies of heartbeats.
#[derive(Default)]
pub(super) struct LateHeartbeats {
    pub(super) until: Ms,
    pub(super) percent: u32,
    /// Whether they are kept until the next failover.
    pub(super) until_failover: bool,
}

/// Something that befalls a part of the messages or jobs until a time.
#[derive(Default)]
pub(super) struct PartialFault {
    pub(super) until: Ms,
    pub(super) percent: u32,
}

/// The network's faults that are active, each until a time.
#[derive(Default)]
pub(super) struct NetworkFaults {
    pub(super) zone_partition: ZonePartition,
    pub(super) late_copies_until: Ms,
    pub(super) lost_responses_until: Ms,
    pub(super) slow_store_until: Ms,
    pub(super) late_writes_until: Ms,
    pub(super) lost_write_responses: LostWriteResponses,
    pub(super) late_heartbeats: LateHeartbeats,
    /// Delayed commands and responses to commands.
    pub(super) delayed_commands: PartialFault,
    /// Copies of heartbeats for the next leader.
    kept_heartbeats: Vec<Message>,
    /// The terms of leader and holders when the first copy was kept.
    terms_when_kept: String,
}

impl Simulation {
    /// Copies of heartbeats that are kept for the next leader.
    pub fn kept_heartbeats(&self) -> usize {
        self.network_faults.kept_heartbeats.len()
    }

    /// Draws whether something with a probability in percent happens.
    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Draws whether a response is lost.
    pub(super) fn is_response_lost(&mut self) -> bool {
        self.now < self.network_faults.lost_responses_until && self.rng.random_range(0..20) == 0
    }

    /// The additional delay of a response if the store is slow.
    pub(super) fn slow_store_delay(&mut self, from: &Destination) -> Ms {
        let is_store = matches!(from, Destination::Store);
        let is_slow = is_store && self.now < self.network_faults.slow_store_until;
        if is_slow && self.rng.random_range(0..4) == 0 {
            return self.rng.random_range(100..1_500);
        }
        0
    }

    /// Draws whether a transaction is executed late and gets no response.
    pub(super) fn is_write_late(&mut self, message: &Message) -> bool {
        let is_detached = matches!(message.origin, Origin::Detached);
        let is_transaction = message.path == "/txn" && !is_detached;
        let is_possible = is_transaction && self.now < self.network_faults.late_writes_until;
        is_possible && self.rng.random_range(0..8) == 0
    }

    /// Lets a request arrive seconds later, without a response.
    pub(super) fn execute_late(&mut self, message: &Message) {
        let late = self.now + self.rng.random_range(2_000..12_000);
        self.schedule(late, Event::RequestArrival(message.detached()));
    }

    /// Draws whether the response to a transaction is lost, and when it is executed.
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
        (is_affected && self.chance(percent)).then_some(outcome)
    }

    /// Keeps a copy of a heartbeat, or lets it arrive late.
    pub(super) fn copy_heartbeat(&mut self, message: &Message) {
        let LateHeartbeats {
            until,
            percent,
            until_failover,
        } = self.network_faults.late_heartbeats;
        let is_heartbeat = matches!(message.origin, Origin::Worker { .. });
        if until <= self.now || !is_heartbeat || !self.chance(percent) {
            return;
        }
        if until_failover {
            self.keep_heartbeat(message.detached());
        } else {
            let late = self.rng.random_range(2_000..self.size.lease_ms * 4);
            self.schedule(self.now + late, Event::RequestArrival(message.detached()));
        }
    }

    fn keep_heartbeat(&mut self, copy: Message) {
        let per_machine = self.workers.by_id.len() * KEPT_COPIES_PER_MACHINE;
        let faults = &mut self.network_faults;
        if faults.kept_heartbeats.len() >= MIN_KEPT_COPIES.max(per_machine) {
            return;
        }
        if faults.kept_heartbeats.is_empty() {
            faults.terms_when_kept = self.store.leadership_terms();
        }
        faults.kept_heartbeats.push(copy);
    }

    /// Lets a second copy of a heartbeat arrive late now and then.
    pub(super) fn send_late_copy(&mut self, message: &Message) {
        let is_possible = matches!(message.destination, Destination::Controller(_))
            && self.now < self.network_faults.late_copies_until;
        if !is_possible || self.rng.random_range(0..4) != 0 {
            return;
        }
        if let Origin::Worker { .. } = message.origin {
            let late = self.now + self.rng.random_range(1_000..self.size.lease_ms * 4);
            self.schedule(late, Event::RequestArrival(message.detached()));
        }
    }

    /// Sends kept copies to every controller once a new leader or holder has begun: some
    /// at once, some after its first decisions.
    pub(super) fn release_kept_heartbeats(&mut self) {
        if self.network_faults.kept_heartbeats.is_empty() || self.leader().is_none() {
            return;
        }
        if self.store.leadership_terms() == self.network_faults.terms_when_kept {
            return;
        }
        for copy in std::mem::take(&mut self.network_faults.kept_heartbeats) {
            let late = match self.rng.random_range(0..3) {
                0 => self.rng.random_range(1..100),
                1 => self.rng.random_range(100..1_000),
                _ => self.rng.random_range(1_000..5_000),
            };
            for index in 0..self.size.controllers {
                let copy = Message {
                    destination: Destination::Controller(index),
                    ..copy.clone()
                };
                self.schedule(self.now + late, Event::RequestArrival(copy));
            }
        }
    }

    /// The additional delay of a command to a worker, or of the response to one.
    pub(super) fn command_delay(&mut self, origin: &Origin, destination: &Destination) -> Ms {
        let PartialFault { until, percent } = self.network_faults.delayed_commands;
        let is_command = matches!(
            (origin, destination),
            (Origin::Controller { .. }, Destination::Worker(_))
        );
        if until > self.now && is_command && self.chance(percent) {
            return self.rng.random_range(1_000..12_000);
        }
        0
    }
}

/// Whether a transaction puts a key with a prefix.
fn puts_key_with_prefix(body: &[u8], prefix: &str) -> bool {
    let transaction = serde_json::from_slice::<Transaction>(body);
    let puts = |write: &Write| matches!(write, Write::Put { key, .. } if key.starts_with(prefix));
    transaction.is_ok_and(|transaction| transaction.writes.iter().any(puts))
}
