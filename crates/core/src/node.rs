//! The controller: one owner of all state, working through batches of inputs.

use crate::admission::Admission;
use crate::budget::Budget;
use crate::config::Config;
use crate::context::{
    is_watch_lost, revision_of, AbortPoll, Context, Effect, Input, Pending, RequestId,
};
use crate::dependencies::DependencyTracker;
use crate::forward::Forward;
use crate::known_jobs::{Finals, Known};
use crate::leader::Leader;
use crate::member::{is_no_such_lease, Member};
use crate::records::{ShareId, CLUSTER};
use crate::share::{hand_over, Phase, Share};
use crate::store::Urgency;
use crate::view::View;
use crate::Ms;
use forkshift_wire::state::{Changes, Item, Page};
use forkshift_wire::{JobId, MachineId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A controller.
pub struct Node {
    pub(crate) ctx: Context,
    pub(crate) view: View,
    pub(crate) member: Member,
    pub(crate) leader: Leader,
    pub(crate) budget: Budget,
    pub(crate) shares: BTreeMap<ShareId, Share>,
    /// Epochs that were ours, and are not to be used again.
    used: BTreeMap<ShareId, u64>,
    pub(crate) finals: Finals,
    /// Shares of unfinished jobs of others.
    pub(crate) homes: Known<ShareId>,
    pub(crate) dependencies: DependencyTracker,
    /// Submissions whose dependencies are being looked up.
    pub(crate) admissions: BTreeMap<RequestId, Admission>,
    pub(crate) forwards: BTreeMap<u64, Forward>,
    pub(crate) asks: u64,
    /// Until then no other controller is tried for what the service refuses.
    pub(crate) all_out_until: Ms,
    listed: Vec<Item>,
    list_rev: u64,
    watching: bool,
    listing: bool,
    peeking: bool,
    peek_at: Ms,
    /// Up to here the view has missed something.
    missed: u64,
    watch_at: Ms,
    moving: BTreeMap<ShareId, Ms>,
    seen: u64,
    status_at: Ms,
    pub(crate) failure_detector_at: Ms,
    /// Looks at cancellations that are to be repeated.
    pub(crate) later_polls: Vec<(Ms, AbortPoll)>,
    /// Until when users wait for cancellations of ours to be written.
    pub(crate) cancel_ends: VecDeque<(Ms, RequestId, JobId)>,
}

/// Longest wait of the watch on what all controllers share.
const WATCH_MS: Ms = 10_000;
/// The part of the requests to the state service that goes into that watch:
/// without a pause it would be opened anew with every single change.
const WATCH_PART: f64 = 0.2;

impl Node {
    /// A controller that has just started. `inc` names this start, and must
    /// differ from that of every other start.
    pub fn new(cfg: Config, inc: u64, seed: u64) -> Self {
        let cfg = Rc::new(cfg);
        Self {
            leader: Leader::new(cfg.cloud_rps),
            ctx: Context::new(cfg, inc, seed),
            view: View::default(),
            member: Member::default(),
            budget: Budget::default(),
            shares: BTreeMap::new(),
            used: BTreeMap::new(),
            finals: Finals::default(),
            homes: Known::default(),
            dependencies: DependencyTracker::default(),
            admissions: BTreeMap::new(),
            forwards: BTreeMap::new(),
            asks: inc,
            all_out_until: 0,
            listed: Vec::new(),
            list_rev: 0,
            watching: false,
            listing: false,
            peeking: false,
            peek_at: 0,
            missed: 0,
            watch_at: 0,
            moving: BTreeMap::new(),
            seen: 0,
            status_at: 0,
            failure_detector_at: 0,
            later_polls: Vec::new(),
            cancel_ends: VecDeque::new(),
        }
    }

    /// Takes in a batch, and says what is to be done. `now` is the steady
    /// clock, `wall` the time of day, which may be off by some and is used
    /// only to tell how long ago a job was submitted.
    pub fn step(&mut self, now: Ms, wall: Ms, inputs: Vec<Input>) -> Vec<Effect> {
        self.ctx.note_pause(now);
        self.ctx.now = self.ctx.now.max(now);
        self.ctx.wall = wall;
        // What waited in the sockets while we stood still is looked at by the
        // right that we have now, not by the one that we had before.
        self.ctx.entitled = self.member.has_right(&self.ctx, &self.view);
        for input in inputs {
            match input {
                Input::Request {
                    request,
                    method,
                    path,
                    body,
                } => self.on_request(request, &method, &path, body),
                Input::Peer(message) => self.on_peer(&message),
                Input::Answer { call, status, body } => {
                    if let Some(pending) = self.ctx.pending.remove(&call) {
                        if matches!(pending, Pending::Commands { .. }) {
                            self.ctx.worker_calls -= 1;
                        }
                        if is_state(&pending) {
                            let now = self.ctx.now;
                            let Context { store, rng, .. } = &mut self.ctx;
                            store.heard(status, now, rng);
                        }
                        if status == 400 {
                            self.note_refused(&pending, &body);
                        }
                        self.on_answer(pending, status, &body);
                    }
                }
            }
        }
        self.tick();
        self.ctx.pump();
        while !self.ctx.refused.is_empty() {
            for pending in std::mem::take(&mut self.ctx.refused) {
                self.on_answer(pending, 503, b"");
            }
            self.ctx.pump();
        }
        std::mem::take(&mut self.ctx.out)
    }

    /// How many machines, jobs and tasks were looked at between the rounds:
    /// the work that messages and the passing of time make.
    pub fn visits(&self) -> u64 {
        self.ctx.visits
    }

    /// Whether this controller can take requests.
    pub(crate) fn is_up(&self) -> bool {
        self.view.ready && self.member.is_registered() && !self.view.types.is_empty()
    }

    fn tick(&mut self) {
        self.member.tick(&mut self.ctx, &self.view);
        self.follow_view();
        self.follow_format();
        self.run_failure_detector();
        let machines = self.view.take_changed();
        self.leader.tick(&mut self.ctx, &self.view, &machines);
        self.follow_shares();
        let changed = self.seen != self.view.revision;
        self.seen = self.view.revision;
        self.budget.tick(&mut self.ctx, &self.view);
        let rate = self.budget.rate(&self.ctx, &self.view);
        self.ctx.store.set_rates(&rate);
        self.follow_dependencies();
        for share in self.shares.values_mut() {
            share.list_again(&mut self.ctx);
            share.watch(&mut self.ctx);
            if let Phase::Waiting(revision) = share.phase {
                if self.view.revision >= revision {
                    share.activate(&mut self.ctx, &self.view);
                }
            }
            if share.phase != Phase::Active {
                continue;
            }
            if changed {
                share.sync_machines(&mut self.ctx, &self.view, &machines);
            }
            // A cancellation may be seen before the job that it is for.
            if changed || std::mem::take(&mut share.look_for_aborts) {
                for id in self.view.aborts.keys() {
                    share.cancel(&self.ctx, id);
                }
            }
            share.reconcile(&mut self.ctx, &self.view);
        }
        for (share, epoch, rec) in std::mem::take(&mut self.ctx.unmet_demand) {
            self.leader.on_demand(self.ctx.now, share, epoch, rec);
        }
        self.follow_forwards();
        self.repeat_polls();
        self.end_waits();
        self.log_status();
    }

    /// Writes new formats from the moment at which the view shows that all
    /// controllers know them. From then on everything fits the limits that are
    /// announced, too: nobody is told when those come into force.
    fn follow_format(&mut self) {
        let known = self.view.format().min(self.ctx.cfg.format);
        if known > self.ctx.format {
            log::info!("format {known} is finalized");
            self.ctx.format = known;
        }
        if !self.ctx.format.is_first() || self.ctx.is_size_refused {
            self.ctx.limits = self.ctx.cfg.least_state_limits;
        }
    }

    /// The state service calls a change malformed: it may have grown stricter.
    fn note_refused(&mut self, pending: &Pending, body: &[u8]) {
        if !is_state(pending) || is_no_such_lease(body) {
            return;
        }
        let why = String::from_utf8_lossy(body);
        log::error!("the state service refuses a change: {why}, {pending:?}");
        self.ctx.is_size_refused = true;
    }

    fn log_status(&mut self) {
        if self.ctx.now < self.status_at {
            return;
        }
        self.status_at = self.ctx.now + 10_000;
        for share in self.shares.values() {
            let bound: usize = share.jobs.values().map(|j| j.bound.len()).sum();
            let up = share
                .machines
                .values()
                .filter(|m| m.heard.is_some())
                .count();
            share.explain();
            let money = share.money();
            log::info!(
                "share {}: {} jobs, {} tasks placed, {} of {} machines up, {money}, {} writes queued",
                share.id(),
                share.jobs.len(),
                bound,
                up,
                share.machines.len(),
                self.ctx.store.len(),
            );
        }
    }

    /// Keeps the view up to date.
    fn follow_view(&mut self) {
        let now = self.ctx.now;
        if !self.view.ready {
            if !self.listing && now >= self.watch_at {
                self.listing = true;
                self.listed.clear();
                self.list("");
            }
            return;
        }
        // Changes elsewhere in the service do not end the watch, so the view
        // may stay behind a revision that something waits for.
        let behind = |s: &Share| matches!(s.phase, Phase::Waiting(r) if r > self.view.revision);
        let wanting = self.shares.values().any(behind)
            || self.member.waits_for_view(&self.view)
            || self.view.revision < self.missed;
        if wanting && !self.peeking && now >= self.peek_at {
            self.peeking = true;
            self.ctx
                .watch(CLUSTER, self.view.revision, 0, Pending::ViewPeek);
        }
        if !self.watching && now >= self.watch_at {
            self.watching = true;
            self.watch_at = now + self.ctx.watch_pause(WATCH_PART);
            let revision = self.view.revision;
            self.ctx
                .watch(CLUSTER, revision, WATCH_MS, Pending::ViewWatch);
        }
    }

    fn list(&mut self, from: &str) {
        let mut path = format!("/kv?starts={CLUSTER}&most=500");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        self.ctx.read(Urgency::Member, path, Pending::ViewList);
    }

    fn on_view_list(&mut self, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(mut page) = page else {
            self.listing = false;
            self.watch_at = self.ctx.now + 200;
            return;
        };
        if self.listed.is_empty() {
            // What changes while the pages are read is shown by the watch.
            self.list_rev = page.revision;
        }
        self.listed.append(&mut page.items);
        if page.more {
            if let Some(last) = self.listed.last() {
                let from = last.key.clone();
                self.list(&from);
                return;
            }
        }
        self.listing = false;
        let items = std::mem::take(&mut self.listed);
        if self.list_rev > self.view.revision || !self.view.ready {
            self.view.replace(items, self.list_rev);
        }
    }

    fn on_view_watch(&mut self, status: u16, body: &[u8]) {
        self.watching = false;
        if !self.take_changes(status, body) {
            self.watch_at = self.ctx.now + 250;
        }
    }

    fn on_view_peek(&mut self, status: u16, body: &[u8]) {
        self.peeking = false;
        if !self.take_changes(status, body) {
            self.peek_at = self.ctx.now + 100;
        }
    }

    /// Takes in what a watch has shown. Returns false if it failed.
    fn take_changes(&mut self, status: u16, body: &[u8]) -> bool {
        match serde_json::from_slice::<Changes>(body) {
            Ok(changes) if status == 200 => self.view.apply(changes.events, changes.revision),
            // All is read again, in pages.
            _ if is_watch_lost(status) => self.view.ready = false,
            _ => return false,
        }
        true
    }

    /// Takes up shares that became ours, lets go of those that are not.
    fn follow_shares(&mut self) {
        let node = self.ctx.cfg.node.clone();
        let inc = self.ctx.inc;
        let mut handing = Vec::new();
        let relief = self.relief();
        for (k, stamped) in &self.view.shares {
            let rec = &stamped.rec;
            if rec.holder != node || rec.inc != inc {
                if let Some(share) = self.shares.remove(k) {
                    log::info!("share {k}: now with {}", rec.holder);
                    share.release(&mut self.ctx);
                }
                continue;
            }
            if let Some(share) = self.shares.get_mut(k) {
                if share.epoch == rec.epoch && !share.reload {
                    share.version = stamped.version;
                    if let Some(to) = &relief {
                        // Calls to machines that we do not hear end late; the
                        // next holder's tokens make them void.
                        handing.push((*k, to.clone()));
                    } else if let Some(to) = rec.want.as_ref().filter(|w| **w != node) {
                        if self.view.nodes.contains_key(to) && share.is_quiet() {
                            handing.push((*k, to.clone()));
                        }
                    }
                    continue;
                }
            }
            if let Some(share) = self.shares.remove(k) {
                share.release(&mut self.ctx);
            }
            let used = self.used.get(k).copied().unwrap_or(0);
            if rec.epoch > used {
                self.used.insert(*k, rec.epoch);
                let share = Share::new(&mut self.ctx, *k, rec.epoch, stamped.version);
                self.shares.insert(*k, share);
            } else {
                // What we knew under this epoch is gone. Its tokens are not
                // used again: a new epoch is taken first.
                handing.push((*k, node.clone()));
            }
        }
        for (k, to) in handing {
            let at = self.moving.get(&k).copied().unwrap_or(0);
            if self.ctx.now < at {
                continue;
            }
            self.moving.insert(k, self.ctx.now + 1_000);
            // From here on we answer for the share no more, whatever becomes
            // of the request.
            if let Some(share) = self.shares.remove(&k) {
                share.release(&mut self.ctx);
            }
            hand_over(&mut self.ctx, &self.view, &[(k, to)]);
        }
    }

    fn on_answer(&mut self, pending: Pending, status: u16, body: &[u8]) {
        match pending {
            Pending::Lease { sent } => self.member.on_lease(&self.ctx, sent, status, body),
            Pending::Extend { sent } => self.member.on_extend(&self.ctx, sent, status),
            Pending::NodePut { lease } => self.member.on_node_put(lease, status, body),
            Pending::LeaderPut => self.member.on_leader_put(status, body),
            Pending::ViewList => self.on_view_list(status, body),
            Pending::ViewWatch => self.on_view_watch(status, body),
            Pending::ViewPeek => self.on_view_peek(status, body),
            Pending::SharePut(shares) => {
                self.leader.on_share_put(&shares);
                self.moving.retain(|k, _| !shares.contains(k));
            }
            Pending::ShareList { share, epoch } => {
                if let Some(s) = self.shares.get_mut(&share).filter(|s| s.epoch == epoch) {
                    s.on_list(&mut self.ctx, status, body);
                }
            }
            Pending::ShareWatch { share, epoch } => {
                if let Some(s) = self.shares.get_mut(&share).filter(|s| s.epoch == epoch) {
                    s.on_watch(&mut self.ctx, status, body);
                }
            }
            Pending::Create(creation) => self.on_created(*creation, status, body),
            Pending::Lookup {
                request,
                id,
                why,
                until,
            } => self.on_lookup(request, id, why, until, status, body),
            Pending::AdmissionRead { request, id } => {
                self.on_admission_read(request, &id, status, body);
            }
            Pending::DependencyRead { id, sent } => {
                self.on_dependency_read(&id, sent, status, body);
            }
            Pending::Abort(poll) => self.on_abort_put(poll, status, body),
            Pending::AbortPoll(poll) => self.on_abort_poll(poll, status, body),
            Pending::JobTxn { share, epoch, jobs } => {
                self.missed(status, body);
                if let Some(s) = self.shares.get_mut(&share).filter(|s| s.epoch == epoch) {
                    s.on_txn(&mut self.ctx, &mut self.finals, jobs, status, body);
                }
            }
            Pending::JobFix {
                share,
                epoch,
                id,
                block,
            } => {
                if let Some(s) = self.shares.get_mut(&share).filter(|s| s.epoch == epoch) {
                    s.on_fix(&mut self.ctx, &id, block, status, body);
                }
            }
            Pending::JobFinal { share, epoch, id } => {
                if let Some(s) = self.shares.get_mut(&share).filter(|s| s.epoch == epoch) {
                    s.on_final(&mut self.ctx, &mut self.finals, &id, status, body);
                }
            }
            Pending::MachinePut(id) => self.on_machine_put(&id, status, body),
            Pending::Demand { share } => {
                self.missed(status, body);
                if let Some(s) = self.shares.get_mut(&share) {
                    s.demand_putting = false;
                    s.demand_from = s.demand_from.max(revision_of(body));
                }
            }
            Pending::Housekeeping => {}
            Pending::Commands {
                share,
                epoch,
                machine,
                token,
                commands,
            } => {
                if let Some(s) = self.shares.get_mut(&share).filter(|s| s.epoch == epoch) {
                    s.on_commands(&mut self.ctx, &machine, token, &commands, status, body);
                }
            }
            Pending::Catalog => self
                .leader
                .on_catalog(&mut self.ctx, &self.view, status, body),
            Pending::MachineList { page } => {
                self.leader
                    .on_list(&mut self.ctx, &self.view, page, status, body);
            }
            Pending::RentalIntentPut { request } => {
                self.leader.on_rental_intent_put(&request, body)
            }
            Pending::Rent { request } => {
                self.leader
                    .on_rent(&mut self.ctx, &self.view, &request, status, body);
            }
            Pending::Rented { request } => {
                self.leader
                    .on_rented(&mut self.ctx, &self.view, &request, status, body);
            }
            Pending::Delete { machines } => {
                self.leader
                    .on_delete(&mut self.ctx, &self.view, machines, status, body);
            }
            Pending::Evict {
                share,
                epoch,
                machines,
            } => {
                if let Some(s) = self.shares.get_mut(&share).filter(|s| s.epoch == epoch) {
                    s.on_evicted(&self.ctx, &machines, status);
                }
            }
            Pending::Removed { machines } => self.leader.on_removed(&machines, status),
        }
    }

    fn on_machine_put(&mut self, id: &MachineId, status: u16, body: &[u8]) {
        self.missed(status, body);
        for share in self.shares.values_mut() {
            if let Some(machine) = share.machines.get_mut(id) {
                machine.putting = false;
                machine.put_from = machine.put_from.max(revision_of(body));
                share.look.touch(id);
            }
        }
    }

    /// A condition did not hold: the view has missed something, and must see
    /// it before the next try.
    fn missed(&mut self, status: u16, body: &[u8]) {
        if status == 409 {
            self.missed = self.missed.max(revision_of(body));
        }
    }

    /// The share that holds an unfinished job, if it is here and in use.
    pub(crate) fn share_of(&mut self, id: &JobId) -> Option<&mut Share> {
        let mut shares = self.shares.values_mut();
        shares.find(|s| s.phase == Phase::Active && s.jobs.contains_key(id))
    }
}

/// Whether the answer to a call tells how the state service is.
fn is_state(pending: &Pending) -> bool {
    !matches!(
        pending,
        Pending::Commands { .. }
            | Pending::Catalog
            | Pending::MachineList { .. }
            | Pending::Rent { .. }
            | Pending::Delete { .. }
            | Pending::Evict { .. }
    )
}
