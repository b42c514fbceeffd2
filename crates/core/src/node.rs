//! The controller: one owner of all state, working through batches of inputs.

mod failure_detection;
mod peer_heartbeats;
mod responses;
mod shard_ownership;
mod view_sync;

use crate::api::admission::Admission;
use crate::config::Config;
use crate::context::Context;
use crate::io::{Effect, Input, RequestId};
use crate::leader::Leader;
use crate::membership::lease::Membership;
use crate::pending_call::{CancellationPoll, PendingCall};
use crate::protocol::forwarding::PendingForward;
use crate::recent_jobs::{FinalStages, RecentJobs};
use crate::records::ShardId;
use crate::shard::dependencies::DependencyTracker;
use crate::shard::{Phase, Shard};
use crate::store::budget::{Budget, BudgetTerms};
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_links::{Decision, Link};
use forkshift_wire::state::Item;
use forkshift_wire::JobId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A controller.
pub struct Node {
    pub(crate) ctx: Context,
    pub(crate) view: ClusterView,
    pub(crate) membership: Membership,
    pub(crate) leader: Leader,
    pub(crate) budget: Budget,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    /// Epochs that were ours, and are not to be used again.
    used_epochs: BTreeMap<ShardId, u64>,
    pub(crate) final_stages: FinalStages,
    /// Shards of unfinished jobs of others.
    pub(crate) job_shards: RecentJobs<ShardId>,
    pub(crate) dependencies: DependencyTracker,
    /// Submissions whose dependencies are being looked up.
    pub(crate) admissions: BTreeMap<RequestId, Admission>,
    pub(crate) forwards: BTreeMap<u64, PendingForward>,
    pub(crate) forwarded_count: u64,
    /// Lists of machines that we do not hear, and whether the last one named any.
    pub(crate) relay_request_count: u64,
    pub(crate) has_relay_requests: bool,
    /// Until then no other controller is tried for what the service refuses.
    pub(crate) store_down_everywhere_until: Ms,
    listed_items: Vec<Item>,
    listed_revision: u64,
    is_watching: bool,
    /// Numbers the watches on what all controllers share.
    watch_serial: u64,
    is_listing: bool,
    is_polling_changes: bool,
    poll_changes_at: Ms,
    /// Up to here the view has missed something.
    required_revision: u64,
    watch_at: Ms,
    /// Shards that are being handed over.
    handovers: BTreeMap<ShardId, shard_ownership::Handover>,
    processed_revision: u64,
    next_status_log_at: Ms,
    pub(crate) next_failure_detection_at: Ms,
    /// Looks at cancellations that are to be repeated.
    pub(crate) delayed_polls: Vec<(Ms, CancellationPoll)>,
    /// Until when users wait for cancellations of ours to be written.
    pub(crate) cancel_deadlines: VecDeque<(Ms, RequestId, JobId)>,
}

impl Node {
    /// A controller that has just started. `inc` names this start, and must
    /// differ from that of every other start.
    pub fn new(config: Config, incarnation: u64, seed: u64) -> Self {
        let config = Rc::new(config);
        let remembered_jobs = config.bounds.remembered_jobs;
        Self {
            leader: Leader::new(config.cloud_rps),
            ctx: Context::new(config, incarnation, seed),
            view: ClusterView::default(),
            membership: Membership::default(),
            budget: Budget::default(),
            shards: BTreeMap::new(),
            used_epochs: BTreeMap::new(),
            final_stages: FinalStages::new(remembered_jobs),
            job_shards: RecentJobs::new(remembered_jobs),
            dependencies: DependencyTracker::default(),
            admissions: BTreeMap::new(),
            forwards: BTreeMap::new(),
            forwarded_count: incarnation,
            relay_request_count: 0,
            has_relay_requests: false,
            store_down_everywhere_until: 0,
            listed_items: Vec::new(),
            listed_revision: 0,
            is_watching: false,
            watch_serial: 0,
            is_listing: false,
            is_polling_changes: false,
            poll_changes_at: 0,
            required_revision: 0,
            watch_at: 0,
            handovers: BTreeMap::new(),
            processed_revision: 0,
            next_status_log_at: 0,
            next_failure_detection_at: 0,
            delayed_polls: Vec::new(),
            cancel_deadlines: VecDeque::new(),
        }
    }

