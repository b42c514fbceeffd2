//! Membership: this controller's lease, its record, and leadership.

use crate::context::{revision_of, Context};
use crate::pending_call::PendingCall;
use crate::records::{node_key, LeaderRecord, NodeRecord, LEADER};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::state::{LeaseReply, LeaseRequest, Precondition, Transaction, Write};
use forkshift_wire::users::Refusal;
use serde::Serialize;
use serde_json::to_value;

/// What the state service says of a lease that has ended.
const NO_SUCH_LEASE: &str = "no such lease";

/// How long a controller that has lost the cloud leaves it to others to lead, in leases of a
/// controller: the first time, and at most.
const FIRST_ABSTENTION_LEASES: Ms = 4;
const LONGEST_ABSTENTION_LEASES: Ms = 64;

/// Where this controller stands with the state service.
#[derive(Default)]
pub(crate) struct Membership {
    lease: Option<u64>,
    /// When the last extension that succeeded was sent.
    last_renewal_sent_at: Ms,
    is_renewing: bool,
    next_renewal_at: Ms,
    is_registering: bool,
    is_electing: bool,
    /// Since when nobody has led.
    leaderless_since: Option<Ms>,
    /// Our record is on our lease.
    is_registered: bool,
    /// The revision that put it there.
    registered_revision: u64,
    /// Our record and the leader's are written again only in sight of what
    /// became of the last try: the view is behind by the pause between two
    /// watches, and tries that must fail count against the budget all the same.
    required_revision: u64,
}

impl Membership {
    /// Until when this controller may answer from memory. Counted from the
    /// moment the last extension was *sent*, less what clocks may drift: by
    /// then the lease is still alive at the state service, so nobody else can
    /// have been given our shards.
    pub(crate) fn lease_valid_until(&self, ctx: &Context) -> Ms {
        let ttl = ctx.config.node_lease_ms();
        self.last_renewal_sent_at + ttl - ttl / 500
    }

    /// Whether this controller may answer from memory. A lease that was lost
    /// and replaced gives no right until the view has caught up with our new
    /// record: while we had no lease, our shards may have been given away.
    pub(crate) fn has_valid_lease(&self, ctx: &Context, view: &ClusterView) -> bool {
        self.is_registered
            && self.lease.is_some()
            && ctx.now < self.lease_valid_until(ctx)
            && !self.is_view_behind(view)
    }

    /// Whether the view is older than our own record.
    pub(crate) fn is_view_behind(&self, view: &ClusterView) -> bool {
        self.is_registered && view.revision < self.registered_revision
    }

    /// Whether something is to be done once the view has caught up.
    pub(crate) fn waits_for_view(&self, view: &ClusterView) -> bool {
        view.revision < self.required_revision
    }

    /// When the last extension that succeeded was sent.
    pub(crate) fn last_renewal_sent_at(&self) -> Ms {
        self.last_renewal_sent_at
    }

    /// Whether this controller's record is known to be on its lease.
    pub(crate) fn is_registered(&self) -> bool {
        self.is_registered
    }

    /// Keeps the lease, the record and, if this controller leads, leadership.
    pub(crate) fn tick(&mut self, ctx: &mut Context, view: &ClusterView) {
        if !self.is_renewing && ctx.now >= self.next_renewal_at {
            self.renew(ctx);
        }
        let Some(lease) = self.lease else { return };
        if !view.is_complete || self.waits_for_view(view) {
            return;
        }
        let mine = view.is_alive(&ctx.config.node, ctx.incarnation);
        let blind = ctx.now < ctx.reports_no_heartbeats_until;
        let node = view.nodes.get(&ctx.config.node);
        let format = ctx.config.registered_format(view.format());
        let says = node
            .is_some_and(|n| n.record.receives_no_heartbeats == blind && n.record.format == format);
        if !self.is_registering && (!mine || !self.is_registered || !says) {
            let key = node_key(&ctx.config.node);
            let version = node.map_or(0, |n| n.version);
            let record = NodeRecord {
                incarnation: ctx.incarnation,
                receives_no_heartbeats: blind,
                format,
            };
            self.is_registering = true;
            put_with_lease(
                ctx,
                key,
                version,
                &record,
                lease,
                PendingCall::NodeRecordWrite { lease },
            );
        }
        self.leaderless_since = match &view.leader {
            None => Some(self.leaderless_since.unwrap_or(ctx.now)),
            Some(_) => None,
        };
        if mine
            && self.is_registered
            && !self.is_electing
            && !self.abstains_from_election(ctx, view)
        {
            // A leader's key left over from an earlier start of this very
            // controller belongs to a process that is gone for certain.
            let version = match &view.leader {
                None => 0,
                Some(l)
                    if l.record.node == ctx.config.node
                        && l.record.incarnation != ctx.incarnation =>
                {
                    l.version
                }
                Some(_) => return,
            };
            let record = LeaderRecord {
                node: ctx.config.node.clone(),
                incarnation: ctx.incarnation,
            };
            self.is_electing = true;
            put_with_lease(
                ctx,
                LEADER.to_owned(),
                version,
                &record,
                lease,
                PendingCall::LeaderRecordWrite,
            );
        }
    }

