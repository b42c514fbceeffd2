//! Pools over random orders of declarations, bursts, reclaims and ends: whatever
//! happens, no machine is in two pools, none is charged outside its life or twice, the
//! charges sum to what was charged, and limits hold. That the audit fails on accounts made
//! wrong on purpose is shown beside it.

use forkshift_pools::account::{MachineFacts, Price};
use forkshift_pools::audit::{mistakes, Life};
use forkshift_pools::choice::{affordable, joining, leaving, Candidate, Member};
use forkshift_pools::report::{PriceList, Span};
use forkshift_pools::{Ended, Interval, Membership, PoolName, PoolState};
use forkshift_wire::MachineId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const MS_AN_HOUR: f64 = 3_600_000.0;

/// A machine of the model, and its life as the cloud has it.
#[derive(Clone, Debug)]
struct Machine {
    price: f64,
    from_ms: u64,
    ended_ms: Option<u64>,
    membership: Option<Membership>,
    charged_until_ms: u64,
    busy: bool,
}

/// What happens next.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// A pool is to have so many machines, for so much.
    Declare(usize, u32, Option<f64>),
    /// A machine goes on to its next state.
    Advance(usize),
    Burst(usize, usize),
    Reclaim(usize),
    /// The cloud's side: a machine ends.
    End(usize),
    /// A holder's clock is behind that of the one before.
    ClockBack(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..500_000_u64).prop_map(Step::Wait),
        2 => (0..3_usize, 0..6_u32, proptest::option::of(1.0..40.0)).prop_map(|(p, n, c)| Step::Declare(p, n, c)),
        4 => (0..24_usize).prop_map(Step::Advance),
        1 => (0..3_usize, 1..4_usize).prop_map(|(p, n)| Step::Burst(p, n)),
        1 => (0..24_usize).prop_map(Step::Reclaim),
        1 => (0..24_usize).prop_map(Step::End),
        1 => (1..2_000_u64).prop_map(Step::ClockBack),
    ];
    proptest::collection::vec(step, 1..80)
}

#[derive(Default)]
struct Model {
    now: u64,
    /// What the holder's clock is behind.
    behind: u64,
    machines: Vec<Machine>,
    pools: [(u32, Option<f64>); 3],
    rows: Vec<Interval>,
}

fn pool(index: usize) -> PoolName {
    PoolName::parse(&format!("pool-{index}")).expect("a name")
}

fn facts(index: usize) -> MachineFacts {
    MachineFacts {
        id: MachineId::new(&format!("host-{index:06}")),
        machine_type: format!("type-{index}"),
        spot: false,
    }
}

impl Model {
    fn wall(&self) -> u64 {
        self.now - self.behind.min(self.now)
    }

    fn change(&mut self, index: usize, next: Option<PoolState>, ended: Option<Ended>) {
        let wall = self.wall();
        let Some(old) = self.machines[index].membership.take() else {
            return;
        };
        let row = old.close(&facts(index), wall, ended);
        self.machines[index].charged_until_ms = row.to_ms;
        self.machines[index].membership = next.map(|state| Membership {
            state,
            since_ms: row.to_ms,
            ..old
        });
        self.rows.push(row);
    }

    fn members(&self, of: usize) -> Vec<usize> {
        let name = pool(of);
        let in_pool = |m: &Machine| m.membership.as_ref().is_some_and(|m| m.pool == name);
        (0..self.machines.len())
            .filter(|i| in_pool(&self.machines[*i]))
            .collect()
    }

    /// Lets machines leave and join a pool, and rents what is missing.
    fn keep(&mut self, of: usize) {
        let (target, cost_most) = self.pools[of];
        let ids = self.members(of);
        let state = |i: &usize| self.machines[*i].membership.as_ref().map(|m| m.state);
        let members: Vec<Member> = ids
            .iter()
            .filter_map(|i| {
                Some(Member {
                    state: state(i)?,
                    price: self.machines[*i].price,
                })
            })
            .collect();
        for index in leaving(&members, target, cost_most) {
            self.change(ids[index], None, Some(Ended::Surplus));
        }
        let ids = self.members(of);
        let cost: f64 = ids.iter().map(|i| self.machines[*i].price).sum();
        let missing = target.saturating_sub(ids.len() as u32);
        let left = cost_most.map(|most| most - cost);
        let free: Vec<usize> = (0..self.machines.len())
            .filter(|i| {
                let m = &self.machines[*i];
                m.ended_ms.is_none() && m.membership.is_none() && !m.busy
            })
            .collect();
        let candidates: Vec<Candidate> = free
            .iter()
            .map(|i| Candidate {
                has_image: i % 3 == 0,
                is_up: i % 2 == 0,
                price: self.machines[*i].price,
            })
            .collect();
        let joins = joining(&candidates, missing, left);
        let mut cost_left = left;
        for index in &joins {
            let machine = free[*index];
            cost_left = cost_left.map(|left| left - self.machines[machine].price);
            let at = self.wall().max(self.machines[machine].from_ms);
            let charged_until = self.machines[machine].charged_until_ms;
            let joined = Membership::begin(pool(of), PoolState::Up, at, charged_until);
            self.machines[machine].membership = Some(joined);
        }
        let price = 3.0 + of as f64;
        let rented = affordable(missing - joins.len() as u32, price, cost_left);
        for _ in 0..rented {
            self.machines.push(Machine {
                price,
                from_ms: self.wall(),
                ended_ms: None,
                membership: Some(Membership::begin(
                    pool(of),
                    PoolState::Booting,
                    self.wall(),
                    0,
                )),
                charged_until_ms: 0,
                busy: false,
            });
        }
    }

