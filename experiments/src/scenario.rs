//! A scenario as its file has it. Whatever is wrong with one is said in one line that names file,
//! line and key.
use crate::spans::Time;
use serde::Deserialize;
use std::ops::Range;
use toml::Spanned;

/// One file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Where it is not stated, the file's name.
    #[serde(default)]
    pub name: String,
    /// What happens, and what is to be seen.
    pub about: String,
    /// Arrivals come for so long.
    pub length: Time,
    #[serde(default = "one")]
    pub seed: u64,
    #[serde(default)]
    pub fleet: Fleet,
    #[serde(default)]
    pub relays: Relays,
    pub traffic: TrafficText,
    #[serde(rename = "listener")]
    pub listeners: Vec<Spanned<ListenerText>>,
    /// What all relays together may do, beside the rules that each keeps alone.
    #[serde(default)]
    pub together: TogetherText,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<FaultText>>,
    /// What is run beside the relays as they are.
    #[serde(default, rename = "variant")]
    pub variants: Vec<Spanned<Variant>>,
}

fn one() -> u64 {
    1
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub boxes: usize,
    /// Of these the last ones, which start, cold, by a fault `join`.
    pub later: usize,
    pub zones: Vec<String>,
    /// The load that fills a box.
    pub capacity: f64,
    /// Connections that a box holds at most.
    pub most: usize,
    pub set_up: Time,
    pub group_fee: f64,
    pub cold_share: f64,
    pub warm_up: Time,
    pub cold_factor: f64,
    pub cold_window: Time,
    /// What a box can do is to take connections that fill it once in such a time; where not stated,
    /// a mean life of its clients, or its warm-up if that is longer.
    pub turnover: Option<Time>,
    pub report_every: Time,
    /// How late a change of the list is told, at least and at most.
    pub notice: [Time; 2],
    /// Set-ups that the store works on at once; without it they call nothing.
    pub store_lanes: Option<usize>,
    pub store_time: Time,
    /// Nothing new goes to a box so long after it was told as draining.
    pub grace: Time,
    /// Boxes tell connections' loads, which change.
    pub tells_load: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            boxes: 12,
            later: 0,
            zones: vec!["a".into()],
            capacity: 100.0,
            most: 1_000,
            set_up: Time::ms(2),
            group_fee: 0.0,
            cold_share: 0.3,
            warm_up: Time::ms(9_000),
            cold_factor: 3.0,
            cold_window: Time::ms(3_000),
            turnover: None,
            report_every: Time::ms(500),
            notice: [Time::ms(200), Time::ms(1_000)],
            store_lanes: None,
            store_time: Time::ms(5),
            grace: Time::ms(2_000),
            tells_load: false,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Relays {
    pub count: usize,
    pub sockets: u64,
    pub memory_mb: u64,
    pub probes: bool,
    pub connect_time: Time,
    pub most_dials: u32,
    /// The longest time to stay away that a refusal may tell; without it none is told.
    pub retry_after: Option<Time>,
    /// Relays know the list when they start.
    pub know_list: bool,
    /// The front goes on for so long with a relay that has died.
    pub front_notice: Time,
    /// The settings allow two dials of a session at once.
    pub two_dials: bool,
    /// Texts of charters: relays start with the first, a fault `charter-swap` goes on to the next,
    /// round and round.
    pub charters: Vec<String>,
    /// The platform holds the clients' sockets and operators have a door at each relay: for faults
    /// `upgrade` and `ban`.
    pub operators: bool,
    /// Of these the last ones, which start by a fault `relay-joins`.
    pub later: usize,
    /// They know of one another, over links that can be bent.
    pub peers: bool,
    /// The first so many grant leases; a witness asks all of them for one.
    pub voters: usize,
    pub period: Time,
    pub lease: Time,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TogetherText {
    /// Sessions up at once over all relays...
    pub at_once: Option<usize>,
    /// ...and for how long at most there may be more.
    pub over_for: Option<Time>,
    pub dials_a_second: Option<usize>,
    /// A ban by hand at one relay holds at all others after this.
    pub bans_within: Option<Time>,
    /// At the end all relays that run see each other and nobody else.
    pub agree: bool,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: 2,
            sockets: 16_384,
            memory_mb: 256,
            probes: true,
            connect_time: Time::ms(250),
            most_dials: 3,
            retry_after: Some(Time::ms(2_000)),
            know_list: true,
            front_notice: Time::ms(1_000),
            two_dials: false,
            charters: Vec::new(),
            operators: false,
            later: 0,
            peers: false,
            voters: 3,
            period: Time::ms(200),
            lease: Time::ms(2_000),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficText {
    /// Arrivals a second, or pairs of a time and the rate from then on, evenly changing.
    pub rate: Rate,
    #[serde(default = "many")]
    pub keys: u64,
    pub groups: Option<u64>,
    #[serde(default = "three")]
    pub retries: u32,
    /// The part of clients that stay away for as long as they are told.
    #[serde(default = "half")]
    pub heeds: f64,
    #[serde(default = "hundred_ms")]
    pub back_off: Time,
    #[serde(default = "soon")]
    pub rejoin: [Time; 2],
    #[serde(default)]
    pub impatient: f64,
    #[serde(default = "two_seconds")]
    pub beat: Time,
    /// Threads that clients are spread over.
    #[serde(default = "two")]
    pub threads: usize,
}

fn many() -> u64 {
    100_000
}
fn three() -> u32 {
    3
}
fn half() -> f64 {
    0.5
}
fn hundred_ms() -> Time {
    Time::ms(100)
}
fn soon() -> [Time; 2] {
    [Time::ms(140), Time::ms(970)]
}
fn two_seconds() -> Time {
    Time::ms(2_000)
}
fn two() -> usize {
    2
}

#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "a number of arrivals a second, or a list of pairs such as [\"10s\", 50.0]"
)]
pub enum Rate {
    Even(f64),
    Steps(Vec<(Time, f64)>),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerText {
    pub name: String,
    #[serde(default = "whole")]
    pub share: f64,
    pub wait: Time,
    pub handshake_target: Time,
    pub message_target: Time,
    #[serde(default = "unit_load")]
    pub load: [f64; 2],
    pub life: Time,
    #[serde(default = "whole")]
    pub utility: f64,
    #[serde(default)]
    pub effect: EffectText,
    /// Where repeats of a referenced session are known, and for how long.
    #[serde(default)]
    pub scope: ScopeText,
    #[serde(default = "two_seconds")]
    pub window: Time,
}

fn whole() -> f64 {
    1.0
}
fn unit_load() -> [f64; 2] {
    [0.5, 1.5]
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectText {
    #[default]
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScopeText {
    #[default]
    All,
    Zone,
    Cell,
}

/// What goes wrong, or just happens. `what` names it; the other keys belong to some of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultText {
    pub at: Time,
    pub what: String,
    /// Which boxes: their numbers, how many (drawn by the seed), `"half"` or `"all"`.
    pub boxes: Option<Which>,
    /// Which relays, likewise.
    pub relays: Option<Which>,
    /// How long it lasts; without it, to the end.
    #[serde(rename = "for")]
    pub lasts: Option<Time>,
    /// How many times slower.
    pub times: Option<f64>,
    /// The part of dials that fail.
    pub part: Option<f64>,
    /// A pause comes once in each such time.
    pub every: Option<Time>,
    pub pause: Option<Time>,
    /// One that dies is back after this.
    pub back: Option<Time>,
    /// Relays from which and to which links are bent.
    pub from: Option<Which>,
    pub to: Option<Which>,
    /// The part of datagrams that is lost; all where nothing is said of a link.
    pub loss: Option<f64>,
    pub delay: Option<Time>,
    /// Added to the delay, from nothing up to this.
    pub spread: Option<Time>,
    /// The part that comes twice.
    pub doubled: Option<f64>,
    /// Bytes a second that a link lets through.
    pub rate: Option<u64>,
    pub clients: Option<usize>,
    /// Spread over this time.
    pub over: Option<Time>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "numbers such as [0, 3], a count, \"half\" or \"all\""
)]
pub enum Which {
    These(Vec<usize>),
    Count(usize),
    Word(Word),
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Word {
    Half,
    All,
}

/// Another thing to run under the same traffic and faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    /// Clients dial boxes themselves.
    pub baseline: Option<Baseline>,
    /// Another build: the program and its arguments.
    pub relay: Option<Vec<String>>,
    /// Further arguments of the relay.
    pub arguments: Option<Vec<String>>,
    /// Without any of the scenario's charters.
    #[serde(default)]
    pub unchartered: bool,
}

/// What stands in for the relays' decisions; none of them knows of drains, loads or failures.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Baseline {
    /// One box after the other.
    Direct,
    Random,
    /// The box with the fewest own connections.
    Least,
}

/// A fault of a scenario's text, as one line.
#[derive(Clone, Debug, PartialEq)]
pub struct Malformed {
    pub file: String,
    pub line: usize,
    pub key: String,
    pub why: String,
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            out,
            "{}:{}: {}: {}",
            self.file, self.line, self.key, self.why
        )
    }
}

