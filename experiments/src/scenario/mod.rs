//! Scenario files. An error in one is reported as a single line with the file, line and key.
pub mod duration_text;
mod error;
mod fault_checks;
mod fault_table;
mod fleet_tables;
mod traffic_tables;
mod validation;
mod variant_table;

pub use error::{MalformedScenario, ScenarioError};
pub use fault_table::{FAULTS, FaultTable, Selection, SelectionShare};
pub use fleet_tables::{ClusterLimitsTable, Fleet, Relays};
pub use traffic_tables::{Effect, ListenerTable, Rate, Scope, TrafficTable};
pub use variant_table::{Baseline, Variant};

use duration_text::DurationText;
use serde::Deserialize;
use std::path::Path;
use toml::Spanned;

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The scenario's name; by default the file name without its extension.
    #[serde(default)]
    pub name: String,
    /// A description of what happens and what the run shows.
    pub about: String,
    /// The time for which clients arrive.
    pub length: DurationText,
    /// The seed that is used if the command line names none.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The backends, the store that their set-ups call, and discovery.
    #[serde(default)]
    pub fleet: Fleet,
    /// The relays and their settings.
    #[serde(default)]
    pub relays: Relays,
    /// The clients' arrivals and behaviour.
    pub traffic: TrafficTable,
    /// The listeners, one for each kind of session.
    #[serde(rename = "listener")]
    pub listeners: Vec<Spanned<ListenerTable>>,
    /// Limits for all relays together, besides the invariants that bind each relay alone.
    #[serde(default, rename = "together")]
    pub cluster_limits: ClusterLimitsTable,
    /// The faults, in the order of the file.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<FaultTable>>,
    /// Further targets that are run besides the scenario's own relays.
    #[serde(default, rename = "variant")]
    pub variants: Vec<Spanned<Variant>>,
}

fn default_seed() -> u64 {
    1
}

impl Scenario {
    /// Parses a scenario; `file` is the name that errors show.
    ///
    /// # Errors
    /// Returns the first error in the text.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, MalformedScenario> {
        let mut scenario: Scenario = toml::from_str(text)
            .map_err(|error| MalformedScenario::from_toml(file, text, &error))?;
        if scenario.name.is_empty() {
            let stem = Path::new(file).file_stem().unwrap_or_default();
            scenario.name = stem.to_string_lossy().into_owned();
        }
        validation::check(&scenario, text)
            .map_err(|invalid| MalformedScenario::from_invalid(file, text, invalid))?;
        Ok(scenario)
    }

    /// Reads and parses a scenario file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, or else the first error in its text.
    pub fn read(file: &str) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(file).map_err(|source| ScenarioError::Unreadable {
            file: file.into(),
            source,
        })?;
        Ok(Scenario::parse(file, &text)?)
    }
}

#[cfg(test)]
mod tests;
