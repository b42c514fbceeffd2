//! Tests of reclaiming.

use crate::fixture::{spec, stopping_tasks, Fixture, WALL};
use crate::io::Effect;
use crate::node::Node;
use crate::records::{machine_key, MachineRecord, ShardId};
use crate::shard::job::StartState;
use crate::Ms;
use forkshift_sched::Quota;
use forkshift_wire::state::Change;
use forkshift_wire::users::{JobKind, JobSpec, Priority};
use forkshift_wire::workers::TaskStage;
use forkshift_wire::{JobId, MachineId};
use serde_json::{from_slice, from_value, to_value, Value};
use std::rc::Rc;

/// The team without a guarantee.
const BORROWER: &str = "borrower";
/// CPUs of one task of the borrower; the fixture's machine has 96.
const BORROWER_CPUS: f64 = 12.0;
/// CPUs of one task of a team with a guarantee.
const OWNER_CPUS: f64 = 30.0;

/// Adds an array job of 8 tasks, after `change` has been applied to its specification.
fn add_job(
    fixture: &mut Fixture,
    id: &str,
    team: &str,
    change: impl FnOnce(&mut JobSpec),
) -> JobId {
    let id = JobId::new(id);
    let mut spec = spec(&id, team, JobKind::Array, 8);
    change(&mut spec);
    let shard_id = fixture.shard;
    let Node { shards, ctx, .. } = &mut fixture.node;
    let shard = shards.get_mut(&shard_id).expect("the shard is held");
    shard.add_job(ctx, spec, None, WALL, 6);
    id
}

/// A shard with a team without a guarantee, whose 8 tasks fill the only machine, a spot
/// machine. Tasks with a higher index have run for a shorter time.
fn machine_full_of_borrowed_tasks(priority: Priority) -> (Fixture, JobId) {
    let mut fixture = Fixture::new();
    set_spot(&mut fixture, true);
    Rc::make_mut(&mut fixture.node.ctx.config).allows_borrowing = true;
    let index = fixture.shard().quotas.len();
    fixture.shard().teams.insert(BORROWER.to_owned(), index);
    fixture.shard().quotas.push(Quota::default());
    let borrower = add_job(&mut fixture, "j-1", BORROWER, |s| {
        s.cpus = BORROWER_CPUS;
        s.priority = priority;
    });
    let token = fixture.token();
    for index in 0..8 {
        fixture.bind(
            &borrower,
            index,
            StartState::SentByThisHolder {
                token,
                incarnation: 1,
            },
        );
    }
    let now = fixture.node.ctx.now;
    let job = fixture
        .shard()
        .jobs
        .get_mut(&borrower)
        .expect("the borrower's job");
    for (index, binding) in &mut job.bindings {
        binding.stage = Some(TaskStage::Running);
        binding.running_since = Some(now - 10_000 + Ms::from(*index));
    }
    (fixture, borrower)
}

/// A pending job that lacks capacity because of borrowed work.
struct ReclaimCase {
    name: &'static str,
    /// Priority of the borrowed work.
    borrower: Priority,
    /// Changes an ordinary job to the pending one.
    owner: fn(&mut JobSpec),
    /// The borrower's tasks that are stopped: those that lose the least run time.
    stopped: &'static [u32],
}

const RECLAIM_CASES: [ReclaimCase; 7] = [
    ReclaimCase {
        name: "one task within the guarantee stops three borrowed tasks",
        borrower: Priority::Low,
        owner: |s| s.tasks = 1,
        stopped: &[5, 6, 7],
    },
    ReclaimCase {
        name: "each task of an array reclaims capacity",
        borrower: Priority::Low,
        owner: |s| s.tasks = 2,
        stopped: &[3, 4, 5, 6, 7],
    },
    ReclaimCase {
        name: "a gang of two tasks with one machine stops nothing",
        borrower: Priority::Low,
        owner: |s| (s.kind, s.tasks) = (JobKind::Gang, 2),
        stopped: &[],
    },
    ReclaimCase {
        name: "a gang of one task stops three borrowed tasks",
        borrower: Priority::Low,
        owner: |s| (s.kind, s.tasks) = (JobKind::Gang, 1),
        stopped: &[5, 6, 7],
    },
    ReclaimCase {
        name: "work of normal priority is not reclaimed",
        borrower: Priority::Normal,
        owner: |s| s.tasks = 1,
        stopped: &[],
    },
    ReclaimCase {
        name: "a job neither guaranteed nor urgent reclaims nothing",
        borrower: Priority::Low,
        owner: |s| (s.tasks, s.team) = (1, BORROWER.to_owned()),
        stopped: &[],
    },
    ReclaimCase {
        name: "a task that fits no machine reclaims nothing",
        borrower: Priority::Low,
        owner: |s| (s.tasks, s.gpus) = (1, 9.0),
        stopped: &[],
    },
];

