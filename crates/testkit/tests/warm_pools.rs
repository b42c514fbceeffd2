//! Warm pools in virtual time: what they are for, and every way in which machines and
//! controllers end meanwhile. After each day the accounts of all pools are audited against
//! the lives that the stand-in for the cloud charged.

mod common;

use common::Ms;
use forkshift_pools::account::{ACCOUNT_PREFIX, CURRENT_REQUEST_PREFIX};
use forkshift_pools::audit::audit_errors;
use forkshift_pools::report::UsageRecords;
use forkshift_pools::{EndReason, Membership, PoolSpec, PoolState, UsageInterval, WindowSpec};
use forkshift_testkit::{
    job_id, ControllerSelector, DeploymentConfig, Fault, FaultKind, JobPlan, MachineFault,
    MachineSelector, Simulation,
};
use forkshift_wire::users::{JobKind, Priority};
use forkshift_wire::MachineId;

const NODES: usize = 3;
/// By then a pool is full: the format is finalized, machines have booted and fetched, also
/// where the first ones came late or never.
const FULL: Ms = 70_000;
/// A replica of the pool's image begins within this if there is a machine for it.
const AT_ONCE: Ms = 3_000;
/// By how much a charge may lie outside a machine's life: it is noted in steps, and what
/// failed is known by silence only.
const CLOCK_OFF: Ms = 1_000;

fn size() -> DeploymentConfig {
    DeploymentConfig {
        controllers: NODES,
        guarantee: (64.0, 32.0),
        limit: (256.0, 96.0),
        announces_images: true,
        ..DeploymentConfig::default()
    }
}

/// A pool of machines with eight GPUs each, whose image takes five seconds to fetch.
fn pool(least: u32, most: u32) -> PoolSpec {
    PoolSpec {
        name: "help".to_owned(),
        team: "team-0".to_owned(),
        image: "weights".to_owned(),
        image_gb: 20.0,
        types: vec!["g8".to_owned()],
        min_machines: least,
        max_machines: most,
        ..PoolSpec::default()
    }
}

/// Replicas that take a whole machine each.
fn replicas(n: u32, at: Ms, tasks: u32, image: &str) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, JobKind::Service, tasks, 0);
    plan.spec.priority = Priority::High;
    plan.spec.gpus = 8.0;
    plan.spec.image = image.to_owned();
    plan.spec.image_gb = 20.0;
    plan
}

fn simulation(
    seed: u64,
    plans: Vec<JobPlan>,
    size: DeploymentConfig,
    pools: &[PoolSpec],
) -> Simulation {
    Simulation::with_pools(seed, plans, Vec::new(), size, vec![pools.to_vec(); NODES])
}

/// Memberships that go on.
fn members(simulation: &Simulation) -> Vec<(MachineId, Membership)> {
    simulation.pool_members()
}

fn warm(simulation: &Simulation) -> usize {
    let members = members(simulation);
    members
        .iter()
        .filter(|(_, m)| m.state == PoolState::Warm)
        .count()
}

/// No rule is broken, and every second is charged once at most, within machines' lives.
fn audit(simulation: &Simulation, name: &str) -> UsageRecords {
    assert_eq!(simulation.checker.violations, vec![], "{name}: rules");
    let accounts = simulation.pool_accounts(simulation.wall_clock());
    let lives = simulation.billing_periods_from(simulation.wall_clock() - simulation.now());
    let found = audit_errors(&accounts.intervals, &lives, CLOCK_OFF);
    assert_eq!(found, vec![], "{name}: accounts");
    accounts
}

fn ended(accounts: &UsageRecords, why: EndReason) -> Vec<&UsageInterval> {
    let intervals = accounts.intervals.iter();
    intervals.filter(|i| i.end_reason == Some(why)).collect()
}

/// How long the first task of a job waited.
fn waited(simulation: &Simulation, n: u32, at: Ms) -> Ms {
    simulation
        .checker
        .began_at(&job_id(n))
        .map_or(Ms::MAX, |began| began - at)
}

