//! The controller's main loop: applies batches of inputs to the state and returns effects.
//!
//! [`Node`] is the single owner of all state: the cluster view, the shards held here, and the
//! modules that make decisions. It may call every module, and passes the context to each. It
//! must not do I/O or read clocks: its caller passes the times and carries out the effects,
//! which modules add to the context.

mod failure_detection;
mod peer_heartbeats;
mod responses;
mod shard_lookup;
mod shard_ownership;
mod status_log;
mod view_sync;

pub(crate) use shard_lookup::{active_shard_of, active_shard_of_mut};

use crate::api::admission::Admission;
use crate::api::delayed_lookups::DelayedLookup;
use crate::api::refusals::RefusalCounts;
use crate::config::Config;
use crate::context::Context;
use crate::io::{Effect, Input, RequestId};
use crate::job_feed::JobFeed;
use crate::leader::Leader;
use crate::membership::lease::Membership;
use crate::pending_call::{CancellationPoll, PendingCall, Service};
use crate::protocol::forwarding::PendingForward;
use crate::recent_jobs::{FinalStages, RecentJobs};
use crate::records::ShardId;
use crate::shard::dependencies::DependencyTracker;
use crate::shard::{RecoveryState, Shard};
use crate::store::budget::{Budget, BudgetInputs};
use crate::store::view::{ChangedMachines, ClusterView};
use crate::Ms;
use forkshift_links::{Decision, Link};
use forkshift_wire::JobId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use view_sync::ViewSync;

/// The state of a controller, advanced by [`Node::step`].
pub struct Node {
    pub(crate) ctx: Context,
    pub(crate) view: ClusterView,
    pub(crate) membership: Membership,
    pub(crate) leader: Leader,
    pub(crate) budget: Budget,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    /// The last epoch under which each shard was held here. An epoch must not be used twice,
    /// as the fencing tokens derived from it would repeat.
    used_epochs: BTreeMap<ShardId, u64>,
    /// Final stages of recently ended jobs.
    pub(crate) final_stages: FinalStages,
    /// Shards of recently seen jobs that other controllers hold.
    pub(crate) job_shards: RecentJobs<ShardId>,
    pub(crate) dependencies: DependencyTracker,
    pub(crate) job_feed: JobFeed,
    /// Lookups that wait until the states of the jobs' dependencies are known.
    pub(crate) delayed_lookups: Vec<DelayedLookup>,
    /// Refused requests for jobs, for the log.
    pub(crate) refusals: RefusalCounts,
    /// Submissions whose dependencies are being read from the store.
    pub(crate) admissions: BTreeMap<RequestId, Admission>,
    /// Requests forwarded to other controllers that have no answer yet, by number.
    pub(crate) pending_forwards: BTreeMap<u64, PendingForward>,
    /// The number of the last forwarded request. Numbering starts at the incarnation, so that
    /// a delayed answer to an earlier incarnation does not match.
    pub(crate) last_forward_number: u64,
    /// The number of the last relay request, which lists the machines whose heartbeats other
    /// controllers should relay.
    pub(crate) last_relay_list_number: u64,
    /// The last relay request listed at least one machine.
    pub(crate) has_requested_relays: bool,
    /// Until when requests are not forwarded because the store refuses this controller: it
    /// refused another controller as well.
    pub(crate) store_down_everywhere_until: Ms,
    view_sync: ViewSync,
    /// The last handover request for each shard.
    handovers: BTreeMap<ShardId, shard_ownership::PendingHandover>,
    /// The revision of the view whose changes the shards have applied.
    processed_revision: u64,
    next_status_log_at: Ms,
    next_failure_detection_at: Ms,
    /// Polls of cancellations to be repeated, and when each is due.
    pub(crate) delayed_cancellation_polls: Vec<(Ms, CancellationPoll)>,
    /// Deadlines of the users' requests that wait until a cancellation in a shard held here is
    /// written to the store.
    pub(crate) cancel_deadlines: VecDeque<(Ms, RequestId, JobId)>,
}

