//! A model of the cloud: it provisions, lists and deletes machines.

mod boots;

pub use boots::{Boot, SlowBoots};

use crate::fleet::Fleet;
use crate::Ms;
use forkshift_wire::cloud::{Catalog, MachineIds, ProvisionRequest, MAX_LIST_PAGE_SIZE};
use forkshift_wire::MachineId;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Typical lag of the list of machines.
const LIST_LAG_MS: Ms = 4_000;
/// Interval between the snapshots that lagging lists are taken from.
const SNAPSHOT_INTERVAL_MS: Ms = 500;
/// Snapshots that are kept.
const MAX_SNAPSHOTS: usize = 40;

/// A provisioned machine.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    provisioned_at: Ms,
    pub(crate) up_at: Ms,
    pub(crate) failed: bool,
}

impl Instance {
    fn matches_request(&self, request: &ProvisionRequest) -> bool {
        self.machine_type == request.machine_type
            && self.zone == request.zone
            && self.spot == request.spot
    }

    fn stage(&self, now: Ms) -> &'static str {
        match (self.failed, now >= self.up_at) {
            (true, _) => "failed",
            (false, true) => "running",
            (false, false) => "booting",
        }
    }
}

/// The machines that one request has provisioned.
#[derive(Clone, Debug)]
pub struct ProvisionedMachines {
    /// When.
    pub at: Ms,
    /// Type of the machines.
    pub machine_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// How many there are.
    pub count: u32,
}

/// The cloud.
pub(crate) struct CloudModel {
    pub(crate) machines: BTreeMap<MachineId, Instance>,
    /// Results of idempotent requests.
    provisioned_by_request: BTreeMap<String, Vec<MachineId>>,
    last_instance_number: u32,
    list_snapshots: VecDeque<(Ms, BTreeMap<String, Value>)>,
    pub(crate) is_down: bool,
    /// Machine types on offer.
    pub(crate) fleet: Fleet,
    /// Machines of each type and zone where the fleet has no number; spot: half of it.
    capacity: u32,
    /// Until when machines are up within two seconds.
    pub(crate) fast_boots_until: Ms,
    /// Until when some new machines come up late or never, and which.
    pub(crate) slow_boots: Option<(Ms, SlowBoots)>,
    /// Requests that provisioned machines.
    pub(crate) provisioning_log: Vec<ProvisionedMachines>,
    /// Machines that are not up yet, by when they will be.
    booting: BTreeSet<(Ms, MachineId)>,
    /// Boots of all machines, in the order of provisioning.
    pub(crate) boots: Vec<Boot>,
    /// Machines that were deleted or reclaimed, until they are taken.
    pub(crate) newly_terminated: Vec<MachineId>,
    /// Number of all of them.
    pub(crate) terminated_count: usize,
    /// When the billing of each machine began and ended.
    pub(crate) billing_periods: BTreeMap<MachineId, (Ms, Option<Ms>)>,
    /// Time of the last request.
    now: Ms,
}

impl CloudModel {
    pub(crate) fn new(capacity: u32, fleet: Fleet) -> Self {
        Self {
            machines: BTreeMap::new(),
            provisioned_by_request: BTreeMap::new(),
            last_instance_number: 0,
            list_snapshots: VecDeque::new(),
            is_down: false,
            fleet,
            capacity,
            fast_boots_until: 0,
            slow_boots: None,
            provisioning_log: Vec::new(),
            booting: BTreeSet::new(),
            boots: Vec::new(),
            newly_terminated: Vec::new(),
            terminated_count: 0,
            billing_periods: BTreeMap::new(),
            now: 0,
        }
    }

