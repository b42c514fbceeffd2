//! The leader: assigns shares, and alone speaks to the cloud.

use crate::ctx::{revision_of, Ctx, Pending};
use crate::records::{
    abort_key, charter_key, machine_key, share_key, total_of, type_key, CharterRec, DemandRec,
    MachineRec, ShapeRec, ShareId, LEADER,
};
use crate::share::{hand_over, remove_key};
use crate::store::{Bucket, Urgency};
use crate::view::{Changed, View};
use crate::Ms;
use forkshift_sched::{plan, Offer, Resources, Shape};
use forkshift_wire::cloud::{
    Catalog, Listed, MachineList, MachineStage, Machines, Rent, DELETE_MOST, LIST_MOST, RENT_MOST,
};
use forkshift_wire::state::{Cond, Txn, Write};
use forkshift_wire::{JobId, MachineId, NodeName};
use serde_json::to_value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A controller that came back is given a share after this many of its leases.
const STEADY_LEASES: u64 = 4;
/// A machine that has not come up after this many boots never will.
const BOOTS_MOST: f64 = 3.0;
/// What a holder told of its share counts for this many rounds.
const TOLD_ROUNDS: f64 = 4.0;
/// A machine missing from this many lists in a row is gone.
const ABSENT_LISTS: u32 = 3;

/// What the cloud has answered to a rental request, while it is written.
struct Outcome {
    rec: CharterRec,
    /// Version of the intent's record.
    version: u64,
    machines: Vec<MachineId>,
}

/// What the leader remembers.
pub(crate) struct Leader {
    active: bool,
    active_since: Ms,
    bucket: Bucket,
    pause_until: Ms,
    assign_at: Ms,
    assigning: BTreeSet<ShareId>,
    catalog_at: Ms,
    list_at: Ms,
    listing: bool,
    renting: BTreeSet<String>,
    /// Answers of the cloud that are being written.
    outcomes: BTreeMap<String, Outcome>,
    /// Charters that the view must show before a share's demand is looked at again.
    acted: BTreeMap<ShareId, u64>,
    chartering: BTreeMap<String, Vec<ShareId>>,
    charters: u64,
    deleting: BTreeSet<MachineId>,
    seen: HashMap<MachineId, Ms>,
    absent: HashMap<MachineId, u32>,
    /// Machines asked of their shares, with the version that was asked.
    lending: HashMap<MachineId, u64>,
    lent_rev: u64,
    /// What holders told of their shares, under which epoch and when.
    told: BTreeMap<ShareId, (u64, Ms, DemandRec)>,
    told_new: bool,
    /// When lending and renting were last thought about.
    planned_at: Ms,
    nodes: BTreeMap<NodeName, (u64, Ms)>,
    /// Kinds of machines that could not be had, until when they are left
    /// alone, and the last pause.
    refused: BTreeMap<(String, String, bool), (Ms, Ms)>,
    /// Since when cancellations have waited, with the versions of their keys.
    aborts: BTreeMap<JobId, (u64, Ms)>,
}

impl Leader {
    pub(crate) fn new(cloud_rps: f64) -> Self {
        Self {
            active: false,
            active_since: 0,
            bucket: Bucket::new(cloud_rps * 0.9),
            pause_until: 0,
            assign_at: 0,
            assigning: BTreeSet::new(),
            catalog_at: 0,
            list_at: 0,
            listing: false,
            renting: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            acted: BTreeMap::new(),
            chartering: BTreeMap::new(),
            charters: 0,
            deleting: BTreeSet::new(),
            seen: HashMap::new(),
            absent: HashMap::new(),
            lending: HashMap::new(),
            lent_rev: 0,
            told: BTreeMap::new(),
            told_new: false,
            planned_at: 0,
            nodes: BTreeMap::new(),
            refused: BTreeMap::new(),
            aborts: BTreeMap::new(),
        }
    }

    pub(crate) fn is_leader(ctx: &Ctx, view: &View) -> bool {
        let leader = view.leader.as_ref();
        leader.is_some_and(|l| l.rec.node == ctx.cfg.node && l.rec.inc == ctx.inc)
    }