    /// Whether another controller should lead: we have lost the cloud, and others are
    /// there who may not have. If none of them has come forward in time, we do.
    fn abstains_from_election(&self, ctx: &Context, view: &ClusterView) -> bool {
        let patience = ctx.config.node_lease_ms();
        let is_early = self
            .leaderless_since
            .is_some_and(|since| ctx.now < since + patience);
        is_early && view.nodes.len() > 1 && ctx.cloud_link.abstains_from_election(ctx.now)
    }

    /// Gives leadership up, for others to take. The condition is the leader's record: what
    /// was recorded under it before stays, and nothing is written under it any more.
    pub(crate) fn resign(&mut self, ctx: &mut Context, view: &ClusterView) {
        let Some(leader) = view.leader.as_ref().filter(|_| !self.is_electing) else {
            return;
        };
        log::info!("we do not reach the cloud: another controller should lead");
        let lease = ctx.config.node_lease_ms();
        let now = ctx.now;
        ctx.cloud_link.on_resigned(
            now,
            lease * FIRST_ABSTENTION_LEASES,
            lease * LONGEST_ABSTENTION_LEASES,
        );
        self.is_electing = true;
        let transaction = Transaction {
            preconditions: vec![Precondition {
                key: LEADER.to_owned(),
                version: leader.version,
            }],
            writes: vec![Write::Remove {
                remove: LEADER.to_owned(),
            }],
        };
        ctx.transact(
            Urgency::Membership,
            &transaction,
            PendingCall::LeaderRecordWrite,
        );
    }

    fn renew(&mut self, ctx: &mut Context) {
        self.is_renewing = true;
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

    /// The request for a lease was answered.
    pub(crate) fn on_lease_granted(&mut self, ctx: &Context, sent: Ms, status: u16, body: &[u8]) {
        self.is_renewing = false;
        let ttl = ctx.config.node_lease_ms();
        match serde_json::from_slice::<LeaseReply>(body) {
            Ok(reply) if status == 200 => {
                self.lease = Some(reply.lease);
                self.last_renewal_sent_at = sent;
                self.is_registered = false;
                self.next_renewal_at = sent + ttl / 4;
            }
            _ => self.next_renewal_at = ctx.now + ttl / 10,
        }
    }

    /// The extension of the lease was answered.
    pub(crate) fn on_lease_renewed(&mut self, ctx: &Context, sent: Ms, status: u16) {
        self.is_renewing = false;
        let ttl = ctx.config.node_lease_ms();
        match status {
            200 => {
                self.last_renewal_sent_at = sent;
                self.next_renewal_at = sent + ttl / 4;
            }
            404 => {
                log::info!("our lease ran out");
                self.lease = None;
                self.is_registered = false;
                self.next_renewal_at = ctx.now;
            }
            _ => self.next_renewal_at = ctx.now + ttl / 10,
        }
    }

    /// The write of this controller's record was answered.
    pub(crate) fn on_node_record_written(&mut self, lease: u64, status: u16, body: &[u8]) {
        self.is_registering = false;
        let revision = revision_of(body);
        self.required_revision = self.required_revision.max(revision);
        // A record on a lease that has ended since has gone with it.
        if self.lease != Some(lease) {
            return;
        }
        if status == 200 {
            self.is_registered = true;
            self.registered_revision = revision;
        } else if is_lease_expired(status, body) {
            self.lease = None;
        }
    }

    /// The write of the leader's record was answered.
    pub(crate) fn on_leader_record_written(&mut self, status: u16, body: &[u8]) {
        self.is_electing = false;
        let revision = revision_of(body);
        self.required_revision = self.required_revision.max(revision);
        if is_lease_expired(status, body) {
            self.lease = None;
            self.is_registered = false;
        }
    }
}

/// Whether a 400 tells of a lease that has ended, rather than of a change that
/// is malformed or too large.
pub(crate) fn is_no_such_lease(body: &[u8]) -> bool {
    serde_json::from_slice::<Refusal>(body).is_ok_and(|r| r.error == NO_SUCH_LEASE)
}

fn is_lease_expired(status: u16, body: &[u8]) -> bool {
    status == 400 && is_no_such_lease(body)
}

fn put_with_lease(
    ctx: &mut Context,
    key: String,
    version: u64,
    record: &impl Serialize,
    lease: u64,
    pending: PendingCall,
) {
    let value = to_value(record).unwrap_or_default();
    let transaction = Transaction {
        preconditions: vec![Precondition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Put {
            put: key,
            value,
            lease: Some(lease),
        }],
    };
    ctx.transact(Urgency::Membership, &transaction, pending);
}
