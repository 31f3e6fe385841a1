//! Reconfiguration at run time: SIGHUP reloads the configuration file with its settings, and the
//! operator configuration.
use super::{LOG_TARGET, Service};
use crate::driver::Event;
use crate::protocol::ProtocolSettings;
use crate::startup_config::{
    ConfigError, ConfigErrors, ConfigSource, OperatorConfigFile, StartupConfig, read_config_file,
    relay_context,
};
use crate::timers::Timer;
use thistlecroft::deployment::Deployment;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_operator_config::{OperatorConfig, RelayContext, RouteTable};
use thistlecroft_settings::Settings;

/// The time from SIGHUP until the new settings alone are in force. Meanwhile the listeners of both
/// the old and the new settings are served, each within the stricter limits.
const TRANSITION: Duration = Duration::from_millis(1_200);

/// The configuration in force, and what is needed to replace it.
pub(super) struct Reconfiguration {
    /// Where the configuration came from, for reloading it.
    pub(super) source: ConfigSource,
    pub(super) operator_config: OperatorConfigFile,
    pub(super) settings: Settings,
    /// The settings and routes that replace the current ones at the end of a transition.
    pub(super) pending: Option<PendingSettings>,
    /// The limit on descriptors; reloading does not change it.
    pub(super) socket_limit: usize,
}

/// Settings and routes that take effect at the end of a transition.
pub(super) struct PendingSettings {
    settings: Settings,
    routes: RouteTable,
    in_force_at: Instant,
}

impl Reconfiguration {
    /// Returns the settings that were read last, whether in force already or still pending.
    fn latest_settings(&self) -> &Settings {
        self.pending
            .as_ref()
            .map_or(&self.settings, |pending| &pending.settings)
    }

    /// Reads the configuration file again. A file whose settings lost a key is incomplete.
    fn reread_file(&self) -> Result<StartupConfig, ConfigError> {
        let path = self.source.path.as_deref();
        let reloaded = read_config_file(path.ok_or(ConfigError::NotFromFile)?)?;
        self.latest_settings()
            .check_keeps_keys(&reloaded.settings)
            .map_err(|error| ConfigError::Settings(error.to_string()))?;
        Ok(reloaded)
    }

    /// Returns the routes of the operator configuration in force, as far as they fit the settings.
    fn routes_under(&mut self, settings: &Settings) -> RouteTable {
        let context = relay_context(settings, self.socket_limit);
        self.operator_config.routes(&context)
    }
}

impl Service {
    /// Applies a changed discovery address, changed settings and a changed operator configuration.
    /// A file with errors changes nothing that it configures, and keeps nothing of the other file
    /// from being applied.
    pub(super) fn reload_configuration(&mut self) {
        let settings = match self.configuration.reread_file() {
            Ok(reloaded) => {
                let differing = self.configuration.source.differing_keys(&reloaded.source);
                if !differing.is_empty() {
                    log::warn!(
                        target: LOG_TARGET,
                        "changed configuration keys need a restart and are not applied; keys={}",
                        differing.join(", ")
                    );
                }
                self.discovery
                    .move_to_agent_address(reloaded.discovery, &mut self.io);
                reloaded.settings
            }
            Err(error) => {
                log::warn!(
                    target: LOG_TARGET,
                    "cannot reload the configuration file: {error}; \
                     the previous configuration stays in force"
                );
                // The operator configuration is reloaded nevertheless, as it may have changed.
                self.configuration.latest_settings().clone()
            }
        };
        if let Err(errors) = self.reload_operator_config(&settings) {
            log::warn!(
                target: LOG_TARGET,
                "cannot apply the reloaded operator configuration: {errors}; \
                 the previous operator configuration stays in force"
            );
        }
        self.begin_transition(settings);
    }

