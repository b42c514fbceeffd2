//! Membership: this controller's lease, its record, and leadership.

use crate::context::{revision_of, Context};
use crate::pending::Pending;
use crate::records::{node_key, LeaderRecord, NodeRecord, LEADER};
use crate::store::Urgency;
use crate::view::View;
use crate::Ms;
use forkshift_wire::state::{Cond, LeaseReply, LeaseRequest, Txn, Write};
use forkshift_wire::users::Refusal;
use serde::Serialize;
use serde_json::to_value;

/// What the state service says of a lease that has ended.
const NO_SUCH_LEASE: &str = "no such lease";

/// How long a controller that has lost the cloud leaves it to others to lead, in leases of a
/// controller: the first time, and at most.
const ABSTAINED_LEASES: Ms = 4;
const ABSTAINED_LEASES_MOST: Ms = 64;

/// Where this controller stands with the state service.
#[derive(Default)]
pub(crate) struct Member {
    lease: Option<u64>,
    /// When the last extension that succeeded was sent.
    extended: Ms,
    asked: bool,
    next: Ms,
    putting: bool,
    electing: bool,
    /// Since when nobody has led.
    leaderless_since: Option<Ms>,
    /// Our record is on our lease.
    registered: bool,
    /// The revision that put it there.
    registered_at: u64,
    /// Our record and the leader's are written again only in sight of what
    /// became of the last try: the view is behind by the pause between two
    /// watches, and tries that must fail count against the budget all the same.
    seen_from: u64,
}

impl Member {
    /// Until when this controller may answer from memory. Counted from the
    /// moment the last extension was *sent*, less what clocks may drift: by
    /// then the lease is still alive at the state service, so nobody else can
    /// have been given our shards.
    pub(crate) fn right_until(&self, ctx: &Context) -> Ms {
        let ttl = ctx.cfg.node_lease_ms();
        self.extended + ttl - ttl / 500
    }

    /// Whether this controller may answer from memory. A lease that was lost
    /// and replaced gives no right until the view has caught up with our new
    /// record: while we had no lease, our shards may have been given away.
    pub(crate) fn has_right(&self, ctx: &Context, view: &View) -> bool {
        self.registered
            && self.lease.is_some()
            && ctx.now < self.right_until(ctx)
            && !self.is_behind(view)
    }

    /// Whether the view is older than our own record.
    pub(crate) fn is_behind(&self, view: &View) -> bool {
        self.registered && view.revision < self.registered_at
    }

    /// Whether something is to be done once the view has caught up.
    pub(crate) fn waits_for_view(&self, view: &View) -> bool {
        view.revision < self.seen_from
    }

    /// When the last extension that succeeded was sent.
    pub(crate) fn extended(&self) -> Ms {
        self.extended
    }

    /// Whether this controller's record is known to be on its lease.
    pub(crate) fn is_registered(&self) -> bool {
        self.registered
    }

    /// Keeps the lease, the record and, if this controller leads, leadership.
    pub(crate) fn tick(&mut self, ctx: &mut Context, view: &View) {
        if !self.asked && ctx.now >= self.next {
            self.ask(ctx);
        }
        let Some(lease) = self.lease else { return };
        if !view.ready || self.waits_for_view(view) {
            return;
        }
        let mine = view.is_alive(&ctx.cfg.node, ctx.inc);
        let blind = ctx.now < ctx.blind_until;
        let node = view.nodes.get(&ctx.cfg.node);
        let format = ctx.cfg.registered_format(view.format());
        let says = node.is_some_and(|n| n.rec.blind == blind && n.rec.format == format);
        if !self.putting && (!mine || !self.registered || !says) {
            let key = node_key(&ctx.cfg.node);
            let version = node.map_or(0, |n| n.version);
            let rec = NodeRecord {
                inc: ctx.inc,
                blind,
                format,
            };
            self.putting = true;
            put_leased(ctx, key, version, &rec, lease, Pending::NodePut { lease });
        }
        self.leaderless_since = match &view.leader {
            None => Some(self.leaderless_since.unwrap_or(ctx.now)),
            Some(_) => None,
        };
        if mine && self.registered && !self.electing && !self.leaves_it_to_others(ctx, view) {
            // A leader's key left over from an earlier start of this very
            // controller belongs to a process that is gone for certain.
            let version = match &view.leader {
                None => 0,
                Some(l) if l.rec.node == ctx.cfg.node && l.rec.inc != ctx.inc => l.version,
                Some(_) => return,
            };
            let rec = LeaderRecord {
                node: ctx.cfg.node.clone(),
                inc: ctx.inc,
            };
            self.electing = true;
            put_leased(
                ctx,
                LEADER.to_owned(),
                version,
                &rec,
                lease,
                Pending::LeaderPut,
            );
        }
    }