    pub(crate) fn tick(&mut self, ctx: &mut Ctx, view: &View, changed: &Changed) {
        self.follow_nodes(ctx, view);
        if !view.ready || !Self::is_leader(ctx, view) {
            self.active = false;
            return;
        }
        let anew = !self.active;
        if anew {
            log::info!("leader from now on");
            *self = Self {
                nodes: std::mem::take(&mut self.nodes),
                // A controller that leads for a second time must not use a
                // request's name again: the cloud would repeat its old answer.
                charters: self.charters,
                active: true,
                active_since: ctx.now,
                ..Self::new(ctx.cfg.cloud_rps)
            };
        }
        if anew || changed.all {
            self.follow_all_machines(ctx, view);
        }
        for id in &changed.machines {
            if view.machines.contains_key(id) {
                self.seen.entry(id.clone()).or_insert(ctx.now);
            } else {
                self.deleting.remove(id);
            }
        }
        if ctx.now >= self.assign_at {
            self.assign_at = ctx.now + crate::ms(ctx.cfg.ops.assign_s);
            self.assign(ctx, view);
            self.sweep_aborts(ctx, view);
        }
        self.bucket.refill(ctx.now);
        self.renting.retain(|r| view.charters.contains_key(r));
        self.delete(ctx, view);
        self.rent(ctx, view);
        let gap = crate::ms(ctx.cfg.ops.round_gap_s);
        if ctx.now >= self.planned_at + gap {
            self.planned_at = ctx.now;
            let demands = self.demands(ctx, view);
            if view.revision > self.lent_rev || self.told_new {
                self.lent_rev = view.revision;
                self.told_new = false;
                self.lend(ctx, view, &demands);
            }
            self.charter(ctx, view, &demands);
        }
        self.look(ctx);
    }

    /// Notes since when machines have been known. A deletion of what the view
    /// lacks may be repeated: the cloud ignores names that it does not know.
    fn follow_all_machines(&mut self, ctx: &Ctx, view: &View) {
        for id in view.machines.keys() {
            self.seen.entry(id.clone()).or_insert(ctx.now);
        }
        self.deleting.retain(|id| view.machines.contains_key(id));
    }

    /// Notes since when every start of a controller has been there.
    fn follow_nodes(&mut self, ctx: &Ctx, view: &View) {
        self.nodes
            .retain(|name, (inc, _)| view.is_alive(name, *inc));
        for (name, node) in &view.nodes {
            self.nodes
                .entry(name.clone())
                .or_insert((node.rec.inc, ctx.now));
        }
    }

    /// Gives every share a holder that is alive, and brings shares back to
    /// controllers that have none.
    fn assign(&mut self, ctx: &mut Ctx, view: &View) {
        // Who hears no worker is given nothing, as long as there are others.
        let all_blind = view.nodes.values().all(|n| n.rec.blind);
        let blind = |n: &NodeName| !all_blind && view.nodes.get(n).is_some_and(|n| n.rec.blind);
        let able = view.nodes.keys().filter(|n| !blind(n));
        let mut load: BTreeMap<&NodeName, u32> = able.map(|n| (n, 0)).collect();
        let mut free = Vec::new();
        for k in (0..ctx.cfg.shares()).map(ShareId) {
            match view.holder(k) {
                Some(holder) => {
                    if let Some(n) = load.get_mut(holder) {
                        *n += 1;
                    }
                }
                None => free.push(k),
            }
        }
        // All of them at once: after a crash of most controllers, workers are
        // left with what remains of their leases. Each share takes a value of
        // the epoch counter, which is written once.
        // When all start at once, the leader waits a little for those that are
        // not there yet, lest the first one be given everything. Where one
        // has stayed, shares are not kept waiting for those that may return.
        let all_free = free.len() == ctx.cfg.shares() as usize;
        let early = all_free && ctx.now < self.active_since + ctx.cfg.node_lease_ms() / 2;
        let home = |k: &ShareId| ctx.cfg.nodes.get(k.0 as usize);
        free.retain(|k| {
            let there = home(k).is_some_and(|n| view.nodes.contains_key(n));
            !self.assigning.contains(k) && (there || !early)
        });
        let most = ctx.cfg.txn_ops - 1;
        let mut given = Vec::new();
        for k in free.into_iter().take(most) {
            let least = load
                .iter_mut()
                .min_by_key(|(n, l)| (**l, Some(**n) != home(&k)));
            let Some((to, n)) = least else {
                return;
            };
            *n += 1;
            log::info!("share {k}: to {to}");
            given.push((k, (*to).clone()));
        }
        if given.is_empty() {
            self.balance(ctx, view, &load);
        } else if self.assigning.is_empty() {
            self.assigning.extend(given.iter().map(|(k, _)| *k));
            hand_over(ctx, view, &given);
        }
    }

