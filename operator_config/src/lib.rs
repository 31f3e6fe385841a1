//! The operators' TOML file, which refines the platform's settings for some sessions.
//!
//! A file passes through three steps:
//!
//! 1. `parsing` turns the text into [`OperatorConfig`]: typed sections whose values keep their
//!    location in the file. The table of keys is [`keys`]; [`mod@reference`] prints it for people.
//! 2. `rules` checks the sections against the deployment of one relay, a [`RelayContext`].
//! 3. The result is a [`RouteTable`] for sessions and a [`PeersConfig`] for the link between
//!    relays.
//!
//! Each step reports every error of a file at once. The crate does no I/O.
mod context;
mod effective;
mod error;
mod key_names;
pub mod keys;
mod parsing;
mod peers;
pub mod reference;
mod route_table;
mod rules;
mod sections;
mod suggestion;
mod value;

pub use context::{ListenerDefaults, RelayContext};
pub use effective::{DEFAULT_ROUTE, EffectiveValue, SessionTimeouts, ValueOrigin};
pub use error::ConfigError;
pub use peers::PeersConfig;
pub use route_table::{LimitsIds, RouteTable};

use sections::{PeersSection, RouteSection};

/// A parsed file that has not been checked against a deployment.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    routes: Vec<RouteSection>,
    peers: Option<PeersSection>,
}

impl OperatorConfig {
    /// Returns the number of routes in the file.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Parses the text of `file`, whose name appears in errors only.
    ///
    /// # Errors
    /// Returns all errors that the text has without regard to a deployment, in the order of the
    /// file.
    pub fn parse(file: &str, text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
        parsing::parse(file, text)
    }

    /// Returns the configuration of the link between relays with defaults filled in, or `None`
    /// where the file has no section `[peers]`.
    ///
    /// # Errors
    /// Returns all errors in the section: values out of range, and a section that the deployment
    /// does not permit.
    pub fn peers_config(
        &self,
        context: &RelayContext,
    ) -> Result<Option<PeersConfig>, Vec<ConfigError>> {
        self.peers
            .as_ref()
            .map(|section| peers::resolve(section, context))
            .transpose()
    }

    /// Resolves the routes of this file for the settings of a deployment, with defaults filled in.
    ///
    /// # Errors
    /// Returns all unknown names and broken rules, or else the errors of
    /// [`OperatorConfig::peers_config`].
    pub fn resolve(
        &self,
        context: &RelayContext,
        limits_ids: &mut LimitsIds,
    ) -> Result<RouteTable, Vec<ConfigError>> {
        rules::check(&self.routes, context)?;
        self.peers_config(context)?;
        Ok(RouteTable::new(&self.routes, context, limits_ids))
    }
}