    /// Handles a request.
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
            "/machines/delete" => self.delete(body),
            "/machines" if !body.is_empty() => {
                match serde_json::from_slice::<ProvisionRequest>(body) {
                    Ok(request) => self.provision(now, request, rng),
                    Err(e) => (400, json!({"error": e.to_string()})),
                }
            }
            "/machines" => self.list(now, query, rng),
            _ => (400, json!({})),
        }
    }

    fn delete(&mut self, body: &[u8]) -> (u16, Value) {
        let names: MachineIds = serde_json::from_slice(body).unwrap_or_default();
        for id in names.machines {
            self.terminate(&id);
        }
        (200, json!({}))
    }

    /// A page of the machines as they were a random lag ago.
    fn list(&self, now: Ms, query: &str, rng: &mut StdRng) -> (u16, Value) {
        let lag = rng.random_range(LIST_LAG_MS / 2..LIST_LAG_MS * 2);
        let mut snapshots = self.list_snapshots.iter().rev();
        let snapshot = snapshots.find(|(at, _)| at + lag <= now);
        let mut parameters = query.split('&');
        let after = parameters.find_map(|parameter| parameter.strip_prefix("from="));
        let after = after.unwrap_or_default();
        let machines = snapshot.map(|(_, machines)| machines).into_iter().flatten();
        let mut rest = machines.filter(|(id, _)| id.as_str() > after);
        let page = rest.by_ref().take(MAX_LIST_PAGE_SIZE as usize);
        let page: Vec<&Value> = page.map(|(_, machine)| machine).collect();
        let has_next = rest.next().is_some();
        (200, json!({"berths": page, "has_next": has_next}))
    }

    /// Takes the machines that have come up, by their names.
    pub(crate) fn take_booted(&mut self, now: Ms) -> BTreeSet<MachineId> {
        let mut booted = BTreeSet::new();
        while self.booting.first().is_some_and(|(at, _)| *at <= now) {
            booted.extend(self.booting.pop_first().map(|(_, id)| id));
        }
        booted
    }

    /// Removes a machine that is deleted or reclaimed.
    pub(crate) fn terminate(&mut self, id: &MachineId) {
        if self.machines.remove(id).is_some() {
            self.terminated_count += 1;
            self.newly_terminated.push(id.clone());
            self.end_billing(id, self.now);
        }
    }

    /// Ends the billing of a machine, if it had not ended before.
    pub(crate) fn end_billing(&mut self, id: &MachineId, now: Ms) {
        if let Some((_, ended)) = self.billing_periods.get_mut(id) {
            ended.get_or_insert(now);
        }
    }

    /// Provisions as many of the requested machines as there are. A repeated request gets
    /// the machines of the first.
    fn provision(&mut self, now: Ms, request: ProvisionRequest, rng: &mut StdRng) -> (u16, Value) {
        if let Some(known) = self.provisioned_by_request.get(&request.request_name) {
            return (200, json!({"berths": known}));
        }
        let machines = self.machines.values();
        let in_use = machines
            .filter(|machine| machine.matches_request(&request))
            .count() as u32;
        let free = self.capacity_of(&request).saturating_sub(in_use);
        let count = request.count.min(free);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let ids: Vec<MachineId> = (0..count)
            .map(|_| self.add_instance(now, &request, rng))
            .collect();
        self.provisioning_log.push(ProvisionedMachines {
            at: now,
            machine_type: request.machine_type,
            zone: request.zone,
            count,
        });
        self.provisioned_by_request
            .insert(request.request_name, ids.clone());
        (200, json!({"berths": ids}))
    }

    fn add_instance(&mut self, now: Ms, request: &ProvisionRequest, rng: &mut StdRng) -> MachineId {
        self.last_instance_number += 1;
        let id = MachineId::new(&format!("host-{:06}", self.last_instance_number));
        let boot_ms = self.random_boot_ms(now, request, rng);
        let up_at = now.saturating_add(boot_ms);
        let instance = Instance {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            provisioned_at: now,
            up_at,
            failed: false,
        };
        self.booting.insert((up_at, id.clone()));
        self.boots.push(Boot {
            provisioned_at: now,
            up_at,
        });
        self.machines.insert(id.clone(), instance);
        self.billing_periods.insert(id.clone(), (now, None));
        id
    }

    /// How many machines of the requested kind there are in all.
    fn capacity_of(&self, request: &ProvisionRequest) -> u32 {
        let key = (
            request.machine_type.clone(),
            request.zone.clone(),
            request.spot,
        );
        match self.fleet.capacity.get(&key) {
            Some(capacity) => *capacity,
            None if !self.fleet.capacity.is_empty() => 0,
            None if request.spot => self.capacity / 2,
            None => self.capacity,
        }
    }

    /// Takes a snapshot for lists, which lag, if one is due.
    pub(crate) fn tick(&mut self, now: Ms) {
        let last = self.list_snapshots.back();
        if last.is_some_and(|(at, _)| at + SNAPSHOT_INTERVAL_MS > now) {
            return;
        }
        let machines = self.machines.iter();
        let snapshot = machines
            .map(|(id, machine)| (id.to_string(), self.list_item(now, id, machine)))
            .collect();
        self.list_snapshots.push_back((now, snapshot));
        while self.list_snapshots.len() > MAX_SNAPSHOTS {
            self.list_snapshots.pop_front();
        }
    }

    /// A machine as it appears in lists.
    fn list_item(&self, now: Ms, id: &MachineId, machine: &Instance) -> Value {
        json!({
            "uid": id,
            "addr": (self.fleet.address)(id),
            "rig": machine.machine_type,
            "yard": machine.zone,
            "loaner": machine.spot,
            "stage": machine.stage(now),
            "held_s": (now - machine.provisioned_at) as f64 / 1000.0,
        })
    }
}
