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
    /// Its name.
    pub name: String,
    /// How long it lasted.
    pub seconds: f64,
    /// Of all relays.
    pub relay: RoleTraffic,
    /// Of all voters.
    pub voter: RoleTraffic,
    /// When the fleet had agreed, where that was waited for.
    pub converged: Option<Convergence>,
}

impl Phase {
    /// A phase from the traffic of its processes.
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
    /// Of a core.
    pub cpu_percent: f64,
    /// In the phase in which it was highest.
    pub worst_cpu_percent: f64,
    /// Megabytes.
    pub memory_mb: f64,
}

/// What a run has shown.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What was run.
    pub config: ScaleConfig,
    /// The parts of the run in their order.
    pub phases: Vec<Phase>,
    /// What a relay costs.
    pub relay: Option<Cost>,
    /// What a voter costs.
    pub voter: Option<Cost>,
    /// Of real relays in the fleet, in calm.
    #[serde(rename = "real")]
    pub real_relays: Option<RealFigures>,
    /// Pairs of holdings of one subject by two at once.
    pub two_owners: usize,
    /// Holdings whose epoch did not grow.
    pub epochs_not_grown: usize,
    /// Holdings seen.
    pub holdings: usize,
    /// Subjects owned at the end.
    pub owned_at_end: usize,
    /// By how much a hollow process was behind its timers at worst: above a tenth of a period the
    /// machine is too slow.
    pub late_ms: Option<f64>,
    /// Seconds of real time.
    pub took_s: f64,
}

impl Outcome {
    /// The phase of that name.
    pub fn phase(&self, name: &str) -> Option<&Phase> {
        self.phases.iter().find(|phase| phase.name == name)
    }

    /// All figures as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("an outcome is plain values")
    }
}
