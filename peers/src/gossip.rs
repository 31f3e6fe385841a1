//! What is new and how often it was passed on: the least often first, each some times the logarithm
//! of the fleet's size.
use crate::facts::Key;
use crate::identity::Identity;
use std::collections::{BTreeMap, BTreeSet};

/// About what; the row itself is looked up when it is sent, so that it is always the newest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum About {
    Member(Identity),
    Fact(Key),
}

/// Times the logarithm (base 2) of the size.
const TIMES: u32 = 3;

#[derive(Clone, Debug, Default)]
pub struct Gossip {
    order: BTreeSet<(u32, u64, About)>,
    places: BTreeMap<About, (u32, u64)>,
    serial: u64,
}

/// How often a piece of news is passed on by one relay in a fleet of that size.
pub fn times(size: usize) -> u32 {
    TIMES * (usize::BITS - size.leading_zeros()).max(1)
}

impl Gossip {
    pub fn add(&mut self, about: About) {
        self.remove(&about);
        self.put(0, about);
    }

    pub fn remove(&mut self, about: &About) {
        if let Some((count, serial)) = self.places.remove(about) {
            self.order.remove(&(count, serial, about.clone()));
        }
    }

    fn put(&mut self, count: u32, about: About) {
        // Among the equally often sent the newest first.
        self.serial += 1;
        let serial = u64::MAX - self.serial;
        self.places.insert(about.clone(), (count, serial));
        self.order.insert((count, serial, about));
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// In the order in which they are to go.
    pub fn iter(&self) -> impl Iterator<Item = &About> {
        self.order.iter().map(|(.., about)| about)
    }

    pub fn sent(&mut self, all: &[About], size: usize) {
        for about in all {
            let Some(&(count, _)) = self.places.get(about) else {
                continue;
            };
            self.remove(about);
            if count + 1 < times(size) {
                self.put(count + 1, about.clone());
            }
        }
    }
}
