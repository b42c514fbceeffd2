//! Faults that name controllers and machines by what they are hit those, and
//! do what they say.

use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, Fault, FaultKind, JobPlan, MachineFault, MachineSelector,
    Simulation,
};
use forkshift_wire::users::JobKind;

/// A long array of two tasks.
fn job(n: u32, cancel_at: Option<u64>, at_node: Option<ControllerSelector>) -> JobPlan {
    JobPlan {
        cancel_at,
        target_controller: at_node,
        ..JobPlan::plain(n, 2_000, JobKind::Array, 2, 200_000)
    }
}

fn simulation(plans: Vec<JobPlan>, kind: FaultKind) -> Simulation {
    let fault = Fault { at: 50_000, kind };
    let mut simulation =
        Simulation::with_config(31, plans, vec![fault], DeploymentConfig::default());
    simulation.run_until(50_000 - 10);
    assert_eq!(
        simulation.checker.running_tasks(&id(0)),
        2,
        "the job runs by then"
    );
    simulation
}

#[test]
fn a_fault_of_a_jobs_holder_affects_it_and_another_takes_over() {
    let (node, time) = (0, 20_000);
    let kind = FaultKind::StoreLockout { node, time }.at(ControllerSelector::HolderOfJob(id(0)));
    let mut simulation = simulation(vec![job(0, None, None)], kind);
    let holder = simulation.holder_of(&id(0)).expect("a holder");
    let epoch = simulation.epoch_of(&id(0)).expect("an epoch");
    simulation.run_until(69_000);
    let hit = &simulation.injected_faults()[0].1;
    assert!(matches!(hit, FaultKind::StoreLockout { node, .. } if *node == holder));
    assert_ne!(
        simulation.holder_of(&id(0)),
        Some(holder),
        "another holds it"
    );
    assert!(simulation.epoch_of(&id(0)).expect("an epoch") > epoch);
    assert_eq!(simulation.checker.violations, vec![]);
}

#[test]
fn a_fault_of_the_leader_affects_it_and_another_is_elected() {
    let (node, time) = (0, 20_000);
    let kind = FaultKind::StoreLockout { node, time }.at(ControllerSelector::Leader);
    let mut simulation = simulation(vec![job(0, None, None)], kind);
    let leader = simulation.leader().expect("a leader");
    simulation.run_until(69_000);
    assert!(simulation.leader().is_some_and(|n| n != leader));
    assert_eq!(simulation.checker.violations, vec![]);
}

/// A cancelled job's tasks are gone in time, whichever way its machines are lost.
#[test]
fn cancelled_tasks_exit_in_time_whichever_fault_their_machines_have() {
    let time = 20_000;
    for what in [
        MachineFault::Crash,
        MachineFault::Hang(time),
        MachineFault::Partition(time),
        MachineFault::InboundLoss(time),
        MachineFault::OutboundLoss(time),
        MachineFault::SlowLink(time),
        MachineFault::FailTasks(time),
    ] {
        let kind = FaultKind::Machines(MachineSelector::RunningJob(id(0)), what);
        let mut simulation = simulation(vec![job(0, Some(51_000), None)], kind);
        let machines = simulation.select_machines(&MachineSelector::RunningJob(id(0)));
        assert!(!machines.is_empty());
        simulation.run_until(130_000);
        assert!(simulation.cancelled_at(&id(0)).is_some(), "{what:?}");
        assert_eq!(simulation.checker.running_tasks(&id(0)), 0, "{what:?}");
        assert_eq!(simulation.checker.violations, vec![], "{what:?}");
    }
}

/// Cut off from peers, or from workers' own addresses, the day goes on.
#[test]
fn a_cancellation_completes_while_its_holder_is_partitioned_or_paused() {
    let (node, time) = (0, 20_000);
    for hold in [false, true] {
        for kind in [
            FaultKind::PeerPartition {
                node,
                peers: None,
                time,
                holds_messages: hold,
            },
            FaultKind::PeerPartition {
                node,
                peers: Some(vec![1]),
                time,
                holds_messages: hold,
            },
            FaultKind::CommandPartition {
                node,
                time,
                holds_messages: hold,
            },
            FaultKind::Pause { node, time },
        ] {
            let name = format!("{kind:?}");
            let kind = kind.at(ControllerSelector::HolderOfJob(id(0)));
            let mut simulation = simulation(vec![job(0, Some(52_000), None)], kind);
            simulation.run_until(120_000);
            assert!(simulation.cancelled_at(&id(0)).is_some(), "{name}");
            assert_eq!(simulation.checker.running_tasks(&id(0)), 0, "{name}");
            assert_eq!(simulation.checker.violations, vec![], "{name}");
        }
    }
}

/// The time for a cancellation is what the size says.
#[test]
fn cancelled_tasks_exit_within_a_shorter_configured_time() {
    let size = DeploymentConfig {
        cancel_ms: 15_000,
        lease_ms: 8_000,
        ..DeploymentConfig::default()
    };
    let kind = FaultKind::Machines(
        MachineSelector::RunningJob(id(0)),
        MachineFault::InboundLoss(30_000),
    );
    let at = Some(ControllerSelector::NextAfter(Box::new(
        ControllerSelector::Leader,
    )));
    let plans = vec![job(0, Some(51_000), at)];
    let fault = Fault { at: 50_000, kind };
    let mut simulation = Simulation::with_config(32, plans, vec![fault], size);
    simulation.run_until(100_000);
    assert!(simulation.cancelled_at(&id(0)).is_some());
    assert_eq!(simulation.checker.running_tasks(&id(0)), 0);
    assert_eq!(simulation.checker.violations, vec![]);
}