    fn play(&mut self, step: &Step) {
        let alive = |m: &Model, i: usize| m.machines.get(i).is_some_and(|m| m.ended_ms.is_none());
        match step {
            Step::Wait(ms) => self.now += ms,
            Step::ClockBack(ms) => self.behind = *ms,
            Step::Declare(of, target, cost) => self.pools[*of] = (*target, *cost),
            Step::Advance(i) if alive(self, *i) => {
                let state = self.machines[*i].membership.as_ref().map(|m| m.state);
                let next = match state {
                    Some(PoolState::Booting) => Some(PoolState::Fetching),
                    Some(PoolState::Fetching) => Some(PoolState::Warm),
                    Some(PoolState::Warm) => Some(PoolState::Fetching),
                    other => other,
                };
                self.change(*i, next, None);
            }
            Step::Burst(of, count) => {
                for i in self.members(*of).into_iter().take(*count) {
                    self.change(i, None, Some(Ended::HandedOut));
                    self.machines[i].busy = true;
                }
            }
            Step::Reclaim(i) if alive(self, *i) => {
                self.change(*i, None, Some(Ended::Reclaimed));
                self.machines[*i].busy = true;
            }
            Step::End(i) if alive(self, *i) => {
                self.change(*i, None, Some(Ended::Lost));
                let from = self.machines[*i].from_ms;
                self.machines[*i].ended_ms = Some(self.now.max(from));
            }
            Step::Advance(_) | Step::Reclaim(_) | Step::End(_) => {}
        }
        for of in 0..self.pools.len() {
            self.keep(of);
        }
    }
}

fn lives(model: &Model) -> BTreeMap<MachineId, Life> {
    let machines = model.machines.iter().enumerate();
    let life = |m: &Machine| (m.from_ms, m.ended_ms.unwrap_or(model.now));
    machines.map(|(i, m)| (facts(i).id, life(m))).collect()
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
    fn accounts_are_right_whatever_happens(steps in steps()) {
        let mut model = Model { now: 1_000_000, ..Model::default() };
        for step in &steps {
            model.play(step);
            for of in 0..model.pools.len() {
                let (target, cost_most) = model.pools[of];
                let members = model.members(of);
                let cost: f64 = members.iter().map(|i| model.machines[*i].price).sum();
                prop_assert!(members.len() <= target as usize);
                prop_assert!(cost_most.is_none_or(|most| cost <= most * 1.000_001));
            }
        }
        model.behind = 0;
        for i in 0..model.machines.len() {
            model.change(i, None, Some(Ended::Withdrawn));
        }
        prop_assert_eq!(mistakes(&model.rows, &lives(&model), 0), vec![]);

        // The report's sums are those of the charges, machine by machine.
        let prices: Vec<Price> = (0..model.machines.len()).map(|i| Price {
            machine_type: facts(i).machine_type,
            from_ms: 0,
            hourly: model.machines[i].price,
            spot_hourly: None,
        }).collect();
        let list = PriceList::new(&prices);
        let all = Span { from_ms: 0, to_ms: u64::MAX };
        for (i, machine) in model.machines.iter().enumerate() {
            let rows: Vec<&Interval> = model.rows.iter().filter(|r| r.machine == facts(i).id).collect();
            let charged: f64 = rows.iter().map(|r| list.cost(r, all).0).sum();
            let ms: u64 = rows.iter().map(|r| r.to_ms - r.from_ms).sum();
            let expected = machine.price * ms as f64 / MS_AN_HOUR;
            prop_assert!((charged - expected).abs() <= 1e-9 * expected.max(1.0));
        }
    }
}
