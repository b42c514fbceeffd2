//! New machines that come late, never, or at once: how long what waits for
//! them waits, what is provisioned twice, and what is paid for nothing.

mod common;

use common::Ms;
use forkshift_testkit::job_id as id;
use forkshift_testkit::{Boot, DeploymentConfig, FaultKind, JobPlan, Simulation, SlowBoots};
use forkshift_wire::users::{JobKind, Priority};

/// Seeds of the cases besides the first one, on which any draw of boots may come.
const OTHER_SEEDS: std::ops::RangeInclusive<u64> = 701..=721;
/// By now a machine that has not come up must have been replaced: 1.5 boots, and
/// what a round, the write of an intent and the cloud's answer take.
const REPLACED_WITHIN: Ms = BOOT * 3 / 2 + 2_000;

/// Boot time of every type, nominally.
const BOOT: Ms = 10_000;
/// The first job, and the pause between two: what was returned is gone by the
/// next one.
const FIRST: Ms = 5_000;
const EVERY: Ms = 60_000;
const JOBS: u32 = 4;

/// A replica that takes a whole machine.
fn replica(n: u32, at: Ms) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, JobKind::Service, 1, 0);
    plan.spec.priority = Priority::Production;
    plan.spec.cpus = 1.0;
    plan.spec.gpus = 8.0;
    plan.spec.machine_types = Some(vec!["g8".to_owned()]);
    plan
}

/// Seconds for which an overdue machine is paid for at most: it is given up after
/// three boots, and deleted within what a list may lag.
const OVERDUE_PAID_S: usize = (3 * BOOT / 1_000) as usize + 8;

/// One replica's wait for its machine.
#[derive(Debug)]
struct Wait {
    /// How long it took.
    took: Ms,
    /// Machines provisioned for it that were not up within 1.5 boots.
    overdue: u64,
    /// The longest time for which it waited for one overdue machine before
    /// another was provisioned.
    unreplaced: Ms,
}

impl Wait {
    /// The wait of a replica asked for at `asked` that began at `began`.
    fn new(boots: &[Boot], asked: Ms, began: Ms) -> Self {
        let mine: Vec<&Boot> = boots
            .iter()
            .filter(|b| (asked..began).contains(&b.provisioned_at))
            .collect();
        let is_overdue = |b: &&&Boot| b.up_at > b.provisioned_at + BOOT * 3 / 2;
        let unreplaced = |first: &Boot| {
            let later = mine.iter().map(|b| b.provisioned_at);
            let next = later.filter(|at| *at > first.provisioned_at).min();
            next.unwrap_or(began).min(began) - first.provisioned_at
        };
        let overdue: Vec<_> = mine.iter().filter(is_overdue).collect();
        Self {
            took: began - asked,
            overdue: overdue.len() as u64,
            unreplaced: overdue.iter().map(|b| unreplaced(b)).max().unwrap_or(0),
        }
    }
}

/// What is seen of a day.
struct Seen {
    /// Every replica's wait, with the machines that were provisioned for it.
    replicas: Vec<Wait>,
    /// Machines that were provisioned in the slow zone.
    there: u32,
    /// In all.
    provisioned: u32,
    /// Seconds for which machines were paid for that were not up.
    booting_s: usize,
}

fn play(name: &str, seed: u64, kind: Option<FaultKind>) -> Seen {
    let plans = (0..JOBS).map(|n| replica(n, FIRST + EVERY * u64::from(n)));
    let size = DeploymentConfig {
        limit: (96.0, 96.0),
        ..DeploymentConfig::default()
    };
    let mut simulation = Simulation::with_config(seed, plans.collect(), Vec::new(), size);
    if let Some(kind) = kind {
        simulation.inject_fault(kind);
    }
    let mut booting_s = 0;
    while simulation.now() < FIRST + EVERY * u64::from(JOBS) + 60_000 {
        simulation.run_until(simulation.now() + 1_000);
        booting_s += simulation.booting_machines();
    }
    assert_eq!(simulation.checker.violations, vec![], "{name}");
    let began = (0..JOBS).map(|n| {
        simulation
            .checker
            .began_at(&id(n))
            .unwrap_or(simulation.now())
    });
    let asked = (0..JOBS).map(|n| FIRST + EVERY * u64::from(n));
    let replicas: Vec<Wait> = began
        .zip(asked)
        .map(|(began, at)| Wait::new(simulation.boots(), at, began))
        .collect();
    let provisioned = |zone: Option<&str>| {
        let all = simulation.provisioning_log().iter();
        all.filter(|provisioned| zone.is_none_or(|zone| zone == provisioned.zone))
            .map(|provisioned| provisioned.count)
            .sum()
    };
    Seen {
        replicas,
        there: provisioned(Some("a")),
        provisioned: provisioned(None),
        booting_s,
    }
}