#[test]
fn a_burst_begins_at_once_where_a_pool_is_warm_and_after_a_boot_where_there_is_none() {
    for seed in 1..=5 {
        let burst = || vec![replicas(0, FULL, 3, "weights")];
        let mut with = simulation(seed, burst(), size(), &[pool(3, 6)]);
        with.run_until(FULL);
        assert_eq!(warm(&with), 3, "seed {seed}: {:?}", members(&with));
        with.run_until(FULL + AT_ONCE * 2);
        assert_eq!(
            with.checker.running_tasks(&job_id(0)),
            3,
            "seed {seed}: all began"
        );
        assert!(waited(&with, 0, FULL) <= AT_ONCE, "seed {seed}");
        with.run_until(FULL * 2);
        assert!(warm(&with) >= 3, "seed {seed}: it fills again");
        let accounts = audit(&with, "with");
        assert_eq!(
            ended(&accounts, EndReason::Allocated).len(),
            3,
            "seed {seed}"
        );
        assert_eq!(accounts.cold_starts, vec![], "seed {seed}");

        let mut without = simulation(seed, burst(), size(), &[]);
        without.run_until(FULL * 2);
        assert!(waited(&without, 0, FULL) > 2 * AT_ONCE, "seed {seed}");
        assert!(audit(&without, "without").intervals.is_empty());
    }
}

/// A worker that announces nothing is never told to fetch ahead. Its machine is up, never
/// warm, and still spares the boot.
#[test]
fn machines_of_workers_that_announce_nothing_are_up_and_never_warm() {
    let size = DeploymentConfig {
        announces_images: false,
        ..size()
    };
    let mut simulation = simulation(
        1,
        vec![replicas(0, FULL, 1, "weights")],
        size,
        &[pool(2, 4)],
    );
    simulation.run_until(FULL);
    let states: Vec<PoolState> = members(&simulation).iter().map(|(_, m)| m.state).collect();
    assert_eq!(states, vec![PoolState::Up; 2]);
    simulation.run_until(FULL + 30_000);
    let accounts = audit(&simulation, "up");
    let tells = |i: &&UsageInterval| matches!(i.state, PoolState::Fetching | PoolState::Warm);
    assert_eq!(accounts.intervals.iter().find(tells), None);
    assert_eq!(ended(&accounts, EndReason::Allocated).len(), 1);
}

/// A burst for another image takes the ordinary path. It does not empty a pool below its
/// least, and what finds no machine of its own pool is counted.
#[test]
fn a_burst_without_warm_machines_leaves_other_pools_alone_and_is_counted() {
    let other = PoolSpec {
        name: "other".to_owned(),
        image: "other".to_owned(),
        ..pool(0, 1)
    };
    let plans = vec![replicas(0, FULL, 3, "other"), replicas(1, FULL, 1, "plain")];
    let mut simulation = simulation(2, plans, size(), &[pool(2, 4), other]);
    simulation.run_until(FULL + 1_000);
    for _ in 0..40 {
        simulation.run_until(simulation.now() + 1_000);
        let kept = members(&simulation);
        let kept = kept
            .iter()
            .filter(|(_, m)| m.pool.as_str() == "help")
            .count();
        assert!(kept >= 2, "at {}", simulation.now());
    }
    simulation.run_until(FULL + 60_000);
    assert_eq!(simulation.checker.running_tasks(&job_id(0)), 3);
    assert_eq!(simulation.checker.running_tasks(&job_id(1)), 1);
    let accounts = audit(&simulation, "misses");
    let [miss] = accounts.cold_starts.as_slice() else {
        panic!("{:?}", accounts.cold_starts);
    };
    assert_eq!((miss.pool.as_str(), miss.tasks), ("other", 3));
    assert!(ended(&accounts, EndReason::Reclaimed).is_empty());
}

/// Three machines in all: two are in use, one is a pool's. A gang within its team's
/// guarantee comes together with a burst for the pool, or alone: exactly one of them gets
/// the machine, whether the gang's team is in the pool's shard or in another.
#[test]
fn a_machine_is_reclaimed_by_a_gang_or_handed_out_and_never_both() {
    const ALONE: Ms = 40_000;
    for team in ["team-3", "team-1"] {
        let mut reclaims = 0;
        for (seed, burst_at) in (1..).zip([0, 500, 1_500, 2_500, 3_000, 3_500, ALONE, ALONE]) {
            let mut gang = JobPlan::plain(1, FULL, JobKind::Gang, 1, 200_000);
            gang.spec.team = team.to_owned();
            gang.spec.gpus = 8.0;
            gang.spec.priority = Priority::High;
            let plans = vec![
                replicas(9, 2_000, 2, "plain"),
                gang,
                replicas(0, FULL + burst_at, 1, "weights"),
            ];
            let size = DeploymentConfig {
                capacity: 1,
                ..size()
            };
            let mut simulation = simulation(seed, plans, size, &[pool(1, 1)]);
            let name = format!("{team}, burst {burst_at} ms later");
            simulation.run_until(FULL);
            assert_eq!(warm(&simulation), 1, "{name}: {:?}", members(&simulation));
            simulation.run_until(FULL + 25_000);
            let accounts = audit(&simulation, &name);
            let out = ended(&accounts, EndReason::Allocated).len();
            let reclaimed = ended(&accounts, EndReason::Reclaimed).len();
            assert_eq!(out + reclaimed, 1, "{name}: {out} and {reclaimed}");
            let began = [0, 1].map(|n| simulation.checker.began_at(&job_id(n)).is_some());
            assert_eq!(began, [out == 1, reclaimed == 1], "{name}");
            assert!(
                burst_at < ALONE || reclaimed == 1,
                "{name}: the gang is alone"
            );
            reclaims += reclaimed;
        }
        assert!(
            (2..8).contains(&reclaims),
            "{team}: {reclaims} of 8, both ways are played"
        );
    }
}

