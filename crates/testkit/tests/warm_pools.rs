//! Warm pools: the start times that they give, and failures of machines and controllers
//! while pools are filled, used and withdrawn. After each simulation the usage accounts of
//! all pools are audited against the machine lifetimes that the simulated cloud charged.

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

const CONTROLLERS: usize = 3;
/// When pools are full: the format is finalized and all machines have booted and fetched
/// their image, even if the first machines booted late or never.
const POOLS_FULL_AT: Ms = 70_000;
/// Upper bound for the start time of a replica that gets a warm machine.
const MAX_WARM_START_MS: Ms = 3_000;
/// By how much a charged interval may lie outside the lifetime of its machine: state
/// changes are recorded in steps, and a failed machine is detected only by missing
/// heartbeats.
const AUDIT_TOLERANCE_MS: Ms = 1_000;

fn size() -> DeploymentConfig {
    DeploymentConfig {
        controllers: CONTROLLERS,
        guarantee: (64.0, 32.0),
        limit: (256.0, 96.0),
        announces_images: true,
        ..DeploymentConfig::default()
    }
}

/// A pool of `min_machines` to `max_machines` machines with eight GPUs each. Its image takes
/// five seconds to fetch.
fn pool(min_machines: u32, max_machines: u32) -> PoolSpec {
    PoolSpec {
        name: "help".to_owned(),
        team: "team-0".to_owned(),
        image: "weights".to_owned(),
        image_gb: 20.0,
        types: vec!["g8".to_owned()],
        min_machines,
        max_machines,
        ..PoolSpec::default()
    }
}

/// A service of high priority whose replicas each fill a machine.
fn replica_service(n: u32, at: Ms, tasks: u32, image: &str) -> JobPlan {
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
    Simulation::with_pools(
        seed,
        plans,
        Vec::new(),
        size,
        vec![pools.to_vec(); CONTROLLERS],
    )
}

/// The pool memberships that have not ended.
fn active_members(simulation: &Simulation) -> Vec<(MachineId, Membership)> {
    simulation.pool_members()
}

fn warm_machines(simulation: &Simulation) -> usize {
    let active_members = active_members(simulation);
    active_members
        .iter()
        .filter(|(_, m)| m.state == PoolState::Warm)
        .count()
}

/// Asserts that no checker rule was violated, and that every second of a machine is charged
/// at most once and within the lifetime of the machine. Returns the accounts.
fn audit(simulation: &Simulation, name: &str) -> UsageRecords {
    assert_eq!(
        simulation.checker.violations,
        vec![],
        "{name}: rules violated"
    );
    let accounts = simulation.pool_accounts(simulation.wall_clock());
    let lives = simulation.billing_periods_from(simulation.wall_clock() - simulation.now());
    let found = audit_errors(&accounts.intervals, &lives, AUDIT_TOLERANCE_MS);
    assert_eq!(found, vec![], "{name}: audit errors");
    accounts
}

fn intervals_ended_by(accounts: &UsageRecords, why: EndReason) -> Vec<&UsageInterval> {
    let intervals = accounts.intervals.iter();
    intervals.filter(|i| i.end_reason == Some(why)).collect()
}

/// How long the first task of a job submitted at `at` waited for its start.
fn start_delay(simulation: &Simulation, n: u32, at: Ms) -> Ms {
    simulation
        .checker
        .began_at(&job_id(n))
        .map_or(Ms::MAX, |began| began - at)
}

/// Replicas that need a boot and a fetch start late. Those of a burst must start at once on
/// warm machines, and the pool must be refilled afterwards.
#[test]
fn a_burst_starts_at_once_with_a_warm_pool_and_after_a_boot_without() {
    for seed in 1..=5 {
        let burst = || vec![replica_service(0, POOLS_FULL_AT, 3, "weights")];
        let mut with = simulation(seed, burst(), size(), &[pool(3, 6)]);
        with.run_until(POOLS_FULL_AT);
        assert_eq!(
            warm_machines(&with),
            3,
            "seed {seed}: {:?}",
            active_members(&with)
        );
        with.run_until(POOLS_FULL_AT + MAX_WARM_START_MS * 2);
        assert_eq!(
            with.checker.running_tasks(&job_id(0)),
            3,
            "seed {seed}: not all replicas started"
        );
        assert!(
            start_delay(&with, 0, POOLS_FULL_AT) <= MAX_WARM_START_MS,
            "seed {seed}"
        );
        with.run_until(POOLS_FULL_AT * 2);
        assert!(
            warm_machines(&with) >= 3,
            "seed {seed}: the pool is not refilled"
        );
        let accounts = audit(&with, "with");
        assert_eq!(
            intervals_ended_by(&accounts, EndReason::Allocated).len(),
            3,
            "seed {seed}"
        );
        assert_eq!(accounts.cold_starts, vec![], "seed {seed}");

        let mut without = simulation(seed, burst(), size(), &[]);
        without.run_until(POOLS_FULL_AT * 2);
        assert!(
            start_delay(&without, 0, POOLS_FULL_AT) > 2 * MAX_WARM_START_MS,
            "seed {seed}"
        );
        assert!(audit(&without, "without").intervals.is_empty());
    }
}

