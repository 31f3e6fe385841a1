//! Connections to backends: a session's dials, and probes.
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::{LineBuffer, OutputBuffer, ReadOutcome};
use crate::protocol::{self, AttemptFailure, AttemptProgress, Cause};
use crate::sockets::{Connection, SocketOwner};
use crate::timers::Timer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft::ids::BackendId;
use thistlecroft::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    Connecting,
    Sending,
    Waiting,
    Standing,
}

/// One dial of a session and the connection that came of it.
pub struct Attempt {
    /// As the decisions count the session's dials.
    pub number: u32,
    /// Never the same for two dials of a session.
    pub serial: u32,
    pub backend: BackendId,
    pub sock: Connection,
    pub stage: AttemptStage,
    line: OutputBuffer,
    connect_by: Instant,
    give_up_at: Instant,
}

pub struct AttemptPlan {
    pub number: u32,
    pub serial: u32,
    pub backend: BackendId,
    pub address: Option<SocketAddr>,
    pub line: String,
    pub connect_within: Duration,
    pub give_up_after: Duration,
}

impl Attempt {
    pub fn begin(
        session: u32,
        plan: AttemptPlan,
        works: &mut IoContext,
    ) -> Result<Attempt, AttemptFailure> {
        let failed = |cause| AttemptFailure {
            reach: AttemptProgress::Nothing,
            cause,
        };
        let address = plan.address.ok_or(failed(Cause::Broken))?;
        let sock = works
            .sockets
            .connect(SocketOwner::Attempt(session), address)
            .map_err(|fault| {
                // Refused at once is the backend's doing; no descriptor or port left is ours.
                let theirs = fault.kind() == std::io::ErrorKind::ConnectionRefused;
                failed(if theirs { Cause::Broken } else { Cause::Ours })
            })?;
        let (connect_by, give_up_at) = (
            works.now + plan.connect_within,
            works.now + plan.give_up_after,
        );
        let alarm = Timer::Attempt(session, plan.serial);
        works.alarms.set(connect_by.min(give_up_at), alarm);
        works.alarms.set(give_up_at, alarm);
        let mut line = OutputBuffer::default();
        line.add(&plan.line);
        let AttemptPlan {
            number,
            serial,
            backend,
            ..
        } = plan;
        Ok(Attempt {
            number,
            serial,
            backend,
            sock,
            stage: AttemptStage::Connecting,
            line,
            connect_by,
            give_up_at,
        })
    }

    /// One that another process of this relay made.
    pub fn standing(backend: BackendId, sock: Connection, now: Instant) -> Attempt {
        let (stage, line) = (AttemptStage::Standing, OutputBuffer::default());
        Attempt {
            number: 0,
            serial: 0,
            backend,
            sock,
            stage,
            line,
            connect_by: now,
            give_up_at: now,
        }
    }

    pub fn failed(&self, cause: Cause) -> AttemptFailure {
        let reach = match self.stage {
            AttemptStage::Connecting => AttemptProgress::Nothing,
            AttemptStage::Sending => AttemptProgress::Connected,
            AttemptStage::Waiting | AttemptStage::Standing => AttemptProgress::Sent,
        };
        AttemptFailure { reach, cause }
    }

    /// Nothing of its line has left: given up now it has never been.
    pub fn is_unsent(&self) -> bool {
        match self.stage {
            AttemptStage::Connecting => true,
            AttemptStage::Sending => !self.line.is_begun(),
            AttemptStage::Waiting | AttemptStage::Standing => false,
        }
    }

    /// Goes on with coming up and sending.
    pub fn advance(&mut self) -> Result<(), AttemptFailure> {
        if self.stage == AttemptStage::Connecting {
            match self.sock.is_up() {
                Ok(true) => self.stage = AttemptStage::Sending,
                Ok(false) => return Ok(()),
                Err(_) => return Err(self.failed(Cause::Broken)),
            }
        }
        if self.stage == AttemptStage::Sending {
            match self.line.give(&mut self.sock) {
                Ok(true) => self.stage = AttemptStage::Waiting,
                Ok(false) => {}
                Err(_) => return Err(self.failed(Cause::Broken)),
            }
        }
        Ok(())
    }

    pub fn overdue(&self, now: Instant) -> bool {
        match self.stage {
            AttemptStage::Connecting => now >= self.connect_by.min(self.give_up_at),
            AttemptStage::Sending | AttemptStage::Waiting => now >= self.give_up_at,
            AttemptStage::Standing => false,
        }
    }
}

enum ProbeState {
    Connecting,
    Asking,
    Idle,
}

/// One connection for probes. It is used again while it stays open: a new one costs the backend
/// several times what the answer does.
struct Probe {
    sock: Connection,
    state: ProbeState,
    words: OutputBuffer,
    answer: LineBuffer,
    serial: u32,
    asked: Instant,
    /// It had answered before it was asked this.
    again: bool,
}

pub struct HealthChecks {
    open: BTreeMap<BackendId, Probe>,
    serial: u32,
    /// Half for coming up, half for the answer.
    within: Duration,
    idle: Duration,
}