/// Guards against starvation: queued work of a team without a guarantee could occupy all
/// capacity, so that jobs of other teams would stay pending.
#[test]
fn pending_tasks_that_may_reclaim_stop_borrowed_tasks() {
    for case in RECLAIM_CASES {
        let (mut fixture, borrower) = machine_full_of_borrowed_tasks(case.borrower);
        let owner = owner_team(&mut fixture);
        add_job(&mut fixture, "j-2", &owner, |s| {
            s.cpus = OWNER_CPUS;
            s.allow_spot = true;
            (case.owner)(s);
        });
        fixture.step(2_000);
        assert_eq!(
            stopping_tasks(&mut fixture, &borrower),
            case.stopped,
            "{}",
            case.name
        );
        // Capacity of stopping tasks counts as free, so the next round stops nothing
        // more.
        fixture.step(2_000);
        assert_eq!(
            stopping_tasks(&mut fixture, &borrower),
            case.stopped,
            "{}: after another round",
            case.name
        );
    }
}

fn set_spot(fixture: &mut Fixture, spot: bool) {
    let id = fixture.machine.clone();
    let machine = fixture.shard().machines.get_mut(&id);
    machine.expect("the machine").is_spot = spot;
}

/// A machine with borrowed work.
struct DrainCase {
    name: &'static str,
    spot: bool,
    /// The deadline of the borrowed work.
    deadline_s: Option<f64>,
    /// Whether a task of another team runs there, too.
    with_owner: bool,
    is_drained: bool,
}

const DRAIN_CASES: [DrainCase; 4] = [
    DrainCase {
        name: "an on-demand machine with borrowed work",
        spot: false,
        deadline_s: None,
        with_owner: false,
        is_drained: true,
    },
    DrainCase {
        name: "a spot machine with borrowed work",
        spot: true,
        deadline_s: None,
        with_owner: false,
        is_drained: false,
    },
    DrainCase {
        name: "an on-demand machine with other work, too",
        spot: false,
        deadline_s: None,
        with_owner: true,
        is_drained: false,
    },
    DrainCase {
        name: "borrowed work close to its deadline",
        spot: false,
        deadline_s: Some(1.0),
        with_owner: false,
        is_drained: false,
    },
];

/// Guards against machines that are never released: borrowers fill capacity as soon as it
/// is free, so their machine never becomes idle after other work has ended.
#[test]
fn on_demand_machines_with_only_idle_capacity_work_are_drained() {
    for case in DRAIN_CASES {
        let (mut fixture, borrower) = machine_full_of_borrowed_tasks(Priority::Low);
        set_spot(&mut fixture, case.spot);
        fixture.node.ctx.now += 10_000;
        let token = fixture.token();
        fixture.heartbeat(1, token, &all_tasks_in_stage(&borrower, TaskStage::Running));
        if let Some(job) = fixture.shard().jobs.get_mut(&borrower) {
            let mut spec = (*job.spec).clone();
            spec.deadline_s = case.deadline_s;
            job.spec = spec.into();
        }
        if case.with_owner {
            bind_owner_task(&mut fixture);
        }
        fixture.step(2_000);
        let machine = fixture.machine.clone();
        let is_draining = fixture.shard().machines[&machine].is_draining;
        assert_eq!(is_draining, case.is_drained, "{}", case.name);
        assert_eq!(
            stopping_tasks(&mut fixture, &borrower).len() == 8,
            case.is_drained,
            "{}: stopped",
            case.name
        );
    }
}