/// A worker that does not announce its images is never asked to prefetch one. Its machine
/// must be counted as up and never as warm, and still be handed out to save the boot.
#[test]
fn machines_of_workers_that_announce_nothing_are_up_and_never_warm() {
    let size = DeploymentConfig {
        announces_images: false,
        ..size()
    };
    let mut simulation = simulation(
        1,
        vec![replica_service(0, POOLS_FULL_AT, 1, "weights")],
        size,
        &[pool(2, 4)],
    );
    simulation.run_until(POOLS_FULL_AT);
    let states: Vec<PoolState> = active_members(&simulation)
        .iter()
        .map(|(_, m)| m.state)
        .collect();
    assert_eq!(states, vec![PoolState::Up; 2]);
    simulation.run_until(POOLS_FULL_AT + 30_000);
    let accounts = audit(&simulation, "up");
    let shows_image = |i: &&UsageInterval| matches!(i.state, PoolState::Fetching | PoolState::Warm);
    assert_eq!(accounts.intervals.iter().find(shows_image), None);
    assert_eq!(intervals_ended_by(&accounts, EndReason::Allocated).len(), 1);
}

/// A burst for an image without warm machines must have machines provisioned as usual. It
/// must not reduce another pool below its minimum, and its tasks are counted as cold starts
/// of the pool with their image.
#[test]
fn a_burst_without_warm_machines_leaves_other_pools_alone_and_is_counted() {
    let other = PoolSpec {
        name: "other".to_owned(),
        image: "other".to_owned(),
        ..pool(0, 1)
    };
    let plans = vec![
        replica_service(0, POOLS_FULL_AT, 3, "other"),
        replica_service(1, POOLS_FULL_AT, 1, "plain"),
    ];
    let mut simulation = simulation(2, plans, size(), &[pool(2, 4), other]);
    simulation.run_until(POOLS_FULL_AT + 1_000);
    for _ in 0..40 {
        simulation.run_until(simulation.now() + 1_000);
        let kept = active_members(&simulation);
        let kept = kept
            .iter()
            .filter(|(_, m)| m.pool.as_str() == "help")
            .count();
        assert!(kept >= 2, "at {}", simulation.now());
    }
    simulation.run_until(POOLS_FULL_AT + 60_000);
    assert_eq!(simulation.checker.running_tasks(&job_id(0)), 3);
    assert_eq!(simulation.checker.running_tasks(&job_id(1)), 1);
    let accounts = audit(&simulation, "misses");
    let [miss] = accounts.cold_starts.as_slice() else {
        panic!("{:?}", accounts.cold_starts);
    };
    assert_eq!((miss.pool.as_str(), miss.tasks), ("other", 3));
    assert!(intervals_ended_by(&accounts, EndReason::Reclaimed).is_empty());
}

