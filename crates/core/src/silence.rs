//! What the silence of many machines means.
//!
//! One machine that is silent has failed, as far as its holder can tell, and
//! is replaced. Many at once tell of something else. If all of them are
//! silent, the holder itself is cut off from its workers: it gives its shares
//! to a controller that may hear them, and does not have a whole fleet
//! deleted. If nearly all machines of one zone are, the zone is cut off; what
//! runs there goes on while controllers inside answer (`Node::keeps`), and
//! comes back sooner than other machines could boot.

use crate::ctx::Ctx;
use crate::machine::Machine;
use crate::node::Node;
use crate::records::ShareId;
use crate::share::{Phase, Share};
use crate::Ms;
use forkshift_wire::peer::Body;
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
/// Looks that a peer may miss and still be there.
const PEER_LOOKS: Ms = 5;
/// How long a blind controller is given nothing, in leases of a worker.
const BLIND_LEASES: Ms = 2;

/// What silence has been taken for.
#[derive(Default)]
pub(crate) struct Silence {
    /// Zones that are cut off, and worth waiting for.
    cut: BTreeSet<u16>,
    /// No machine is heard.
    blind: bool,
}

impl Ctx {
    /// How long a machine may be silent before it is given up. Nobody knows
    /// for how long a zone stays cut off: its machines are waited for as long
    /// as others would take to replace them, so that in no case more than
    /// twice the time is lost. Where most workers cannot find a controller
    /// inside before their leases end, what ran there is lost anyway, and is
    /// better begun elsewhere at once.
    pub(crate) fn silent_after(&self, machine: &Machine) -> Ms {
        let silence = &self.silence;
        let patient = silence.blind || !self.entitled || silence.cut.contains(&machine.zone);
        if patient {
            let replaced = (machine.boot_ms as f64 * REPLACED_BOOTS) as Ms;
            replaced.max(self.silent_ms())
        } else {
            self.silent_ms()
        }
    }

    /// From then on silence counts: while we stood still we heard nobody.
    pub(crate) fn note_gap(&mut self, now: Ms) {
        if now > self.now + self.cfg.report_ms / 2 {
            self.awake_since = now;
        }
    }

    fn is_peer_there(&self, node: &NodeName, inc: u64) -> bool {
        let heard = self.peers.get(node).filter(|(i, _)| *i == inc);
        heard.is_some_and(|(_, at)| self.now < at + self.beat_ms() * PEER_LOOKS)
    }
}

impl Share {
    /// Counts machines that should report, and those that do not, by zone.
    fn count_silent(&self, ctx: &Ctx, zones: &mut BTreeMap<u16, (u32, u32)>) {
        let longest = (ctx.cfg.report_ms as f64 * MISSED) as Ms;
        let quiet = (ctx.silent_ms() / 2).max(longest);
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
    /// Notes that a peer is there.
    pub(crate) fn heard_peer(&mut self, from: &NodeName, inc: u64) {
        let now = self.ctx.now;
        self.ctx.peers.insert(from.clone(), (inc, now));
    }

    /// Tells peers that we are here, and judges the silence of machines.
    pub(crate) fn follow_silence(&mut self) {
        self.ctx.entitled = self.member.has_right(&self.ctx, &self.view);
        if self.ctx.now < self.silence_at {
            return;
        }
        self.silence_at = self.ctx.now + self.ctx.beat_ms();
        let cfg = self.ctx.cfg.clone();
        for node in cfg.nodes.iter().filter(|n| **n != cfg.node) {
            self.ctx.tell(node, 0, Body::Alive);
        }
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
            let name = self.ctx.name_of(zone.into()).unwrap_or_default();
            cfg.kept_in_cut(&name) >= KEPT_LEAST
        };
        let cut = zones
            .into_iter()
            .filter(|(zone, (all, silent))| most(*silent, *all, ZONE_PART) && kept(*zone))
            .map(|(zone, _)| zone)
            .collect();
        if blind && !self.ctx.silence.blind {
            log::info!("{silent} of {all} machines are silent: we are cut off from them");
        }
        self.ctx.silence = Silence { cut, blind };
        if blind {
            self.ctx.blind_until = self.ctx.now + self.ctx.cfg.lease_ms * BLIND_LEASES;
        }
    }

    /// Who should hold our shares while we hear no machine: a controller that
    /// is there and hears them, or has yet to try.
    pub(crate) fn relief(&self) -> Option<NodeName> {
        let us = &self.ctx.cfg.node;
        let told = self.view.nodes.get(us).is_some_and(|n| n.rec.blind);
        if !self.ctx.silence.blind || !told {
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

    /// Until when we answer workers of shares that are ours although we have
    /// no right any more: a successor cannot have told anybody of a
    /// cancellation before our lease ran out, and by `cancel_ms` after that
    /// what we kept alive must be gone.
    pub(crate) fn holds_on(&self) -> bool {
        let until = self.member.right_until(&self.ctx) + self.ctx.cfg.grace_ms();
        let peers = self.ctx.peers.iter();
        let mut there = peers.filter(|(n, (inc, _))| self.ctx.is_peer_there(n, *inc));
        self.ctx.now < until || there.next().is_some()
    }

    /// Whether we keep the lease of a worker alive that another controller
    /// holds: we are cut off from the state service and from that controller,
    /// and so, it seems, is the worker. It is given no orders, and its own
    /// token back. The holder may tell of a cancellation at any time, so by
    /// `cancel_ms` after we were cut off what we kept alive must be gone.
    pub(crate) fn keeps(&self, share: ShareId) -> bool {
        let Some(holder) = self.view.shares.get(&share).map(|s| &s.rec) else {
            return false;
        };
        let extended = self.member.extended();
        let grace = self.ctx.cfg.grace_ms();
        let lease = self.ctx.cfg.node_lease_ms();
        self.ctx.now > extended + lease * 6 / 10
            && self.ctx.now + lease / 500 < extended + grace
            && !self.ctx.is_peer_there(&holder.holder, holder.inc)
    }
}

#[cfg(test)]
mod tests;
