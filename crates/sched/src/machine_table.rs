//! The machines of a round, grouped into classes so that equal ones are scored once.
//!
//! Two machines of the same type, zone, kind and price with the same free resources have
//! the same score for a task, unless only one of them has its image. So a choice compares
//! classes of machines rather than machines; of equal machines the one with the lowest
//! index is chosen, as if each had been scored. Requirements that no machine meets are
//! remembered as well: within a round machines only fill up, so nothing with the same
//! requirement is placed later.

mod image_index;

use crate::machine::MachineSnapshot;
use crate::pending::PendingTasks;
use crate::requirement::PlacementRequirement;
use crate::resources::Resources;
use crate::score::{choose, Candidate, Weights};
use image_index::{ImageIndex, ImageMachines};
use rustc_hash::{FxHashMap, FxHashSet};

/// Everything that a machine's score depends on, except for its images.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ClassKey {
    free: Resources,
    machine_type: u16,
    zone: u16,
    spot: bool,
    /// Floating-point numbers are kept by their bits, which can be hashed.
    price_bits: u64,
    fetch_rate_bits: u64,
    delay_bits: u64,
    reserved_for: Option<u32>,
}

impl ClassKey {
    fn new(machine: &MachineSnapshot) -> Self {
        Self {
            free: machine.free,
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.is_spot,
            price_bits: machine.price_per_s.to_bits(),
            fetch_rate_bits: machine.fetch_gb_per_s.to_bits(),
            delay_bits: machine.startup_delay_s.to_bits(),
            reserved_for: machine.reserved_for,
        }
    }

    /// Whether a task of the job may be placed on such a machine, in `zone` if it is given.
    fn accepts(&self, job: &PendingTasks, zone: Option<u16>) -> bool {
        job.task_resources.fits_in(&self.free)
            && zone.is_none_or(|zone| zone == self.zone)
            && job.allows_machine(self.machine_type, self.zone, self.spot)
            && job.may_use_reserved(self.reserved_for)
    }

    /// Seconds until the job's image has been fetched.
    fn fetch_s(&self, job: &PendingTasks) -> f64 {
        let rate = f64::from_bits(self.fetch_rate_bits);
        if rate <= 0.0 {
            0.0
        } else {
            job.image_gb / rate
        }
    }

    fn candidate(&self, job: &PendingTasks, fetch_s: f64) -> Candidate {
        Candidate {
            free: self.free,
            cost: f64::from_bits(self.price_bits) * job.estimated_run_s,
            latency: f64::from_bits(self.delay_bits) + fetch_s,
        }
    }
}

/// Equal machines, by their indices in ascending order.
struct MachineClass {
    key: ClassKey,
    machines: Vec<usize>,
}

impl MachineClass {
    /// The first machine with the job's image and the first without it, of those that are
    /// not excluded. `with_image` is how many machines of the class have the image.
    fn first_machines(
        &self,
        job: &PendingTasks,
        image_machines: &ImageMachines,
        with_image: usize,
    ) -> (Option<usize>, Option<usize>) {
        let is_open = |machine: &&usize| !job.excluded_machines.contains(*machine);
        let open = || self.machines.iter().filter(is_open).copied();
        let has_image = |machine: &usize| image_machines.contains(*machine);
        let first_with = || open().find(has_image);
        let first_without = || open().find(|machine| !has_image(machine));
        let all_have_image = with_image == self.machines.len();
        (
            (with_image > 0).then(first_with).flatten(),
            (!all_have_image).then(first_without).flatten(),
        )
    }

    fn insert(&mut self, machine: usize) {
        if let Err(position) = self.machines.binary_search(&machine) {
            self.machines.insert(position, machine);
        }
    }

    fn remove(&mut self, machine: usize) {
        if let Ok(position) = self.machines.binary_search(&machine) {
            self.machines.remove(position);
        }
    }
}

/// The machines of a round. All bookings go through it.
pub(crate) struct MachineTable<'a> {
    machines: &'a mut [MachineSnapshot],
    classes: Vec<MachineClass>,
    class_by_key: FxHashMap<ClassKey, usize>,
    /// The class of each machine; `None` while it is held.
    class_of: Vec<Option<usize>>,
    images: ImageIndex,
    /// All zones, in ascending order.
    zones: Vec<u16>,
    /// Requirements that no machine meets for the rest of the round.
    unmet: FxHashSet<PlacementRequirement>,
}

