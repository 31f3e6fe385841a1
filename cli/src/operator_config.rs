//! `thistlecroft operator-config`: prints texts about the operator configuration.
use clap::Subcommand;
use thistlecroft_operator_config::reference;

#[derive(Subcommand)]
pub(crate) enum OperatorConfigVerb {
    /// Print the reference of all keys in an operator configuration.
    Reference,
    /// Print an example of an operator configuration for a small site.
    Example,
}

/// The shipped example of an operator configuration.
const EXAMPLE: &str = include_str!("../../deploy/charter.example.toml");

pub(crate) fn run(verb: &OperatorConfigVerb) {
    match verb {
        OperatorConfigVerb::Reference => print!("{}", reference::reference_page()),
        OperatorConfigVerb::Example => print!("{EXAMPLE}"),
    }
}