impl Node {
    /// A controller that has just started. `incarnation` identifies this start of the process
    /// and must differ between any two starts. `seed` initializes the random number generator
    /// of all random decisions.
    pub fn new(config: Config, incarnation: u64, seed: u64) -> Self {
        let config = Rc::new(config);
        let cached_jobs = config.bounds.cached_jobs;
        let job_feed = JobFeed::new(config.bounds.feed_entries, config.bounds.feed_look_back);
        Self {
            leader: Leader::new(config.cloud_rps),
            ctx: Context::new(config, incarnation, seed),
            view: ClusterView::default(),
            membership: Membership::default(),
            budget: Budget::default(),
            shards: BTreeMap::new(),
            used_epochs: BTreeMap::new(),
            final_stages: FinalStages::new(cached_jobs),
            job_shards: RecentJobs::new(cached_jobs),
            dependencies: DependencyTracker::default(),
            job_feed,
            delayed_lookups: Vec::new(),
            refusals: RefusalCounts::default(),
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

    /// Processes a batch of inputs, runs the tasks that are due, and returns the effects for
    /// the caller to carry out. `now` is the monotonic clock; a value that goes back is
    /// ignored. `wall` is the time of day in milliseconds since 1970. It may be wrong by the
    /// configured clock error, and is used only for ages and recorded times.
    pub fn step(&mut self, now: Ms, wall: Ms, inputs: Vec<Input>) -> Vec<Effect> {
        let _span = tracing::debug_span!("step").entered();
        self.ctx.detect_process_pause(now);
        self.ctx.now = self.ctx.now.max(now);
        self.ctx.wall_clock_ms = wall;
        // Inputs that were queued in the sockets during a pause of the process are processed
        // under the lease's validity as of now, not as of before the pause.
        let had_valid_lease = self.ctx.has_valid_lease;
        self.ctx.has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        if had_valid_lease && !self.ctx.has_valid_lease && self.ctx.resumed_at == now {
            self.ctx.lease_lost_in_pause_at = Some(now);
        }
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

    /// Records the outcome of a call for the state of the called service, then dispatches the
    /// response. A status of 0 means that there was no response.
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

    /// Sends the store calls that the rate limit allows. Calls that the queue rejected are
    /// answered with 503 without having been sent; that answer may queue more calls.
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

    /// The number of machines, jobs and tasks visited outside of scheduling rounds since the
    /// start: a deterministic measure of the work that messages and timers cause.
    pub fn visits(&self) -> u64 {
        self.ctx.work_units
    }

    /// Whether this controller can serve requests: it has a complete view, is registered, and
    /// knows the machine types.
    pub(crate) fn is_ready(&self) -> bool {
        self.view.is_complete
            && self.membership.is_registered()
            && !self.view.machine_types.is_empty()
    }

    /// Runs the periodic tasks. The order matters: the lease and the view are updated before
    /// the decisions that depend on them, and shards compute their unmet demand before the
    /// leader reads it.
    fn tick(&mut self) {
        self.membership.tick(&mut self.ctx, &self.view);
        self.reopen_watches();
        self.sync_view();
        self.adopt_finalized_format();
        self.drop_unused_images();
        self.run_failure_detector();
        self.update_cloud_link();
        let machines = self.view.take_changed_machines();
        self.leader.tick(&mut self.ctx, &self.view, &machines);
        self.reconcile_shard_ownership();
        let has_view_changed = self.processed_revision != self.view.revision;
        self.processed_revision = self.view.revision;
        self.update_store_budget();
        self.update_dependencies();
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

    /// Advances each shard: it loads its jobs, applies the changes of the view, and reconciles
    /// the desired with the reported state of its machines.
    fn tick_shards(&mut self, machines: &ChangedMachines, has_view_changed: bool) {
        for shard in self.shards.values_mut() {
            shard.relist_jobs(&mut self.ctx);
            shard.watch_jobs(&mut self.ctx);
            if let RecoveryState::AwaitingView(revision) = shard.recovery_state {
                if self.view.revision >= revision {
                    shard.activate(&mut self.ctx, &self.view);
                }
            }
            if shard.recovery_state != RecoveryState::Active {
                continue;
            }
            if has_view_changed {
                shard.sync_machine_records(&mut self.ctx, &self.view, machines);
            }
            // The view may show a cancellation before the shard has loaded its job.
            let must_check = std::mem::take(&mut shard.must_check_cancellations);
            if has_view_changed || must_check {
                for id in self.view.cancellations.keys() {
                    shard.cancel(&self.ctx, id);
                }
            }
            shard.reconcile(&mut self.ctx, &self.view);
        }
    }

    /// Sends the messages of the request budget, and sets this controller's rate limit for
    /// calls to the store.
    fn update_store_budget(&mut self) {
        let inputs = BudgetInputs::from(&self.ctx);
        let messages = self.budget.tick(&inputs, &mut self.ctx.store, &self.view);
        for message in messages {
            self.ctx.send_to_peer(&message.to, 0, message.body);
        }
        let rate = self.budget.rate(&inputs, &self.view);
        self.ctx.store.set_rates(&rate);
        let allowed = self.budget.allows_overdraft(&inputs, &self.view);
        self.ctx.store.set_overdraft_allowed(allowed);
    }

    /// Records whether calls reach the cloud. A leader without a link to the cloud resigns if
    /// there are other controllers, as one of them may have a link.
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

    /// Starts to write a newer format once the view shows that it is finalized. From then on,
    /// or once the store has rejected a transaction, all calls also observe the announced
    /// future limits of the store, as the time at which they take effect is not announced.
    fn adopt_finalized_format(&mut self) {
        let known = self.view.format().min(self.ctx.config.format);
        if known > self.ctx.format {
            log::info!("format {known}: finalized");
            self.ctx.format = known;
        }
        if !self.ctx.format.is_first() || self.ctx.has_rejected_transaction {
            self.ctx.limits = self.ctx.config.min_state_limits;
        }
    }

    /// Drops the names of images that no job and no machine here uses, if there are too many.
    /// Users submit new image names without end, so the table would grow without bound.
    fn drop_unused_images(&mut self) {
        if !self.ctx.images.is_over_limit() {
            return;
        }
        let mut used = BTreeSet::new();
        for shard in self.shards.values() {
            used.extend(shard.jobs.values().map(|job| job.image));
            let machines = shard.machines.values();
            used.extend(machines.flat_map(|m| m.cached_images.iter().map(|(image, _)| *image)));
        }
        self.ctx.images.retain_used(&used);
    }
}