/// Of three machines two are in use and one belongs to a pool. A gang within its team's
/// guarantee may reclaim that machine while a burst for the pool may be handed it. Exactly
/// one of them must get the machine, whether or not the gang's team is in the pool's shard.
#[test]
fn a_machine_is_reclaimed_by_a_gang_or_handed_out_and_never_both() {
    /// A delay of the burst after which only the gang can have the machine.
    const ALONE: Ms = 40_000;
    for team in ["team-3", "team-1"] {
        let mut reclaims = 0;
        for (seed, burst_at) in (1..).zip([0, 500, 1_500, 2_500, 3_000, 3_500, ALONE, ALONE]) {
            let mut gang = JobPlan::plain(1, POOLS_FULL_AT, JobKind::Gang, 1, 200_000);
            gang.spec.team = team.to_owned();
            gang.spec.gpus = 8.0;
            gang.spec.priority = Priority::High;
            let plans = vec![
                replica_service(9, 2_000, 2, "plain"),
                gang,
                replica_service(0, POOLS_FULL_AT + burst_at, 1, "weights"),
            ];
            let size = DeploymentConfig {
                capacity: 1,
                ..size()
            };
            let mut simulation = simulation(seed, plans, size, &[pool(1, 1)]);
            let name = format!("{team}, burst {burst_at} ms later");
            simulation.run_until(POOLS_FULL_AT);
            assert_eq!(
                warm_machines(&simulation),
                1,
                "{name}: {:?}",
                active_members(&simulation)
            );
            simulation.run_until(POOLS_FULL_AT + 25_000);
            let accounts = audit(&simulation, &name);
            let handed_out = intervals_ended_by(&accounts, EndReason::Allocated).len();
            let reclaimed = intervals_ended_by(&accounts, EndReason::Reclaimed).len();
            assert_eq!(
                handed_out + reclaimed,
                1,
                "{name}: {handed_out} handed out and {reclaimed} reclaimed"
            );
            let began = [0, 1].map(|n| simulation.checker.began_at(&job_id(n)).is_some());
            assert_eq!(began, [handed_out == 1, reclaimed == 1], "{name}");
            assert!(
                burst_at < ALONE || reclaimed == 1,
                "{name}: no burst competes, but the gang got no machine"
            );
            reclaims += reclaimed;
        }
        assert!(
            (2..8).contains(&reclaims),
            "{team}: {reclaims} of 8 reclaimed, both outcomes must occur"
        );
    }
}

/// A worker may evict the pool's image. The machine must return to fetching, and the time of
/// the second fetch must be accounted as fetching and not as warm.
#[test]
fn evicted_weights_are_fetched_again_and_the_time_is_accounted_apart() {
    let mut simulation = simulation(3, Vec::new(), size(), &[pool(2, 2)]);
    simulation.run_until(POOLS_FULL_AT);
    assert_eq!(warm_machines(&simulation), 2);
    let ids = active_members(&simulation)
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    simulation.inject_fault(FaultKind::Machines(
        MachineSelector::Named(ids),
        MachineFault::EvictImages,
    ));
    simulation.run_until(POOLS_FULL_AT + 3_000);
    assert_eq!(warm_machines(&simulation), 0);
    simulation.run_until(POOLS_FULL_AT + 15_000);
    assert_eq!(warm_machines(&simulation), 2);
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

/// A fetch that never ends would keep a machine in the pool that never becomes warm. The
/// machine must be replaced after a timeout.
#[test]
fn a_machine_whose_fetch_never_ends_is_replaced() {
    let mut simulation = simulation(4, Vec::new(), size(), &[pool(1, 1)]);
    while active_members(&simulation)
        .iter()
        .all(|(_, m)| m.state != PoolState::Fetching)
    {
        simulation.run_until(simulation.now() + 100);
        assert!(simulation.now() < POOLS_FULL_AT, "no machine fetches");
    }
    let stuck = active_members(&simulation)[0].0.clone();
    let never = MachineFault::StuckPrefetch(Ms::MAX / 4);
    simulation.inject_fault(FaultKind::Machines(
        MachineSelector::Named(vec![stuck.clone()]),
        never,
    ));
    simulation.run_until(simulation.now() + 90_000);
    let accounts = audit(&simulation, "stuck");
    let stalled: Vec<&MachineId> = intervals_ended_by(&accounts, EndReason::FetchTimedOut)
        .iter()
        .map(|i| &i.machine)
        .collect();
    assert_eq!(stalled, vec![&stuck]);
    assert_eq!(warm_machines(&simulation), 1);
    assert_ne!(active_members(&simulation)[0].0, stuck);
}

/// The machines of a pool crash, hang or are partitioned, with one fault at a time and with
/// several. The pool must be refilled.
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
        simulation.run_until(POOLS_FULL_AT);
        assert_eq!(
            warm_machines(&simulation),
            3,
            "case {n} at {}: {:?}",
            simulation.now(),
            active_members(&simulation)
        );
        for (fault, (id, _)) in faults.into_iter().zip(active_members(&simulation)) {
            simulation.inject_fault(FaultKind::Machines(MachineSelector::Named(vec![id]), fault));
        }
        simulation.run_until(POOLS_FULL_AT * 2);
        assert_eq!(
            warm_machines(&simulation),
            3,
            "case {n} at {}: {:?}",
            simulation.now(),
            active_members(&simulation)
        );
        audit(&simulation, &format!("case {n}"));
    }
}

