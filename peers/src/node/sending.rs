//! Datagrams that go out: gossip rides on them as it fits, and a bucket of bytes bounds them.
use super::{Node, RESERVED, ROOM, fact_cost, row_cost};
use crate::facts::FactRow;
use crate::gossip::About;
use crate::identity::{Identity, MemberState, Row};
use crate::wire::{Body, Datagram, MOST};
use std::net::SocketAddr;
use thistlecroft::time::Instant;

impl Node {
    pub(super) fn datagram(&mut self, body: Body, rows: Vec<Row>, facts: Vec<FactRow>) -> Datagram {
        self.serial += 1;
        let (from, at, incarnation, serial) =
            (self.me.clone(), self.at, self.incarnation, self.serial);
        Datagram {
            from,
            at,
            incarnation,
            serial,
            body,
            rows,
            facts,
        }
    }

    /// With what news fits. The receiver first hears what is thought of itself, so that it can say
    /// otherwise.
    pub(super) fn send(
        &mut self,
        at: SocketAddr,
        to: Option<&Identity>,
        body: Body,
        urgent: bool,
        now: Instant,
    ) -> bool {
        let carried = match &body {
            Body::Message { bytes, .. } => bytes.len(),
            Body::Missing { numbers, .. } => numbers.len() * 3,
            _ => 0,
        };
        let mut room = ROOM.saturating_sub(carried);
        let (mut rows, mut facts, mut passed) = (Vec::new(), Vec::new(), Vec::new());
        let of_receiver = to
            .and_then(|id| self.members.row(id))
            .filter(|row| row.state != MemberState::Alive);
        if let Some(row) = of_receiver {
            room = room.saturating_sub(row_cost(&row));
            rows.push(row);
        }
        self.allow(now);
        // With little left to send, probes and answers go bare.
        let may_gossip = self.allowance > f64::from(self.rate) * RESERVED + MOST as f64;
        if may_gossip {
            for about in self.gossip.iter() {
                let cost = match about {
                    About::Member(id) => {
                        let row = if *id == self.me {
                            Some(self.own_row())
                        } else {
                            self.members.row(id)
                        };
                        let Some(row) = row else { continue };
                        let cost = row_cost(&row);
                        if cost <= room {
                            rows.push(row);
                        }
                        cost
                    }
                    About::Fact(key) => {
                        let Some(row) = self.facts.row(key, now) else {
                            continue;
                        };
                        let cost = fact_cost(&row);
                        if cost <= room {
                            facts.push(row);
                        }
                        cost
                    }
                };
                if cost > room {
                    break;
                }
                room -= cost;
                passed.push(about.clone());
            }
        }
        let datagram = self.datagram(body, rows, facts);
        let gone = self.put(at, &datagram, urgent, now);
        if gone {
            let size = self.size();
            self.gossip.sent(&passed, size);
        }
        gone
    }

    pub(super) fn allow(&mut self, now: Instant) {
        let rate = f64::from(self.rate);
        self.allowance =
            (self.allowance + rate * now.duration_since(self.allowed_at).as_secs_f64()).min(rate);
        self.allowed_at = now;
    }

    pub(super) fn put(
        &mut self,
        at: SocketAddr,
        datagram: &Datagram,
        urgent: bool,
        now: Instant,
    ) -> bool {
        if self.left {
            return false;
        }
        let Some(bytes) = self.seal.close(datagram) else {
            self.counts.held_back += 1;
            return false;
        };
        self.allow(now);
        let kept = if urgent {
            0.0
        } else {
            f64::from(self.rate) * RESERVED
        };
        if self.allowance < bytes.len() as f64 + kept {
            self.counts.held_back += 1;
            return false;
        }
        self.allowance -= bytes.len() as f64;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push((at, bytes));
        true
    }
}
