//! Failure counts by client key, in a bounded table that drops old entries.
use crate::time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Maximum number of clients held at once, against floods of new keys.
const MAX_CLIENTS: usize = 20_000;
/// Age at which an unused count is dropped: several times the longest backoff.
const MAX_AGE: Duration = Duration::from_millis(120_000);

/// The failure count of one client.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ClientFailures {
    /// Failures since the count was last cleared.
    pub(crate) count: u32,
    /// When the client's connection will have been established for long enough to clear the count.
    pub(crate) clears_at: Option<Instant>,
}

/// The clients that recently failed or connected. Access takes about as long in a full table as in
/// a small one.
#[derive(Default)]
pub(crate) struct FailureCounts {
    clients: BTreeMap<u64, AgedFailures>,
    /// The same clients ordered by their last use, the stalest first.
    by_age: BTreeSet<LastUse>,
}

#[derive(Default)]
struct AgedFailures {
    last_used: Instant,
    failures: ClientFailures,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LastUse {
    at: Instant,
    key: u64,
}

impl FailureCounts {
    /// Returns the failures of a client and marks them as used now. In a full table a new client
    /// replaces the stalest one.
    pub(crate) fn get_or_insert(&mut self, key: u64, now: Instant) -> &mut ClientFailures {
        match self.clients.get(&key) {
            Some(client) => {
                let at = client.last_used;
                self.by_age.remove(&LastUse { at, key });
            }
            None if self.clients.len() >= MAX_CLIENTS => self.evict_stalest(),
            None => {}
        }
        self.by_age.insert(LastUse { at: now, key });
        let client = self.clients.entry(key).or_default();
        client.last_used = now;
        &mut client.failures
    }

    /// Removes the clients that have not been used for `MAX_AGE`.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        let is_expired = |last_use: &&LastUse| now.duration_since(last_use.at) >= MAX_AGE;
        while self.by_age.first().filter(is_expired).is_some() {
            self.evict_stalest();
        }
    }

    fn evict_stalest(&mut self) {
        if let Some(stalest) = self.by_age.pop_first() {
            self.clients.remove(&stalest.key);
        }
    }
}
