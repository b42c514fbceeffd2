//! This controller's share of the key-value store's request budget.
//!
//! The store limits the requests and writes of all controllers together. Each controller has
//! a guaranteed rate: an equal share of a fixed fraction of the limit. The rest, the shared
//! rate, is allocated by demand: every controller reports its demand to the leader, which
//! grants rates for a short time. A controller without a valid grant uses an equal share of
//! the shared rate. The leader reserves this share for it, so the sum of all rates stays below
//! the limit. With equal shares alone, the leader and the holders of busy shards would be
//! short of requests while other controllers leave theirs unused.

use crate::config::{Config, StateLimits};
use crate::records::LeaderRecord;
use crate::store::queue::StoreQueue;
use crate::store::rate::StoreRate;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::peer::Body;
use forkshift_wire::NodeName;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Fraction of the store's limit on requests that the controllers use. The rest allows for
/// differences between clocks and for calls that arrive late.
const REQUEST_LIMIT_FRACTION: f64 = 0.9;
/// Fraction of the store's limit on writes that the controllers use.
const WRITE_LIMIT_FRACTION: f64 = 0.95;
/// Fraction of the usable limits that is guaranteed to the controllers in equal shares.
const GUARANTEED_FRACTION: f64 = 0.4;
/// Lower bound of a controller's demand, as a fraction of its previous demand: a burst of calls
/// may repeat after a short time.
const DEMAND_DECAY: f64 = 0.7;
/// Overdrafts are not allowed for this long after a pause of the process, in milliseconds: in
/// this time all controllers use up the tokens that they have accumulated.
const OVERDRAFT_PAUSE_MS: Ms = 5_000;
/// Number of heartbeat intervals for which a grant or a reported demand is valid.
const VALIDITY_HEARTBEATS: Ms = 4;
/// Lower bound of the total excess demand as a divisor, in calls per second; avoids a division
/// by 0.
const MIN_TOTAL_EXCESS: f64 = 1e-9;

/// The inputs of the budget, as of one step of the controller.
#[derive(Clone, Debug)]
pub(crate) struct BudgetInputs {
    pub(crate) config: Rc<Config>,
    /// This controller's incarnation.
    pub(crate) incarnation: u64,
    /// The store's limits for all controllers together.
    pub(crate) limits: StateLimits,
    pub(crate) now: Ms,
    /// When the process last resumed after a pause; 0 if it was never paused.
    pub(crate) resumed_at: Ms,
    pub(crate) heartbeat_interval_ms: Ms,
}

impl BudgetInputs {
    fn node_count(&self) -> f64 {
        self.config.nodes.len().max(1) as f64
    }

    /// The rate that all controllers together may use.
    fn total_rate(&self) -> StoreRate {
        StoreRate {
            requests: self.limits.rps * REQUEST_LIMIT_FRACTION,
            writes: self.limits.write_rps * WRITE_LIMIT_FRACTION,
        }
    }

    /// The part of the total rate that is allocated by demand.
    fn shared_rate(&self) -> StoreRate {
        self.total_rate().scaled(1.0 - GUARANTEED_FRACTION)
    }

    /// The equal share of one controller in the shared rate.
    fn equal_share(&self) -> StoreRate {
        self.shared_rate().scaled(1.0 / self.node_count())
    }

    /// The rate that is guaranteed to each controller.
    fn guaranteed_rate(&self) -> StoreRate {
        self.total_rate()
            .scaled(GUARANTEED_FRACTION / self.node_count())
    }

    /// For how long grants and reported demands are valid, in milliseconds.
    fn validity_ms(&self) -> Ms {
        self.heartbeat_interval_ms * VALIDITY_HEARTBEATS
    }

    /// A grant that is valid from now on.
    fn new_grant(&self, leader: LeaderRecord, rate: StoreRate) -> Grant {
        Grant {
            leader,
            valid_until: self.now + self.validity_ms(),
            rate,
        }
    }
}

/// A message to another controller.
#[derive(Debug)]
pub(crate) struct PeerMessage {
    pub(crate) to: NodeName,
    pub(crate) body: Body,
}

/// A part of the shared rate that a leader has granted to this controller.
#[derive(Clone, Debug)]
struct Grant {
    leader: LeaderRecord,
    valid_until: Ms,
    rate: StoreRate,
}

