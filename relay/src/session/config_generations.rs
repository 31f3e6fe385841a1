//! The number of sessions opened under each generation of the configuration.
use std::collections::BTreeMap;
use std::fmt;

/// Counts the sessions of each generation of the configuration.
pub(super) struct ConfigGenerations {
    current: u32,
    /// The number of open sessions by generation; generations without sessions are absent.
    sessions: BTreeMap<u32, usize>,
}

impl ConfigGenerations {
    /// Creates the counts for the configuration read at startup, which is generation 1.
    pub(super) fn new() -> ConfigGenerations {
        ConfigGenerations {
            current: 1,
            sessions: BTreeMap::new(),
        }
    }

    /// Returns the generation of the configuration in force.
    pub(super) fn current(&self) -> u32 {
        self.current
    }

    /// Starts a new generation, for a changed configuration.
    pub(super) fn advance(&mut self) {
        self.current += 1;
    }

    /// Counts a new session under the current generation, and returns that generation.
    pub(super) fn add_session(&mut self) -> u32 {
        *self.sessions.entry(self.current).or_default() += 1;
        self.current
    }

    /// Removes a session of this generation from the counts.
    pub(super) fn remove_session(&mut self, generation: u32) {
        let Some(count) = self.sessions.get_mut(&generation) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.sessions.remove(&generation);
            if generation != self.current {
                log::debug!(generation; "no session uses this former configuration any more; generation={generation}");
            }
        }
    }
}

impl fmt::Display for ConfigGenerations {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (generation, count)) in self.sessions.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(out, "{separator}{count} by generation {generation}")?;
        }
        Ok(())
    }
}
