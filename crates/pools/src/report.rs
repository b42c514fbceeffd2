//! What pools were asked for, had and cost in a span of time, from their accounts.

use crate::account::{Asked, Ended, Interval, Miss, PoolState, Price};
use crate::declaration::PoolName;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

const MS_A_SECOND: f64 = 1_000.0;
const MS_AN_HOUR: f64 = 3_600_000.0;

/// A span of time, in milliseconds since 1970; its end does not belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Span {
    /// Its beginning.
    pub from_ms: u64,
    /// Its end.
    pub to_ms: u64,
}

impl Span {
    /// What of some time lies in it.
    fn cut(&self, from_ms: u64, to_ms: u64) -> Self {
        let from_ms = from_ms.max(self.from_ms);
        Self {
            from_ms,
            to_ms: to_ms.min(self.to_ms).max(from_ms),
        }
    }

    fn has(&self, at_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&at_ms)
    }

    fn length(&self) -> u64 {
        self.to_ms - self.from_ms
    }
}

/// The accounts of pools: what is over, and what goes on, as if it ended now.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    /// Times for which machines are charged.
    pub intervals: Vec<Interval>,
    /// What was asked for. What is still asked for has no end.
    pub asked: Vec<Asked>,
    /// Jobs that found no machine.
    pub misses: Vec<Miss>,
    /// Prices, in any order.
    pub prices: Vec<Price>,
    /// The team of each pool that is declared.
    pub teams: BTreeMap<PoolName, String>,
}

/// Seconds and cost by what machines were doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ByState {
    /// Machines that booted.
    pub booting: f64,
    /// Machines that were up, of workers that don't tell their images.
    pub up: f64,
    /// Machines that fetched the image.
    pub fetching: f64,
    /// Machines that held it.
    pub warm: f64,
}

impl ByState {
    fn of(&mut self, state: PoolState) -> &mut f64 {
        match state {
            PoolState::Booting => &mut self.booting,
            PoolState::Up => &mut self.up,
            PoolState::Fetching => &mut self.fetching,
            PoolState::Warm => &mut self.warm,
        }
    }

    /// All of them.
    pub fn sum(&self) -> f64 {
        self.booting + self.up + self.fetching + self.warm
    }
}

/// What a pool was asked for, had and cost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolReport {
    /// The pool.
    pub pool: PoolName,
    /// The team that is charged.
    pub team: String,
    /// Machine-seconds that were asked for.
    pub asked_s: f64,
    /// Machine-seconds by state.
    pub machine_s: ByState,
    /// Machine-seconds that it had too few machines ready.
    pub short_s: f64,
    /// Cost by state.
    pub cost: ByState,
    /// Machine-seconds whose price is not recorded: they are not in the cost.
    pub unpriced_s: f64,
    /// Machines that got a task of the pool's team and image.
    pub handed_out: u32,
    /// Jobs that found no machine.
    pub missed: u32,
    /// Machines that others reclaimed.
    pub reclaimed: u32,
    /// Machines that failed, were taken, or did not get the image.
    pub lost: u32,
}

/// A report over some pools.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// What it covers.
    pub span: Span,
    /// The pools, by team and name.
    pub pools: Vec<PoolReport>,
    /// What each team pays.
    pub teams: BTreeMap<String, f64>,
}

impl Report {
    /// Whether nothing is recorded of the span.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }
}

/// What a machine costs over some time: its price steps, by type.
#[derive(Debug, Default)]
pub struct PriceList<'a>(BTreeMap<&'a str, Vec<&'a Price>>);

impl<'a> PriceList<'a> {
    /// From prices in any order.
    pub fn new(prices: &'a [Price]) -> Self {
        let mut list: BTreeMap<&str, Vec<&Price>> = BTreeMap::new();
        for price in prices {
            list.entry(&price.machine_type).or_default().push(price);
        }
        for steps in list.values_mut() {
            steps.sort_by_key(|p| p.from_ms);
        }
        Self(list)
    }

    /// What an interval costs within a span, and for how many milliseconds of it no price
    /// is recorded.
    pub fn cost(&self, interval: &Interval, span: Span) -> (f64, u64) {
        let within = span.cut(interval.from_ms, interval.to_ms);
        let steps = self.0.get(interval.machine_type.as_str());
        let steps = steps.map_or(&[][..], Vec::as_slice);
        let mut cost = 0.0;
        let mut priced = 0;
        for (i, step) in steps.iter().enumerate() {
            let ends = steps.get(i + 1).map_or(u64::MAX, |next| next.from_ms);
            let hourly = match interval.spot {
                true => step.spot_hourly,
                false => Some(step.hourly),
            };
            let part = within.cut(step.from_ms, ends).length();
            if let Some(hourly) = hourly {
                priced += part;
                cost += hourly * part as f64 / MS_AN_HOUR;
            }
        }
        (cost, within.length() - priced)
    }
}

