//! What a run has shown, as a table and as JSON.
use super::config::ScaleConfig;
use super::layout::Role;
use super::meter::{RoleTraffic, Traffic};
use super::real_relays::RealFigures;
use serde::Serialize;

/// Seconds until a state was reached; `None` where it was not within the time that was waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Convergence {
    /// Each that lives sees exactly those that live and that it can reach.
    pub members_s: Option<f64>,
    /// Every subject has an owner that lives.
    pub owned_s: Option<f64>,
}

/// A part of the run, with what the fleet sent in it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Phase {
    pub name: String,
    pub seconds: f64,
    pub relay: RoleTraffic,
    pub voter: RoleTraffic,
    pub converged: Option<Convergence>,
}

impl Phase {
    pub fn new(
        name: &str,
        seconds: f64,
        all: &[(Role, Traffic)],
        converged: Option<Convergence>,
    ) -> Phase {
        let (relay, voter) = (
            RoleTraffic::new(all, Role::Relay),
            RoleTraffic::new(all, Role::Voter),
        );
        Phase {
            name: name.into(),
            seconds,
            relay,
            voter,
            converged,
        }
    }
}

/// Of one process of a role, in calm. Simulated runs have none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    pub cpu_percent: f64,
    /// In the phase in which it was highest.
    pub worst_cpu_percent: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub config: ScaleConfig,
    pub phases: Vec<Phase>,
    pub relay: Option<Cost>,
    pub voter: Option<Cost>,
    /// Of real relays in the fleet, in calm.
    pub real: Option<RealFigures>,
    /// Pairs of holdings of one subject by two at once, and holdings whose epoch did not grow.
    pub two_owners: usize,
    pub epochs_not_grown: usize,
    pub holdings: usize,
    pub owned_at_end: usize,
    /// By how much a hollow process was behind its timers at worst: above a tenth of a period the
    /// machine is too slow.
    pub late_ms: Option<f64>,
    pub took_s: f64,
}

impl Outcome {
    pub fn phase(&self, name: &str) -> Option<&Phase> {
        self.phases.iter().find(|phase| phase.name == name)
    }

    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("an outcome is plain values")
    }
}
