//! Model test of pools with random sequences of declarations, bursts, reclaims and failures.
//!
//! Guards against a machine that is in two pools, or that is charged twice or outside its
//! billing period, against costs of the report that differ from the charges, and against
//! pools that exceed their target or their cost limit. The tests of the audit show that it
//! finds errors.

use forkshift_pools::account::{BilledMachine, Price};
use forkshift_pools::audit::{audit_errors, BillingPeriod};
use forkshift_pools::report::{PriceList, TimeSpan};
use forkshift_pools::scaling::{
    affordable_machines, candidates_to_add, members_to_remove, PoolCandidate, PoolMember,
};
use forkshift_pools::{EndReason, Membership, PoolName, PoolState, UsageInterval};
use forkshift_wire::MachineId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const MS_PER_HOUR: f64 = 3_600_000.0;

/// A machine of the model, with its billing period by the cloud.
#[derive(Clone, Debug)]
struct Machine {
    price: f64,
    from_ms: u64,
    ended_ms: Option<u64>,
    membership: Option<Membership>,
    charged_until_ms: u64,
    is_busy: bool,
}

/// A step of the model.
#[derive(Clone, Debug)]
enum Step {
    /// Advances the time by a number of milliseconds.
    Wait(u64),
    /// Sets the target size and the cost limit per hour of a pool.
    Declare(usize, u32, Option<f64>),
    /// Moves a machine to its next state in the pool.
    Advance(usize),
    /// Allocates a number of machines of a pool to jobs.
    Burst(usize, usize),
    /// Reclaims a machine from its pool for other tasks.
    Reclaim(usize),
    /// A machine fails, and its billing period ends.
    Fail(usize),
    /// Sets by how many milliseconds the holder's clock is behind the cloud's.
    SetClockBehind(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..500_000_u64).prop_map(Step::Wait),
        2 => (0..3_usize, 0..6_u32, proptest::option::of(1.0..40.0)).prop_map(|(p, n, c)| Step::Declare(p, n, c)),
        4 => (0..24_usize).prop_map(Step::Advance),
        1 => (0..3_usize, 1..4_usize).prop_map(|(p, n)| Step::Burst(p, n)),
        1 => (0..24_usize).prop_map(Step::Reclaim),
        1 => (0..24_usize).prop_map(Step::Fail),
        1 => (1..2_000_u64).prop_map(Step::SetClockBehind),
    ];
    proptest::collection::vec(step, 1..80)
}

#[derive(Default)]
struct Model {
    now: u64,
    /// Difference by which the holder's clock is behind the cloud's.
    clock_behind_ms: u64,
    machines: Vec<Machine>,
    /// Target size and cost limit per hour of each pool.
    pools: [(u32, Option<f64>); 3],
    intervals: Vec<UsageInterval>,
}

fn pool(index: usize) -> PoolName {
    PoolName::parse(&format!("pool-{index}")).expect("a name")
}

fn billed_machine(index: usize) -> BilledMachine {
    BilledMachine {
        id: MachineId::new(&format!("host-{index:06}")),
        machine_type: format!("type-{index}"),
        spot: false,
    }
}

impl Model {
    fn wall_clock_ms(&self) -> u64 {
        self.now - self.clock_behind_ms.min(self.now)
    }

    fn change_membership(
        &mut self,
        index: usize,
        next: Option<PoolState>,
        ended: Option<EndReason>,
    ) {
        let wall_clock_ms = self.wall_clock_ms();
        let Some(old) = self.machines[index].membership.take() else {
            return;
        };
        let interval = old.close(&billed_machine(index), wall_clock_ms, ended);
        self.machines[index].charged_until_ms = interval.to_ms;
        self.machines[index].membership = next.map(|state| Membership {
            state,
            since_ms: interval.to_ms,
            ..old
        });
        self.intervals.push(interval);
    }

    fn members(&self, pool_index: usize) -> Vec<usize> {
        let name = pool(pool_index);
        let in_pool = |m: &Machine| m.membership.as_ref().is_some_and(|m| m.pool == name);
        (0..self.machines.len())
            .filter(|i| in_pool(&self.machines[*i]))
            .collect()
    }

