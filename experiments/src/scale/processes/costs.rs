//! The CPU usage and the memory of the processes in each phase.
use super::super::layout::{Layout, Role};
use super::super::outcome::Cost;
use super::hollow_process::HollowProcess;

const BYTES_PER_MB: f64 = 1e6;

/// The cost of one member of a role.
#[derive(Clone, Copy, Default)]
struct RoleCost {
    cpu_percent: f64,
    memory_mb: f64,
}

/// The costs of one phase: the highest of all voters, and the mean of all hollow relays.
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

    fn of_role(&self, role: Role) -> RoleCost {
        match role {
            Role::Voter => self.voter,
            Role::Relay => self.relay,
        }
    }

    /// Returns a role's cost in this phase, the calm one, with its highest CPU usage of `phases`.
    pub(super) fn with_worst(&self, role: Role, phases: &[PhaseCost]) -> Cost {
        let calm = self.of_role(role);
        let cpu = phases.iter().map(|phase| phase.of_role(role).cpu_percent);
        Cost {
            cpu_percent: calm.cpu_percent,
            worst_cpu_percent: cpu.fold(0.0, f64::max),
            memory_mb: calm.memory_mb,
        }
    }
}
