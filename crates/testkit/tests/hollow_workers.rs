//! Workers of a world whose controllers are elsewhere, against the protocol's
//! tables: when they report, to whom, and which answers and commands count.

mod common;

use common::Ms;
use forkshift_testkit::{
    BootModel, ControllerRequest, DeploymentConfig, Fleet, JobPlan, MachineChange, Requester, Rule,
    Service, ServicesConfig, Simulation,
};
use forkshift_wire::users::{JobKind, JobStage};
use forkshift_wire::workers::{TaskStage, WorkerHeartbeat};
use forkshift_wire::MachineId;
use serde_json::{json, Value};

const REPORT_MS: Ms = 1_000;
const LEASE_MS: Ms = 10_000;
const STEP_MS: Ms = 20;

/// A world with one worker that is up, and the controller that it reports to.
struct Scene {
    simulation: Simulation,
    machine: MachineId,
    calls: u64,
}

/// A report that was sent: when, to which controller, what, and by whom.
struct Sent {
    at: Ms,
    node: usize,
    report: WorkerHeartbeat,
    asker: Requester,
}

impl Scene {
    fn new() -> Self {
        let size = DeploymentConfig {
            heartbeat_ms: REPORT_MS,
            lease_ms: LEASE_MS,
            ..DeploymentConfig::default()
        };
        let fleet = Fleet {
            boots: BootModel::Normal {
                failure_probability: 0.0,
            },
            ..Fleet::default()
        };
        let deployment = ServicesConfig {
            fleet,
            team_limits: [("team-0".to_owned(), (0.0, 0.0))].into(),
            max_value_bytes: 8_192,
            max_transaction_writes: 12,
        };
        // Its user submits it at once, which is when workers can fetch it.
        let mut plan = JobPlan::plain(0, 0, JobKind::Array, 2, 60_000);
        plan.spec.gpus = 1.0;
        plan.spec.image_gb = 8.0;
        let simulation = Simulation::remote(1, vec![plan], Vec::new(), size, deployment);
        let mut scene = Self {
            simulation,
            machine: MachineId::new("none"),
            calls: 0,
        };
        let rent = json!({"charter": "r-1", "rig": "g8", "yard": "a", "loaner": false, "count": 1});
        assert_eq!(scene.call(Service::Cloud(0), "/machines", &rent).0, 200);
        let mut up = None;
        while up.is_none() {
            scene
                .simulation
                .advance_to(scene.simulation.now() + STEP_MS, STEP_MS);
            let changes = scene.simulation.take_machine_changes().into_iter();
            up = changes.into_iter().find_map(|change| match change {
                MachineChange::Up(id) => Some(id),
                MachineChange::Removed(_) => None,
            });
        }
        scene.machine = up.expect("it is up");
        scene
    }

    fn call(&mut self, to: Service, path: &str, body: &Value) -> (u16, Value) {
        self.calls += 1;
        let body = body.to_string().into_bytes();
        self.simulation.call(self.calls, to, "POST", path, body);
        let answers = self.simulation.take_responses();
        let answer = answers.into_iter().find(|a| a.call == self.calls);
        let answer = answer.expect("it is answered at once");
        let body = serde_json::from_slice(&answer.body).unwrap_or_default();
        (answer.status, body)
    }

    fn command(&mut self, path: &str, body: &Value) -> (u16, Value) {
        let worker = Service::Worker(self.machine.clone());
        self.call(worker, path, body)
    }

    /// The reports of the next so many milliseconds. None is answered.
    fn reports(&mut self, time: Ms) -> Vec<Sent> {
        let until = self.simulation.now() + time;
        let mut sent = Vec::new();
        loop {
            let now = self.simulation.now();
            let requests = self.simulation.take_requests().into_iter();
            let reports = requests.filter(|r| r.path == "/v1/report");
            sent.extend(reports.map(|r| Sent::new(now, r)));
            if now >= until {
                return sent;
            }
            self.simulation.advance_to(now + STEP_MS, STEP_MS);
        }
    }

    /// The next report. It waits for its answer.
    fn next(&mut self) -> Sent {
        loop {
            if let Some(sent) = self.reports(STEP_MS).pop() {
                return sent;
            }
        }
    }

    fn answer(&mut self, sent: Sent, status: u16, body: &Value) {
        let body = body.to_string().into_bytes();
        self.simulation.deliver_reply(sent.asker, status, body);
    }
}

impl Sent {
    fn new(at: Ms, request: ControllerRequest) -> Self {
        Self {
            at,
            node: request.controller,
            report: serde_json::from_slice(&request.body).expect("a report"),
            asker: request.requester,
        }
    }
}

#[test]
fn heartbeats_are_sent_in_time_and_one_at_a_time() {
    let mut scene = Scene::new();
    let mut last = scene.next();
    for _ in 0..40 {
        let (at, seq) = (last.at, last.report.sequence);
        scene.answer(last, 200, &json!({"baton": 1, "orders": []}));
        last = scene.next();
        let gap = last.at - at;
        // The first higher token is news, which need not wait for the period.
        let least = if seq == 1 { 500 } else { REPORT_MS * 3 / 4 };
        assert!(
            (least..=REPORT_MS * 5 / 4 + STEP_MS).contains(&gap),
            "{gap} ms"
        );
        assert!(last.report.sequence > seq);
    }
    // What has no answer is given up after four seconds, and the next
    // controller is tried a second later.
    let node = last.node;
    let later = scene.reports(5_200);
    assert_eq!(later.len(), 1, "one report in flight at a time");
    assert_eq!(later[0].node, (node + 1) % 3);
    assert!((4_900..5_200).contains(&(later[0].at - last.at)));
}

