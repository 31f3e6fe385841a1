//! A process of hollow relays, which share one thread and one event loop.
mod hollow_relay;

use super::config::ScaleConfig;
use super::error::ScaleError;
use super::meter::Traffic;
use super::ownership_observer::OwnershipObserver;
use super::protocol::{Answer, Command, Status};
use hollow_relay::HollowRelay;
use polling::{Event, Events, Poller};
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use thistlecroft::time::{Duration, Instant};

/// Time between two reports of the process's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
const SECOND: Duration = Duration::from_millis(1_000);

/// Returns the time on the monotonic clock, which all processes of the machine share.
fn now() -> Instant {
    let time = clock_gettime(ClockId::Monotonic);
    Instant::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Runs hollow relays as commands on standard input direct, until `Stop` or the end of the input.
///
/// # Errors
/// Returns an error if a system call fails.
pub fn run_worker() -> Result<(), ScaleError> {
    let poller = Arc::new(Poller::new()?);
    let commands = read_commands(poller.clone());
    let mut worker = Worker {
        poller,
        config: None,
        bound: Vec::new(),
        relays: Vec::new(),
        observer: OwnershipObserver::default(),
        max_delay: Duration::ZERO,
        next_status: now(),
        next_second: now(),
    };
    let result = worker.serve(&commands);
    if let Err(error) = &result {
        send_answer(&Answer::Failed {
            reason: error.to_string(),
        });
    }
    Ok(result?)
}

/// Reads commands on a separate thread, because not every platform can wait for standard input and
/// sockets together.
fn read_commands(poller: Arc<Poller>) -> Receiver<Command> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str(&line) else {
                break;
            };
            if sender.send(command).is_err() {
                break;
            }
            let _ = poller.notify();
        }
        drop(sender);
        let _ = poller.notify();
    });
    receiver
}

fn send_answer(answer: &Answer) {
    let line = serde_json::to_string(answer).expect("an answer can be encoded as JSON");
    let mut out = io::stdout().lock();
    // A write fails only if the run has ended; this process then ends with its input.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

struct Worker {
    poller: Arc<Poller>,
    config: Option<ScaleConfig>,
    /// Members that have not started yet, with their sockets.
    bound: Vec<(usize, UdpSocket)>,
    relays: Vec<HollowRelay>,
    observer: OwnershipObserver,
    /// Longest delay of a timer so far.
    max_delay: Duration,
    next_status: Instant,
    next_second: Instant,
}

impl Worker {
    fn serve(&mut self, commands: &Receiver<Command>) -> io::Result<()> {
        let mut events = Events::new();
        loop {
            loop {
                match commands.try_recv() {
                    Ok(Command::Stop) => return self.end(),
                    Ok(command) => self.execute(command)?,
                    Err(std::sync::mpsc::TryRecvError::Empty) => break,
                    Err(std::sync::mpsc::TryRecvError::Disconnected) => return Ok(()),
                }
            }
            let timeout =
                std::time::Duration::from_micros(self.due().duration_since(now()).as_micros());
            events.clear();
            self.poller.wait(&mut events, Some(timeout))?;
            let ready: BTreeSet<usize> = events.iter().map(|event| event.key).collect();
            for member in ready {
                self.read(member)?;
            }
            self.run_due();
        }
    }

    fn due(&self) -> Instant {
        let own = self.next_status.min(self.next_second);
        self.relays
            .iter()
            .map(|relay| relay.due)
            .fold(own, Instant::min)
    }

    fn read(&mut self, member: usize) -> io::Result<()> {
        let Some(relay) = self.relays.iter_mut().find(|relay| relay.member == member) else {
            return Ok(());
        };
        relay.read();
        self.poller.modify(&relay.socket, Event::readable(member))
    }

    fn run_due(&mut self) {
        let at = now();
        for relay in self.relays.iter_mut().filter(|relay| relay.due <= at) {
            self.max_delay = self.max_delay.max(at.duration_since(relay.due));
            relay.run_due(now());
        }
        if self.next_second <= at {
            self.next_second = self.next_second.max(at - SECOND) + SECOND;
            for relay in &mut self.relays {
                relay.meter.record_second(&relay.node.counts);
            }
        }
        if self.next_status <= at {
            self.next_status = at + STATUS_INTERVAL;
            self.report_status();
        }
    }

    fn report_status(&mut self) {
        if self.relays.is_empty() {
            return;
        }
        let mut status = Status {
            live_members: self.relays.len(),
            sees_least: usize::MAX,
            ..Status::default()
        };
        for relay in &mut self.relays {
            relay.update_assignment();
            let sees = relay.node.fleet_size();
            (status.sees_least, status.sees_most) =
                (status.sees_least.min(sees), status.sees_most.max(sees));
            let at = now();
            status.owned += relay.holdings(at).count();
            self.observer.observe(relay.member, relay.holdings(at), at);
        }
        status.late_us = self.max_delay.as_micros();
        send_answer(&Answer::Status(status));
    }

    fn execute(&mut self, command: Command) -> io::Result<()> {
        match command {
            Command::Bind { config, members } => {
                for member in members {
                    let socket = UdpSocket::bind("127.0.0.1:0")?;
                    socket.set_nonblocking(true)?;
                    self.bound.push((member, socket));
                }
                self.config = Some(*config);
                let addresses = self.bound.iter().map(|(_, socket)| socket.local_addr());
                send_answer(&Answer::Bound {
                    addresses: addresses.collect::<io::Result<_>>()?,
                });
            }
            Command::Start { seeds } => {
                let Some(config) = &self.config else {
                    return Ok(());
                };
                for (member, socket) in self.bound.drain(..) {
                    // SAFETY: `kill` removes the socket from the poller before it is closed.
                    unsafe { self.poller.add(&socket, Event::readable(member))? };
                    self.relays
                        .push(HollowRelay::new(config, member, socket, seeds.clone())?);
                }
                (self.next_status, self.next_second) = (now(), now() + SECOND);
            }
            Command::Kill { members } => self.kill(&members)?,
            Command::Measure => {
                let traffic: Vec<(usize, Traffic)> = self
                    .relays
                    .iter_mut()
                    .map(|relay| (relay.member, relay.meter.take_phase()))
                    .collect();
                send_answer(&Answer::Measured { traffic });
            }
            Command::Stop => {}
        }
        Ok(())
    }

    fn kill(&mut self, members: &[usize]) -> io::Result<()> {
        for relay in self
            .relays
            .iter()
            .filter(|relay| members.contains(&relay.member))
        {
            self.poller.delete(&relay.socket)?;
        }
        self.relays.retain(|relay| !members.contains(&relay.member));
        Ok(())
    }

    fn end(&mut self) -> io::Result<()> {
        let all: Vec<usize> = self.relays.iter().map(|relay| relay.member).collect();
        self.kill(&all)?;
        send_answer(&Answer::Ended {
            holdings: std::mem::take(&mut self.observer).into_holdings(),
        });
        Ok(())
    }
}