/// The demand that a controller has reported to the leader.
#[derive(Clone, Debug)]
struct ReportedDemand {
    received_at: Ms,
    incarnation: u64,
    rate: StoreRate,
    /// Whether the controller has a valid grant. If not, it uses its equal share of the shared
    /// rate.
    has_valid_grant: bool,
}

/// This controller's grant and demand and, on the leader, the demands of all controllers.
#[derive(Default)]
pub(crate) struct Budget {
    grant: Option<Grant>,
    /// The demands that controllers have reported; used only while this controller leads.
    demands: BTreeMap<NodeName, ReportedDemand>,
    own_demand: StoreRate,
    /// When the demand is next reported or, on the leader, rates are next granted.
    next_report_at: Ms,
}

impl Budget {
    /// The rate at which this controller may call the store.
    pub(crate) fn rate(&self, inputs: &BudgetInputs, view: &ClusterView) -> StoreRate {
        let guaranteed = inputs.guaranteed_rate();
        match self.valid_grant(inputs, view) {
            Some(grant) => guaranteed.plus(&grant.rate),
            None => guaranteed.plus(&inputs.equal_share()),
        }
    }

    /// Whether users' writes may overdraw the rate limit. This requires a valid grant: only
    /// under grants does the leader know the demand of all controllers. Overdrafts are not
    /// allowed soon after a pause of the process either: the other controllers may have been
    /// paused, too, and all of them resume at once.
    pub(crate) fn allows_overdraft(&self, inputs: &BudgetInputs, view: &ClusterView) -> bool {
        let is_settled =
            inputs.resumed_at == 0 || inputs.now >= inputs.resumed_at + OVERDRAFT_PAUSE_MS;
        is_settled && self.valid_grant(inputs, view).is_some()
    }

    /// The grant, if it has not expired and the controller that issued it is still the leader.
    fn valid_grant(&self, inputs: &BudgetInputs, view: &ClusterView) -> Option<&Grant> {
        self.grant
            .as_ref()
            .filter(|grant| inputs.now < grant.valid_until)
            .filter(|grant| view.is_led_by(&grant.leader.node, grant.leader.incarnation))
    }

    /// Once per heartbeat interval, reports this controller's demand to the leader or, on the
    /// leader, grants rates to all controllers. Returns the messages to send.
    pub(crate) fn tick(
        &mut self,
        inputs: &BudgetInputs,
        store: &mut StoreQueue,
        view: &ClusterView,
    ) -> Vec<PeerMessage> {
        if inputs.now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = inputs.now + inputs.heartbeat_interval_ms;
        let demand = store.measure_demand(inputs.now);
        self.own_demand = demand.max(&self.own_demand.scaled(DEMAND_DECAY));
        let Some(leader) = view.leader.as_ref().map(|l| &l.record) else {
            return Vec::new();
        };
        if view.is_led_by(&inputs.config.node, inputs.incarnation) {
            return self.grant_rates(inputs, view);
        }
        self.demands.clear();
        vec![self.demand_report(leader, inputs, view)]
    }

    /// The message that reports this controller's demand to the leader.
    fn demand_report(
        &self,
        leader: &LeaderRecord,
        inputs: &BudgetInputs,
        view: &ClusterView,
    ) -> PeerMessage {
        let (requests, writes) = self.own_demand.as_milli();
        PeerMessage {
            to: leader.node.clone(),
            body: Body::BudgetRequest {
                writes,
                requests,
                granted: self.valid_grant(inputs, view).is_some(),
            },
        }
    }

    /// Grants rates to all controllers with a valid reported demand, including this one.
    fn grant_rates(&mut self, inputs: &BudgetInputs, view: &ClusterView) -> Vec<PeerMessage> {
        self.update_demands(inputs, view);
        let allocation = Allocation::new(&self.demands, inputs, view);
        let mut messages = Vec::new();
        for (node, demand) in &self.demands {
            let rate = allocation.rate_for(demand);
            if *node == inputs.config.node {
                let leader = LeaderRecord {
                    node: node.clone(),
                    incarnation: inputs.incarnation,
                };
                self.grant = Some(inputs.new_grant(leader, rate));
                continue;
            }
            let (requests, writes) = rate.as_milli();
            messages.push(PeerMessage {
                to: node.clone(),
                body: Body::BudgetGrant { writes, requests },
            });
        }
        messages
    }

