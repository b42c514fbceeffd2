//! Troubles of writes, reports and commands that last for a while.

use super::network::{Dest, Message, Origin};
use super::{Event, World};
use crate::Ms;
use forkshift_wire::state::{Transaction, Write};
use rand::Rng;

/// Most copies of reports that are kept for the next leader, a machine, and at least.
const KEPT_A_MACHINE: usize = 2;
const KEPT_LEAST: usize = 2_000;

/// What troubles last, and until when.
#[derive(Default)]
pub(super) struct Troubles {
    /// Until when, of how many of a hundred, of which keys, whether they are
    /// carried out at once.
    pub(super) writes: (Ms, u32, Option<&'static str>, bool),
    /// Until when, of how many of a hundred, whether they are kept.
    pub(super) reports: (Ms, u32, bool),
    pub(super) held_commands: (Ms, u32),
    pub(super) cancel_at_end: (Ms, u32),
    pub(super) odd_requests: Ms,
    pub(super) close_looks: Ms,
    /// Copies of reports for the next leader, and who led when the first was kept.
    kept: Vec<Message>,
    terms: String,
}

impl World {
    /// Copies of reports that are kept for the next leader.
    pub fn kept_reports(&self) -> usize {
        self.troubles.kept.len()
    }

    fn chance(&mut self, of_hundred: u32) -> bool {
        self.rng.random_range(0..100) < of_hundred
    }

    /// Whether a transaction gets no answer now, and if so whether it is
    /// carried out at once.
    pub(super) fn write_is_lost(&mut self, m: &Message) -> Option<bool> {
        let (until, share, of, at_once) = self.troubles.writes;
        let own = matches!(m.origin, Origin::Node { .. });
        if until <= self.now || !own || m.path != "/txn" {
            return None;
        }
        let puts = |w: &Write, of: &str| matches!(w, Write::Put { put, .. } if put.starts_with(of));
        let meant = of.is_none_or(|of| {
            let txn = serde_json::from_slice::<Transaction>(&m.body);
            txn.is_ok_and(|txn| txn.writes.iter().any(|w| puts(w, of)))
        });
        (meant && self.chance(share)).then_some(at_once)
    }

    /// Keeps a copy of a report, or lets it come late.
    pub(super) fn copy_report(&mut self, message: &Message) {
        let (until, share, for_next) = self.troubles.reports;
        let report = matches!(message.origin, Origin::Worker { .. });
        if until <= self.now || !report || !self.chance(share) {
            return;
        }
        let copy = Message {
            origin: Origin::Nobody,
            ..message.clone()
        };
        if !for_next {
            let late = self.rng.random_range(2_000..self.size.lease_ms * 4);
            self.at(self.now + late, Event::Arrive(copy));
        } else if self.troubles.kept.len() < KEPT_LEAST.max(self.workers.len() * KEPT_A_MACHINE) {
            if self.troubles.kept.is_empty() {
                self.troubles.terms = self.state.terms();
            }
            self.troubles.kept.push(copy);
        }
    }

    /// Lets copies that were kept reach every controller once a new leader or
    /// holder has begun: some at once, some when it has acted.
    pub(super) fn release_kept(&mut self) {
        if self.troubles.kept.is_empty() || self.leader().is_none() {
            return;
        }
        if self.state.terms() == self.troubles.terms {
            return;
        }
        for copy in std::mem::take(&mut self.troubles.kept) {
            let late = match self.rng.random_range(0..3) {
                0 => self.rng.random_range(1..100),
                1 => self.rng.random_range(100..1_000),
                _ => self.rng.random_range(1_000..5_000),
            };
            for n in 0..self.size.nodes {
                let dest = Dest::Node(n);
                let copy = copy.clone();
                self.at(self.now + late, Event::Arrive(Message { dest, ..copy }));
            }
        }
    }

    /// How long a direct command, or the answer to one, is held up.
    pub(super) fn held_up(&mut self, origin: &Origin, dest: &Dest) -> Ms {
        let (until, share) = self.troubles.held_commands;
        let direct = matches!((origin, dest), (Origin::Node { .. }, Dest::Worker(_)));
        if until > self.now && direct && self.chance(share) {
            return self.rng.random_range(1_000..12_000);
        }
        0
    }
}