#[test]
fn evicted_weights_are_fetched_again_and_the_time_is_accounted_apart() {
    let mut simulation = simulation(3, Vec::new(), size(), &[pool(2, 2)]);
    simulation.run_until(FULL);
    assert_eq!(warm(&simulation), 2);
    let ids = members(&simulation).into_iter().map(|(id, _)| id).collect();
    simulation.inject_fault(FaultKind::Machines(
        MachineSelector::Named(ids),
        MachineFault::EvictImages,
    ));
    simulation.run_until(FULL + 3_000);
    assert_eq!(warm(&simulation), 0);
    simulation.run_until(FULL + 15_000);
    assert_eq!(warm(&simulation), 2);
    let accounts = audit(&simulation, "evicted");
    let since = simulation.wall_clock() - 15_000;
    let again = |i: &&UsageInterval| i.state == PoolState::Fetching && i.from_ms >= since;
    let again: Vec<&UsageInterval> = accounts.intervals.iter().filter(again).collect();
    assert_eq!(again.len(), 2);
    for interval in again {
        let took = interval.to_ms - interval.from_ms;
        assert!((4_000..9_000).contains(&took), "{took} ms");
    }
}

#[test]
fn a_machine_whose_fetch_never_ends_is_replaced() {
    let mut simulation = simulation(4, Vec::new(), size(), &[pool(1, 1)]);
    while members(&simulation)
        .iter()
        .all(|(_, m)| m.state != PoolState::Fetching)
    {
        simulation.run_until(simulation.now() + 100);
        assert!(simulation.now() < FULL, "none fetches");
    }
    let stuck = members(&simulation)[0].0.clone();
    let never = MachineFault::StuckPrefetch(Ms::MAX / 4);
    simulation.inject_fault(FaultKind::Machines(
        MachineSelector::Named(vec![stuck.clone()]),
        never,
    ));
    simulation.run_until(simulation.now() + 90_000);
    let accounts = audit(&simulation, "stuck");
    let stalled: Vec<&MachineId> = ended(&accounts, EndReason::FetchTimedOut)
        .iter()
        .map(|i| &i.machine)
        .collect();
    assert_eq!(stalled, vec![&stuck]);
    assert_eq!(warm(&simulation), 1);
    assert_ne!(members(&simulation)[0].0, stuck);
}

/// Each trouble of machines in turn, and all together: the pool fills again.
#[test]
fn a_pool_is_refilled_when_its_machines_fail() {
    let faults = [
        vec![MachineFault::Crash],
        vec![MachineFault::Hang(25_000)],
        vec![MachineFault::Partition(25_000)],
        vec![MachineFault::InboundLoss(25_000)],
        vec![
            MachineFault::Crash,
            MachineFault::EvictImages,
            MachineFault::Hang(25_000),
        ],
    ];
    for (n, faults) in faults.into_iter().enumerate() {
        let mut simulation = simulation(10 + n as u64, Vec::new(), size(), &[pool(3, 3)]);
        simulation.run_until(FULL);
        assert_eq!(
            warm(&simulation),
            3,
            "case {n} at {}: {:?}",
            simulation.now(),
            members(&simulation)
        );
        for (fault, (id, _)) in faults.into_iter().zip(members(&simulation)) {
            simulation.inject_fault(FaultKind::Machines(MachineSelector::Named(vec![id]), fault));
        }
        simulation.run_until(FULL * 2);
        assert_eq!(
            warm(&simulation),
            3,
            "case {n} at {}: {:?}",
            simulation.now(),
            members(&simulation)
        );
        audit(&simulation, &format!("case {n}"));
    }
}

