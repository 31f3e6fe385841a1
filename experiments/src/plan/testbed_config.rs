//! A scenario's traffic, backends and settings as the testbed takes them.
use super::PLAN_START;
use crate::scenario::{Baseline, EffectText, ListenerText, Rate, Scenario, ScopeText};
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::Duration;
use thistlecroft_testbed::backend_model::{BackendCapacity, WarmUp};
use thistlecroft_testbed::load_generator::ClientDistribution;
use thistlecroft_testbed::relay_process::{FleetConfig, ListenerConfig};
use thistlecroft_testbed::simulated_backends::{BackendPlan, BackendSpec};
use thistlecroft_testbed::traffic::{Burst, ClientProfile, Traffic};

/// How clients choose where to connect.
pub(crate) fn dealing(baseline: Option<Baseline>) -> ClientDistribution {
    match baseline {
        None | Some(Baseline::Direct) => ClientDistribution::RoundRobin,
        Some(Baseline::Random) => ClientDistribution::Random,
        Some(Baseline::Least) => ClientDistribution::LeastConnections,
    }
}

/// Whether a listener's requests may be repeated.
pub(super) fn idempotency(row: &ListenerText) -> Idempotency {
    match row.effect {
        EffectText::Repeatable => Idempotency::Idempotent,
        EffectText::OnceOnly => Idempotency::NonIdempotent,
        EffectText::Referenced => {
            let scope = match row.scope {
                ScopeText::All => DeduplicationScope::All,
                ScopeText::Zone => DeduplicationScope::Zone,
                ScopeText::Cell => DeduplicationScope::Cell,
            };
            Idempotency::Keyed {
                scope,
                window: row.window.0,
            }
        }
    }
}

/// The scenario's arrivals, with `bursts` of further clients.
pub(super) fn traffic(scenario: &Scenario, bursts: Vec<Burst>) -> Traffic {
    let text = &scenario.traffic;
    let kinds = scenario
        .listeners
        .iter()
        .map(|row| row.get_ref())
        .map(|row| ClientProfile {
            name: row.name.clone(),
            share: row.share,
            answer_timeout: row.wait.0,
            handshake_target: row.handshake_target.0,
            message_target: row.message_target.0,
            load: (row.load[0], row.load[1]),
            mean_lifetime: row.life.0,
            priority_weight: row.utility,
        });
    let rate = match &text.rate {
        Rate::Even(rate) => vec![(PLAN_START, *rate)],
        Rate::Steps(steps) => steps
            .iter()
            .map(|(at, rate)| (PLAN_START + at.0, *rate))
            .collect(),
    };
    Traffic {
        profiles: kinds.collect(),
        rate,
        bursts,
        keys: text.keys.max(1),
        groups: text.groups,
        retries: text.retries,
        retry_after_share: text.heeds,
        backoff: text.back_off.0,
        reconnect_delay: (text.rejoin[0].0, text.rejoin[1].0),
        impatient_share: text.impatient,
        message_interval: text.beat.0,
    }
}

/// The backends and the set-up store.
pub(super) fn backends(scenario: &Scenario, seed: u64) -> BackendPlan {
    let fleet = &scenario.fleet;
    let warm_up = WarmUp {
        initial_share: fleet.cold_share,
        duration: fleet.warm_up.0,
        overload_factor: fleet.cold_factor,
        overload_window: fleet.cold_window.0,
        turnover_time: fleet
            .turnover
            .map_or_else(|| turnover(scenario), |turnover| turnover.0),
    };
    let capacity = BackendCapacity {
        full_load: fleet.capacity,
        max_sessions: fleet.most,
        setup_time: fleet.set_up.0,
        group_load: fleet.group_fee,
        warm_up,
    };
    let backends = (0..fleet.boxes).map(|number| BackendSpec {
        capacity,
        zone: fleet.zones[number % fleet.zones.len()].clone(),
        cell: 0,
        initially_running: number < fleet.boxes - fleet.later,
    });
    BackendPlan {
        backends: backends.collect(),
        relays: scenario.relays.count,
        announcement_delay: (fleet.notice[0].0, fleet.notice[1].0),
        setup_store: fleet.store_lanes.map(|lanes| (lanes, fleet.store_time.0)),
        report_interval: fleet.report_every.0,
        reports_load: fleet.tells_load,
        seed,
    }
}

/// How long a backend takes to replace its connections: a mean life of them, or its warm-up if that
/// is longer.
fn turnover(scenario: &Scenario) -> Duration {
    let rows = || scenario.listeners.iter().map(|row| row.get_ref());
    let shares: f64 = rows().map(|row| row.share).sum();
    let mean = rows()
        .map(|row| row.life.0 * (row.share / shares))
        .fold(Duration::ZERO, |sum, part| sum + part);
    mean.max(scenario.fleet.warm_up.0)
}

/// The settings of the relays.
pub(super) fn fleet_config(scenario: &Scenario) -> FleetConfig {
    let (fleet, relays) = (&scenario.fleet, &scenario.relays);
    let listeners = scenario
        .listeners
        .iter()
        .map(|row| row.get_ref())
        .map(|row| ListenerConfig {
            name: row.name.clone(),
            answer_timeout: row.wait.0,
            handshake_target: row.handshake_target.0,
            message_target: row.message_target.0,
            idempotency: idempotency(row),
            priority_weight: row.utility,
        });
    FleetConfig {
        zones: fleet.zones.clone(),
        listeners: listeners.collect(),
        connect_timeout: relays.connect_time.0,
        max_attempts: relays.most_dials,
        max_retry_after: relays.retry_after.map(|longest| longest.0),
        health_checks: relays.probes,
        groups: scenario.traffic.groups.is_some(),
        reports_load: fleet.tells_load,
        warm_up_initial_share: fleet.cold_share,
        warm_up: fleet.warm_up.0,
        warm_up_overload_factor: fleet.cold_factor,
        warm_up_overload_window: fleet.cold_window.0,
        memory_mb: relays.memory_mb,
        sockets: relays.sockets,
        hedging: relays.two_dials,
        peers: relays.peers,
    }
}
