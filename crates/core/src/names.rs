//! Interned names: numbers that stand for names within this process.
//!
//! Machine types and zones have numbers of 16 bits, images of 32, each counted apart:
//! users may name any number of images, and must not use up the numbers of zones.

use std::collections::{BTreeSet, HashMap};

/// Numbers of machine types and zones.
#[derive(Default)]
pub(crate) struct TypeAndZoneNames {
    numbers: HashMap<String, u16>,
    names: Vec<String>,
}

impl TypeAndZoneNames {
    /// The number of all names beyond the last number. No machine has it.
    pub(crate) const OVERFLOW_NUMBER: u16 = u16::MAX;

    /// The number of a machine type or a zone.
    pub(crate) fn intern(&mut self, name: &str) -> u16 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let Some(number) = self.next_number() else {
            log::error!("names: too many machine types and zones, {name} ignored");
            return Self::OVERFLOW_NUMBER;
        };
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// The name that a number stands for.
    pub(crate) fn name(&self, number: u16) -> Option<&str> {
        self.names.get(usize::from(number)).map(String::as_str)
    }

    /// The next free number, if there is one.
    fn next_number(&self) -> Option<u16> {
        let number = u16::try_from(self.names.len()).ok();
        number.filter(|number| *number != Self::OVERFLOW_NUMBER)
    }
}

/// Numbers of images. None is used twice, even if its name was forgotten.
pub(crate) struct ImageNames {
    numbers: HashMap<String, u32>,
    names: HashMap<u32, String>,
    next: u32,
    /// Number of names beyond which those out of use are forgotten.
    max_names: usize,
}

impl ImageNames {
    /// `max_names` is the number of names beyond which those out of use are forgotten.
    pub(crate) fn new(max_names: usize) -> Self {
        Self {
            numbers: HashMap::new(),
            names: HashMap::new(),
            next: 0,
            max_names,
        }
    }

    /// The number of an image.
    pub(crate) fn intern(&mut self, name: &str) -> u32 {
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

    /// Whether there are so many names that those out of use should be forgotten.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.names.len() > self.max_names
    }

    /// Forgets all images that are not in use. The limit grows to twice the number of those
    /// that are, so that this is not done too often.
    pub(crate) fn retain_used(&mut self, used: &BTreeSet<u32>) {
        self.names.retain(|number, _| used.contains(number));
        self.numbers.retain(|_, number| used.contains(number));
        self.max_names = self.max_names.max(self.names.len() * 2);
    }
}

#[cfg(test)]
mod tests;
