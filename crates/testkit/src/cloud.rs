//! A stand-in for the cloud.

use crate::fleet::{BootModel, Fleet, BOOT_MS};
use crate::Ms;
use forkshift_wire::cloud::{Catalog, Machines, Rent, LIST_MOST};
use forkshift_wire::MachineId;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A rented machine.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    provisioned_at: Ms,
    pub(crate) up_at: Ms,
    pub(crate) failed: bool,
}

pub(crate) struct CloudModel {
    pub(crate) machines: BTreeMap<MachineId, Instance>,
    provisioned_by_request: BTreeMap<String, Vec<MachineId>>,
    last_instance_number: u32,
    list_snapshots: VecDeque<(Ms, BTreeMap<String, Value>)>,
    pub(crate) is_down: bool,
    /// What is on offer.
    pub(crate) fleet: Fleet,
    /// Machines of each zone and kind, where the fleet names no number.
    pub(crate) capacity: u32,
    /// Until when machines are up within two seconds.
    pub(crate) fast_boots_until: Ms,
    /// Until when new machines of a type (any if left out) in a zone (any if
    /// left out) come late or never.
    pub(crate) slow_boots: Option<(Ms, SlowBoots)>,
    /// What was asked for: when, type, zone, and how many were had.
    pub(crate) provisioning_log: Vec<(Ms, String, String, u32)>,
    /// Machines that are not up yet, by when they will be.
    booting: BTreeSet<(Ms, MachineId)>,
    /// Every machine that was rented: when, and when it is or would be up.
    pub(crate) boots: Vec<Boot>,
    /// Machines that came to an end since this was last looked at.
    pub(crate) newly_terminated: Vec<MachineId>,
    /// How many in all.
    pub(crate) terminated_count: usize,
    /// When each machine was rented, and when the charge for it ended.
    pub(crate) billing_periods: BTreeMap<MachineId, (Ms, Option<Ms>)>,
    /// When it was last spoken to.
    now: Ms,
}

/// How long a machine takes from its rental until it is up.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    /// When it was rented.
    pub provisioned_at: Ms,
    /// When it is up, unless it is deleted before; never, if that is far off.
    pub up_at: Ms,
}

/// New machines that come late or never.
#[derive(Clone, Debug)]
pub struct SlowBoots {
    /// Of this type; of any if left out.
    pub machine_type: Option<&'static str>,
    /// In this zone; in any if left out.
    pub zone: Option<&'static str>,
    /// Boots that they take; never up if left out.
    pub boots: Option<u32>,
}

impl SlowBoots {
    fn applies_to(&self, rent: &Rent) -> bool {
        self.machine_type.is_none_or(|t| t == rent.machine_type)
            && self.zone.is_none_or(|z| z == rent.zone)
    }

    fn boot_ms(&self) -> Ms {
        self.boots.map_or(Ms::MAX / 2, |n| BOOT_MS * Ms::from(n))
    }
}

/// How far the list lags.
const LIST_LAG_MS: Ms = 4_000;
impl CloudModel {
    pub(crate) fn new(capacity: u32, fleet: Fleet) -> Self {
        Self {
            fleet,
            machines: BTreeMap::new(),
            provisioned_by_request: BTreeMap::new(),
            last_instance_number: 0,
            list_snapshots: VecDeque::new(),
            is_down: false,
            capacity,
            fast_boots_until: 0,
            slow_boots: None,
            provisioning_log: Vec::new(),
            boots: Vec::new(),
            booting: BTreeSet::new(),
            newly_terminated: Vec::new(),
            terminated_count: 0,
            billing_periods: BTreeMap::new(),
            now: 0,
        }
    }

    pub(crate) fn handle(
        &mut self,
        now: Ms,
        path: &str,
        body: &[u8],
        rng: &mut StdRng,
    ) -> (u16, Value) {
        self.now = now;
        if self.is_down {
            return (503, json!({"error": "trouble"}));
        }
        let (bare, query) = path.split_once('?').unwrap_or((path, ""));
        match bare {
            "/catalog" => {
                let types = self.fleet.types.clone();
                (200, json!(Catalog { types }))
            }
            "/machines/delete" => {
                let names: Machines = serde_json::from_slice(body).unwrap_or_default();
                for id in names.machines {
                    self.terminate(&id);
                }
                (200, json!({}))
            }
            "/machines" if !body.is_empty() => match serde_json::from_slice::<Rent>(body) {
                Ok(rent) => self.provision(now, rent, rng),
                Err(e) => (400, json!({"error": e.to_string()})),
            },
            "/machines" => {
                let lag = rng.random_range(LIST_LAG_MS / 2..LIST_LAG_MS * 2);
                let old = self
                    .list_snapshots
                    .iter()
                    .rev()
                    .find(|(t, _)| t + lag <= now);
                let from = query.split('&').find_map(|q| q.strip_prefix("from="));
                let from = from.unwrap_or_default();
                let all = old.map(|(_, l)| l).into_iter().flatten();
                let mut rest = all.filter(|(id, _)| id.as_str() > from);
                let page: Vec<&Value> = rest
                    .by_ref()
                    .take(LIST_MOST as usize)
                    .map(|(_, m)| m)
                    .collect();
                (
                    200,
                    json!({"berths": page, "has_next": rest.next().is_some()}),
                )
            }
            _ => (400, json!({})),
        }
    }

