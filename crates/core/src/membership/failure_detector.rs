//! Failure detection: what it means that machines send no reports.
//!
//! One machine that is silent has failed, as far as its holder can tell, and
//! is replaced. Many at once have another cause. If all of them are silent, the holder itself is cut off from its workers: it gives its shards
//! to a controller that may hear them, and does not have a whole fleet
//! deleted. If nearly all machines of one zone are, the zone is cut off; what
//! runs there goes on while controllers inside answer (`Node::keeps`), and
//! comes back sooner than other machines could boot.

use crate::config::REPORT_LATE_MS;
use crate::context::Context;
use crate::node::Node;
use crate::shard::machine::Machine;
use crate::shard::{Phase, Shard};
use crate::Ms;
use forkshift_links::{Decision, Link, Timing};
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// Fewer machines than this say nothing about their zone or their holder.
const MACHINES_LEAST: u32 = 4;
/// Machines that are called to find out whether calls reach any.
const CALLED_LEAST: u32 = MACHINES_LEAST * 2;
/// The part of a zone's machines that must be silent for it to be cut off.
const ZONE_PART: f64 = 0.75;
/// The part of all machines that must be silent for their holder to be.
const ISOLATED_PART: f64 = 0.9;
/// The part of a cut zone's workers that must be able to keep their leases for
/// the zone to be waited for.
const KEPT_ALIVE_PART_LEAST: f64 = 0.6;
/// Boots until another machine runs what one has run: it has to be asked for
/// and to fetch the images.
const REPLACED_BOOTS: f64 = 1.3;
/// A worker gives a report without an answer up after this, tries the next
/// controller after a pause, and may take some more to follow its redirect.
const REPORT_TIMEOUT: Ms = 4_000;
const NEXT_CONTROLLER: Ms = 1_000;
const REDIRECT: Ms = 500;
/// The part of a lease in which a silent machine is given up in any case.
const SILENT_MOST: f64 = 0.9;
/// Looks that a peer may miss and still be there.
const MISSED_PEER_HEARTBEATS: Ms = 5;
/// Boots after which a silent machine is given up although no controller hears most of
/// theirs: another could not be heard either, and the cloud tells of those that failed.
const UNHEARD_BOOTS: f64 = 6.0;
/// How long a blind controller is given nothing, in leases of a worker.
const ISOLATED_LEASES: Ms = 2;

/// What the detector has concluded last.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// Zones that are cut off, and worth waiting for, or were, and until when. When a cut
    /// ends most workers are back at once and some are on the way: as soon as most were
    /// heard, the others were once given up.
    partitioned_zones: BTreeMap<u16, Ms>,
    /// Until when the same holds for all zones, as we were cut off.
    recovering_until: Ms,
    /// Hardly any machine is heard, or reached by calls.
    is_isolated: bool,
    /// The same holds for all other controllers that are there.
    are_all_isolated: bool,
}

impl Context {
    /// A part of a worker's lease, by the settings.
    fn silent_part_ms(&self) -> Ms {
        (self.config.lease_ms as f64 * self.config.ops.silent_leases) as Ms
    }

    /// How long a single machine may be silent. One lost report must not cost
    /// a healthy machine: its worker is heard again after it has waited for the
    /// answer, asked another controller and been sent back. With short leases
    /// that took longer than the part of the lease, and a network that was gone
    /// for 1.5 s cost machines with all that ran there.
    pub(crate) fn silent_ms(&self) -> Ms {
        let most = (self.config.lease_ms as f64 * SILENT_MOST) as Ms;
        self.silent_part_ms().max(self.return_ms().min(most))
    }

    /// How long a worker takes that has sent a report in vain, until it is heard again.
    fn return_ms(&self) -> Ms {
        self.config.longest_report_ms()
            + REPORT_TIMEOUT
            + NEXT_CONTROLLER
            + REDIRECT
            + REPORT_LATE_MS
    }