#[test]
fn heartbeats_follow_redirects_and_move_on_after_errors() {
    // Status, whom it names, counted from the one that answers; whom the next
    // report goes to, and after how long at most.
    let cases = [
        (200, None, 0, REPORT_MS * 5 / 4 + STEP_MS),
        (421, Some(2), 2, 500 + STEP_MS),
        (421, Some(0), 1, 1_000 + STEP_MS),
        (421, None, 1, 1_000 + STEP_MS),
        (503, None, 1, 1_000 + STEP_MS),
    ];
    for (status, named, next, within) in cases {
        let mut scene = Scene::new();
        let sent = scene.next();
        let (at, node) = (sent.at, sent.node);
        let redirect = named.map(|n: usize| format!("berth-{}", (node + n) % 3));
        let body = match status {
            200 => json!({"baton": 1, "orders": []}),
            _ => json!({"foreman": redirect}),
        };
        scene.answer(sent, status, &body);
        let then = scene.next();
        assert_eq!(then.node, (node + next) % 3, "{status} {named:?}");
        assert!(
            then.at - at <= within,
            "{status} {named:?}: {}",
            then.at - at
        );
    }
}

#[test]
fn commands_with_older_tokens_or_incarnations_are_refused() {
    let mut scene = Scene::new();
    let start = |token: u64, session: u64, index: u32| {
        json!({"baton": token, "watch": session, "orders": [
            {"verb": "start", "shift": format!("j-0/{index}"), "try": 1}]})
    };
    let sent = scene.next();
    scene.answer(sent, 200, &json!({"baton": 5, "orders": []}));
    // Body, status, tasks that are there afterwards, highest token.
    let cases = [
        (json!({"orders": []}), 400, 0, 5),
        (start(4, 1, 0), 409, 0, 5),
        (start(5, 2, 0), 409, 0, 5),
        (start(5, 1, 0), 200, 1, 5),
        (start(5, 1, 0), 200, 1, 5),
        (start(7, 1, 1), 200, 2, 7),
        (start(6, 1, 1), 409, 2, 7),
    ];
    for (body, status, tasks, token) in cases {
        assert_eq!(scene.command("/commands", &body).0, status, "{body}");
        let (status, report) = scene.command("/status", &json!(null));
        let report: WorkerHeartbeat = serde_json::from_value(report).expect("a report");
        assert_eq!((status, report.tasks.len()), (200, tasks), "{body}");
        assert_eq!((report.token, report.incarnation), (token, 1), "{body}");
    }
    // A response with a lower token renews nothing: the lease runs out, the tasks
    // are killed and forgotten, and the next session begins.
    let end = scene.simulation.now() + LEASE_MS + 2_000;
    let mut last = scene.next();
    while scene.simulation.now() < end {
        scene.answer(last, 200, &json!({"baton": 6, "orders": []}));
        last = scene.next();
    }
    assert_eq!(last.report.incarnation, 2);
    assert!(last.report.tasks.is_empty(), "all forgotten");
    assert_eq!(scene.simulation.checker.tasks_on_machines(), 0);
}

#[test]
fn a_heartbeat_follows_soon_after_a_change_of_tasks() {
    let mut scene = Scene::new();
    let sent = scene.next();
    let token = json!({"baton": 1, "orders": []});
    scene.answer(sent, 200, &token);
    let mut last = scene.next();
    scene.answer(last, 200, &token);
    let start = json!({"baton": 1, "watch": 1, "orders": [
        {"verb": "start", "shift": "j-0/0", "try": 1}]});
    let at = scene.simulation.now();
    assert_eq!(scene.command("/commands", &start).0, 200);
    last = scene.next();
    assert!(last.at - at <= 500 + STEP_MS, "{} ms", last.at - at);
    let stages: Vec<TaskStage> = last.report.tasks.iter().map(|t| t.stage).collect();
    assert_eq!(stages, [TaskStage::Fetching]);
}

/// Steps of a world in real time end anywhere, and the checker looks all the same: at
/// first it did so only where a step happened to end at a multiple of half a second.
#[test]
fn the_checker_runs_however_long_the_steps_are() {
    for step in [20, 70, 130, 990] {
        let mut scene = Scene::new();
        let start = json!({"baton": 1, "watch": 1, "orders": [
            {"verb": "start", "shift": "j-0/0", "try": 1}]});
        assert_eq!(scene.command("/commands", &start).0, 200);
        scene
            .simulation
            .advance_to(scene.simulation.now() + 3_000, step);
        assert_eq!(
            scene.simulation.checker.tasks_on_machines(),
            1,
            "step {step}"
        );
        let (id, now) = (forkshift_testkit::job_id(0), scene.simulation.now());
        scene.simulation.checker.on_cancel_requested(&id);
        let told = Some(JobStage::Cancelled);
        scene
            .simulation
            .checker
            .on_immediate_response(now, &id, false, 200, told);
        // The lease is lost before that, if nobody answers its reports.
        let mut broken_at = None;
        while broken_at.is_none() && scene.simulation.now() < now + 40_000 {
            scene
                .simulation
                .advance_to(scene.simulation.now() + step, step);
            for request in scene.simulation.take_requests() {
                let body = json!({"baton": 1, "orders": []}).to_string().into_bytes();
                scene.simulation.deliver_reply(request.requester, 200, body);
            }
            let broken = scene.simulation.checker.violations.first();
            broken_at = broken.map(|(rule, at, _)| (*rule, *at));
        }
        let (rule, at) = broken_at.expect("the task is still there");
        assert_eq!(rule, Rule::RanCancelled, "step {step}");
        let late = at - now - DeploymentConfig::default().cancel_ms;
        assert!(late <= 500 + step, "step {step}: seen {late} ms late");
    }
}
