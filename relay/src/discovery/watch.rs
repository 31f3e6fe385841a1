//! The watch on the list of backends: HTTP/1.1 with a chunked answer that stays open, and what its
//! lines say.
use crate::discovery::poll_schedule::{CALLED_WITHIN, How, NEXT_CALLED_WITHIN, PollSchedule};
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::OutputBuffer;
use crate::sockets::{Connection, SocketOwner};
use crate::timers::Timer;
use serde::Deserialize;
use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use thistlecroft::endpoint::{Endpoint, EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, CellId, ZoneId};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_settings::ReportFields;

/// An empty line comes every two seconds. What the agent has counts as told, so a watch that died
/// without a word must be found out before the grace of a drain has passed.
const SILENCE: Duration = Duration::from_millis(2_500);
/// A new address has less: its list counts as told four seconds after the signal, and it answers at
/// once.
const SILENCE_OF_NEXT: Duration = Duration::from_millis(800);
/// A good watch that broke is asked for anew at once, but no more often than this.
const QUICK_EVERY: Duration = Duration::from_millis(2_000);
/// An agent that is there answers at once. A call that it has not answered after this part of a
/// drain's grace may hang from the time when it was away, and what it has by now counts as told:
/// another is made beside it.
const UNANSWERED: f64 = 0.25;
const UNANSWERED_LEAST: Duration = Duration::from_millis(20);
/// Against a line that never ends: thousands of backends fit in less.
const LONGEST_TEXT: usize = 16 << 20;

#[derive(Deserialize)]
pub struct ListText {
    generation: u64,
    #[serde(default)]
    reset: bool,
    instances: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    cell: Option<u64>,
    lifecycle: String,
    weight: Option<f64>,
    started_at_ms: Option<u64>,
}

/// Which backend is which, by the id that is the same at every relay, and where each is to be
/// found.
pub struct EndpointRegistry {
    by_name: HashMap<String, BackendId>,
    names: Vec<String>,
    /// None where no list has named it yet.
    addresses: Vec<Option<SocketAddr>>,
    /// Told as draining or gone by the last list that spoke of it, and taken out by hand.
    leaving: Vec<bool>,
    banned: Vec<bool>,
    zones: Vec<String>,
    places: ReportFields,
}

impl EndpointRegistry {
    pub fn new(zones: Vec<String>, places: ReportFields) -> EndpointRegistry {
        let (names, addresses, leaving, banned) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        EndpointRegistry {
            by_name: HashMap::new(),
            names,
            addresses,
            leaving,
            banned,
            zones,
            places,
        }
    }

    /// Nothing new may go there.
    pub fn is_out(&self, id: BackendId) -> bool {
        self.leaving[id.index()] || self.banned[id.index()]
    }

    pub fn ban(&mut self, id: BackendId, out: bool) {
        self.banned[id.index()] = out;
    }

    /// A whole list: what it does not name is gone.
    fn only(&mut self, rows: &[Endpoint]) {
        self.leaving.fill(true);
        self.note(rows);
    }

