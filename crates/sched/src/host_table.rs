//! The hosts of a round, grouped so that equal ones are scored once.
//!
//! Two hosts of the same type, zone, kind and price with the same resources free
//! have the same score for a task, but for whether its image is there. So a choice
//! goes over classes of hosts rather than over hosts; of equal hosts the first is
//! taken, as if all had been looked at. What found no host is remembered as well:
//! within a round hosts only fill up, so nothing that needs the same finds one later.

use crate::resources::Resources;
use crate::round::{Host, PendingTasks};
use crate::score::{choose, Candidate, Weights};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeSet;

/// Most zones whose bits fit into a mask; with more, nothing is remembered.
const ZONES_MOST: usize = 64;

/// Everything that a host's score depends on, but for images.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ClassKey {
    free: Resources,
    machine_type: u16,
    zone: u16,
    spot: bool,
    price_bits: u64,
    fetch_rate_bits: u64,
    delay_bits: u64,
    reserved_for: Option<u32>,
}

impl ClassKey {
    fn new(host: &Host) -> Self {
        Self {
            free: host.free,
            machine_type: host.machine_type,
            zone: host.zone,
            spot: host.spot,
            price_bits: host.price.to_bits(),
            fetch_rate_bits: host.fetch_rate.to_bits(),
            delay_bits: host.delay.to_bits(),
            reserved_for: host.reserved_for,
        }
    }
}

/// Hosts that are alike, by their indices in ascending order.
struct HostClass {
    key: ClassKey,
    members: Vec<usize>,
}

/// What tasks need of any host, given the zones that are open to them.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Requirement {
    task: Resources,
    types: Option<Vec<u16>>,
    /// A bit for each zone that is allowed.
    zones: u64,
    spot: bool,
    reservations: BTreeSet<u32>,
}

impl Requirement {
    /// What a job's tasks need, where there are these zones; none if there are too
    /// many to tell apart.
    pub fn new(want: &PendingTasks, zones: &[u16]) -> Option<Self> {
        if zones.len() > ZONES_MOST {
            return None;
        }
        let allowed = zones.iter().enumerate();
        let allowed = allowed.filter(|(_, zone)| want.zone_allowed(**zone));
        Some(Self {
            task: want.task,
            types: want.types.clone(),
            zones: allowed.fold(0, |mask, (bit, _)| mask | 1 << bit),
            spot: want.spot,
            reservations: want.reservations.clone(),
        })
    }
}

/// The hosts of a round. All bookings go through it.
pub(crate) struct HostTable<'a> {
    hosts: &'a mut [Host],
    classes: Vec<HostClass>,
    by_key: FxHashMap<ClassKey, usize>,
    /// The class of each host; none while it is held.
    class_of: Vec<Option<usize>>,
    /// Which hosts have an image, for images that were asked about.
    image_holders: FxHashMap<u32, ImageHolders>,
    zones: Vec<u16>,
    /// What is known to fit nowhere any more.
    hopeless: FxHashSet<Requirement>,
}

