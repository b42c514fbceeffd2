//! Users: they submit, ask and cancel.

use super::network::{Destination, Message, Origin};
use super::World;
use crate::day::MAX_PIPELINE_JOBS;
use crate::faults::ControllerSelector;
use crate::worker::GroundTruth;
use crate::Ms;
use forkshift_wire::users::{JobKind, JobSpec, JobStage, JobStatus, Priority};
use forkshift_wire::JobId;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

/// Pause of a user who waits for jobs to be accepted before the next.
const DEPENDENCY_POLL_MS: Ms = 200;

/// Pause before a request is repeated.
const RETRY_MS: Ms = 1_500;

/// The id of a numbered job that `Plan::plain` builds.
pub fn job_id(n: u32) -> JobId {
    JobId::new(&format!("j-{n}"))
}

/// A mistake in a job, for which its tasks fail on every machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobDefect {
    /// They fail as soon as they have their image, and never run.
    FailsAtStart,
    /// They run for so long, and fail.
    FailsAfter(Ms),
}

/// A job that a user will submit.
#[derive(Clone, Debug)]
pub struct Plan {
    /// When.
    pub at: Ms,
    /// What.
    pub spec: JobSpec,
    /// How long each task truly runs.
    pub run_ms: Ms,
    /// When the user wants it cancelled.
    pub cancel_at: Option<Ms>,
    /// The controller that the user's requests go to; any if left out, or if
    /// there is none.
    pub at_node: Option<ControllerSelector>,
    /// The mistake that it was submitted with. No random draw has one.
    pub mistake: Option<JobDefect>,
}

impl Plan {
    /// A plain job, of which a test changes what matters to it: it may run on
    /// any ordinary machine, and its estimate is exact.
    pub fn plain(n: u32, at: Ms, kind: JobKind, tasks: u32, run_ms: Ms) -> Self {
        let estimate_s = match kind {
            JobKind::Service => 0.0,
            _ => run_ms as f64 / 1000.0,
        };
        let spec = JobSpec {
            id: job_id(n),
            class: "work".to_owned(),
            team: "team-0".to_owned(),
            kind,
            priority: Priority::Normal,
            tasks,
            cpus: 2.0,
            gpus: 4.0,
            memory_gb: 4.0,
            image: "img".to_owned(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        };
        Self {
            at,
            spec,
            run_ms,
            cancel_at: None,
            at_node: None,
            mistake: None,
        }
    }

    /// A job drawn at random that runs longer than most of `random`, and is
    /// cancelled more often.
    pub fn long(rng: &mut StdRng, n: u32, at: Ms) -> Self {
        let mut plan = Self::random(rng, n, at);
        plan.run_ms = rng.random_range(5_000..60_000);
        if plan.spec.kind != JobKind::Service {
            plan.spec.estimate_s = plan.run_ms as f64 / 1000.0;
        }
        if rng.random() {
            plan.cancel_at = Some(at + rng.random_range(1_000..90_000));
        }
        plan
    }

    /// A job drawn at random.
    pub fn random(rng: &mut StdRng, n: u32, at: Ms) -> Self {
        let kind = match rng.random_range(0..5) {
            0 | 1 => JobKind::Array,
            2 => JobKind::Gang,
            _ => JobKind::Service,
        };
        let tasks = match kind {
            JobKind::Array => rng.random_range(1..12),
            _ => rng.random_range(1..4),
        };
        let gpus = *[0.0, 1.0, 2.0, 4.0]
            .get(rng.random_range(0..4))
            .unwrap_or(&0.0);
        let run_ms = rng.random_range(2_000..15_000);
        let one_zone = rng.random_range(0..4) == 0;
        let saves = kind == JobKind::Gang && rng.random();
        let spec = JobSpec {
            id: JobId::new(&format!("j-{n:06}")),
            class: if kind == JobKind::Service {
                "serve"
            } else {
                "work"
            }
            .to_owned(),
            team: format!("team-{}", rng.random_range(0..4)),
            kind,
            priority: if kind == JobKind::Service {
                Priority::Production
            } else {
                Priority::Normal
            },
            tasks,
            cpus: rng.random_range(1..5).into(),
            gpus,
            memory_gb: 4.0,
            image: format!("img-{}", rng.random_range(0..4)),
            image_gb: 4.0,
            types: (gpus > 0.0 && rng.random()).then(|| vec!["g8".to_owned()]),
            zone: (rng.random_range(0..8) == 0).then(|| "b".to_owned()),
            one_zone,
            spread: !one_zone && kind == JobKind::Service && rng.random(),
            spot: kind != JobKind::Service && rng.random(),
            estimate_s: if kind == JobKind::Service {
                0.0
            } else {
                run_ms as f64 / 1000.0
            },
            checkpoint_s: if saves { 3.0 } else { 0.0 },
            save_s: if saves { 1.0 } else { 0.0 },
            deadline_s: None,
            dependencies: Vec::new(),
        };
        let spec = JobSpec {
            zone: if spec.spread { None } else { spec.zone.clone() },
            ..spec
        };
        let cancels = kind == JobKind::Service || rng.random_range(0..4) == 0;
        let cancel_at = cancels.then(|| at + rng.random_range(1_000..60_000));
        Self {
            at,
            spec,
            run_ms,
            cancel_at,
            at_node: None,
            mistake: None,
        }
    }
}

/// Arrays and pipelines.
impl Plan {
    /// An array of many small tasks, which take several records.
    pub fn large_array(rng: &mut StdRng, n: u32, at: Ms) -> Self {
        let tasks = rng.random_range(60..300);
        let mut plan = Self::plain(
            n,
            at,
            JobKind::Array,
            tasks,
            rng.random_range(2_000..20_000),
        );
        plan.spec.id = JobId::new(&format!("j-{n:06}"));
        plan.spec.cpus = 1.0;
        plan.spec.gpus = 0.0;
        plan.spec.memory_gb = 1.0;
        plan.spec.team = format!("team-{}", rng.random_range(0..4));
        plan.cancel_at =
            (rng.random_range(0..4) == 0).then(|| at + rng.random_range(1_000..90_000));
        plan
    }

