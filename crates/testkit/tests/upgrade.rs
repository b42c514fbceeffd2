//! Upgrades from the first release while it serves, and limits that fall.

mod common;
#[allow(unreachable_pub, reason = "a frozen copy of the first release's types")]
mod production;

use common::{assert_ran_and_rules_kept, fault};
use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    Day, DeploymentConfig, Fault, FaultKind, FaultSchedule, JobPlan, NextLimits, Simulation,
};
use forkshift_wire::users::{JobKind, JobStage};

const LIMITS: NextLimits = NextLimits {
    write_rps: 56.0,
    value_kb: 2,
    txn_ops: 4,
};

fn size() -> DeploymentConfig {
    DeploymentConfig {
        next_limits: Some(LIMITS),
        starts_with_old_release: true,
        ..DeploymentConfig::default()
    }
}

fn upgrade(at: u64, node: usize) -> Fault {
    fault(
        at,
        FaultKind::Upgrade {
            node,
            restart_after: 3_000,
        },
    )
}

/// An array of which no task is too large for anything.
fn array(n: u32, at: u64, tasks: u32, run_ms: u64) -> JobPlan {
    let mut plan = JobPlan::plain(n, at, JobKind::Array, tasks, run_ms);
    plan.spec.cpus = 0.5;
    plan.spec.gpus = 0.0;
    plan.spec.memory_gb = 0.5;
    plan
}

fn chained(n: u32, at: u64, needs: &[u32]) -> JobPlan {
    let mut plan = array(n, at, 2, 3_000);
    plan.spec.dependencies = needs.iter().map(|n| id(*n)).collect();
    plan
}

/// A service, an array of two records, and a pipeline with a fan-out and a join.
fn plans() -> Vec<JobPlan> {
    let mut service = JobPlan::plain(1, 2_000, JobKind::Service, 2, 1_000_000);
    service.spec.class = "serve".to_owned();
    let other_team = |mut plan: JobPlan| {
        plan.spec.team = "team-1".to_owned();
        plan
    };
    vec![
        service,
        array(2, 3_000, 150, 30_000),
        array(3, 60_000, 2, 3_000),
        other_team(chained(4, 60_100, &[3])),
        chained(5, 60_200, &[3, 2]),
        chained(6, 60_300, &[4, 5]),
    ]
}

/// All orders in which three controllers take their turns; before, during and
/// after a turn another one ends, and limits fall while that is so.
#[test]
fn rules_hold_for_every_order_of_an_upgrade() {
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    let crash = |at, node| {
        let (count, restart_after) = (1, 2_000);
        fault(
            at,
            FaultKind::Crash {
                node,
                count,
                restart_after,
            },
        )
    };
    for order in orders {
        for ends_at in [15_000, 21_000, 26_000, 36_000] {
            let mut faults: Vec<Fault> = (0..)
                .zip(order)
                .map(|(i, n)| upgrade(20_000 + i * 8_000, n))
                .collect();
            faults.push(crash(ends_at, order[2]));
            faults.push(fault(50_000, FaultKind::LowerLimits));
            faults.push(crash(70_000, order[1]));
            let mut simulation = Simulation::with_config(41, plans(), faults, size());
            simulation.run_until(240_000);
            let name = format!("{order:?}, one ends at {ends_at}");
            assert_ran_and_rules_kept(&name, &simulation);
            assert_eq!(simulation.finalized_format(), Some(2), "{name}");
            assert_eq!(
                simulation.checker.final_stage(&id(6)),
                Some(JobStage::Done),
                "{name}"
            );
            assert_eq!(simulation.oversized_transactions(), 0, "{name}: too large");
        }
    }
}

/// Nothing is finalized while one has not registered as the new release, be it
/// there or not, and jobs that would need it are not accepted.
#[test]
fn a_format_is_not_finalized_while_a_controller_is_down() {
    let away = |node| {
        fault(
            22_000,
            FaultKind::Crash {
                node,
                count: 1,
                restart_after: 400_000,
            },
        )
    };
    for (name, faults) in [
        ("it is there", vec![upgrade(20_000, 0), upgrade(24_000, 1)]),
        (
            "it is away",
            vec![upgrade(20_000, 0), away(2), upgrade(24_000, 1)],
        ),
    ] {
        let mut simulation = Simulation::with_config(42, plans(), faults, size());
        simulation.run_until(120_000);
        assert_eq!(simulation.finalized_format(), None, "{name}");
        assert!(simulation.checker.is_accepted(&id(3)), "{name}");
        assert!(!simulation.checker.is_accepted(&id(4)), "{name}");
        assert_eq!(simulation.checker.violations, vec![], "{name}");
    }
}