    fn note(&mut self, rows: &[Endpoint]) {
        for row in rows {
            self.leaving[row.backend.index()] = row.state != EndpointState::Ready;
        }
    }

    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.addresses.get(id.index()).copied().flatten()
    }

    /// The same at every relay; empty for one that no list has named.
    pub fn name(&self, id: BackendId) -> &str {
        self.names.get(id.index()).map_or("", String::as_str)
    }

    pub fn named(&self, name: &str) -> Option<BackendId> {
        self.by_name.get(name).copied()
    }

    /// No list has told an address.
    fn is_empty(&self) -> bool {
        self.addresses.iter().all(Option::is_none)
    }

    /// The same id when a list names it.
    pub fn enter(&mut self, name: &str) -> BackendId {
        let next = BackendId(self.addresses.len() as u32);
        let backend = *self.by_name.entry(name.to_string()).or_insert(next);
        if backend == next {
            self.addresses.push(None);
            self.leaving.push(false);
            self.banned.push(false);
            self.names.push(name.to_string());
        }
        backend
    }

    fn listings(&mut self, entries: &[Entry]) -> Result<Vec<Endpoint>, String> {
        // All are read before any is noted, so that a bad list changes nothing.
        let mut read = Vec::with_capacity(entries.len());
        for entry in entries {
            let address: SocketAddr = entry.host_port.parse().map_err(|_| {
                format!(
                    "{}: \"{}\" is no address",
                    entry.instance_id, entry.host_port
                )
            })?;
            let standing = match entry.lifecycle.as_str() {
                "Ready" => EndpointState::Ready,
                "Terminating" => EndpointState::Draining,
                "Gone" => EndpointState::Removed,
                other => return Err(format!("{}: lifecycle \"{other}\"", entry.instance_id)),
            };
            read.push((entry, address, standing));
        }
        Ok(read
            .into_iter()
            .map(|(entry, address, standing)| self.listing(entry, address, standing))
            .collect())
    }

    /// The same number for a name as long as the process lives, whatever later settings call their
    /// zones.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        let place = self
            .zones
            .iter()
            .position(|zone| *zone == name)
            .unwrap_or_else(|| {
                self.zones.push(name.to_string());
                self.zones.len() - 1
            });
        ZoneId(place as u16)
    }

    /// Which fields of a report count.
    pub fn read_by(&mut self, places: ReportFields) {
        self.places = places;
    }

    fn listing(&mut self, entry: &Entry, address: SocketAddr, standing: EndpointState) -> Endpoint {
        let backend = self.enter(&entry.instance_id);
        self.addresses[backend.index()] = Some(address);
        let zone = self.zone(&entry.zone);
        Endpoint {
            backend,
            stable_hash: hash(entry.instance_id.as_bytes()),
            zone,
            cell: CellId(entry.cell.unwrap_or_default() as u16),
            state: standing,
            weight: self.places.weight(entry.weight.unwrap_or(1.0)),
            started_at: entry
                .started_at_ms
                .filter(|&ms| ms > 0)
                .map(|ms| Instant::from_micros(ms.saturating_mul(1_000))),
        }
    }
}

/// FNV-1a: the same number for a name at every relay and in every release.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, &byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// What has come of the lists' text. A list may stand on one line or be indented over many, so its
/// end is told by its braces; between two there are empty lines, within one there is none.
#[derive(Default)]
struct Text {
    bytes: Vec<u8>,
    /// Looked at so far, and what was open there.
    seen: usize,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Only white space since the line began.
    blank: bool,
}

impl Text {
    /// Moves the lists that are whole to `lists`; true where one or an empty line came.
    fn take_whole(&mut self, lists: &mut Vec<Vec<u8>>) -> Result<bool, String> {
        let (mut came, mut start) = (false, 0);
        while let Some(&byte) = self.bytes.get(self.seen) {
            let was_blank = self.blank;
            self.blank = byte == b'\n' || was_blank && byte.is_ascii_whitespace();
            match byte {
                b'\n' if self.in_string || self.depth > 0 && was_blank => {
                    return Err("a list cut off".into());
                }
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' if self.depth > 0 => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' if self.depth > 0 || byte == b'{' => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        lists.push(self.bytes[start..=self.seen].to_vec());
                        (came, start) = (true, self.seen + 1);
                    }
                }
                _ if self.depth > 0 => {}
                b'\n' => (came, start) = (true, self.seen + 1),
                _ if byte.is_ascii_whitespace() => {}
                _ => return Err("a bad list: text that is none".into()),
            }
            self.seen += 1;
        }
        self.bytes.drain(..start);
        self.seen -= start;
        // A list that was cut off and goes on with the next one would be waited for without end.
        if self.depth > 0 && self.bytes.ends_with(b"\n") {
            let begun = serde_json::from_slice::<serde::de::IgnoredAny>(&self.bytes);
            if let Some(fault) = begun.err().filter(|fault| !fault.is_eof()) {
                return Err(format!("a bad list: {fault}"));
            }
        }
        Ok(came)
    }
}