    /// Takes the machines that are up by now and were not before, by their names.
    pub(crate) fn take_booted(&mut self, now: Ms) -> BTreeSet<MachineId> {
        let mut up = BTreeSet::new();
        while self.booting.first().is_some_and(|(at, _)| *at <= now) {
            up.extend(self.booting.pop_first().map(|(_, id)| id));
        }
        up
    }

    /// A machine is no more.
    pub(crate) fn terminate(&mut self, id: &MachineId) {
        if self.machines.remove(id).is_some() {
            self.terminated_count += 1;
            self.newly_terminated.push(id.clone());
            self.end_billing(id, self.now);
        }
    }

    /// The charge for a machine has ended, if it had not before.
    pub(crate) fn end_billing(&mut self, id: &MachineId, now: Ms) {
        if let Some((_, ended)) = self.billing_periods.get_mut(id) {
            ended.get_or_insert(now);
        }
    }

    fn provision(&mut self, now: Ms, rent: Rent, rng: &mut StdRng) -> (u16, Value) {
        if let Some(known) = self.provisioned_by_request.get(&rent.request) {
            return (200, json!({"berths": known}));
        }
        let there = self.machines.values().filter(|m| {
            m.machine_type == rent.machine_type && m.zone == rent.zone && m.spot == rent.spot
        });
        let most = self.capacity_of(&rent);
        let n = rent.count.min(most.saturating_sub(there.count() as u32));
        if n == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut ids = Vec::new();
        for _ in 0..n {
            self.last_instance_number += 1;
            let id = MachineId::new(&format!("host-{:06}", self.last_instance_number));
            let boot = self.draw_boot(&rent.machine_type, rng);
            let boot = match self.fast_boots_until > now {
                true => rng.random_range(200..2_000),
                false => boot,
            };
            let slow = self
                .slow_boots
                .as_ref()
                .filter(|(until, s)| *until > now && s.applies_to(&rent));
            let boot = slow.map_or(boot, |(_, s)| s.boot_ms());
            let machine = Instance {
                machine_type: rent.machine_type.clone(),
                zone: rent.zone.clone(),
                spot: rent.spot,
                provisioned_at: now,
                up_at: now.saturating_add(boot),
                failed: false,
            };
            self.booting.insert((machine.up_at, id.clone()));
            self.boots.push(Boot {
                provisioned_at: now,
                up_at: machine.up_at,
            });
            self.machines.insert(id.clone(), machine);
            self.billing_periods.insert(id.clone(), (now, None));
            ids.push(id);
        }
        let kind = (rent.machine_type, rent.zone);
        self.provisioning_log.push((now, kind.0, kind.1, n));
        self.provisioned_by_request
            .insert(rent.request, ids.clone());
        (200, json!({"berths": ids}))
    }

    /// How many machines there are of the kind that is asked for.
    fn capacity_of(&self, rent: &Rent) -> u32 {
        let kind = (rent.machine_type.clone(), rent.zone.clone(), rent.spot);
        match self.fleet.capacity.get(&kind) {
            Some(most) => *most,
            None if !self.fleet.capacity.is_empty() => 0,
            None if rent.spot => self.capacity / 2,
            None => self.capacity,
        }
    }

    /// How long a new machine takes until it is up.
    fn draw_boot(&self, machine_type: &str, rng: &mut StdRng) -> Ms {
        let usual = |boot: Ms, rng: &mut StdRng| rng.random_range(boot * 6 / 10..boot * 15 / 10);
        match self.fleet.boots {
            BootModel::Adverse => match rng.random_range(0..20) {
                0 => Ms::MAX / 2,
                1 => 500,
                2 => BOOT_MS * 4,
                _ => usual(BOOT_MS, rng),
            },
            BootModel::Usual { fails } if rng.random_bool(fails) => Ms::MAX / 2,
            BootModel::Usual { .. } => {
                let of_type = self.fleet.machine_type(machine_type);
                let boot_s = of_type.map_or(0.0, |t| t.boot_s);
                usual((boot_s * 1000.0).max(10.0) as Ms, rng)
            }
        }
    }

    /// Notes how things are, for lists that lag.
    pub(crate) fn tick(&mut self, now: Ms) {
        if self
            .list_snapshots
            .back()
            .is_some_and(|(t, _)| t + 500 > now)
        {
            return;
        }
        let list = self
            .machines
            .iter()
            .map(|(id, m)| {
                let stage = match (m.failed, now >= m.up_at) {
                    (true, _) => "failed",
                    (_, true) => "running",
                    _ => "booting",
                };
                let listed = json!({"uid": id, "addr": (self.fleet.address)(id), "rig": m.machine_type, "yard": m.zone,
                       "loaner": m.spot, "stage": stage, "held_s": (now - m.provisioned_at) as f64 / 1000.0});
                (id.to_string(), listed)
            })
            .collect();
        self.list_snapshots.push_back((now, list));
        while self.list_snapshots.len() > 40 {
            self.list_snapshots.pop_front();
        }
    }
}