/// The shard holder crashes at any moment between two writes of a membership, in every third
/// case together with the leader, while the pool is filled and in a burst. A new holder must
/// neither charge a second twice nor lose a machine.
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
            true => POOLS_FULL_AT - 500 + (n - 18) * 250,
            false => 6_000 + n * 1_500,
        };
        let mut faults = vec![crash(holder(), at)];
        if n % 3 == 0 {
            faults.push(crash(ControllerSelector::Leader, at));
        }
        // A running job of the team, by which the holder of its shard is selected.
        let mut steady = replica_service(5, 2_000, 1, "plain");
        steady.spec.gpus = 0.0;
        let plans = vec![steady, replica_service(0, POOLS_FULL_AT, 2, "weights")];
        let pools = vec![vec![pool(2, 4)]; CONTROLLERS];
        let mut simulation = Simulation::with_pools(n, plans, faults, size(), pools);
        simulation.run_until(POOLS_FULL_AT * 2 + 20_000);
        let name = format!("case {n}, {at} ms");
        let accounts = audit(&simulation, &name);
        assert_eq!(simulation.unfinished_jobs(), Vec::<String>::new(), "{name}");
        assert_eq!(simulation.checker.running_tasks(&job_id(0)), 2, "{name}");
        assert!(
            warm_machines(&simulation) >= 2,
            "{name}: {:?}",
            active_members(&simulation)
        );
        let handed_out = intervals_ended_by(&accounts, EndReason::Allocated).len();
        assert!(handed_out <= 2, "{name}: {handed_out} handed out");
        // A new holder has no heartbeats of the pool's machines at first. Tasks that it then
        // places elsewhere must not be counted as cold starts.
        let cold_starts = accounts.cold_starts.len();
        assert!(
            handed_out < 2 || cold_starts == 0,
            "{name}: {cold_starts} cold starts though both machines were handed out"
        );
    }
}

/// A write whose response is lost may have been executed at once or be executed late. The
/// retry must not charge the same time again.
#[test]
fn accounts_are_correct_when_responses_to_writes_are_lost() {
    for seed in 0..6 {
        let lost_responses = FaultKind::LostWriteResponses {
            percent: 30,
            key_prefix: None,
            executes_at_once: seed % 2 == 0,
            time: 60_000,
        };
        let faults = vec![Fault {
            at: 8_000,
            kind: lost_responses,
        }];
        let plans = vec![replica_service(0, POOLS_FULL_AT, 2, "weights")];
        let pools = vec![vec![pool(2, 3)]; CONTROLLERS];
        let mut simulation = Simulation::with_pools(seed, plans, faults, size(), pools);
        simulation.run_until(POOLS_FULL_AT * 2 + 40_000);
        audit(&simulation, &format!("seed {seed}"));
        assert!(
            warm_machines(&simulation) >= 2,
            "seed {seed}: {:?}",
            active_members(&simulation)
        );
    }
}

/// A pool's time window ends during an outage of the state service. The pool must keep its
/// machines until their return can be recorded, then return them and not be refilled.
#[test]
fn an_outage_across_a_windows_end_keeps_the_pool_until_it_can_be_recorded() {
    // Simulations start 1,000 s after the Unix epoch, so the window, which ends at 00:18,
    // ends after 80 s of virtual time.
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
    let pools = vec![vec![windowed]; CONTROLLERS];
    let mut simulation = Simulation::with_pools(6, Vec::new(), faults, size(), pools);
    simulation.run_until(74_000);
    assert_eq!(warm_machines(&simulation), 2);
    simulation.run_until(95_000);
    assert_eq!(
        active_members(&simulation).len(),
        2,
        "machines left unrecorded"
    );
    simulation.run_until(150_000);
    assert_eq!(active_members(&simulation), vec![]);
    assert_eq!(simulation.machines(), 0, "not all machines were returned");
    let accounts = audit(&simulation, "outage");
    assert_eq!(intervals_ended_by(&accounts, EndReason::ScaledIn).len(), 2);
    let asked = accounts.requests.iter().filter(|a| a.to_ms.is_none());
    assert_eq!(asked.map(|a| a.machines).collect::<Vec<_>>(), vec![0]);
}

