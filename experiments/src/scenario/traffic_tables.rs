//! The tables of a scenario that describe clients and listeners. Fields have the names of their
//! keys.
use super::duration_text::Time;
use serde::Deserialize;

/// `[traffic]`: the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficTable {
    /// Arrivals a second, or pairs of a time and the rate from then on, evenly changing.
    pub rate: Rate,
    /// Client keys that arrivals draw from.
    #[serde(default = "many", rename = "keys")]
    pub client_keys: u64,
    /// Groups that arrivals draw from, if they have any.
    pub groups: Option<u64>,
    /// Tries of a client after its first.
    #[serde(default = "three")]
    pub retries: u32,
    /// The part of clients that stay away for as long as they are told.
    #[serde(default = "half", rename = "heeds")]
    pub retry_after_share: f64,
    /// How long a client waits before it tries again.
    #[serde(default = "hundred_ms", rename = "back_off")]
    pub backoff: Time,
    /// How long a client that was moved or cut off waits, at least and at most.
    #[serde(default = "soon", rename = "rejoin")]
    pub reconnect_delay: [Time; 2],
    /// The part of clients that leave before their answer.
    #[serde(default, rename = "impatient")]
    pub impatient_share: f64,
    /// How often a client sends a line.
    #[serde(default = "two_seconds", rename = "beat")]
    pub message_interval: Time,
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

/// Arrivals a second.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "a number of arrivals a second, or a list of pairs such as [\"10s\", 50.0]"
)]
pub enum Rate {
    /// So many a second.
    Even(f64),
    /// A rate from each time on, evenly changing between.
    Steps(Vec<(Time, f64)>),
}

/// `[[listener]]`: a kind of session.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerTable {
    /// Its name.
    pub name: String,
    /// Its part of the arrivals, relative to the others.
    #[serde(default = "whole")]
    pub share: f64,
    /// How long its clients wait for an answer.
    #[serde(rename = "wait")]
    pub answer_timeout: Time,
    /// An answer within this earns its whole worth.
    pub handshake_target: Time,
    /// A line that returns within this earns its whole worth.
    pub message_target: Time,
    /// The load of a session, at least and at most.
    #[serde(default = "unit_load", rename = "load")]
    pub load_range: [f64; 2],
    /// The mean life of a session.
    #[serde(rename = "life")]
    pub mean_lifetime: Time,
    /// What a well-served second is worth.
    #[serde(default = "whole", rename = "utility")]
    pub priority_weight: f64,
    /// Whether its requests may be repeated.
    #[serde(default)]
    pub effect: Effect,
    /// Where repeats of a referenced session are known, and for how long.
    #[serde(default, rename = "scope")]
    pub deduplication_scope: Scope,
    /// How long a repeat is recognised.
    #[serde(default = "two_seconds", rename = "window")]
    pub deduplication_window: Time,
}

fn whole() -> f64 {
    1.0
}
fn unit_load() -> [f64; 2] {
    [0.5, 1.5]
}

/// Whether requests may be repeated after they may have run.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// At any time.
    #[default]
    Repeatable,
    /// By their key, within a scope and a window.
    Referenced,
    /// Never.
    OnceOnly,
}

/// Which backends recognise a repeat.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// All backends.
    #[default]
    All,
    /// Those of the first one's zone.
    Zone,
    /// Those of the first one's cell.
    Cell,
}
