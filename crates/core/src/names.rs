//! Numbers that stand for names within this process.
//!
//! Machine types and zones have numbers of 16 bits, images of 32, each counted apart:
//! users name as many images as they like, and a zone must never get the number of
//! another one because many images came before it.

use std::collections::{BTreeSet, HashMap};

/// Numbers of machine types and zones.
#[derive(Default)]
pub(crate) struct PlaceNames {
    numbers: HashMap<String, u16>,
    names: Vec<String>,
}

impl PlaceNames {
    /// The number for what has none, as there are too many. No machine is there.
    pub(crate) const NOWHERE: u16 = u16::MAX;

    /// The number of a machine type or a zone.
    pub(crate) fn number(&mut self, name: &str) -> u16 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let Some(number) = self.next() else {
            log::error!("more machine types and zones than have numbers: {name} is left out");
            return Self::NOWHERE;
        };
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// The name that a number stands for.
    pub(crate) fn name(&self, number: u16) -> Option<&str> {
        self.names.get(usize::from(number)).map(String::as_str)
    }

    fn next(&self) -> Option<u16> {
        let number = u16::try_from(self.names.len()).ok();
        number.filter(|n| *n != Self::NOWHERE)
    }
}

/// Numbers of images. None is used twice, also when its name was forgotten.
pub(crate) struct ImageNames {
    numbers: HashMap<String, u32>,
    names: HashMap<u32, String>,
    next: u32,
    /// Most names that are known before those out of use are forgotten.
    most: usize,
}

impl ImageNames {
    pub(crate) fn new(most: usize) -> Self {
        Self {
            numbers: HashMap::new(),
            names: HashMap::new(),
            next: 0,
            most,
        }
    }

    /// The number of an image.
    pub(crate) fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(name.to_owned(), number);
        self.names.insert(number, name.to_owned());
        number
    }

    /// The name that a number stands for.
    pub(crate) fn name(&self, number: u32) -> Option<&str> {
        self.names.get(&number).map(String::as_str)
    }

    /// Whether there are so many that those out of use should be forgotten.
    pub(crate) fn are_many(&self) -> bool {
        self.names.len() > self.most
    }

    /// Forgets all images that are not in use. If most are, it is asked for again
    /// only once there are twice as many.
    pub(crate) fn keep(&mut self, used: &BTreeSet<u32>) {
        self.names.retain(|number, _| used.contains(number));
        self.numbers.retain(|_, number| used.contains(number));
        self.most = self.most.max(self.names.len() * 2);
    }
}

#[cfg(test)]
mod tests;