    /// How long a machine may be silent before it is given up. Nobody knows
    /// for how long a zone stays cut off: its machines are waited for as long
    /// as others would take to replace them, so that in no case more than
    /// twice the time is lost. Where most workers cannot find a controller
    /// inside before their leases end, what ran there is lost anyway, and is
    /// better begun elsewhere at once.
    pub(crate) fn removal_timeout_ms(&self, machine: &Machine) -> Ms {
        let detector = &self.failure_detector;
        let may_tell = self.links.allow(Decision::RemoveSilentMachines);
        let boots = match () {
            () if detector.are_all_isolated => UNHEARD_BOOTS,
            () if !may_tell || self.now < detector.recovering_until => REPLACED_BOOTS,
            () if detector.partitioned_zones.contains_key(&machine.zone) => REPLACED_BOOTS,
            () => 0.0,
        };
        let waited = (machine.boot_ms as f64 * boots) as Ms;
        waited.max(self.silent_ms())
    }

    /// After this process stood still, silence is counted from now on: it
    /// heard nobody meanwhile.
    pub(crate) fn note_process_pause(&mut self, now: Ms) {
        if now > self.now + self.config.report_ms / 2 {
            self.resumed_at = now;
            self.store.note_pause(now);
        }
    }

    /// Whether a controller has answered a heartbeat of ours lately.
    pub(crate) fn is_peer_answering(&self, node: &NodeName) -> bool {
        let as_of = self.peer_confirmations.alive_as_of(node);
        as_of.is_some_and(|t| self.now < t + self.heartbeat_interval_ms() * MISSED_PEER_HEARTBEATS)
    }

    /// Whether a start of another controller was heard lately.
    pub(crate) fn is_peer_alive(&self, node: &NodeName, incarnation: u64) -> bool {
        let peer = self
            .peers
            .get(node)
            .filter(|p| p.incarnation == incarnation);
        peer.is_some_and(|p| {
            self.now < p.last_message_at + self.heartbeat_interval_ms() * MISSED_PEER_HEARTBEATS
        })
    }
}

/// Machines that should report.
#[derive(Clone, Copy, Default, Debug)]
struct Count {
    all: u32,
    /// Nothing comes from them, by whichever way.
    silent: u32,
    /// They themselves are not heard.
    unheard: u32,
    /// They are heard, and were called lately.
    tried: u32,
    /// They are heard, and calls to them have no answer.
    unreached: u32,
}

impl Count {
    fn plus(&self, other: &Self) -> Self {
        Self {
            all: self.all + other.all,
            silent: self.silent + other.silent,
            unheard: self.unheard + other.unheard,
            tried: self.tried + other.tried,
            unreached: self.unreached + other.unreached,
        }
    }
}

impl Shard {
    /// Counts machines that should report, and those that do not, by zone.
    fn count_machines(&self, ctx: &Context, zones: &mut BTreeMap<u16, Count>) {
        let quiet = (ctx.silent_part_ms() / 2).max(ctx.config.longest_report_ms());
        // Who was never heard may still be on the way to us for a lease.
        let timing = Timing {
            report_ms: quiet,
            lease_ms: ctx.config.lease_ms * 2,
        };
        for m in self
            .machines
            .values()
            .filter(|m| m.decommission_reason.is_none())
        {
            if m.addr.is_none() && m.last_heartbeat_at.is_none() {
                continue;
            }
            let is_silent = ctx.now > m.last_sign_of_life(ctx.resumed_at) + quiet;
            // Machines that have just been taken over say nothing yet. Counted
            // as heard, they once hid that a zone was cut off.
            if m.last_heartbeat_at.is_none() && !is_silent {
                continue;
            }
            let since = m.known_since.max(ctx.resumed_at);
            let unheard = m.link.has_missed_heartbeats(ctx.now, since, &timing);
            let count = zones.entry(m.zone).or_default();
            count.all += 1;
            count.silent += u32::from(is_silent);
            if is_silent || unheard {
                // That calls don't reach it tells nothing more. Counted, the machines
                // of a zone that was cut off once had their holder hand its shards over.
                count.unheard += 1;
                continue;
            }
            count.tried += u32::from(m.link.is_call_recent(ctx.now, &timing));
            count.unreached += u32::from(!m.link.is_callable());
        }
    }
}

