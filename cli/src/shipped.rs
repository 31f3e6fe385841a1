//! The scenarios and budgets that are compiled into the command.

macro_rules! scenarios {
    ($($name:literal),* $(,)?) => {
        /// Name and text of each shipped scenario.
        pub(crate) const SCENARIOS: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../scenarios/", $name, ".toml")))),*];
    };
}

scenarios! {
    "box-silent", "boxes-pause", "charter-swap", "cold-rush", "descriptors", "discovery-lost",
    "drain-in-rush", "mixed-effects", "relay-killed", "relay-replaced", "return-wave",
    "rude-clients", "second-copies", "second-copies-pauses", "slow-fleet", "set-ups",
    "standing-5000", "steady", "demo", "upgrade", "ban", "messages", "standing-1000",
    "standing-2000", "standing-4000", "standing-8000", "lines-1000", "lines-2000", "lines-4000",
    "lines-8000", "burst-1400", "burst-2800", "burst-5600", "peers-partition", "peers-paused",
    "peers-grow", "peers-upgrade",
}

/// A shipped file of limits for `experiment scale`.
pub(crate) struct ShippedBudget {
    /// The name by which `--budget` selects it.
    pub(crate) name: &'static str,
    /// A description in one line.
    pub(crate) about: &'static str,
    text: &'static str,
}

/// All shipped budgets.
pub(crate) const BUDGETS: &[ShippedBudget] = &[ShippedBudget {
    name: "budget-target",
    about: "a budget for experiment scale: the planned fleet of 590 relays with 39,000 subjects",
    text: include_str!("../../scenarios/budget-target.toml"),
}];

/// Returns the text of the shipped budget with this name.
pub(crate) fn budget_text(name: &str) -> Option<&'static str> {
    BUDGETS
        .iter()
        .find(|budget| budget.name == name)
        .map(|budget| budget.text)
}

/// Returns the text of the shipped scenario with this name.
pub(crate) fn scenario_text(name: &str) -> Option<&'static str> {
    SCENARIOS
        .iter()
        .find(|(shipped_name, _)| *shipped_name == name)
        .map(|(_, text)| *text)
}
