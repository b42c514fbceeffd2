//! The context that is passed to every module of the controller: clock, settings, link states,
//! and the effects to be carried out after the step.
//!
//! Modules act on the outside only through the context. Outgoing calls are in [`calls`],
//! requests forwarded by other controllers and answers to requests in [`peer_requests`], and
//! the clock and the liveness of machines and peers in [`liveness`].

mod calls;
mod liveness;
mod peer_requests;

use crate::config::{Config, StateLimits};
use crate::io::{CallId, Effect, RequestId};
use crate::membership::failure_detector::FailureDetector;
use crate::membership::format::FormatVersion;
use crate::membership::peer_confirmations::PeerConfirmations;
use crate::membership::peers::PeerTable;
use crate::names::{ImageNames, TypeAndZoneNames};
use crate::overflow::OverflowLog;
use crate::pending_call::PendingCall;
use crate::records::{DemandRecord, ShardId};
use crate::store::budget::BudgetInputs;
use crate::store::queue::StoreQueue;
use crate::Ms;
use forkshift_links::{CloudLink, LinkStates, RedirectHistory, RelayTable};
use forkshift_wire::state::TransactionReply;
use peer_requests::PeerRequest;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The store's revision in the answer to a transaction; 0 if there is no answer or it cannot be
/// parsed.
pub(crate) fn revision_of(body: &[u8]) -> u64 {
    let reply: TransactionReply = serde_json::from_slice(body).unwrap_or_default();
    reply.revision
}

/// Whether the status of a watch means that the watcher must list the records anew: the
/// watch's revision is too old (410), or the changes since then exceed the size of an answer
/// (413). The same watch would always fail.
pub(crate) fn is_watch_lost(status: u16) -> bool {
    matches!(status, 410 | 413)
}

/// State that all modules share, and the effects of the current step.
pub(crate) struct Context {
    /// The monotonic clock, in milliseconds.
    pub(crate) now: Ms,
    /// The time of day in milliseconds since 1970. The clocks of controllers may differ by the
    /// configured clock error.
    pub(crate) wall_clock_ms: Ms,
    pub(crate) config: Rc<Config>,
    /// The newest format that may be written: the finalized one once the view has shown it, the
    /// first one before.
    pub(crate) format: FormatVersion,
    /// Limits of the key-value store that all calls observe.
    pub(crate) limits: StateLimits,
    /// The store has rejected a transaction as malformed or too large. Stays set until the
    /// process ends.
    pub(crate) has_rejected_transaction: bool,
    /// Identifies this start of the controller.
    pub(crate) incarnation: u64,
    /// Effects of the current step, in order.
    pub(crate) effects: Vec<Effect>,
    /// The queue of calls to the key-value store that are not sent yet.
    pub(crate) store: StoreQueue,
    pub(crate) rng: StdRng,
    /// Calls in flight, with the data needed to process each response.
    pub(crate) pending_calls: HashMap<CallId, PendingCall>,
    /// Calls to the store that the queue has rejected; they are answered as failed.
    pub(crate) unsent_calls: Vec<PendingCall>,
    /// Unmet demand of the shards held here, with their epochs, for this controller's own
    /// leader state. Used only while this controller is the leader.
    pub(crate) unmet_demand: Vec<(ShardId, u64, DemandRecord)>,
    /// Requests that other controllers have forwarded and that have no answer yet.
    pub(crate) peer_requests: BTreeMap<RequestId, PeerRequest>,
    /// Whether this controller's lease is valid, as of this step.
    pub(crate) has_valid_lease: bool,
    /// When the process last resumed after a pause; 0 if never.
    pub(crate) resumed_at: Ms,
    /// When the process last resumed after a pause in which its lease expired; none if never.
    pub(crate) lease_lost_in_pause_at: Option<Ms>,
    pub(crate) failure_detector: FailureDetector,
    /// Which links of this controller are up.
    pub(crate) links: LinkStates,
    /// Outcomes of recent calls to the cloud, and abstention from elections.
    pub(crate) cloud_link: CloudLink,
    /// Machines whose heartbeats other controllers have requested to be relayed.
    pub(crate) relays: RelayTable,
    /// Workers that were recently redirected to other controllers.
    pub(crate) redirects: RedirectHistory,
    /// Until when this controller's record states that it receives no heartbeats.
    pub(crate) reports_no_heartbeats_until: Ms,
    /// The other controllers from which messages were received.
    pub(crate) peers: PeerTable,
    pub(crate) peer_confirmations: PeerConfirmations,
    /// Number of calls to workers in flight.
    pub(crate) worker_calls_in_flight: usize,
    /// Number of machines, jobs and tasks visited outside of scheduling rounds, as a measure of
    /// work.
    pub(crate) work_units: u64,
    next_call: CallId,
    /// The table that numbers the names of machine types and zones.
    pub(crate) types_and_zones: TypeAndZoneNames,
    /// The table that numbers the names of images.
    pub(crate) images: ImageNames,
    /// Limits that were exceeded, for rate-limited log lines.
    pub(crate) overflows: OverflowLog,
}

impl Context {
    /// The context of a controller that starts.
    pub(crate) fn new(config: Rc<Config>, incarnation: u64, seed: u64) -> Self {
        let node_count = config.nodes.len() as f64;
        let image_names = config.bounds.image_names;
        let redirects = RedirectHistory::new(config.lease_ms);
        Self {
            now: 0,
            wall_clock_ms: 0,
            store: StoreQueue::new(
                config.state_limits.rps / node_count,
                config.state_limits.write_rps / node_count,
            ),
            format: FormatVersion::FIRST,
            limits: config.state_limits,
            has_rejected_transaction: false,
            config,
            incarnation,
            effects: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            pending_calls: HashMap::new(),
            unsent_calls: Vec::new(),
            unmet_demand: Vec::new(),
            peer_requests: BTreeMap::new(),
            has_valid_lease: false,
            resumed_at: 0,
            lease_lost_in_pause_at: None,
            failure_detector: FailureDetector::default(),
            links: LinkStates::default(),
            cloud_link: CloudLink::default(),
            relays: RelayTable::default(),
            redirects,
            reports_no_heartbeats_until: 0,
            peers: PeerTable::default(),
            peer_confirmations: PeerConfirmations::default(),
            worker_calls_in_flight: 0,
            work_units: 0,
            next_call: 0,
            types_and_zones: TypeAndZoneNames::default(),
            images: ImageNames::new(image_names),
            overflows: OverflowLog::default(),
        }
    }
}

impl From<&Context> for BudgetInputs {
    fn from(ctx: &Context) -> Self {
        Self {
            config: Rc::clone(&ctx.config),
            incarnation: ctx.incarnation,
            limits: ctx.limits,
            now: ctx.now,
            resumed_at: ctx.resumed_at,
            heartbeat_interval_ms: ctx.heartbeat_interval_ms(),
        }
    }
}