impl Node {
    /// Sends heartbeats to peers, and decides which zones are cut off, or
    /// whether this controller is.
    pub(crate) fn run_failure_detector(&mut self) {
        self.ctx.has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        self.note_link(Link::Store, self.ctx.has_valid_lease);
        if self.ctx.has_valid_lease {
            self.ctx
                .peer_confirmations
                .note_lease_valid_until(self.membership.lease_valid_until(&self.ctx));
        }
        if self.ctx.now < self.next_failure_detection_at {
            return;
        }
        self.next_failure_detection_at = self.ctx.now + self.ctx.heartbeat_interval_ms();
        let config = self.ctx.config.clone();
        self.send_heartbeats();
        self.ask_for_relays();
        let mut zones: BTreeMap<u16, Count> = BTreeMap::new();
        for shard in self.shards.values().filter(|s| s.phase == Phase::Active) {
            shard.count_machines(&self.ctx, &mut zones);
        }
        let sum = zones.values().fold(Count::default(), |sum, c| sum.plus(c));
        let all = sum.all;
        let most = |n: u32, all: u32, part: f64| {
            all >= MACHINES_LEAST && f64::from(n) >= part * f64::from(all)
        };
        self.note_link(Link::Heartbeats, !most(sum.unheard, all, ISOLATED_PART));
        // What was not called says nothing of calls.
        self.note_link(
            Link::WorkerCalls,
            !most(sum.unreached, sum.tried, ISOLATED_PART),
        );
        if sum.unreached > 0 && sum.tried < CALLED_LEAST.min(all) {
            self.call_untried_machines();
        }
        let is_isolated = self.ctx.has_valid_lease && !self.ctx.links.allow(Decision::HoldShards);
        let kept = |zone: u16| {
            let name = self.ctx.places.name(zone).unwrap_or_default();
            config.zones_kept_in_partition(name) >= KEPT_ALIVE_PART_LEAST
        };
        let now = self.ctx.now;
        let until = now + self.ctx.return_ms();
        let mut cut = std::mem::take(&mut self.ctx.failure_detector.partitioned_zones);
        cut.retain(|_, until| now < *until);
        let lost = zones.iter();
        let lost = lost.filter(|(zone, c)| most(c.silent, c.all, ZONE_PART) && kept(**zone));
        cut.extend(lost.map(|(zone, _)| (*zone, until)));
        let was_blind_until = match self.ctx.links.is_up(Link::Heartbeats) {
            true => self.ctx.failure_detector.recovering_until,
            false => until,
        };
        if is_isolated && !self.ctx.failure_detector.is_isolated {
            let Count {
                unheard, unreached, ..
            } = sum;
            log::info!(
                "of {all} machines {unheard} are silent, {unreached} take no calls: \
                 we are cut off from them"
            );
        }
        let are_all_isolated = is_isolated && self.view.has_no_node_with_heartbeats();
        self.ctx.failure_detector = FailureDetector {
            partitioned_zones: cut,
            recovering_until: was_blind_until,
            is_isolated,
            are_all_isolated,
        };
        if is_isolated {
            self.ctx.reports_no_heartbeats_until =
                self.ctx.now + self.ctx.config.lease_ms * ISOLATED_LEASES;
        }
    }

    /// Calls some machines that were not called lately: where few are called nobody could
    /// tell one that is lost from a controller whose calls are.
    fn call_untried_machines(&mut self) {
        let timing = self.ctx.config.link_timing();
        let now = self.ctx.now;
        let active = self.shards.values_mut();
        for shard in active.filter(|s| s.phase == Phase::Active) {
            let Shard {
                machines,
                recheck: look,
                ..
            } = shard;
            let untried = machines.values_mut().filter(|m| {
                m.last_heartbeat_at.is_some()
                    && !m.has_call_in_flight
                    && !m.link.is_call_recent(now, &timing)
            });
            for machine in untried.take(CALLED_LEAST as usize) {
                machine.must_send_token = true;
                look.touch(&machine.id);
            }
        }
    }

    /// Who should hold our shards while we hear no machine: a controller that
    /// is there and hears them, or has yet to try.
    pub(crate) fn handover_target(&self) -> Option<NodeName> {
        let us = &self.ctx.config.node;
        let told = self
            .view
            .nodes
            .get(us)
            .is_some_and(|n| n.record.receives_no_heartbeats);
        if !self.ctx.failure_detector.is_isolated || !told {
            return None;
        }
        let held = |n: &NodeName| {
            let shards = self.view.shards.values();
            shards.filter(|s| s.record.holder == *n).count()
        };
        let others = self.view.nodes.iter().filter(|(n, record)| {
            *n != us
                && !record.record.receives_no_heartbeats
                && self.ctx.is_peer_alive(n, record.record.incarnation)
        });
        let least = others.min_by_key(|(n, _)| held(n));
        least.map(|(n, _)| n.clone())
    }
}

#[cfg(test)]
mod tests;