/// Restarts a controller with a declaration of pools and waits until it runs again.
fn restart_with_pools(simulation: &mut Simulation, node: usize, pools: Vec<PoolSpec>) {
    simulation.declare_pools(node, pools);
    simulation.inject_fault(FaultKind::Crash {
        node,
        count: 1,
        restart_after: 1_000,
    });
    simulation.run_until(simulation.now() + 20_000);
}

/// Pools must be filled only after all controllers declare them, because a controller
/// without the declaration would return their machines. They must end when the controllers
/// are restarted without them one by one.
#[test]
fn pools_begin_when_all_declare_them_and_end_where_they_are_withdrawn() {
    let declared = || vec![pool(2, 2)];
    let pools = vec![declared(), declared(), Vec::new()];
    let early = vec![replica_service(0, 20_000, 1, "weights")];
    let mut simulation = Simulation::with_pools(7, early, Vec::new(), size(), pools);
    simulation.run_until(POOLS_FULL_AT);
    assert_eq!(
        simulation.finalized_format(),
        Some(2),
        "one controller declares no pool"
    );
    assert!(audit(&simulation, "not declared by one")
        .intervals
        .is_empty());
    restart_with_pools(&mut simulation, 2, declared());
    simulation.run_until(POOLS_FULL_AT * 2);
    assert_eq!(simulation.finalized_format(), Some(3));
    assert_eq!(warm_machines(&simulation), 2);
    let cold_starts = audit(&simulation, "declared by all").cold_starts;
    assert_eq!(
        cold_starts,
        vec![],
        "jobs started before the pools are no cold starts"
    );
    // A controller without the declaration returns the machines and still holds shards.
    for node in 0..CONTROLLERS {
        restart_with_pools(&mut simulation, node, Vec::new());
    }
    simulation.run_until(simulation.now() + 30_000);
    assert_eq!(active_members(&simulation), vec![]);
    let accounts = audit(&simulation, "withdrawn");
    assert!(intervals_ended_by(&accounts, EndReason::PoolRemoved).len() >= 2);
    let asked = accounts.requests.iter().filter(|a| a.to_ms.is_none());
    assert_eq!(asked.map(|a| a.machines).collect::<Vec<_>>(), vec![0]);
    assert!((0..CONTROLLERS).any(|n| simulation.holds_shards(n)));
}

/// A pool's declaration changes its image and its size with a restart of the controllers.
/// The new holder must replace and return machines accordingly.
#[test]
fn a_pool_follows_a_changed_declaration() {
    let mut simulation = simulation(8, Vec::new(), size(), &[pool(2, 2)]);
    simulation.run_until(POOLS_FULL_AT);
    assert_eq!(warm_machines(&simulation), 2);
    let changed = PoolSpec {
        image: "newer".to_owned(),
        ..pool(1, 1)
    };
    for node in 0..CONTROLLERS {
        restart_with_pools(&mut simulation, node, vec![changed.clone()]);
    }
    simulation.run_until(simulation.now() + 30_000);
    assert_eq!(
        warm_machines(&simulation),
        1,
        "{:?}",
        active_members(&simulation)
    );
    let accounts = audit(&simulation, "changed");
    assert!(!intervals_ended_by(&accounts, EndReason::ScaledIn).is_empty());
}

