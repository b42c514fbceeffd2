//! Failure detection: what it means that machines send no reports.
//!
//! One machine that is silent has failed, as far as its holder can tell, and
//! is replaced. Many at once have another cause. If all of them are silent, the holder itself is cut off from its workers: it gives its shares
//! to a controller that may hear them, and does not have a whole fleet
//! deleted. If nearly all machines of one zone are, the zone is cut off; what
//! runs there goes on while controllers inside answer (`Node::keeps`), and
//! comes back sooner than other machines could boot.

use crate::context::Context;
use crate::machine::Machine;
use crate::node::Node;
use crate::share::{Phase, Share};
use crate::Ms;
use forkshift_wire::NodeName;
use std::collections::{BTreeMap, BTreeSet};

/// Fewer machines than this say nothing about their zone or their holder.
const LEAST: u32 = 4;
/// The part of a zone's machines that must be silent for it to be cut off.
const ZONE_PART: f64 = 0.75;
/// The part of all machines that must be silent for their holder to be.
const BLIND_PART: f64 = 0.9;
/// The part of a cut zone's workers that must be able to keep their leases for
/// the zone to be waited for.
const KEPT_LEAST: f64 = 0.6;
/// Boots until another machine runs what one has run: it has to be asked for
/// and to fetch the images.
const REPLACED_BOOTS: f64 = 1.3;
/// Reports that a machine must have missed, at the longest pause between two.
const MISSED: f64 = 1.25;
/// A worker gives a report without an answer up after this, tries the next
/// controller after a pause, and may take some more to follow its redirect.
const REPORT_TIMEOUT: Ms = 4_000;
const NEXT_CONTROLLER: Ms = 1_000;
const REDIRECT: Ms = 500;
/// For delays on the way, and timers that are late.
const SLACK: Ms = 500;
/// The part of a lease in which a silent machine is given up in any case.
const SILENT_MOST: f64 = 0.9;
/// Looks that a peer may miss and still be there.
const PEER_LOOKS: Ms = 5;
/// How long a blind controller is given nothing, in leases of a worker.
const BLIND_LEASES: Ms = 2;

/// What the detector has concluded last.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// Zones that are cut off, and worth waiting for.
    cut: BTreeSet<u16>,
    /// No machine is heard.
    blind: bool,
}

impl Context {
    /// A part of a worker's lease, by the settings.
    fn silent_part_ms(&self) -> Ms {
        (self.cfg.lease_ms as f64 * self.cfg.ops.silent_leases) as Ms
    }

    /// How long a single machine may be silent. One lost report must not cost
    /// a healthy machine: its worker is heard again after it has waited for the
    /// answer, asked another controller and been sent back. With short leases
    /// that took longer than the part of the lease, and a network that was gone
    /// for 1.5 s cost machines with all that ran there.
    pub(crate) fn silent_ms(&self) -> Ms {
        let longest = (self.cfg.report_ms as f64 * MISSED) as Ms;
        let back = longest + REPORT_TIMEOUT + NEXT_CONTROLLER + REDIRECT + SLACK;
        let most = (self.cfg.lease_ms as f64 * SILENT_MOST) as Ms;
        self.silent_part_ms().max(back.min(most))
    }

    /// How long a machine may be silent before it is given up. Nobody knows
    /// for how long a zone stays cut off: its machines are waited for as long
    /// as others would take to replace them, so that in no case more than
    /// twice the time is lost. Where most workers cannot find a controller
    /// inside before their leases end, what ran there is lost anyway, and is
    /// better begun elsewhere at once.
    pub(crate) fn silent_after(&self, machine: &Machine) -> Ms {
        let detector = &self.failure_detector;
        let patient = detector.blind || !self.entitled || detector.cut.contains(&machine.zone);
        if patient {
            let replaced = (machine.boot_ms as f64 * REPLACED_BOOTS) as Ms;
            replaced.max(self.silent_ms())
        } else {
            self.silent_ms()
        }
    }

    /// After this process stood still, silence is counted from now on: it
    /// heard nobody meanwhile.
    pub(crate) fn note_pause(&mut self, now: Ms) {
        if now > self.now + self.cfg.report_ms / 2 {
            self.awake_since = now;
            self.store.note_pause(now);
        }
    }

