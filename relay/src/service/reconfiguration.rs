//! Reconfiguration at run time: SIGHUP has the configuration, its settings and the operator
//! configuration read again.
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
use thistlecroft_operator_config::{OperatorConfig, RouteTable};
use thistlecroft_settings::Settings;

/// From SIGHUP until the new settings alone are in force. In between, what either the old or the
/// new settings allow is accepted.
const TRANSITION: Duration = Duration::from_millis(1_200);

/// The configuration in force, and what is needed to replace it.
pub(super) struct Reconfiguration {
    /// Where the configuration came from, to be read again.
    pub(super) source: ConfigSource,
    pub(super) operator_config: OperatorConfigFile,
    pub(super) settings: Settings,
    /// What replaces the settings at the end of a transition.
    pub(super) pending: Option<PendingSettings>,
    /// The limit on descriptors, which a later text can't change.
    pub(super) socket_limit: usize,
}

/// Settings and routes that come into force at the end of a transition.
pub(super) struct PendingSettings {
    settings: Settings,
    routes: RouteTable,
    in_force_at: Instant,
}

impl Reconfiguration {
    /// The settings read last, whether in force already or not.
    fn latest_settings(&self) -> &Settings {
        self.pending
            .as_ref()
            .map_or(&self.settings, |pending| &pending.settings)
    }

    /// Reads the configuration file again.
    fn read_source(&self) -> Result<StartupConfig, ConfigError> {
        let path = self.source.path.as_deref();
        read_config_file(path.ok_or(ConfigError::NotFromFile)?)
    }

    fn resolve_routes(
        &mut self,
        operator_config: &OperatorConfig,
        settings: &Settings,
    ) -> Result<RouteTable, ConfigErrors> {
        let context = relay_context(settings, self.socket_limit);
        self.operator_config.routes(operator_config, &context)
    }
}

impl Service {
    /// Takes up a changed discovery address, changed settings and a changed operator
    /// configuration. A bad file changes nothing of what it is about; the settings and the operator
    /// configuration have to agree, and are taken up together or not at all.
    pub(super) fn reload_configuration(&mut self) {
        let settings = match self.configuration.read_source() {
            Ok(later) => {
                let differing = self.configuration.source.differing_keys(&later.source);
                if !differing.is_empty() {
                    log::warn!(
                        target: LOG_TARGET,
                        "changes of {} need a restart",
                        differing.join(", ")
                    );
                }
                self.discovery.move_to(later.discovery, &mut self.io);
                later.settings
            }
            Err(error) => {
                log::warn!(target: LOG_TARGET, "{error}; what was read before stays");
                // The operator configuration may have changed all the same.
                self.configuration.latest_settings().clone()
            }
        };
        if let Err(errors) = self.begin_transition(settings) {
            log::warn!(
                target: LOG_TARGET,
                "{errors}; the charter read before stays, and so do the settings"
            );
        }
    }

    /// Puts into force what the old and the new settings both allow, and schedules the new ones.
    /// Nothing is taken up if any part of it is refused.
    fn begin_transition(&mut self, settings: Settings) -> Result<(), ConfigErrors> {
        let operator_config = self.configuration.operator_config.load()?;
        let transitional = self.configuration.settings.during_change_to(&settings);
        let routes = self
            .configuration
            .resolve_routes(&operator_config, &settings)?;
        let transitional_routes = self
            .configuration
            .resolve_routes(&operator_config, &transitional)?;
        self.reconfigure_peers(&operator_config, &settings)?;
        self.put_in_force(transitional, transitional_routes);
        let in_force_at = self.io.now + TRANSITION;
        self.configuration.pending = Some(PendingSettings {
            settings,
            routes,
            in_force_at,
        });
        self.io.timers.set(in_force_at, Timer::SettingsInForce);
        Ok(())
    }

    /// Refused as a whole where the step from one set of voters to the next is not allowed.
    fn reconfigure_peers(
        &mut self,
        operator_config: &OperatorConfig,
        settings: &Settings,
    ) -> Result<(), ConfigErrors> {
        let context = relay_context(settings, self.configuration.socket_limit);
        match (&mut self.peers, operator_config.peers_config(&context)?) {
            (None, None) => {}
            (Some(peers), Some(config)) => peers.reconfigure(&config)?,
            _ => log::warn!(target: LOG_TARGET, "changes of peers need a restart"),
        }
        Ok(())
    }

    /// Ends a transition that is due.
    pub(super) fn apply_pending_settings(&mut self) {
        let now = self.io.now;
        let due = self
            .configuration
            .pending
            .take_if(|pending| now >= pending.in_force_at);
        if let Some(pending) = due {
            self.put_in_force(pending.settings, pending.routes);
        }
    }

    /// All of it at once, for what comes from now on.
    fn put_in_force(&mut self, settings: Settings, routes: RouteTable) {
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
        self.health_checks
            .set_timeouts(deployment.connect_timeout, settings.backend_idle_timeout);
        self.discovery.set_drain_grace(settings.drain_grace);
        self.shutdown_timeout = deployment.shutdown_timeout;
        self.io
            .events
            .push_back(Event::Reconfigured(Box::new(deployment)));
        self.sessions.reconfigure(protocol_names(&settings), routes);
        let generation = self.sessions.generation();
        if !changes.is_empty() {
            log::info!(
                target: LOG_TARGET,
                generation;
                "charter, generation {generation}: {}",
                changes.join("; ")
            );
        }
        self.configuration.settings = settings;
    }
}

/// What of the settings the clients' protocol depends on.
pub(super) fn protocol_names(settings: &Settings) -> ProtocolSettings {
    ProtocolSettings {
        listeners: settings.listeners.clone(),
        has_groups: settings.deployment.groups_share_work,
        load_reports_latency: settings.notes_carry_latency,
    }
}
