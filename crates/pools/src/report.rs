//! Usage reports: the requested machines, the actual machines and their cost for each pool in
//! a time span, summed up from the accounts.

mod price_list;
mod span;
mod unmet;

use crate::account::{ColdStart, EndReason, PoolRequest, PoolState, Price, UsageInterval};
use crate::declaration::PoolName;
use serde::Serialize;
use span::{seconds, MS_PER_SECOND};
use std::collections::{BTreeMap, BTreeSet};
use unmet::unmet_s;

pub use price_list::PriceList;
pub use span::TimeSpan;

/// The stored records of all pools, as input of a report.
#[derive(Clone, Debug, Default)]
pub struct UsageRecords {
    /// Intervals for which pools are charged for machines. Present memberships are included
    /// as if they ended now.
    pub intervals: Vec<UsageInterval>,
    /// Requested numbers of machines. Present requests have no end.
    pub requests: Vec<PoolRequest>,
    /// Cold starts, in any order.
    pub cold_starts: Vec<ColdStart>,
    /// Prices, in any order.
    pub prices: Vec<Price>,
    /// Team of each declared pool. It is used for pools without any request.
    pub teams: BTreeMap<PoolName, String>,
}

impl UsageRecords {
    /// The pools that have an interval, a request or a cold start in a span.
    fn pools_in(&self, span: TimeSpan, now_ms: u64) -> BTreeSet<&PoolName> {
        let intervals = self.intervals.iter();
        let intervals = intervals.filter(|i| span.overlaps(i.from_ms, i.to_ms));
        let requests = self.requests.iter();
        let requests = requests.filter(|r| span.overlaps(r.from_ms, r.to_ms.unwrap_or(now_ms)));
        let cold_starts = self.cold_starts.iter().filter(|c| span.contains(c.at_ms));
        intervals
            .map(|interval| &interval.pool)
            .chain(requests.map(|request| &request.pool))
            .chain(cold_starts.map(|cold_start| &cold_start.pool))
            .collect()
    }
}

/// Totals by state of machines, either in machine-seconds or as costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct StateTotals {
    /// Total of machines that were booting.
    pub booting: f64,
    /// Total of machines that were up and whose workers do not report their images.
    pub up: f64,
    /// Total of machines that were fetching the image.
    pub fetching: f64,
    /// Total of machines that had the image in their caches.
    pub warm: f64,
}

impl StateTotals {
    fn get_mut(&mut self, state: PoolState) -> &mut f64 {
        match state {
            PoolState::Booting => &mut self.booting,
            PoolState::Up => &mut self.up,
            PoolState::Fetching => &mut self.fetching,
            PoolState::Warm => &mut self.warm,
        }
    }

    /// The sum over all states.
    pub fn sum(&self) -> f64 {
        self.booting + self.up + self.fetching + self.warm
    }
}

/// Usage of a pool in a span. The serde names are the keys of the report as JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolReport {
    /// The pool.
    pub pool: PoolName,
    /// Team that is charged; empty if the pool has no request and is not declared.
    pub team: String,
    /// Requested machine-seconds: target numbers of machines, summed up over the span.
    #[serde(rename = "asked_s")]
    pub requested_s: f64,
    /// Machine-seconds by state.
    pub machine_s: StateTotals,
    /// Machine-seconds that were requested and not ready.
    #[serde(rename = "short_s")]
    pub unmet_s: f64,
    /// Cost by state, without machine-seconds that have no recorded price.
    pub cost: StateTotals,
    /// Machine-seconds that have no recorded price.
    pub unpriced_s: f64,
    /// Number of machines that were allocated to tasks with the team and the image of the
    /// pool.
    #[serde(rename = "handed_out")]
    pub allocated: u32,
    /// Number of cold starts.
    #[serde(rename = "missed")]
    pub cold_starts: u32,
    /// Number of machines that were reclaimed for other tasks.
    pub reclaimed: u32,
    /// Number of machines that failed, were preempted by the cloud, or did not fetch the image
    /// in time.
    pub lost: u32,
}

