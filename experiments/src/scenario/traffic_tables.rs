//! The tables of a scenario that describe clients and listeners. Fields have the names of their
//! keys.
use super::duration_text::Time;
use serde::Deserialize;

/// `[traffic]`: the clients.
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

/// `[[listener]]`: a kind of session.
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
