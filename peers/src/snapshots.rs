//! All that is known, in pieces of a datagram each. Every piece can be taken in alone; one that
//! does not come is asked for.
use crate::facts::FactRow;
use crate::identity::{Identity, Row};
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::time::{Duration, Instant};

/// Exchanges that are kept at once, each way; the oldest gives way.
const KEPT: usize = 4;
/// A missing piece is asked for so often.
const ASKED: u32 = 5;
/// Missing pieces named in one datagram.
const NAMED: usize = 64;

#[derive(Clone, Debug, Default)]
pub struct Content {
    pub rows: Vec<Row>,
    pub facts: Vec<FactRow>,
}

#[derive(Clone, Debug)]
struct Sent {
    to: Identity,
    pieces: Vec<Content>,
}

#[derive(Clone, Debug)]
struct Coming {
    missing: BTreeSet<u16>,
    ask_at: Instant,
    asked: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Chunks {
    sent: BTreeMap<u32, Sent>,
    coming: BTreeMap<(Identity, u32), Coming>,
    next: u32,
}

impl Chunks {
    /// Keeps them to be asked for again; their number.
    pub fn keep(&mut self, to: Identity, pieces: Vec<Content>) -> u32 {
        self.next = self.next.wrapping_add(1);
        while self.sent.len() >= KEPT {
            self.sent.pop_first();
        }
        self.sent.insert(self.next, Sent { to, pieces });
        self.next
    }

    /// One that was sent to that process, and of how many.
    pub fn again(&self, to: &Identity, exchange: u32, number: u16) -> Option<(&Content, u16)> {
        let sent = self.sent.get(&exchange).filter(|sent| sent.to == *to)?;
        Some((
            sent.pieces.get(usize::from(number))?,
            sent.pieces.len() as u16,
        ))
    }

    /// A piece has come; true with the first of its exchange.
    pub fn came(
        &mut self,
        from: &Identity,
        exchange: u32,
        number: u16,
        of: u16,
        wait: Duration,
        now: Instant,
    ) -> bool {
        let key = (from.clone(), exchange);
        let first = !self.coming.contains_key(&key);
        if first {
            while self.coming.len() >= KEPT {
                self.coming.pop_first();
            }
            let missing = (0..of).collect();
            self.coming.insert(
                key.clone(),
                Coming {
                    missing,
                    ask_at: now + wait,
                    asked: 0,
                },
            );
        }
        if let Some(coming) = self.coming.get_mut(&key) {
            coming.missing.remove(&number);
            coming.ask_at = now + wait;
        }
        first
    }

    /// Whom to ask for what again. An exchange that is whole, or was asked for often enough, is
    /// kept for a while as known, so that a late piece does not begin it anew.
    pub fn ask(&mut self, wait: Duration, now: Instant) -> Vec<(Identity, u32, Vec<u16>)> {
        let mut all = Vec::new();
        self.coming.retain(|(from, exchange), coming| {
            if coming.ask_at > now {
                return true;
            }
            if coming.missing.is_empty() || coming.asked >= ASKED {
                return now.duration_since(coming.ask_at) < wait * 8.0;
            }
            (coming.asked, coming.ask_at) = (coming.asked + 1, now + wait);
            all.push((
                from.clone(),
                *exchange,
                coming.missing.iter().copied().take(NAMED).collect(),
            ));
            true
        });
        all
    }

    pub fn due(&self) -> Option<Instant> {
        let wants = |coming: &&Coming| !coming.missing.is_empty() && coming.asked < ASKED;
        self.coming
            .values()
            .filter(wants)
            .map(|coming| coming.ask_at)
            .min()
    }
}