/// Where something stands in a text: its line, and the key there within its table.
pub fn place(text: &str, at: Range<usize>) -> (usize, String) {
    let start = at.start.min(text.len());
    let number = text[..start].matches('\n').count();
    let lines: Vec<&str> = text.lines().collect();
    let line = lines.get(number).copied().unwrap_or_default().trim();
    let table = lines[..lines.len().min(number + 1)]
        .iter()
        .rev()
        .find(|line| line.trim().starts_with('['));
    let table = table.map(|line| line.trim().trim_matches(['[', ']']).to_string());
    let key = line
        .split_once('=')
        .map(|(key, _)| key.trim().to_string())
        .filter(|_| !line.starts_with('['));
    let key = match (table, key) {
        (Some(table), Some(key)) => format!("{table}.{key}"),
        (Some(table), None) => table,
        (None, Some(key)) => key,
        (None, None) => "the whole".into(),
    };
    (number + 1, key)
}

impl Scenario {
    /// # Errors
    /// What is wrong with the text first.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, Malformed> {
        let mut scenario: Scenario = toml::from_str(text).map_err(|fault| {
            let (line, key) = place(text, fault.span().unwrap_or(0..0));
            Malformed {
                file: file.into(),
                line,
                key,
                why: fault.message().replace('\n', " "),
            }
        })?;
        if scenario.name.is_empty() {
            let stem = std::path::Path::new(file).file_stem().unwrap_or_default();
            scenario.name = stem.to_string_lossy().into_owned();
        }
        scenario.check(text).map_err(|(at, why)| {
            let (line, key) = place(text, at);
            Malformed {
                file: file.into(),
                line,
                key,
                why,
            }
        })?;
        Ok(scenario)
    }

    /// # Errors
    /// What is wrong with the file first, or that it can't be read.
    pub fn read(file: &str) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(file).map_err(|fault| format!("{file}: {fault}"))?;
        Scenario::parse(file, &text).map_err(|fault| fault.to_string())
    }

    /// What the types can't say.
    fn check(&self, text: &str) -> Result<(), (Range<usize>, String)> {
        // A key of a table that stands there once.
        let of = |table: &str, key: &str| {
            let from = text.find(&format!("[{table}]")).unwrap_or(0);
            let at = from
                + text[from..]
                    .find(&format!("\n{key}"))
                    .map_or(0, |at| at + 1);
            at..at
        };
        let fails = |table: &str, key: &str, why: &str| Err((of(table, key), why.to_string()));
        if self.length.0.as_secs_f64() < 1.0 {
            return fails("", "length", "a run lasts a second at least");
        }
        let fleet = &self.fleet;
        if fleet.boxes == 0 || fleet.boxes > 5_000 {
            return fails("fleet", "boxes", "between 1 and 5000");
        }
        if fleet.later >= fleet.boxes {
            return fails("fleet", "later", "at least one box is there from the start");
        }
        if fleet.zones.is_empty() {
            return fails("fleet", "zones", "at least one");
        }
        if fleet.capacity.is_nan() || fleet.capacity <= 0.0 {
            return fails("fleet", "capacity", "more than nothing");
        }
        if !(0.01..=1.0).contains(&fleet.cold_share) {
            return fails("fleet", "cold_share", "between 0.01 and 1");
        }
        if fleet.notice[0] > fleet.notice[1] {
            return fails("fleet", "notice", "the least comes first, then the most");
        }
        if self.relays.count == 0 || self.relays.count > 200 {
            return fails("relays", "count", "between 1 and 200");
        }
        if self.relays.later >= self.relays.count {
            return fails(
                "relays",
                "later",
                "at least one relay is there from the start",
            );
        }
        if self.relays.peers && self.relays.voters > 7.min(self.relays.count - self.relays.later) {
            return fails(
                "relays",
                "voters",
                "7 at most, of those that are there from the start",
            );
        }
        if self.relays.sockets < 64 {
            return fails("relays", "sockets", "a relay needs 64 at least");
        }
        let traffic = &self.traffic;
        if !(0.0..=1.0).contains(&traffic.heeds) || !(0.0..=1.0).contains(&traffic.impatient) {
            return fails(
                "traffic",
                "heeds",
                "heeds and impatient are parts, between 0 and 1",
            );
        }
        if traffic.rejoin[0] > traffic.rejoin[1] {
            return fails("traffic", "rejoin", "the least comes first, then the most");
        }
        if traffic.beat.0.as_micros() == 0 {
            return fails("traffic", "beat", "more than nothing");
        }
        if traffic.threads == 0 || traffic.threads > 16 {
            return fails("traffic", "threads", "between 1 and 16");
        }
        let steps = match &traffic.rate {
            Rate::Even(rate) => vec![(Time::default(), *rate)],
            Rate::Steps(steps) => steps.clone(),
        };
        if steps.iter().any(|&(_, rate)| !(0.0..=1e6).contains(&rate)) {
            return fails("traffic", "rate", "between 0 and a million a second");
        }
        if steps.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
            return fails("traffic", "rate", "times must rise");
        }
        if self.listeners.is_empty() {
            return fails("", "listener", "at least one");
        }
        let mut names: Vec<&str> = Vec::new();
        for row in &self.listeners {
            let (at, row) = (row.span(), row.get_ref());
            if row.name.is_empty()
                || !row
                    .name
                    .bytes()
                    .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
            {
                return Err((at, "name: letters, digits and hyphens".into()));
            }
            if names.contains(&row.name.as_str()) {
                return Err((at, format!("a second listener \"{}\"", row.name)));
            }
            names.push(&row.name);
            if row.share.is_nan() || row.share <= 0.0 {
                return Err((at, "share: more than nothing".into()));
            }
            if row.load[0].is_nan()
                || row.load[0] < 0.0
                || row.load[1].is_nan()
                || row.load[1] < row.load[0]
            {
                return Err((at, "load: the least comes first, then the most".into()));
            }
            if row.wait.0 > thistlecroft::time::Duration::from_millis(600_000)
                || row.wait < row.handshake_target
            {
                return Err((
                    at,
                    "wait: between the handshake target and ten minutes".into(),
                ));
            }
        }
        for fault in &self.faults {
            crate::plan::check_fault(fault.get_ref(), self).map_err(|why| (fault.span(), why))?;
        }
        for variant in &self.variants {
            let of = variant.get_ref();
            if of.baseline.is_some() && (of.relay.is_some() || of.arguments.is_some()) {
                return Err((variant.span(), "a baseline has no relay".into()));
            }
            let sound = |sign: char| sign.is_ascii_alphanumeric() || sign == '-' || sign == '_';
            if of.name.is_empty() || !of.name.chars().all(sound) {
                return Err((variant.span(), "name: letters, digits and hyphens".into()));
            }
        }
        Ok(())
    }
}