    /// Takes in a batch, and says what is to be done. `now` is the steady
    /// clock, `wall` the time of day, which may be off by some and is used
    /// only to tell how long ago a job was submitted.
    pub fn step(&mut self, now: Ms, wall: Ms, inputs: Vec<Input>) -> Vec<Effect> {
        let _span = tracing::debug_span!("step").entered();
        self.ctx.note_process_pause(now);
        self.ctx.now = self.ctx.now.max(now);
        self.ctx.wall_clock_ms = wall;
        // What waited in the sockets while we stood still is looked at by the
        // right that we have now, not by the one that we had before.
        self.ctx.has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        for input in inputs {
            match input {
                Input::Request {
                    request,
                    method,
                    path,
                    body,
                } => self.on_request(request, &method, &path, body),
                Input::Peer(message) => self.on_peer_message(&message),
                Input::Response { call, status, body } => {
                    if let Some(pending) = self.ctx.pending.remove(&call) {
                        if is_worker_call(&pending) {
                            self.ctx.worker_calls -= 1;
                        }
                        if is_cloud_call(&pending) {
                            self.ctx.cloud_link.on_call(self.ctx.now, status != 0);
                        }
                        if is_store_call(&pending) {
                            let now = self.ctx.now;
                            let Context { store, rng, .. } = &mut self.ctx;
                            store.on_response(status, now, rng);
                        }
                        if status == 400 {
                            self.note_rejected_change(&pending, &body);
                        }
                        self.on_response(pending, status, &body);
                    }
                }
            }
        }
        self.tick();
        let _pump = tracing::debug_span!("pump").entered();
        self.ctx.send_due_store_calls();
        while !self.ctx.unsent_calls.is_empty() {
            for pending in std::mem::take(&mut self.ctx.unsent_calls) {
                self.on_response(pending, 503, b"");
            }
            self.ctx.send_due_store_calls();
        }
        std::mem::take(&mut self.ctx.effects)
    }

    /// How many machines, jobs and tasks were looked at between the rounds:
    /// the work that messages and the passing of time make.
    pub fn visits(&self) -> u64 {
        self.ctx.work_units
    }

