//! The table of all keys that a file may hold. The parser, the reference page and the suggestions
//! for misspelt keys all use it.
use crate::key_names::{file, hedging, matching, peers, route};

/// The kind of value that a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// A name of letters, digits and hyphens.
    Name,
    /// A name or a list of names.
    Names,
    /// Text with a unit, such as `"250ms"`.
    Duration,
    /// An integer of at least 1.
    Count,
    /// A number from 0 to 1.
    Fraction,
    /// A number above 0.
    Factor,
    /// Up to sixteen hexadecimal digits.
    KeyPrefix,
    /// A hexadecimal number of sixteen digits, or a list of such numbers.
    Keys,
    /// Text that is not empty.
    Text,
    /// An IP address with a port.
    Address,
    /// An IP address with a port, or a list of such addresses.
    Addresses,
    /// A table, or an array of tables.
    Table,
}

impl ValueKind {
    /// Returns the description of the kind in errors and on the reference page.
    pub fn description(self) -> &'static str {
        match self {
            ValueKind::Name => "text: letters, digits and hyphens",
            ValueKind::Names => "a name or a list of names",
            ValueKind::Duration => "a span of time such as \"250ms\", \"1.5s\" or \"2m\"",
            ValueKind::Count => "a whole number, 1 or more",
            ValueKind::Fraction => "a number from 0 to 1",
            ValueKind::Factor => "a number above 0",
            ValueKind::KeyPrefix => "1 to 16 hexadecimal digits",
            ValueKind::Keys => "sixteen hexadecimal digits, or a list of such",
            ValueKind::Text => "text",
            ValueKind::Address => "an address with a port such as \"10.0.0.7:7946\"",
            ValueKind::Addresses => "an address with a port, or a list of such",
            ValueKind::Table => "a table",
        }
    }
}

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The key as operators write it.
    pub name: &'static str,
    /// The kind of its value.
    pub kind: ValueKind,
    /// The meaning of the value, for the reference page.
    pub description: &'static str,
    /// The value in force where a file leaves the key out, for the reference page.
    pub default: &'static str,
}

/// One table of a file.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// The header as operators write it; empty for the top level of the file.
    pub header: &'static str,
    /// The purpose of the section, for the reference page.
    pub description: &'static str,
    /// All keys of the section, in the order of the reference page.
    pub keys: &'static [Key],
}

const fn key(
    name: &'static str,
    kind: ValueKind,
    description: &'static str,
    default: &'static str,
) -> Key {
    Key {
        name,
        kind,
        description,
        default,
    }
}

/// All sections, in the order of the reference page.
pub const SECTIONS: &[Section] = &[FILE, ROUTE, MATCH, HEDGING, PEERS];

pub(crate) const FILE: Section = Section {
    header: "",
    description: "The file holds tables only.",
    keys: &[
        key(
            file::ROUTES,
            ValueKind::Table,
            "Routes, tried in the order of the file; the first that matches counts.",
            "none",
        ),
        key(
            file::PEERS,
            ValueKind::Table,
            "The link between relays; see below.",
            "this relay is alone",
        ),
    ],
};

pub(crate) const PEERS: Section = Section {
    header: "[peers]",
    description: "The link between the relays of a fleet. Permitted only where the settings allow relays to exchange messages; see `peers.md`.",
    keys: &[
        key(
            peers::FLEET,
            ValueKind::Name,
            "The fleet's name; datagrams of another fleet are dropped.",
            "must be stated",
        ),
        key(
            peers::LISTEN,
            ValueKind::Address,
            "Datagrams are received here (UDP).",
            "must be stated",
        ),
        key(
            peers::ADVERTISE,
            ValueKind::Address,
            "The address at which other relays reach this one.",
            "`listen`",
        ),
        key(
            peers::KEY_FILE,
            ValueKind::Text,
            "A file that holds the fleet's key, 16 bytes or more.",
            "must be stated",
        ),
        key(
            peers::SEEDS,
            ValueKind::Addresses,
            "Addresses of some relays of the fleet, contacted to join it; 32 at most.",
            "none: other relays contact this one",
        ),
        key(
            peers::PROBE_INTERVAL,
            ValueKind::Duration,
            "The interval between health checks of other relays, 50ms to 10s; all timeouts of the membership protocol are multiples of it.",
            "1s",
        ),
        key(
            peers::MAX_BYTES_PER_SECOND,
            ValueKind::Count,
            "The most bytes per second that this relay sends to others, 4096 or more.",
            "32768",
        ),
        key(
            peers::VOTERS,
            ValueKind::Names,
            "The names of the relays that vote on leases; 7 at most.",
            "none: there are no leases",
        ),
        key(
            peers::PREVIOUS_VOTERS,
            ValueKind::Names,
            "During a change of voters: the previous ones.",
            "none",
        ),
        key(
            peers::GENERATION,
            ValueKind::Count,
            "The configuration generation, incremented with each change of the voters.",
            "1",
        ),
        key(
            peers::LEASE_DURATION,
            ValueKind::Duration,
            "The duration of a lease, 500ms to 1m, the same at all relays.",
            "10s",
        ),
    ],
};