    /// Reconciles a pool with its target: machines leave, join and are provisioned.
    fn reconcile(&mut self, pool_index: usize) {
        let (target, max_cost_per_hour) = self.pools[pool_index];
        let ids = self.members(pool_index);
        let state = |i: &usize| self.machines[*i].membership.as_ref().map(|m| m.state);
        let members: Vec<PoolMember> = ids
            .iter()
            .filter_map(|i| {
                Some(PoolMember {
                    state: state(i)?,
                    price_per_hour: self.machines[*i].price,
                })
            })
            .collect();
        for index in members_to_remove(&members, target, max_cost_per_hour) {
            self.change_membership(ids[index], None, Some(EndReason::ScaledIn));
        }
        let ids = self.members(pool_index);
        let cost: f64 = ids.iter().map(|i| self.machines[*i].price).sum();
        let missing = target.saturating_sub(ids.len() as u32);
        let budget = max_cost_per_hour.map(|most| most - cost);
        let free: Vec<usize> = (0..self.machines.len())
            .filter(|i| {
                let m = &self.machines[*i];
                m.ended_ms.is_none() && m.membership.is_none() && !m.is_busy
            })
            .collect();
        let candidates: Vec<PoolCandidate> = free
            .iter()
            .map(|i| PoolCandidate {
                has_image: i % 3 == 0,
                is_up: i % 2 == 0,
                price_per_hour: self.machines[*i].price,
            })
            .collect();
        let joins = candidates_to_add(&candidates, missing, budget);
        let mut remaining_budget = budget;
        for index in &joins {
            let machine = free[*index];
            remaining_budget = remaining_budget.map(|budget| budget - self.machines[machine].price);
            let at = self.wall_clock_ms().max(self.machines[machine].from_ms);
            let charged_until = self.machines[machine].charged_until_ms;
            let joined = Membership::begin(pool(pool_index), PoolState::Up, at, charged_until);
            self.machines[machine].membership = Some(joined);
        }
        let price = 3.0 + pool_index as f64;
        let provisioned =
            affordable_machines(missing - joins.len() as u32, price, remaining_budget);
        for _ in 0..provisioned {
            self.machines.push(Machine {
                price,
                from_ms: self.wall_clock_ms(),
                ended_ms: None,
                membership: Some(Membership::begin(
                    pool(pool_index),
                    PoolState::Booting,
                    self.wall_clock_ms(),
                    0,
                )),
                charged_until_ms: 0,
                is_busy: false,
            });
        }
    }

    fn apply(&mut self, step: &Step) {
        let is_running =
            |m: &Model, i: usize| m.machines.get(i).is_some_and(|m| m.ended_ms.is_none());
        match step {
            Step::Wait(ms) => self.now += ms,
            Step::SetClockBehind(ms) => self.clock_behind_ms = *ms,
            Step::Declare(pool_index, target, cost) => self.pools[*pool_index] = (*target, *cost),
            Step::Advance(i) if is_running(self, *i) => {
                let state = self.machines[*i].membership.as_ref().map(|m| m.state);
                let next = match state {
                    Some(PoolState::Booting) => Some(PoolState::Fetching),
                    Some(PoolState::Fetching) => Some(PoolState::Warm),
                    Some(PoolState::Warm) => Some(PoolState::Fetching),
                    other => other,
                };
                self.change_membership(*i, next, None);
            }
            Step::Burst(pool_index, count) => {
                for i in self.members(*pool_index).into_iter().take(*count) {
                    self.change_membership(i, None, Some(EndReason::Allocated));
                    self.machines[i].is_busy = true;
                }
            }
            Step::Reclaim(i) if is_running(self, *i) => {
                self.change_membership(*i, None, Some(EndReason::Reclaimed));
                self.machines[*i].is_busy = true;
            }
            Step::Fail(i) if is_running(self, *i) => {
                self.change_membership(*i, None, Some(EndReason::Failed));
                let from = self.machines[*i].from_ms;
                self.machines[*i].ended_ms = Some(self.now.max(from));
            }
            Step::Advance(_) | Step::Reclaim(_) | Step::Fail(_) => {}
        }
        for pool_index in 0..self.pools.len() {
            self.reconcile(pool_index);
        }
    }
}

fn billing_periods(model: &Model) -> BTreeMap<MachineId, BillingPeriod> {
    let machines = model.machines.iter().enumerate();
    let billing_period = |m: &Machine| (m.from_ms, m.ended_ms.unwrap_or(model.now));
    machines
        .map(|(i, m)| (billed_machine(i).id, billing_period(m)))
        .collect()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn accounts_are_consistent_after_any_steps(steps in steps()) {
        let mut model = Model { now: 1_000_000, ..Model::default() };
        for step in &steps {
            model.apply(step);
            for pool_index in 0..model.pools.len() {
                let (target, max_cost_per_hour) = model.pools[pool_index];
                let members = model.members(pool_index);
                let cost: f64 = members.iter().map(|i| model.machines[*i].price).sum();
                prop_assert!(members.len() <= target as usize);
                prop_assert!(max_cost_per_hour.is_none_or(|most| cost <= most * 1.000_001));
            }
        }
        model.clock_behind_ms = 0;
        for i in 0..model.machines.len() {
            model.change_membership(i, None, Some(EndReason::PoolRemoved));
        }
        prop_assert_eq!(audit_errors(&model.intervals, &billing_periods(&model), 0), vec![]);

        // The price list's costs equal the charges of each machine.
        let prices: Vec<Price> = (0..model.machines.len()).map(|i| Price {
            machine_type: billed_machine(i).machine_type,
            from_ms: 0,
            hourly: model.machines[i].price,
            spot_hourly: None,
        }).collect();
        let list = PriceList::new(&prices);
        let all = TimeSpan { from_ms: 0, to_ms: u64::MAX };
        for (i, machine) in model.machines.iter().enumerate() {
            let intervals: Vec<&UsageInterval> = model.intervals.iter().filter(|r| r.machine == billed_machine(i).id).collect();
            let charged: f64 = intervals.iter().map(|r| list.cost(r, all).0).sum();
            let ms: u64 = intervals.iter().map(|r| r.to_ms - r.from_ms).sum();
            let expected = machine.price * ms as f64 / MS_PER_HOUR;
            prop_assert!((charged - expected).abs() <= 1e-9 * expected.max(1.0));
        }
    }
}
