//! The plan of a run: all arrivals and actions with their times, computed from a scenario and a
//! seed. The same scenario and seed give the same plan for every target. This module does no I/O.
mod action;
mod fault_actions;
mod link_actions;
mod selection;
mod testbed_config;

pub(crate) use action::{Action, ScheduledAction};
pub(crate) use testbed_config::client_distribution;

use crate::scenario::{FaultTable, Scenario};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::cluster_invariants::ClusterLimits;
use thistlecroft_testbed::invariant_checker::DeploymentProperties;
use thistlecroft_testbed::relay_process::FleetConfig;
use thistlecroft_testbed::simulated_backends::BackendPlan;
use thistlecroft_testbed::traffic::{Arrival, Burst, Traffic, draw_arrivals};

/// The plan time of the first arrivals, which leaves time to set everything up.
pub(crate) const PLAN_START: Instant = Instant::from_micros(500_000);

/// Makes the random draws for faults independent of those for clients.
const FAULT_SEED: u64 = 0x5ca1_ab1e;

/// The time over which a burst of clients is spread if the scenario gives none.
const DEFAULT_BURST: Duration = Duration::from_millis(1_000);

/// A fault as it is marked in a report's charts.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FaultMark {
    pub(crate) name: String,
    pub(crate) from: Instant,
    pub(crate) to: Option<Instant>,
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) traffic: Traffic,
    pub(crate) arrivals: Vec<Arrival>,
    /// The actions, sorted by time.
    pub(crate) actions: Vec<ScheduledAction>,
    pub(crate) marks: Vec<FaultMark>,
    pub(crate) backends: BackendPlan,
    pub(crate) fleet_config: FleetConfig,
    pub(crate) deployment: DeploymentProperties,
    pub(crate) cluster_limits: ClusterLimits,
    /// The end of arrivals.
    pub(crate) end: Instant,
}

impl Plan {
    /// Computes the plan of a scenario for a seed.
    pub(crate) fn new(scenario: &Scenario, seed: u64) -> Plan {
        let mut rng = Rng::from_seed(seed ^ FAULT_SEED);
        let end = PLAN_START + scenario.length.0;
        let mut actions: Vec<ScheduledAction> = Vec::new();
        let mut marks = Vec::new();
        let mut bursts = Vec::new();
        for fault in &scenario.faults {
            let fault = fault.get_ref();
            marks.push(mark(fault));
            if fault.kind == "rush" {
                bursts.push(burst(fault));
            } else {
                actions.extend(fault_actions::actions_of(fault, scenario, &mut rng));
            }
        }
        actions.sort_by_key(|scheduled| scheduled.at);
        let traffic = testbed_config::traffic(scenario, bursts);
        let arrivals = draw_arrivals(&traffic, end, seed);
        let backends = testbed_config::backends(scenario, seed);
        Plan {
            seed,
            traffic,
            arrivals,
            actions,
            marks,
            deployment: deployment_properties(scenario, &backends),
            backends,
            fleet_config: testbed_config::fleet_config(scenario),
            cluster_limits: cluster_limits(scenario),
            end,
        }
    }
}

fn burst(fault: &FaultTable) -> Burst {
    Burst {
        begin: PLAN_START + fault.at.0,
        clients: fault.clients.unwrap_or_default(),
        duration: fault.spread_over.map_or(DEFAULT_BURST, |over| over.0),
    }
}

fn mark(fault: &FaultTable) -> FaultMark {
    let from = PLAN_START + fault.at.0;
    let duration = if fault.kind == "rush" {
        Some(burst(fault).duration)
    } else {
        let duration = fault.duration.or(fault.spread_over).or(fault.restart_after);
        duration.map(|duration| duration.0)
    };
    FaultMark {
        name: fault.kind.clone(),
        from,
        to: duration.map(|duration| from + duration),
    }
}

fn deployment_properties(scenario: &Scenario, backends: &BackendPlan) -> DeploymentProperties {
    let listeners = scenario.listeners.iter();
    let specs = backends.backends.iter();
    DeploymentProperties {
        idempotency: listeners
            .map(|listener| testbed_config::idempotency(listener.get_ref()))
            .collect(),
        hedged: vec![scenario.relays.hedging; scenario.listeners.len()],
        drain_grace: scenario.fleet.drain_grace.0,
        backend_locations: specs.map(|spec| (spec.zone.clone(), spec.cell)).collect(),
    }
}

fn cluster_limits(scenario: &Scenario) -> ClusterLimits {
    let limits = &scenario.cluster_limits;
    let max_excess_time = limits.max_excess_time.map_or(Duration::ZERO, |time| time.0);
    ClusterLimits {
        max_sessions: limits.max_sessions.map(|max| (max, max_excess_time)),
        max_attempts_per_second: limits.max_attempts_per_second,
        ban_replication_time: limits.ban_replication_time.map(|time| time.0),
        allows_takeover: false,
        requires_consistent_membership: limits.requires_consistent_membership,
    }
}

#[cfg(test)]
mod tests;
