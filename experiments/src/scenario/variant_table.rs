//! `[[variant]]`: what is run beside the scenario's own relays.
use serde::Deserialize;

/// Another thing to run under the same traffic and faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Clients dial boxes themselves.
    pub baseline: Option<Baseline>,
    /// Another build: the program and its arguments.
    pub relay: Option<Vec<String>>,
    /// Further arguments of the relay.
    pub arguments: Option<Vec<String>>,
    /// Without any of the scenario's charters.
    #[serde(default, rename = "unchartered")]
    pub without_operator_configs: bool,
}

/// What stands in for the relays' decisions; none of them knows of drains, loads or failures.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Baseline {
    /// One box after the other.
    Direct,
    /// A backend at random.
    Random,
    /// The box with the fewest own connections.
    Least,
}