impl PoolReport {
    /// A report without any usage.
    fn new(pool: PoolName, team: String) -> Self {
        Self {
            pool,
            team,
            requested_s: 0.0,
            machine_s: StateTotals::default(),
            unmet_s: 0.0,
            cost: StateTotals::default(),
            unpriced_s: 0.0,
            allocated: 0,
            cold_starts: 0,
            reclaimed: 0,
            lost: 0,
        }
    }

    fn add_interval(&mut self, interval: &UsageInterval, span: TimeSpan, prices: &PriceList) {
        let charged = span.clip(interval.from_ms, interval.to_ms);
        *self.machine_s.get_mut(interval.state) += charged.length_s();
        let (cost, unpriced_ms) = prices.cost(interval, span);
        *self.cost.get_mut(interval.state) += cost;
        self.unpriced_s += seconds(unpriced_ms);
        match interval
            .end_reason
            .filter(|_| span.contains(interval.to_ms))
        {
            Some(EndReason::Allocated) => self.allocated += 1,
            Some(EndReason::Reclaimed) => self.reclaimed += 1,
            Some(EndReason::FetchTimedOut | EndReason::Failed) => self.lost += 1,
            Some(EndReason::ScaledIn | EndReason::PoolRemoved) | None => {}
        }
    }

    fn add_request(&mut self, request: &PoolRequest, span: TimeSpan, now_ms: u64) {
        let requested = span.clip(request.from_ms, request.to_ms.unwrap_or(now_ms));
        let machine_ms = f64::from(request.machines) * requested.length_ms() as f64;
        self.requested_s += machine_ms / MS_PER_SECOND;
    }
}

/// Usage of several pools in a span.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UsageReport {
    /// The time span of the report.
    pub span: TimeSpan,
    /// Pools with a record in the span, ordered by team and name.
    pub pools: Vec<PoolReport>,
    /// Cost of all pools of each team.
    pub teams: BTreeMap<String, f64>,
}

impl UsageReport {
    /// Whether no pool has a record in the span.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }
}

/// Reports the usage of all pools that have a record in a span. Present requests, which have
/// no end, count until `now_ms`, in milliseconds since 1970.
pub fn usage_report(records: &UsageRecords, span: TimeSpan, now_ms: u64) -> UsageReport {
    let prices = PriceList::new(&records.prices);
    let names = records.pools_in(span, now_ms).into_iter();
    let mut pools: Vec<PoolReport> = names
        .map(|name| report_pool(records, name, span, now_ms, &prices))
        .collect();
    pools.sort_by(|a, b| (&a.team, &a.pool).cmp(&(&b.team, &b.pool)));
    let mut teams: BTreeMap<String, f64> = BTreeMap::new();
    for pool in &pools {
        *teams.entry(pool.team.clone()).or_default() += pool.cost.sum();
    }
    UsageReport { span, pools, teams }
}

/// Reports the usage of one pool. Its team is that of the latest request; if there is none,
/// the team of the declaration.
fn report_pool(
    records: &UsageRecords,
    pool: &PoolName,
    span: TimeSpan,
    now_ms: u64,
    prices: &PriceList,
) -> PoolReport {
    let requests = records.requests.iter().filter(|r| r.pool == *pool);
    let requests: Vec<&PoolRequest> = requests.collect();
    let intervals = records.intervals.iter().filter(|i| i.pool == *pool);
    let intervals: Vec<&UsageInterval> = intervals.collect();
    let cold_starts = records.cold_starts.iter().filter(|c| c.pool == *pool);
    let latest = requests.iter().max_by_key(|request| request.from_ms);
    let team = latest.map(|request| &request.team);
    let team = team.or(records.teams.get(pool)).cloned();
    let mut usage = PoolReport::new(pool.clone(), team.unwrap_or_default());
    for interval in &intervals {
        usage.add_interval(interval, span, prices);
    }
    for request in &requests {
        usage.add_request(request, span, now_ms);
    }
    usage.cold_starts = cold_starts.filter(|c| span.contains(c.at_ms)).count() as u32;
    usage.unmet_s = unmet_s(&requests, &intervals, span, now_ms);
    usage
}

#[cfg(test)]
mod tests;
