//! The controller: the single owner of all state, which handles batches of inputs.
//!
//! Owns the view, the shards held here, and the parts that decide. May call every part, and
//! passes each the context. Must not do I/O or read clocks; effects go out by the context.

mod failure_detection;
mod peer_heartbeats;
mod responses;
mod shard_lookup;
mod shard_ownership;
mod status_log;
mod view_sync;

pub(crate) use shard_lookup::{active_shard_of, active_shard_of_mut};

use crate::api::admission::Admission;
use crate::config::Config;
use crate::context::Context;
use crate::io::{Effect, Input, RequestId};
use crate::leader::Leader;
use crate::membership::lease::Membership;
use crate::pending_call::{CancellationPoll, PendingCall, Service};
use crate::protocol::forwarding::PendingForward;
use crate::recent_jobs::{FinalStages, RecentJobs};
use crate::records::ShardId;
use crate::shard::dependencies::DependencyTracker;
use crate::shard::{RecoveryState, Shard};
use crate::store::budget::{Budget, BudgetTerms};
use crate::store::view::{ChangedMachines, ClusterView};
use crate::Ms;
use forkshift_links::{Decision, Link};
use forkshift_wire::JobId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use view_sync::ViewSync;

/// A controller.
pub struct Node {
    pub(crate) ctx: Context,
    pub(crate) view: ClusterView,
    pub(crate) membership: Membership,
    pub(crate) leader: Leader,
    pub(crate) budget: Budget,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    /// The last epoch of each shard that was held here; it must not be used again.
    used_epochs: BTreeMap<ShardId, u64>,
    pub(crate) final_stages: FinalStages,
    /// Shards of unfinished jobs that other controllers hold.
    pub(crate) job_shards: RecentJobs<ShardId>,
    pub(crate) dependencies: DependencyTracker,
    /// Submissions whose dependencies are being read.
    pub(crate) admissions: BTreeMap<RequestId, Admission>,
    /// Requests forwarded to other controllers, by their numbers.
    pub(crate) pending_forwards: BTreeMap<u64, PendingForward>,
    /// The number of the last forwarded request; the first follows the incarnation.
    pub(crate) last_forward_number: u64,
    /// Number of the last list of machines whose heartbeats are not received.
    pub(crate) last_relay_list_number: u64,
    /// The last such list was not empty.
    pub(crate) has_requested_relays: bool,
    /// Until then requests that the store refuses are not forwarded to other controllers.
    pub(crate) store_down_everywhere_until: Ms,
    view_sync: ViewSync,
    /// Shards that are being handed over.
    handovers: BTreeMap<ShardId, shard_ownership::PendingHandover>,
    /// The view's revision up to which the shards have applied changes.
    processed_revision: u64,
    next_status_log_at: Ms,
    next_failure_detection_at: Ms,
    /// Polls of cancellations that are to be repeated, and when.
    pub(crate) delayed_cancellation_polls: Vec<(Ms, CancellationPoll)>,
    /// Until when users wait for cancellations in shards held here to be written.
    pub(crate) cancel_deadlines: VecDeque<(Ms, RequestId, JobId)>,
}