    /// Removes what whoever asked for a cancellation has not: it has ended
    /// since, or the write of its key was carried out late. Users who were not
    /// told yet ask again.
    fn sweep_aborts(&mut self, ctx: &mut Ctx, view: &View) {
        let known = std::mem::take(&mut self.aborts);
        for (id, version) in &view.aborts {
            let seen = known.get(id).filter(|(v, _)| v == version);
            let since = seen.map_or(ctx.now, |(_, t)| *t);
            if ctx.now > since + ctx.cfg.cancel_ms {
                remove_key(ctx, abort_key(id), *version);
            } else {
                self.aborts.insert(id.clone(), (*version, since));
            }
        }
    }

    fn balance(&mut self, ctx: &mut Ctx, view: &View, load: &BTreeMap<&NodeName, u32>) {
        let steady = ctx.cfg.node_lease_ms() * STEADY_LEASES;
        let ready = |n: &NodeName| {
            self.nodes
                .get(n)
                .is_some_and(|(_, t)| ctx.now >= t + steady)
        };
        let from = load.iter().max_by_key(|(_, l)| **l);
        let to = load
            .iter()
            .filter(|(n, _)| ready(n))
            .min_by_key(|(_, l)| **l);
        let (Some((from, most)), Some((to, least))) = (from, to) else {
            return;
        };
        // A wish that names somebody who is gone holds nothing up.
        let moving = view.shares.values().any(|s| {
            let want = s.rec.want.as_ref();
            want.is_some_and(|n| view.nodes.contains_key(n))
        });
        if *most < least + 2 || moving {
            return;
        }
        let of = view.shares.iter().filter(|(_, s)| s.rec.holder == **from);
        let home = |k: ShareId| ctx.cfg.nodes.get(k.0 as usize) == Some(*to);
        let Some((k, share)) = of.max_by_key(|(k, _)| home(**k)) else {
            return;
        };
        log::info!("share {k}: {from} is asked to hand it over to {to}");
        let mut rec = share.rec.clone();
        rec.want = Some((*to).clone());
        let txn = Txn {
            conds: self.conds(view, share_key(*k), share.version),
            writes: vec![Write::put(share_key(*k), to_value(rec).unwrap_or_default())],
        };
        self.assigning.insert(*k);
        ctx.txn(Urgency::Member, &txn, Pending::SharePut(vec![*k]));
    }

    /// Conditions of a leader's write: the record, and that we still lead.
    fn conds(&self, view: &View, key: String, version: u64) -> Vec<Cond> {
        let leader = Cond {
            key: LEADER.to_owned(),
            version: view.leader.as_ref().map_or(0, |l| l.version),
        };
        vec![leader, Cond { key, version }]
    }

    pub(crate) fn on_share_put(&mut self, shares: &[ShareId]) {
        self.assigning.retain(|k| !shares.contains(k));
    }

    fn may_call(&mut self, ctx: &Ctx) -> bool {
        ctx.now >= self.pause_until && self.bucket.take(1.0, false)
    }

    /// Returns true if the cloud could not be asked.
    fn trouble(&mut self, ctx: &Ctx, status: u16, body: &[u8]) -> bool {
        let trouble = match status {
            0 | 429 => true,
            503 => !String::from_utf8_lossy(body).contains("capacity"),
            _ => false,
        };
        if trouble {
            self.pause_until = ctx.now + 500;
        }
        trouble
    }

    fn look(&mut self, ctx: &mut Ctx) {
        if ctx.now >= self.catalog_at && self.may_call(ctx) {
            self.catalog_at = ctx.now + 5_000;
            ctx.cloud("GET", "/catalog".to_owned(), None, Pending::Catalog);
        }
        if !self.listing && ctx.now >= self.list_at && self.may_call(ctx) {
            self.listing = true;
            self.list_at = ctx.now + ctx.cfg.list_lag_ms.max(2_000);
            self.list(ctx, Vec::new());
        }
    }

    fn list(&mut self, ctx: &mut Ctx, page: Vec<Listed>) {
        let mut path = format!("/machines?most={LIST_MOST}");
        if let Some(last) = page.last() {
            path.push_str(&format!("&from={}", last.id));
        }
        ctx.cloud("GET", path, None, Pending::MachineList { page });
    }

    pub(crate) fn on_catalog(&mut self, ctx: &mut Ctx, view: &View, status: u16, body: &[u8]) {
        if self.trouble(ctx, status, body) || status != 200 {
            return;
        }
        let catalog: Catalog = match serde_json::from_slice(body) {
            Ok(catalog) => catalog,
            Err(e) => {
                log::error!("the cloud's catalogue is not understood: {e}");
                return;
            }
        };
        // Prices move all the time; they need not be followed closely. But
        // until all types are known nothing can be accepted, so a write of
        // them that fails must not wait for the next look at the prices.
        let all_known = catalog
            .types
            .iter()
            .all(|t| view.types.contains_key(&t.name));
        self.catalog_at = ctx.now + if all_known { 60_000 } else { 1_000 };
        for t in catalog.types {
            let known = view.types.get(&t.name);
            if known.is_some_and(|k| k.rec == t) {
                continue;
            }
            let key = type_key(&t.name);
            let txn = Txn {
                conds: self.conds(view, key.clone(), known.map_or(0, |k| k.version)),
                writes: vec![Write::put(key, to_value(t).unwrap_or_default())],
            };
            ctx.txn(Urgency::Work, &txn, Pending::Housekeeping);
        }
    }