    /// Whether another controller should lead: we have lost the cloud, and others are
    /// there who may not have. If none of them has come forward in time, we do.
    fn leaves_it_to_others(&self, ctx: &Context, view: &View) -> bool {
        let patience = ctx.cfg.node_lease_ms();
        let is_early = self
            .leaderless_since
            .is_some_and(|since| ctx.now < since + patience);
        is_early && view.nodes.len() > 1 && ctx.cloud_link.abstains(ctx.now)
    }

    /// Gives leadership up, for others to take. The condition is the leader's record: what
    /// was recorded under it before stays, and nothing is written under it any more.
    pub(crate) fn resign(&mut self, ctx: &mut Context, view: &View) {
        let Some(leader) = view.leader.as_ref().filter(|_| !self.electing) else {
            return;
        };
        log::info!("we do not reach the cloud: another controller should lead");
        let lease = ctx.cfg.node_lease_ms();
        let now = ctx.now;
        ctx.cloud_link
            .on_resigned(now, lease * ABSTAINED_LEASES, lease * ABSTAINED_LEASES_MOST);
        self.electing = true;
        let txn = Txn {
            conds: vec![Cond {
                key: LEADER.to_owned(),
                version: leader.version,
            }],
            writes: vec![Write::Remove {
                remove: LEADER.to_owned(),
            }],
        };
        ctx.txn(Urgency::Member, &txn, Pending::LeaderPut);
    }

    fn ask(&mut self, ctx: &mut Context) {
        self.asked = true;
        let sent = ctx.now;
        match self.lease {
            Some(lease) => {
                let path = format!("/grants/{lease}/extend");
                ctx.post("POST", path, None, Pending::Extend { sent });
            }
            None => {
                let ttl_ms = ctx.cfg.node_lease_ms();
                let body = serde_json::to_vec(&LeaseRequest { ttl_ms }).unwrap_or_default();
                ctx.post(
                    "POST",
                    "/grants".to_owned(),
                    Some(body),
                    Pending::Lease { sent },
                );
            }
        }
    }

    /// The request for a lease was answered.
    pub(crate) fn on_lease(&mut self, ctx: &Context, sent: Ms, status: u16, body: &[u8]) {
        self.asked = false;
        let ttl = ctx.cfg.node_lease_ms();
        match serde_json::from_slice::<LeaseReply>(body) {
            Ok(reply) if status == 200 => {
                self.lease = Some(reply.lease);
                self.extended = sent;
                self.registered = false;
                self.next = sent + ttl / 4;
            }
            _ => self.next = ctx.now + ttl / 10,
        }
    }

    /// The extension of the lease was answered.
    pub(crate) fn on_extend(&mut self, ctx: &Context, sent: Ms, status: u16) {
        self.asked = false;
        let ttl = ctx.cfg.node_lease_ms();
        match status {
            200 => {
                self.extended = sent;
                self.next = sent + ttl / 4;
            }
            404 => {
                log::info!("our lease ran out");
                self.lease = None;
                self.registered = false;
                self.next = ctx.now;
            }
            _ => self.next = ctx.now + ttl / 10,
        }
    }

    /// The write of this controller's record was answered.
    pub(crate) fn on_node_put(&mut self, lease: u64, status: u16, body: &[u8]) {
        self.putting = false;
        let revision = revision_of(body);
        self.seen_from = self.seen_from.max(revision);
        // A record on a lease that has ended since has gone with it.
        if self.lease != Some(lease) {
            return;
        }
        if status == 200 {
            self.registered = true;
            self.registered_at = revision;
        } else if is_lease_gone(status, body) {
            self.lease = None;
        }
    }

    /// The write of the leader's record was answered.
    pub(crate) fn on_leader_put(&mut self, status: u16, body: &[u8]) {
        self.electing = false;
        let revision = revision_of(body);
        self.seen_from = self.seen_from.max(revision);
        if is_lease_gone(status, body) {
            self.lease = None;
            self.registered = false;
        }
    }
}

/// Whether a 400 tells of a lease that has ended, rather than of a change that
/// is malformed or too large.
pub(crate) fn is_no_such_lease(body: &[u8]) -> bool {
    serde_json::from_slice::<Refusal>(body).is_ok_and(|r| r.error == NO_SUCH_LEASE)
}

fn is_lease_gone(status: u16, body: &[u8]) -> bool {
    status == 400 && is_no_such_lease(body)
}

fn put_leased(
    ctx: &mut Context,
    key: String,
    version: u64,
    rec: &impl Serialize,
    lease: u64,
    pending: Pending,
) {
    let value = to_value(rec).unwrap_or_default();
    let txn = Txn {
        conds: vec![Cond {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Put {
            put: key,
            value,
            lease: Some(lease),
        }],
    };
    ctx.txn(Urgency::Member, &txn, pending);
}
