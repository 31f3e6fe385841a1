//! One process among its peers: datagrams and time in, datagrams and events out. Each `wake` and
//! each `hear` does bounded work but for a fleet's size, and nothing here waits.
mod probing;
mod sending;
mod sync;

use crate::chunks::Chunks;
use crate::facts::{FactRow, Facts, Key, Kind};
use crate::gossip::{About, Gossip};
use crate::identity::{Identity, MemberState, Row};
use crate::members::{Member, MemberList, Merged};
use crate::wire::{Body, MOST, Rejection, Seal};
use crate::{Pace, Terms};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// The worst own health; every time that others are given is stretched by it plus one.
const MAX_HEALTH: u32 = 8;
/// Others who are asked to ping one that does not answer.
const HELPERS: usize = 3;
/// News goes to so many at once, so many times a period.
const GOSSIP_TO: usize = 3;
const GOSSIP_EVERY: f64 = 0.5;
/// In periods: all that is known is compared with one other; a seed or one of the gone is looked
/// for again.
const SYNC_EVERY: f64 = 20.0;
const SEEK_EVERY: f64 = 5.0;
/// Pings made for others at once.
const MAX_INDIRECT_PROBES: usize = 32;
/// The part of a second's bytes that only probes and answers may take.
const RESERVED: f64 = 0.25;
/// What rides on a datagram is cut to fit; so much is left for its own fields at least.
const ROOM: usize = MOST - 200;
/// Bytes that one row or fact is taken for when a datagram is filled, over its names and values.
const ROW_COST: usize = 34;

/// What has come about that others act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process is in another state than before.
    MemberChanged { id: Identity, state: MemberState },
    /// This process was suspected, or taken for gone, and says that it is here.
    Refuted { incarnation: u32 },
    /// A fact is new or changed, or was forgotten.
    Fact {
        kind: Kind,
        subject: Vec<u8>,
        owner: Identity,
    },
    /// Bytes for a part above membership.
    Message {
        from: Identity,
        channel: u8,
        bytes: Vec<u8>,
    },
    /// Datagrams of another format come from there: said once an address and format.
    OtherFormat { from: SocketAddr, format: u8 },
    /// This process stood still for so long.
    StoodStill { by: Duration },
}

/// What came and went since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    /// Refused: of a size that none has, of another format, foreign or changed, not to be
    /// understood, seen before.
    pub odd_size: u64,
    pub other_format: u64,
    pub foreign: u64,
    pub malformed: u64,
    pub repeated: u64,
    /// Not sent, for the rate.
    pub held_back: u64,
    pub probes: u64,
    pub probes_failed: u64,
    pub suspected: u64,
    pub refuted: u64,
}

/// A process as it stands here.
#[derive(Clone, Debug)]
pub struct View<'a> {
    pub id: &'a Identity,
    pub at: SocketAddr,
    pub state: MemberState,
    pub incarnation: u32,
    pub since: Instant,
    pub heard: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Probe {
    number: u32,
    target: Identity,
    asks_others: Instant,
    ends: Instant,
    helpers: u32,
    nacks: u32,
    asked: bool,
    answered: bool,
}

/// A ping made for another.
#[derive(Clone, Debug)]
struct IndirectProbe {
    of: Identity,
    at: SocketAddr,
    probe: u32,
    until: Instant,
}

#[derive(Clone, Debug)]
pub struct Node {
    me: Identity,
    at: SocketAddr,
    seeds: Vec<SocketAddr>,
    seal: Seal,
    pace: Pace,
    rate: u32,
    chance: Rng,
    incarnation: u32,
    serial: u64,
    health: u32,
    left: bool,
    members: MemberList,
    gossip: Gossip,
    facts: Facts,
    chunks: Chunks,
    probe: Option<Probe>,
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    numbers: u32,
    /// Whom to probe in turn; dealt anew when all had theirs.
    round: Vec<Identity>,
    next_probe: Instant,
    next_gossip: Instant,
    next_sync: Instant,
    next_seek: Instant,
    /// Bytes that may be sent now, and as of when.
    allowance: f64,
    allowed_at: Instant,
    woken: Instant,
    formats: Vec<(SocketAddr, u8)>,
    out: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
    pub counts: Counts,
}