impl HealthChecks {
    pub fn new(connect_timeout: Duration, idle: Duration) -> HealthChecks {
        HealthChecks {
            open: BTreeMap::new(),
            serial: 0,
            within: connect_timeout * 2.0,
            idle,
        }
    }

    /// Other times, for the probes from now on.
    pub fn resettle(&mut self, connect_timeout: Duration, idle: Duration) {
        (self.within, self.idle) = (connect_timeout * 2.0, idle);
    }

    pub fn ask(&mut self, id: BackendId, address: Option<SocketAddr>, works: &mut IoContext) {
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        if let Some(probe) = self.open.get_mut(&id) {
            if !matches!(probe.state, ProbeState::Idle) {
                return;
            }
            probe.words.add(protocol::ASK_LOAD);
            (probe.serial, probe.asked, probe.state) = (serial, works.now, ProbeState::Asking);
            probe.again = true;
            probe.sock.want(true, true);
        } else {
            let Some(address) = address else { return };
            let Ok(mut sock) = works
                .sockets
                .connect(SocketOwner::HealthCheck(id.0), address)
            else {
                works.counters.probes += 1;
                works.counters.probes_failed += 1;
                works.news.push_back(Event::HealthChecked(
                    id,
                    AttemptOutcome::Unreachable,
                    LoadReport::default(),
                ));
                return;
            };
            sock.want(true, true);
            let mut words = OutputBuffer::default();
            words.add(protocol::ASK_LOAD);
            let (state, answer, asked) = (ProbeState::Connecting, LineBuffer::default(), works.now);
            self.open.insert(
                id,
                Probe {
                    sock,
                    state,
                    words,
                    answer,
                    serial,
                    asked,
                    again: false,
                },
            );
        }
        works.counters.probes += 1;
        works
            .alarms
            .set(works.now + self.within, Timer::HealthCheck(id, serial));
    }

    pub fn event(
        &mut self,
        id: BackendId,
        key: usize,
        address: Option<SocketAddr>,
        works: &mut IoContext,
    ) {
        let Some(probe) = self.open.get_mut(&id).filter(|probe| probe.sock.is(key)) else {
            return;
        };
        match probe.go_on(works) {
            Ok(None) => {}
            Ok(Some((verdict, report))) => {
                probe.state = ProbeState::Idle;
                probe.sock.want(true, false);
                works
                    .alarms
                    .set(works.now + self.idle, Timer::HealthCheck(id, probe.serial));
                if verdict != AttemptOutcome::Ok {
                    works.counters.probes_failed += 1;
                }
                works
                    .news
                    .push_back(Event::HealthChecked(id, verdict, report));
            }
            Err(AttemptOutcome::Reset) if probe.again && !probe.answer.has_bytes() => {
                // Closed as idle in the moment in which it was used again: that tells nothing of
                // its backend.
                self.open.remove(&id);
                self.ask(id, address, works);
            }
            Err(verdict) => self.end(id, verdict, works),
        }
    }

    fn end(&mut self, id: BackendId, verdict: AttemptOutcome, works: &mut IoContext) {
        let Some(mut probe) = self.open.remove(&id) else {
            return;
        };
        probe.answer.clear(&mut works.pool);
        if !matches!(probe.state, ProbeState::Idle) {
            works.counters.probes_failed += 1;
            works
                .news
                .push_back(Event::HealthChecked(id, verdict, LoadReport::default()));
        }
    }

    pub fn alarm(&mut self, id: BackendId, serial: u32, works: &mut IoContext) {
        let Some(probe) = self.open.get(&id).filter(|probe| probe.serial == serial) else {
            return;
        };
        let waited = works.now.duration_since(probe.asked);
        match probe.state {
            ProbeState::Idle if waited < self.idle => {}
            ProbeState::Connecting => self.end(id, AttemptOutcome::Unreachable, works),
            ProbeState::Asking | ProbeState::Idle => self.end(id, AttemptOutcome::TimedOut, works),
        }
    }
}

impl Probe {
    fn go_on(
        &mut self,
        works: &mut IoContext,
    ) -> Result<Option<(AttemptOutcome, LoadReport)>, AttemptOutcome> {
        if let ProbeState::Connecting = self.state {
            match self.sock.is_up() {
                Ok(true) => self.state = ProbeState::Asking,
                Ok(false) => return Ok(None),
                Err(_) => return Err(AttemptOutcome::Unreachable),
            }
        }
        if self.words.waits()
            && self
                .words
                .give(&mut self.sock)
                .map_err(|_| AttemptOutcome::Reset)?
        {
            self.sock.want(true, false);
        }
        let took = self
            .answer
            .take(&mut self.sock, &mut works.pool)
            .map_err(|_| AttemptOutcome::Reset)?;
        let line = match self.answer.next_line() {
            Ok(Some(line)) => Some(protocol::probe_line(line)),
            Ok(None) if took == ReadOutcome::End => return Err(AttemptOutcome::Reset),
            Ok(None) => return Ok(None),
            Err(_) => return Err(AttemptOutcome::Error),
        };
        self.answer.clear(&mut works.pool);
        Ok(line.filter(|_| matches!(self.state, ProbeState::Asking)))
    }
}
