//! Interned names: compact numbers in place of names, valid within this process.
//!
//! Machine types and zones share a space of 16-bit numbers. Images have a separate space of
//! 32-bit numbers, because users may name any number of images and must not exhaust the
//! numbers of machine types and zones.

use std::collections::{BTreeSet, HashMap};

/// Interned names of machine types and zones.
#[derive(Default)]
pub(crate) struct TypeAndZoneNames {
    numbers: HashMap<String, u16>,
    names: Vec<String>,
}

impl TypeAndZoneNames {
    /// Number that all names share for which no number is left. It resolves to no name.
    pub(crate) const OVERFLOW_NUMBER: u16 = u16::MAX;

    /// The number of a machine type or a zone. Assigns a number to a new name.
    pub(crate) fn intern(&mut self, name: &str) -> u16 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let Some(number) = self.unused_number() else {
            log::error!("names: no number left for machine type or zone {name}, ignoring it");
            return Self::OVERFLOW_NUMBER;
        };
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// The name with a number; `None` for [`Self::OVERFLOW_NUMBER`].
    pub(crate) fn name(&self, number: u16) -> Option<&str> {
        self.names.get(usize::from(number)).map(String::as_str)
    }

    /// The next unused number, or `None` if all are used.
    fn unused_number(&self) -> Option<u16> {
        let number = u16::try_from(self.names.len()).ok();
        number.filter(|number| *number != Self::OVERFLOW_NUMBER)
    }
}

/// Interned names of images. A number is never reused, even after its name was evicted.
pub(crate) struct ImageNames {
    numbers: HashMap<String, u32>,
    names: HashMap<u32, String>,
    next_number: u32,
    /// Number of names above which unused ones are evicted.
    max_names: usize,
}

impl ImageNames {
    /// `max_names` is the number of names above which unused ones are evicted.
    pub(crate) fn new(max_names: usize) -> Self {
        Self {
            numbers: HashMap::new(),
            names: HashMap::new(),
            next_number: 0,
            max_names,
        }
    }

    /// The number of an image. Assigns a number to a new name.
    pub(crate) fn intern(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(name.to_owned(), number);
        self.names.insert(number, name.to_owned());
        number
    }

    /// The name with a number; `None` if the name was evicted.
    pub(crate) fn name(&self, number: u32) -> Option<&str> {
        self.names.get(&number).map(String::as_str)
    }

    /// Whether there are so many names that unused ones should be evicted.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.names.len() > self.max_names
    }

    /// Evicts all images that are not in `used`. The limit grows to at least twice the number
    /// of the remaining names, so that evictions stay rare when many images are in use.
    pub(crate) fn retain_used(&mut self, used: &BTreeSet<u32>) {
        self.names.retain(|number, _| used.contains(number));
        self.numbers.retain(|_, number| used.contains(number));
        self.max_names = self.max_names.max(self.names.len() * 2);
    }
}

#[cfg(test)]
mod tests;
