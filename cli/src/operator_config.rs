//! `thistlecroft operator-config`: texts about the operator configuration.
use clap::Subcommand;
use thistlecroft_operator_config::reference;

#[derive(Subcommand)]
pub(crate) enum OperatorConfigVerb {
    /// Print the reference page of its keys.
    Reference,
    /// Print an example for a small site.
    Example,
}

/// The example that comes with the command.
const EXAMPLE: &str = include_str!("../../deploy/charter.example.toml");

pub(crate) fn run(verb: &OperatorConfigVerb) {
    match verb {
        OperatorConfigVerb::Reference => print!("{}", reference::reference_page()),
        OperatorConfigVerb::Example => print!("{EXAMPLE}"),
    }
}