impl Node {
    /// A controller that has just started. `incarnation` names this start, and must differ
    /// from that of every other start. `seed` is that of all random draws.
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
            pending_forwards: BTreeMap::new(),
            last_forward_number: incarnation,
            last_relay_list_number: 0,
            has_requested_relays: false,
            store_down_everywhere_until: 0,
            view_sync: ViewSync::default(),
            handovers: BTreeMap::new(),
            processed_revision: 0,
            next_status_log_at: 0,
            next_failure_detection_at: 0,
            delayed_cancellation_polls: Vec::new(),
            cancel_deadlines: VecDeque::new(),
        }
    }

    /// Handles a batch of inputs, does what is due, and returns the effects to be carried
    /// out. `now` is the steady clock; `wall` is the time of day in milliseconds, which may
    /// be off and is used only for the ages of jobs.
    pub fn step(&mut self, now: Ms, wall: Ms, inputs: Vec<Input>) -> Vec<Effect> {
        let _span = tracing::debug_span!("step").entered();
        self.ctx.detect_process_pause(now);
        self.ctx.now = self.ctx.now.max(now);
        self.ctx.wall_clock_ms = wall;
        // Inputs that waited in the sockets during a pause are handled with the lease as it
        // is now, not as it was before.
        self.ctx.has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        for input in inputs {
            self.on_input(input);
        }
        self.tick();
        self.send_store_calls();
        std::mem::take(&mut self.ctx.effects)
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Request {
                request,
                method,
                path,
                body,
            } => self.on_request(request, &method, &path, body),
            Input::Peer(message) => self.on_peer_message(&message),
            Input::Response { call, status, body } => {
                if let Some(pending) = self.ctx.pending_calls.remove(&call) {
                    self.on_call_ended(pending, status, &body);
                }
            }
        }
    }

    /// Updates the state of the called service, then handles the answer to a call.
    fn on_call_ended(&mut self, pending: PendingCall, status: u16, body: &[u8]) {
        let now = self.ctx.now;
        match pending.service() {
            Service::Worker => self.ctx.worker_calls_in_flight -= 1,
            Service::Cloud => self.ctx.cloud_link.on_call(now, status != 0),
            Service::Store => {
                let Context { store, rng, .. } = &mut self.ctx;
                store.on_response(status, now, rng);
            }
        }
        if status == 400 {
            self.on_rejected_transaction(&pending, body);
        }
        self.on_response(pending, status, body);
    }

    /// Sends the calls to the store that are due. Calls that fail unsent are answered with
    /// 503, which may queue more calls.
    fn send_store_calls(&mut self) {
        let _pump = tracing::debug_span!("pump").entered();
        self.ctx.send_due_store_calls();
        while !self.ctx.unsent_calls.is_empty() {
            for pending in std::mem::take(&mut self.ctx.unsent_calls) {
                self.on_response(pending, 503, b"");
            }
            self.ctx.send_due_store_calls();
        }
    }

    /// How many machines, jobs and tasks were visited outside of scheduling rounds, as a
    /// measure of the work that messages and time cause.
    pub fn visits(&self) -> u64 {
        self.ctx.work_units
    }

    /// Whether this controller can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.view.is_complete
            && self.membership.is_registered()
            && !self.view.machine_types.is_empty()
    }

    /// Does what is due. The order matters: the lease and the view come before the decisions
    /// that rest on them, and shards before the leader's view of their demand.
    fn tick(&mut self) {
        self.membership.tick(&mut self.ctx, &self.view);
        self.reopen_watches();
        self.sync_view();
        self.adopt_finalized_format();
        self.drop_unused_images();
        self.run_failure_detector();
        self.update_cloud_link();
        let machines = self.view.take_changed();
        self.leader.tick(&mut self.ctx, &self.view, &machines);
        self.reconcile_shard_ownership();
        let has_view_changed = self.processed_revision != self.view.revision;
        self.processed_revision = self.view.revision;
        self.update_store_budget();
        self.follow_dependencies();
        self.tick_shards(&machines, has_view_changed);
        for (shard, epoch, record) in std::mem::take(&mut self.ctx.unmet_demand) {
            self.leader
                .on_demand_received(self.ctx.now, shard, epoch, record);
        }
        self.expire_pending_forwards();
        self.repeat_cancellation_polls();
        self.expire_cancel_waits();
        self.log_status();
    }

    /// Lets each shard load its jobs, apply the changes of the view, and reconcile.
    fn tick_shards(&mut self, machines: &ChangedMachines, has_view_changed: bool) {
        for shard in self.shards.values_mut() {
            shard.relist_jobs(&mut self.ctx);
            shard.watch_jobs(&mut self.ctx);
            if let RecoveryState::Waiting(revision) = shard.recovery_state {
                if self.view.revision >= revision {
                    shard.activate(&mut self.ctx, &self.view);
                }
            }
            if shard.recovery_state != RecoveryState::Active {
                continue;
            }
            if has_view_changed {
                shard.apply_machine_records(&mut self.ctx, &self.view, machines);
            }
            // A cancellation may be visible before the job that it is for.
            let must_check = std::mem::take(&mut shard.must_check_cancellations);
            if has_view_changed || must_check {
                for id in self.view.cancellations.keys() {
                    shard.cancel(&self.ctx, id);
                }
            }
            shard.reconcile(&mut self.ctx, &self.view);
        }
    }

    /// Sends what the budget requires, and sets the rate limit of calls to the store.
    fn update_store_budget(&mut self) {
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

    /// Resigns as the leader if no call reaches the cloud and others may do better.
    fn update_cloud_link(&mut self) {
        let max_outage_ms = self.ctx.config.node_lease_ms();
        let is_lost = self.ctx.cloud_link.is_lost(self.ctx.now, max_outage_ms);
        self.set_link(Link::Cloud, !is_lost);
        let may_lead = self.ctx.links.allows(Decision::RemainLeader) || self.view.nodes.len() < 2;
        let (node, incarnation) = (&self.ctx.config.node, self.ctx.incarnation);
        if !may_lead && self.view.is_led_by(node, incarnation) {
            self.membership.resign(&mut self.ctx, &self.view);
        }
    }

    /// Writes a new format once the view shows that it is finalized. From then on all calls
    /// keep to the limits that are announced as well, as nobody announces when those take
    /// effect.
    fn adopt_finalized_format(&mut self) {
        let known = self.view.format().min(self.ctx.config.format);
        if known > self.ctx.format {
            log::info!("format {known}: finalized");
            self.ctx.format = known;
        }
        if !self.ctx.format.is_first() || self.ctx.has_rejected_transaction {
            self.ctx.limits = self.ctx.config.least_state_limits;
        }
    }

    /// Forgets the names of images that no job and no machine here uses: users name new
    /// ones for as long as the process lives.
    fn drop_unused_images(&mut self) {
        if !self.ctx.images.is_over_limit() {
            return;
        }
        let mut used = BTreeSet::new();
        for shard in self.shards.values() {
            used.extend(shard.jobs.values().map(|job| job.image));
            let machines = shard.machines.values();
            used.extend(machines.flat_map(|m| m.images.iter().map(|(image, _)| *image)));
        }
        self.ctx.images.retain_used(&used);
    }
}
