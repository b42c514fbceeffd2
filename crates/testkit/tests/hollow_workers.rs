//! Simulated workers whose controllers are outside of the simulation must follow the worker
//! protocol: when and to which controller they send heartbeats, and which responses and
//! commands they accept.

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

const HEARTBEAT_INTERVAL_MS: Ms = 1_000;
const LEASE_MS: Ms = 10_000;
const STEP_MS: Ms = 20;

/// A simulation with one running worker, in which the test acts as the controllers.
struct WorkerTest {
    simulation: Simulation,
    machine: MachineId,
    /// The number of calls so far, which is the id of the last one.
    calls: u64,
}

/// A heartbeat that a worker sent and that the test has not answered yet.
struct SentHeartbeat {
    at: Ms,
    /// The index of the controller that the heartbeat was sent to.
    node: usize,
    heartbeat: WorkerHeartbeat,
    /// Where the response is delivered.
    requester: Requester,
}

impl WorkerTest {
    fn new() -> Self {
        let size = DeploymentConfig {
            heartbeat_ms: HEARTBEAT_INTERVAL_MS,
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
        // The job is submitted at time 0, because workers can fetch only submitted jobs.
        let mut plan = JobPlan::plain(0, 0, JobKind::Array, 2, 60_000);
        plan.spec.gpus = 1.0;
        plan.spec.image_gb = 8.0;
        let simulation = Simulation::remote(1, vec![plan], Vec::new(), size, deployment);
        let mut test = Self {
            simulation,
            machine: MachineId::new("none"),
            calls: 0,
        };
        let provision =
            json!({"charter": "r-1", "rig": "g8", "yard": "a", "loaner": false, "count": 1});
        assert_eq!(test.call(Service::Cloud(0), "/machines", &provision).0, 200);
        let mut up = None;
        while up.is_none() {
            test.simulation
                .advance_to(test.simulation.now() + STEP_MS, STEP_MS);
            let changes = test.simulation.take_machine_changes().into_iter();
            up = changes.into_iter().find_map(|change| match change {
                MachineChange::Up(id) => Some(id),
                MachineChange::Removed(_) => None,
            });
        }
        test.machine = up.expect("a running machine");
        test
    }

    fn call(&mut self, to: Service, path: &str, body: &Value) -> (u16, Value) {
        self.calls += 1;
        let body = body.to_string().into_bytes();
        self.simulation.call(self.calls, to, "POST", path, body);
        let answers = self.simulation.take_responses();
        let answer = answers.into_iter().find(|a| a.call == self.calls);
        let answer = answer.expect("an immediate response");
        let body = serde_json::from_slice(&answer.body).unwrap_or_default();
        (answer.status, body)
    }

    fn command(&mut self, path: &str, body: &Value) -> (u16, Value) {
        let worker = Service::Worker(self.machine.clone());
        self.call(worker, path, body)
    }

    /// Advances by `time` and returns the heartbeats sent meanwhile, without answering them.
    fn heartbeats_during(&mut self, time: Ms) -> Vec<SentHeartbeat> {
        let until = self.simulation.now() + time;
        let mut sent = Vec::new();
        loop {
            let now = self.simulation.now();
            let requests = self.simulation.take_requests().into_iter();
            let heartbeats = requests.filter(|r| r.path == "/v1/report");
            sent.extend(heartbeats.map(|r| SentHeartbeat::new(now, r)));
            if now >= until {
                return sent;
            }
            self.simulation.advance_to(now + STEP_MS, STEP_MS);
        }
    }

    /// Advances until the worker sends a heartbeat, and returns it without answering it.
    fn next_heartbeat(&mut self) -> SentHeartbeat {
        loop {
            if let Some(sent) = self.heartbeats_during(STEP_MS).pop() {
                return sent;
            }
        }
    }

    fn answer(&mut self, sent: SentHeartbeat, status: u16, body: &Value) {
        let body = body.to_string().into_bytes();
        self.simulation.deliver_reply(sent.requester, status, body);
    }
}

impl SentHeartbeat {
    fn new(at: Ms, request: ControllerRequest) -> Self {
        Self {
            at,
            node: request.controller,
            heartbeat: serde_json::from_slice(&request.body).expect("a heartbeat"),
            requester: request.requester,
        }
    }
}

/// Heartbeats that come late cost the worker its lease; several at a time could arrive out of
/// order. An unanswered heartbeat must be abandoned and sent to the next controller.
#[test]
fn heartbeats_are_sent_in_time_and_one_at_a_time() {
    let mut test = WorkerTest::new();
    let mut last = test.next_heartbeat();
    for _ in 0..40 {
        let (at, seq) = (last.at, last.heartbeat.sequence);
        test.answer(last, 200, &json!({"baton": 1, "orders": []}));
        last = test.next_heartbeat();
        let gap = last.at - at;
        // A higher fencing token is reported early, without waiting for the interval.
        let min_gap = if seq == 1 {
            500
        } else {
            HEARTBEAT_INTERVAL_MS * 3 / 4
        };
        assert!(
            (min_gap..=HEARTBEAT_INTERVAL_MS * 5 / 4 + STEP_MS).contains(&gap),
            "{gap} ms"
        );
        assert!(last.heartbeat.sequence > seq);
    }
    // A heartbeat without a response times out after 4 s, and the next controller is tried
    // one second later.
    let node = last.node;
    let later = test.heartbeats_during(5_200);
    assert_eq!(later.len(), 1, "more or less than one heartbeat in flight");
    assert_eq!(later[0].node, (node + 1) % 3);
    assert!((4_900..5_200).contains(&(later[0].at - last.at)));
}

/// A worker must find the controller responsible for it by redirects, and must not stay with
/// a controller that cannot serve it.
#[test]
fn heartbeats_follow_redirects_and_move_on_after_errors() {
    // Status; the controller named by a redirect and the controller that gets the next
    // heartbeat, both as offsets from the responding one; and the longest time until then.
    let cases = [
        (200, None, 0, HEARTBEAT_INTERVAL_MS * 5 / 4 + STEP_MS),
        (421, Some(2), 2, 500 + STEP_MS),
        (421, Some(0), 1, 1_000 + STEP_MS),
        (421, None, 1, 1_000 + STEP_MS),
        (503, None, 1, 1_000 + STEP_MS),
    ];
    for (status, redirect_offset, next, max_delay) in cases {
        let mut test = WorkerTest::new();
        let sent = test.next_heartbeat();
        let (at, node) = (sent.at, sent.node);
        let redirect = redirect_offset.map(|n: usize| format!("berth-{}", (node + n) % 3));
        let body = match status {
            200 => json!({"baton": 1, "orders": []}),
            _ => json!({"foreman": redirect}),
        };
        test.answer(sent, status, &body);
        let next_heartbeat = test.next_heartbeat();
        assert_eq!(
            next_heartbeat.node,
            (node + next) % 3,
            "{status} {redirect_offset:?}"
        );
        assert!(
            next_heartbeat.at - at <= max_delay,
            "{status} {redirect_offset:?}: {}",
            next_heartbeat.at - at
        );
    }
}

/// A command with a stale fencing token or for another incarnation of the worker comes from a
/// controller that no longer holds the shard. Accepting it could run a task twice.
#[test]
fn commands_with_older_tokens_or_incarnations_are_refused() {
    let mut test = WorkerTest::new();
    let start = |token: u64, session: u64, index: u32| {
        json!({"baton": token, "watch": session, "orders": [
            {"verb": "start", "shift": format!("j-0/{index}"), "try": 1}]})
    };
    let sent = test.next_heartbeat();
    test.answer(sent, 200, &json!({"baton": 5, "orders": []}));
    // Body, expected status, tasks on the worker afterwards, highest token.
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
        assert_eq!(test.command("/commands", &body).0, status, "{body}");
        let (status, heartbeat) = test.command("/status", &json!(null));
        let heartbeat: WorkerHeartbeat = serde_json::from_value(heartbeat).expect("a heartbeat");
        assert_eq!((status, heartbeat.tasks.len()), (200, tasks), "{body}");
        assert_eq!(
            (heartbeat.token, heartbeat.incarnation),
            (token, 1),
            "{body}"
        );
    }
    // A response with a lower token does not renew the lease. When the lease expires, the
    // worker kills its tasks, drops their state and starts its next incarnation.
    let end = test.simulation.now() + LEASE_MS + 2_000;
    let mut last = test.next_heartbeat();
    while test.simulation.now() < end {
        test.answer(last, 200, &json!({"baton": 6, "orders": []}));
        last = test.next_heartbeat();
    }
    assert_eq!(last.heartbeat.incarnation, 2);
    assert!(
        last.heartbeat.tasks.is_empty(),
        "tasks of the previous incarnation"
    );
    assert_eq!(test.simulation.checker.tasks_on_machines(), 0);
}

