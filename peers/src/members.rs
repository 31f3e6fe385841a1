//! The members of the fleet. Opinions are merged as in SWIM, with the suspicions of Lifeguard: the
//! more members accuse a suspect, the sooner its suspicion times out.
use crate::ProtocolTiming;
use crate::identity::{Identity, MemberRecord, MemberState};
use crate::wire::ReplayWindow;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thistlecroft::time::{Duration, Instant};

/// The number of accusers, in addition to the first, with which a suspicion lasts for its shortest
/// time.
const CONFIRMING_ACCUSERS: usize = 3;

/// A suspicion that a member is dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    started: Instant,
    accusers: BTreeSet<Identity>,
    shortest: Duration,
    longest: Duration,
}

impl Suspicion {
    fn new(record: &MemberRecord, size: usize, timing: &ProtocolTiming, now: Instant) -> Suspicion {
        let (shortest, longest) = timing.suspicion_timeouts(size);
        Suspicion {
            started: now,
            accusers: record.accuser.iter().cloned().collect(),
            shortest,
            longest,
        }
    }

    /// Returns when the suspicion times out: after the longest time with one accuser and the
    /// shortest with enough of them, interpolated by the logarithm of their number.
    pub(crate) fn until(&self) -> Instant {
        let additional = self.accusers.len().saturating_sub(1) as f64;
        let fraction = (additional + 1.0).ln() / (CONFIRMING_ACCUSERS as f64 + 1.0).ln();
        self.started + (self.longest - (self.longest - self.shortest) * fraction).max(self.shortest)
    }
}

/// A member as this process knows it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub address: SocketAddr,
    pub incarnation: u32,
    pub state: MemberState,
    /// Since when the member has this state.
    pub since: Instant,
    /// When the last datagram of the member arrived.
    pub last_received: Option<Instant>,
    pub suspicion: Option<Suspicion>,
    pub replay_window: ReplayWindow,
}

impl Member {
    /// Creates a member that becomes known by this opinion.
    fn new(record: &MemberRecord, size: usize, timing: &ProtocolTiming, now: Instant) -> Member {
        let is_suspicion = record.state == MemberState::Suspect;
        Member {
            address: record.address,
            incarnation: record.incarnation,
            state: record.state,
            since: now,
            last_received: None,
            suspicion: is_suspicion.then(|| Suspicion::new(record, size, timing, now)),
            replay_window: ReplayWindow::default(),
        }
    }

    /// Adds an accuser to a suspicion that does not have enough of them.
    fn add_accuser(&mut self, accuser: Option<&Identity>) -> MergeOutcome {
        let (Some(suspicion), Some(accuser)) = (&mut self.suspicion, accuser) else {
            return MergeOutcome::Unchanged;
        };
        let has_enough = suspicion.accusers.len() > CONFIRMING_ACCUSERS;
        if !has_enough && suspicion.accusers.insert(accuser.clone()) {
            MergeOutcome::Updated
        } else {
            MergeOutcome::Unchanged
        }
    }

    /// Replaces the opinion with a newer one.
    fn update(
        &mut self,
        record: &MemberRecord,
        size: usize,
        timing: &ProtocolTiming,
        now: Instant,
    ) -> MergeOutcome {
        if record.incarnation > self.incarnation {
            self.address = record.address;
        }
        self.incarnation = record.incarnation;
        let is_suspicion = record.state == MemberState::Suspect;
        self.suspicion = is_suspicion.then(|| Suspicion::new(record, size, timing, now));
        if self.state == record.state {
            return MergeOutcome::Updated;
        }
        (self.state, self.since) = (record.state, now);
        MergeOutcome::StateChanged
    }
}

/// The effect of merging an opinion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    Unchanged,
    /// The opinion is new and has to be spread.
    Updated,
    /// The opinion is new, has to be spread and has changed the state of the member.
    StateChanged,
}

/// All other members that this process knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberList {
    members: BTreeMap<Identity, Member>,
    /// The number of members that are alive or suspect.
    live_count: usize,
    suspects: BTreeSet<Identity>,
}

impl MemberList {
    pub(crate) fn members(&self) -> impl Iterator<Item = (&Identity, &Member)> {
        self.members.iter()
    }

    pub(crate) fn get(&self, id: &Identity) -> Option<&Member> {
        self.members.get(id)
    }

