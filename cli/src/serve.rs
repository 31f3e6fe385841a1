//! `thistlecroft serve`: runs a relay until it is told to stop.
use crate::error::CommandError;
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct ServeArgs {
    /// The relay's configuration (JSON).
    #[arg(long, env = "ROUTER_CONFIG")]
    config: PathBuf,
    /// The operator configuration (TOML); formerly `--charter` and THISTLECROFT_CHARTER
    #[arg(
        long,
        alias = "charter",
        value_name = "FILE",
        env = thistlecroft_relay::OPERATOR_CONFIG_VARIABLE
    )]
    operator_config: Option<PathBuf>,
}

pub(crate) fn run(args: &ServeArgs) -> Result<(), CommandError> {
    let config = args.config.to_string_lossy();
    let operator_config = args
        .operator_config
        .as_ref()
        .map(|path| path.to_string_lossy().into_owned())
        .or_else(thistlecroft_relay::operator_config_from_environment);
    thistlecroft_relay::serve(&config, operator_config.as_deref())
        .map_err(|error| CommandError::Failed(CommandError::join(&error.lines())))
}