    /// Adds the leader's own demand, and drops demands that have expired or whose controller is
    /// no longer registered under the same incarnation.
    fn update_demands(&mut self, inputs: &BudgetInputs, view: &ClusterView) {
        let own = ReportedDemand {
            received_at: inputs.now,
            incarnation: inputs.incarnation,
            rate: self.own_demand,
            has_valid_grant: true,
        };
        self.demands.insert(inputs.config.node.clone(), own);
        self.demands.retain(|node, demand| {
            inputs.now < demand.received_at + inputs.validity_ms()
                && view.is_registered(node, demand.incarnation)
        });
    }

    /// Handles another controller's report of its demand.
    pub(crate) fn on_budget_request(
        &mut self,
        now: Ms,
        from: NodeName,
        incarnation: u64,
        rate: StoreRate,
        granted: bool,
    ) {
        let demand = ReportedDemand {
            received_at: now,
            incarnation,
            rate,
            has_valid_grant: granted,
        };
        self.demands.insert(from, demand);
    }

    /// Handles a grant from the leader. A grant received shortly after a pause of the process
    /// is ignored: it may have waited in the socket for an unknown time, and the rate may have
    /// been granted to other controllers since.
    pub(crate) fn on_grant(
        &mut self,
        inputs: impl Into<BudgetInputs>,
        leader: NodeName,
        incarnation: u64,
        rate: StoreRate,
    ) {
        let inputs = inputs.into();
        if inputs.now < inputs.resumed_at + inputs.heartbeat_interval_ms {
            return;
        }
        let leader = LeaderRecord {
            node: leader,
            incarnation,
        };
        self.grant = Some(inputs.new_grant(leader, rate));
    }
}

/// The leader's allocation of the shared rate to the controllers with valid grants.
struct Allocation {
    equal_share: StoreRate,
    guaranteed_rate: StoreRate,
    /// The shared rate minus the equal shares of controllers without a valid grant.
    grantable: StoreRate,
    /// Total demand beyond the guaranteed rates, of all controllers with valid grants.
    total_excess: StoreRate,
    grantee_count: usize,
}

impl Allocation {
    fn new(
        demands: &BTreeMap<NodeName, ReportedDemand>,
        inputs: &BudgetInputs,
        view: &ClusterView,
    ) -> Self {
        let equal_share = inputs.equal_share();
        let guaranteed_rate = inputs.guaranteed_rate();
        let grantees = || demands.values().filter(|demand| demand.has_valid_grant);
        let grantee_count = grantees().count();
        let reserved_shares = view.nodes.len().saturating_sub(grantee_count) as f64;
        let total_excess = grantees()
            .map(|demand| demand.rate.saturating_sub(&guaranteed_rate))
            .fold(StoreRate::default(), |sum, excess| sum.plus(&excess));
        Self {
            equal_share,
            guaranteed_rate,
            grantable: inputs
                .shared_rate()
                .plus(&equal_share.scaled(-reserved_shares)),
            total_excess,
            grantee_count,
        }
    }

    /// The rate to grant for a demand. A controller that has no valid grant yet receives the
    /// equal share that is reserved for it.
    fn rate_for(&self, demand: &ReportedDemand) -> StoreRate {
        if !demand.has_valid_grant {
            return self.equal_share;
        }
        let excess = demand.rate.saturating_sub(&self.guaranteed_rate);
        let (grantable, total) = (&self.grantable, &self.total_excess);
        StoreRate {
            requests: self.allocate(grantable.requests, excess.requests, total.requests),
            writes: self.allocate(grantable.writes, excess.writes, total.writes),
        }
    }

    /// One controller's part of `grantable`: its excess demand, reduced in proportion if the
    /// total excess demand exceeds `grantable`, plus an equal share of the rate that no
    /// controller demands.
    fn allocate(&self, grantable: f64, excess: f64, total_excess: f64) -> f64 {
        let unused = (grantable - total_excess).max(0.0) / self.grantee_count.max(1) as f64;
        unused + excess * (grantable / total_excess.max(MIN_TOTAL_EXCESS)).min(1.0)
    }
}

#[cfg(test)]
mod tests;