    /// Notes a datagram of a member. Returns false for one that arrived before.
    pub(crate) fn note_received(&mut self, id: &Identity, serial: u64, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return true;
        };
        let is_new = member.replay_window.accept(serial);
        if is_new {
            member.last_received = Some(now);
        }
        is_new
    }

    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns the members that are alive or suspect.
    pub(crate) fn live(&self) -> impl Iterator<Item = (&Identity, &Member)> {
        self.members
            .iter()
            .filter(|(_, member)| member.state <= MemberState::Suspect)
    }

    /// Returns the opinion about a member, as it is sent to others.
    pub(crate) fn record(&self, id: &Identity) -> Option<MemberRecord> {
        let member = self.members.get(id)?;
        let accuser = member
            .suspicion
            .as_ref()
            .and_then(|suspicion| suspicion.accusers.first().cloned());
        let (address, incarnation, state) = (member.address, member.incarnation, member.state);
        Some(MemberRecord {
            id: id.clone(),
            address,
            incarnation,
            state,
            accuser,
        })
    }

    /// Merges an opinion about another process. No other function changes the state of a member.
    pub(crate) fn merge(
        &mut self,
        record: &MemberRecord,
        timing: &ProtocolTiming,
        now: Instant,
    ) -> MergeOutcome {
        let is_live = |member: Option<&Member>| {
            member.is_some_and(|member| member.state <= MemberState::Suspect)
        };
        let was_live = is_live(self.members.get(&record.id));
        let merged = self.merge_opinion(record, self.live_count + 1, timing, now);
        let member = self.members.get(&record.id);
        self.live_count = self.live_count + usize::from(is_live(member)) - usize::from(was_live);
        if member.is_some_and(|member| member.suspicion.is_some()) {
            self.suspects.insert(record.id.clone());
        } else {
            self.suspects.remove(&record.id);
        }
        merged
    }

    fn merge_opinion(
        &mut self,
        record: &MemberRecord,
        size: usize,
        timing: &ProtocolTiming,
        now: Instant,
    ) -> MergeOutcome {
        let Some(member) = self.members.get_mut(&record.id) else {
            let member = Member::new(record, size, timing, now);
            self.members.insert(record.id.clone(), member);
            return MergeOutcome::StateChanged;
        };
        // A member that has left does not come back, even if older opinions arrive late. A dead one
        // may come back, with a higher incarnation.
        if member.state == MemberState::Left {
            return MergeOutcome::Unchanged;
        }
        if record.state == MemberState::Left {
            member.incarnation = record.incarnation.max(member.incarnation);
            (member.state, member.since) = (MemberState::Left, now);
            member.suspicion = None;
            return MergeOutcome::StateChanged;
        }
        let old = (member.incarnation, member.state);
        let new = (record.incarnation, record.state);
        match new.cmp(&old) {
            Ordering::Less => MergeOutcome::Unchanged,
            Ordering::Equal => member.add_accuser(record.accuser.as_ref()),
            Ordering::Greater => member.update(record, size, timing, now),
        }
    }

    /// Returns the members whose suspicion has timed out.
    pub(crate) fn expired_suspicions(&self, now: Instant) -> Vec<Identity> {
        let is_expired = |id: &&Identity| {
            self.suspicion(id)
                .is_some_and(|suspicion| suspicion.until() <= now)
        };
        self.suspects.iter().filter(is_expired).cloned().collect()
    }

    pub(crate) fn next_suspicion_expiry(&self) -> Option<Instant> {
        self.suspects
            .iter()
            .filter_map(|id| self.suspicion(id))
            .map(Suspicion::until)
            .min()
    }

    fn suspicion(&self, id: &Identity) -> Option<&Suspicion> {
        self.members.get(id)?.suspicion.as_ref()
    }

    /// Extends all suspicions by the duration of a pause of this process, during which no
    /// refutation could arrive.
    pub(crate) fn extend_suspicions(&mut self, by: Duration) {
        for member in self.members.values_mut() {
            member
                .suspicion
                .iter_mut()
                .for_each(|suspicion| suspicion.started = suspicion.started + by);
        }
    }

    /// Removes members that have been dead or have left for the retention time, and returns their
    /// identities. Until then, late datagrams can't revive them.
    pub(crate) fn remove_expired(&mut self, retention: Duration, now: Instant) -> Vec<Identity> {
        let is_expired = |member: &Member| {
            member.state >= MemberState::Dead && now.duration_since(member.since) >= retention
        };
        let expired = self
            .members
            .iter()
            .filter(|(_, member)| is_expired(member))
            .map(|(id, _)| id.clone());
        let expired: Vec<Identity> = expired.collect();
        expired.iter().for_each(|id| drop(self.members.remove(id)));
        expired
    }
}
