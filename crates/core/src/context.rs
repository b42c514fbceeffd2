//! The context of every part of the controller: time, settings, and the
//! effects that it wants carried out.

use crate::config::{Config, StateLimits};
use crate::io::{CallId, Effect, Reply, RequestId, Target, PEER_REQUEST_BIT};
use crate::membership::failure_detector::FailureDetector;
use crate::membership::format::FormatVersion;
use crate::membership::peer_confirmations::{Peer, PeerConfirmations};
use crate::names::{ImageNames, PlaceNames};
use crate::overflow::OverflowLog;
use crate::pending_call::PendingCall;
use crate::records::{DemandRecord, ShardId};
use crate::store::queue::{Store, StoreCall, Urgency};
use crate::Ms;
use forkshift_links::{CloudLink, Links, Redirects, RelayTable};
use forkshift_wire::cloud::Machines;
use forkshift_wire::peer::{Body, Envelope};
use forkshift_wire::state::{Transaction, TransactionReply, Write};
use forkshift_wire::{MachineId, NodeName};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A request that was passed on is of no use after this.
const PEER_REQUEST_TTL_MS: Ms = 5_000;

/// The revision of the state service when it answered a transaction; 0
/// without an answer.
pub(crate) fn revision_of(body: &[u8]) -> u64 {
    let reply: TransactionReply = serde_json::from_slice(body).unwrap_or_default();
    reply.revision
}

/// Whether a watch must begin anew: it is too far behind, or more has changed
/// than an answer may hold. The same watch would fail for ever.
pub(crate) fn is_watch_lost(status: u16) -> bool {
    matches!(status, 410 | 413)
}

/// Time, settings, and a way out.
pub(crate) struct Context {
    pub(crate) now: Ms,
    pub(crate) wall_clock_ms: Ms,
    pub(crate) config: Rc<Config>,
    /// The newest format that may be written: the finalized one, once the view
    /// has shown it.
    pub(crate) format: FormatVersion,
    /// Limits of the state service that everything sent there keeps to.
    pub(crate) limits: StateLimits,
    /// The state service has refused a change for its size.
    pub(crate) is_size_refused: bool,
    pub(crate) incarnation: u64,
    pub(crate) effects: Vec<Effect>,
    pub(crate) store: Store,
    pub(crate) rng: StdRng,
    pub(crate) pending: HashMap<CallId, PendingCall>,
    /// Inputs that the controller makes for itself: calls that never went out.
    pub(crate) unsent_calls: Vec<PendingCall>,
    /// Unmet demand of our own shards, while we are the leader.
    pub(crate) unmet_demand: Vec<(ShardId, u64, DemandRecord)>,
    /// Requests that other controllers have passed on.
    pub(crate) peer_requests: BTreeMap<RequestId, PeerRequest>,
    /// Whether we may answer from memory, as of this step.
    pub(crate) has_valid_lease: bool,
    /// When we last went on after standing still.
    pub(crate) resumed_at: Ms,
    pub(crate) failure_detector: FailureDetector,
    /// Which of our links are up.
    pub(crate) links: Links,
    pub(crate) cloud_link: CloudLink,
    /// Workers that other controllers do not hear.
    pub(crate) relays: RelayTable,
    /// Workers that were sent to other controllers lately.
    pub(crate) redirects: Redirects,
    /// Until then we say that we hear no machine.
    pub(crate) reports_no_heartbeats_until: Ms,
    /// Peers that were heard.
    pub(crate) peers: BTreeMap<NodeName, Peer>,
    pub(crate) peer_confirmations: PeerConfirmations,
    /// Calls to workers that are under way.
    pub(crate) worker_calls: usize,
    /// Machines, jobs and tasks looked at: the work of a step, counted.
    pub(crate) work_units: u64,
    next_call: CallId,
    /// Numbers of machine types and zones.
    pub(crate) places: PlaceNames,
    /// Numbers of images.
    pub(crate) images: ImageNames,
    pub(crate) overflows: OverflowLog,
}

/// A request that another controller has passed on.
pub(crate) struct PeerRequest {
    from: NodeName,
    /// The start of it that did. Another start may use the same name for
    /// something else, and must not take the answer for its own.
    incarnation: u64,
    /// Its name for the request.
    request_number: u64,
    until: Ms,
}

/// Time that the state service has for an answer.
const STATE_TIMEOUT: Ms = 2_000;