/// Binds a task of another team to the machine.
fn bind_owner_task(fixture: &mut Fixture) {
    let owner = owner_team(fixture);
    let id = add_job(fixture, "j-2", &owner, |s| s.tasks = 1);
    let token = fixture.token();
    fixture.bind(
        &id,
        0,
        StartState::SentByThisHolder {
            token,
            incarnation: 1,
        },
    );
}

/// A team with a guarantee.
fn owner_team(fixture: &mut Fixture) -> String {
    let mut teams = fixture.shard().teams.keys();
    teams.find(|t| *t != BORROWER).cloned().expect("a team")
}

/// All 8 tasks of a borrower's job in the same stage, as a heartbeat reports them.
fn all_tasks_in_stage(job: &JobId, stage: TaskStage) -> Vec<(&JobId, u32, TaskStage)> {
    (0..8).map(|index| (job, index, stage)).collect()
}

/// A machine is transferred to another shard that requests it only if nothing but
/// borrowed work runs there, and only after that work has exited.
#[test]
fn a_machine_with_only_borrowed_work_is_vacated_on_request() {
    for (with_owner, is_vacated) in [(false, true), (true, false)] {
        let (mut fixture, borrower) = machine_full_of_borrowed_tasks(Priority::Low);
        let machine = fixture.machine.clone();
        if with_owner {
            bind_owner_task(&mut fixture);
        }
        let shard_id = fixture.shard;
        let usable = [machine.clone()];
        let offered =
            fixture.node.shards[&shard_id].reclaimable_machines(&fixture.node.ctx, &usable);
        assert_eq!(
            !offered.is_empty(),
            is_vacated,
            "offered, with other work: {with_owner}"
        );

        request_machine(&mut fixture, ShardId(shard_id.0 + 1));
        let mut effects = Vec::new();
        for _ in 0..5 {
            effects.extend(fixture.step(100));
        }
        let all_stopped = stopping_tasks(&mut fixture, &borrower).len() == 8;
        assert_eq!(
            all_stopped, is_vacated,
            "stopped, with other work: {with_owner}"
        );
        assert_eq!(fixture.shard().machines[&machine].is_vacating, is_vacated);
        // The machine is transferred only once it is empty. A declined request is
        // withdrawn.
        let written = written_machine_records(&effects, &machine);
        assert!(written.iter().all(|r| r.shard == shard_id));
        let is_withdrawn = written.iter().any(|r| r.reassign_to.is_none());
        assert_eq!(is_withdrawn, !is_vacated);

        if is_vacated {
            let token = fixture.token();
            fixture.heartbeat(1, token, &all_tasks_in_stage(&borrower, TaskStage::Exited));
            for _ in 0..5 {
                fixture.step(100);
            }
            assert!(fixture.shard().machines[&machine].tasks.is_empty());
        }
    }
}

/// The values that the controller writes to a machine's record.
fn written_machine_records(effects: &[Effect], id: &MachineId) -> Vec<MachineRecord> {
    let bodies = effects.iter().filter_map(|e| match e {
        Effect::Call { body, .. } => body.as_deref(),
        _ => None,
    });
    let transactions = bodies.filter_map(|b| from_slice::<Value>(b).ok());
    let key = machine_key(id);
    let mut records = Vec::new();
    for transaction in transactions {
        let writes = transaction["writes"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let puts = writes.into_iter().filter(|w| w["put"] == key.as_str());
        records.extend(puts.filter_map(|w| from_value(w["data"].clone()).ok()));
    }
    records
}

/// Sets in the view that the leader requests the machine on behalf of another shard.
fn request_machine(fixture: &mut Fixture, to: ShardId) {
    let id = fixture.machine.clone();
    let mut record = fixture.node.view.machines[&id].record.clone();
    record.reassign_to = Some(to);
    let put = Change::Put {
        key: machine_key(&id),
        value: to_value(record).expect("a record"),
        version: 6,
    };
    fixture.node.view.apply_changes(vec![put], 6);
}
