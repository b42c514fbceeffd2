//! The context of every part of the controller: clock, settings, links, and the effects that
//! are to be carried out.
//!
//! Parts of the controller change the world only by it: calls and answers are in
//! [`calls`], requests forwarded by other controllers in [`peer_requests`], and the clock and
//! the liveness of machines and peers in [`liveness`].

mod calls;
mod liveness;
mod peer_requests;

use crate::config::{Config, StateLimits};
use crate::io::{CallId, Effect, RequestId};
use crate::membership::failure_detector::FailureDetector;
use crate::membership::format::FormatVersion;
use crate::membership::peer_confirmations::PeerConfirmations;
use crate::membership::peers::PeerTable;
use crate::names::{ImageNames, PlaceNames};
use crate::overflow::OverflowLog;
use crate::pending_call::PendingCall;
use crate::records::{DemandRecord, ShardId};
use crate::store::budget::BudgetTerms;
use crate::store::queue::StoreQueue;
use crate::Ms;
use forkshift_links::{CloudLink, LinkStates, RedirectHistory, RelayTable};
use forkshift_wire::state::TransactionReply;
use peer_requests::PeerRequest;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The revision of the store in the answer to a transaction; 0 without an answer.
pub(crate) fn revision_of(body: &[u8]) -> u64 {
    let reply: TransactionReply = serde_json::from_slice(body).unwrap_or_default();
    reply.revision
}

/// Whether a watch must start over with a listing: it is too far behind, or more has changed
/// than an answer may hold. The same watch would fail again and again.
pub(crate) fn is_watch_lost(status: u16) -> bool {
    matches!(status, 410 | 413)
}

/// Time, settings, links, and the effects of the current step.
pub(crate) struct Context {
    /// The steady clock, in milliseconds. It never goes back.
    pub(crate) now: Ms,
    /// The time of day, which may differ between controllers.
    pub(crate) wall_clock_ms: Ms,
    pub(crate) config: Rc<Config>,
    /// The newest format that may be written: the finalized one, once the view
    /// has shown it.
    pub(crate) format: FormatVersion,
    /// Limits of the key-value store that all calls keep to.
    pub(crate) limits: StateLimits,
    /// The store has refused a transaction as malformed or too large.
    pub(crate) has_rejected_transaction: bool,
    /// Names this start of the controller.
    pub(crate) incarnation: u64,
    /// Effects of the current step, in order.
    pub(crate) effects: Vec<Effect>,
    /// Calls to the key-value store that are not sent yet.
    pub(crate) store: StoreQueue,
    pub(crate) rng: StdRng,
    /// Calls in flight, and what is to be done when each of them ends.
    pub(crate) pending_calls: HashMap<CallId, PendingCall>,
    /// Calls to the store that failed without having been sent.
    pub(crate) unsent_calls: Vec<PendingCall>,
    /// Unmet demand of the shards held here, while this controller leads.
    pub(crate) unmet_demand: Vec<(ShardId, u64, DemandRecord)>,
    /// Requests that other controllers have forwarded.
    pub(crate) peer_requests: BTreeMap<RequestId, PeerRequest>,
    /// Whether the lease is valid, as of this step.
    pub(crate) has_valid_lease: bool,
    /// When the process last resumed after a pause; 0 if never.
    pub(crate) resumed_at: Ms,
    pub(crate) failure_detector: FailureDetector,
    /// Which links of this controller are up.
    pub(crate) links: LinkStates,
    pub(crate) cloud_link: CloudLink,
    /// Workers whose heartbeats other controllers do not receive.
    pub(crate) relays: RelayTable,
    /// Workers that were redirected to other controllers recently.
    pub(crate) redirects: RedirectHistory,
    /// Until then the record of this controller says that it receives no heartbeats.
    pub(crate) reports_no_heartbeats_until: Ms,
    /// The other controllers from which messages were received.
    pub(crate) peers: PeerTable,
    pub(crate) peer_confirmations: PeerConfirmations,
    /// How many calls to workers are in flight.
    pub(crate) worker_calls_in_flight: usize,
    /// Machines, jobs and tasks visited so far, as a measure of work.
    pub(crate) work_units: u64,
    next_call: CallId,
    /// Numbers of machine types and zones.
    pub(crate) places: PlaceNames,
    /// Numbers of images.
    pub(crate) images: ImageNames,
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
            places: PlaceNames::default(),
            images: ImageNames::new(image_names),
            overflows: OverflowLog::default(),
        }
    }
}

impl From<&Context> for BudgetTerms {
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
