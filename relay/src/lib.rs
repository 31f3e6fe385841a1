//! The relay on sockets, for a process of its own or inside another: read a `Posting`, start a
//! `Service`, run it.
mod admin;
mod attempt;
mod bans;
mod buffers;
mod counters;
mod discovery;
mod driver;
mod health_check;
mod hot_restart;
mod io_context;
mod line_buffer;
mod output_buffer;
mod peers;
mod protocol;
mod service;
mod session;
mod sockets;
mod startup_config;
mod timers;
mod trace;
mod upstream;

pub use service::{Service, Signals};
pub use startup_config::{StartupConfig, read, read_file, relay_context};

/// Serves by a configuration, and a charter if there is one, until told to stop: what a main
/// program does.
///
/// # Errors
/// A line for each fault of a file, or one: the address is taken, or the poller failed.
pub fn serve(path: &str, charter: Option<&str>) -> Result<(), Vec<String>> {
    let signals = Signals::install().map_err(|fault| vec![fault.to_string()])?;
    let mut posting = read_file(path)
        .and_then(StartupConfig::with_environment)
        .map_err(|fault| vec![fault])?;
    if let Some(charter) = charter {
        posting = posting.with_operator_config(charter)?;
    }
    Service::start(posting, signals)
        .and_then(Service::run)
        .map_err(|fault| vec![fault.to_string()])
}

/// The environment variable that names the operator configuration.
pub const OPERATOR_CONFIG_VARIABLE: &str = "THISTLECROFT_OPERATOR_CONFIG";

/// The same variable's former name, which is read where the other is not set.
const FORMER_OPERATOR_CONFIG_VARIABLE: &str = "THISTLECROFT_CHARTER";

/// The path of the operator configuration that the environment names.
pub fn operator_config_from_environment() -> Option<String> {
    std::env::var(OPERATOR_CONFIG_VARIABLE)
        .or_else(|_| std::env::var(FORMER_OPERATOR_CONFIG_VARIABLE))
        .ok()
}

#[cfg(test)]
mod tests;
