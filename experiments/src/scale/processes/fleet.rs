//! The processes of a fleet: starts them, sends commands, waits for answers and measures.
use super::super::config::{MAX_SEEDS, ScaleConfig};
use super::super::error::ScaleError;
use super::super::layout::{Layout, Role};
use super::super::meter::Traffic;
use super::super::outcome::{Convergence, Phase};
use super::super::ownership_observer::Holding;
use super::super::protocol::{Answer, Command};
use super::super::real_relays::RealRelays;
use super::super::{Programs, Progress};
use super::costs::PhaseCost;
use super::hollow_process::{HollowProcess, NumberedAnswer};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const CONVERGENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout for the fleet to converge, in probe periods.
const CONVERGENCE_TIMEOUT_PERIODS: f64 = 240.0;

pub(super) struct Fleet<'a> {
    config: &'a ScaleConfig,
    pub(super) layout: Layout,
    pub(super) processes: Vec<HollowProcess>,
    answers: Receiver<NumberedAnswer>,
    phase_began: Instant,
    pub(super) phases: Vec<Phase>,
    pub(super) costs: Vec<PhaseCost>,
    pub(super) real_relays: Option<RealRelays>,
}

impl<'a> Fleet<'a> {
    pub(super) fn start(
        config: &'a ScaleConfig,
        programs: &Programs,
    ) -> Result<Fleet<'a>, ScaleError> {
        let layout = config.layout();
        let (sender, answers) = channel();
        let mut processes = Vec::new();
        for (number, members) in members_by_process(config, layout).into_iter().enumerate() {
            let process = HollowProcess::spawn(number, &programs.hollow, members, &sender)?;
            processes.push(process);
        }
        let mut fleet = Fleet {
            config,
            layout,
            processes,
            answers,
            phase_began: Instant::now(),
            phases: Vec::new(),
            costs: Vec::new(),
            real_relays: None,
        };
        let addresses = fleet.bind()?;
        for process in &mut fleet.processes {
            process.record_empty_memory();
        }
        fleet.begin_phase();
        let seeds: Vec<SocketAddr> = addresses.into_iter().take(MAX_SEEDS).collect();
        fleet.send_all(&Command::Start {
            seeds: seeds.clone(),
        })?;
        if config.real_relays > 0 {
            fleet.real_relays = Some(RealRelays::start(config, &seeds, &programs.relay)?);
        }
        Ok(fleet)
    }

    /// Returns the number of members, hollow and real.
    pub(super) fn size(&self) -> usize {
        self.layout.size() + self.config.real_relays
    }

    /// Opens the sockets of all hollow members and returns their addresses in order.
    fn bind(&mut self) -> Result<Vec<SocketAddr>, ScaleError> {
        for process in &mut self.processes {
            let command = Command::Bind {
                config: Box::new(self.config.clone()),
                members: process.members.clone(),
            };
            process.send(&command)?;
        }
        let mut bound = vec![Vec::new(); self.processes.len()];
        self.collect(|number, answer| match answer {
            Answer::Bound { addresses } => {
                bound[number] = addresses;
                true
            }
            _ => false,
        })?;
        Ok(bound.into_iter().flatten().collect())
    }

    fn send_all(&mut self, command: &Command) -> Result<(), ScaleError> {
        self.processes
            .iter_mut()
            .try_for_each(|process| process.send(command))
    }

    /// Waits until each process has sent an answer for which `accept` returns true. Statuses that
    /// arrive meanwhile are saved.
    fn collect(&mut self, mut accept: impl FnMut(usize, Answer) -> bool) -> Result<(), ScaleError> {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let mut missing = self.processes.len();
        while missing > 0 {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok((number, answer)) = self.answers.recv_timeout(remaining) else {
                return Err(ScaleError::NoAnswer(missing));
            };
            if let Some(answer) = self.save_status(number, answer)? {
                missing -= usize::from(accept(number, answer));
            }
        }
        Ok(())
    }

    /// Saves a status, for which it returns `None`. Returns `Failed` as an error and any other
    /// answer unchanged.
    fn save_status(&mut self, number: usize, answer: Answer) -> Result<Option<Answer>, ScaleError> {
        match answer {
            Answer::Status(status) => {
                self.processes[number].status = status;
                Ok(None)
            }
            Answer::Failed { reason } => Err(ScaleError::ProcessFailed {
                process: number,
                reason,
            }),
            other => Ok(Some(other)),
        }
    }

    /// Saves the statuses that arrive before the deadline.
    fn receive_until(&mut self, deadline: Instant) -> Result<(), ScaleError> {
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.answers.recv_timeout(remaining) {
                Ok((number, answer)) => drop(self.save_status(number, answer)?),
                Err(RecvTimeoutError::Timeout) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => return Err(ScaleError::AllProcessesExited),
            }
        }
    }

    pub(super) fn owned_subjects(&self) -> usize {
        let processes = self.processes.iter();
        processes.map(|process| process.status.owned).sum()
    }

    /// Returns whether `size` members are alive and each sees exactly these.
    fn is_consistent(&self, size: usize) -> bool {
        let active = || {
            let statuses = self.processes.iter().map(|process| process.status);
            statuses.filter(|status| status.live_members > 0)
        };
        let live_members: usize = active().map(|status| status.live_members).sum();
        live_members + self.config.real_relays == size
            && active().all(|status| status.sees_least == size && status.sees_most == size)
    }

    pub(super) fn run_for(
        &mut self,
        time: Duration,
        progress: Progress<'_>,
    ) -> Result<(), ScaleError> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.receive_until(until.min(Instant::now() + PROGRESS_INTERVAL))?;
            self.real_relays.iter().for_each(RealRelays::keep_leases);
            progress(&format!("{} subjects owned", self.owned_subjects()));
        }
        Ok(())
    }

    /// Waits until all members see each other and all subjects are owned, or until the timeout.
    pub(super) fn converge(
        &mut self,
        size: usize,
        progress: Progress<'_>,
    ) -> Result<Convergence, ScaleError> {
        let began = Instant::now();
        let mut last_progress = began;
        let timeout = self.config.period_ms as f64 * CONVERGENCE_TIMEOUT_PERIODS;
        let timeout = Duration::from_millis(timeout as u64);
        let mut converged = Convergence::default();
        while converged.members_s.is_none() || converged.owned_s.is_none() {
            self.receive_until(Instant::now() + CONVERGENCE_CHECK_INTERVAL)?;
            let elapsed = began.elapsed().as_secs_f64();
            if self.is_consistent(size) {
                converged.members_s = converged.members_s.or(Some(elapsed));
            }
            let all_owned = self.owned_subjects() == self.config.subjects;
            converged.owned_s = all_owned.then(|| converged.owned_s.unwrap_or(elapsed));
            if last_progress.elapsed() > PROGRESS_INTERVAL {
                last_progress = Instant::now();
                progress(&self.convergence_line(elapsed, size));
            }
            if began.elapsed() > timeout {
                break;
            }
        }
        Ok(converged)
    }

    fn convergence_line(&self, elapsed: f64, size: usize) -> String {
        let statuses = self.processes.iter().map(|process| process.status);
        let active = statuses.filter(|status| status.live_members > 0);
        let least = active.map(|status| status.sees_least).min().unwrap_or(0);
        let owned = self.owned_subjects();
        format!(
            "{elapsed:.0} s: each member sees {least} or more of {size}, {owned} subjects owned"
        )
    }

    /// Kills these members, without a message to the others.
    pub(super) fn kill(&mut self, members: &[usize]) -> Result<(), ScaleError> {
        self.send_all(&Command::Kill {
            members: members.to_vec(),
        })?;
        for process in &mut self.processes {
            let is_killed = |member| members.contains(member);
            if process.members.iter().all(is_killed) {
                process.clear_status();
            }
        }
        Ok(())
    }

    fn begin_phase(&mut self) {
        for process in &mut self.processes {
            process.begin_phase();
        }
        self.phase_began = Instant::now();
    }

    /// Ends the phase, records its traffic and costs, and begins the next.
    pub(super) fn end_phase(
        &mut self,
        name: &str,
        converged: Option<Convergence>,
    ) -> Result<(), ScaleError> {
        let seconds = self.phase_began.elapsed().as_secs_f64();
        let cost = PhaseCost::new(&self.processes, self.layout, seconds);
        self.send_all(&Command::Measure)?;
        let layout = self.layout;
        let mut traffic_by_role: Vec<(Role, Traffic)> = Vec::new();
        self.collect(|_, answer| match answer {
            Answer::Measured { traffic } => {
                let traffic = traffic.into_iter();
                traffic_by_role
                    .extend(traffic.map(|(member, traffic)| (layout.role(member), traffic)));
                true
            }
            _ => false,
        })?;
        let phase = Phase::new(name, seconds, &traffic_by_role, converged);
        self.phases.push(phase);
        self.costs.push(cost);
        self.begin_phase();
        Ok(())
    }

    pub(super) fn stop(&mut self) -> Result<Vec<Holding>, ScaleError> {
        self.send_all(&Command::Stop)?;
        let mut all = Vec::new();
        self.collect(|_, answer| match answer {
            Answer::Ended { holdings } => {
                all.extend(holdings);
                true
            }
            _ => false,
        })?;
        Ok(all)
    }
}

/// Returns the members of each process: a process for each voter, then groups of relays.
fn members_by_process(config: &ScaleConfig, layout: Layout) -> Vec<Vec<usize>> {
    let relays: Vec<usize> = (config.voters..layout.size()).collect();
    let mut groups: Vec<Vec<usize>> = (0..config.voters).map(|voter| vec![voter]).collect();
    groups.extend(
        relays
            .chunks(config.relays_per_process)
            .map(<[usize]>::to_vec),
    );
    groups
}
