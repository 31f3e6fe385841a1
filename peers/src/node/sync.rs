//! Anti-entropy: digests of all that is known are compared now and then, and it is sent in chunks
//! where they differ. Lost relays and seeds are looked for again.
use super::{Event, MAX_INDIRECT_PROBES, Node, ROOM, SEEK_EVERY, SYNC_EVERY, fact_cost, row_cost};
use crate::chunks::Content;
use crate::facts::Key;
use crate::gossip::About;
use crate::identity::{Identity, MemberState, Row};
use crate::wire::Body;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thistlecroft::time::Instant;

impl Node {
    /// Looks for the fleet at its seeds until somebody is here, and after that for those it has
    /// lost: so two halves that took each other for gone find one another again.
    pub(super) fn seek(&mut self, now: Instant) {
        if now < self.next_seek {
            return;
        }
        let alone = !self
            .members
            .members()
            .map(|(_, member)| member)
            .any(|member| member.state == MemberState::Alive);
        self.next_seek = now + self.pace.period * if alone { 1.0 } else { SEEK_EVERY };
        let of = |state: MemberState| {
            let members = self.members.members().map(|(_, member)| member);
            members
                .filter(move |member| member.state == state)
                .map(|member| member.at)
        };
        let here: BTreeSet<SocketAddr> = of(MemberState::Alive).collect();
        let mut lost: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(of(MemberState::Dead))
            .collect();
        lost.retain(|at| !here.contains(at));
        lost.sort_unstable();
        lost.dedup();
        let digest = self.digest();
        let most = if alone { self.seeds.len().max(1) } else { 1 };
        for _ in 0..most.min(MAX_INDIRECT_PROBES) {
            if lost.is_empty() {
                return;
            }
            let at = lost.swap_remove(self.chance.below(lost.len() as u64) as usize);
            // One that is taken for gone is told so, and can say otherwise.
            let id = self
                .members
                .members()
                .find(|(_, member)| member.at == at)
                .map(|(id, _)| id.clone());
            self.send(at, id.as_ref(), Body::SyncRequest { digest }, false, now);
        }
    }

    pub(super) fn housekeep(&mut self, now: Instant) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + self.pace.period * (SYNC_EVERY * (0.5 + self.chance.unit_f64()));
        for id in self.members.reap(self.pace.dead_kept(), now) {
            self.gossip.remove(&About::Member(id));
        }
        for key in self.facts.forget(now) {
            let Key {
                kind,
                subject,
                owner,
            } = key.clone();
            self.gossip.remove(&About::Fact(key));
            self.events.push(Event::Fact {
                kind,
                subject,
                owner,
            });
        }
        for key in self.facts.stale_of(&self.me, now) {
            self.facts.refresh(&key, now);
            self.gossip.add(About::Fact(key));
        }
        let digest = self.digest();
        for id in self.some(1, MemberState::Alive, None) {
            let Some(at) = self.members.get(&id).map(|member| member.at) else {
                continue;
            };
            self.send(at, Some(&id), Body::SyncRequest { digest }, false, now);
        }
    }

    /// Of all that two relays have to agree on.
    pub(super) fn digest(&self) -> u64 {
        let own = [(&self.me, self.incarnation, MemberState::Alive)];
        let others = self
            .members
            .members()
            .map(|(id, member)| (id, member.incarnation, member.state));
        let others = others.filter(|(.., state)| *state <= MemberState::Suspect);
        let members = own
            .into_iter()
            .chain(others)
            .fold(0, |sum, (id, incarnation, state)| {
                let mut hasher = blake3::Hasher::new();
                hasher
                    .update(id.name.as_bytes())
                    .update(&id.run.to_le_bytes());
                hasher
                    .update(&incarnation.to_le_bytes())
                    .update(&[state as u8]);
                sum ^ crate::first_eight(hasher.finalize().as_bytes())
            });
        members ^ self.facts.digest()
    }

    pub(super) fn own_row(&self) -> Row {
        let (id, at, incarnation) = (self.me.clone(), self.at, self.incarnation);
        Row {
            id,
            at,
            incarnation,
            state: MemberState::Alive,
            accuser: None,
        }
    }

    pub(super) fn send_all(&mut self, at: SocketAddr, to: &Identity, back: bool, now: Instant) {
        let ids: Vec<Identity> = self.members.members().map(|(id, _)| id.clone()).collect();
        let keys: Vec<Key> = self.facts.keys().cloned().collect();
        let mut pieces = vec![Content::default()];
        let mut room = ROOM;
        let mut fit = |cost: usize, pieces: &mut Vec<Content>| {
            if cost > room {
                pieces.push(Content::default());
                room = ROOM;
            }
            room -= cost;
        };
        for id in ids {
            let Some(row) = self.members.row(&id) else {
                continue;
            };
            fit(row_cost(&row), &mut pieces);
            pieces.last_mut().expect("there is one").rows.push(row);
        }
        for key in keys {
            let Some(row) = self.facts.row(&key, now) else {
                continue;
            };
            fit(fact_cost(&row), &mut pieces);
            pieces.last_mut().expect("there is one").facts.push(row);
        }
        let of = pieces.len() as u16;
        let exchange = self.chunks.keep(to.clone(), pieces.clone());
        for (number, content) in (0..).zip(pieces) {
            let datagram = self.datagram(
                Body::Chunk {
                    exchange,
                    number,
                    of,
                    back,
                },
                content.rows,
                content.facts,
            );
            self.put(at, &datagram, false, now);
        }
    }
}