    pub(crate) fn on_list(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        mut page: Vec<Listed>,
        status: u16,
        body: &[u8],
    ) {
        self.listing = false;
        if self.trouble(ctx, status, body) {
            return;
        }
        let list: Option<MachineList> = serde_json::from_slice(body).ok();
        let Some(list) = list.filter(|_| status == 200) else {
            return;
        };
        page.extend(list.machines);
        if list.more && !page.is_empty() {
            self.listing = true;
            self.list(ctx, page);
            return;
        }
        let listed: BTreeMap<&MachineId, &Listed> = page.iter().map(|m| (&m.id, m)).collect();
        let mut condemn: Vec<(MachineId, &str)> = Vec::new();
        for (id, machine) in &view.machines {
            let known_for = ctx.now - self.seen.get(id).copied().unwrap_or(ctx.now);
            let boot = view
                .types
                .get(&machine.rec.machine_type)
                .map_or(60.0, |t| t.rec.boot_s);
            let up = machine.rec.addr.is_some();
            let late = !up && known_for > crate::ms(boot * BOOTS_MOST);
            match listed.get(id) {
                Some(l) if l.stage == MachineStage::Failed => {
                    condemn.push((id.clone(), "it failed"))
                }
                _ if late => condemn.push((id.clone(), "it never came up")),
                Some(_) => {
                    self.absent.remove(id);
                }
                None if known_for > ctx.cfg.list_lag_ms * 4 => {
                    // Lists may be older than those before them.
                    let n = self.absent.entry(id.clone()).or_default();
                    *n += 1;
                    if *n >= ABSENT_LISTS {
                        condemn.push((id.clone(), "it is gone from the list"));
                    }
                }
                None => {}
            }
        }
        for (id, why) in condemn {
            self.condemn(ctx, view, &id, why);
        }
        // What nobody rented as far as we know was rented by a request that
        // came late. Nothing was ever started there.
        // Without a right we may have a successor, whose machines our view
        // does not show.
        let settled = ctx.entitled && view.charters.is_empty() && self.chartering.is_empty();
        let unknown: Vec<MachineId> = page
            .iter()
            .filter(|m| !view.machines.contains_key(&m.id) && !self.deleting.contains(&m.id))
            .filter(|m| settled && m.age_s * 1000.0 > ctx.cfg.list_lag_ms as f64 * 4.0)
            .filter(|m| !self.seen.contains_key(&m.id))
            .map(|m| m.id.clone())
            .take(DELETE_MOST)
            .collect();
        if !unknown.is_empty() && self.may_call(ctx) {
            log::info!("{} unknown machines are returned", unknown.len());
            self.send_delete(ctx, unknown);
        }
        self.seen
            .retain(|id, _| view.machines.contains_key(id) || listed.contains_key(id));
        self.absent.retain(|id, _| view.machines.contains_key(id));
    }

    fn condemn(&mut self, ctx: &mut Ctx, view: &View, id: &MachineId, why: &str) {
        let Some(machine) = view.machines.get(id) else {
            return;
        };
        if machine.rec.condemned.is_some() {
            return;
        }
        log::info!("machine {id}: condemned, {why}");
        let mut rec = machine.rec.clone();
        rec.condemned = Some(why.to_owned());
        let key = machine_key(id);
        let txn = Txn {
            conds: self.conds(view, key.clone(), machine.version),
            writes: vec![Write::put(key, to_value(rec).unwrap_or_default())],
        };
        ctx.txn(Urgency::Work, &txn, Pending::Housekeeping);
    }

    fn delete(&mut self, ctx: &mut Ctx, view: &View) {
        let condemned = view.condemned.iter();
        let condemned: Vec<MachineId> = condemned
            .filter(|id| !self.deleting.contains(*id))
            .take(DELETE_MOST)
            .cloned()
            .collect();
        if !condemned.is_empty() && self.may_call(ctx) {
            self.send_delete(ctx, condemned);
        }
    }

