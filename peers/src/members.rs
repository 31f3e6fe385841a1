//! Who is here, suspected, gone: opinions merged as SWIM has it, with Lifeguard's suspicions, whose
//! time shortens the more accuse.
use crate::Pace;
use crate::identity::{Identity, MemberState, Row};
use crate::wire::ReplayWindow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thistlecroft::time::{Duration, Instant};

/// Accusers beside the first that shorten a suspicion to its least.
const ENOUGH: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    began: Instant,
    accusers: BTreeSet<Identity>,
    least: Duration,
    most: Duration,
}

impl Suspicion {
    /// `most` with one accuser, `least` with as many as are enough, by the logarithm in between.
    pub fn until(&self) -> Instant {
        let others = self.accusers.len().saturating_sub(1) as f64;
        let part = (others + 1.0).ln() / (ENOUGH as f64 + 1.0).ln();
        self.began + (self.most - (self.most - self.least) * part).max(self.least)
    }
}

#[derive(Clone, Debug)]
pub struct Member {
    pub at: SocketAddr,
    pub incarnation: u32,
    pub state: MemberState,
    /// Since when it stands so here.
    pub since: Instant,
    /// When it was last heard from directly.
    pub heard: Option<Instant>,
    pub suspicion: Option<Suspicion>,
    pub window: ReplayWindow,
}

/// What an opinion came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    Unchanged,
    /// It is to be passed on.
    Updated,
    /// And the member is in another state than before.
    StateChanged,
}

#[derive(Clone, Debug, Default)]
pub struct MemberList {
    members: BTreeMap<Identity, Member>,
    /// Of them those that are here or suspected, counted; and those that are suspected.
    live: usize,
    suspects: BTreeSet<Identity>,
}

impl MemberList {
    pub fn members(&self) -> impl Iterator<Item = (&Identity, &Member)> {
        self.members.iter()
    }

    pub fn get(&self, id: &Identity) -> Option<&Member> {
        self.members.get(id)
    }

    /// A datagram of it has come; false for one that came before.
    pub fn heard(&mut self, id: &Identity, serial: u64, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return true;
        };
        let fresh = member.window.accept(serial);
        if fresh {
            member.heard = Some(now);
        }
        fresh
    }

    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Those that may be counted on to answer, or may yet.
    pub fn live(&self) -> impl Iterator<Item = (&Identity, &Member)> {
        self.members
            .iter()
            .filter(|(_, member)| member.state <= MemberState::Suspect)
    }

    pub fn row(&self, id: &Identity) -> Option<Row> {
        let member = self.members.get(id)?;
        let accuser = member
            .suspicion
            .as_ref()
            .and_then(|one| one.accusers.first().cloned());
        let (at, incarnation, state) = (member.at, member.incarnation, member.state);
        Some(Row {
            id: id.clone(),
            at,
            incarnation,
            state,
            accuser,
        })
    }

    /// An opinion about another process. The one function in which a member changes its state.
    pub fn merge(&mut self, row: &Row, pace: &Pace, now: Instant) -> Merged {
        let live =
            |member: Option<&Member>| member.is_some_and(|one| one.state <= MemberState::Suspect);
        let was = live(self.members.get(&row.id));
        let merged = self.merged(row, self.live + 1, pace, now);
        let member = self.members.get(&row.id);
        self.live = self.live + usize::from(live(member)) - usize::from(was);
        if member.is_some_and(|member| member.suspicion.is_some()) {
            self.suspects.insert(row.id.clone());
        } else {
            self.suspects.remove(&row.id);
        }
        merged
    }

    fn merged(&mut self, row: &Row, size: usize, pace: &Pace, now: Instant) -> Merged {
        let Some(member) = self.members.get_mut(&row.id) else {
            let mut member = Member {
                at: row.at,
                incarnation: row.incarnation,
                state: row.state,
                since: now,
                heard: None,
                suspicion: None,
                window: ReplayWindow::default(),
            };
            if row.state == MemberState::Suspect {
                member.suspicion = Some(suspicion(row, size, pace, now));
            }
            self.members.insert(row.id.clone(), member);
            return Merged::StateChanged;
        };
        let (old, new) = (
            (member.incarnation, member.state),
            (row.incarnation, row.state),
        );
        // Who has left does not come back, whatever is still under way; who was thought gone may,
        // by saying so.
        if member.state == MemberState::Left {
            return Merged::Unchanged;
        }
        if row.state == MemberState::Left {
            (member.incarnation, member.state) =
                (row.incarnation.max(member.incarnation), MemberState::Left);
            (member.since, member.suspicion) = (now, None);
            return Merged::StateChanged;
        }
        if new == old {
            return match (&mut member.suspicion, &row.accuser) {
                (Some(suspicion), Some(accuser)) if suspicion.accusers.len() <= ENOUGH => {
                    if suspicion.accusers.insert(accuser.clone()) {
                        Merged::Updated
                    } else {
                        Merged::Unchanged
                    }
                }
                _ => Merged::Unchanged,
            };
        }
        if new < old {
            return Merged::Unchanged;
        }
        if row.incarnation > member.incarnation {
            member.at = row.at;
        }
        member.incarnation = row.incarnation;
        let turned = member.state != row.state;
        let resuspected = row.state == MemberState::Suspect;
        member.suspicion = resuspected.then(|| suspicion(row, size, pace, now));
        if turned {
            (member.state, member.since) = (row.state, now);
        }
        if turned {
            Merged::StateChanged
        } else {
            Merged::Updated
        }
    }

    /// Whose time to answer for itself is over.
    pub fn overdue(&self, now: Instant) -> Vec<Identity> {
        let over = |id: &&Identity| self.suspicion(id).is_some_and(|one| one.until() <= now);
        self.suspects.iter().filter(over).cloned().collect()
    }

    pub fn next_overdue(&self) -> Option<Instant> {
        self.suspects
            .iter()
            .filter_map(|id| self.suspicion(id))
            .map(Suspicion::until)
            .min()
    }

    fn suspicion(&self, id: &Identity) -> Option<&Suspicion> {
        self.members.get(id)?.suspicion.as_ref()
    }

    /// This process stood still for so long, in which it could not have heard a refutation.
    pub fn put_off(&mut self, by: Duration) {
        for member in self.members.values_mut() {
            member
                .suspicion
                .iter_mut()
                .for_each(|one| one.began = one.began + by);
        }
    }

    /// Rows of the dead are kept so that what is still under way does not bring them back.
    pub fn reap(&mut self, kept: Duration, now: Instant) -> Vec<Identity> {
        let over = |member: &Member| {
            member.state >= MemberState::Dead && now.duration_since(member.since) >= kept
        };
        let gone = self
            .members
            .iter()
            .filter(|(_, member)| over(member))
            .map(|(id, _)| id.clone());
        let gone: Vec<Identity> = gone.collect();
        gone.iter().for_each(|id| drop(self.members.remove(id)));
        gone
    }
}

fn suspicion(row: &Row, size: usize, pace: &Pace, now: Instant) -> Suspicion {
    let (least, most) = pace.suspicion(size);
    Suspicion {
        began: now,
        accusers: row.accuser.iter().cloned().collect(),
        least,
        most,
    }
}