impl<'a> MachineTable<'a> {
    /// Groups machines. Those that are held already take no tasks.
    pub(crate) fn new(machines: &'a mut [MachineSnapshot]) -> Self {
        let mut zones: Vec<u16> = machines.iter().map(|machine| machine.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let count = machines.len();
        let mut table = Self {
            machines,
            classes: Vec::new(),
            class_by_key: FxHashMap::default(),
            class_of: vec![None; count],
            images: ImageIndex::default(),
            zones,
            unmet: FxHashSet::default(),
        };
        for machine in 0..count {
            table.classify(machine);
        }
        table
    }

    /// The machines, less what has been booked so far.
    pub(crate) fn machines(&self) -> &[MachineSnapshot] {
        self.machines
    }

    /// All zones, in ascending order.
    pub(crate) fn zones(&self) -> &[u16] {
        &self.zones
    }

    /// The machine with the best score for a task of a job, in `zone` if it is given; of
    /// equals, the one with the lowest index.
    pub(crate) fn choose(
        &mut self,
        job: &PendingTasks,
        zone: Option<u16>,
        weights: &Weights,
    ) -> Option<usize> {
        let requirement = PlacementRequirement::new(job, &self.zones);
        let is_unmet = |requirement| self.unmet.contains(requirement);
        if requirement.as_ref().is_some_and(is_unmet) {
            return None;
        }
        let candidates = self.candidates(job, zone);
        if candidates.is_empty() {
            // A gang's bookings may be undone, and only a gang is searched for in a given
            // zone; a job with excluded machines says nothing about others.
            let is_lasting = !job.is_gang && job.excluded_machines.is_empty();
            self.unmet.extend(requirement.filter(|_| is_lasting));
            return None;
        }
        choose(&job.task_resources, candidates.into_iter(), weights)
    }

    /// The first machines of each class that may take a task, with and without its image.
    fn candidates(&mut self, job: &PendingTasks, zone: Option<u16>) -> Vec<(usize, Candidate)> {
        let image = self.images.of(job.image, self.machines, &self.class_of);
        let mut candidates = Vec::new();
        for (class_index, class) in self.classes.iter().enumerate() {
            if class.machines.is_empty() || !class.key.accepts(job, zone) {
                continue;
            }
            let with_image = image.count_in_class(class_index);
            let (first_with, first_without) = class.first_machines(job, image, with_image);
            let cached = || class.key.candidate(job, 0.0);
            let fetched = || class.key.candidate(job, class.key.fetch_s(job));
            candidates.extend(first_with.map(|machine| (machine, cached())));
            candidates.extend(first_without.map(|machine| (machine, fetched())));
        }
        candidates
    }

    /// Books a task on a machine. Returns whether its image was there already.
    pub(crate) fn book(&mut self, machine: usize, job: &PendingTasks) -> bool {
        let booked = &mut self.machines[machine];
        booked.free -= job.task_resources;
        let had_image = !booked.images.insert(job.image);
        let class = self.class_of[machine];
        self.images.set(job.image, machine, class, true);
        self.classify(machine);
        had_image
    }

    /// Undoes a booking. The image is removed unless it was there before.
    pub(crate) fn undo(&mut self, machine: usize, job: &PendingTasks, had_image: bool) {
        let booked = &mut self.machines[machine];
        booked.free += job.task_resources;
        if !had_image {
            booked.images.remove(&job.image);
            let class = self.class_of[machine];
            self.images.set(job.image, machine, class, false);
        }
        self.classify(machine);
    }

    /// Keeps a machine from taking any more tasks in this round.
    pub(crate) fn hold(&mut self, machine: usize) {
        self.machines[machine].is_held_for_aged_job = true;
        self.classify(machine);
    }

    /// Moves a machine to the class that it now belongs to.
    fn classify(&mut self, machine: usize) {
        if let Some(class) = self.class_of[machine].take() {
            self.classes[class].remove(machine);
            self.images.on_class_left(machine, class);
        }
        if self.machines[machine].is_held_for_aged_job {
            return;
        }
        let class = self.class_for(ClassKey::new(&self.machines[machine]));
        self.classes[class].insert(machine);
        self.class_of[machine] = Some(class);
        self.images.on_class_joined(machine, class);
    }

    /// The class of a key; a new one if there is none yet.
    fn class_for(&mut self, key: ClassKey) -> usize {
        let class = *self.class_by_key.entry(key).or_insert(self.classes.len());
        if class == self.classes.len() {
            let machines = Vec::new();
            self.classes.push(MachineClass { key, machines });
        }
        class
    }
}

#[cfg(test)]
mod tests;