impl Context {
    /// The context of a controller that starts.
    pub(crate) fn new(config: Rc<Config>, incarnation: u64, seed: u64) -> Self {
        let n = config.nodes.len() as f64;
        let image_names = config.bounds.image_names;
        let redirects = Redirects::new(config.lease_ms);
        Self {
            now: 0,
            wall_clock_ms: 0,
            store: Store::new(
                config.state_limits.rps / n,
                config.state_limits.write_rps / n,
            ),
            format: FormatVersion::FIRST,
            limits: config.state_limits,
            is_size_refused: false,
            config,
            incarnation,
            effects: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            pending: HashMap::new(),
            unsent_calls: Vec::new(),
            unmet_demand: Vec::new(),
            peer_requests: BTreeMap::new(),
            has_valid_lease: false,
            resumed_at: 0,
            failure_detector: FailureDetector::default(),
            links: Links::default(),
            cloud_link: CloudLink::default(),
            relays: RelayTable::default(),
            redirects,
            reports_no_heartbeats_until: 0,
            peers: BTreeMap::new(),
            peer_confirmations: PeerConfirmations::default(),
            worker_calls: 0,
            work_units: 0,
            next_call: 0,
            places: PlaceNames::default(),
            images: ImageNames::new(image_names),
            overflows: OverflowLog::default(),
        }
    }

    /// Milliseconds between two looks at who is there and what is needed.
    pub(crate) fn heartbeat_interval_ms(&self) -> Ms {
        crate::ms(self.config.ops.assign_s).max(100)
    }

    /// How long ago a time of day was, at the most: it was read by another
    /// controller, and both clocks may be off.
    pub(crate) fn longest_age_of(&self, wall: Ms) -> Ms {
        self.wall_clock_ms.saturating_sub(wall) + self.config.clock_off_ms * 2
    }

    /// Whether there are warm pools, and all controllers know them.
    pub(crate) fn has_pools(&self) -> bool {
        self.format >= FormatVersion::POOLS && !self.config.ops.pools.is_empty()
    }

    /// Tells another controller something that it will learn anyway.
    pub(crate) fn send_to_peer(&mut self, node: &NodeName, epoch: u64, body: Body) {
        let envelope = Envelope {
            version: body.version(),
            from: self.config.node.to_string(),
            incarnation: self.incarnation,
            epoch,
            body,
        };
        match envelope.encode() {
            Ok(message) => self.effects.push(Effect::SendToPeer {
                node: node.clone(),
                message,
            }),
            Err(e) => log::error!("not told to {node}: {e}"),
        }
    }

    /// A name for a request that another controller has passed on.
    pub(crate) fn add_peer_request(
        &mut self,
        from: NodeName,
        incarnation: u64,
        request_number: u64,
    ) -> RequestId {
        self.next_call += 1;
        let request = RequestId(self.next_call | PEER_REQUEST_BIT);
        let until = self.now + PEER_REQUEST_TTL_MS;
        let peer_request = PeerRequest {
            from,
            incarnation,
            request_number,
            until,
        };
        self.peer_requests.insert(request, peer_request);
        request
    }

    /// Drops requests of other controllers that can have no answer in time.
    pub(crate) fn expire_peer_requests(&mut self) {
        let now = self.now;
        self.peer_requests.retain(|_, r| now < r.until);
    }

    /// Answers a request, of a user or of another controller.
    pub(crate) fn respond(&mut self, request: RequestId, reply: Reply) {
        if request.is_from_peer() {
            if let Some(peer_request) = self.peer_requests.remove(&request) {
                let body = Body::ForwardedResponse {
                    incarnation: peer_request.incarnation,
                    request_number: peer_request.request_number,
                    status: reply.status,
                    body: reply.body,
                    retry_after_s: reply.retry_after_s,
                };
                self.send_to_peer(&peer_request.from, 0, body);
            }
            return;
        }
        self.effects.push(Effect::Respond { request, reply });
    }

    fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        timeout: Ms,
        pending: PendingCall,
    ) -> CallId {
        self.next_call += 1;
        let id = self.next_call;
        self.pending.insert(id, pending);
        self.effects.push(Effect::Call {
            id,
            target,
            method,
            path,
            body,
            timeout,
        });
        id
    }

    /// Sends what the budget of the state service allows.
    pub(crate) fn send_due_store_calls(&mut self) {
        let due = self.store.take_due(self.now);
        for call in due.to_send {
            self.call(
                Target::Store,
                call.method,
                call.path,
                call.body,
                call.timeout,
                call.pending,
            );
        }
        self.unsent_calls
            .extend(due.rejected.into_iter().map(|c| c.pending));
    }

    /// Reads from the state service.
    pub(crate) fn read_store(&mut self, urgency: Urgency, path: String, pending: PendingCall) {
        let call = StoreCall {
            method: "GET",
            path,
            body: None,
            writes: 0,
            timeout: STATE_TIMEOUT,
            expires: self.now + STATE_TIMEOUT,
            pending,
        };
        self.store.push(urgency, call);
    }

    /// Pause between two watches of a kind that every controller keeps one
    /// of, so that all of them take this part of the requests.
    pub(crate) fn watch_pause(&self, part: f64) -> Ms {
        let all = self.limits.rps * part;
        (self.config.nodes.len() as f64 * 1000.0 / all.max(0.1)) as Ms
    }

    /// Waits for changes below a prefix.
    pub(crate) fn watch_store(&mut self, prefix: &str, from: u64, wait: Ms, pending: PendingCall) {
        let call = StoreCall {
            method: "GET",
            path: format!("/changes?starts={prefix}&from={from}&wait_ms={wait}"),
            body: None,
            writes: 0,
            timeout: wait + STATE_TIMEOUT * 2,
            expires: self.now + STATE_TIMEOUT,
            pending,
        };
        self.store.push(Urgency::Membership, call);
    }

    /// Sends the state service something other than a transaction.
    pub(crate) fn call_store(
        &mut self,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        pending: PendingCall,
    ) {
        let call = StoreCall {
            method,
            path,
            body,
            writes: 0,
            timeout: STATE_TIMEOUT,
            expires: self.now + STATE_TIMEOUT,
            pending,
        };
        self.store.push(Urgency::Membership, call);
    }

    /// Sends a transaction to the state service.
    pub(crate) fn transact(
        &mut self,
        urgency: Urgency,
        transaction: &Transaction,
        pending: PendingCall,
    ) {
        let body = serde_json::to_vec(transaction).unwrap_or_default();
        if body.len() > self.limits.value_bytes || transaction.writes.len() > self.limits.txn_ops {
            self.log_oversized_changes(transaction);
        }
        let call = StoreCall {
            method: "POST",
            path: "/txn".to_owned(),
            body: Some(body),
            writes: transaction.writes.len(),
            timeout: STATE_TIMEOUT,
            expires: self.now + STATE_TIMEOUT,
            pending,
        };
        self.store.push(urgency, call);
    }

    /// Logs what of a transaction goes beyond the limits of the state service.
    fn log_oversized_changes(&self, transaction: &Transaction) {
        let (changes, most) = (transaction.writes.len(), self.limits.txn_ops);
        if changes > most {
            log::error!("{changes} changes at once, of {most}");
        }
        for write in &transaction.writes {
            let Write::Put { put, value, .. } = write else {
                continue;
            };
            let (bytes, most) = (value.to_string().len(), self.limits.value_bytes);
            if bytes > most {
                log::error!("{put} has {bytes} bytes, of {most}");
            }
        }
    }

    /// Calls the cloud.
    pub(crate) fn call_cloud(
        &mut self,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        pending: PendingCall,
    ) -> CallId {
        self.call(Target::Cloud, method, path, body, 5_000, pending)
    }

    /// Has the cloud delete machines.
    pub(crate) fn delete_machines(&mut self, machines: Vec<MachineId>, pending: PendingCall) {
        let body = serde_json::to_vec(&Machines { machines }).unwrap_or_default();
        let path = "/machines/delete".to_owned();
        self.call_cloud("POST", path, Some(body), pending);
    }

    /// Asks a worker for its report.
    pub(crate) fn request_worker_status(&mut self, addr: &str, timeout: Ms, pending: PendingCall) {
        self.worker_calls += 1;
        let target = Target::Worker(addr.to_owned());
        let path = "/status".to_owned();
        self.call(target, "GET", path, None, timeout, pending);
    }

    /// Sends commands to a worker.
    pub(crate) fn send_commands(
        &mut self,
        addr: &str,
        body: Vec<u8>,
        timeout: Ms,
        pending: PendingCall,
    ) -> CallId {
        self.worker_calls += 1;
        self.call(
            Target::Worker(addr.to_owned()),
            "POST",
            "/commands".to_owned(),
            Some(body),
            timeout,
            pending,
        )
    }
}