    /// Whether this controller can take requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.view.is_complete
            && self.membership.is_registered()
            && !self.view.machine_types.is_empty()
    }

    fn tick(&mut self) {
        self.membership.tick(&mut self.ctx, &self.view);
        self.reopen_watches();
        self.follow_view();
        self.follow_format();
        self.forget_images();
        self.run_failure_detector();
        self.follow_cloud_link();
        let machines = self.view.take_changed();
        self.leader.tick(&mut self.ctx, &self.view, &machines);
        self.follow_shard_records();
        let changed = self.processed_revision != self.view.revision;
        self.processed_revision = self.view.revision;
        self.follow_budget();
        self.follow_dependencies();
        for shard in self.shards.values_mut() {
            shard.relist_jobs(&mut self.ctx);
            shard.watch_jobs(&mut self.ctx);
            if let Phase::Waiting(revision) = shard.phase {
                if self.view.revision >= revision {
                    shard.activate(&mut self.ctx, &self.view);
                }
            }
            if shard.phase != Phase::Active {
                continue;
            }
            if changed {
                shard.apply_machine_records(&mut self.ctx, &self.view, &machines);
            }
            // A cancellation may be seen before the job that it is for.
            if changed || std::mem::take(&mut shard.must_check_cancellations) {
                for id in self.view.cancellations.keys() {
                    shard.cancel(&self.ctx, id);
                }
            }
            shard.reconcile(&mut self.ctx, &self.view);
        }
        for (shard, epoch, record) in std::mem::take(&mut self.ctx.unmet_demand) {
            self.leader.on_demand(self.ctx.now, shard, epoch, record);
        }
        self.follow_forwards();
        self.repeat_cancellation_polls();
        self.expire_cancel_waits();
        self.log_status();
    }

    /// Sends what the budget requires, and sets the rate limit of calls to the store.
    fn follow_budget(&mut self) {
        let terms = BudgetTerms::from(&self.ctx);
        let messages = self.budget.tick(&terms, &mut self.ctx.store, &self.view);
        for message in messages {
            self.ctx.send_to_peer(&message.to, 0, message.body);
        }
        let rate = self.budget.rate(&terms, &self.view);
        self.ctx.store.set_rates(&rate);
        let allowed = self.budget.allows_advance(&terms, &self.view);
        self.ctx.store.allow_advance(allowed);
    }

    /// Gives leadership up if no call reaches the cloud and others are there to try.
    fn follow_cloud_link(&mut self) {
        let patience = self.ctx.config.node_lease_ms();
        let is_lost = self.ctx.cloud_link.is_lost(self.ctx.now, patience);
        self.note_link(Link::Cloud, !is_lost);
        let may_lead = self.ctx.links.allow(Decision::Lead) || self.view.nodes.len() < 2;
        if !may_lead && Leader::is_leader(&self.ctx, &self.view) {
            self.membership.resign(&mut self.ctx, &self.view);
        }
    }

    /// Writes new formats from the moment at which the view shows that all
    /// controllers know them. From then on everything fits the limits that are
    /// announced, too: nobody is told when those come into force.
    fn follow_format(&mut self) {
        let known = self.view.format().min(self.ctx.config.format);
        if known > self.ctx.format {
            log::info!("format {known} is finalized");
            self.ctx.format = known;
        }
        if !self.ctx.format.is_first() || self.ctx.is_size_refused {
            self.ctx.limits = self.ctx.config.least_state_limits;
        }
    }

    /// Forgets names of images that no job and no machine here has any more: users
    /// name new ones for as long as the process lives.
    fn forget_images(&mut self) {
        if !self.ctx.images.are_many() {
            return;
        }
        let mut used = BTreeSet::new();
        for shard in self.shards.values() {
            used.extend(shard.jobs.values().map(|job| job.image));
            let machines = shard.machines.values();
            used.extend(machines.flat_map(|m| m.images.iter().map(|(image, _)| *image)));
        }
        self.ctx.images.keep(&used);
    }

    fn log_status(&mut self) {
        if self.ctx.now < self.next_status_log_at {
            return;
        }
        self.next_status_log_at = self.ctx.now + 10_000;
        for shard in self.shards.values() {
            let bound: usize = shard.jobs.values().map(|j| j.bound.len()).sum();
            let up = shard
                .machines
                .values()
                .filter(|m| m.last_heartbeat_at.is_some())
                .count();
            shard.log_details();
            let money = shard.machine_costs();
            log::info!(
                "shard {}: {} jobs, {} tasks placed, {} of {} machines up, {money}, {} writes queued",
                shard.id(),
                shard.jobs.len(),
                bound,
                up,
                shard.machines.len(),
                self.ctx.store.len(),
            );
        }
    }

    /// The shard that holds an unfinished job, if it is here and in use.
    pub(crate) fn shard_of(&mut self, id: &JobId) -> Option<&mut Shard> {
        holder_of_mut(&mut self.shards, id)
    }
}

/// The shard in use that holds an unfinished job.
pub(crate) fn holder_of<'a>(shards: &'a BTreeMap<ShardId, Shard>, id: &JobId) -> Option<&'a Shard> {
    let mut active = shards.values().filter(|s| s.phase == Phase::Active);
    active.find(|s| s.jobs.contains_key(id))
}

/// The same, to be changed.
pub(crate) fn holder_of_mut<'a>(
    shards: &'a mut BTreeMap<ShardId, Shard>,
    id: &JobId,
) -> Option<&'a mut Shard> {
    let mut active = shards.values_mut().filter(|s| s.phase == Phase::Active);
    active.find(|s| s.jobs.contains_key(id))
}

/// Whether a call went to the cloud.
fn is_cloud_call(pending: &PendingCall) -> bool {
    matches!(
        pending,
        PendingCall::Catalog
            | PendingCall::MachineList { .. }
            | PendingCall::Provision { .. }
            | PendingCall::DeleteMachines { .. }
            | PendingCall::DeleteOwnMachines { .. }
    )
}

/// Whether the answer to a call tells how the state service is.
fn is_store_call(pending: &PendingCall) -> bool {
    !is_cloud_call(pending) && !is_worker_call(pending)
}

/// Whether a call went to a worker.
fn is_worker_call(pending: &PendingCall) -> bool {
    matches!(
        pending,
        PendingCall::Commands { .. } | PendingCall::ProbeWorker { .. }
    )
}