    /// A pipeline of two to six jobs drawn at random, numbered from `first` on.
    /// Each needs one or two of the jobs before it, and the first ones perhaps
    /// one of the day's other jobs, of any team. The end may come late,
    /// and any of them may be cancelled.
    pub fn pipeline(rng: &mut StdRng, first: u32, at: Ms, others: &[JobId]) -> Vec<Self> {
        let jobs = rng.random_range(2..=MAX_PIPELINE_JOBS);
        let mut plans: Vec<Self> = Vec::new();
        for i in 0..jobs {
            let mut plan = Self::random(rng, first + i, at + u64::from(i) * 300);
            let kind = match rng.random_range(0..3) {
                0 => JobKind::Gang,
                _ => JobKind::Array,
            };
            let spec = &mut plan.spec;
            spec.class = "chained".to_owned();
            spec.kind = kind;
            spec.spread = false;
            spec.tasks = rng.random_range(1..4);
            spec.estimate_s = plan.run_ms as f64 / 1000.0;
            spec.priority = Priority::Low;
            let mut needs: Vec<JobId> = Vec::new();
            for _ in 0..rng.random_range(1..3) {
                if i > 0 {
                    let before = rng.random_range(i.saturating_sub(2)..i);
                    needs.push(JobId::new(&format!("j-{:06}", first + before)));
                }
            }
            if i < 2 && rng.random_range(0..3) == 0 {
                needs.extend(others.choose(rng).cloned());
            }
            spec.dependencies = needs;
            plan.cancel_at =
                (rng.random_range(0..12) == 0).then(|| plan.at + rng.random_range(500..60_000));
            plans.push(plan);
        }
        if let Some(last) = plans.last_mut() {
            last.spec.priority = Priority::High;
            last.spec.deadline_s = Some(120.0);
            if rng.random_range(0..6) == 0 {
                last.at += rng.random_range(20_000..90_000);
            }
        }
        plans
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum UserState {
    Submitting,
    Polling,
    Cancelling,
    Finished,
}

pub(super) struct User {
    pub(super) plan: Plan,
    pub(super) state: UserState,
    pub(super) next_request_at: Ms,
    pub(super) last_request: u64,
    /// Tells what had been answered when the request was sent.
    pub(super) ticket: u64,
    pub(super) is_waiting: bool,
    pub(super) sent_at: Ms,
}

impl World {
    /// From now on all users come to one controller.
    pub fn route_users_to(&mut self, node: usize) {
        for user in &mut self.users {
            user.plan.at_node = Some(ControllerSelector::Index(node));
        }
    }

    pub(super) fn tick_users(&mut self) {
        for i in 0..self.users.len() {
            let user = &mut self.users[i];
            if user.is_waiting && self.now >= user.sent_at + 5_000 {
                user.is_waiting = false;
                user.next_request_at = self.now + 1_000;
            }
            if user.is_waiting
                || user.state == UserState::Finished
                || self.now < user.next_request_at
            {
                continue;
            }
            // Users name only jobs that were accepted.
            let mut needs = user.plan.spec.dependencies.iter();
            if user.state == UserState::Submitting && !needs.all(|d| self.check.is_accepted(d)) {
                user.next_request_at = self.now + DEPENDENCY_POLL_MS;
                continue;
            }
            if user.state == UserState::Polling
                && user.plan.cancel_at.is_some_and(|t| self.now >= t)
            {
                user.state = UserState::Cancelling;
            }
            user.last_request += 1;
            user.is_waiting = true;
            user.sent_at = self.now;
            let id = user.plan.spec.id.clone();
            let (method, path, body) = match user.state {
                UserState::Submitting => {
                    self.check.on_submitted(&user.plan.spec);
                    let truth = GroundTruth {
                        spec: user.plan.spec.clone(),
                        run_ms: user.plan.run_ms,
                        mistake: user.plan.mistake,
                    };
                    self.ground_truths.insert(id.clone(), truth);
                    let body = serde_json::to_vec(&user.plan.spec).unwrap_or_default();
                    ("POST", "/submissions".to_owned(), body)
                }
                UserState::Cancelling => {
                    self.check.on_cancel_requested(&id);
                    ("POST", format!("/submissions/{id}/abort"), Vec::new())
                }
                _ => ("GET", format!("/submissions/{id}"), Vec::new()),
            };
            user.ticket = self.check.on_request_sent(self.now, &id);
            let (op, at_node) = (user.last_request, user.plan.at_node.clone());
            let node = match at_node.and_then(|who| self.select_controller(&who)) {
                Some(n) => n,
                None => self.pick_user_controller(),
            };
            let message = Message {
                origin: Origin::User {
                    user: i,
                    request: op,
                },
                destination: Destination::Node(node),
                method: method.to_owned(),
                path,
                body,
            };
            self.send(message);
        }
    }

    pub(super) fn on_user_response(&mut self, i: usize, op: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let user = &mut self.users[i];
        if user.last_request != op || !user.is_waiting {
            return;
        }
        user.is_waiting = false;
        let answer: Option<JobStatus> = serde_json::from_slice(body).ok();
        let stage = answer.map(|a| a.stage);
        let id = user.plan.spec.id.clone();
        let submission = user.state == UserState::Submitting;
        let ticket = user.ticket;
        let news = status > 0
            && self
                .check
                .on_response(ticket, now, &id, submission, status, stage);
        if submission {
            self.check.check_admission(now, &id, status);
        }
        let good = matches!(status, 200 | 201);
        let last = stage.is_some_and(JobStage::is_final);
        (user.state, user.next_request_at) = match user.state {
            UserState::Submitting if good => {
                (UserState::Polling, now + self.size.poll_ms.max(2_000))
            }
            UserState::Submitting if matches!(status, 400 | 422) => (UserState::Finished, now),
            UserState::Cancelling if good => (UserState::Polling, now + 3_000),
            // A final state is asked for again, to see that it stays.
            UserState::Polling if good && last => (UserState::Polling, now + 20_000),
            UserState::Polling if good => (UserState::Polling, now + self.size.poll_ms),
            aim => (aim, now + RETRY_MS),
        };
        if good && last {
            user.plan.cancel_at = None;
        }
        if news {
            self.schedule_status_burst(&id, 0);
            if submission {
                self.maybe_cancel_accepted(&id);
            }
        }
    }
}
