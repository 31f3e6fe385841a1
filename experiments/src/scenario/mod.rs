//! A scenario as its file has it. An error in one is a line that names file, line and key.
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

use duration_text::Time;
use serde::Deserialize;
use std::path::Path;
use toml::Spanned;

/// A scenario file.
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
    /// The seed where the command line names none.
    #[serde(default = "one")]
    pub seed: u64,
    /// Backends, the set-up store and discovery.
    #[serde(default)]
    pub fleet: Fleet,
    /// The relays and their settings.
    #[serde(default)]
    pub relays: Relays,
    /// The clients.
    pub traffic: TrafficTable,
    /// Kinds of sessions.
    #[serde(rename = "listener")]
    pub listeners: Vec<Spanned<ListenerTable>>,
    /// What all relays together may do, beside the rules that each keeps alone.
    #[serde(default, rename = "together")]
    pub cluster_limits: ClusterLimitsTable,
    /// What goes wrong, in the order of the file.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<FaultTable>>,
    /// What is run beside the relays as they are.
    #[serde(default, rename = "variant")]
    pub variants: Vec<Spanned<Variant>>,
}

fn one() -> u64 {
    1
}

impl Scenario {
    /// Reads the text of a scenario; `file` is its name in errors.
    ///
    /// # Errors
    /// The first thing that is wrong with the text.
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

    /// Reads a scenario file.
    ///
    /// # Errors
    /// It can't be read, or the first thing that is wrong with it.
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
