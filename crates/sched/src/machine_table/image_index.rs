//! Index of the machines that have an image, with their number in each class.

use crate::machine::MachineSnapshot;
use rustc_hash::FxHashMap;

/// The machines that have an image, for each image that was looked up in this round.
#[derive(Default)]
pub(super) struct ImageIndex {
    by_image: FxHashMap<u32, ImageMachines>,
}

impl ImageIndex {
    /// The machines that have an image. The entry is built at the first look-up of the image.
    pub(super) fn machines_with(
        &mut self,
        image: u32,
        machines: &[MachineSnapshot],
        class_of: &[Option<usize>],
    ) -> &ImageMachines {
        let index = || ImageMachines::new(image, machines, class_of);
        self.by_image.entry(image).or_insert_with(index)
    }

    /// Updates the index after an image was added to a machine, or removed from it. `class`
    /// is the machine's class, `None` if it has none.
    pub(super) fn set_cached(
        &mut self,
        image: u32,
        machine: usize,
        class: Option<usize>,
        is_cached: bool,
    ) {
        let Some(indexed) = self.by_image.get_mut(&image) else {
            return;
        };
        if indexed.has_image[machine] == is_cached {
            return;
        }
        indexed.has_image[machine] = is_cached;
        match class {
            Some(class) if is_cached => indexed.add_to_class(class),
            Some(class) => indexed.count_by_class[class] -= 1,
            None => {}
        }
    }

    /// Subtracts a machine that has left a class from the counts of its images.
    pub(super) fn on_class_left(&mut self, machine: usize, class: usize) {
        for indexed in self.images_on(machine) {
            indexed.count_by_class[class] -= 1;
        }
    }

    /// Adds a machine that has joined a class to the counts of its images.
    pub(super) fn on_class_joined(&mut self, machine: usize, class: usize) {
        for indexed in self.images_on(machine) {
            indexed.add_to_class(class);
        }
    }

    fn images_on(&mut self, machine: usize) -> impl Iterator<Item = &mut ImageMachines> {
        let indexed = self.by_image.values_mut();
        indexed.filter(move |image| image.has_image[machine])
    }
}

/// The machines that have one image.
pub(super) struct ImageMachines {
    /// Whether each machine has the image, by the machine's index.
    has_image: Vec<bool>,
    /// Number of machines with the image in each class, by the class's index. A class beyond
    /// the end of the list has none.
    count_by_class: Vec<usize>,
}

impl ImageMachines {
    fn new(image: u32, machines: &[MachineSnapshot], class_of: &[Option<usize>]) -> Self {
        let has_image = machines.iter().map(|m| m.images.contains(&image));
        let mut indexed = Self {
            has_image: has_image.collect(),
            count_by_class: Vec::new(),
        };
        for (machine, class) in class_of.iter().enumerate() {
            if let Some(class) = class.filter(|_| indexed.contains(machine)) {
                indexed.add_to_class(class);
            }
        }
        indexed
    }

    /// Whether a machine has the image.
    pub(super) fn contains(&self, machine: usize) -> bool {
        self.has_image[machine]
    }

    /// Number of machines of a class that have the image.
    pub(super) fn count_in_class(&self, class: usize) -> usize {
        self.count_by_class.get(class).copied().unwrap_or(0)
    }

    fn add_to_class(&mut self, class: usize) {
        if self.count_by_class.len() <= class {
            self.count_by_class.resize(class + 1, 0);
        }
        self.count_by_class[class] += 1;
    }
}
