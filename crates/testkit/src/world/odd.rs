//! Requests beside those that users make in turn: they look closely, repeat
//! themselves, cancel in a hurry, and ask for what can not be.

use super::network::{Dest, Message, Origin};
use super::users::Aim;
use super::{Event, World};
use crate::faults::MachineFault;
use crate::faults::Which;
use crate::Ms;
use forkshift_wire::users::{JobKind, JobSpec, JobStage, JobStatus};
use forkshift_wire::JobId;
use rand::Rng;
use serde_json::{json, Value};

/// What is asked.
#[derive(Clone, Debug)]
pub(super) enum Ask {
    /// The state of a job.
    Look,
    /// Its submission once more, maybe with another body.
    Repeat { differs: bool },
    /// Its cancellation.
    Cancel,
    /// A job that must be refused with this status.
    Unfit { body: Vec<u8>, status: u16 },
}

/// A request that is under way.
pub(super) struct Aside {
    id: JobId,
    ask: Ask,
    ticket: u64,
    sent: Ms,
}

/// Odd requests come this often while they last.
const ODD_EVERY: Ms = 200;
/// How long a user waits for an answer.
const PATIENCE: Ms = 5_000;
const LOOK_PATIENCE: Ms = 2_000;
/// Times after the end of a job at which users look at all controllers.
const LOOKS_AFTER_END: [Ms; 6] = [0, 120, 500, 1_200, 2_900, 3_100];

impl World {
    /// Requests beside those that users make in turn, and how many of them got
    /// an answer in time.
    pub fn asides(&self) -> (u64, u64) {
        self.asides_answered
    }

    /// A request beside the others, at a controller.
    pub(super) fn ask(&mut self, id: JobId, node: usize, ask: Ask) {
        let spec = self.truths.get(&id).map(|t| t.spec.clone());
        let (method, path, body) = match (&ask, spec) {
            (Ask::Look, _) => ("GET", format!("/submissions/{id}"), Vec::new()),
            (Ask::Cancel, _) => {
                self.check.asked_cancel(&id);
                ("POST", format!("/submissions/{id}/abort"), Vec::new())
            }
            (Ask::Repeat { differs }, Some(mut spec)) => {
                if *differs {
                    spec.tasks += 1;
                    spec.cpus = 10_000.0;
                    spec.team = "nobodys".to_owned();
                }
                let body = serde_json::to_vec(&spec).unwrap_or_default();
                ("POST", "/submissions".to_owned(), body)
            }
            (Ask::Repeat { .. }, None) => return,
            (Ask::Unfit { body, .. }, _) => ("POST", "/submissions".to_owned(), body.clone()),
        };
        let ticket = self.check.ask(self.now, &id);
        self.next_aside += 1;
        let aside = Aside {
            id,
            ask,
            ticket,
            sent: self.now,
        };
        self.asides.insert(self.next_aside, aside);
        self.asides_answered.0 += 1;
        self.send(Message {
            origin: Origin::Aside(self.next_aside),
            dest: Dest::Node(node),
            method: method.to_owned(),
            path,
            body,
        });
    }

    pub(super) fn aside_answered(&mut self, aside: u64, status: u16, body: &[u8]) {
        let Some(aside) = self.asides.remove(&aside) else {
            return;
        };
        let patience = match aside.ask {
            Ask::Look => LOOK_PATIENCE,
            _ => PATIENCE,
        };
        // By then the user has hung up.
        if status == 0 || self.now > aside.sent + patience {
            return;
        }
        self.asides_answered.1 += 1;
        let answer: Option<JobStatus> = serde_json::from_slice(body).ok();
        let stage = answer.map(|a| a.stage);
        let submission = matches!(aside.ask, Ask::Repeat { .. } | Ask::Unfit { .. });
        let (now, ticket) = (self.now, aside.ticket);
        let news = self
            .check
            .answered_to(ticket, now, &aside.id, submission, status, stage);
        if let Ask::Unfit { status: meant, .. } = aside.ask {
            self.check.refused(now, &aside.id, status, meant);
        }
        if news {
            self.look_closely(&aside.id, 0);
        }
    }

    /// Users ask at all controllers, again and again within milliseconds, and
    /// repeat the submission, while such a spell lasts.
    pub(super) fn look_closely(&mut self, id: &JobId, after: Ms) {
        if self.troubles.close_looks <= self.now {
            return;
        }
        for node in 0..self.size.nodes {
            for i in 0..3 {
                let time = self.now + after + self.rng.random_range(0..40);
                let ask = match i {
                    0 => Ask::Repeat {
                        differs: self.rng.random_range(0..4) == 0,
                    },
                    _ => Ask::Look,
                };
                let id = id.clone();
                self.at(time, Event::Ask { id, node, ask });
            }
        }
    }

    /// A user that has just got its job accepted may cancel it at once.
    pub(super) fn cancel_at_once(&mut self, id: &JobId) {
        if self.troubles.close_looks <= self.now || self.rng.random_range(0..4) != 0 {
            return;
        }
        self.hurry_cancel(id, 0);
    }

