//! Which machines have which images, counted by class of machines.

use crate::machine::MachineSnapshot;
use rustc_hash::FxHashMap;

/// The machines that have an image, for each image that was looked up so far.
#[derive(Default)]
pub(super) struct ImageIndex {
    by_image: FxHashMap<u32, ImageMachines>,
}

impl ImageIndex {
    /// The machines that have an image. The first look-up of an image indexes it.
    pub(super) fn of(
        &mut self,
        image: u32,
        machines: &[MachineSnapshot],
        class_of: &[Option<usize>],
    ) -> &ImageMachines {
        let index = || ImageMachines::new(image, machines, class_of);
        self.by_image.entry(image).or_insert_with(index)
    }

    /// Notes that an image has been put on a machine of a class, or removed from it.
    pub(super) fn set(&mut self, image: u32, machine: usize, class: Option<usize>, is_there: bool) {
        let Some(indexed) = self.by_image.get_mut(&image) else {
            return;
        };
        if indexed.has_image[machine] == is_there {
            return;
        }
        indexed.has_image[machine] = is_there;
        match class {
            Some(class) if is_there => indexed.add_to_class(class),
            Some(class) => indexed.count_by_class[class] -= 1,
            None => {}
        }
    }

    /// Notes that a machine with its images has left a class.
    pub(super) fn on_class_left(&mut self, machine: usize, class: usize) {
        for indexed in self.images_on(machine) {
            indexed.count_by_class[class] -= 1;
        }
    }

    /// Notes that a machine with its images has joined a class.
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
    /// Number of such machines by class; classes beyond the end have none.
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
