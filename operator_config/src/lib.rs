//! The charter: an operator's own file beside the platform's settings. Its text is read by the keys
//! that `keys` lists, which are also its reference page (`page`); what it says is checked against
//! the rules (`rules`) and worked out into rows for the decisions and for the relay's front
//! (`routing`). Every fault of a file is found at once, each with its line, column and key. No I/O.
pub mod keys;
mod parsing;
pub mod peers;
pub mod reference;
pub mod route_table;
mod rules;

pub use parsing::{ConfigError, Located, Matching, PeersText, RouteText, SecondText};
pub use peers::PeersConfig;
pub use route_table::{
    DEFAULT_ROUTE, EffectiveValue, LimitsIds, ListenerDefaults, RelayContext, RouteTable,
    SessionTimeouts, ValueOrigin,
};

/// A file as read, not yet held against a deployment.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    pub routes: Vec<RouteText>,
    pub peers: Option<PeersText>,
}

impl OperatorConfig {
    /// # Errors
    /// All that is wrong with the text by itself.
    pub fn parse(file: &str, text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
        parsing::parse(file, text)
    }

    /// What it says of peers, with what holds where it does not; none where it says nothing.
    ///
    /// # Errors
    /// All that is wrong with it there.
    pub fn peers_config(&self, of: &RelayContext) -> Result<Option<PeersConfig>, Vec<ConfigError>> {
        self.peers
            .as_ref()
            .map(|text| peers::resolve(text, of))
            .transpose()
    }

    /// Rows for a deployment.
    ///
    /// # Errors
    /// All that is wrong with it there: unknown names, and what would break a rule.
    pub fn resolve(
        &self,
        of: &RelayContext,
        lanes: &mut LimitsIds,
    ) -> Result<RouteTable, Vec<ConfigError>> {
        rules::check(self, of)?;
        self.peers_config(of)?;
        Ok(RouteTable::new(self, of, lanes))
    }
}
