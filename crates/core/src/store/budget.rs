//! Who may use how much of the state service.
//!
//! The service bounds requests and changes of all controllers together. A part
//! is split evenly and always there; the rest follows need: every controller
//! tells the leader what it needs, and the leader grants what there is, for a
//! short while. A controller that hears no grant uses an even share of the
//! rest, which the leader keeps back for it, so the sum stays below the limit.
//! Without that, the one that leads, or that holds what is busy, starves while
//! others leave theirs unused.

use crate::context::Context;
use crate::leader::Leader;
use crate::store::queue::StoreRate;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// What is used of the limits, with some room for clocks and late calls.
const REQUESTS_PART: f64 = 0.9;
const WRITES_PART: f64 = 0.95;
/// The part of that which is split evenly.
const FIXED_PART: f64 = 0.4;
/// Nothing is had in advance for this long after standing still: in that time
/// all controllers have used up what they woke with.
const ADVANCE_PAUSE: Ms = 5_000;
/// A grant, and what a controller said that it needs, hold for this many looks.
const VALID_INTERVALS: Ms = 4;

/// The part that follows need, as one controller has it.
#[derive(Clone, Debug)]
struct Grant {
    leader: NodeName,
    incarnation: u64,
    valid_until: Ms,
    rate: StoreRate,
}

#[derive(Clone, Debug)]
struct NodeDemand {
    received_at: Ms,
    incarnation: u64,
    rate: StoreRate,
    keeps_to_grant: bool,
}

/// A controller's part of the budget, and the leader's account of the others'.
#[derive(Default)]
pub(crate) struct Budget {
    grant: Option<Grant>,
    needs: BTreeMap<NodeName, NodeDemand>,
    need: StoreRate,
    next: Ms,
}

/// The most that all controllers use together, and the part that follows need.
fn limits(ctx: &Context) -> (StoreRate, StoreRate) {
    let all = StoreRate {
        requests: ctx.limits.rps * REQUESTS_PART,
        writes: ctx.limits.write_rps * WRITES_PART,
    };
    (all, all.scaled(1.0 - FIXED_PART))
}

/// A grant that begins now.
fn grant(ctx: &Context, leader: NodeName, incarnation: u64, rate: StoreRate) -> Grant {
    Grant {
        leader,
        incarnation,
        valid_until: ctx.now + ctx.heartbeat_interval_ms() * VALID_INTERVALS,
        rate,
    }
}

impl Budget {
    /// What this controller may use a second.
    pub(crate) fn rate(&self, ctx: &Context, view: &ClusterView) -> StoreRate {
        let n = ctx.config.nodes.len().max(1) as f64;
        let (all, pool) = limits(ctx);
        let fixed = all.scaled(FIXED_PART / n);
        match self.valid_grant(ctx, view) {
            Some(grant) => fixed.plus(&grant.rate),
            None => fixed.plus(&pool.scaled(1.0 / n)),
        }
    }

    /// Whether users' changes may be made in advance of the budget. Under a grant
    /// the leader knows what all controllers need. Having stood still, others
    /// may have, too, and all go on at once.
    pub(crate) fn allows_advance(&self, ctx: &Context, view: &ClusterView) -> bool {
        let is_awake = ctx.resumed_at == 0 || ctx.now >= ctx.resumed_at + ADVANCE_PAUSE;
        is_awake && self.valid_grant(ctx, view).is_some()
    }

    /// The grant, as long as whoever gave it leads.
    fn valid_grant(&self, ctx: &Context, view: &ClusterView) -> Option<&Grant> {
        let leader = view.leader.as_ref().map(|l| &l.record);
        let of_leader = |g: &&Grant| {
            leader.is_some_and(|l| l.node == g.leader && l.incarnation == g.incarnation)
        };
        self.grant
            .as_ref()
            .filter(|g| ctx.now < g.valid_until)
            .filter(of_leader)
    }

    /// Tells the leader what is needed here; if we lead, grants what there is.
    pub(crate) fn tick(&mut self, ctx: &mut Context, view: &ClusterView) {
        if ctx.now < self.next {
            return;
        }
        self.next = ctx.now + ctx.heartbeat_interval_ms();
        // What was needed a moment ago may be needed again.
        let need = ctx.store.take_demand(ctx.now);
        self.need = need.max(&self.need.scaled(0.7));
        let Some(leader) = view.leader.as_ref().map(|l| l.record.clone()) else {
            return;
        };
        if !Leader::is_leader(ctx, view) {
            self.needs.clear();
            let (requests, writes) = self.need.as_milli();
            let body = Body::BudgetRequest {
                writes,
                requests,
                granted: self.valid_grant(ctx, view).is_some(),
            };
            ctx.send_to_peer(&leader.node, 0, body);
            return;
        }
        let ours = NodeDemand {
            received_at: ctx.now,
            incarnation: ctx.incarnation,
            rate: self.need,
            keeps_to_grant: true,
        };
        self.needs.insert(ctx.config.node.clone(), ours);
        let valid = ctx.heartbeat_interval_ms() * VALID_INTERVALS;
        self.needs.retain(|n, need| {
            ctx.now < need.received_at + valid && view.is_alive(n, need.incarnation)
        });
        let n = ctx.config.nodes.len().max(1) as f64;
        let (all, pool) = limits(ctx);
        let even = pool.scaled(1.0 / n);
        let granted = self.needs.values().filter(|n| n.keeps_to_grant).count();
        let kept_back = view.nodes.len().saturating_sub(granted) as f64;
        let rest = pool.plus(&even.scaled(-kept_back));
        let fixed = all.scaled(FIXED_PART / n);
        let more = self.needs.values().filter(|n| n.keeps_to_grant);
        let more = more.map(|n| n.rate.saturating_sub(&fixed));
        let sum = more.fold(StoreRate::default(), |sum, u| sum.plus(&u));
        for (name, need) in &self.needs {
            let rate = if need.keeps_to_grant {
                let part = |rest: f64, more: f64, sum: f64| {
                    let unused = (rest - sum).max(0.0) / granted.max(1) as f64;
                    unused + more * (rest / sum.max(1e-9)).min(1.0)
                };
                let more = need.rate.saturating_sub(&fixed);
                StoreRate {
                    requests: part(rest.requests, more.requests, sum.requests),
                    writes: part(rest.writes, more.writes, sum.writes),
                }
            } else {
                even
            };
            if *name == ctx.config.node {
                self.grant = Some(grant(ctx, name.clone(), ctx.incarnation, rate));
            } else {
                let (requests, writes) = rate.as_milli();
                ctx.send_to_peer(name, 0, Body::BudgetGrant { writes, requests });
            }
        }
    }

    /// Another controller tells what it needs.
    pub(crate) fn on_budget_request(
        &mut self,
        now: Ms,
        from: NodeName,
        incarnation: u64,
        rate: StoreRate,
        granted: bool,
    ) {
        let need = NodeDemand {
            received_at: now,
            incarnation,
            rate,
            keeps_to_grant: granted,
        };
        self.needs.insert(from, need);
    }

    /// The leader grants a part of the budget.
    pub(crate) fn on_grant(
        &mut self,
        ctx: &Context,
        leader: NodeName,
        incarnation: u64,
        rate: StoreRate,
    ) {
        // Having stood still, we may find grants that have been given to others
        // since: nobody knows how long they waited in the socket.
        if ctx.now < ctx.resumed_at + ctx.heartbeat_interval_ms() {
            return;
        }
        self.grant = Some(grant(ctx, leader, incarnation, rate));
    }
}

#[cfg(test)]
mod tests;
