//! This controller's lease at the key-value store, its own record on that lease, and its
//! part in the election of the leader.
//!
//! The lease is renewed four times in its lifetime. The record of this controller and, if
//! it leads, the leader's record are written on the lease, so that the store removes both
//! when the lease expires.

use crate::context::{revision_of, Context};
use crate::pending_call::PendingCall;
use crate::records::{node_key, LeaderRecord, NodeRecord, LEADER_KEY};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::state::{LeaseReply, LeaseRequest, Precondition, Transaction, Write};
use forkshift_wire::users::ErrorBody;
use serde::Serialize;
use serde_json::to_value;

/// The error that the key-value store returns for a lease that has expired.
const NO_SUCH_LEASE: &str = "no such lease";

/// Renewals in the lifetime of a lease.
const RENEWALS_PER_LEASE: Ms = 4;
/// A failed request for the lease is retried after the lease's length divided by this.
const RETRIES_PER_LEASE: Ms = 10;
/// The lease counts as expired earlier by its length divided by this, as the clocks of the
/// store and of this controller may run at different rates.
const CLOCK_DRIFT_DIVISOR: Ms = 500;

/// How long a controller without a link to the cloud abstains from elections, in leases of
/// a controller: the first time, and at most.
const MIN_ABSTENTION_LEASES: Ms = 4;
const MAX_ABSTENTION_LEASES: Ms = 64;

/// When the lease is renewed or requested next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Renewal {
    /// At this time.
    DueAt(Ms),
    /// A request is in flight; the next one is scheduled when it ends.
    InFlight,
}

/// This controller's lease, its registration on it, and its part in elections.
pub(crate) struct Membership {
    /// The lease's number at the store; none before the first grant and after expiry.
    lease: Option<u64>,
    renewal: Renewal,
    /// When the last successful request for the lease or its renewal was sent.
    last_renewal_sent_at: Ms,
    /// A write of this controller's record is in flight.
    is_writing_node_record: bool,
    /// A write or removal of the leader's record is in flight.
    is_writing_leader_record: bool,
    /// Since when the view has shown no leader.
    leaderless_since: Option<Ms>,
    /// The revision at which this controller's record was written on its lease; none while
    /// the record is not known to be there.
    registered_revision: Option<u64>,
    /// This controller's record and the leader's are written again only once the view has
    /// reached this revision, which is that of the last attempt's answer. The view lags
    /// by the pause between two watches, and attempts on old versions fail but still
    /// count against the request budget.
    required_revision: u64,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            lease: None,
            renewal: Renewal::DueAt(0),
            last_renewal_sent_at: 0,
            is_writing_node_record: false,
            is_writing_leader_record: false,
            leaderless_since: None,
            registered_revision: None,
            required_revision: 0,
        }
    }
}

impl Membership {
    /// The time until which the lease is valid for certain. It is counted from the moment
    /// at which the last successful renewal was *sent*, less a margin for clock drift: up
    /// to then the store has not expired the lease, so no other controller can have been
    /// assigned the shards of this one.
    pub(crate) fn lease_valid_until(&self, ctx: &Context) -> Ms {
        let ttl = ctx.config.node_lease_ms();
        self.last_renewal_sent_at + ttl - ttl / CLOCK_DRIFT_DIVISOR
    }

    /// Whether this controller may answer from memory. A lease that replaces an expired
    /// one is not sufficient until the view shows the new registration: while there was no
    /// lease, the shards may have been assigned to others.
    pub(crate) fn has_valid_lease(&self, ctx: &Context, view: &ClusterView) -> bool {
        self.is_registered()
            && self.lease.is_some()
            && ctx.now < self.lease_valid_until(ctx)
            && !self.is_view_behind(view)
    }

    /// Whether the view is older than this controller's registration.
    fn is_view_behind(&self, view: &ClusterView) -> bool {
        self.registered_revision
            .is_some_and(|revision| view.revision < revision)
    }

    /// Whether a write is held back until the view has reached the last answer's revision.
    pub(crate) fn waits_for_view(&self, view: &ClusterView) -> bool {
        view.revision < self.required_revision
    }

    /// When the last successful renewal was sent.
    pub(crate) fn last_renewal_sent_at(&self) -> Ms {
        self.last_renewal_sent_at
    }

    /// Whether this controller's record is known to be on its lease.
    pub(crate) fn is_registered(&self) -> bool {
        self.registered_revision.is_some()
    }

