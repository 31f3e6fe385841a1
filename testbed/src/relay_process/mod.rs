//! Relays that run as processes: configuration, start, signals, resource usage and exit.
mod config;
mod error;
mod process;
mod resources;

pub use config::{FleetConfig, ListenerConfig, PeersConfig, RelayOptions, configuration};
pub use error::RelayProcessError;
pub use process::{ADMIN_COMMAND_TIMEOUT, RelayProcess};
pub use resources::{DescriptorLimitError, ensure_descriptor_limit, process_cost};