/// The holder ends at any moment between two writes of a membership, and so does the
/// leader, alone and together, while the pool fills and in a burst.
#[test]
fn accounts_are_correct_whichever_controller_crashes_in_between() {
    let crash = |who, at| {
        let crash = FaultKind::Crash {
            node: 0,
            count: 1,
            restart_after: 3_000,
        };
        Fault {
            at,
            kind: FaultKind::At(who, Box::new(crash)),
        }
    };
    let holder = || ControllerSelector::HolderOfJob(job_id(5));
    for n in 0..36_u64 {
        let in_burst = n >= 18;
        let at = match in_burst {
            true => FULL - 500 + (n - 18) * 250,
            false => 6_000 + n * 1_500,
        };
        let mut faults = vec![crash(holder(), at)];
        if n % 3 == 0 {
            faults.push(crash(ControllerSelector::Leader, at));
        }
        // A job of the team shows who holds its shard.
        let mut steady = replicas(5, 2_000, 1, "plain");
        steady.spec.gpus = 0.0;
        let plans = vec![steady, replicas(0, FULL, 2, "weights")];
        let pools = vec![vec![pool(2, 4)]; NODES];
        let mut simulation = Simulation::with_pools(n, plans, faults, size(), pools);
        simulation.run_until(FULL * 2 + 20_000);
        let name = format!("case {n}, {at} ms");
        let accounts = audit(&simulation, &name);
        assert_eq!(simulation.unfinished_jobs(), Vec::<String>::new(), "{name}");
        assert_eq!(simulation.checker.running_tasks(&job_id(0)), 2, "{name}");
        assert!(warm(&simulation) >= 2, "{name}: {:?}", members(&simulation));
        let out = ended(&accounts, EndReason::Allocated).len();
        assert!(out <= 2, "{name}: {out} handed out");
        // A new holder does not hear the pool's machines at once: that is no miss.
        let missed = accounts.cold_starts.len();
        assert!(
            out < 2 || missed == 0,
            "{name}: {missed} missed, all were handed out"
        );
    }
}

/// Writes without an answer, carried out at once or late, are no reason for a second
/// charge.
#[test]
fn accounts_are_correct_when_responses_to_writes_are_lost() {
    for seed in 0..6 {
        let lost = FaultKind::LostWriteResponses {
            percent: 30,
            key_prefix: None,
            executes_at_once: seed % 2 == 0,
            time: 60_000,
        };
        let faults = vec![Fault {
            at: 8_000,
            kind: lost,
        }];
        let plans = vec![replicas(0, FULL, 2, "weights")];
        let pools = vec![vec![pool(2, 3)]; NODES];
        let mut simulation = Simulation::with_pools(seed, plans, faults, size(), pools);
        simulation.run_until(FULL * 2 + 40_000);
        audit(&simulation, &format!("seed {seed}"));
        assert!(
            warm(&simulation) >= 2,
            "seed {seed}: {:?}",
            members(&simulation)
        );
    }
}

/// A window that ends in the middle of an outage: nothing can be recorded, so nothing is
/// decided; afterwards the pool is given back, and is not filled again.
#[test]
fn an_outage_across_a_windows_end_keeps_the_pool_until_it_can_be_recorded() {
    // Days begin 1,000 s into 1970; the window ends at 18 minutes, 80 s into the day.
    let windowed = PoolSpec {
        time_zone: "UTC".to_owned(),
        windows: vec![WindowSpec {
            to: "00:18".to_owned(),
            ..WindowSpec::default()
        }],
        ..pool(2, 2)
    };
    let faults = vec![Fault {
        at: 75_000,
        kind: FaultKind::StoreOutage(20_000),
    }];
    let pools = vec![vec![windowed]; NODES];
    let mut simulation = Simulation::with_pools(6, Vec::new(), faults, size(), pools);
    simulation.run_until(74_000);
    assert_eq!(warm(&simulation), 2);
    simulation.run_until(95_000);
    assert_eq!(members(&simulation).len(), 2, "nothing can be recorded");
    simulation.run_until(150_000);
    assert_eq!(members(&simulation), vec![]);
    assert_eq!(simulation.machines(), 0, "they were returned");
    let accounts = audit(&simulation, "outage");
    assert_eq!(ended(&accounts, EndReason::ScaledIn).len(), 2);
    let asked = accounts.requests.iter().filter(|a| a.to_ms.is_none());
    assert_eq!(asked.map(|a| a.machines).collect::<Vec<_>>(), vec![0]);
}

