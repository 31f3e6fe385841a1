//! Executes the actions of a plan at their times.
use super::managed_relay::ManagedRelay;
use super::{Progress, Recorded};
use crate::plan::{Action, Plan};
use crate::scenario::Scenario;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::clock::{Stopwatch, to_std};
use thistlecroft_testbed::event_loop::EventLoop;
use thistlecroft_testbed::event_recorder::{
    EventLog, EventRecorder, Observation, RecordedEvent, RelayIndex,
};
use thistlecroft_testbed::load_generator::{ALL_CLIENTS_GONE, LoadCommand, LoadGenerator};
use thistlecroft_testbed::relay_network::{NetworkCommand, OpenedNetwork};
use thistlecroft_testbed::relay_observer::RelayObserver;
use thistlecroft_testbed::relay_process::RelayProcess;
use thistlecroft_testbed::simulated_backends::OpenedBackends;

/// The interval at which the plan is checked for due actions.
const STEP: std::time::Duration = std::time::Duration::from_millis(10);
/// The interval between measurements of the relays' costs.
const MEASURE_INTERVAL: Duration = Duration::from_millis(500);
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time that a relay has to shut down before it is killed, besides the longest answer timeout
/// of a client.
const STOP_GRACE: Duration = Duration::from_millis(1_000);
/// The longest answer timeout for which a relay is given time to shut down; a longer one counts as
/// this.
const MAX_ANSWER_TIMEOUT_AT_STOP: Duration = Duration::from_millis(3_000);
/// The time that clients have to leave at the end, besides the longest answer timeout.
const CLIENTS_LEAVE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(8);

/// A run in progress.
pub(super) struct Director<'a> {
    pub(super) plan: &'a Plan,
    pub(super) scenario: &'a Scenario,
    pub(super) folder: &'a Path,
    pub(super) clock: Stopwatch,
    pub(super) recorder: EventRecorder,
    pub(super) log: EventLog,
    pub(super) backends: OpenedBackends,
    pub(super) load_generators: Vec<EventLoop<LoadGenerator>>,
    pub(super) relays: Vec<ManagedRelay>,
    pub(super) network: Option<OpenedNetwork>,
    pub(super) observers: Vec<RelayObserver>,
    /// Delayed consequences of actions, ordered by due time.
    pub(super) follow_ups: BTreeMap<(Instant, usize), FollowUp>,
    pub(super) follow_up_serial: usize,
    pub(super) crashes: usize,
    /// The number of events that the progress includes.
    pub(super) events_seen: usize,
    pub(super) progress: Progress,
}

/// A delayed consequence of an action.
pub(super) enum FollowUp {
    /// Starts or stops sending clients to a relay.
    SetEndpointEnabled(usize, bool),
    StartRelay(usize),
}