    /// Whether a start of another controller was heard lately.
    pub(crate) fn is_peer_there(&self, node: &NodeName, inc: u64) -> bool {
        let peer = self.peers.get(node).filter(|p| p.inc == inc);
        peer.is_some_and(|p| self.now < p.heard + self.beat_ms() * PEER_LOOKS)
    }
}

impl Share {
    /// Counts machines that should report, and those that do not, by zone.
    fn count_silent(&self, ctx: &Context, zones: &mut BTreeMap<u16, (u32, u32)>) {
        let longest = (ctx.cfg.report_ms as f64 * MISSED) as Ms;
        let quiet = (ctx.silent_part_ms() / 2).max(longest);
        for m in self.machines.values().filter(|m| m.condemned.is_none()) {
            if m.addr.is_none() && m.heard.is_none() {
                continue;
            }
            let is_silent = ctx.now > m.last_sign(ctx.awake_since) + quiet;
            // Machines that have just been taken over say nothing yet. Counted
            // as heard, they once hid that a zone was cut off.
            if m.heard.is_none() && !is_silent {
                continue;
            }
            let (all, silent) = zones.entry(m.zone).or_default();
            *all += 1;
            *silent += u32::from(is_silent);
        }
    }
}

impl Node {
    /// Sends heartbeats to peers, and decides which zones are cut off, or
    /// whether this controller is.
    pub(crate) fn run_failure_detector(&mut self) {
        self.ctx.entitled = self.member.has_right(&self.ctx, &self.view);
        if self.ctx.entitled {
            self.ctx
                .attestations
                .prove(self.member.right_until(&self.ctx));
        }
        if self.ctx.now < self.failure_detector_at {
            return;
        }
        self.failure_detector_at = self.ctx.now + self.ctx.beat_ms();
        let cfg = self.ctx.cfg.clone();
        self.send_heartbeats();
        let mut zones = BTreeMap::new();
        for share in self.shares.values().filter(|s| s.phase == Phase::Active) {
            share.count_silent(&self.ctx, &mut zones);
        }
        let (all, silent) = zones
            .values()
            .fold((0, 0), |(a, s), (all, silent)| (a + all, s + silent));
        let most =
            |n: u32, all: u32, part: f64| all >= LEAST && f64::from(n) >= part * f64::from(all);
        let blind = self.ctx.entitled && most(silent, all, BLIND_PART);
        let kept = |zone: u16| {
            let name = self.ctx.places.name(zone).unwrap_or_default();
            cfg.kept_in_cut(name) >= KEPT_LEAST
        };
        let cut = zones
            .into_iter()
            .filter(|(zone, (all, silent))| most(*silent, *all, ZONE_PART) && kept(*zone))
            .map(|(zone, _)| zone)
            .collect();
        if blind && !self.ctx.failure_detector.blind {
            log::info!("{silent} of {all} machines are silent: we are cut off from them");
        }
        self.ctx.failure_detector = FailureDetector { cut, blind };
        if blind {
            self.ctx.blind_until = self.ctx.now + self.ctx.cfg.lease_ms * BLIND_LEASES;
        }
    }

    /// Who should hold our shares while we hear no machine: a controller that
    /// is there and hears them, or has yet to try.
    pub(crate) fn relief(&self) -> Option<NodeName> {
        let us = &self.ctx.cfg.node;
        let told = self.view.nodes.get(us).is_some_and(|n| n.rec.blind);
        if !self.ctx.failure_detector.blind || !told {
            return None;
        }
        let held = |n: &NodeName| {
            let shares = self.view.shares.values();
            shares.filter(|s| s.rec.holder == *n).count()
        };
        let others = self.view.nodes.iter().filter(|(n, rec)| {
            *n != us && !rec.rec.blind && self.ctx.is_peer_there(n, rec.rec.inc)
        });
        let least = others.min_by_key(|(n, _)| held(n));
        least.map(|(n, _)| n.clone())
    }
}

#[cfg(test)]
mod tests;
