//! What processes cost in each phase.
use super::super::layout::{Layout, Role};
use super::super::outcome::Cost;
use super::hollow_process::HollowProcess;

const BYTES_PER_MB: f64 = 1e6;

/// What one member of a role costs.
#[derive(Clone, Copy, Default)]
struct RoleCost {
    cpu_percent: f64,
    memory_mb: f64,
}

/// The costs of one phase: of the voter that costs most, and of a relay in the mean.
#[derive(Clone, Copy, Default)]
pub(super) struct PhaseCost {
    voter: RoleCost,
    relay: RoleCost,
}

impl PhaseCost {
    pub(super) fn new(processes: &[HollowProcess], layout: Layout, seconds: f64) -> PhaseCost {
        let mut voter = RoleCost::default();
        let mut relays = RoleCost::default();
        let mut relay_count = 0;
        for process in processes {
            let Some(cost) = process.cost() else {
                continue;
            };
            let cpu_percent = cost.cpu.as_secs_f64() / seconds * 100.0;
            let memory_mb = cost.memory_bytes as f64 / BYTES_PER_MB;
            if layout.role(process.members[0]) == Role::Voter {
                voter.cpu_percent = voter.cpu_percent.max(cpu_percent);
                voter.memory_mb = voter.memory_mb.max(memory_mb);
            } else {
                relays.cpu_percent += cpu_percent;
                relays.memory_mb += memory_mb;
                relay_count += process.members.len();
            }
        }
        let relay_count = relay_count.max(1) as f64;
        PhaseCost {
            voter,
            relay: RoleCost {
                cpu_percent: relays.cpu_percent / relay_count,
                memory_mb: relays.memory_mb / relay_count,
            },
        }
    }

    fn of(&self, role: Role) -> RoleCost {
        match role {
            Role::Voter => self.voter,
            Role::Relay => self.relay,
        }
    }

    /// A role's cost in calm, with its worst phase of all.
    pub(super) fn with_worst(&self, role: Role, phases: &[PhaseCost]) -> Cost {
        let calm = self.of(role);
        let cpu = phases.iter().map(|phase| phase.of(role).cpu_percent);
        Cost {
            cpu_percent: calm.cpu_percent,
            worst_cpu_percent: cpu.fold(0.0, f64::max),
            memory_mb: calm.memory_mb,
        }
    }
}
