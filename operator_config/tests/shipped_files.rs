//! Tests that the shipped files and pages agree with the parser.
mod common;

use common::{context, parse_and_resolve};
use thistlecroft::deployment::Idempotency;
use thistlecroft_operator_config::{OperatorConfig, reference};

#[test]
fn reference_page_and_example_agree_with_the_parser() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page =
        std::fs::read_to_string(root.join("docs/operate/operator-config-reference.md")).unwrap();
    assert_eq!(
        page,
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
    let table = parse_and_resolve(&example, &context).unwrap();
    assert_eq!(table.rows()[table.route_for(0, 1, None)].max_attempts, 2);
    // The example ends with a commented-out section on hedging, which has to be valid as well.
    let (before, commented) = example.split_once("second one:\n#\n").unwrap();
    let uncommented = before.to_string() + "\n" + &commented.replace("# ", "");
    let table = parse_and_resolve(&uncommented, &context).unwrap();
    assert!(
        table.rows()[table.route_for(1, 1, None)].hedging.is_some(),
        "{uncommented}"
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
