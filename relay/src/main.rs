//! The relay as a separate program, which is configured by environment variables and logs to
//! standard error.
use std::process::ExitCode;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let operator_config = thistlecroft_relay::operator_config_from_environment();
    let result = match std::env::var(CONFIG_VARIABLE) {
        Ok(path) => thistlecroft_relay::serve(&path, operator_config.as_deref())
            .map_err(|error| error.lines()),
        Err(_) => Err(vec![format!("{CONFIG_VARIABLE} names no file")]),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(lines) => {
            for line in lines {
                eprintln!("thistlecroft-relay: {line}");
            }
            ExitCode::FAILURE
        }
    }
}
