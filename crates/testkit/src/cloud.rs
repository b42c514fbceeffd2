//! A model of the cloud's API for machines: catalog, provisioning, listing and deletion.

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

/// Typical lag of the list of machines. The actual lag is drawn from half to twice this time for
/// each request.
const LIST_LAG_MS: Ms = 4_000;
/// Interval between the snapshots from which lists are served.
const SNAPSHOT_INTERVAL_MS: Ms = 500;
/// Maximum number of snapshots. They cover 20 s, more than the longest lag of 8 s.
const MAX_SNAPSHOTS: usize = 40;

/// A provisioned machine that was not deleted or reclaimed yet.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    provisioned_at: Ms,
    /// When the machine is up. A time far in the future stands for never.
    pub(crate) up_at: Ms,
    /// Whether the machine has crashed.
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

/// The machines that one request provisioned.
#[derive(Clone, Debug)]
pub struct ProvisionedMachines {
    /// When the request was executed.
    pub at: Ms,
    /// Type of the machines.
    pub machine_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// Number of machines, which may be lower than requested.
    pub count: u32,
}

/// The cloud and its machines.
pub(crate) struct CloudModel {
    pub(crate) machines: BTreeMap<MachineId, Instance>,
    /// Results of provisioning requests by name. A repeated request gets the same machines, as
    /// requests are idempotent.
    provisioned_by_request: BTreeMap<String, Vec<MachineId>>,
    last_instance_number: u32,
    list_snapshots: VecDeque<(Ms, BTreeMap<String, Value>)>,
    pub(crate) is_down: bool,
    /// Machine types, capacities and boot times.
    pub(crate) fleet: Fleet,
    /// Maximum number of on-demand machines per type and zone if the fleet names no capacities. For
    /// spot machines it is half of this number.
    capacity: u32,
    /// Machines that are provisioned before this time boot in 0.2 to 2 s.
    pub(crate) fast_boots_until: Ms,
    /// The end of the fault in which some new machines boot late or never, and which machines.
    pub(crate) slow_boots: Option<(Ms, SlowBoots)>,
    /// Log of the requests that provisioned machines.
    pub(crate) provisioning_log: Vec<ProvisionedMachines>,
    /// Machines that are not up yet, ordered by the time at which they will be up.
    booting: BTreeSet<(Ms, MachineId)>,
    /// Boots of all machines, in the order of provisioning.
    pub(crate) boots: Vec<Boot>,
    /// Machines that were deleted or reclaimed and whose workers are still to be removed.
    pub(crate) newly_terminated: Vec<MachineId>,
    /// Number of machines that were ever deleted or reclaimed.
    pub(crate) terminated_count: usize,
    /// Start and end of the billing of each machine; no end: it is still billed.
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

    /// Responds to a request with a status and a JSON body.
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

    /// Responds to a listing with a page of the machines as they were a random lag ago.
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

    /// Takes the ids of the machines that have booted since the last call.
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

    /// Provisions the requested machines, or as many as the capacity allows; 503 if it allows none.
    /// A repeated request gets the machines of the first.
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

    /// Maximum number of machines of the requested type, zone and spot flag.
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

    /// Takes a snapshot of all machines for later listings, if one is due.
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

    /// A machine as an item of a listing.
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