pub(crate) const ROUTE: Section = Section {
    header: "[[route]]",
    description: "Limits of the sessions that it matches. What a route leaves out has the same value as for all other sessions.",
    keys: &[
        key(
            route::NAME,
            ValueKind::Name,
            "The unique name of the route in logs and reports.",
            "must be stated",
        ),
        key(
            route::MATCH,
            ValueKind::Table,
            "The sessions that it applies to; see below.",
            "all",
        ),
        key(
            route::HANDSHAKE_OBJECTIVE,
            ValueKind::Duration,
            "The latency objective of a handshake. An attempt gets at least this long before a retry is considered.",
            "the settings' of the listener",
        ),
        key(
            route::HANDSHAKE_TIMEOUT,
            ValueKind::Duration,
            "The handshake timeout: the client is answered by then, or when it stops waiting if that is sooner.",
            "as long as the client waits",
        ),
        key(
            route::CONNECT_TIMEOUT,
            ValueKind::Duration,
            "The connect timeout: an attempt whose connection is not up by then has failed.",
            "the settings' dialTimeoutUs",
        ),
        key(
            route::MAX_ATTEMPTS,
            ValueKind::Count,
            "The most attempts of a session, the first included.",
            "the settings' maxDials",
        ),
        key(
            route::ATTEMPT_TIMEOUT_FACTOR,
            ValueKind::Factor,
            "The attempt timeout as a multiple of the recent handshake time, but never below the latency objective; the last attempt has all the time that is left.",
            "4",
        ),
        key(
            route::BACKOFF_BASE,
            ValueKind::Duration,
            "The base of the exponential backoff. The delay before a retry, and the `Retry-After` of a rejection, are drawn from 0 up to base x 2^failures of the client.",
            "1s",
        ),
        key(
            route::BACKOFF_CAP,
            ValueKind::Duration,
            "The cap of the backoff.",
            "30s",
        ),
        key(
            route::STABLE_AFTER,
            ValueKind::Duration,
            "A connection that was up for this long resets its client's failure count.",
            "5s",
        ),
        key(
            route::MAX_RETRY_AFTER,
            ValueKind::Duration,
            "The longest `Retry-After` of a rejection.",
            "the settings' maxRetryAfterUs",
        ),
        key(
            route::IDLE_TIMEOUT,
            ValueKind::Duration,
            "The idle timeout: a client whose connection carried no message for this long is asked to reconnect.",
            "never",
        ),
        key(
            route::RETRY_SHARE,
            ValueKind::Fraction,
            "The retry budget: retries as a fraction of the last hundred sessions. A retry budget of the settings applies as well.",
            "no limit",
        ),
        key(
            route::MAX_SESSIONS,
            ValueKind::Count,
            "The most concurrent sessions in this relay; more are rejected.",
            "no limit",
        ),
        key(
            route::HEDGING,
            ValueKind::Table,
            "A hedged attempt while the first is pending; see below. For idempotent sessions only, where the settings allow two attempts at once.",
            "none",
        ),
    ],
};

pub(crate) const MATCH: Section = Section {
    header: "[route.match]",
    description: "A session matches if it satisfies every condition that is stated.",
    keys: &[
        key(
            matching::LISTENERS,
            ValueKind::Names,
            "The session's listener is one of these.",
            "any",
        ),
        key(
            matching::ZONES,
            ValueKind::Names,
            "The relay is in one of these zones.",
            "any",
        ),
        key(
            matching::KEY_PREFIX,
            ValueKind::KeyPrefix,
            "The client's key begins with these digits.",
            "any",
        ),
        key(
            matching::GROUPS,
            ValueKind::Keys,
            "The session's group is one of these.",
            "any, or none",
        ),
    ],
};

pub(crate) const HEDGING: Section = Section {
    header: "[route.second_copy]",
    description: "The hedged attempt goes to another backend, never to one that is warming up or draining. The first `UP` wins and the other attempt is cancelled.",
    keys: &[
        key(
            hedging::QUANTILE,
            ValueKind::Fraction,
            "The hedged attempt starts when the first has taken longer than this quantile of the route's recent handshakes,",
            "0.95",
        ),
        key(
            hedging::MIN_DELAY,
            ValueKind::Duration,
            "but not sooner than this,",
            "20ms",
        ),
        key(
            hedging::MAX_DELAY,
            ValueKind::Duration,
            "and not later than this.",
            "`handshake_target`",
        ),
        key(
            hedging::SHARE,
            ValueKind::Fraction,
            "The hedging budget: hedged attempts as a fraction of the sessions.",
            "0.05",
        ),
    ],
};
