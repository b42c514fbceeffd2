//! Faults that select controllers and machines by role, such as the leader or the machines of
//! a job, must affect exactly those, and the scheduler must recover from each.

use forkshift_testkit::job_id as id;
use forkshift_testkit::{
    ControllerSelector, DeploymentConfig, Fault, FaultKind, JobPlan, MachineFault, MachineSelector,
    Simulation,
};
use forkshift_wire::users::JobKind;

/// An array of two tasks that run for 200 s.
fn job(n: u32, cancel_at: Option<u64>, target: Option<ControllerSelector>) -> JobPlan {
    JobPlan {
        cancel_at,
        target_controller: target,
        ..JobPlan::plain(n, 2_000, JobKind::Array, 2, 200_000)
    }
}

/// A simulation right before the fault `kind`, which begins at 50 s.
fn simulation(plans: Vec<JobPlan>, kind: FaultKind) -> Simulation {
    let fault = Fault { at: 50_000, kind };
    let mut simulation =
        Simulation::with_config(31, plans, vec![fault], DeploymentConfig::default());
    simulation.run_until(50_000 - 10);
    assert_eq!(
        simulation.checker.running_tasks(&id(0)),
        2,
        "running tasks before the fault"
    );
    simulation
}

/// The state service refuses the holder of a job's shard. Another controller must acquire the
/// shard with a higher epoch.
#[test]
fn a_fault_of_a_shard_holder_affects_it_and_its_shard_moves() {
    let (node, time) = (0, 20_000);
    let kind = FaultKind::StoreLockout { node, time }.at(ControllerSelector::HolderOfJob(id(0)));
    let mut simulation = simulation(vec![job(0, None, None)], kind);
    let holder = simulation.holder_of(&id(0)).expect("a holder");
    let epoch = simulation.epoch_of(&id(0)).expect("an epoch");
    simulation.run_until(69_000);
    let injected = &simulation.injected_faults()[0].1;
    assert!(matches!(injected, FaultKind::StoreLockout { node, .. } if *node == holder));
    assert_ne!(
        simulation.holder_of(&id(0)),
        Some(holder),
        "the shard has the same holder"
    );
    assert!(simulation.epoch_of(&id(0)).expect("an epoch") > epoch);
    assert_eq!(simulation.checker.violations, vec![]);
}

/// The state service refuses the leader. Another controller must be elected.
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

/// The machines of a cancelled job crash, hang, are partitioned or fail their tasks. The
/// job's tasks must exit by the deadline of the cancellation.
#[test]
fn cancelled_tasks_exit_in_time_whichever_fault_their_machines_have() {
    let time = 20_000;
    for machine_fault in [
        MachineFault::Crash,
        MachineFault::Hang(time),
        MachineFault::Partition(time),
        MachineFault::InboundLoss(time),
        MachineFault::OutboundLoss(time),
        MachineFault::SlowLink(time),
        MachineFault::FailTasks(time),
    ] {
        let kind = FaultKind::Machines(MachineSelector::RunningJob(id(0)), machine_fault);
        let mut simulation = simulation(vec![job(0, Some(51_000), None)], kind);
        let machines = simulation.select_machines(&MachineSelector::RunningJob(id(0)));
        assert!(!machines.is_empty());
        simulation.run_until(130_000);
        assert!(
            simulation.cancelled_at(&id(0)).is_some(),
            "{machine_fault:?}"
        );
        assert_eq!(
            simulation.checker.running_tasks(&id(0)),
            0,
            "{machine_fault:?}"
        );
        assert_eq!(simulation.checker.violations, vec![], "{machine_fault:?}");
    }
}

/// The holder of a job's shard loses its peers or its direct links to workers, or is paused,
/// when the job is cancelled. The cancellation must still complete.
#[test]
fn a_cancellation_completes_while_its_holder_is_partitioned_or_paused() {
    let (node, time) = (0, 20_000);
    for holds_messages in [false, true] {
        for kind in [
            FaultKind::PeerPartition {
                node,
                peers: None,
                time,
                holds_messages,
            },
            FaultKind::PeerPartition {
                node,
                peers: Some(vec![1]),
                time,
                holds_messages,
            },
            FaultKind::CommandPartition {
                node,
                time,
                holds_messages,
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

/// Workers and controllers must use the configured cancellation deadline of 15 s, which is
/// shorter than the default, when a machine loses its inbound messages.
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