fn slow(zone: Option<&'static str>, boots: Option<u32>) -> Option<FaultKind> {
    let machine_type = Some("g8");
    let which = SlowBoots {
        machine_type,
        zone,
        boots,
    };
    let time = 400_000;
    Some(FaultKind::SlowBoots { which, time })
}

/// Where machines come up within 1.5 boots, a replica waits for at most two. A
/// machine that does not is replaced after 1.5 boots, which is what the replica
/// may wait longer for each such machine. One in ten machines of the stand-in
/// comes late or never, so two boots for all replicas of a day, whatever its
/// draws, was more than any scheduler can promise without provisioning twice.
#[test]
fn an_overdue_machine_is_replaced_at_once() {
    let mut overdue = 0;
    for seed in std::iter::once(700).chain(OTHER_SEEDS) {
        let seen = play("usual", seed, None);
        for wait in &seen.replicas {
            let allowed = 2 * BOOT + wait.overdue * REPLACED_WITHIN;
            assert!(wait.took < allowed, "seed {seed}: {wait:?}");
            assert!(wait.unreplaced <= REPLACED_WITHIN, "seed {seed}: {wait:?}");
            overdue += wait.overdue;
        }
    }
    assert!(overdue > 0, "no machine was overdue, so nothing was shown");
}

/// Where new machines come late or never in one zone, the first replica waits
/// until the machine is overdue; those after it are asked for elsewhere, and
/// the zone is tried again now and then.
#[test]
fn services_recover_when_new_machines_boot_late_or_never() {
    // Longest wait, machines provisioned in the slow zone and in all, and what is paid for
    // machines that are not up, in seconds.
    let cases = [
        ("usual", None, 2 * BOOT, 4, 9, 100),
        (
            "never in one zone",
            slow(Some("a"), None),
            5 * BOOT,
            3,
            12,
            250,
        ),
        (
            "late in one zone",
            slow(Some("a"), Some(4)),
            5 * BOOT,
            3,
            12,
            250,
        ),
        (
            "a little late anywhere",
            slow(None, Some(2)),
            4 * BOOT,
            9,
            16,
            400,
        ),
        (
            "at once",
            Some(FaultKind::FastBoots(400_000)),
            BOOT,
            4,
            9,
            20,
        ),
    ];
    for (name, kind, wait, there, provisioned, booting_s) in cases {
        // Where nothing is made to go wrong, what the draws make overdue counts as
        // in `an_overdue_machine_is_replaced_at_once`.
        let for_overdue = if kind.is_none() { REPLACED_WITHIN } else { 0 };
        let seen = play(name, 700, kind.clone());
        for replica in &seen.replicas {
            let allowed = wait + replica.overdue * for_overdue;
            assert!(replica.took < allowed, "{name}: {replica:?}");
        }
        assert!(seen.there <= there, "{name}: {} there", seen.there);
        assert!(
            seen.provisioned <= provisioned,
            "{name}: {} rented",
            seen.provisioned
        );
        let overdue = seen
            .replicas
            .iter()
            .map(|w| w.overdue as usize)
            .sum::<usize>();
        let drawn = if kind.is_none() { overdue } else { 0 };
        let paid = booting_s + drawn * OVERDUE_PAID_S;
        assert!(seen.booting_s < paid, "{name}: {} s", seen.booting_s);
    }
}