    /// Renews the lease, keeps this controller's record up to date, and takes part in
    /// elections. Records are written only with a lease and a view that is up to date.
    pub(crate) fn tick(&mut self, ctx: &mut Context, view: &ClusterView) {
        self.renew_if_due(ctx);
        let Some(lease) = self.lease else { return };
        if !view.is_complete || self.waits_for_view(view) {
            return;
        }
        self.register_if_needed(ctx, view, lease);
        self.track_leader(ctx.now, view);
        self.run_for_leader(ctx, view, lease);
    }

    /// Writes this controller's record if the view shows none of this incarnation, or one
    /// that is out of date.
    fn register_if_needed(&mut self, ctx: &mut Context, view: &ClusterView, lease: u64) {
        let current = view.nodes.get(&ctx.config.node);
        let record = NodeRecord {
            incarnation: ctx.incarnation,
            receives_no_heartbeats: ctx.now < ctx.reports_no_heartbeats_until,
            format: ctx.config.registered_format(view.format()),
        };
        let is_up_to_date = current.is_some_and(|c| {
            c.record.incarnation == record.incarnation
                && c.record.receives_no_heartbeats == record.receives_no_heartbeats
                && c.record.format == record.format
        });
        if self.is_writing_node_record || (is_up_to_date && self.is_registered()) {
            return;
        }
        self.is_writing_node_record = true;
        let key = node_key(&ctx.config.node);
        let version = current.map_or(0, |c| c.version);
        let transaction = put_on_lease(key, version, &record, lease);
        ctx.transact(
            Urgency::Membership,
            &transaction,
            PendingCall::NodeRecordWrite { lease },
        );
    }

    /// Records since when the view has shown no leader.
    fn track_leader(&mut self, now: Ms, view: &ClusterView) {
        self.leaderless_since = match &view.leader {
            None => Some(self.leaderless_since.unwrap_or(now)),
            Some(_) => None,
        };
    }

    /// Tries to become the leader if there is none. Only a controller whose current
    /// registration is visible in the view may run.
    fn run_for_leader(&mut self, ctx: &mut Context, view: &ClusterView, lease: u64) {
        let is_visible = view.is_registered(&ctx.config.node, ctx.incarnation);
        if !is_visible
            || !self.is_registered()
            || self.is_writing_leader_record
            || self.abstains_from_election(ctx, view)
        {
            return;
        }
        let Some(version) = replaceable_leader_version(ctx, view) else {
            return;
        };
        let record = LeaderRecord {
            node: ctx.config.node.clone(),
            incarnation: ctx.incarnation,
        };
        self.is_writing_leader_record = true;
        let transaction = put_on_lease(LEADER_KEY.to_owned(), version, &record, lease);
        ctx.transact(
            Urgency::Membership,
            &transaction,
            PendingCall::LeaderRecordWrite,
        );
    }

    /// Whether another controller should become the leader: this one has no link to the
    /// cloud, and others may have. It runs after all if none of them has won within a
    /// lease's length.
    fn abstains_from_election(&self, ctx: &Context, view: &ClusterView) -> bool {
        let max_leaderless = ctx.config.node_lease_ms();
        let is_early = self
            .leaderless_since
            .is_some_and(|since| ctx.now < since + max_leaderless);
        is_early && view.nodes.len() > 1 && ctx.cloud_link.abstains_from_election(ctx.now)
    }

    /// Resigns as the leader, so that another controller is elected. The removal has the
    /// leader's record as its precondition: what was written under it stays, and nothing
    /// more is written under it.
    pub(crate) fn resign(&mut self, ctx: &mut Context, view: &ClusterView) {
        let Some(leader) = view
            .leader
            .as_ref()
            .filter(|_| !self.is_writing_leader_record)
        else {
            return;
        };
        log::info!("leader: resigns, as it has no link to the cloud");
        let lease_ms = ctx.config.node_lease_ms();
        let now = ctx.now;
        ctx.cloud_link.on_resigned(
            now,
            lease_ms * MIN_ABSTENTION_LEASES,
            lease_ms * MAX_ABSTENTION_LEASES,
        );
        self.is_writing_leader_record = true;
        let transaction = Transaction {
            preconditions: vec![Precondition {
                key: LEADER_KEY.to_owned(),
                version: leader.version,
            }],
            writes: vec![Write::Remove {
                key: LEADER_KEY.to_owned(),
            }],
        };
        ctx.transact(
            Urgency::Membership,
            &transaction,
            PendingCall::LeaderRecordWrite,
        );
    }

