//! Reconfiguration at run time: SIGHUP reloads the configuration file with its settings, and the
//! operator configuration.
use super::binding_settings::{BindingSettings, SettingsWithText, TRANSITION};
use super::{LOG_TARGET, Service};
use crate::driver::Event;
use crate::protocol::ProtocolSettings;
use crate::startup_config::{
    ConfigError, ConfigErrors, ConfigSource, OperatorConfigFile, StartupConfig, read_config_file,
    relay_context,
};
use crate::timers::Timer;
use serde_json::Value;
use thistlecroft::deployment::Deployment;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_operator_config::{OperatorConfig, RelayContext, RouteTable};
use thistlecroft_settings::Settings;

/// The configuration in force, and what is needed to replace it.
pub(super) struct Reconfiguration {
    /// Where the configuration came from, for reloading it.
    pub(super) source: ConfigSource,
    operator_config: OperatorConfigFile,
    /// The settings in force.
    pub(super) settings: Settings,
    binding: BindingSettings,
    /// Until when this process does not know whether settings bind that its predecessor has
    /// replaced; none once it knows.
    unknown_until: Option<Instant>,
    /// The limit on descriptors; reloading does not change it.
    socket_limit: usize,
}

impl Reconfiguration {
    /// Creates the state for a configuration that was just read. A process with a predecessor does
    /// not know yet which settings bind beside those of its own file.
    pub(super) fn new(
        source: ConfigSource,
        operator_config: OperatorConfigFile,
        settings: Settings,
        socket_limit: usize,
        has_predecessor: bool,
        now: Instant,
    ) -> Reconfiguration {
        let binding = BindingSettings::new(SettingsWithText {
            text: source.settings_text(),
            settings: settings.clone(),
        });
        Reconfiguration {
            source,
            operator_config,
            settings,
            binding,
            unknown_until: has_predecessor.then_some(now + TRANSITION),
            socket_limit,
        }
    }

    /// Returns whether it is known which settings bind. A change that a predecessor was told before
    /// this process started has come into force after the time of a transition.
    pub(super) fn knows_binding_settings(&self, now: Instant) -> bool {
        self.unknown_until.is_none_or(|until| now >= until)
    }

    /// Returns the texts that a successor which starts now has to go by beside its own, each with
    /// the time for which it binds.
    pub(super) fn settings_for_successor(&self, now: Instant) -> Vec<(&Value, Duration)> {
        self.binding.for_successor(now)
    }

    /// Adds settings of the predecessor that bind for this time. Those that can't be parsed were
    /// never in force there.
    pub(super) fn bind_settings_of_predecessor(
        &mut self,
        text: Value,
        time: Duration,
        now: Instant,
    ) {
        match thistlecroft_settings::parse(text.to_string().as_bytes()) {
            Ok(settings) => {
                let replaced = SettingsWithText { text, settings };
                self.binding.bind(replaced, time, now);
            }
            Err(error) => log::warn!(
                target: LOG_TARGET,
                "cannot read the settings of the predecessor: {error}"
            ),
        }
    }

    /// Reads the configuration file again. A file whose settings lost a key is incomplete.
    fn reread_file(&self) -> Result<StartupConfig, ConfigError> {
        let path = self.source.path.as_deref();
        let reloaded = read_config_file(path.ok_or(ConfigError::NotFromFile)?)?;
        self.binding
            .latest()
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
        match self.configuration.reread_file() {
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
                let settings = SettingsWithText {
                    text: reloaded.source.settings_text(),
                    settings: reloaded.settings,
                };
                self.configuration.binding.replace(settings, self.io.now);
            }
            Err(error) => {
                log::warn!(
                    target: LOG_TARGET,
                    "cannot reload the configuration file: {error}; \
                     the previous configuration stays in force"
                );
                // The operator configuration is reloaded nevertheless, as it may have changed.
            }
        }
        if let Err(errors) = self.reload_operator_config() {
            log::warn!(
                target: LOG_TARGET,
                "cannot apply the reloaded operator configuration: {errors}; \
                 the previous operator configuration stays in force"
            );
        }
        self.apply_binding_settings();
    }

    /// Takes up a changed operator configuration that is sound under the latest settings. One that
    /// has not changed stays in force even if it no longer fits them.
    fn reload_operator_config(&mut self) -> Result<(), ConfigErrors> {
        let reloaded = self.configuration.operator_config.load()?;
        let settings = self.configuration.binding.latest();
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

    /// Applies the strictest of the settings that bind now, and sets the timer for the time at which
    /// fewer do.
    pub(super) fn apply_binding_settings(&mut self) {
        let settings = self.configuration.binding.in_force(self.io.now);
        let routes = self.configuration.routes_under(&settings);
        self.apply_settings(settings, routes);
        if let Some(at) = self.configuration.binding.next_change() {
            self.io.timers.set(at, Timer::SettingsInForce);
        }
    }

    /// Goes by the settings of the predecessor that bind, all of which are known now.
    pub(super) fn settle_settings_of_predecessor(&mut self) {
        self.configuration.unknown_until = None;
        if self.configuration.binding.next_change().is_some() {
            self.apply_binding_settings();
        }
        self.accept_clients_when_ready();
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
        client_timeouts: settings.client_timeouts.clone(),
        has_groups: settings.deployment.groups_share_work,
        load_reports_latency: settings.connection_value_is_latency,
    }
}
