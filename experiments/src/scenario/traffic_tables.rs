//! The tables of a scenario that describe clients and listeners.
use super::duration_text::DurationText;
use serde::Deserialize;

/// The `[traffic]` table: the clients' arrivals and behaviour.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficTable {
    /// Arrivals per second: a constant, or a list of times and rates with linear changes between.
    pub rate: Rate,
    /// The number of client keys from which arrivals draw.
    #[serde(default = "default_client_keys", rename = "keys")]
    pub client_keys: u64,
    /// The number of groups from which arrivals draw; without it, clients have no group.
    pub groups: Option<u64>,
    /// The maximum number of retries of a client whose request was rejected or failed.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// The share of clients that wait for the retry-after time of a rejection, from 0 to 1.
    #[serde(default = "default_retry_after_share", rename = "heeds")]
    pub retry_after_share: f64,
    /// The mean time that a client waits before a retry, unless it waits for a retry-after time.
    #[serde(default = "default_backoff", rename = "back_off")]
    pub backoff: DurationText,
    /// The minimum and maximum time after which a client reconnects when its session was migrated
    /// or its connection lost.
    #[serde(default = "default_reconnect_delay", rename = "rejoin")]
    pub reconnect_delay: [DurationText; 2],
    /// The share of clients that leave if their answer doesn't come soon enough, from 0 to 1.
    #[serde(default, rename = "impatient")]
    pub impatient_share: f64,
    /// The interval between two messages of a client.
    #[serde(default = "two_seconds", rename = "beat")]
    pub message_interval: DurationText,
    /// The number of threads over which clients are distributed.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

fn default_client_keys() -> u64 {
    100_000
}
fn default_retries() -> u32 {
    3
}
fn default_retry_after_share() -> f64 {
    0.5
}
fn default_backoff() -> DurationText {
    DurationText::from_millis(100)
}
fn default_reconnect_delay() -> [DurationText; 2] {
    [
        DurationText::from_millis(140),
        DurationText::from_millis(970),
    ]
}
fn two_seconds() -> DurationText {
    DurationText::from_millis(2_000)
}
fn default_threads() -> usize {
    2
}

/// A rate in arrivals per second.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "a number of arrivals a second, or a list of pairs such as [\"10s\", 50.0]"
)]
pub enum Rate {
    /// A constant rate.
    Constant(f64),
    /// The rates at given times, with linear changes between them.
    Interpolated(Vec<(DurationText, f64)>),
}

/// A `[[listener]]` table: a kind of session.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerTable {
    /// The listener's name.
    pub name: String,
    /// The listener's share of the arrivals, relative to the other listeners.
    #[serde(default = "default_weight")]
    pub share: f64,
    /// The time that clients wait for an answer.
    #[serde(rename = "wait")]
    pub answer_timeout: DurationText,
    /// The latency objective of establishing a session, which the settings tell the relays.
    pub handshake_target: DurationText,
    /// The latency objective of messages. A message that is echoed within this time counts as
    /// served.
    pub message_target: DurationText,
    /// The minimum and maximum load of a session.
    #[serde(default = "default_load_range", rename = "load")]
    pub load_range: [f64; 2],
    /// The mean lifetime of a session.
    #[serde(rename = "life")]
    pub mean_lifetime: DurationText,
    /// The weight of the listener's sessions relative to those of other listeners.
    #[serde(default = "default_weight", rename = "utility")]
    pub priority_weight: f64,
    /// Whether the listener's requests may be repeated.
    #[serde(default)]
    pub effect: Effect,
    /// The backends that recognise repeated requests of a `referenced` session.
    #[serde(default, rename = "scope")]
    pub deduplication_scope: Scope,
    /// The time for which a repeated request is recognised.
    #[serde(default = "two_seconds", rename = "window")]
    pub deduplication_window: DurationText,
}

fn default_weight() -> f64 {
    1.0
}
fn default_load_range() -> [f64; 2] {
    [0.5, 1.5]
}

/// Whether a request may be repeated although it may have been executed.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Requests may be repeated at any time.
    #[default]
    Repeatable,
    /// Requests carry a key and may be repeated within a scope and a window.
    Referenced,
    /// Requests must not be repeated.
    OnceOnly,
}

/// The backends that recognise a repeated request.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// All backends.
    #[default]
    All,
    /// The backends in the zone of the first request's backend.
    Zone,
    /// The backends in the cell of the first request's backend.
    Cell,
}
