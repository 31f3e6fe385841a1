//! Every key of the file: what it is called, what it holds, what it means, and what holds without
//! it. The reader, the reference page and the search for the nearest known key all go by these
//! tables.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Text of a name.
    Name,
    /// A list of names, or one.
    Names,
    /// Text such as `"250ms"`.
    Duration,
    /// A whole number, 1 or more.
    Count,
    /// A number from 0 to 1.
    Part,
    /// A number above 0.
    Factor,
    /// Hexadecimal digits, 1 to 16.
    Hex,
    /// A list of hexadecimal numbers of sixteen digits, or one.
    HexList,
    /// Text that is not empty.
    Text,
    /// An IP address with a port.
    Address,
    /// A list of such, or one.
    Addresses,
    /// A table of its own.
    Table,
}

impl Kind {
    pub fn says(self) -> &'static str {
        match self {
            Kind::Name => "text: letters, digits and hyphens",
            Kind::Names => "a name or a list of names",
            Kind::Duration => "a span of time such as \"250ms\", \"1.5s\" or \"2m\"",
            Kind::Count => "a whole number, 1 or more",
            Kind::Part => "a number from 0 to 1",
            Kind::Factor => "a number above 0",
            Kind::Hex => "1 to 16 hexadecimal digits",
            Kind::HexList => "sixteen hexadecimal digits, or a list of such",
            Kind::Text => "text",
            Kind::Address => "an address with a port such as \"10.0.0.7:7946\"",
            Kind::Addresses => "an address with a port, or a list of such",
            Kind::Table => "a table",
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Key {
    pub name: &'static str,
    pub kind: Kind,
    pub about: &'static str,
    /// What holds where it is not stated.
    pub unstated: &'static str,
}

#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// As its header is written.
    pub header: &'static str,
    pub about: &'static str,
    pub keys: &'static [Key],
}

const fn key(name: &'static str, kind: Kind, about: &'static str, unstated: &'static str) -> Key {
    Key {
        name,
        kind,
        about,
        unstated,
    }
}

pub const TOP: Section = Section {
    header: "",
    about: "The file holds tables only.",
    keys: &[
        key(
            "route",
            Kind::Table,
            "Routes, tried in the order of the file; the first that matches counts.",
            "none",
        ),
        key(
            "peers",
            Kind::Table,
            "Relays that know of one another; see below.",
            "this relay is alone",
        ),
    ],
};

pub const PEERS: Section = Section {
    header: "[peers]",
    about: "Who the other relays are. Only where the settings allow talk between instances; see `peers.md`.",
    keys: &[
        key(
            "fleet",
            Kind::Name,
            "The fleet's name; datagrams of another one are refused.",
            "must be stated",
        ),
        key(
            "listen",
            Kind::Address,
            "Datagrams are received here (UDP).",
            "must be stated",
        ),
        key(
            "advertise",
            Kind::Address,
            "Others reach this relay here.",
            "`listen`",
        ),
        key(
            "key_file",
            Kind::Text,
            "A file that holds the fleet's key, 16 bytes or more.",
            "must be stated",
        ),
        key(
            "seeds",
            Kind::Addresses,
            "Where some of the fleet may be found; 32 at most.",
            "none: others name this one",
        ),
        key(
            "period",
            Kind::Duration,
            "One other relay is probed in each, 50ms to 10s; all times of membership follow it.",
            "1s",
        ),
        key(
            "rate",
            Kind::Count,
            "Bytes a second that this relay sends at most, 4096 or more.",
            "32768",
        ),
        key(
            "voters",
            Kind::Names,
            "The relays that grant leases, by their names; 7 at most.",
            "none: there are no leases",
        ),
        key(
            "voters_before",
            Kind::Names,
            "While voters are changed: those until now.",
            "none",
        ),
        key(
            "generation",
            Kind::Count,
            "One more with each change of the voters.",
            "1",
        ),
        key(
            "lease",
            Kind::Duration,
            "A lease's time, 500ms to 1m, the same at all relays.",
            "10s",
        ),
    ],
};

pub const ROUTE: Section = Section {
    header: "[[route]]",
    about: "Figures for the sessions that it matches. What a route does not state holds for them as for all others.",
    keys: &[
        key(
            "name",
            Kind::Name,
            "What logs and reports call it; each once.",
            "must be stated",
        ),
        key(
            "match",
            Kind::Table,
            "Which sessions it is for; see below.",
            "all",
        ),
        key(
            "handshake_target",
            Kind::Duration,
            "A set-up within this earns the whole; a dial is given this long at least before another is thought of.",
            "the settings' of the listener",
        ),
        key(
            "dial_timeout",
            Kind::Duration,
            "The answer is due after this, or when the client stops waiting if that is sooner.",
            "as long as the client waits",
        ),
        key(
            "connect_time",
            Kind::Duration,
            "A connection that is not up by then has failed.",
            "the settings' dialTimeoutUs",
        ),
        key(
            "dials",
            Kind::Count,
            "Dials at most for a session.",
            "the settings' maxDials",
        ),
        key(
            "patience",
            Kind::Factor,
            "A dial is given up after so many times what set-ups take of late, but not before the handshake target; the last one has all the time left.",
            "4",
        ),
        key(
            "base",
            Kind::Duration,
            "The delay before a further dial, and the time to stay away that a refusal tells, are drawn from 0 up to base x 2^failures of the client.",
            "1s",
        ),
        key("cap", Kind::Duration, "...and up to this at most.", "30s"),
        key(
            "cool_down",
            Kind::Duration,
            "A connection that stood so long clears its client's count of failures.",
            "5s",
        ),
        key(
            "retry_after",
            Kind::Duration,
            "No refusal tells a client to stay away for longer.",
            "the settings' maxRetryAfterUs",
        ),
        key(
            "idle",
            Kind::Duration,
            "A connection on which no line has passed for so long is told to move.",
            "never",
        ),
        key(
            "retry_share",
            Kind::Part,
            "Further dials at most, as a part of the sessions, over the last hundred of them; a ration of the settings binds beside it.",
            "no limit",
        ),
        key(
            "at_once",
            Kind::Count,
            "Sessions at once in this relay; more are refused.",
            "no limit",
        ),
        key(
            "second_copy",
            Kind::Table,
            "A second dial while the first is out; see below. For repeatable sessions only, where the settings allow two.",
            "none",
        ),
    ],
};

pub const MATCH: Section = Section {
    header: "[route.match]",
    about: "All that is stated must hold. The place of a matching language is here, as a key `when`; it does not exist yet.",
    keys: &[
        key(
            "listener",
            Kind::Names,
            "The session's listener is one of these.",
            "any",
        ),
        key(
            "zone",
            Kind::Names,
            "The relay stands in one of these zones.",
            "any",
        ),
        key(
            "key_prefix",
            Kind::Hex,
            "The client's key begins so.",
            "any",
        ),
        key(
            "group",
            Kind::HexList,
            "The session's group is one of these.",
            "any, or none",
        ),
    ],
};

pub const SECOND: Section = Section {
    header: "[route.second_copy]",
    about: "The second dial goes to another backend, never to a cold or draining one; the first `UP` wins and the other is given up.",
    keys: &[
        key(
            "quantile",
            Kind::Part,
            "It goes out when the first has taken longer than this part of the route's recent set-ups took...",
            "0.95",
        ),
        key(
            "least",
            Kind::Duration,
            "...but not sooner than this...",
            "20ms",
        ),
        key(
            "most",
            Kind::Duration,
            "...and not later than this.",
            "the handshake target",
        ),
        key(
            "share",
            Kind::Part,
            "Second dials at most, as a part of the sessions.",
            "0.05",
        ),
    ],
};

pub const SECTIONS: &[Section] = &[TOP, ROUTE, MATCH, SECOND, PEERS];

/// The known key that is most like another, if any is much like it.
pub fn nearest<'a>(names: impl Iterator<Item = &'a str>, meant: &str) -> Option<&'a str> {
    let near = names.map(|name| (strsim::jaro_winkler(name, meant), name));
    near.filter(|(like, _)| *like > 0.7)
        .max_by(|one, two| one.0.total_cmp(&two.0))
        .map(|(_, name)| name)
}