impl Director<'_> {
    pub(super) fn record(&self, observation: Observation) {
        self.recorder.record(self.clock.now(), observation);
    }

    /// Counts a failure of a relay and records it as a note.
    pub(super) fn record_failure(&mut self, text: String) {
        self.crashes += 1;
        self.record(Observation::Note { text });
    }

    pub(super) fn schedule(&mut self, after: Duration, follow_up: FollowUp) {
        self.follow_up_serial += 1;
        let due = self.clock.now() + after;
        self.follow_ups
            .insert((due, self.follow_up_serial), follow_up);
    }

    /// Executes the plan to its end; returns false if it was stopped before.
    pub(super) fn execute(
        &mut self,
        stop: &AtomicBool,
        on_progress: &mut dyn FnMut(&Progress),
    ) -> bool {
        let begin = self.clock.now();
        let mut actions = self.plan.actions.iter().peekable();
        let mut marks = self.plan.marks.iter().peekable();
        let (mut last_measured, mut last_progress) = (begin, begin);
        let is_complete = loop {
            let now = self.clock.now();
            let plan_time = Instant::default() + now.duration_since(begin);
            if stop.load(Ordering::Relaxed) {
                break false;
            }
            if plan_time >= self.plan.end {
                break true;
            }
            while let Some(mark) = marks.next_if(|mark| mark.from <= plan_time) {
                self.progress.new_faults.push(mark.name.clone());
            }
            while let Some(scheduled) = actions.next_if(|scheduled| scheduled.at <= plan_time) {
                self.execute_action(&scheduled.action);
            }
            self.execute_follow_ups(now);
            self.check_relays(now);
            if now.duration_since(last_measured) >= MEASURE_INTERVAL {
                last_measured = now;
                self.record_costs();
            }
            if now.duration_since(last_progress) >= PROGRESS_INTERVAL {
                last_progress = now;
                self.update_progress(plan_time.duration_since(Instant::default()));
                on_progress(&self.progress);
                self.progress.new_faults.clear();
            }
            std::thread::sleep(STEP);
        };
        self.record_costs();
        is_complete
    }

    fn execute_action(&mut self, action: &Action) {
        match action {
            Action::Backends(command) => self.backends.event_loop.command(command.clone()),
            Action::Load(command) => self.command_load(command),
            Action::Links { links, fault, name } => {
                if let Some(network) = &self.network {
                    let command = NetworkCommand::SetLinkFault(links.clone(), *fault, name);
                    network.event_loop.command(command);
                }
            }
            relay_action => self.execute_relay_action(relay_action),
        }
    }

    /// Sends a command to each thread of the load generator, with that thread's share of the
    /// clients.
    fn command_load(&self, command: &LoadCommand) {
        let threads = self.load_generators.len();
        for (thread, load_generator) in self.load_generators.iter().enumerate() {
            let share = |count: usize| count / threads + usize::from(thread < count % threads);
            load_generator.command(match command {
                LoadCommand::DropConnections(count, over) => {
                    LoadCommand::DropConnections(share(*count), *over)
                }
                LoadCommand::AddMisbehaving(misbehavior, count) => {
                    LoadCommand::AddMisbehaving(*misbehavior, share(*count))
                }
                other => other.clone(),
            });
        }
    }

    fn execute_follow_ups(&mut self, now: Instant) {
        while let Some(entry) = self.follow_ups.first_entry() {
            if entry.key().0 > now {
                break;
            }
            match entry.remove() {
                FollowUp::SetEndpointEnabled(relay, enabled) => {
                    let command = LoadCommand::SetEndpointEnabled(relay, enabled);
                    for load_generator in &self.load_generators {
                        load_generator.command(command.clone());
                    }
                }
                FollowUp::StartRelay(number) => self.start_relay(number),
            }
        }
    }

    /// Records the CPU time and resident memory of each running relay.
    fn record_costs(&mut self) {
        for (number, relay) in (0..).zip(&self.relays) {
            let cost = relay.process.as_ref().and_then(RelayProcess::cost);
            if let Some((cpu_time, resident_bytes)) = cost {
                self.record(Observation::RelayCost {
                    relay: RelayIndex(number),
                    cpu_time,
                    resident_bytes,
                });
            }
        }
        self.log.receive();
    }

    fn update_progress(&mut self, elapsed: Duration) {
        self.log.receive();
        let events = &self.log.events;
        self.progress.elapsed = elapsed;
        self.progress.add_events(&events[self.events_seen..]);
        self.progress.count_established(events);
        self.events_seen = events.len();
        let running = self.relays.iter().filter(|relay| relay.process.is_some());
        self.progress.relays = running.count();
    }

    fn longest_answer_timeout(&self) -> Duration {
        let profiles = self.plan.traffic.profiles.iter();
        let timeouts = profiles.map(|profile| profile.answer_timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the time that a relay has to shut down.
    fn stop_timeout(&self) -> Duration {
        self.longest_answer_timeout()
            .min(MAX_ANSWER_TIMEOUT_AT_STOP)
            + STOP_GRACE
    }

    pub(super) fn stop_deadline(&self) -> Instant {
        self.clock.now() + self.stop_timeout()
    }

    /// Ends all clients, shuts the relays down and returns the recorded events and totals.
    pub(super) fn close(mut self) -> Recorded {
        for load_generator in &self.load_generators {
            load_generator.command(LoadCommand::Finish);
        }
        // Closed first, so that no observer queries a relay that shuts down.
        self.observers.clear();
        self.wait_for_clients();
        let stop_timeout = self.stop_timeout();
        for relay in &self.relays {
            relay.process.iter().for_each(RelayProcess::request_stop);
        }
        for number in 0..self.relays.len() {
            let Some(process) = &mut self.relays[number].process else {
                continue;
            };
            let status = process.wait_for_exit(stop_timeout);
            if !status.is_some_and(|status| status.success()) {
                self.record_failure(format!(
                    "relay {number} did not shut down cleanly at the end of the run"
                ));
            }
        }
        let load_generators = self.load_generators.into_iter();
        Recorded {
            load_totals: load_generators.map(EventLoop::close).collect(),
            backend_totals: self.backends.event_loop.close(),
            events: self.log.into_sorted(),
            crashes: self.crashes,
        }
    }

    fn wait_for_clients(&mut self) {
        let is_gone = |event: &&RecordedEvent| matches!(&event.observation, Observation::Note { text } if text == ALL_CLIENTS_GONE);
        let threads = self.load_generators.len();
        let timeout = to_std(self.longest_answer_timeout()) + CLIENTS_LEAVE_TIMEOUT;
        let all_gone = self.log.wait_until(timeout, |events| {
            events.iter().rev().filter(is_gone).count() == threads
        });
        if !all_gone {
            let text = "some clients were still connected at the end of the run".into();
            self.record(Observation::Note { text });
        }
    }
}
