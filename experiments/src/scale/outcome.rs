//! The outcome of a run, and its JSON form.
use super::config::ScaleConfig;
use super::layout::Role;
use super::meter::{RoleTraffic, Traffic};
use super::real_relays::RealFigures;
use serde::Serialize;

/// Seconds until the fleet reached a state; `None` if it did not before the timeout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Convergence {
    /// Until every live member saw exactly the live members that it could reach.
    pub members_s: Option<f64>,
    /// Until every subject had a live owner.
    pub owned_s: Option<f64>,
}

/// A phase of the run, with the traffic of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Phase {
    /// Name of the phase.
    pub name: String,
    /// Duration in seconds.
    pub seconds: f64,
    /// Traffic of the relays.
    pub relay: RoleTraffic,
    /// Traffic of the voters.
    pub voter: RoleTraffic,
    /// Time until the fleet converged; `None` in phases that don't wait for it.
    pub converged: Option<Convergence>,
}

impl Phase {
    /// Creates a phase from the roles and the traffic of its members.
    pub fn new(
        name: &str,
        seconds: f64,
        members: &[(Role, Traffic)],
        converged: Option<Convergence>,
    ) -> Phase {
        let (relay, voter) = (
            RoleTraffic::new(members, Role::Relay),
            RoleTraffic::new(members, Role::Voter),
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

/// The cost of one member of a role. Simulated runs don't measure it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// CPU usage while the fleet was calm, in percent of a core.
    pub cpu_percent: f64,
    /// CPU usage in the phase in which it was highest, in percent of a core.
    pub worst_cpu_percent: f64,
    /// Memory while the fleet was calm, in megabytes.
    pub memory_mb: f64,
}

/// The outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The configuration of the run.
    pub config: ScaleConfig,
    /// The phases of the run, in their order.
    pub phases: Vec<Phase>,
    /// Cost of a relay.
    pub relay: Option<Cost>,
    /// Cost of a voter.
    pub voter: Option<Cost>,
    /// Measurements of the real relays while the fleet was calm.
    #[serde(rename = "real")]
    pub real_relays: Option<RealFigures>,
    /// Pairs of holdings of one subject by two members that overlap in time.
    pub two_owners: usize,
    /// Holdings whose epoch is not above that of the previous holding of the subject.
    pub epochs_not_grown: usize,
    /// Number of holdings that were observed.
    pub holdings: usize,
    /// Number of subjects owned at the end.
    pub owned_at_end: usize,
    /// Longest delay of a timer in a process of hollow relays, in milliseconds. Above a tenth of
    /// the probe period the machine is too slow for the run. `None` over simulated links.
    pub late_ms: Option<f64>,
    /// Duration of the run in seconds of real time.
    pub took_s: f64,
}

impl Outcome {
    /// Returns the first phase with this name.
    pub fn phase(&self, name: &str) -> Option<&Phase> {
        self.phases.iter().find(|phase| phase.name == name)
    }

    /// Returns the outcome as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("an outcome can be encoded as JSON")
    }
}
