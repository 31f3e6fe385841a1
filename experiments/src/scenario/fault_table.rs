//! The `[[fault]]` tables of a scenario, and the keys that each kind of fault needs.
use super::duration_text::DurationText;
use serde::Deserialize;

/// A failure or another scheduled event. `what` selects its kind; most of the other keys apply to
/// some kinds only.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultTable {
    /// The time from the start of arrivals at which the fault begins.
    pub at: DurationText,
    /// The kind of fault, one of [`FAULTS`].
    #[serde(rename = "what")]
    pub kind: String,
    /// The affected backends: their indices, a count (drawn at random), `"half"` or `"all"`.
    #[serde(rename = "boxes")]
    pub backends: Option<Selection>,
    /// The affected relays, selected in the same way as backends.
    pub relays: Option<Selection>,
    /// How long the fault lasts; without it, until the end of the run.
    #[serde(rename = "for")]
    pub duration: Option<DurationText>,
    /// The factor by which a backend becomes slower.
    #[serde(rename = "times")]
    pub slowdown: Option<f64>,
    /// The share of connection attempts that fail, from 0 to 1.
    #[serde(rename = "part")]
    pub error_share: Option<f64>,
    /// The time from the start of one pause, link fault or reload to the start of the next.
    #[serde(rename = "every")]
    pub interval: Option<DurationText>,
    /// The duration of each pause or link fault.
    pub pause: Option<DurationText>,
    /// The time after which a stopped backend or relay starts again.
    #[serde(rename = "back")]
    pub restart_after: Option<DurationText>,
    /// The relays at the sending end of the faulted links.
    pub from: Option<Selection>,
    /// The relays at the receiving end of the faulted links.
    pub to: Option<Selection>,
    /// The share of datagrams that are lost, from 0 to 1; by default all of them, or none if
    /// another impairment of the link is given.
    pub loss: Option<f64>,
    /// The delay of each datagram on a link.
    pub delay: Option<DurationText>,
    /// The maximum of the random time that is added to the delay.
    #[serde(rename = "spread")]
    pub jitter: Option<DurationText>,
    /// The share of datagrams that are delivered twice, from 0 to 1.
    #[serde(rename = "doubled")]
    pub duplication: Option<f64>,
    /// The bandwidth of a link in bytes per second.
    #[serde(rename = "rate")]
    pub bytes_per_second: Option<u64>,
    /// The number of affected clients.
    pub clients: Option<usize>,
    /// The time over which the fault's events are spread.
    #[serde(rename = "over")]
    pub spread_over: Option<DurationText>,
}

/// A selection of the backends or relays.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "numbers such as [0, 3], a count, \"half\" or \"all\""
)]
pub enum Selection {
    /// Those with the given indices.
    Indices(Vec<usize>),
    /// The given number of them, drawn at random.
    Count(usize),
    /// A share of them.
    Share(SelectionShare),
}

/// A share of all backends or relays.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SelectionShare {
    /// Half of them, rounded up, drawn at random.
    Half,
    /// All of them.
    All,
}

/// The kinds of faults, each with the keys that it needs besides `at` and `what`.
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
    /// Returns true if the table has a key that some kinds of faults need.
    pub(super) fn has_key(&self, key: &str) -> bool {
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
