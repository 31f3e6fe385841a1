//! One session.
use super::shared::Idle;
use super::stage::Stage;
use crate::io_context::IoContext;
use crate::line_buffer::{LineBuffer, OutputBuffer};
use crate::protocol::OpenRequest;
use crate::sockets::Connection;
use crate::timers::Timer;
use crate::upstream::{Attempt, AttemptStage};
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft::ids::SessionId;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_operator_config::SessionTimeouts;

/// From its connecting, for all that a client says before its `OPEN` is read whole: an answer or an
/// end is owed within three seconds, and a connection that says nothing holds a descriptor that
/// others need. With 2.7 s nobody more was served on crowded days (docs/results.md).
pub(super) const FIRST_LINE: Duration = Duration::from_millis(2_000);

/// One accepted late has at least this, to be read at all.
pub(super) const FIRST_LINE_LEAST: Duration = Duration::from_millis(200);

pub(super) struct Session {
    pub(super) id: u32,
    pub(super) stage: Stage,
    pub(super) client: Connection,
    pub(super) open: Option<Box<OpenRequest>>,
    /// What the next process needs to know of it.
    pub(super) about: Option<Box<About>>,
    /// What its route says, and by which reading of the file.
    pub(super) front: Option<SessionTimeouts>,
    pub(super) generation: Option<u32>,
    pub(super) dial: Option<Attempt>,
    /// Out beside the first, until one of them is up.
    pub(super) other: Option<Box<Other>>,
    pub(super) dials: u32,
    pub(super) serial: u32,
    /// From the client to its backend, and back.
    pub(super) up: LineBuffer,
    pub(super) down: LineBuffer,
    /// What the relay itself says to the client, behind the lines that wait in `down`.
    pub(super) words: OutputBuffer,
    pub(super) began: Instant,
    /// When the client last said anything.
    pub(super) heard: Instant,
    /// Its id, as long as no other connection may have the same.
    pub(super) claimed: Option<u64>,
    /// It has been up: cutting it off would lose what is still on its way.
    pub(super) stood: bool,
    /// When the first client line without a line back came.
    pub(super) asked: Option<Instant>,
    pub(super) watched: bool,
    /// How long its messages take as its backend told it last.
    pub(super) told_delay: Duration,
    /// The backend's last word, and whether the decisions have been told of the end.
    pub(super) said: Option<(AttemptOutcome, LoadReport)>,
    pub(super) end_told: bool,
    pub(super) up_shut: bool,
    pub(super) down_shut: bool,
    pub(super) close_by: Option<Instant>,
    pub(super) starved: bool,
}

/// A second dial, and what its backend has said.
pub(super) struct Other {
    pub(super) dial: Attempt,
    pub(super) down: LineBuffer,
}

/// What stays of an `OpenRequest` once it is up.
pub(super) struct About {
    pub(super) listener: String,
    pub(super) key: Option<u64>,
    pub(super) group: Option<u64>,
    pub(super) load: Option<f64>,
    /// The decisions sent it away while it was offered.
    pub(super) sent_away: bool,
}

impl Session {
    pub(super) fn new(
        id: u32,
        client: Connection,
        since: Instant,
        works: &mut IoContext,
    ) -> Session {
        let mut session = Session {
            id,
            stage: Stage::Opening,
            client,
            open: None,
            about: None,
            front: None,
            generation: None,
            dial: None,
            other: None,
            dials: 0,
            serial: 0,
            up: LineBuffer::default(),
            down: LineBuffer::default(),
            words: OutputBuffer::default(),
            began: since,
            heard: works.now,
            claimed: None,
            stood: false,
            asked: None,
            watched: false,
            told_delay: Duration::ZERO,
            said: None,
            end_told: false,
            up_shut: false,
            down_shut: false,
            close_by: None,
            starved: false,
        };
        let left = FIRST_LINE - works.now.duration_since(since);
        session.close_within(left.max(FIRST_LINE_LEAST), works);
        // Into the list of the idle by its first step, which follows.
        session
    }

    /// Its place among those that hold a descriptor for nothing.
    pub(super) fn idle_since(&self) -> Option<Idle> {
        let idle =
            matches!(self.stage, Stage::Opening | Stage::Leaving | Stage::Parted) && !self.stood;
        idle.then_some((self.stage != Stage::Parted, self.heard, self.id))
    }

    pub(super) fn session_id(&self) -> SessionId {
        SessionId(self.id)
    }

    pub(super) fn close_within(&mut self, span: Duration, works: &mut IoContext) {
        self.close_by = Some(works.now + span);
        works.alarms.set(works.now + span, Timer::Client(self.id));
    }

    /// What the poller is to wait for, from the stage and what waits.
    pub(super) fn settle(&mut self) {
        if self.stage == Stage::Handing {
            self.client.want(false, false);
            return self
                .dial
                .iter_mut()
                .for_each(|dial| dial.sock.want(false, false));
        }
        let passing = matches!(self.stage, Stage::Standing | Stage::Leaving);
        let to_client = passing && self.down.waits() || self.words.waits();
        // While it waits nothing of its is kept, so that no lack of buffers can hide that it
        // leaves.
        let reads = self.is_waiting() || !self.starved;
        self.client.want(self.up.has_room() && reads, to_client);
        if let Some(dial) = &mut self.dial {
            let to_backend = match dial.stage {
                AttemptStage::Connecting | AttemptStage::Sending => true,
                AttemptStage::Waiting => false,
                AttemptStage::Standing => self.up.waits() && !self.up_shut,
            };
            dial.sock
                .want(self.down.has_room() && !self.starved, to_backend);
        }
        if let Some(other) = &mut self.other {
            let sending = matches!(
                other.dial.stage,
                AttemptStage::Connecting | AttemptStage::Sending
            );
            // Once the first is up, the other only waits to be given up.
            let reading = self.stage == Stage::Placing && other.down.has_room() && !self.starved;
            other
                .dial
                .sock
                .want(reading, sending && self.stage == Stage::Placing);
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Placing | Stage::Inheriting)
    }

    pub(super) fn starve(&mut self, works: &mut IoContext) {
        works.counters.starved += 1;
        self.starved = true;
        works.starved.push_back(self.id);
    }
}