    fn hurry_cancel(&mut self, id: &JobId, after: Ms) {
        let time = self.now + after;
        let user = self.users.iter_mut().find(|u| u.plan.spec.id == *id);
        if let Some(user) = user.filter(|u| matches!(u.aim, Aim::Poll)) {
            user.aim = Aim::Cancel;
            user.open = false;
            user.next = time;
        }
    }

    /// Users cancel jobs that run, all at once, and machines of these hang.
    pub(super) fn cancel_now(&mut self, count: usize, hang: Ms) {
        let mut jobs: Vec<(Ms, JobId)> = Vec::new();
        for user in &self.users {
            let id = &user.plan.spec.id;
            let runs = self.check.running(id) > 0 && self.check.told(id).is_none();
            if user.aim == Aim::Poll && runs {
                let service = user.plan.spec.kind == JobKind::Service;
                let length = if service { Ms::MAX } else { user.plan.run_ms };
                jobs.push((length, id.clone()));
            }
        }
        // Those that have long to go, as far as anybody knows.
        jobs.sort_by(|a, b| b.cmp(a));
        jobs.truncate(count);
        let mut hung = 0;
        for (_, id) in jobs {
            let after = self.rng.random_range(0..200);
            self.hurry_cancel(&id, after);
            let mut machines = self.machines_of(&Which::OfJob(id));
            machines.truncate(8 - hung);
            if hang > 0 {
                hung += machines.len();
                self.inject_machines(&Which::Named(machines), MachineFault::Hang(hang));
            }
        }
    }

    pub(super) fn tick_odd(&mut self) {
        for id in std::mem::take(&mut self.check.whole) {
            let (until, share) = self.troubles.cancel_at_end;
            if until > self.now && self.rng.random_range(0..100) < share {
                let after = match self.rng.random_range(0..2) {
                    0 => 0,
                    _ => self.rng.random_range(0..400),
                };
                self.hurry_cancel(&id, after);
            }
            for after in LOOKS_AFTER_END {
                self.look_closely(&id, after);
            }
        }
        if self.troubles.odd_requests > self.now && self.comes_to_multiple_of(ODD_EVERY) {
            self.ask_oddly();
        }
    }

    fn ask_oddly(&mut self) {
        let node = self.rng.random_range(0..self.size.nodes);
        let kind = self.rng.random_range(0..6);
        let over = kind == 1;
        let told = |id: &JobId| self.check.told(id) == Some(JobStage::Done);
        let users = self.users.iter().filter(|u| u.aim == Aim::Poll);
        let ids: Vec<JobId> = users
            .map(|u| u.plan.spec.id.clone())
            .filter(|id| !over || told(id))
            .collect();
        let some = (!ids.is_empty()).then(|| ids[self.rng.random_range(0..ids.len())].clone());
        self.next_aside += 1;
        let stranger = JobId::new(&format!("j-9{:07}", self.next_aside));
        match (kind, some) {
            (0, Some(id)) => {
                let differs = self.rng.random();
                self.ask(id, node, Ask::Repeat { differs });
            }
            (1, Some(id)) => self.ask(id, node, Ask::Cancel),
            (2, _) => self.ask(stranger, node, Ask::Look),
            (3, _) => self.ask(stranger, node, Ask::Cancel),
            (_, Some(id)) => {
                let spec = self.truths[&id].spec.clone();
                let (body, status) = self.unfit(spec, &stranger);
                self.check.unfit(&stranger);
                self.ask(stranger, node, Ask::Unfit { body, status });
            }
            _ => {}
        }
    }

    /// A job that no controller may accept, and what it must say.
    fn unfit(&mut self, spec: JobSpec, id: &JobId) -> (Vec<u8>, u16) {
        let spec = JobSpec {
            id: id.clone(),
            ..spec
        };
        let mut body = serde_json::to_value(&spec).unwrap_or_default();
        let fields = ["uid", "crew", "shape", "rank", "shifts", "cpus", "kit"];
        let status = match self.rng.random_range(0..7) {
            // Fits no machine.
            0 => {
                body["cpus"] = json!(500.0);
                422
            }
            1 => {
                body["rigs"] = json!(["none"]);
                422
            }
            // Belongs to nobody.
            2 => {
                body["crew"] = json!("nobodys");
                422
            }
            // More than its team may ever use.
            3 => {
                body["shape"] = json!("group");
                body["shifts"] = json!(99);
                body["cpus"] = json!(7.5);
                422
            }
            // Lacks a field.
            4 => {
                let field = fields[self.rng.random_range(0..fields.len())];
                if let Some(body) = body.as_object_mut() {
                    body.remove(field);
                }
                400
            }
            // A field of another type.
            5 => {
                let field = fields[self.rng.random_range(0..fields.len())];
                body[field] = json!([]);
                400
            }
            // Not an object.
            _ => {
                body = Value::Array(Vec::new());
                400
            }
        };
        (body.to_string().into_bytes(), status)
    }
}