/// Until finalization every record and message is one that the first release
/// reads without a loss, apart from what a controller says of itself.
#[test]
fn the_first_release_reads_all_that_is_written_before_finalization() {
    let faults = vec![upgrade(20_000, 0), upgrade(24_000, 1)];
    let mut simulation = Simulation::with_config(43, plans(), faults, size());
    simulation.record_puts_and_messages();
    simulation.run_until(110_000);
    for kind in [
        "node/", "leader", "share/", "machine/", "charter/", "demand/",
    ] {
        let prefix = format!("c/{kind}");
        let mut keys = simulation.recorded_puts().iter().map(|(key, _)| key);
        assert!(keys.any(|key| key.starts_with(&prefix)), "no {prefix}");
    }
    assert!(!simulation.recorded_messages().is_empty());
    for (key, value) in simulation.recorded_puts() {
        let mut expected = value.clone();
        if let (true, Some(fields)) = (key.starts_with("c/node/"), expected.as_object_mut()) {
            fields.remove("format");
        }
        let read = production::rewrite(key, value);
        let read = read.unwrap_or_else(|e| panic!("{key}: {e}, {value}"));
        assert_eq!(read, expected, "{key}");
    }
    for message in simulation.recorded_messages() {
        production::read_message(message).expect("the first release reads it");
    }
}

/// What the first release wrote and told, recorded from it, is read and written
/// again to the same bytes.
#[test]
fn records_and_messages_of_the_first_release_are_readable() {
    use forkshift_core::records as new;
    use serde_json::{from_value, to_value, Value};
    let mut kinds = std::collections::BTreeSet::new();
    for line in include_str!("production/records.jsonl").lines() {
        let record: Value = serde_json::from_str(line).expect("a recorded line");
        let key = record["key"].as_str().expect("a key").to_owned();
        let value = record["data"].clone();
        let parts: Vec<&str> = key.split('/').collect();
        let again = match parts.as_slice() {
            ["c", "node", _] => from_value::<new::NodeRecord>(value.clone()).and_then(to_value),
            ["c", "leader"] => from_value::<new::LeaderRecord>(value.clone()).and_then(to_value),
            ["c", "share", _] => from_value::<new::ShardRecord>(value.clone()).and_then(to_value),
            ["c", "machine", _] => {
                from_value::<new::MachineRecord>(value.clone()).and_then(to_value)
            }
            ["c", "charter", _] => {
                from_value::<new::ProvisioningIntent>(value.clone()).and_then(to_value)
            }
            ["c", "demand", _] => from_value::<new::DemandRecord>(value.clone()).and_then(to_value),
            ["job", _] => from_value::<new::JobRecord>(value.clone()).and_then(to_value),
            ["live", _, _] => from_value::<new::JobHeadRecord>(value.clone()).and_then(to_value),
            _ => Ok(value.clone()),
        };
        assert_eq!(again.expect("it is read"), value, "{key}");
        kinds.insert(
            parts[..parts.len() - 1]
                .join("/")
                .trim_end_matches(char::is_numeric)
                .to_owned(),
        );
    }
    assert!(kinds.len() >= 8, "{kinds:?}");
    let hex = |line: &str| -> Vec<u8> {
        let pairs = (0..line.len()).step_by(2).map(|i| &line[i..i + 2]);
        pairs
            .map(|p| u8::from_str_radix(p, 16).expect("hex"))
            .collect()
    };
    for line in include_str!("production/messages.hex").lines() {
        let bytes = hex(line);
        let message = forkshift_wire::peer::Envelope::decode(&bytes).expect("it is read");
        assert_eq!(message.encode().expect("it is written"), bytes);
    }
}

/// A controller that comes back as the old release after finalization can't
/// read what is written: it gets no share, whatever it does.
#[test]
fn an_old_controller_after_finalization_gets_no_shard() {
    let mut faults: Vec<Fault> = (0..3)
        .map(|n| upgrade(20_000 + n as u64 * 5_000, n))
        .collect();
    let restart_after = 2_000;
    faults.push(fault(
        80_000,
        FaultKind::Downgrade {
            node: 1,
            restart_after,
        },
    ));
    let mut simulation = Simulation::with_config(44, plans(), faults, size());
    simulation.run_until(90_000);
    while simulation.now() < 200_000 {
        simulation.run_until(simulation.now() + 500);
        let held = simulation.holds_shards(1);
        assert!(!held, "it holds a shard at {}", simulation.now());
    }
    assert_ran_and_rules_kept("downgrade", &simulation);
}