/// A started task must be reported soon after the start, not only at the next interval.
#[test]
fn a_heartbeat_follows_soon_after_a_change_of_tasks() {
    let mut test = WorkerTest::new();
    let sent = test.next_heartbeat();
    let token = json!({"baton": 1, "orders": []});
    test.answer(sent, 200, &token);
    let mut last = test.next_heartbeat();
    test.answer(last, 200, &token);
    let start = json!({"baton": 1, "watch": 1, "orders": [
        {"verb": "start", "shift": "j-0/0", "try": 1}]});
    let at = test.simulation.now();
    assert_eq!(test.command("/commands", &start).0, 200);
    last = test.next_heartbeat();
    assert!(last.at - at <= 500 + STEP_MS, "{} ms", last.at - at);
    let stages: Vec<TaskStage> = last.heartbeat.tasks.iter().map(|t| t.stage).collect();
    assert_eq!(stages, [TaskStage::Fetching]);
}

/// In a simulation driven in real time, steps end at arbitrary times. A checker that runs
/// only at steps which end at a multiple of 500 ms misses violations; it must run at least
/// once in 500 ms whatever the length of the steps.
#[test]
fn the_checker_runs_however_long_the_steps_are() {
    for step in [20, 70, 130, 990] {
        let mut test = WorkerTest::new();
        let start = json!({"baton": 1, "watch": 1, "orders": [
            {"verb": "start", "shift": "j-0/0", "try": 1}]});
        assert_eq!(test.command("/commands", &start).0, 200);
        test.simulation
            .advance_to(test.simulation.now() + 3_000, step);
        assert_eq!(
            test.simulation.checker.tasks_on_machines(),
            1,
            "step {step}"
        );
        let (id, now) = (forkshift_testkit::job_id(0), test.simulation.now());
        test.simulation.checker.on_cancel_requested(&id);
        let cancelled = Some(JobStage::Cancelled);
        test.simulation
            .checker
            .on_immediate_response(now, &id, false, 200, cancelled);
        // The heartbeats are answered, because otherwise the lease would expire and the task
        // be killed before its cancellation is overdue.
        let mut violated_at = None;
        while violated_at.is_none() && test.simulation.now() < now + 40_000 {
            test.simulation
                .advance_to(test.simulation.now() + step, step);
            for request in test.simulation.take_requests() {
                let body = json!({"baton": 1, "orders": []}).to_string().into_bytes();
                test.simulation.deliver_reply(request.requester, 200, body);
            }
            let violation = test.simulation.checker.violations.first();
            violated_at = violation.map(|(rule, at, _)| (*rule, *at));
        }
        let (rule, at) = violated_at.expect("a rule violation, because the task still runs");
        assert_eq!(rule, Rule::RanCancelled, "step {step}");
        let late = at - now - DeploymentConfig::default().cancel_ms;
        assert!(
            late <= 500 + step,
            "step of {step} ms: violation detected {late} ms late"
        );
    }
}