impl<'a> HostTable<'a> {
    /// Groups hosts. Those that are held already take no tasks.
    pub(crate) fn new(hosts: &'a mut [Host]) -> Self {
        let mut zones: Vec<u16> = hosts.iter().map(|h| h.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let count = hosts.len();
        let mut table = Self {
            hosts,
            classes: Vec::new(),
            by_key: FxHashMap::default(),
            class_of: vec![None; count],
            image_holders: FxHashMap::default(),
            zones,
            hopeless: FxHashSet::default(),
        };
        for host in 0..count {
            table.classify(host);
        }
        table
    }

    /// The hosts as they are booked by now.
    pub(crate) fn hosts(&self) -> &[Host] {
        self.hosts
    }

    /// All zones, in ascending order.
    pub(crate) fn zones(&self) -> &[u16] {
        &self.zones
    }

    /// The host with the best score for a task of a job, in one zone if one is
    /// named; of equals, the first.
    pub(crate) fn choose(
        &mut self,
        want: &PendingTasks,
        zone: Option<u16>,
        weights: &Weights,
    ) -> Option<usize> {
        let requirement = Requirement::new(want, &self.zones);
        let known = requirement
            .as_ref()
            .is_some_and(|r| self.hopeless.contains(r));
        if known {
            return None;
        }
        let found = self.candidates(want, zone);
        if found.is_empty() {
            // A gang's tasks are booked to be undone, perhaps. Only gangs are
            // looked for in one zone.
            let lasts = !want.gang && want.avoid.is_empty();
            self.hopeless.extend(requirement.filter(|_| lasts));
            return None;
        }
        choose(&want.task, found.into_iter(), weights)
    }

    /// The first host of each class that may take a task, with the image and
    /// without it.
    fn candidates(&mut self, want: &PendingTasks, zone: Option<u16>) -> Vec<(usize, Candidate)> {
        self.note_image_holders(want.image);
        let holders = &self.image_holders[&want.image];
        let mut found = Vec::new();
        for (number, class) in self.classes.iter().enumerate() {
            let key = &class.key;
            let fits = !class.members.is_empty()
                && want.task.fits(&key.free)
                && zone.is_none_or(|z| z == key.zone)
                && want.allowed(key.machine_type, key.zone, key.spot)
                && want.may_use_reserved(key.reserved_for);
            if !fits {
                continue;
            }
            let open = |host: &&usize| !want.avoid.contains(*host);
            let open = class.members.iter().filter(open).copied();
            let with_image = holders.in_class(number);
            let first = || open.clone().find(|host| holders.by_host[*host]);
            let first = (with_image > 0).then(first).flatten();
            let first_without = || open.clone().find(|host| !holders.by_host[*host]);
            let all_with_image = with_image == class.members.len();
            let first_without = (!all_with_image).then(first_without).flatten();
            let fetch = fetch_s(want, f64::from_bits(key.fetch_rate_bits));
            let candidate = |fetch| Candidate {
                free: key.free,
                cost: f64::from_bits(key.price_bits) * want.estimate,
                latency: f64::from_bits(key.delay_bits) + fetch,
            };
            found.extend(first.map(|host| (host, candidate(0.0))));
            found.extend(first_without.map(|host| (host, candidate(fetch))));
        }
        found
    }

    /// Books a task on a host. Says whether its image was there.
    pub(crate) fn book(&mut self, host: usize, want: &PendingTasks) -> bool {
        let booked = &mut self.hosts[host];
        booked.free -= want.task;
        let had_image = !booked.images.insert(want.image);
        self.mark_image(want.image, host, true);
        self.classify(host);
        had_image
    }

    /// Takes a booking back. The image goes with it unless it was there before.
    pub(crate) fn undo(&mut self, host: usize, want: &PendingTasks, had_image: bool) {
        let booked = &mut self.hosts[host];
        booked.free += want.task;
        if !had_image {
            booked.images.remove(&want.image);
            self.mark_image(want.image, host, false);
        }
        self.classify(host);
    }

    /// Keeps a host from taking any task from now on.
    pub(crate) fn hold(&mut self, host: usize) {
        self.hosts[host].held = true;
        self.classify(host);
    }

    /// Moves a host to the class that it now belongs to.
    fn classify(&mut self, host: usize) {
        if let Some(class) = self.class_of[host].take() {
            let members = &mut self.classes[class].members;
            if let Ok(place) = members.binary_search(&host) {
                members.remove(place);
            }
            let holders = self.image_holders.values_mut();
            for holders in holders.filter(|h| h.by_host[host]) {
                holders.by_class[class] -= 1;
            }
        }
        if self.hosts[host].held {
            return;
        }
        let key = ClassKey::new(&self.hosts[host]);
        let class = *self.by_key.entry(key).or_insert(self.classes.len());
        if class == self.classes.len() {
            let members = Vec::new();
            self.classes.push(HostClass { key, members });
        }
        let members = &mut self.classes[class].members;
        if let Err(place) = members.binary_search(&host) {
            members.insert(place, host);
        }
        self.class_of[host] = Some(class);
        let holders = self.image_holders.values_mut();
        for holders in holders.filter(|h| h.by_host[host]) {
            holders.add_to_class(class);
        }
    }

    fn note_image_holders(&mut self, image: u32) {
        if self.image_holders.contains_key(&image) {
            return;
        }
        let by_host: Vec<bool> = self
            .hosts
            .iter()
            .map(|h| h.images.contains(&image))
            .collect();
        let mut holders = ImageHolders {
            by_host,
            by_class: Vec::new(),
        };
        for (host, class) in self.class_of.iter().enumerate() {
            if let Some(class) = class.filter(|_| holders.by_host[host]) {
                holders.add_to_class(class);
            }
        }
        self.image_holders.insert(image, holders);
    }

    /// Notes that an image has come to a host, or is gone from it.
    fn mark_image(&mut self, image: u32, host: usize, there: bool) {
        let class = self.class_of[host];
        let Some(holders) = self.image_holders.get_mut(&image) else {
            return;
        };
        if holders.by_host[host] == there {
            return;
        }
        holders.by_host[host] = there;
        match class {
            Some(class) if there => holders.add_to_class(class),
            Some(class) => holders.by_class[class] -= 1,
            None => {}
        }
    }
}

/// The hosts that have an image.
struct ImageHolders {
    by_host: Vec<bool>,
    /// How many of each class; those of classes behind its end: none.
    by_class: Vec<usize>,
}

impl ImageHolders {
    fn in_class(&self, class: usize) -> usize {
        self.by_class.get(class).copied().unwrap_or(0)
    }

    fn add_to_class(&mut self, class: usize) {
        if self.by_class.len() <= class {
            self.by_class.resize(class + 1, 0);
        }
        self.by_class[class] += 1;
    }
}

/// Seconds that a fetch of a job's image takes.
fn fetch_s(want: &PendingTasks, rate: f64) -> f64 {
    if rate <= 0.0 {
        0.0
    } else {
        want.image_gb / rate
    }
}

#[cfg(test)]
mod tests;
