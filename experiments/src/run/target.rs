//! Targets: the relays or baselines that are run under a scenario's traffic and faults.
use crate::scenario::{Baseline, Scenario};

/// The target name of the scenario's own relays.
const OWN_RELAYS: &str = "relays";

/// A target of a run: relays of one build, or a baseline in their place.
#[derive(Clone, Debug)]
pub struct RunTarget {
    /// The name of the target in results.
    pub name: String,
    /// The baseline; `None` for relays.
    pub baseline: Option<Baseline>,
    /// The relay program and its arguments.
    pub relay: Vec<String>,
    /// Whether the relays get the scenario's operator configurations, if it has any.
    pub has_operator_config: bool,
}

impl RunTarget {
    /// Returns the target for the scenario's own relays.
    pub fn own_relays(relay: &[String]) -> RunTarget {
        RunTarget {
            name: OWN_RELAYS.into(),
            baseline: None,
            relay: relay.to_vec(),
            has_operator_config: true,
        }
    }

    /// Returns the target for a baseline in place of relays.
    pub fn of_baseline(name: &str, baseline: Baseline) -> RunTarget {
        RunTarget {
            name: name.into(),
            baseline: Some(baseline),
            relay: Vec::new(),
            has_operator_config: false,
        }
    }

    /// Returns the targets for the scenario's own relays and for its variants. `relay` is the
    /// program for those that name none.
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