    fn send_delete(&mut self, ctx: &mut Ctx, machines: Vec<MachineId>) {
        self.deleting.extend(machines.iter().cloned());
        let body = Machines {
            machines: machines.clone(),
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let path = "/machines/delete".to_owned();
        ctx.cloud("POST", path, Some(body), Pending::Delete { machines });
    }

    pub(crate) fn on_delete(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        machines: Vec<MachineId>,
        status: u16,
        body: &[u8],
    ) {
        for id in &machines {
            self.deleting.remove(id);
        }
        if self.trouble(ctx, status, body) || status != 200 {
            return;
        }
        // The machines are gone: their records say so by going, too.
        let gone: Vec<(&MachineId, u64)> = machines
            .iter()
            .filter_map(|id| view.machines.get(id).map(|m| (id, m.version)))
            .collect();
        for group in gone.chunks(ctx.cfg.txn_ops) {
            let leader = view.leader.as_ref().map_or(0, |l| l.version);
            let mut txn = Txn {
                conds: vec![Cond {
                    key: LEADER.to_owned(),
                    version: leader,
                }],
                writes: Vec::new(),
            };
            for (id, version) in group {
                let key = machine_key(id);
                txn.conds.push(Cond {
                    key: key.clone(),
                    version: *version,
                });
                txn.writes.push(Write::Remove { remove: key });
                // Until the view shows it, it must not be deleted again.
                self.deleting.insert((*id).clone());
            }
            let machines = group.iter().map(|(id, _)| (*id).clone()).collect();
            log::info!("{} machines returned", group.len());
            ctx.txn(Urgency::Work, &txn, Pending::Removed { machines });
        }
    }

    pub(crate) fn on_removed(&mut self, machines: &[MachineId], status: u16) {
        if status != 200 {
            for id in machines {
                self.deleting.remove(id);
            }
        }
    }

    /// A holder tells what its share lacks.
    pub(crate) fn on_demand(&mut self, now: Ms, k: ShareId, epoch: u64, rec: DemandRec) {
        if self.told.get(&k).is_none_or(|(e, _, _)| epoch >= *e) {
            self.told.insert(k, (epoch, now, rec));
            self.told_new = true;
        }
    }

    /// What shares lack: what their holders told lately, or else have written.
    fn demands(&self, ctx: &Ctx, view: &View) -> BTreeMap<ShareId, DemandRec> {
        let valid = crate::ms(ctx.cfg.ops.round_s * TOLD_ROUNDS);
        let written = view.demands.iter().map(|(k, d)| (*k, d.rec.clone()));
        let mut demands: BTreeMap<ShareId, DemandRec> = written.collect();
        for (k, (epoch, at, rec)) in &self.told {
            let current = view.shares.get(k).is_some_and(|s| s.rec.epoch == *epoch);
            if current && ctx.now <= at + valid {
                demands.insert(*k, rec.clone());
            }
        }
        demands
    }

    /// Moves free machines to shares with waiting tasks: what waits takes any
    /// that is free, and spare places take what nobody else needs.
    fn lend(&mut self, ctx: &mut Ctx, view: &View, demands: &BTreeMap<ShareId, DemandRec>) {
        self.lending
            .retain(|id, v| view.machines.get(id).is_some_and(|m| m.version <= *v));
        for (k, demand) in demands {
            let spare = demand.shapes.iter().filter(|s| s.spare);
            // Borrowed work takes only what nobody needs.
            let wanted = demand.now.iter().map(|s| (s, !s.borrows));
            let wanted: Vec<(&ShapeRec, bool)> = wanted.chain(spare.map(|s| (s, false))).collect();
            let mut coming: Vec<Resources> = self
                .lending
                .keys()
                .filter_map(|id| view.machines.get(id))
                .filter(|m| m.rec.want == Some(*k))
                .filter_map(|m| total_in(view, &m.rec.machine_type))
                .collect();
            for (shape, waits) in wanted {
                let task = shape.resources();
                let mut left = shape.n;
                for room in &mut coming {
                    left -= book(room, &task, left);
                }
                while left > 0 {
                    let free = self.lendable(view, demands, *k, shape, waits);
                    let found = free.or_else(|| self.reclaimable(view, demands, *k, shape));
                    let Some(id) = found else {
                        break;
                    };
                    let Some(machine) = view.machines.get(&id) else {
                        break;
                    };
                    let mut room = total_in(view, &machine.rec.machine_type).unwrap_or_default();
                    left -= book(&mut room, &task, left);
                    coming.push(room);
                    log::info!(
                        "machine {id}: asked of share {} for share {k}",
                        machine.rec.share
                    );
                    let mut rec = machine.rec.clone();
                    rec.want = Some(*k);
                    let key = machine_key(&id);
                    let txn = Txn {
                        conds: self.conds(view, key.clone(), machine.version),
                        writes: vec![Write::put(key, to_value(rec).unwrap_or_default())],
                    };
                    self.lending.insert(id, machine.version);
                    ctx.txn(Urgency::Work, &txn, Pending::Housekeeping);
                }
            }
        }
    }

    /// A free machine of another share that a shape may use.
    fn lendable(
        &self,
        view: &View,
        demands: &BTreeMap<ShareId, DemandRec>,
        k: ShareId,
        shape: &ShapeRec,
        waits: bool,
    ) -> Option<MachineId> {
        let others = demands.iter().filter(|(j, _)| **j != k);
        let lists = others.flat_map(|(j, d)| {
            // A share that has waiting tasks itself gives nothing away.
            let keeps = waits && !d.now.is_empty();
            let free = d.free.iter().filter(move |_| waits && !keeps);
            d.surplus.iter().chain(free).map(move |id| (j, id))
        });
        lists
            .filter(|(j, id)| self.may_move(view, **j, id, shape))
            .map(|(_, id)| id.clone())
            .next()
    }

    /// A machine of another share that holds nothing but borrowed work, for a
    /// shape that may have it given back.
    fn reclaimable(
        &self,
        view: &View,
        demands: &BTreeMap<ShareId, DemandRec>,
        k: ShareId,
        shape: &ShapeRec,
    ) -> Option<MachineId> {
        if !shape.reclaims {
            return None;
        }
        let others = demands.iter().filter(|(j, _)| **j != k);
        others
            .flat_map(|(j, d)| d.borrowed.iter().map(move |id| (j, id)))
            .find(|(j, id)| self.may_move(view, **j, id, shape))
            .map(|(_, id)| id.clone())
    }

    /// Whether a share may be asked for a machine that suits a shape.
    fn may_move(&self, view: &View, from: ShareId, id: &MachineId, shape: &ShapeRec) -> bool {
        let Some(rec) = view.machines.get(id).map(|m| &m.rec) else {
            return false;
        };
        let types = shape.types.as_ref();
        rec.share == from
            && rec.want.is_none()
            && rec.condemned.is_none()
            && !self.lending.contains_key(id)
            && (shape.spot || !rec.spot)
            && types.is_none_or(|t| t.contains(&rec.machine_type))
            && shape.zones.as_ref().is_none_or(|z| z.contains(&rec.zone))
            && total_in(view, &rec.machine_type)
                .is_some_and(|total| shape.resources().fits(&total))
    }

    /// Turns what shares lack into rental intents. The cloud takes few calls
    /// a second: no intent is made while others wait to be carried out, so
    /// that what shares lack meanwhile comes together in larger ones.
    fn charter(&mut self, ctx: &mut Ctx, view: &View, demands: &BTreeMap<ShareId, DemandRec>) {
        let under_way = view.charters.len() + self.chartering.len();
        if under_way as f64 >= ctx.cfg.cloud_rps.ceil() {
            return;
        }
        let kinds: Vec<String> = view.types.keys().cloned().collect();
        let zones = zone_names(view);
        let mut held: Option<Held> = None;
        let mut together: BTreeMap<(u16, u16, bool), Vec<(ShareId, u32)>> = BTreeMap::new();
        for (k, demand) in demands {
            let seen = self.acted.get(k).copied().unwrap_or(0);
            if demand.shapes.is_empty() || demand.rev < seen {
                continue;
            }
            let held = held.get_or_insert_with(|| held_of(view));
            let offers = self.offers(ctx, view, *k, held);
            let type_no = |name: &String| kinds.iter().position(|t| t == name).map(|i| i as u16);
            let zone_no = |name: &String| zones.iter().position(|z| z == name).map(|i| i as u16);
            let shapes: Vec<Shape> = demand
                .shapes
                .iter()
                .map(|s| Shape {
                    task: s.resources(),
                    count: s.n,
                    types: s
                        .types
                        .as_ref()
                        .map(|t| t.iter().filter_map(type_no).collect()),
                    zones: s
                        .zones
                        .as_ref()
                        .map(|z| z.iter().filter_map(zone_no).collect()),
                    spot: s.spot,
                    spot_only: s.borrows,
                })
                .collect();
            let anywhere = shapes.iter().all(|s| s.zones.is_none());
            let offers = if anywhere { few_zones(offers) } else { offers };
            for rental in plan(&shapes, &offers, RENT_MOST) {
                let o = &offers[rental.offer];
                let key = (o.machine_type, o.zone, o.spot);
                together.entry(key).or_default().push((*k, rental.count));
            }
        }
        for ((machine_type, zone, spot), parts) in together {
            let rec = CharterRec {
                parts: cut(parts, RENT_MOST),
                machine_type: kinds[machine_type as usize].clone(),
                zone: zones[zone as usize].clone(),
                spot,
                placed: 0,
            };
            self.charters += 1;
            let request = format!("r-{:x}-{}", ctx.inc, self.charters);
            let key = charter_key(&request);
            let txn = Txn {
                conds: self.conds(view, key.clone(), 0),
                writes: vec![Write::put(key, to_value(&rec).unwrap_or_default())],
            };
            let shares = rec.parts.iter().map(|(k, _)| *k).collect();
            self.chartering.insert(request.clone(), shares);
            ctx.txn(Urgency::Lead, &txn, Pending::CharterPut { request });
        }
    }

    /// What may be had, as far as is known.
    fn offers(&self, ctx: &Ctx, view: &View, k: ShareId, held: &Held) -> Vec<Offer> {
        let zones = zone_names(view);
        let mut offers = Vec::new();
        for (i, t) in view.types.values().map(|t| &t.rec).enumerate() {
            for zone in &t.zones {
                for spot in [false, true] {
                    let price = match (spot, t.spot_price) {
                        (false, _) => t.price,
                        (true, Some(price)) => price,
                        (true, None) => continue,
                    };
                    let kind = (t.name.clone(), zone.clone(), spot);
                    if self
                        .refused
                        .get(&kind)
                        .is_some_and(|(until, _)| ctx.now < *until)
                    {
                        continue;
                    }
                    let held = held.get(&(k, t.name.as_str(), zone.as_str()));
                    offers.push(Offer {
                        machine_type: i as u16,
                        zone: zones.iter().position(|z| z == zone).unwrap_or(0) as u16,
                        spot,
                        total: total_of(t),
                        price,
                        held: held.copied().unwrap_or(0),
                    });
                }
            }
        }
        offers
    }

    pub(crate) fn on_charter_put(&mut self, request: &str, body: &[u8]) {
        let shares = self.chartering.remove(request).unwrap_or_default();
        // A demand counts again once it was made in sight of this charter.
        let revision = revision_of(body);
        for k in shares {
            let acted = self.acted.entry(k).or_default();
            *acted = (*acted).max(revision);
        }
    }

    /// Carries intents out, those of an earlier leader too: a request that
    /// had an answer before gets the same one again and rents nothing.
    fn rent(&mut self, ctx: &mut Ctx, view: &View) {
        for (request, charter) in &view.charters {
            if self.renting.contains(request) || !self.may_call(ctx) {
                continue;
            }
            let rec = &charter.rec;
            let body = Rent {
                request: request.clone(),
                machine_type: rec.machine_type.clone(),
                zone: rec.zone.clone(),
                spot: rec.spot,
                count: rec.count(),
            };
            let body = serde_json::to_vec(&body).unwrap_or_default();
            self.renting.insert(request.clone());
            let request = request.clone();
            ctx.cloud(
                "POST",
                "/machines".to_owned(),
                Some(body),
                Pending::Rent { request },
            );
        }
    }

    pub(crate) fn on_rent(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        request: &str,
        status: u16,
        body: &[u8],
    ) {
        let Some(charter) = view.charters.get(request).cloned() else {
            self.renting.remove(request);
            return;
        };
        if self.trouble(ctx, status, body) {
            self.renting.remove(request);
            return;
        }
        let rec = charter.rec;
        let rented: Machines = serde_json::from_slice(body).unwrap_or_default();
        let machines = if status == 200 {
            rented.machines
        } else {
            Vec::new()
        };
        let kind = (rec.machine_type.clone(), rec.zone.clone(), rec.spot);
        if (machines.len() as u32) < rec.count() {
            // The pause grows while there is none, up to some boots.
            let boot = view
                .types
                .get(&rec.machine_type)
                .map_or(60.0, |t| t.rec.boot_s);
            let (_, last) = self.refused.get(&kind).copied().unwrap_or((0, 0));
            let least = crate::ms(boot / 5.0).max(1);
            let pause = (last * 2).clamp(least, crate::ms(boot).max(least));
            self.refused.insert(kind, (ctx.now + pause, pause));
        } else {
            self.refused.remove(&kind);
        }
        log::info!(
            "{} of {} {} rented in {}{}",
            machines.len(),
            rec.count(),
            rec.machine_type,
            rec.zone,
            if rec.spot { ", spot" } else { "" }
        );
        let outcome = Outcome {
            rec,
            version: charter.version,
            machines,
        };
        self.outcomes.insert(request.to_owned(), outcome);
        self.record(ctx, view, request);
    }

    /// Writes the next part of an outcome: records of machines, and how far
    /// the intent has been carried out. The last part removes the intent.
    fn record(&mut self, ctx: &mut Ctx, view: &View, request: &str) {
        let Some(outcome) = self.outcomes.get(request) else {
            return;
        };
        let rec = &outcome.rec;
        let key = charter_key(request);
        let mut txn = Txn {
            conds: self.conds(view, key.clone(), outcome.version),
            writes: Vec::new(),
        };
        let from = rec.placed as usize;
        let to = outcome.machines.len().min(from + ctx.cfg.txn_ops - 1);
        let shares = rec.in_turn();
        for (id, share) in outcome.machines.iter().zip(shares).take(to).skip(from) {
            let key = machine_key(id);
            let machine = MachineRec {
                share,
                machine_type: rec.machine_type.clone(),
                zone: rec.zone.clone(),
                spot: rec.spot,
                addr: None,
                condemned: None,
                want: None,
                floor: 0,
                images: Vec::new(),
            };
            txn.conds.push(Cond {
                key: key.clone(),
                version: 0,
            });
            txn.writes
                .push(Write::put(key, to_value(machine).unwrap_or_default()));
        }
        txn.writes.push(if to < outcome.machines.len() {
            let rec = CharterRec {
                placed: to as u32,
                ..rec.clone()
            };
            Write::put(key, to_value(rec).unwrap_or_default())
        } else {
            Write::Remove { remove: key }
        });
        let request = request.to_owned();
        ctx.txn(Urgency::Lead, &txn, Pending::Rented { request });
    }

    pub(crate) fn on_rented(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        request: &str,
        status: u16,
        body: &[u8],
    ) {
        let Some(outcome) = self.outcomes.get_mut(request) else {
            return;
        };
        match status {
            200 => {
                outcome.version = revision_of(body);
                outcome.rec.placed += (ctx.cfg.txn_ops - 1) as u32;
                if (outcome.rec.placed as usize) < outcome.machines.len() {
                    self.record(ctx, view, request);
                } else {
                    // The name is done with. It must not be used again while
                    // the view still shows it.
                    self.outcomes.remove(request);
                }
            }
            // Writing again on the same conditions is safe: if an earlier
            // copy was carried out, this one fails.
            0 | 429 | 503 if Self::is_leader(ctx, view) => self.record(ctx, view, request),
            // The record is not as we know it: the request is repeated, the
            // cloud gives the same answer, and the view tells how far we are.
            _ => {
                self.outcomes.remove(request);
                self.renting.remove(request);
            }
        }
    }
}

/// Machines that shares hold, by type and zone.
type Held<'a> = HashMap<(ShareId, &'a str, &'a str), u32>;

fn held_of(view: &View) -> Held<'_> {
    let mut held = Held::new();
    for rec in view.machines.values().map(|m| &m.rec) {
        let kind = (rec.share, rec.machine_type.as_str(), rec.zone.as_str());
        *held.entry(kind).or_default() += 1;
    }
    held
}

