//! Tests of `reclaim`.

use crate::fixture::{spec, stopped, Fixture, WALL};
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

const GUEST: &str = "guest";
/// CPUs of one task; the fixture's machine has 96.
const GUEST_CPUS: f64 = 12.0;
const OWNER_CPUS: f64 = 30.0;

/// Adds a job, described as a change of an ordinary one.
fn add(f: &mut Fixture, id: &str, team: &str, change: impl FnOnce(&mut JobSpec)) -> JobId {
    let id = JobId::new(id);
    let mut spec = spec(&id, team, JobKind::Array, 8);
    change(&mut spec);
    let shard_id = f.shard;
    let Node { shards, ctx, .. } = &mut f.node;
    let shard = shards.get_mut(&shard_id).expect("the shard is held");
    shard.add_job(ctx, spec, None, WALL, 6);
    id
}

/// A shard with a team without any guarantee, whose tasks fill the machine, a
/// spot one. Those with a higher index have run for a shorter time.
fn with_guest(priority: Priority) -> (Fixture, JobId) {
    let mut f = Fixture::new();
    set_spot(&mut f, true);
    Rc::make_mut(&mut f.node.ctx.config).has_guests = true;
    let index = f.shard().quotas.len();
    f.shard().teams.insert(GUEST.to_owned(), index);
    f.shard().quotas.push(Quota::default());
    let guest = add(&mut f, "j-1", GUEST, |s| {
        s.cpus = GUEST_CPUS;
        s.priority = priority;
    });
    let token = f.token();
    for index in 0..8 {
        f.bind(
            &guest,
            index,
            StartState::SentByUs {
                token,
                incarnation: 1,
            },
        );
    }
    let now = f.node.ctx.now;
    let job = f.shard().jobs.get_mut(&guest).expect("the guest's job");
    for (index, binding) in &mut job.bound {
        binding.stage = Some(TaskStage::Running);
        binding.running_since = Some(now - 10_000 + Ms::from(*index));
    }
    (f, guest)
}

/// Idle work of a team without a guarantee once kept jobs of all other teams
/// waiting, as nothing but production work could take its place.
#[test]
fn borrowed_work_gives_way_to_what_may_reclaim_its_resources() {
    struct Case {
        name: &'static str,
        guest: Priority,
        owner: fn(&mut JobSpec),
        /// The guest's tasks that are stopped, those that lose least.
        stopped: &'static [u32],
    }
    let cases = [
        Case {
            name: "one task within the guarantee takes three places",
            guest: Priority::Low,
            owner: |s| s.tasks = 1,
            stopped: &[5, 6, 7],
        },
        Case {
            name: "each task of a batch finds its room",
            guest: Priority::Low,
            owner: |s| s.tasks = 2,
            stopped: &[3, 4, 5, 6, 7],
        },
        Case {
            name: "a gang that fits on no machine together stops nothing",
            guest: Priority::Low,
            owner: |s| (s.kind, s.tasks) = (JobKind::Gang, 2),
            stopped: &[],
        },
        Case {
            name: "a gang of one task",
            guest: Priority::Low,
            owner: |s| (s.kind, s.tasks) = (JobKind::Gang, 1),
            stopped: &[5, 6, 7],
        },
        Case {
            name: "work of a higher priority is left alone",
            guest: Priority::Normal,
            owner: |s| s.tasks = 1,
            stopped: &[],
        },
        Case {
            name: "neither guaranteed nor urgent",
            guest: Priority::Low,
            owner: |s| (s.tasks, s.team) = (1, GUEST.to_owned()),
            stopped: &[],
        },
        Case {
            name: "what fits no machine",
            guest: Priority::Low,
            owner: |s| (s.tasks, s.gpus) = (1, 9.0),
            stopped: &[],
        },
    ];
    for case in cases {
        let (mut f, guest) = with_guest(case.guest);
        let owner = other_team(&mut f);
        add(&mut f, "j-2", &owner, |s| {
            s.cpus = OWNER_CPUS;
            s.spot = true;
            (case.owner)(s);
        });
        f.step(2_000);
        assert_eq!(stopped(&mut f, &guest), case.stopped, "{}", case.name);
        // What is being stopped counts as room: nothing more is stopped.
        f.step(2_000);
        assert_eq!(
            stopped(&mut f, &guest),
            case.stopped,
            "{}: later",
            case.name
        );
    }
}

fn set_spot(f: &mut Fixture, spot: bool) {
    let id = f.machine.clone();
    let machine = f.shard().machines.get_mut(&id);
    machine.expect("the machine").spot = spot;
}