impl Node {
    /// `at`: where others reach it. `seeds`: where some of the fleet may be found; its own address
    /// among them is passed over.
    pub fn new(
        me: Identity,
        at: SocketAddr,
        seeds: Vec<SocketAddr>,
        terms: &Terms,
        seed: u64,
        now: Instant,
    ) -> Node {
        let mut chance = Rng::from_seed(seed);
        // Relays started at once do not go on in step.
        let first = now + terms.pace.period * chance.unit_f64();
        Node {
            me,
            at,
            seeds: seeds.into_iter().filter(|seed| *seed != at).collect(),
            seal: Seal::new(&terms.secret, &terms.fleet),
            pace: terms.pace,
            rate: terms.rate,
            chance,
            incarnation: 0,
            serial: 0,
            health: 0,
            left: false,
            members: MemberList::default(),
            gossip: Gossip::default(),
            facts: Facts::new(terms.pace.period),
            chunks: Chunks::default(),
            probe: None,
            indirect_probes: BTreeMap::new(),
            numbers: 0,
            round: Vec::new(),
            next_probe: first,
            next_gossip: first,
            next_sync: first + terms.pace.period * SYNC_EVERY,
            next_seek: now,
            allowance: f64::from(terms.rate),
            allowed_at: now,
            woken: now,
            formats: Vec::new(),
            out: Vec::new(),
            events: Vec::new(),
            counts: Counts::default(),
        }
    }

    // ---- what is read ----

