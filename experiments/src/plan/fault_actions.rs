//! Translates a fault of a scenario into actions.
use super::PLAN_START;
use super::action::{Action, Schedule, ScheduledAction};
use super::link_actions;
use super::selection::{select_backends, select_relays};
use crate::scenario::duration_text::DurationText;
use crate::scenario::{FaultTable, Scenario};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::event_recorder::{BackendIndex, RelayIndex};
use thistlecroft_testbed::load_generator::{LoadCommand, Misbehavior};
use thistlecroft_testbed::simulated_backends::{AgentFault, BackendCommand, BackendFault};

/// The shortest time between two reloads of a relay.
const MIN_RELOAD_INTERVAL: Duration = Duration::from_millis(1);

/// Returns the duration of an optional key, zero if the key is missing.
pub(super) fn duration_or_zero(time: Option<DurationText>) -> Duration {
    time.map_or(Duration::ZERO, |time| time.0)
}

/// A fault with its times on the plan's clock, and the actions that it consists of.
struct FaultActions<'a> {
    fault: &'a FaultTable,
    begin: Instant,
    /// `None` if the fault lasts until the end of the run.
    end: Option<Instant>,
    /// The time over which the fault's actions are spread.
    spread_over: Duration,
    restart_after: Option<Duration>,
    schedule: Schedule,
}

/// Returns the actions of a fault. They are not sorted by time.
pub(super) fn actions_of(
    fault: &FaultTable,
    scenario: &Scenario,
    rng: &mut Rng,
) -> Vec<ScheduledAction> {
    let begin = PLAN_START + fault.at.0;
    let backends = select_backends(&fault.backends, scenario.fleet.backends, rng);
    let relays = select_relays(&fault.relays, scenario.relays.count, rng);
    let mut actions = FaultActions {
        fault,
        begin,
        end: fault.duration.map(|duration| begin + duration.0),
        spread_over: duration_or_zero(fault.spread_over),
        restart_after: fault.restart_after.map(|delay| delay.0),
        schedule: Schedule::default(),
    };
    for &backend in &backends {
        actions.add_backend(backend);
    }
    for &relay in &relays {
        let position = relays.iter().position(|other| *other == relay);
        let share = position.unwrap_or(0) as f64 / relays.len() as f64;
        actions.add_relay(relay, share, &backends);
    }
    link_actions::add(fault, scenario, &relays, rng, &mut actions.schedule);
    actions.add_clients();
    actions.schedule.0
}

