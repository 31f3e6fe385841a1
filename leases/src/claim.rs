//! One who wants a lease: asks, confirms its epoch, renews, and stops by its own clock.
use crate::{Terms, Why};
use compact_str::CompactString;
use std::collections::BTreeSet;
use thistlecroft::units::{Moment, Span};
use thistlecroft_peers::Identity;

/// Renewed when so much of its time has passed, and asked for again at such a part of a term while it is not held.
const RENEW: f64 = 1.0 / 3.0;
const AGAIN: f64 = 1.0 / 6.0;

/// The base of the delay after a lost round, as a part of a term.
const FIRST_DELAY: f64 = 1.0 / 32.0;

/// The right to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Grows with each new holding; whoever keeps state for a holder refuses an older one.
    pub epoch: u64,
    /// Not at or after this moment of the holder's clock.
    pub until: Moment,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    Held(Held),
    /// Asked for; what the last refusal said, where there was one.
    Wanted(Option<Why>),
    Unwanted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The voters are asked what epoch they know.
    Asking,
    /// They are asked to keep the new epoch; it is held when a majority does.
    Confirming(u64),
    Holding(u64),
}

#[derive(Clone, Debug)]
pub struct Claim {
    stage: Stage,
    round: u32,
    asked_at: Option<Moment>,
    yes: BTreeSet<CompactString>,
    no: BTreeSet<CompactString>,
    /// Rounds lost in a row to others who asked at the same time.
    lost: u32,
    highest: u64,
    until: Moment,
    next: Moment,
    why: Option<Why>,
    pub wanted_until: Moment,
}

impl Claim {
    pub fn new(wanted_until: Moment, now: Moment) -> Claim {
        Claim {
            stage: Stage::Asking,
            round: 0,
            asked_at: None,
            yes: BTreeSet::new(),
            no: BTreeSet::new(),
            lost: 0,
            highest: 0,
            until: now,
            next: now,
            why: None,
            wanted_until,
        }
    }

    pub fn round(&self) -> u32 {
        self.round
    }

    pub fn due(&self) -> Moment {
        self.next.min(self.wanted_until)
    }

    pub fn held(&self, now: Moment) -> Option<Held> {
        match self.stage {
            Stage::Holding(epoch) if now < self.until => Some(Held { epoch, until: self.until }),
            _ => None,
        }
    }

    pub fn state(&self, now: Moment) -> State {
        self.held(now).map_or_else(|| State::Wanted(self.why.clone()), State::Held)
    }

    /// What is held stays so until its time; renewals go to the voters there are now.
    pub fn ask_anew(&mut self) {
        (self.yes, self.no) = (BTreeSet::new(), BTreeSet::new());
        self.round = 0;
    }

    /// Begins a round; the epoch to ask with.
    pub fn ask(&mut self, round: u32, known: u64, terms: &Terms, now: Moment) -> u64 {
        let held = self.held(now);
        if held.is_none() {
            self.stage = Stage::Asking;
        }
        (self.round, self.asked_at, self.highest) = (round, Some(now), known);
        (self.yes, self.no) = (BTreeSet::new(), BTreeSet::new());
        let again = if held.is_some() { terms.term * RENEW * 0.5 } else { terms.term * AGAIN };
        self.next = now + again.max(Span::from_ms(1));
        held.map_or(known, |held| held.epoch)
    }

    /// The same for the second round of a new holding, at once after the first.
    pub fn confirm(&mut self, round: u32, epoch: u64, now: Moment) {
        self.stage = Stage::Confirming(epoch);
        (self.round, self.asked_at, self.highest) = (round, Some(now), 0);
        (self.yes, self.no) = (BTreeSet::new(), BTreeSet::new());
    }

    /// A voter has promised; the epoch to confirm, if it is time for that.
    pub fn promised(
        &mut self,
        from: &Identity,
        round: u32,
        epoch: u64,
        terms: &Terms,
        now: Moment,
    ) -> Option<u64> {
        let asked_at = self.asked_at.filter(|_| round == self.round)?;
        self.yes.insert(from.name.clone());
        self.highest = self.highest.max(epoch);
        if !terms.electorate.carries(|name| self.yes.contains(name)) {
            return None;
        }
        let until = asked_at + terms.holds();
        match self.stage {
            Stage::Asking => Some(self.highest + 1),
            // Somebody was given a higher one meanwhile, for something else or by others.
            Stage::Confirming(own) if self.highest > own => Some(self.highest + 1),
            Stage::Confirming(own) => {
                (self.stage, self.until, self.why, self.lost) = (Stage::Holding(own), until, None, 0);
                self.next = asked_at + terms.holds() * RENEW;
                None
            }
            Stage::Holding(_) if now < self.until => {
                self.until = self.until.max(until);
                self.next = asked_at + terms.holds() * RENEW;
                None
            }
            // Its time ran out before the answers came: it is asked for as new.
            Stage::Holding(_) => {
                self.stage = Stage::Asking;
                None
            }
        }
    }

    /// True where a majority can't be had in this round any more and some have promised: they are to be let go, or those who
    /// ask at the same time would keep one another from it for a term. The next round comes after a full-jitter delay.
    pub fn refused(
        &mut self,
        from: &Identity,
        round: u32,
        why: Why,
        terms: &Terms,
        (drawn, now): (f64, Moment),
    ) -> bool {
        if round != self.round || self.held(now).is_some() {
            return false;
        }
        let contended = matches!(why, Why::Held { .. });
        self.why = Some(why);
        self.no.insert(from.name.clone());
        if self.yes.is_empty() || terms.electorate.carries(|name| !self.no.contains(name)) {
            return false;
        }
        self.let_go(contended, terms, drawn, now);
        true
    }

    /// It was asked for a while ago, and too few have answered: as above.
    pub fn stuck(&mut self, terms: &Terms, (drawn, now): (f64, Moment)) -> bool {
        let stuck = self.held(now).is_none() && self.round != 0 && !self.yes.is_empty() && self.next <= now;
        if stuck {
            self.let_go(!self.no.is_empty(), terms, drawn, now);
        }
        stuck
    }

    fn let_go(&mut self, contended: bool, terms: &Terms, drawn: f64, now: Moment) {
        self.lost += u32::from(contended);
        let most = (terms.term * FIRST_DELAY * f64::from(1_u32 << self.lost.min(8))).min(terms.term);
        self.next = now + (most * drawn).max(Span::from_ms(1));
        (self.stage, self.round, self.yes) = (Stage::Asking, 0, BTreeSet::new());
    }
}
