//! A run over processes of hollow relays on loopback, in real time: starts them, injects the fault,
//! waits for the fleet to agree and measures. All are ended when it returns.
use super::config::{Fault, Layout, Role, SEEDS, ScaleConfig};
use super::meter::Traffic;
use super::outcome::{Convergence, Cost, Outcome, Phase};
use super::protocol::{Answer, Command, Status};
use super::real::{RealFigures, RealRelays};
use super::witness::{epochs_not_grown, two_owners};
use super::{Programs, Progress};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use thistlecroft_testbed::relay_process::process_cost;

const ANSWER_WITHIN: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(50);
/// The longest that a state is waited for, in periods, and what is known of the last change goes
/// round in.
const PATIENCE: f64 = 240.0;
const SETTLE: f64 = 20.0;
/// And so many more for each member.
const SETTLE_EACH: f64 = 0.25;

/// One process, and the members that it plays.
struct Worker {
    child: Child,
    input: ChildStdin,
    members: Vec<usize>,
    status: Status,
    /// Its memory before it played anybody, in bytes.
    empty: u64,
    cpu: Duration,
}

impl Drop for Worker {
    fn drop(&mut self) {
        // One that has ended by itself is gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a process costs in a phase, each of those that it plays.
#[derive(Clone, Copy, Default)]
struct PhaseCost {
    cpu_percent: [f64; 2],
    memory_mb: [f64; 2],
}

struct Fleet<'a> {
    config: &'a ScaleConfig,
    layout: Layout,
    workers: Vec<Worker>,
    answers: Receiver<(usize, Answer)>,
    phase_began: Instant,
    phases: Vec<Phase>,
    costs: Vec<PhaseCost>,
    lost: Vec<usize>,
    real: Option<RealRelays>,
}

pub fn run(
    config: &ScaleConfig,
    programs: &Programs,
    progress: Progress<'_>,
) -> Result<Outcome, String> {
    let began = Instant::now();
    let mut fleet = Fleet::start(config, programs)?;
    let size = fleet.layout.size() + config.real;
    let started = fleet.converge(size, progress)?;
    fleet.measure("start", Some(started))?;
    fleet.pass(
        Duration::from_millis(
            (config.period_ms as f64 * (SETTLE + SETTLE_EACH * size as f64)) as u64,
        ),
        progress,
    )?;
    fleet.measure("settle", None)?;
    fleet.real.iter_mut().for_each(RealRelays::begin);
    fleet.pass(Duration::from_secs(config.calm_s), progress)?;
    let real: Option<RealFigures> = fleet.real.as_ref().map(RealRelays::figures);
    fleet.measure("calm", None)?;
    let calm = fleet.costs.last().copied().unwrap_or_default();
    if config.fault != Fault::None {
        fleet.kill(fleet.layout.lost_by(config.fault))?;
        let after = fleet.converge(size - fleet.lost.len(), progress)?;
        fleet.measure("fault", Some(after))?;
    }
    let late_ms = fleet
        .workers
        .iter()
        .map(|worker| worker.status.late_us)
        .max()
        .unwrap_or(0) as f64
        / 1e3;
    let owned_at_end = fleet.workers.iter().map(|worker| worker.status.owned).sum();
    let worst = |role: usize| {
        fleet
            .costs
            .iter()
            .map(|one| one.cpu_percent[role])
            .fold(0.0, f64::max)
    };
    let cost = |role: usize| {
        let (cpu_percent, memory_mb) = (calm.cpu_percent[role], calm.memory_mb[role]);
        Cost {
            cpu_percent,
            worst_cpu_percent: worst(role),
            memory_mb,
        }
    };
    let (voter, relay) = (cost(0), cost(1));
    let holdings = fleet.stop()?;
    Ok(Outcome {
        config: config.clone(),
        phases: std::mem::take(&mut fleet.phases),
        relay: Some(relay),
        voter: Some(voter),
        real,
        two_owners: two_owners(&holdings),
        epochs_not_grown: epochs_not_grown(&holdings),
        holdings: holdings.len(),
        owned_at_end,
        late_ms: Some(late_ms),
        took_s: began.elapsed().as_secs_f64(),
    })
}

fn spawn(
    number: usize,
    program: &[String],
    members: Vec<usize>,
    to: &Sender<(usize, Answer)>,
) -> Result<Worker, String> {
    let said = |fault: std::io::Error| format!("a process of hollow relays: {fault}");
    let (name, arguments) = program
        .split_first()
        .ok_or("no program to run as hollow relays")?;
    let mut command = std::process::Command::new(name);
    command
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped());
    let mut child = command.spawn().map_err(said)?;
    let (input, output) = (child.stdin.take(), child.stdout.take());
    let (Some(input), Some(output)) = (input, output) else {
        return Err("no pipes to a process".into());
    };
    let to = to.clone();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let Ok(answer) = serde_json::from_str(&line) else {
                break;
            };
            if to.send((number, answer)).is_err() {
                break;
            }
        }
    });
    Ok(Worker {
        child,
        input,
        members,
        status: Status::default(),
        empty: 0,
        cpu: Duration::ZERO,
    })
}

