//! The scenarios and budgets that come with the command.

macro_rules! scenarios {
    ($($name:literal),* $(,)?) => {
        pub const SCENARIOS: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../scenarios/", $name, ".toml")))),*];
    };
}

scenarios! {
    "box-silent", "boxes-pause", "charter-swap", "cold-rush", "descriptors", "discovery-lost", "drain-in-rush", "mixed-effects",
    "relay-killed", "relay-replaced", "return-wave", "rude-clients", "second-copies", "second-copies-pauses", "slow-fleet", "set-ups", "standing-5000", "steady", "demo", "upgrade", "ban",
    "messages", "standing-1000", "standing-2000", "standing-4000", "standing-8000", "lines-1000", "lines-2000", "lines-4000", "lines-8000", "burst-1400", "burst-2800", "burst-5600", "peers-partition", "peers-paused", "peers-grow", "peers-upgrade",
}

/// Budgets for `lab scale`, and what each is.
pub const BUDGETS: &[(&str, &str, &str)] = &[(
    "budget-target",
    "a budget for lab scale: the fleet that is coming, 590 relays with 39,000 subjects",
    include_str!("../../scenarios/budget-target.toml"),
)];

pub fn budget(name: &str) -> Option<&'static str> {
    BUDGETS
        .iter()
        .find(|(known, ..)| *known == name)
        .map(|(.., text)| *text)
}

pub fn text(name: &str) -> Option<&'static str> {
    SCENARIOS
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, text)| *text)
}
