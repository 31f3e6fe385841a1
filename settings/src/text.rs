//! The whole text of the settings, and its conversion into [`Settings`].
use crate::costs::CostsText;
use crate::extensions::ExtensionsText;
use crate::invariants::InvariantsText;
use crate::listeners::{self, ListenerText};
use crate::permissions::PermissionsText;
use crate::report::ReportText;
use crate::stated_keys::StatedKeys;
use crate::{Settings, SettingsError};
use serde::Deserialize;
use thistlecroft::deployment::Deployment;
use thistlecroft::ids::ZoneId;
use thistlecroft::time::Duration;

/// The longest time that a relay that shuts down waits for its sessions, before
/// [`SHUTDOWN_MARGIN`]. It waits for the longest client timeout where that is shorter.
const MAX_SHUTDOWN_WAIT: Duration = Duration::from_millis(3_000);
/// The time that a shutdown may take in addition to the wait for sessions. The platform does not
/// kill the process before both have passed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);

#[derive(Deserialize)]
pub(crate) struct SettingsText {
    #[serde(rename = "az")]
    zone: u16,
    #[serde(rename = "balancers")]
    relay_count: u32,
    #[serde(rename = "me")]
    relay_index: u32,
    #[serde(rename = "tickUs")]
    tick_us: u64,
    discovery: DiscoveryText,
    listeners: Vec<ListenerText>,
    invariants: InvariantsText,
    permissions: PermissionsText,
    #[serde(default, rename = "prices")]
    costs: CostsText,
    #[serde(default, rename = "extra")]
    extensions: ExtensionsText,
    #[serde(default)]
    report: ReportText,
    #[serde(default, rename = "weights")]
    weights_mode: String,
    #[serde(default)]
    zones: Vec<String>,
}

/// The way in which relays learn of changes to the endpoint list.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "camelCase")]
enum DiscoveryText {
    Automatic,
    Subscribe,
}

impl Settings {
    /// Converts the text of the settings, which states these keys.
    ///
    /// # Errors
    /// Returns an error if a value is out of its range, or a listener lacks a key that it needs.
    pub(crate) fn from_text(
        text: SettingsText,
        stated_keys: StatedKeys,
    ) -> Result<Settings, SettingsError> {
        text.check()?;
        let deployment = text.deployment()?;
        let client_timeouts = text.listeners.iter().map(ListenerText::client_timeout);
        Ok(Settings {
            deployment,
            report_fields: text.report.fields(&text.weights_mode),
            client_timeouts: client_timeouts.collect(),
            backend_idle_timeout: text.permissions.backend_idle_timeout(),
            drain_grace: text.invariants.drain_grace(),
            shutdown_timeout: text.shutdown_timeout(),
            may_use_peers: text.permissions.peers,
            connection_value_is_latency: text.extensions.connection_value_is_latency(),
            listeners: text
                .listeners
                .into_iter()
                .map(|listener| listener.name)
                .collect(),
            zones: text.zones,
            stated_keys,
        })
    }
}

impl SettingsText {
    fn check(&self) -> Result<(), SettingsError> {
        listeners::check(&self.listeners)?;
        self.permissions.check()?;
        if self.relay_index >= self.relay_count {
            return Err(SettingsError::RelayOutOfRange {
                index: self.relay_index,
                count: self.relay_count,
            });
        }
        Ok(())
    }

    fn deployment(&self) -> Result<Deployment, SettingsError> {
        let listeners = self.listeners.iter();
        let routes = listeners.map(|listener| listener.route(&self.permissions));
        let subscribes = self.discovery == DiscoveryText::Subscribe;
        Ok(Deployment {
            relay_index: self.relay_index,
            relay_count: self.relay_count,
            zone: ZoneId(self.zone),
            tick: Duration::from_micros(self.tick_us),
            routes: routes.collect::<Result<_, _>>()?,
            message_objective: self.extensions.message_objective(self.listeners.len()),
            observes_latency: self.extensions.reports_latency,
            slow_start: self.invariants.slow_start(),
            retry_budget: self.invariants.retry_budget()?,
            poll_within: subscribes.then_some(self.invariants.poll_within()),
            connect_timeout: self.permissions.connect_timeout(),
            may_cancel: self.permissions.may_cancel,
            may_hedge: self.permissions.may_hedge,
            may_check_health: self.permissions.may_check_health,
            reports_load: self.reports_load(),
            sends_retry_after: self.permissions.sends_retry_after,
            cross_zone_cost: self.costs.cross_zone,
            migration_cost: self.costs.migration,
            health_check_cost: self.costs.health_check,
            groups_share_work: self.extensions.groups_share_work,
        })
    }

    fn reports_load(&self) -> bool {
        let fields = self.report.fields(&self.weights_mode);
        let reaches_relays = self
            .report
            .reaches_relays(self.permissions.may_check_health);
        fields.load.is_some() && reaches_relays
    }

    fn shutdown_timeout(&self) -> Duration {
        let client_timeouts = self.listeners.iter().map(ListenerText::client_timeout);
        let longest = client_timeouts.max().unwrap_or(Duration::ZERO);
        longest.min(MAX_SHUTDOWN_WAIT) + SHUTDOWN_MARGIN
    }
}
