//! The files and pages that are shipped agree with the parser.
mod common;

use common::{context, read};
use thistlecroft::deployment::Idempotency;
use thistlecroft_operator_config::{OperatorConfig, reference};

#[test]
fn reference_page_and_example_agree_with_the_parser() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let written =
        std::fs::read_to_string(root.join("docs/operate/operator-config-reference.md")).unwrap();
    assert_eq!(
        written,
        reference::reference_page(),
        "to update the page: thistlecroft charter reference"
    );
    let example = std::fs::read_to_string(root.join("deploy/charter.example.toml")).unwrap();
    let mut context = context();
    for (listener, name) in
        context
            .listeners
            .iter_mut()
            .zip(["slot-hold", "slot-view", "pay", "queue-view"])
    {
        (listener.name, listener.route.idempotency) = (name.into(), Idempotency::Idempotent);
    }
    let table = read(&example, &context).unwrap();
    assert_eq!(table.rows()[table.route_for(0, 1, None)].max_attempts, 2);
    // The example ends with a commented section on hedging, which is valid as well.
    let (before, shown) = example.split_once("second one:\n#\n").unwrap();
    let all = before.to_string() + "\n" + &shown.replace("# ", "");
    let table = read(&all, &context).unwrap();
    assert!(
        table.rows()[table.route_for(1, 1, None)].hedging.is_some(),
        "{all}"
    );
}

#[test]
fn shipped_peers_example_is_accepted() {
    let config = OperatorConfig::parse(
        "charter.peers.toml",
        include_str!("../../deploy/charter.peers.toml"),
    )
    .unwrap();
    let peers_config = config.peers_config(&context()).unwrap().unwrap();
    assert_eq!(
        (peers_config.voters.len(), peers_config.seeds.len()),
        (3, 3)
    );
}