enum State {
    Resting,
    Connecting(Connection, OutputBuffer),
    /// Sent; the head of the answer is awaited.
    Asked(Connection),
    Following(Connection, Body),
}

/// How the answer's body is cut.
enum Body {
    Plain,
    /// Bytes left of the chunk, its ending included; none while a size line is awaited.
    Chunked(usize),
}

/// The conversation with one discovery address, over one connection after another.
struct Call {
    at: SocketAddr,
    state: State,
    /// As it came from the socket, then as text without the chunks.
    raw: Vec<u8>,
    text: Text,
    /// When a whole list, an empty line or an answer's head came last, else when it was begun: a
    /// line that trickles tells nothing and would hide that all else has stopped.
    heard: Instant,
    /// Given up after so long without a word.
    patience: Duration,
    /// Only the alarm set last counts: were each to start an attempt, which sets one more, a
    /// discovery that stays down would be asked ever faster until the loop did nothing else.
    wake_at: Instant,
    pacing: PollSchedule,
}

/// Why a call came to nothing, and how far it had come.
struct Fault {
    how: How,
    why: String,
}

impl Fault {
    fn new(how: How, why: impl ToString) -> Fault {
        Fault {
            how,
            why: why.to_string(),
        }
    }
}

/// A list or an answer that can't be used.
impl From<String> for Fault {
    fn from(why: String) -> Fault {
        Fault::new(How::TurnedAway, why)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Nothing,
    Known,
    Told,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Which {
    Current,
    Next,
}

/// The watch on the list. While the relay is told another address, the old conversation goes on
/// until the new one has told its list: the new one may be dead, and drains must be heard of
/// meanwhile.
pub struct Watch {
    current: Call,
    next: Option<Call>,
    /// As the current discovery counts; another one's versions may be lower.
    generation: Option<u64>,
    /// Until when a good watch that breaks has to wait like any call.
    quick_again: Instant,
    grace: Duration,
    chance: Rng,
    pub book: EndpointRegistry,
}

impl Watch {
    pub fn new(
        at: SocketAddr,
        seed: u64,
        book: EndpointRegistry,
        grace: Duration,
        now: Instant,
    ) -> Watch {
        let chance = Rng::from_seed(seed ^ 0x64_6973_636f);
        let (current, quick_again) = (Call::new(at, SILENCE, now), now);
        Watch {
            current,
            next: None,
            generation: None,
            quick_again,
            grace,
            chance,
            book,
        }
    }

    /// Another grace for drains, as later settings have it.
    pub fn resettle(&mut self, grace: Duration) {
        self.grace = grace;
    }

    /// A call has come to nothing: the agent is not there.
    pub fn has_failed(&self) -> bool {
        !self.current.pacing.is_first()
    }

    /// An answer is due within this.
    pub fn answer_due(&self) -> Duration {
        (self.grace * UNANSWERED).max(UNANSWERED_LEAST)
    }

    /// The next call is a second one to the same address, beside one that hangs.
    fn is_beside(&self) -> bool {
        self.next
            .as_ref()
            .is_some_and(|next| next.at == self.current.at)
    }

    /// The list as it was last had: it may be old, so the first watch asks for the whole.
    pub fn know(&mut self, known: &ListText) -> Result<Event, String> {
        let rows = self.book.listings(&known.instances)?;
        self.book.only(&rows);
        Ok(Event::EndpointsUpdated(UpdateKind::CachedSnapshot, rows))
    }

    /// Discovery has told a list, or one was known at start.
    pub fn listed(&self) -> Listed {
        match (self.generation.is_some(), self.book.is_empty()) {
            (true, _) => Listed::Told,
            (false, false) => Listed::Known,
            (false, true) => Listed::Nothing,
        }
    }

    pub fn open(&mut self, works: &mut IoContext) {
        self.begin(Which::Current, works);
    }

    /// Discovery is at this address from now on.
    pub fn move_to(&mut self, at: SocketAddr, works: &mut IoContext) {
        if self.next.as_ref().is_some_and(|next| next.at == at) && !self.is_beside() {
            return;
        }
        self.next = None;
        if self.current.at == at {
            return self.open(works);
        }
        log::info!("discovery moves from {} to {at}", self.current.at);
        self.next = Some(Call::new(at, SILENCE_OF_NEXT, works.now));
        self.begin(Which::Next, works);
    }

    fn call(&mut self, which: Which) -> &mut Call {
        match (which, &mut self.next) {
            (Which::Next, Some(next)) => next,
            _ => &mut self.current,
        }
    }

    fn begin(&mut self, which: Which, works: &mut IoContext) {
        let since = self.held(which);
        let due = self.answer_due();
        let call = self.call(which);
        if matches!(call.state, State::Resting)
            && let Err(fault) = call.begin(since, due, works)
        {
            self.fail(which, works, Fault::new(How::Absent, fault));
        }
    }

    /// The version that such a call goes on from.
    fn held(&self, which: Which) -> Option<u64> {
        self.generation
            .filter(|_| which == Which::Current || self.is_beside())
    }

    /// The last list stays in force. Only here is it decided when the next call is made: two clocks
    /// that each began one asked a busy discovery twice as often.
    fn fail(&mut self, which: Which, works: &mut IoContext, Fault { how, why }: Fault) {
        let mut pacing = self.call(which).pacing;
        // Told once: while discovery is down every attempt ends here.
        let once = which == Which::Current || !self.is_beside();
        let level = if pacing.is_first() && once {
            log::Level::Warn
        } else {
            log::Level::Debug
        };
        let good = matches!(self.call(which).state, State::Following(..)) && how != How::Absent;
        let quick = good && works.now >= self.quick_again;
        if quick {
            self.quick_again = works.now + QUICK_EVERY;
        }
        let within = if which == Which::Next && !self.is_beside() {
            NEXT_CALLED_WITHIN
        } else {
            CALLED_WITHIN
        };
        let left = within - works.now.duration_since(self.call(which).heard);
        let how = if quick { How::Lost } else { how };
        let wait = pacing.pause(how, self.answer_due(), left, &mut self.chance);
        let call = self.call(which);
        log::log!(
            level,
            "discovery at {}: {why}; the last list stays",
            call.at
        );
        call.state = State::Resting;
        call.pacing = pacing;
        call.wake(works.now + wait, works);
        works.counters.list_failures += 1;
    }

    pub fn alarm(&mut self, works: &mut IoContext) {
        for which in [Which::Current, Which::Next] {
            if which == Which::Next && self.next.is_none() {
                continue;
            }
            let call = self.call(which);
            if works.now < call.wake_at {
                continue;
            }
            match call.state {
                State::Resting => self.begin(which, works),
                _ if works.now.duration_since(call.heard) >= call.patience => {
                    self.fail(which, works, Fault::new(How::Absent, "silent"));
                }
                _ => call.wake(call.heard + call.patience, works),
            }
        }
        self.call_beside(works);
    }

    /// While the one call hangs unanswered another is made, and again: the first that is answered
    /// is the watch.
    fn call_beside(&mut self, works: &mut IoContext) {
        let hangs = matches!(self.current.state, State::Connecting(..) | State::Asked(_));
        let due = self.answer_due();
        if self.next.is_none() && hangs && works.now.duration_since(self.current.heard) >= due {
            self.next = Some(Call::new(self.current.at, due, works.now));
            self.begin(Which::Next, works);
        }
    }

    pub fn event(&mut self, key: usize, works: &mut IoContext) {
        let next = self.next.as_ref().is_some_and(|next| next.owns(key));
        let mut which = if next { Which::Next } else { Which::Current };
        if !self.call(which).owns(key) {
            return;
        }
        let mut lines = Vec::new();
        let mut done = self.call(which).event(&mut lines, works);
        if self.is_beside() && matches!(self.call(which).state, State::Following(..)) {
            // Of two calls to the same the one that is answered goes on.
            if let (Which::Next, Some(next)) = (which, self.next.take()) {
                self.current = Call {
                    patience: SILENCE,
                    ..next
                };
                which = Which::Current;
                self.current.wake(works.now + SILENCE, works);
            }
        }
        // What came before a fault counts.
        for line in lines {
            match self.take_line(which, &line, works) {
                Ok(true) => which = Which::Current,
                Ok(false) => {}
                Err(why) => {
                    done = Err(why.into());
                    break;
                }
            }
        }
        if let Err(fault) = done {
            self.fail(which, works, fault);
        }
    }

    /// True where it made the next conversation the current one.
    fn take_line(
        &mut self,
        which: Which,
        line: &[u8],
        works: &mut IoContext,
    ) -> Result<bool, String> {
        let list: ListText =
            serde_json::from_slice(line).map_err(|fault| format!("a bad list: {fault}"))?;
        let held = self.held(which);
        if !list.reset && held.is_some_and(|held| list.generation <= held) {
            return Ok(false);
        }
        let rows = self
            .book
            .listings(&list.instances)
            .map_err(|fault| format!("a bad list: {fault}"))?;
        if list.reset {
            self.book.only(&rows)
        } else {
            self.book.note(&rows)
        }
        let moved = self.next.take_if(|_| which == Which::Next);
        let has_moved = moved.is_some();
        if let Some(next) = moved {
            self.current = Call {
                patience: SILENCE,
                ..next
            };
        }
        if has_moved || self.generation.is_none() {
            log::info!("discovery at {}: {} backends", self.current.at, rows.len());
        }
        self.generation = Some(list.generation);
        self.current.pacing.listed();
        works.counters.lists += 1;
        let scope = if list.reset {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        };
        works.news.push_back(Event::EndpointsUpdated(scope, rows));
        Ok(has_moved)
    }
}

impl Call {
    fn new(at: SocketAddr, patience: Duration, now: Instant) -> Call {
        let (raw, text) = (Vec::new(), Text::default());
        let (heard, wake_at, pacing) = (now, now, PollSchedule::default());
        Call {
            at,
            state: State::Resting,
            raw,
            text,
            heard,
            patience,
            wake_at,
            pacing,
        }
    }

    fn owns(&self, key: usize) -> bool {
        match &self.state {
            State::Connecting(sock, _) | State::Asked(sock) | State::Following(sock, _) => {
                sock.is(key)
            }
            State::Resting => false,
        }
    }

    /// Looked at when its answer is due, and when all patience with it is over.
    fn begin(
        &mut self,
        since: Option<u64>,
        due: Duration,
        works: &mut IoContext,
    ) -> std::io::Result<()> {
        self.raw.clear();
        self.text = Text::default();
        self.heard = works.now;
        let mut words = OutputBuffer::default();
        let since = since.map(|at| format!("&since={at}")).unwrap_or_default();
        words.add(&format!("GET /api/targets?follow=1{since} HTTP/1.1"));
        words.add(&format!("Host: {}", self.at));
        words.add("Accept: application/json");
        words.add("");
        let mut sock = works.sockets.connect(SocketOwner::Discovery, self.at)?;
        sock.want(true, true);
        self.state = State::Connecting(sock, words);
        self.wake(works.now + self.patience.min(due), works);
        Ok(())
    }

    fn wake(&mut self, at: Instant, works: &mut IoContext) {
        self.wake_at = at;
        works.alarms.set(at, Timer::Discovery);
    }

    /// Goes on as far as the socket allows; whole lines of the list's text go to `lines`.
    fn event(&mut self, lines: &mut Vec<Vec<u8>>, works: &mut IoContext) -> Result<(), Fault> {
        let State::Connecting(sock, words) = &mut self.state else {
            return self.read(lines, works);
        };
        let told = |fault: std::io::Error| Fault::new(How::Absent, fault);
        if sock.is_up().map_err(told)?
            && words.give(sock).map_err(told)?
            && let State::Connecting(mut sock, _) =
                std::mem::replace(&mut self.state, State::Resting)
        {
            sock.want(true, false);
            self.state = State::Asked(sock);
        }
        Ok(())
    }

    fn read(&mut self, lines: &mut Vec<Vec<u8>>, works: &mut IoContext) -> Result<(), Fault> {
        let (State::Asked(sock) | State::Following(sock, _)) = &mut self.state else {
            return Ok(());
        };
        let mut piece = [0; 16 * 1024];
        match sock.read(&mut piece) {
            Ok(0) => return Err(Fault::new(How::TurnedAway, "the watch ended")),
            Ok(more) => self.raw.extend_from_slice(&piece[..more]),
            Err(fault)
                if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                return Ok(());
            }
            Err(fault) => return Err(Fault::new(How::TurnedAway, fault)),
        }
        if matches!(self.state, State::Asked(_)) {
            if !self.read_head()? {
                return Ok(());
            }
            self.heard = works.now;
        }
        let cut = self.unchunk();
        if self.text.take_whole(lines)? {
            self.heard = works.now;
        }
        if self.text.bytes.len() + self.raw.len() > LONGEST_TEXT {
            return Err(Fault::new(How::TurnedAway, "a list without end"));
        }
        Ok(cut?)
    }

    fn read_head(&mut self) -> Result<bool, String> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(&self.raw) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.raw.len() < 16 * 1024 => return Ok(false),
            Ok(httparse::Status::Partial) => return Err("an answer's head without end".into()),
            Err(fault) => return Err(format!("an answer that is no HTTP: {fault}")),
        };
        if head.code != Some(200) {
            return Err(format!("answered {}", head.code.unwrap_or_default()));
        }
        let chunked = head.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.to_ascii_lowercase().ends_with(b"chunked")
        });
        let body = if chunked {
            Body::Chunked(0)
        } else {
            Body::Plain
        };
        self.raw.drain(..length);
        if let State::Asked(sock) = std::mem::replace(&mut self.state, State::Resting) {
            self.state = State::Following(sock, body);
        }
        Ok(true)
    }

    /// Moves what has come of the body from `raw` to `text`.
    fn unchunk(&mut self) -> Result<(), String> {
        let State::Following(_, body) = &mut self.state else {
            return Ok(());
        };
        let Body::Chunked(left) = body else {
            self.text.bytes.append(&mut self.raw);
            return Ok(());
        };
        let mut at = 0;
        loop {
            if *left > 0 {
                // The ending of a chunk's data, two bytes, is no part of the text.
                let have = (self.raw.len() - at).min(*left);
                let data = have.min(left.saturating_sub(2));
                self.text.bytes.extend_from_slice(&self.raw[at..at + data]);
                at += have;
                *left -= have;
                if *left > 0 {
                    break;
                }
            }
            match httparse::parse_chunk_size(&self.raw[at..]) {
                Ok(httparse::Status::Complete((_, 0))) => return Err("the watch ended".into()),
                Ok(httparse::Status::Complete((length, size))) if size < LONGEST_TEXT as u64 => {
                    at += length;
                    *left = size as usize + 2;
                }
                Ok(httparse::Status::Partial) => break,
                _ => return Err("a chunk without a size".into()),
            }
        }
        self.raw.drain(..at);
        Ok(())
    }
}
