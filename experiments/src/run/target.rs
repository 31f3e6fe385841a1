//! What is run under a scenario's traffic and faults.
use crate::scenario::{Baseline, Scenario};

/// The name of the scenario's own relays.
const OWN_RELAYS: &str = "relays";

/// Relays of one build, or a baseline in their place.
#[derive(Clone, Debug)]
pub struct RunTarget {
    /// As results are named by it.
    pub name: String,
    /// None for relays.
    pub baseline: Option<Baseline>,
    /// The program of the relays and its arguments.
    pub relay: Vec<String>,
    /// With the scenario's operator configurations, where it has any.
    pub has_operator_config: bool,
}

impl RunTarget {
    /// The scenario's own relays.
    pub fn own_relays(relay: &[String]) -> RunTarget {
        RunTarget {
            name: OWN_RELAYS.into(),
            baseline: None,
            relay: relay.to_vec(),
            has_operator_config: true,
        }
    }

    /// A baseline in place of relays.
    pub fn of_baseline(name: &str, baseline: Baseline) -> RunTarget {
        RunTarget {
            name: name.into(),
            baseline: Some(baseline),
            relay: Vec::new(),
            has_operator_config: false,
        }
    }

    /// The scenario's own relays and its variants, with this program as the relay where they name
    /// none.
    pub fn all(scenario: &Scenario, relay: &[String]) -> Vec<RunTarget> {
        let variants = scenario.variants.iter().map(|variant| {
            let variant = variant.get_ref();
            let program = variant.relay.as_deref().unwrap_or(relay);
            let arguments = variant.arguments.iter().flatten();
            RunTarget {
                name: variant.name.clone(),
                baseline: variant.baseline,
                relay: program.iter().chain(arguments).cloned().collect(),
                has_operator_config: !variant.without_operator_configs,
            }
        });
        std::iter::once(RunTarget::own_relays(relay))
            .chain(variants)
            .collect()
    }
}