    /// Takes up a changed operator configuration that is sound under these settings. One that has
    /// not changed stays in force even if it no longer fits them.
    fn reload_operator_config(&mut self, settings: &Settings) -> Result<(), ConfigErrors> {
        let reloaded = self.configuration.operator_config.load()?;
        let context = relay_context(settings, self.configuration.socket_limit);
        if reloaded == *self.configuration.operator_config.in_force() {
            if let Err(errors) = reloaded.check(&context) {
                log::warn!(
                    target: LOG_TARGET,
                    "the operator configuration does not fit the settings, whose limits hold \
                     where it doesn't: {}",
                    ConfigErrors::from(errors)
                );
            }
            return Ok(());
        }
        reloaded.check(&context)?;
        self.reconfigure_peers(&reloaded, &context)?;
        self.configuration.operator_config.set_in_force(reloaded);
        Ok(())
    }

    /// Applies the transitional settings between the old and the new ones, and schedules the new
    /// ones.
    fn begin_transition(&mut self, settings: Settings) {
        let transitional = self.configuration.settings.during_change_to(&settings);
        let routes = self.configuration.routes_under(&settings);
        let transitional_routes = self.configuration.routes_under(&transitional);
        self.apply_settings(transitional, transitional_routes);
        let in_force_at = self.io.now + TRANSITION;
        self.configuration.pending = Some(PendingSettings {
            settings,
            routes,
            in_force_at,
        });
        self.io.timers.set(in_force_at, Timer::SettingsInForce);
    }

    /// Applies the peers' configuration, or nothing of it if the change of voters is not allowed.
    fn reconfigure_peers(
        &mut self,
        operator_config: &OperatorConfig,
        context: &RelayContext,
    ) -> Result<(), ConfigErrors> {
        match (&mut self.peers, operator_config.peers_config(context)?) {
            (None, None) => {}
            (Some(peers), Some(config)) => peers.reconfigure(&config)?,
            _ => {
                log::warn!(
                    target: LOG_TARGET,
                    "adding or removing [peers] in the operator configuration needs a restart \
                     and is not applied"
                )
            }
        }
        Ok(())
    }

    /// Applies the pending settings if the transition to them has ended.
    pub(super) fn apply_pending_settings(&mut self) {
        let now = self.io.now;
        let due = self
            .configuration
            .pending
            .take_if(|pending| now >= pending.in_force_at);
        if let Some(pending) = due {
            self.apply_settings(pending.settings, pending.routes);
        }
    }

    /// Applies settings and routes together, for everything that arrives from now on.
    fn apply_settings(&mut self, settings: Settings, routes: RouteTable) {
        let settings_changes = self.configuration.settings.changes_to(&settings);
        let changes = self.sessions.routes().changes_to(&routes);
        let configured = settings.deployment.clone();
        let zone_name = settings.zones.get(usize::from(configured.zone.0)).cloned();
        let zone = zone_name.map_or(configured.zone, |name| self.discovery.registry.zone(&name));
        let deployment = Deployment {
            routes: routes.rows().to_vec(),
            zone,
            ..configured
        };
        self.discovery
            .registry
            .set_report_fields(settings.report_fields);
        self.io
            .health_checks
            .set_timeouts(deployment.connect_timeout, settings.backend_idle_timeout);
        self.discovery.set_drain_grace(settings.drain_grace);
        if !settings.may_use_peers && self.peers.take().is_some() {
            log::warn!(
                target: LOG_TARGET,
                "the settings no longer allow relays to exchange messages: \
                 this relay has left the others until it is started again"
            );
        }
        self.io
            .events
            .push_back(Event::Reconfigured(Box::new(deployment)));
        self.sessions
            .reconfigure(protocol_settings_of(&settings), routes);
        let generation = self.sessions.generation();
        if !changes.is_empty() {
            log::info!(
                target: LOG_TARGET,
                generation;
                "configuration in force: generation={generation}; {}",
                changes.join("; ")
            );
        }
        if !settings_changes.is_empty() {
            log::info!(
                target: LOG_TARGET,
                "settings in force: {}",
                settings_changes.join("; ")
            );
        }
        self.configuration.settings = settings;
    }
}

/// Returns the settings on which the clients' protocol depends.
pub(super) fn protocol_settings_of(settings: &Settings) -> ProtocolSettings {
    ProtocolSettings {
        listeners: settings.listeners.clone(),
        has_groups: settings.deployment.groups_share_work,
        load_reports_latency: settings.connection_value_is_latency,
    }
}
