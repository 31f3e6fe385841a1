//! The `[[variant]]` tables of a scenario.
use serde::Deserialize;

/// A target that is run under the same traffic and faults as the scenario's own relays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The variant's name.
    pub name: String,
    /// The baseline to run: clients connect to backends directly, without relays.
    pub baseline: Option<Baseline>,
    /// The program and arguments of another build of the relay.
    pub relay: Option<Vec<String>>,
    /// Further arguments for the relay.
    pub arguments: Option<Vec<String>>,
    /// Runs the relays without the scenario's operator configurations.
    #[serde(default, rename = "unchartered")]
    pub without_operator_configs: bool,
}

/// A simple policy that chooses backends in place of relays. No baseline takes drains, loads or
/// failures into account.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Baseline {
    /// The backends in turn.
    Direct,
    /// A backend at random.
    Random,
    /// The backend to which the load generator's thread has the fewest connections.
    Least,
}
