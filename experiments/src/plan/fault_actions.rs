//! The actions that a fault of a scenario consists of.
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

/// The time of a key, zero where it is not stated.
pub(super) fn duration_or_zero(time: Option<DurationText>) -> Duration {
    time.map_or(Duration::ZERO, |time| time.0)
}

/// A fault with its times on the plan's clock.
struct FaultActions<'a> {
    fault: &'a FaultTable,
    begin: Instant,
    /// None where it lasts to the run's end.
    end: Option<Instant>,
    /// The time over which it is spread.
    over: Duration,
    back_after: Option<Duration>,
    schedule: Schedule,
}

/// The actions of a fault in the order in which they are worked out, not of their times.
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
        end: fault.duration.map(|lasts| begin + lasts.0),
        over: duration_or_zero(fault.spread_over),
        back_after: fault.restart_after.map(|back| back.0),
        schedule: Schedule::default(),
    };
    for &backend in &backends {
        actions.add_backend(backend);
    }
    for &relay in &relays {
        let place = relays.iter().position(|other| *other == relay);
        let share = place.unwrap_or(0) as f64 / relays.len() as f64;
        actions.add_relay(relay, share, &backends);
    }
    link_actions::add(fault, scenario, &relays, rng, &mut actions.schedule);
    actions.add_clients();
    actions.schedule.0
}

impl FaultActions<'_> {
    fn add(&mut self, at: Instant, action: Action) {
        self.schedule.add(at, action);
    }

    fn add_backend(&mut self, backend: BackendIndex) {
        if let Some(backend_fault) = backend_fault(self.fault) {
            let begins = BackendCommand::InjectFault(backend, backend_fault);
            self.add(self.begin, Action::Backends(begins));
            if let Some(end) = self.end {
                self.add(end, Action::Backends(BackendCommand::ClearFault(backend)));
            }
            return;
        }
        let join = Action::Backends(BackendCommand::Start(backend));
        match self.fault.kind.as_str() {
            "crash" => {
                let crash = BackendCommand::Crash(backend, self.back_after);
                self.add(self.begin, Action::Backends(crash));
            }
            "drain" => {
                let drain = BackendCommand::Drain(backend, self.over);
                self.add(self.begin, Action::Backends(drain));
                if let Some(back_after) = self.back_after {
                    self.add(self.begin + self.over + back_after, join);
                }
            }
            "ban" => {}
            _ => self.add(self.begin, join),
        }
    }

    /// `share`: the part of the relays that come before this one, for faults that befall one after
    /// the other.
    fn add_relay(&mut self, relay: RelayIndex, share: f64, backends: &[BackendIndex]) {
        if let Some(agent_fault) = agent_fault(self.fault) {
            self.add_agent_fault(relay, agent_fault);
            return;
        }
        let begin = self.begin;
        let end = self.end.unwrap_or(begin);
        let own_time = begin + self.over * share;
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
            "relay-killed" => self.add(begin, Action::Kill(relay, self.back_after)),
            "relay-replaced" => {
                let back_after = self.back_after.unwrap_or(Duration::ZERO);
                self.add(begin, Action::Stop(relay, Some(back_after)));
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

    /// Again and again while the fault lasts.
    fn add_repeated(&mut self, action: &Action) {
        let interval = duration_or_zero(self.fault.interval).max(MIN_RELOAD_INTERVAL);
        let mut at = self.begin;
        while self.end.is_some_and(|end| at < end) {
            self.add(at, action.clone());
            at = at + interval;
        }
    }

    fn add_clients(&mut self) {
        let clients = self.fault.clients.unwrap_or_default();
        let what = &self.fault.kind;
        if what == "clients-drop" {
            let drop = LoadCommand::DropConnections(clients, self.over);
            self.add(self.begin, Action::Load(drop));
        } else if let Some((rude, _)) = Misbehavior::ALL.iter().find(|(_, name)| name == what) {
            self.add(
                self.begin,
                Action::Load(LoadCommand::AddMisbehaving(*rude, clients)),
            );
        }
    }
}

fn backend_fault(fault: &FaultTable) -> Option<BackendFault> {
    let pausing = || {
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
        "pauses" => pausing(),
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
