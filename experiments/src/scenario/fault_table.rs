//! `[[fault]]`: what goes wrong in a run, and which keys each fault needs.
use super::duration_text::Time;
use serde::Deserialize;

/// What goes wrong, or just happens. `what` names it; the other keys belong to some of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultTable {
    /// When it begins.
    pub at: Time,
    /// Its kind, one of [`FAULTS`].
    #[serde(rename = "what")]
    pub kind: String,
    /// Which boxes: their numbers, how many (drawn by the seed), `"half"` or `"all"`.
    #[serde(rename = "boxes")]
    pub backends: Option<Selection>,
    /// Which relays, likewise.
    pub relays: Option<Selection>,
    /// How long it lasts; without it, to the end.
    #[serde(rename = "for")]
    pub duration: Option<Time>,
    /// How many times slower.
    #[serde(rename = "times")]
    pub slowdown: Option<f64>,
    /// The part of dials that fail.
    #[serde(rename = "part")]
    pub error_share: Option<f64>,
    /// A pause comes once in each such time.
    #[serde(rename = "every")]
    pub interval: Option<Time>,
    /// How long a pause lasts.
    pub pause: Option<Time>,
    /// One that dies is back after this.
    #[serde(rename = "back")]
    pub restart_after: Option<Time>,
    /// Relays from which and to which links are bent.
    pub from: Option<Selection>,
    /// Relays to which links are faulted.
    pub to: Option<Selection>,
    /// The part of datagrams that is lost; all where nothing is said of a link.
    pub loss: Option<f64>,
    /// Delay of each datagram on a link.
    pub delay: Option<Time>,
    /// Added to the delay, from nothing up to this.
    #[serde(rename = "spread")]
    pub jitter: Option<Time>,
    /// The part that comes twice.
    #[serde(rename = "doubled")]
    pub duplication: Option<f64>,
    /// Bytes a second that a link lets through.
    #[serde(rename = "rate")]
    pub bytes_per_second: Option<u64>,
    /// How many clients it is about.
    pub clients: Option<usize>,
    /// Spread over this time.
    #[serde(rename = "over")]
    pub spread_over: Option<Time>,
}

/// Some of the backends or relays.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "numbers such as [0, 3], a count, \"half\" or \"all\""
)]
pub enum Selection {
    /// Those of these numbers.
    Indices(Vec<usize>),
    /// So many, drawn.
    Count(usize),
    /// A part of them.
    Share(SelectionShare),
}

/// A share of them.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SelectionShare {
    /// Half of them, drawn.
    Half,
    /// All of them.
    All,
}

/// The faults, each with the keys that it needs besides `at` and `what`.
pub const FAULTS: &[(&str, &str)] = &[
    ("silent", "boxes"),
    ("freeze", "boxes"),
    ("mute", "boxes"),
    ("slow", "boxes, times"),
    ("pauses", "boxes, every, pause"),
    ("errors", "boxes, part"),
    ("reset-before", "boxes"),
    ("reset-after", "boxes"),
    ("half-answer", "boxes"),
    ("never-closes", "boxes"),
    ("drops-young", "boxes"),
    ("crash", "boxes"),
    ("drain", "boxes, over"),
    ("join", "boxes"),
    ("discovery-silent", "relays"),
    ("discovery-down", "relays"),
    ("discovery-stale", "relays"),
    ("discovery-restart", "relays"),
    ("discovery-malformed", "relays"),
    ("relay-killed", "relays"),
    ("relay-replaced", "relays"),
    ("relay-paused", "relays, for"),
    ("relay-joins", "relays"),
    ("relay-leaves", "relays"),
    ("link", "from, to"),
    ("link-flaps", "from, to, every, pause, for"),
    ("partition", "relays"),
    ("upgrade", "relays"),
    ("ban", "boxes, relays, for"),
    ("reload", "relays, every, for"),
    ("charter-swap", "relays, every, for"),
    ("rush", "clients, over"),
    ("clients-drop", "clients, over"),
    ("clients-silent", "clients"),
    ("clients-half-a-line", "clients"),
    ("clients-garbage", "clients"),
    ("clients-talk", "clients"),
    ("clients-unreading", "clients"),
];

impl FaultTable {
    /// Whether a key that some faults need is stated.
    pub(super) fn states(&self, key: &str) -> bool {
        match key {
            "boxes" => self.backends.is_some(),
            "relays" => self.relays.is_some(),
            "times" => self.slowdown.is_some(),
            "part" => self.error_share.is_some(),
            "every" => self.interval.is_some(),
            "pause" => self.pause.is_some(),
            "clients" => self.clients.is_some(),
            "over" => self.spread_over.is_some(),
            "from" => self.from.is_some(),
            "to" => self.to.is_some(),
            _ => self.duration.is_some(),
        }
    }
}