fn restart(simulation: &mut Simulation, node: usize, pools: Vec<PoolSpec>) {
    simulation.declare_pools(node, pools);
    simulation.inject_fault(FaultKind::Crash {
        node,
        count: 1,
        restart_after: 1_000,
    });
    simulation.run_until(simulation.now() + 20_000);
}

/// Pools begin once all controllers have them, and end one by one as they are withdrawn.
#[test]
fn pools_begin_when_all_declare_them_and_end_where_they_are_withdrawn() {
    let on = || vec![pool(2, 2)];
    let pools = vec![on(), on(), Vec::new()];
    let early = vec![replicas(0, 20_000, 1, "weights")];
    let mut simulation = Simulation::with_pools(7, early, Vec::new(), size(), pools);
    simulation.run_until(FULL);
    assert_eq!(simulation.finalized_format(), Some(2), "one has none");
    assert!(audit(&simulation, "off at one").intervals.is_empty());
    restart(&mut simulation, 2, on());
    simulation.run_until(FULL * 2);
    assert_eq!(simulation.finalized_format(), Some(3));
    assert_eq!(warm(&simulation), 2);
    let misses = audit(&simulation, "on").cold_starts;
    assert_eq!(misses, vec![], "what came before pools began missed none");
    // Whoever has no declaration gives the machines back, and still holds shards.
    for node in 0..NODES {
        restart(&mut simulation, node, Vec::new());
    }
    simulation.run_until(simulation.now() + 30_000);
    assert_eq!(members(&simulation), vec![]);
    let accounts = audit(&simulation, "withdrawn");
    assert!(ended(&accounts, EndReason::PoolRemoved).len() >= 2);
    let asked = accounts.requests.iter().filter(|a| a.to_ms.is_none());
    assert_eq!(asked.map(|a| a.machines).collect::<Vec<_>>(), vec![0]);
    assert!((0..NODES).any(|n| simulation.holds_shards(n)));
}

/// A declaration that changes its image or its size is followed by the next holder.
#[test]
fn a_pool_follows_a_changed_declaration() {
    let mut simulation = simulation(8, Vec::new(), size(), &[pool(2, 2)]);
    simulation.run_until(FULL);
    assert_eq!(warm(&simulation), 2);
    let changed = PoolSpec {
        image: "newer".to_owned(),
        ..pool(1, 1)
    };
    for node in 0..NODES {
        restart(&mut simulation, node, vec![changed.clone()]);
    }
    simulation.run_until(simulation.now() + 30_000);
    assert_eq!(warm(&simulation), 1, "{:?}", members(&simulation));
    let accounts = audit(&simulation, "changed");
    assert!(!ended(&accounts, EndReason::ScaledIn).is_empty());
}

/// A release without pools never sees a record of them: nothing is written before all
/// have registered, so rolling back until then loses nothing.
#[test]
fn nothing_of_pools_is_written_beside_an_old_release() {
    let size = DeploymentConfig {
        starts_with_old_release: true,
        ..size()
    };
    let pools = vec![vec![pool(2, 2)]; NODES];
    let plans = vec![replicas(0, 5_000, 2, "weights")];
    let mut simulation = Simulation::with_pools(9, plans, Vec::new(), size, pools);
    simulation.run_until(20_000);
    for node in 0..NODES - 1 {
        simulation.inject_fault(FaultKind::Upgrade {
            node,
            restart_after: 1_000,
        });
        simulation.run_until(simulation.now() + 15_000);
    }
    for node in 0..NODES - 1 {
        simulation.inject_fault(FaultKind::Downgrade {
            node,
            restart_after: 1_000,
        });
        simulation.run_until(simulation.now() + 15_000);
    }
    assert_eq!(simulation.finalized_format(), None);
    assert!(audit(&simulation, "old").intervals.is_empty());
    assert!(simulation
        .pool_accounts(simulation.wall_clock())
        .requests
        .is_empty());
    assert_eq!(simulation.checker.running_tasks(&job_id(0)), 2);
    for node in 0..NODES {
        simulation.inject_fault(FaultKind::Upgrade {
            node,
            restart_after: 1_000,
        });
        simulation.run_until(simulation.now() + 15_000);
    }
    simulation.run_until(simulation.now() + FULL);
    assert_eq!(simulation.finalized_format(), Some(3));
    assert_eq!(warm(&simulation), 2);
    audit(&simulation, "upgraded");
}