/// A release without pools cannot read their records. None may be written before all
/// controllers have registered with the new release, so that an upgrade can be rolled back
/// until then.
#[test]
fn nothing_of_pools_is_written_beside_an_old_release() {
    let size = DeploymentConfig {
        starts_with_old_release: true,
        ..size()
    };
    let pools = vec![vec![pool(2, 2)]; CONTROLLERS];
    let plans = vec![replica_service(0, 5_000, 2, "weights")];
    let mut simulation = Simulation::with_pools(9, plans, Vec::new(), size, pools);
    simulation.run_until(20_000);
    for node in 0..CONTROLLERS - 1 {
        simulation.inject_fault(FaultKind::Upgrade {
            node,
            restart_after: 1_000,
        });
        simulation.run_until(simulation.now() + 15_000);
    }
    for node in 0..CONTROLLERS - 1 {
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
    for node in 0..CONTROLLERS {
        simulation.inject_fault(FaultKind::Upgrade {
            node,
            restart_after: 1_000,
        });
        simulation.run_until(simulation.now() + 15_000);
    }
    simulation.run_until(simulation.now() + POOLS_FULL_AT);
    assert_eq!(simulation.finalized_format(), Some(3));
    assert_eq!(warm_machines(&simulation), 2);
    audit(&simulation, "upgraded");
}

/// A pool's cost limit must bound the number of its machines even below its minimum, and the
/// unmet minimum is reported.
#[test]
fn the_cost_limit_of_a_pool_bounds_its_machines() {
    let limited_pool = PoolSpec {
        max_cost_per_hour: Some(33.0),
        ..pool(4, 4)
    };
    let mut simulation = simulation(11, Vec::new(), size(), &[limited_pool]);
    for _ in 0..120 {
        simulation.run_until(simulation.now() + 1_000);
        assert!(
            active_members(&simulation).len() <= 2,
            "at {}",
            simulation.now()
        );
    }
    assert_eq!(warm_machines(&simulation), 2);
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

/// A pool of spot machines contains no others, and must be refilled after a reclaim by the
/// cloud. The leader may remove a machine record as soon as the record is marked
/// decommissioned. If that mark did not end the pool membership too, a reclaimed machine
/// would be charged until its record is removed.
#[test]
fn a_pool_of_spot_machines_is_refilled_after_they_are_reclaimed() {
    let spot = PoolSpec {
        spot: true,
        ..pool(3, 3)
    };
    for (seed, notice) in [(20, 0), (21, 5_000)] {
        let mut simulation = simulation(seed, Vec::new(), size(), std::slice::from_ref(&spot));
        simulation.run_until(POOLS_FULL_AT);
        assert_eq!(
            warm_machines(&simulation),
            3,
            "{:?}",
            active_members(&simulation)
        );
        simulation.inject_fault(FaultKind::SpotReclaim { notice });
        simulation.run_until(POOLS_FULL_AT * 2 + 30_000);
        assert_eq!(
            warm_machines(&simulation),
            3,
            "{:?}",
            active_members(&simulation)
        );
        let accounts = audit(&simulation, &format!("notice {notice}"));
        assert!(accounts.intervals.iter().all(|i| i.spot));
        assert!(
            !intervals_ended_by(&accounts, EndReason::Failed).is_empty(),
            "no machine was reclaimed"
        );
    }
}

/// Pool memberships, the number of account rows, and the current request of each pool.
type PoolRecords = (
    Vec<(MachineId, Membership)>,
    usize,
    Vec<(String, serde_json::Value)>,
);

/// Reads all stored records of pools, to detect whether one was written.
fn pool_records(simulation: &Simulation) -> PoolRecords {
    let rows = simulation.store_entries(ACCOUNT_PREFIX).len();
    (
        active_members(simulation),
        rows,
        simulation.store_entries(CURRENT_REQUEST_PREFIX),
    )
}

/// One simulation finds every write of a membership or an account. For each of these writes
/// the simulation is repeated with a crash of the shard holder right after the write; the
/// accounts must be correct each time.
#[test]
fn accounts_are_correct_when_the_holder_crashes_after_any_write() {
    const SEED: u64 = 33;
    const END: Ms = POOLS_FULL_AT + 15_000;
    let plans = || {
        let mut steady = replica_service(5, 2_000, 1, "plain");
        steady.spec.gpus = 0.0;
        vec![steady, replica_service(0, POOLS_FULL_AT, 2, "weights")]
    };
    let mut reference = simulation(SEED, plans(), size(), &[pool(2, 4)]);
    let mut writes = Vec::new();
    let mut before = pool_records(&reference);
    while reference.now() < END {
        reference.run_until(reference.now() + 10);
        let now = pool_records(&reference);
        if now != before {
            writes.push(reference.now());
            before = now;
        }
    }
    // Two machines join, fetch, become warm and leave; several writes may fall into one step
    // of 10 ms.
    assert!(writes.len() >= 8, "{writes:?}");
    for at in writes {
        let crash = FaultKind::Crash {
            node: 0,
            count: 1,
            restart_after: 3_000,
        };
        let kind = FaultKind::At(ControllerSelector::HolderOfJob(job_id(5)), Box::new(crash));
        let faults = vec![Fault { at, kind }];
        let pools = vec![vec![pool(2, 4)]; CONTROLLERS];
        let mut simulation = Simulation::with_pools(SEED, plans(), faults, size(), pools);
        simulation.run_until(POOLS_FULL_AT * 2 + 20_000);
        let name = format!("holder crashes at {at} ms");
        audit(&simulation, &name);
        assert_eq!(simulation.checker.running_tasks(&job_id(0)), 2, "{name}");
        assert!(
            warm_machines(&simulation) >= 2,
            "{name}: {:?}",
            active_members(&simulation)
        );
    }
}
