//! The scenarios that come with the command.

macro_rules! scenarios {
    ($($name:literal),* $(,)?) => {
        pub const SCENARIOS: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../scenarios/", $name, ".toml")))),*];
    };
}

scenarios! {
    "box-silent", "boxes-pause", "charter-swap", "cold-rush", "descriptors", "discovery-lost", "drain-in-rush", "mixed-effects",
    "relay-killed", "relay-replaced", "return-wave", "rude-clients", "second-copies", "second-copies-pauses", "slow-fleet", "set-ups", "standing-5000", "steady", "demo", "upgrade", "ban",
    "messages", "peers-partition", "peers-paused", "peers-grow", "peers-upgrade",
}

pub fn text(name: &str) -> Option<&'static str> {
    SCENARIOS.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}