/// Reports on all pools of which anything is recorded in a span. `now_ms` is when what
/// goes on is taken to end.
pub fn report(accounts: &Accounts, span: Span, now_ms: u64) -> Report {
    let prices = PriceList::new(&accounts.prices);
    let mut names: BTreeSet<&PoolName> = BTreeSet::new();
    let touches = |from: u64, to: u64| span.cut(from, to).length() > 0;
    let intervals = accounts.intervals.iter();
    names.extend(
        intervals
            .filter(|i| touches(i.from_ms, i.to_ms))
            .map(|i| &i.pool),
    );
    let asked = accounts.asked.iter();
    let asked = asked.filter(|a| touches(a.from_ms, a.to_ms.unwrap_or(now_ms)));
    names.extend(asked.map(|a| &a.pool));
    let misses = accounts.misses.iter();
    names.extend(misses.filter(|m| span.has(m.at_ms)).map(|m| &m.pool));
    let mut pools: Vec<PoolReport> = names
        .into_iter()
        .map(|name| report_on(accounts, name, span, now_ms, &prices))
        .collect();
    pools.sort_by(|a, b| (&a.team, &a.pool).cmp(&(&b.team, &b.pool)));
    let mut teams: BTreeMap<String, f64> = BTreeMap::new();
    for pool in &pools {
        *teams.entry(pool.team.clone()).or_default() += pool.cost.sum();
    }
    Report { span, pools, teams }
}

fn report_on(
    accounts: &Accounts,
    pool: &PoolName,
    span: Span,
    now_ms: u64,
    prices: &PriceList,
) -> PoolReport {
    let asked: Vec<&Asked> = accounts.asked.iter().filter(|a| a.pool == *pool).collect();
    let latest = asked.iter().max_by_key(|a| a.from_ms);
    let team = latest.map(|a| &a.team).or(accounts.teams.get(pool));
    let mut found = PoolReport {
        pool: pool.clone(),
        team: team.cloned().unwrap_or_default(),
        asked_s: 0.0,
        machine_s: ByState::default(),
        short_s: 0.0,
        cost: ByState::default(),
        unpriced_s: 0.0,
        handed_out: 0,
        missed: 0,
        reclaimed: 0,
        lost: 0,
    };
    let of_pool = accounts.intervals.iter().filter(|i| i.pool == *pool);
    let intervals: Vec<&Interval> = of_pool.collect();
    for interval in &intervals {
        let within = span.cut(interval.from_ms, interval.to_ms);
        *found.machine_s.of(interval.state) += within.length() as f64 / MS_A_SECOND;
        let (cost, unpriced) = prices.cost(interval, span);
        *found.cost.of(interval.state) += cost;
        found.unpriced_s += unpriced as f64 / MS_A_SECOND;
        match interval.ended.filter(|_| span.has(interval.to_ms)) {
            Some(Ended::HandedOut) => found.handed_out += 1,
            Some(Ended::Reclaimed) => found.reclaimed += 1,
            Some(Ended::Stalled | Ended::Lost) => found.lost += 1,
            Some(Ended::Surplus | Ended::Withdrawn) | None => {}
        }
    }
    let misses = accounts.misses.iter().filter(|m| m.pool == *pool);
    found.missed = misses.filter(|m| span.has(m.at_ms)).count() as u32;
    for step in &asked {
        let within = span.cut(step.from_ms, step.to_ms.unwrap_or(now_ms));
        found.asked_s += f64::from(step.machines) * within.length() as f64 / MS_A_SECOND;
    }
    found.short_s = short_s(&asked, &intervals, span, now_ms);
    found
}

/// Machine-seconds by which fewer machines were ready than were asked for.
fn short_s(asked: &[&Asked], intervals: &[&Interval], span: Span, now_ms: u64) -> f64 {
    // Changes of how many are asked for and ready, by time.
    let mut changes: BTreeMap<u64, (i64, i64)> = BTreeMap::new();
    let mut add = |time: Span, asked: i64, ready: i64| {
        let begins = changes.entry(time.from_ms).or_default();
        *begins = (begins.0 + asked, begins.1 + ready);
        let ends = changes.entry(time.to_ms).or_default();
        *ends = (ends.0 - asked, ends.1 - ready);
    };
    for step in asked {
        let time = span.cut(step.from_ms, step.to_ms.unwrap_or(now_ms));
        add(time, i64::from(step.machines), 0);
    }
    for interval in intervals.iter().filter(|i| i.state.is_ready()) {
        add(span.cut(interval.from_ms, interval.to_ms), 0, 1);
    }
    let mut short_ms = 0;
    let (mut asked, mut ready, mut since) = (0, 0, span.from_ms);
    for (at, (more_asked, more_ready)) in changes {
        short_ms += (asked - ready).max(0) * (at - since) as i64;
        (asked, ready, since) = (asked + more_asked, ready + more_ready, at);
    }
    short_ms as f64 / MS_A_SECOND
}

#[cfg(test)]
mod tests;
