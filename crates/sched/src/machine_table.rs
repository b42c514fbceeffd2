//! The machines of a round, grouped into equivalence classes so that the score is computed
//! once per class.
//!
//! Machines of a class have the same free resources, type, zone, purchase option (spot or
//! on-demand), price, fetch rate, startup delay and reservation. They have the same score
//! for a task, apart from whether they have its image. The choice for a task therefore
//! compares at most two machines of each class: the first with the image, and the first
//! without it. The result is the same as if each machine had been scored; among machines
//! with equal scores, the one with the lowest index is chosen.
//!
//! The table also records requirements that no machine satisfies. Free resources only
//! shrink within a round, so no later task with the same requirement can be placed.

mod image_index;

use crate::machine::MachineSnapshot;
use crate::pending::PendingTasks;
use crate::requirement::PlacementRequirement;
use crate::resources::Resources;
use crate::score::{choose, Candidate, Weights};
use image_index::{ImageIndex, ImageMachines};
use rustc_hash::{FxHashMap, FxHashSet};

/// Everything that decides whether a task fits on a machine and how it is scored, except for
/// the machine's images.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ClassKey {
    free: Resources,
    machine_type: u16,
    zone: u16,
    is_spot: bool,
    /// The price per second. Floating-point numbers are stored as bits, which can be hashed.
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
            is_spot: machine.is_spot,
            price_bits: machine.price_per_s.to_bits(),
            fetch_rate_bits: machine.fetch_gb_per_s.to_bits(),
            delay_bits: machine.startup_delay_s.to_bits(),
            reserved_for: machine.reserved_for,
        }
    }

    /// Whether a task of the job fits on a machine of this class. If `zone` is given, the
    /// machine must be in it.
    fn accepts(&self, job: &PendingTasks, zone: Option<u16>) -> bool {
        job.task_resources.fits_in(&self.free)
            && zone.is_none_or(|zone| zone == self.zone)
            && job.allows_machine(self.machine_type, self.zone, self.is_spot)
            && job.may_use_reserved(self.reserved_for)
    }

    /// Seconds that a fetch of the job's image takes.
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

/// A class of machines that have the same key.
struct MachineClass {
    key: ClassKey,
    /// Indices of the machines, in ascending order.
    machines: Vec<usize>,
}

impl MachineClass {
    /// The first machine with the job's image and the first machine without it, among the
    /// machines that are not excluded for the job. `with_image` is the number of machines of
    /// the class that have the image; it saves the search where the answer is known.
    fn first_machines(
        &self,
        job: &PendingTasks,
        image_machines: &ImageMachines,
        with_image: usize,
    ) -> (Option<usize>, Option<usize>) {
        let is_allowed = |machine: &&usize| !job.excluded_machines.contains(*machine);
        let allowed = || self.machines.iter().filter(is_allowed).copied();
        let has_image = |machine: &usize| image_machines.contains(*machine);
        let first_with = || allowed().find(has_image);
        let first_without = || allowed().find(|machine| !has_image(machine));
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

/// The machines of a round. All allocations of a round go through it, so that classes and
/// image index stay consistent with the machines.
pub(crate) struct MachineTable<'a> {
    machines: &'a mut [MachineSnapshot],
    classes: Vec<MachineClass>,
    class_by_key: FxHashMap<ClassKey, usize>,
    /// The class of each machine; `None` if the machine is held for an aged job.
    class_of: Vec<Option<usize>>,
    images: ImageIndex,
    /// Zones of all machines, in ascending order.
    zones: Vec<u16>,
    /// Requirements that no machine satisfies for the rest of the round.
    unsatisfiable: FxHashSet<PlacementRequirement>,
}

impl<'a> MachineTable<'a> {
    /// Groups machines into classes. No task is placed on machines that are already held.
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
            unsatisfiable: FxHashSet::default(),
        };
        for machine in 0..count {
            table.classify(machine);
        }
        table
    }

    /// The machines, with the allocations of the round so far.
    pub(crate) fn machines(&self) -> &[MachineSnapshot] {
        self.machines
    }

    /// Zones of all machines, in ascending order.
    pub(crate) fn zones(&self) -> &[u16] {
        &self.zones
    }

    /// The machine with the highest score for a task of a job; among equal scores, the one
    /// with the lowest index. If `zone` is given, only machines in it are considered. `None`
    /// if the task fits on no machine.
    pub(crate) fn choose(
        &mut self,
        job: &PendingTasks,
        zone: Option<u16>,
        weights: &Weights,
    ) -> Option<usize> {
        let requirement = PlacementRequirement::new(job, &self.zones);
        let is_unsatisfiable = |requirement| self.unsatisfiable.contains(requirement);
        if requirement.as_ref().is_some_and(is_unsatisfiable) {
            return None;
        }
        let candidates = self.candidates(job, zone);
        if candidates.is_empty() {
            // The result must hold for other jobs and for the rest of the round. It does not
            // for gangs: their allocations may be released, and their search may be limited
            // to one zone. It does not for jobs with excluded machines, which other jobs
            // may use.
            let is_general = !job.is_gang && job.excluded_machines.is_empty();
            self.unsatisfiable
                .extend(requirement.filter(|_| is_general));
            return None;
        }
        choose(&job.task_resources, candidates.into_iter(), weights)
    }

    /// The candidates for a task: of each class on which it fits, the first machine with its
    /// image and the first machine without it.
    fn candidates(&mut self, job: &PendingTasks, zone: Option<u16>) -> Vec<(usize, Candidate)> {
        let image_machines = self
            .images
            .machines_with(job.image, self.machines, &self.class_of);
        let mut candidates = Vec::new();
        for (class_index, class) in self.classes.iter().enumerate() {
            if class.machines.is_empty() || !class.key.accepts(job, zone) {
                continue;
            }
            let with_image = image_machines.count_in_class(class_index);
            let (first_with, first_without) = class.first_machines(job, image_machines, with_image);
            let without_fetch = || class.key.candidate(job, 0.0);
            let with_fetch = || class.key.candidate(job, class.key.fetch_s(job));
            candidates.extend(first_with.map(|machine| (machine, without_fetch())));
            candidates.extend(first_without.map(|machine| (machine, with_fetch())));
        }
        candidates
    }

    /// Allocates resources for a task on a machine. Returns whether the machine already had
    /// the task's image.
    pub(crate) fn allocate(&mut self, machine: usize, job: &PendingTasks) -> bool {
        let allocated = &mut self.machines[machine];
        allocated.free -= job.task_resources;
        let had_image = !allocated.images.insert(job.image);
        let class = self.class_of[machine];
        self.images.set_cached(job.image, machine, class, true);
        self.classify(machine);
        had_image
    }

    /// Releases an allocation. `had_image` is the result of [`Self::allocate`]; the image is
    /// removed if the machine did not have it before.
    pub(crate) fn release(&mut self, machine: usize, job: &PendingTasks, had_image: bool) {
        let allocated = &mut self.machines[machine];
        allocated.free += job.task_resources;
        if !had_image {
            allocated.images.remove(&job.image);
            let class = self.class_of[machine];
            self.images.set_cached(job.image, machine, class, false);
        }
        self.classify(machine);
    }

    /// Holds a machine for an aged job: no more tasks are placed on it in this round.
    pub(crate) fn hold(&mut self, machine: usize) {
        self.machines[machine].is_held_for_aged_job = true;
        self.classify(machine);
    }

    /// Moves a machine to the class that matches its present state; to no class if it is
    /// held.
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

    /// Index of the class of a key. The class is created if it does not exist.
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