fn total_in(view: &View, machine_type: &str) -> Option<Resources> {
    view.types.get(machine_type).map(|t| total_of(&t.rec))
}

/// Books up to `most` tasks, and says how many.
fn book(room: &mut Resources, task: &Resources, most: u32) -> u32 {
    let mut n = 0;
    while n < most && task.fits(room) && !task.is_zero() {
        *room -= *task;
        n += 1;
    }
    n
}

/// Keeps of each type and kind only the two zones where the fewest machines
/// are held: two are enough for what must be spread, and few calls are made.
fn few_zones(mut offers: Vec<Offer>) -> Vec<Offer> {
    offers.sort_by_key(|o| (o.machine_type, o.spot, o.held));
    let mut seen: BTreeMap<(u16, bool), u32> = BTreeMap::new();
    offers.retain(|o| {
        let n = seen.entry((o.machine_type, o.spot)).or_default();
        *n += 1;
        *n <= 2
    });
    offers
}

/// Cuts parts down to `most` in all, evenly.
fn cut(mut parts: Vec<(ShareId, u32)>, most: u32) -> Vec<(ShareId, u32)> {
    while parts.iter().map(|(_, n)| n).sum::<u32>() > most {
        if let Some((_, n)) = parts.iter_mut().max_by_key(|(_, n)| *n) {
            *n -= 1;
        }
    }
    parts
}

fn zone_names(view: &View) -> Vec<String> {
    view.zones().into_iter().map(str::to_owned).collect()
}