/// What the machines of a pool may cost is a limit, whatever is asked for.
#[test]
fn a_pool_is_no_larger_than_what_it_may_cost() {
    let cheap = PoolSpec {
        max_cost_per_hour: Some(33.0),
        ..pool(4, 4)
    };
    let mut simulation = simulation(11, Vec::new(), size(), &[cheap]);
    for _ in 0..120 {
        simulation.run_until(simulation.now() + 1_000);
        assert!(members(&simulation).len() <= 2, "at {}", simulation.now());
    }
    assert_eq!(warm(&simulation), 2);
    let accounts = audit(&simulation, "cost");
    let report = forkshift_pools::report::usage_report(
        &accounts,
        forkshift_pools::report::TimeSpan {
            from_ms: 0,
            to_ms: simulation.wall_clock(),
        },
        simulation.wall_clock(),
    );
    assert!(report.pools[0].unmet_s > 0.0);
}

/// A pool of spot machines takes no others, and fills again when they are taken back. The
/// leader may remove a record as soon as it says that its machine is given up: when that
/// did not end the membership as well, what was taken was charged until its removal.
#[test]
fn a_pool_of_spot_machines_is_refilled_after_they_are_reclaimed() {
    let spot = PoolSpec {
        spot: true,
        ..pool(3, 3)
    };
    for (seed, notice) in [(20, 0), (21, 5_000)] {
        let mut simulation = simulation(seed, Vec::new(), size(), std::slice::from_ref(&spot));
        simulation.run_until(FULL);
        assert_eq!(warm(&simulation), 3, "{:?}", members(&simulation));
        simulation.inject_fault(FaultKind::SpotReclaim { notice });
        simulation.run_until(FULL * 2 + 30_000);
        assert_eq!(warm(&simulation), 3, "{:?}", members(&simulation));
        let accounts = audit(&simulation, &format!("notice {notice}"));
        assert!(accounts.intervals.iter().all(|i| i.spot));
        assert!(
            !ended(&accounts, EndReason::Failed).is_empty(),
            "some were taken"
        );
    }
}

/// Memberships, how many rows there are, and what is asked for.
type Recorded = (
    Vec<(MachineId, Membership)>,
    usize,
    Vec<(String, serde_json::Value)>,
);

/// What is recorded of pools, for telling whether something was written.
fn recorded(simulation: &Simulation) -> Recorded {
    let rows = simulation.store_entries(ACCOUNT_PREFIX).len();
    (
        members(simulation),
        rows,
        simulation.store_entries(CURRENT_REQUEST_PREFIX),
    )
}

/// A day is played once to find every write of a membership and of the account, and then
/// again for each of them, with the holder ending right behind it.
#[test]
fn accounts_are_correct_when_the_holder_crashes_after_any_write() {
    const SEED: u64 = 33;
    const END: Ms = FULL + 15_000;
    let plans = || {
        let mut steady = replicas(5, 2_000, 1, "plain");
        steady.spec.gpus = 0.0;
        vec![steady, replicas(0, FULL, 2, "weights")]
    };
    let mut reference = simulation(SEED, plans(), size(), &[pool(2, 4)]);
    let mut writes = Vec::new();
    let mut before = recorded(&reference);
    while reference.now() < END {
        reference.run_until(reference.now() + 10);
        let now = recorded(&reference);
        if now != before {
            writes.push(reference.now());
            before = now;
        }
    }
    // Two machines join, fetch, are warm and leave; some of it falls into one step.
    assert!(writes.len() >= 8, "{writes:?}");
    for at in writes {
        let crash = FaultKind::Crash {
            node: 0,
            count: 1,
            restart_after: 3_000,
        };
        let kind = FaultKind::At(ControllerSelector::HolderOfJob(job_id(5)), Box::new(crash));
        let faults = vec![Fault { at, kind }];
        let pools = vec![vec![pool(2, 4)]; NODES];
        let mut simulation = Simulation::with_pools(SEED, plans(), faults, size(), pools);
        simulation.run_until(FULL * 2 + 20_000);
        let name = format!("ended at {at} ms");
        audit(&simulation, &name);
        assert_eq!(simulation.checker.running_tasks(&job_id(0)), 2, "{name}");
        assert!(warm(&simulation) >= 2, "{name}: {:?}", members(&simulation));
    }
}
