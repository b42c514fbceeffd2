//! Troubles of writes, reports and commands that last for a while.

use super::network::{Destination, Message, Origin};
use super::{Event, World};
use crate::Ms;
use forkshift_wire::state::{Transaction, Write};
use rand::Rng;

/// Most copies of reports that are kept for the next leader, a machine, and at least.
const KEPT_COPIES_PER_MACHINE: usize = 2;
const MIN_KEPT_COPIES: usize = 2_000;

/// What troubles last, and until when.
#[derive(Default)]
pub(super) struct ActiveFaults {
    /// Until when, of how many of a hundred, of which keys, whether they are
    /// carried out at once.
    pub(super) lost_write_responses: (Ms, u32, Option<&'static str>, bool),
    /// Until when, of how many of a hundred, whether they are kept.
    pub(super) late_heartbeats: (Ms, u32, bool),
    pub(super) delayed_commands: (Ms, u32),
    pub(super) cancel_completing_jobs: (Ms, u32),
    pub(super) unusual_requests_until: Ms,
    pub(super) status_bursts_until: Ms,
    /// Copies of reports for the next leader, and who led when the first was kept.
    kept_heartbeats: Vec<Message>,
    terms_when_kept: String,
}

impl World {
    /// Copies of reports that are kept for the next leader.
    pub fn kept_heartbeats(&self) -> usize {
        self.active_faults.kept_heartbeats.len()
    }

    fn chance(&mut self, of_hundred: u32) -> bool {
        self.rng.random_range(0..100) < of_hundred
    }

    /// Whether a transaction gets no answer now, and if so whether it is
    /// carried out at once.
    pub(super) fn lost_write_response(&mut self, m: &Message) -> Option<bool> {
        let (until, percent, key_prefix, executes_at_once) =
            self.active_faults.lost_write_responses;
        let own = matches!(m.origin, Origin::Controller { .. });
        if until <= self.now || !own || m.path != "/txn" {
            return None;
        }
        let puts = |w: &Write, key_prefix: &str| matches!(w, Write::Put { put, .. } if put.starts_with(key_prefix));
        let meant = key_prefix.is_none_or(|key_prefix| {
            let txn = serde_json::from_slice::<Transaction>(&m.body);
            txn.is_ok_and(|txn| txn.writes.iter().any(|w| puts(w, key_prefix)))
        });
        (meant && self.chance(percent)).then_some(executes_at_once)
    }

    /// Keeps a copy of a report, or lets it come late.
    pub(super) fn copy_heartbeat(&mut self, message: &Message) {
        let (until, percent, until_failover) = self.active_faults.late_heartbeats;
        let report = matches!(message.origin, Origin::Worker { .. });
        if until <= self.now || !report || !self.chance(percent) {
            return;
        }
        let copy = Message {
            origin: Origin::Duplicate,
            ..message.clone()
        };
        if !until_failover {
            let late = self.rng.random_range(2_000..self.size.lease_ms * 4);
            self.schedule(self.now + late, Event::RequestArrival(copy));
        } else if self.active_faults.kept_heartbeats.len()
            < MIN_KEPT_COPIES.max(self.workers.len() * KEPT_COPIES_PER_MACHINE)
        {
            if self.active_faults.kept_heartbeats.is_empty() {
                self.active_faults.terms_when_kept = self.store.leadership_terms();
            }
            self.active_faults.kept_heartbeats.push(copy);
        }
    }

    /// Lets copies that were kept reach every controller once a new leader or
    /// holder has begun: some at once, some when it has acted.
    pub(super) fn release_kept_heartbeats(&mut self) {
        if self.active_faults.kept_heartbeats.is_empty() || self.leader().is_none() {
            return;
        }
        if self.store.leadership_terms() == self.active_faults.terms_when_kept {
            return;
        }
        for copy in std::mem::take(&mut self.active_faults.kept_heartbeats) {
            let late = match self.rng.random_range(0..3) {
                0 => self.rng.random_range(1..100),
                1 => self.rng.random_range(100..1_000),
                _ => self.rng.random_range(1_000..5_000),
            };
            for n in 0..self.size.nodes {
                let dest = Destination::Node(n);
                let copy = copy.clone();
                self.schedule(
                    self.now + late,
                    Event::RequestArrival(Message {
                        destination: dest,
                        ..copy
                    }),
                );
            }
        }
    }

    /// How long a direct command, or the answer to one, is held up.
    pub(super) fn command_delay(&mut self, origin: &Origin, dest: &Destination) -> Ms {
        let (until, percent) = self.active_faults.delayed_commands;
        let direct = matches!(
            (origin, dest),
            (Origin::Controller { .. }, Destination::Worker(_))
        );
        if until > self.now && direct && self.chance(percent) {
            return self.rng.random_range(1_000..12_000);
        }
        0
    }
}