/// Guests fill what becomes free at once, so a machine that they use was never
/// returned once its own work had ended.
#[test]
fn ordinary_machines_that_only_patient_guests_use_are_drained() {
    let cases = [
        ("an ordinary machine", false, None, false, true),
        ("a spot machine", true, None, false, false),
        ("other work is there, too", false, None, true, false),
        ("the time is nearly up", false, Some(1.0), false, false),
    ];
    for (name, spot, due_s, with_owner, drained) in cases {
        let (mut f, guest) = with_guest(Priority::Low);
        set_spot(&mut f, spot);
        f.node.ctx.now += 10_000;
        let token = f.token();
        f.heartbeat(1, token, &running(&guest));
        if let Some(job) = f.shard().jobs.get_mut(&guest) {
            let mut spec = (*job.spec).clone();
            spec.deadline_s = due_s;
            job.spec = spec.into();
        }
        if with_owner {
            let owner = other_team(&mut f);
            let id = add(&mut f, "j-2", &owner, |s| s.tasks = 1);
            f.bind(
                &id,
                0,
                StartState::SentByUs {
                    token,
                    incarnation: 1,
                },
            );
        }
        f.step(2_000);
        let machine = f.machine.clone();
        assert_eq!(f.shard().machines[&machine].is_draining, drained, "{name}");
        assert_eq!(
            stopped(&mut f, &guest).len() == 8,
            drained,
            "{name}: stopped"
        );
    }
}

fn other_team(f: &mut Fixture) -> String {
    let mut teams = f.shard().teams.keys();
    teams.find(|t| *t != GUEST).cloned().expect("a team")
}

fn running(job: &JobId) -> Vec<(&JobId, u32, TaskStage)> {
    let all = 0..8;
    all.map(|index| (job, index, TaskStage::Running)).collect()
}

/// A machine is given to another shard that reclaims it only if nothing but
/// borrowed work is there; until that has exited the machine stays ours.
#[test]
fn a_machine_with_nothing_but_borrowed_work_is_given_away() {
    for (with_owner, given) in [(false, true), (true, false)] {
        let (mut f, guest) = with_guest(Priority::Low);
        let machine = f.machine.clone();
        let usable = [machine.clone()];
        if with_owner {
            let owner = other_team(&mut f);
            let id = add(&mut f, "j-2", &owner, |s| s.tasks = 1);
            let token = f.token();
            f.bind(
                &id,
                0,
                StartState::SentByUs {
                    token,
                    incarnation: 1,
                },
            );
        }
        let shard_id = f.shard;
        let offered = f.node.shards[&shard_id].reclaimable_machines(&f.node.ctx, &usable);
        assert_eq!(
            !offered.is_empty(),
            given,
            "offered, with other work: {with_owner}"
        );

        ask_for(&mut f, ShardId(shard_id.0 + 1));
        let mut effects = Vec::new();
        for _ in 0..5 {
            effects.extend(f.step(100));
        }
        let all_stopped = stopped(&mut f, &guest).len() == 8;
        assert_eq!(all_stopped, given, "stopped, with other work: {with_owner}");
        assert_eq!(f.shard().machines[&machine].is_vacating, given);
        // Given away only once empty; a request that is declined is taken back.
        let written = machine_puts(&effects, &machine);
        assert!(written.iter().all(|r| r.shard == shard_id));
        assert_eq!(written.iter().any(|r| r.reassign_to.is_none()), !given);

        if given {
            let token = f.token();
            f.heartbeat(1, token, &exited(&guest));
            for _ in 0..5 {
                f.step(100);
            }
            assert!(f.shard().machines[&machine].tasks.is_empty());
        }
    }
}

fn exited(job: &JobId) -> Vec<(&JobId, u32, TaskStage)> {
    let all = 0..8;
    all.map(|index| (job, index, TaskStage::Exited)).collect()
}

/// What is written into a machine's record.
fn machine_puts(effects: &[Effect], id: &MachineId) -> Vec<MachineRecord> {
    let bodies = effects.iter().filter_map(|e| match e {
        Effect::Call { body, .. } => body.as_deref(),
        _ => None,
    });
    let txns = bodies.filter_map(|b| from_slice::<Value>(b).ok());
    let key = machine_key(id);
    let mut records = Vec::new();
    for transaction in txns {
        let writes = transaction["writes"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let ours = writes.into_iter().filter(|w| w["put"] == key.as_str());
        records.extend(ours.filter_map(|w| from_value(w["data"].clone()).ok()));
    }
    records
}

/// The leader asks for the machine on behalf of another shard.
fn ask_for(f: &mut Fixture, to: ShardId) {
    let id = f.machine.clone();
    let mut record = f.node.view.machines[&id].record.clone();
    record.reassign_to = Some(to);
    let put = Change::Put {
        put: machine_key(&id),
        value: to_value(record).expect("a record"),
        version: 6,
    };
    f.node.view.apply(vec![put], 6);
}