impl FaultActions<'_> {
    /// Adds an action at a time of the plan.
    fn add(&mut self, at: Instant, action: Action) {
        self.schedule.add(at, action);
    }

    /// Adds the actions on one backend.
    fn add_backend(&mut self, backend: BackendIndex) {
        if let Some(backend_fault) = backend_fault(self.fault) {
            let inject = BackendCommand::InjectFault(backend, backend_fault);
            self.add(self.begin, Action::Backends(inject));
            if let Some(end) = self.end {
                self.add(end, Action::Backends(BackendCommand::ClearFault(backend)));
            }
            return;
        }
        let start = Action::Backends(BackendCommand::Start(backend));
        match self.fault.kind.as_str() {
            "crash" => {
                let crash = BackendCommand::Crash(backend, self.restart_after);
                self.add(self.begin, Action::Backends(crash));
            }
            "drain" => {
                let drain = BackendCommand::Drain(backend, self.spread_over);
                self.add(self.begin, Action::Backends(drain));
                if let Some(restart_after) = self.restart_after {
                    self.add(self.begin + self.spread_over + restart_after, start);
                }
            }
            "ban" => {}
            _ => self.add(self.begin, start),
        }
    }

    /// Adds the actions on one relay. `share` is the share of the fault's relays that precede this
    /// one, for faults that affect relays one after another.
    fn add_relay(&mut self, relay: RelayIndex, share: f64, backends: &[BackendIndex]) {
        if let Some(agent_fault) = agent_fault(self.fault) {
            self.add_agent_fault(relay, agent_fault);
            return;
        }
        let begin = self.begin;
        let end = self.end.unwrap_or(begin);
        let own_time = begin + self.spread_over * share;
        match self.fault.kind.as_str() {
            "upgrade" => self.add(begin, Action::HotRestart(relay)),
            "ban" => {
                for &backend in backends {
                    self.add(begin, Action::Ban(relay, backend));
                    self.add(end, Action::Unban(relay, backend));
                }
            }
            "relay-paused" => {
                self.add(begin, Action::Pause(relay));
                self.add(end, Action::Resume(relay));
            }
            "partition" => {}
            "relay-joins" => self.add(own_time, Action::Start(relay)),
            "relay-leaves" => self.add(own_time, Action::Leave(relay)),
            "relay-killed" => self.add(begin, Action::Kill(relay, self.restart_after)),
            "relay-replaced" => {
                let restart_after = self.restart_after.unwrap_or(Duration::ZERO);
                self.add(begin, Action::Stop(relay, Some(restart_after)));
            }
            "reload" => self.add_repeated(&Action::Reload(relay)),
            _ => self.add_repeated(&Action::SwapOperatorConfig(relay)),
        }
    }

    fn add_agent_fault(&mut self, relay: RelayIndex, fault: AgentFault) {
        let command = |on| Action::Backends(BackendCommand::SetAgentFault(relay, fault, on));
        self.add(self.begin, command(true));
        if let Some(end) = self.end {
            self.add(end, command(false));
        }
    }

    /// Adds `action` once in each interval while the fault lasts.
    fn add_repeated(&mut self, action: &Action) {
        let interval = duration_or_zero(self.fault.interval).max(MIN_RELOAD_INTERVAL);
        let mut at = self.begin;
        while self.end.is_some_and(|end| at < end) {
            self.add(at, action.clone());
            at = at + interval;
        }
    }

    /// Adds the actions on clients, if the fault has any.
    fn add_clients(&mut self) {
        let clients = self.fault.clients.unwrap_or_default();
        let kind = &self.fault.kind;
        if kind == "clients-drop" {
            let drop = LoadCommand::DropConnections(clients, self.spread_over);
            self.add(self.begin, Action::Load(drop));
        } else if let Some((behavior, _)) = Misbehavior::ALL.iter().find(|(_, name)| name == kind) {
            self.add(
                self.begin,
                Action::Load(LoadCommand::AddMisbehaving(*behavior, clients)),
            );
        }
    }
}

fn backend_fault(fault: &FaultTable) -> Option<BackendFault> {
    let periodic_pause = || {
        BackendFault::PeriodicPause(
            duration_or_zero(fault.interval),
            duration_or_zero(fault.pause),
        )
    };
    Some(match fault.kind.as_str() {
        "silent" => BackendFault::Unreachable,
        "freeze" => BackendFault::Frozen,
        "mute" => BackendFault::Unresponsive,
        "slow" => BackendFault::Slow(fault.slowdown.unwrap_or(1.0)),
        "pauses" => periodic_pause(),
        "errors" => BackendFault::ErrorRate(fault.error_share.unwrap_or(1.0)),
        "reset-before" => BackendFault::ResetOnAccept,
        "reset-after" => BackendFault::ResetOnRequest,
        "half-answer" => BackendFault::PartialAnswer,
        "never-closes" => BackendFault::NeverCloses,
        "drops-young" => BackendFault::ResetAfterSetup,
        _ => return None,
    })
}

fn agent_fault(fault: &FaultTable) -> Option<AgentFault> {
    Some(match fault.kind.as_str() {
        "discovery-silent" => AgentFault::Silent,
        "discovery-down" => AgentFault::Unavailable,
        "discovery-stale" => AgentFault::Stale,
        "discovery-restart" => AgentFault::StateLost,
        "discovery-malformed" => AgentFault::Malformed,
        _ => return None,
    })
}
