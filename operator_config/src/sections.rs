//! The sections of a file as typed values. `None` means that the file leaves a value out.
use crate::error::{Located, Location};
use std::net::SocketAddr;
use thistlecroft::time::Duration;

/// The section `[[route]]`.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RouteSection {
    pub(crate) name: String,
    pub(crate) location: Location,
    pub(crate) matching: MatchSection,
    pub(crate) handshake_objective: Option<Located<Duration>>,
    pub(crate) handshake_timeout: Option<Located<Duration>>,
    pub(crate) connect_timeout: Option<Located<Duration>>,
    pub(crate) max_attempts: Option<Located<u32>>,
    pub(crate) attempt_timeout_factor: Option<Located<f64>>,
    pub(crate) backoff_base: Option<Located<Duration>>,
    pub(crate) backoff_cap: Option<Located<Duration>>,
    pub(crate) stable_after: Option<Located<Duration>>,
    pub(crate) max_retry_after: Option<Located<Duration>>,
    pub(crate) idle_timeout: Option<Located<Duration>>,
    pub(crate) retry_share: Option<Located<f64>>,
    pub(crate) max_sessions: Option<Located<u32>>,
    pub(crate) hedging: Option<Located<HedgingSection>>,
}

impl RouteSection {
    /// Returns the full name of one of this route's keys, as errors print it.
    pub(crate) fn full_key(&self, key: &str) -> String {
        format!("route {}.{key}", self.name)
    }
}

/// The section `[route.match]`. A session matches if it satisfies every condition that is present.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MatchSection {
    pub(crate) listeners: Option<Located<Vec<String>>>,
    pub(crate) zones: Option<Located<Vec<String>>>,
    pub(crate) key_prefix: Option<Located<KeyPrefix>>,
    pub(crate) groups: Option<Located<Vec<u64>>>,
}

/// The leading hexadecimal digits of a client's 64-bit key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyPrefix {
    /// The number that the digits represent.
    digits: u64,
    /// The number of digits, 1 to 16.
    digit_count: u32,
}

impl KeyPrefix {
    /// The number of hexadecimal digits of a complete key.
    pub(crate) const MAX_DIGITS: usize = 16;

    /// Parses 1 to 16 hexadecimal digits.
    pub(crate) fn parse(text: &str) -> Option<KeyPrefix> {
        let well_formed = (1..=KeyPrefix::MAX_DIGITS).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !well_formed {
            return None;
        }
        Some(KeyPrefix {
            digits: u64::from_str_radix(text, 16).ok()?,
            digit_count: text.len() as u32,
        })
    }

    /// Returns whether the key begins with these digits.
    pub(crate) fn matches(self, key: u64) -> bool {
        key >> self.remaining_bits() == self.digits
    }

    /// Returns whether every key that begins with `narrower` also begins with this prefix.
    pub(crate) fn covers(self, narrower: KeyPrefix) -> bool {
        self.digit_count <= narrower.digit_count
            && self.matches(narrower.digits << narrower.remaining_bits())
    }

    /// Returns the number of bits of a key that follow the prefix.
    fn remaining_bits(self) -> u32 {
        64 - 4 * self.digit_count
    }
}

/// The section `[route.second_copy]`.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HedgingSection {
    pub(crate) quantile: Option<Located<f64>>,
    pub(crate) min_delay: Option<Located<Duration>>,
    pub(crate) max_delay: Option<Located<Duration>>,
    pub(crate) share: Option<Located<f64>>,
}

/// The section `[peers]`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeersSection {
    pub(crate) location: Location,
    pub(crate) fleet: Located<String>,
    pub(crate) listen: Located<SocketAddr>,
    pub(crate) key_file: Located<String>,
    pub(crate) advertise: Option<Located<SocketAddr>>,
    pub(crate) seeds: Option<Located<Vec<SocketAddr>>>,
    pub(crate) probe_interval: Option<Located<Duration>>,
    pub(crate) max_bytes_per_second: Option<Located<u32>>,
    pub(crate) voters: Option<Located<Vec<String>>>,
    pub(crate) previous_voters: Option<Located<Vec<String>>>,
    pub(crate) generation: Option<Located<u32>>,
    pub(crate) lease_duration: Option<Located<Duration>>,
}