    /// Renews the lease, or requests one, if that is due.
    fn renew_if_due(&mut self, ctx: &mut Context) {
        match self.renewal {
            Renewal::DueAt(due_at) if ctx.now >= due_at => {}
            _ => return,
        }
        self.renewal = Renewal::InFlight;
        let sent = ctx.now;
        match self.lease {
            Some(lease) => {
                let path = format!("/grants/{lease}/extend");
                ctx.call_store("POST", path, None, PendingCall::LeaseRenewal { sent });
            }
            None => {
                let ttl_ms = ctx.config.node_lease_ms();
                let body = serde_json::to_vec(&LeaseRequest { ttl_ms }).unwrap_or_default();
                ctx.call_store(
                    "POST",
                    "/grants".to_owned(),
                    Some(body),
                    PendingCall::LeaseGrant { sent },
                );
            }
        }
    }

    /// Processes the answer to a request for a lease that was sent at `sent`. The new lease
    /// has no record on it yet.
    pub(crate) fn on_lease_granted(&mut self, ctx: &Context, sent: Ms, status: u16, body: &[u8]) {
        let ttl = ctx.config.node_lease_ms();
        match serde_json::from_slice::<LeaseReply>(body) {
            Ok(reply) if status == 200 => {
                self.lease = Some(reply.lease);
                self.last_renewal_sent_at = sent;
                self.registered_revision = None;
                self.renewal = Renewal::DueAt(sent + ttl / RENEWALS_PER_LEASE);
            }
            _ => self.renewal = Renewal::DueAt(ctx.now + ttl / RETRIES_PER_LEASE),
        }
    }

    /// Processes the answer to a renewal that was sent at `sent`. If the lease has expired,
    /// a new one is requested at once.
    pub(crate) fn on_lease_renewed(&mut self, ctx: &Context, sent: Ms, status: u16) {
        let ttl = ctx.config.node_lease_ms();
        let due_at = match status {
            200 => {
                self.last_renewal_sent_at = sent;
                sent + ttl / RENEWALS_PER_LEASE
            }
            404 => {
                log::info!("lease: expired");
                self.lease = None;
                self.registered_revision = None;
                ctx.now
            }
            _ => ctx.now + ttl / RETRIES_PER_LEASE,
        };
        self.renewal = Renewal::DueAt(due_at);
    }

    /// Processes the answer to the write of this controller's record on `lease`.
    pub(crate) fn on_node_record_written(&mut self, lease: u64, status: u16, body: &[u8]) {
        self.is_writing_node_record = false;
        let revision = revision_of(body);
        self.required_revision = self.required_revision.max(revision);
        // The store has removed a record on a lease that has expired since.
        if self.lease != Some(lease) {
            return;
        }
        if status == 200 {
            self.registered_revision = Some(revision);
        } else if is_lease_expired(status, body) {
            self.lease = None;
        }
    }

    /// Processes the answer to a write or removal of the leader's record.
    pub(crate) fn on_leader_record_written(&mut self, status: u16, body: &[u8]) {
        self.is_writing_leader_record = false;
        let revision = revision_of(body);
        self.required_revision = self.required_revision.max(revision);
        if is_lease_expired(status, body) {
            self.lease = None;
            self.registered_revision = None;
        }
    }
}

/// The version of the leader's record that this controller may replace; 0 if there is no
/// leader, none if another one leads. A record that an earlier incarnation of this
/// controller left behind may be replaced: that process has exited for certain.
fn replaceable_leader_version(ctx: &Context, view: &ClusterView) -> Option<u64> {
    let Some(leader) = &view.leader else {
        return Some(0);
    };
    let is_own = leader.record.node == ctx.config.node;
    let is_earlier = leader.record.incarnation != ctx.incarnation;
    (is_own && is_earlier).then_some(leader.version)
}

/// Whether the body of a 400 says that the lease has expired, rather than that the
/// transaction is malformed or too large.
pub(crate) fn is_no_such_lease(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorBody>(body).is_ok_and(|r| r.error == NO_SUCH_LEASE)
}

fn is_lease_expired(status: u16, body: &[u8]) -> bool {
    status == 400 && is_no_such_lease(body)
}

/// A transaction that writes a record on a lease if its key still has a version.
fn put_on_lease(key: String, version: u64, record: &impl Serialize, lease: u64) -> Transaction {
    let value = to_value(record).unwrap_or_default();
    Transaction {
        preconditions: vec![Precondition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Put {
            key,
            value,
            lease: Some(lease),
        }],
    }
}