/// The state service is out as the last controller comes back, and late
/// transactions of the old ones land after that.
#[test]
fn rules_hold_when_an_outage_and_late_writes_surround_finalization() {
    for from in [32_000, 34_000, 36_500] {
        let mut faults: Vec<Fault> = (0..3)
            .map(|n| upgrade(20_000 + n as u64 * 6_000, n))
            .collect();
        faults.push(fault(18_000, FaultKind::LateWrites(16_000)));
        faults.push(fault(from, FaultKind::StoreOutage(12_000)));
        faults.push(fault(70_000, FaultKind::LowerLimits));
        let mut simulation = Simulation::with_config(45, plans(), faults, size());
        simulation.run_until(260_000);
        assert_ran_and_rules_kept(&format!("outage from {from}"), &simulation);
        assert_eq!(simulation.finalized_format(), Some(2), "outage from {from}");
    }
}

/// A job of several hundred tasks, recorded by the first release, while the
/// limits fall and its holders end one after the other.
#[test]
fn large_records_are_moved_while_holders_end() {
    for pause in [300, 700, 1_500] {
        let mut faults: Vec<Fault> = (0..3)
            .map(|n| upgrade(20_000 + n as u64 * 4_000, n))
            .collect();
        faults.push(fault(33_000, FaultKind::LowerLimits));
        for i in 0..12 {
            let (node, count, restart_after) = ((i % 3) as usize, 1, 900);
            let at = 33_200 + i * (4_000 + pause);
            faults.push(fault(
                at,
                FaultKind::Crash {
                    node,
                    count,
                    restart_after,
                },
            ));
        }
        let plans = vec![array(1, 3_000, 280, 6_000), array(2, 4_000, 120, 40_000)];
        let mut simulation = Simulation::with_config(46, plans, faults, size());
        simulation.run_until(300_000);
        assert_ran_and_rules_kept(&format!("pause {pause}"), &simulation);
    }
}

/// A long chain is cancelled in time by the cancellation of its first job, and
/// so is what is submitted after it.
#[test]
fn a_chain_of_hundreds_is_cancelled_with_its_first_job() {
    let length = 250;
    let mut plans = vec![array(1, 5_000, 1, 900_000)];
    plans[0].cancel_at = Some(80_000);
    for n in 2..=length {
        plans.push(chained(n, 6_000 + u64::from(n) * 150, &[n - 1]));
    }
    plans.push(chained(length + 1, 95_000, &[1]));
    let mut simulation = Simulation::with_config(47, plans, vec![], DeploymentConfig::default());
    simulation.run_until(300_000);
    assert_ran_and_rules_kept("chain", &simulation);
    for n in 1..=length + 1 {
        assert_eq!(
            simulation.checker.final_stage(&id(n)),
            Some(JobStage::Cancelled),
            "j-{n}"
        );
    }
}

/// Many jobs wait for one.
#[test]
fn hundreds_of_dependents_begin_when_their_job_is_done() {
    let dependents = 200;
    let mut plans = vec![array(1, 5_000, 1, 60_000)];
    for n in 2..=dependents {
        plans.push(chained(n, 6_000 + u64::from(n) * 150, &[1]));
    }
    let mut simulation = Simulation::with_config(48, plans, vec![], DeploymentConfig::default());
    simulation.run_until(240_000);
    assert_ran_and_rules_kept("dependents", &simulation);
    for n in 1..=dependents {
        assert_eq!(
            simulation.checker.final_stage(&id(n)),
            Some(JobStage::Done),
            "j-{n}"
        );
    }
}

#[test]
fn rules_hold_on_random_days_with_upgrades() {
    for (seed, faults) in [
        (900_000, 8),
        (910_003, 8),
        (920_001, 0),
        (920_002, 4),
        (920_003, 16),
        (920_004, 30),
    ] {
        let mut day = Day::new(seed, faults, FaultSchedule::Upgrade);
        day.play();
        assert_ran_and_rules_kept(&format!("seed {seed}, {faults} faults"), &day.simulation);
    }
}