impl<'a> Fleet<'a> {
    fn start(config: &'a ScaleConfig, programs: &Programs) -> Result<Fleet<'a>, String> {
        let layout = config.layout();
        let (sender, answers) = channel();
        let mut groups: Vec<Vec<usize>> = (0..config.voters).map(|voter| vec![voter]).collect();
        let relays: Vec<usize> = (config.voters..layout.size()).collect();
        groups.extend(relays.chunks(config.each_process).map(<[usize]>::to_vec));
        let mut workers = Vec::new();
        for (number, members) in groups.into_iter().enumerate() {
            workers.push(spawn(number, &programs.hollow, members, &sender)?);
        }
        let (phases, costs, lost) = (Vec::new(), Vec::new(), Vec::new());
        let phase_began = Instant::now();
        let real = None;
        let mut fleet = Fleet {
            config,
            layout,
            workers,
            answers,
            phase_began,
            phases,
            costs,
            lost,
            real,
        };
        let addresses = fleet.bind()?;
        fleet.note_costs();
        for worker in &mut fleet.workers {
            worker.empty = process_cost(worker.child.id()).map_or(0, |(_, memory)| memory);
        }
        fleet.phase_began = Instant::now();
        let seeds: Vec<SocketAddr> = addresses.into_iter().take(SEEDS).collect();
        fleet.tell_all(&Command::Start {
            seeds: seeds.clone(),
        })?;
        if config.real > 0 {
            fleet.real = Some(RealRelays::start(config, &seeds, &programs.relay)?);
        }
        Ok(fleet)
    }

    /// The addresses of all members, in order.
    fn bind(&mut self) -> Result<Vec<SocketAddr>, String> {
        for number in 0..self.workers.len() {
            let config = Box::new(self.config.clone());
            let members = self.workers[number].members.clone();
            self.tell(number, &Command::Bind { config, members })?;
        }
        let mut bound = vec![Vec::new(); self.workers.len()];
        self.collect(|number, answer| match answer {
            Answer::Bound { addresses } => {
                bound[number] = addresses;
                true
            }
            _ => false,
        })?;
        Ok(bound.into_iter().flatten().collect())
    }

    fn tell(&mut self, number: usize, command: &Command) -> Result<(), String> {
        let line = serde_json::to_string(command).map_err(|fault| fault.to_string())?;
        let input = &mut self.workers[number].input;
        writeln!(input, "{line}")
            .map_err(|fault| format!("process {number} of hollow relays: {fault}"))
    }

    fn tell_all(&mut self, command: &Command) -> Result<(), String> {
        (0..self.workers.len()).try_for_each(|number| self.tell(number, command))
    }

    /// One answer of each process, as `take` says which counts; what else comes is noted.
    fn collect(&mut self, mut take: impl FnMut(usize, Answer) -> bool) -> Result<(), String> {
        let until = Instant::now() + ANSWER_WITHIN;
        let mut missing = self.workers.len();
        while missing > 0 {
            let left = until.saturating_duration_since(Instant::now());
            match self.answers.recv_timeout(left) {
                Ok((number, Answer::Status(status))) => self.workers[number].status = status,
                Ok((number, Answer::Failed { why })) => {
                    return Err(format!("process {number}: {why}"));
                }
                Ok((number, answer)) => missing -= usize::from(take(number, answer)),
                Err(_) => {
                    return Err(format!(
                        "{missing} processes of hollow relays do not answer"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Takes what has come until then.
    fn listen(&mut self, until: Instant) -> Result<(), String> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.answers.recv_timeout(left) {
                Ok((number, Answer::Status(status))) => self.workers[number].status = status,
                Ok((number, Answer::Failed { why })) => {
                    return Err(format!("process {number}: {why}"));
                }
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => {
                    return Err("all processes have ended".into());
                }
            }
        }
    }

    fn owned(&self) -> usize {
        self.workers.iter().map(|worker| worker.status.owned).sum()
    }

    fn agree(&self, size: usize) -> bool {
        let playing = || {
            self.workers
                .iter()
                .map(|worker| worker.status)
                .filter(|status| status.living > 0)
        };
        let living: usize = playing().map(|status| status.living).sum();
        living + self.config.real == size
            && playing().all(|status| status.sees_least == size && status.sees_most == size)
    }

    fn pass(&mut self, span: Duration, progress: Progress<'_>) -> Result<(), String> {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.listen(until.min(Instant::now() + Duration::from_secs(5)))?;
            self.real.iter().for_each(RealRelays::keep_leases);
            progress(&format!("{} subjects owned", self.owned()));
        }
        Ok(())
    }

    fn converge(&mut self, size: usize, progress: Progress<'_>) -> Result<Convergence, String> {
        let (began, mut told) = (Instant::now(), Instant::now());
        let patience = Duration::from_millis((self.config.period_ms as f64 * PATIENCE) as u64);
        let mut found = Convergence::default();
        while found.members_s.is_none() || found.owned_s.is_none() {
            self.listen(Instant::now() + LOOK)?;
            let passed = began.elapsed().as_secs_f64();
            if self.agree(size) {
                found.members_s = found.members_s.or(Some(passed));
            }
            found.owned_s = match self.owned() == self.config.subjects {
                true => found.owned_s.or(Some(passed)),
                false => None,
            };
            if told.elapsed() > Duration::from_secs(5) {
                told = Instant::now();
                let least = self
                    .workers
                    .iter()
                    .filter(|one| one.status.living > 0)
                    .map(|one| one.status.sees_least);
                let least = least.min().unwrap_or(0);
                progress(&format!(
                    "{passed:.0} s: each sees {least} or more of {size}, {} owned",
                    self.owned()
                ));
            }
            if began.elapsed() > patience {
                break;
            }
        }
        Ok(found)
    }

    fn kill(&mut self, members: Vec<usize>) -> Result<(), String> {
        self.tell_all(&Command::Kill {
            members: members.clone(),
        })?;
        for worker in &mut self.workers {
            if worker.members.iter().all(|member| members.contains(member)) {
                worker.status = Status {
                    late_us: worker.status.late_us,
                    ..Status::default()
                };
            }
        }
        self.lost = members;
        Ok(())
    }

    /// Ends a phase.
    fn measure(&mut self, name: &str, converged: Option<Convergence>) -> Result<(), String> {
        let seconds = self.phase_began.elapsed().as_secs_f64();
        let cost = self.costs_since(seconds);
        self.tell_all(&Command::Measure)?;
        let (mut all, layout): (Vec<(Role, Traffic)>, Layout) = (Vec::new(), self.layout);
        self.collect(|_, answer| match answer {
            Answer::Measured { traffic } => {
                all.extend(
                    traffic
                        .into_iter()
                        .map(|(member, traffic)| (layout.role(member), traffic)),
                );
                true
            }
            _ => false,
        })?;
        self.phases.push(Phase::new(name, seconds, &all, converged));
        self.costs.push(cost);
        self.note_costs();
        self.phase_began = Instant::now();
        Ok(())
    }

    fn note_costs(&mut self) {
        for worker in &mut self.workers {
            if let Some((cpu, _)) = process_cost(worker.child.id()) {
                worker.cpu = Duration::from_micros(cpu.as_micros());
            }
        }
    }

    /// Of the voter that costs most, and of a relay in the mean.
    fn costs_since(&self, seconds: f64) -> PhaseCost {
        let mut cost = PhaseCost::default();
        let (mut cpu, mut memory, mut relays) = (0.0, 0.0, 0);
        for worker in &self.workers {
            let Some((spent, resident)) = process_cost(worker.child.id()) else {
                continue;
            };
            let spent = Duration::from_micros(spent.as_micros())
                .saturating_sub(worker.cpu)
                .as_secs_f64()
                / seconds
                * 100.0;
            let resident = resident.saturating_sub(worker.empty) as f64 / 1e6;
            if self.layout.role(worker.members[0]) == Role::Voter {
                cost.cpu_percent[0] = f64::max(cost.cpu_percent[0], spent);
                cost.memory_mb[0] = f64::max(cost.memory_mb[0], resident);
            } else {
                (cpu, memory, relays) = (
                    cpu + spent,
                    memory + resident,
                    relays + worker.members.len(),
                );
            }
        }
        let relays = relays.max(1) as f64;
        (cost.cpu_percent[1], cost.memory_mb[1]) = (cpu / relays, memory / relays);
        cost
    }

    fn stop(&mut self) -> Result<Vec<super::Holding>, String> {
        self.tell_all(&Command::Stop)?;
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
