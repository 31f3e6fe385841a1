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
#[derive(Clone, Debug, Default, PartialEq)]
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

    /// Checks this file against the settings of a deployment.
    ///
    /// # Errors
    /// Returns all unknown names and broken rules, or else the errors of
    /// [`OperatorConfig::peers_config`].
    pub fn check(&self, context: &RelayContext) -> Result<(), Vec<ConfigError>> {
        rules::check(&self.routes, context)?;
        self.peers_config(context).map(drop)
    }

    /// Checks this file like [`OperatorConfig::check`], but for the names of listeners and zones: a
    /// deployment may have dropped one that the file still names.
    ///
    /// # Errors
    /// Returns all broken rules, or else the errors of [`OperatorConfig::peers_config`].
    pub fn check_limits(&self, context: &RelayContext) -> Result<(), Vec<ConfigError>> {
        rules::check_limits(&self.routes, context)?;
        self.peers_config(context).map(drop)
    }

    /// Returns an error for each listener and zone that a route names and the deployment lacks.
    pub fn unknown_names(&self, context: &RelayContext) -> Vec<ConfigError> {
        rules::unknown_names(&self.routes, context)
    }

    /// Resolves the routes of this file for the settings of a deployment, with defaults filled in.
    ///
    /// # Errors
    /// Returns the errors of [`OperatorConfig::check`].
    pub fn resolve(
        &self,
        context: &RelayContext,
        limits_ids: &mut LimitsIds,
    ) -> Result<RouteTable, Vec<ConfigError>> {
        self.check(context)?;
        Ok(self.resolve_fitted(context, limits_ids))
    }

    /// Resolves the routes of this file as far as they fit the settings of a deployment: a route has
    /// no sessions of a listener or zone that the deployment lacks, and what breaks a rule for a
    /// listener is tightened for it until it keeps the rule.
    pub fn resolve_fitted(&self, context: &RelayContext, limits_ids: &mut LimitsIds) -> RouteTable {
        RouteTable::new(&self.routes, context, limits_ids)
    }
}
