//! Converts a scenario's traffic, backends and settings into the testbed's configuration.
use super::PLAN_START;
use crate::scenario::{Baseline, Effect, ListenerTable, Rate, Scenario, Scope};
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::Duration;
use thistlecroft_testbed::backend_model::{BackendCapacity, WarmUp};
use thistlecroft_testbed::load_generator::ClientDistribution;
use thistlecroft_testbed::relay_process::{FleetConfig, ListenerConfig};
use thistlecroft_testbed::simulated_backends::{BackendPlan, BackendSpec};
use thistlecroft_testbed::traffic::{Burst, ClientProfile, Traffic};

/// Returns how clients are distributed over relays, or over backends for a baseline.
pub(crate) fn client_distribution(baseline: Option<Baseline>) -> ClientDistribution {
    match baseline {
        None | Some(Baseline::Direct) => ClientDistribution::RoundRobin,
        Some(Baseline::Random) => ClientDistribution::Random,
        Some(Baseline::Least) => ClientDistribution::LeastConnections,
    }
}

/// Returns whether a listener's requests may be repeated.
pub(super) fn idempotency(listener: &ListenerTable) -> Idempotency {
    match listener.effect {
        Effect::Repeatable => Idempotency::Idempotent,
        Effect::OnceOnly => Idempotency::NonIdempotent,
        Effect::Referenced => {
            let scope = match listener.deduplication_scope {
                Scope::All => DeduplicationScope::All,
                Scope::Zone => DeduplicationScope::Zone,
                Scope::Cell => DeduplicationScope::Cell,
            };
            Idempotency::Keyed {
                scope,
                window: listener.deduplication_window.0,
            }
        }
    }
}

/// Returns the scenario's traffic, with `bursts` of further clients.
pub(super) fn traffic(scenario: &Scenario, bursts: Vec<Burst>) -> Traffic {
    let table = &scenario.traffic;
    let profiles = scenario
        .listeners
        .iter()
        .map(|row| row.get_ref())
        .map(|row| ClientProfile {
            name: row.name.clone(),
            share: row.share,
            answer_timeout: row.answer_timeout.0,
            handshake_target: row.handshake_target.0,
            message_target: row.message_target.0,
            load: (row.load_range[0], row.load_range[1]),
            mean_lifetime: row.mean_lifetime.0,
            priority_weight: row.priority_weight,
        });
    let rate = match &table.rate {
        Rate::Constant(rate) => vec![(PLAN_START, *rate)],
        Rate::Interpolated(points) => points
            .iter()
            .map(|(at, rate)| (PLAN_START + at.0, *rate))
            .collect(),
    };
    Traffic {
        profiles: profiles.collect(),
        rate,
        bursts,
        keys: table.client_keys.max(1),
        groups: table.groups,
        retries: table.retries,
        retry_after_share: table.retry_after_share,
        backoff: table.backoff.0,
        reconnect_delay: (table.reconnect_delay[0].0, table.reconnect_delay[1].0),
        impatient_share: table.impatient_share,
        message_interval: table.message_interval.0,
    }
}

/// Returns the plan of the backends and of the store that their set-ups call.
pub(super) fn backends(scenario: &Scenario, seed: u64) -> BackendPlan {
    let fleet = &scenario.fleet;
    let warm_up = WarmUp {
        initial_share: fleet.warm_up_initial_share,
        duration: fleet.warm_up.0,
        overload_factor: fleet.warm_up_overload_factor,
        overload_window: fleet.warm_up_overload_window.0,
        turnover_time: fleet
            .turnover_time
            .map_or_else(|| turnover(scenario), |turnover| turnover.0),
    };
    let capacity = BackendCapacity {
        full_load: fleet.capacity,
        max_sessions: fleet.max_sessions,
        setup_time: fleet.setup_time.0,
        group_load: fleet.group_load,
        warm_up,
    };
    let backends = (0..fleet.backends).map(|number| BackendSpec {
        capacity,
        zone: fleet.zones[number % fleet.zones.len()].clone(),
        cell: 0,
        initially_running: number < fleet.backends - fleet.initially_stopped,
    });
    BackendPlan {
        backends: backends.collect(),
        relays: scenario.relays.count,
        announcement_delay: (fleet.announcement_delay[0].0, fleet.announcement_delay[1].0),
        setup_store: fleet
            .store_concurrency
            .map(|concurrency| (concurrency, fleet.store_time.0)),
        report_interval: fleet.report_interval.0,
        reports_load: fleet.reports_load,
        seed,
    }
}

/// Returns the time in which a backend replaces its connections: the mean lifetime of sessions, or
/// the warm-up if that is longer.
fn turnover(scenario: &Scenario) -> Duration {
    let rows = || scenario.listeners.iter().map(|row| row.get_ref());
    let shares: f64 = rows().map(|row| row.share).sum();
    let mean = rows()
        .map(|row| row.mean_lifetime.0 * (row.share / shares))
        .fold(Duration::ZERO, |sum, term| sum + term);
    mean.max(scenario.fleet.warm_up.0)
}

/// Returns the settings of the relays.
pub(super) fn fleet_config(scenario: &Scenario) -> FleetConfig {
    let (fleet, relays) = (&scenario.fleet, &scenario.relays);
    let listeners = scenario
        .listeners
        .iter()
        .map(|row| row.get_ref())
        .map(|row| ListenerConfig {
            name: row.name.clone(),
            answer_timeout: row.answer_timeout.0,
            handshake_target: row.handshake_target.0,
            message_target: row.message_target.0,
            idempotency: idempotency(row),
            priority_weight: row.priority_weight,
        });
    FleetConfig {
        zones: fleet.zones.clone(),
        listeners: listeners.collect(),
        connect_timeout: relays.connect_timeout.0,
        max_attempts: relays.max_attempts,
        max_retry_after: relays.max_retry_after.map(|longest| longest.0),
        health_checks: relays.health_checks,
        groups: scenario.traffic.groups.is_some(),
        reports_load: fleet.reports_load,
        warm_up_initial_share: fleet.warm_up_initial_share,
        warm_up: fleet.warm_up.0,
        warm_up_overload_factor: fleet.warm_up_overload_factor,
        warm_up_overload_window: fleet.warm_up_overload_window.0,
        memory_mb: relays.memory_mb,
        sockets: relays.sockets,
        hedging: relays.hedging,
        peers: relays.peers,
    }
}