    pub fn me(&self) -> &Identity {
        &self.me
    }

    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// 0 is well; each step stretches by one more the time that others are given.
    pub fn health(&self) -> u32 {
        self.health
    }

    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    pub fn members(&self) -> impl Iterator<Item = View<'_>> {
        self.members.members().map(|(id, member)| View {
            id,
            at: member.at,
            state: member.state,
            incarnation: member.incarnation,
            since: member.since,
            heard: member.heard,
        })
    }

    pub fn state_of(&self, id: &Identity) -> Option<MemberState> {
        self.members.get(id).map(|member| member.state)
    }

    /// Relays that could not be heard lately, as a fact's reader is told: suspected or gone, and
    /// not known by a newer run.
    pub fn unreachable(&self) -> usize {
        let here = |name: &str| {
            self.members
                .members()
                .any(|(id, one)| id.name == name && one.state == MemberState::Alive)
        };
        let missing = |(id, member): &(&Identity, &Member)| {
            matches!(member.state, MemberState::Suspect | MemberState::Dead)
                && id.name != self.me.name
                && !here(&id.name)
        };
        self.members.members().filter(missing).count()
    }

    /// This process and those that may yet answer.
    pub fn size(&self) -> usize {
        self.members.live_count() + 1
    }

    pub fn due(&self) -> Instant {
        let mut due = self.next_probe.min(self.next_seek).min(self.next_sync);
        if !self.gossip.is_empty() {
            due = due.min(self.next_gossip);
        }
        if let Some(probe) = &self.probe {
            due = due.min(if probe.asked {
                probe.ends
            } else {
                probe.asks_others
            });
        }
        let indirect_probes = self.indirect_probes.values().map(|indirect| indirect.until);
        let rest = indirect_probes
            .chain(self.members.next_overdue())
            .chain(self.chunks.due());
        rest.fold(due, Instant::min)
    }

    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    // ---- what is said ----

    /// Tells the fleet something; false where there is no room for it.
    pub fn announce(&mut self, kind: Kind, subject: &[u8], value: &[u8], now: Instant) -> bool {
        let said = self.facts.announce(&self.me, kind, subject, value, now);
        if said {
            self.gossip.add(About::Fact(Key {
                kind,
                subject: subject.to_vec(),
                owner: self.me.clone(),
            }));
        }
        said
    }

    /// Says it no more: forgotten here at once, by others when it has not been said again for its
    /// kind's time.
    pub fn withdraw(&mut self, kind: Kind, subject: &[u8]) {
        self.facts.withdraw(&self.me, kind, subject);
    }

    /// Bytes to one process for the parts above; false where it is not known, or the rate is used
    /// up.
    pub fn send_message(
        &mut self,
        to: &Identity,
        channel: u8,
        bytes: Vec<u8>,
        now: Instant,
    ) -> bool {
        let Some(at) = self.members.get(to).map(|member| member.at) else {
            return false;
        };
        self.send(at, Some(to), Body::Message { channel, bytes }, true, now)
    }

    /// It is reached elsewhere from now on; others take that from a higher incarnation alone.
    pub fn move_to(&mut self, at: SocketAddr, now: Instant) {
        self.at = at;
        self.seeds.retain(|seed| *seed != at);
        self.incarnation += 1;
        self.gossip.add(About::Member(self.me.clone()));
        self.next_gossip = now;
    }

    /// Leaves in good order: all that are here are told, and nothing is sent after.
    pub fn leave(&mut self, now: Instant) {
        if self.left {
            return;
        }
        let row = Row {
            id: self.me.clone(),
            at: self.at,
            incarnation: self.incarnation,
            state: MemberState::Left,
            accuser: None,
        };
        let mut all: Vec<SocketAddr> = self.members.live().map(|(_, member)| member.at).collect();
        // Few are enough, and news of it goes on from them.
        while all.len() > HELPERS * 4 {
            all.swap_remove(self.chance.below(all.len() as u64) as usize);
        }
        for at in all {
            let datagram = self.datagram(Body::Gossip, vec![row.clone()], Vec::new());
            self.put(at, &datagram, true, now);
        }
        self.left = true;
    }

    // ---- what comes ----

    /// A datagram. What is none of this fleet's is counted and costs no more than its hash.
    pub fn receive(&mut self, bytes: &[u8], source: SocketAddr, now: Instant) {
        let datagram = match self.seal.open(bytes) {
            Ok(datagram) => datagram,
            Err(rejection) => return self.count_rejection(rejection, source),
        };
        if datagram.from == self.me {
            return;
        }
        let from = datagram.from.clone();
        let own = Row {
            id: from.clone(),
            at: datagram.at,
            incarnation: datagram.incarnation,
            state: MemberState::Alive,
            accuser: None,
        };
        if !self.members.heard(&from, datagram.serial, now) {
            self.counts.repeated += 1;
            return;
        }
        self.counts.heard += 1;
        self.counts.heard_bytes += bytes.len() as u64;
        if self.left {
            return;
        }
        let leaves = datagram
            .rows
            .iter()
            .any(|row| row.id == from && row.state == MemberState::Left);
        if !leaves {
            self.merge(&own, now);
        }
        // Of one that was not known before; of others it is known by now.
        self.members.heard(&from, datagram.serial, now);
        for row in &datagram.rows {
            self.merge(row, now);
        }
        for fact in &datagram.facts {
            self.merge_fact(fact, now);
        }
        self.body(datagram.body, &from, datagram.at, now);
    }

    fn count_rejection(&mut self, rejection: Rejection, source: SocketAddr) {
        match rejection {
            Rejection::Size => self.counts.odd_size += 1,
            Rejection::Foreign => self.counts.foreign += 1,
            Rejection::Malformed => self.counts.malformed += 1,
            Rejection::Format(format) => {
                self.counts.other_format += 1;
                if self.formats.len() < MAX_INDIRECT_PROBES
                    && !self.formats.contains(&(source, format))
                {
                    self.formats.push((source, format));
                    self.events.push(Event::OtherFormat {
                        from: source,
                        format,
                    });
                }
            }
        }
    }

    fn body(&mut self, body: Body, from: &Identity, at: SocketAddr, now: Instant) {
        match body {
            Body::Ping { probe, to } if to == self.me => {
                self.send(at, Some(from), Body::Ack { probe }, true, now);
            }
            Body::Ping { probe, .. } => {
                self.send(at, Some(from), Body::NotMe { probe }, true, now);
            }
            Body::PingFor {
                probe,
                target,
                at: of,
            } => self.indirect(probe, target, of, from, at, now),
            Body::Ack { probe } => self.acked(probe, now),
            Body::Nack { probe } => {
                if let Some(own) = self.probe.as_mut().filter(|own| own.number == probe) {
                    own.nacks += 1;
                }
            }
            Body::NotMe { probe } => self.not_me(probe, from, at, now),
            Body::Gossip | Body::InSync => {}
            Body::SyncRequest { digest } => {
                let same = digest == self.digest();
                if same {
                    self.send(at, Some(from), Body::InSync, false, now);
                } else {
                    self.send_all(at, from, true, now);
                }
            }
            Body::Chunk {
                exchange,
                number,
                of,
                back,
            } => {
                let wait = self.pace.period;
                let first = self.chunks.came(from, exchange, number, of, wait, now);
                if first && back {
                    self.send_all(at, from, false, now);
                }
            }
            Body::Missing { exchange, numbers } => {
                for number in numbers {
                    let Some((content, of)) = self.chunks.again(from, exchange, number) else {
                        continue;
                    };
                    let content = content.clone();
                    let body = Body::Chunk {
                        exchange,
                        number,
                        of,
                        back: false,
                    };
                    let datagram = self.datagram(body, content.rows, content.facts);
                    self.put(at, &datagram, false, now);
                }
            }
            Body::Message { channel, bytes } => {
                self.events.push(Event::Message {
                    from: from.clone(),
                    channel,
                    bytes,
                });
            }
        }
    }

    fn merge(&mut self, row: &Row, now: Instant) {
        if row.id == self.me {
            return self.about_me(row, now);
        }
        match self.members.merge(row, &self.pace, now) {
            Merged::Unchanged => {}
            Merged::Updated => self.gossip.add(About::Member(row.id.clone())),
            Merged::StateChanged => {
                self.counts.suspected += u64::from(row.state == MemberState::Suspect);
                self.gossip.add(About::Member(row.id.clone()));
                self.events.push(Event::MemberChanged {
                    id: row.id.clone(),
                    state: row.state,
                });
            }
        }
    }

    /// Refutes what others think, by an incarnation above theirs.
    fn about_me(&mut self, row: &Row, now: Instant) {
        if row.state == MemberState::Alive || row.incarnation < self.incarnation || self.left {
            return;
        }
        self.incarnation = row.incarnation + 1;
        self.counts.refuted += 1;
        change_health(&mut self.health, 1);
        self.events.push(Event::Refuted {
            incarnation: self.incarnation,
        });
        self.gossip.add(About::Member(self.me.clone()));
        self.next_gossip = now;
    }

    fn merge_fact(&mut self, fact: &FactRow, now: Instant) {
        // Its own facts nobody knows better; one that was withdrawn is not taken back.
        if fact.owner == self.me || !self.facts.merge(fact, now) {
            return;
        }
        let (kind, subject, owner) = (fact.kind, fact.subject.clone(), fact.owner.clone());
        self.gossip.add(About::Fact(Key {
            kind,
            subject: subject.clone(),
            owner: owner.clone(),
        }));
        self.events.push(Event::Fact {
            kind,
            subject,
            owner,
        });
    }

    // ---- what time brings ----

    /// All that is due. Called later than it asked for, it blames nobody: what came meanwhile was
    /// not heard.
    pub fn tick(&mut self, now: Instant) {
        let late = now.duration_since(self.due().max(self.woken));
        if late > self.pace.period * 0.5 {
            self.stood_still(late, now);
        }
        self.woken = now;
        if self.left {
            return;
        }
        self.probing(now);
        for id in self.members.overdue(now) {
            let Some(mut row) = self.members.row(&id) else {
                continue;
            };
            (row.state, row.accuser) = (MemberState::Dead, Some(self.me.clone()));
            self.merge(&row, now);
        }
        let over: Vec<u32> = self
            .indirect_probes
            .iter()
            .filter(|(_, indirect)| indirect.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(indirect) = self.indirect_probes.remove(&id) {
                let probe = indirect.probe;
                self.send(
                    indirect.at,
                    Some(&indirect.of),
                    Body::Nack { probe },
                    true,
                    now,
                );
            }
        }
        for (from, exchange, numbers) in self.chunks.ask(self.pace.period, now) {
            if let Some(at) = self.members.get(&from).map(|member| member.at) {
                self.send(
                    at,
                    Some(&from),
                    Body::Missing { exchange, numbers },
                    false,
                    now,
                );
            }
        }
        self.seek(now);
        self.housekeep(now);
        if !self.gossip.is_empty() && now >= self.next_gossip {
            self.next_gossip = now + self.pace.period * GOSSIP_EVERY;
            // Also to those who are suspected: they are the ones who can say otherwise.
            for id in self.some(GOSSIP_TO, MemberState::Suspect, None) {
                if self.gossip.is_empty() {
                    break;
                }
                let Some(at) = self.members.get(&id).map(|member| member.at) else {
                    continue;
                };
                self.send(at, Some(&id), Body::Gossip, false, now);
            }
        }
    }

    fn stood_still(&mut self, late: Duration, now: Instant) {
        self.events.push(Event::StoodStill { by: late });
        change_health(&mut self.health, 1);
        self.members.put_off(late);
        self.probe = None;
        self.indirect_probes.clear();
        self.next_probe = now + self.pace.period * 0.5;
    }
}

fn row_cost(row: &Row) -> usize {
    ROW_COST + row.id.name.len() + row.accuser.as_ref().map_or(0, |id| id.name.len() + 11)
}

fn fact_cost(row: &FactRow) -> usize {
    ROW_COST + row.owner.name.len() + row.subject.len() + row.value.len()
}

fn change_health(health: &mut u32, by: i32) {
    *health = health.saturating_add_signed(by).min(MAX_HEALTH);
}
