//! Probes: each period one other is pinged, by others where it does not answer itself, and
//! suspected where nobody reaches it.
use super::{HELPERS, IndirectProbe, MAX_INDIRECT_PROBES, Node, Probe, change_health};
use crate::identity::{Identity, MemberState, Row};
use crate::members::Member;
use crate::wire::Body;
use std::net::SocketAddr;
use thistlecroft::time::Instant;

impl Node {
    pub(super) fn indirect(
        &mut self,
        probe: u32,
        target: Identity,
        of: SocketAddr,
        from: &Identity,
        at: SocketAddr,
        now: Instant,
    ) {
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        self.numbers = self.numbers.wrapping_add(1);
        let until = now + self.pace.answer_within();
        self.indirect_probes.insert(
            self.numbers,
            IndirectProbe {
                of: from.clone(),
                at,
                probe,
                until,
            },
        );
        let body = Body::Ping {
            probe: self.numbers,
            to: target.clone(),
        };
        self.send(of, Some(&target), body, true, now);
    }

    pub(super) fn acked(&mut self, number: u32, now: Instant) {
        if let Some(indirect) = self.indirect_probes.remove(&number) {
            let (at, probe) = (indirect.at, indirect.probe);
            self.send(at, Some(&indirect.of), Body::Ack { probe }, true, now);
            return;
        }
        // From the target itself or from one who was asked: either saw it answer.
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) else {
            return;
        };
        if !probe.answered {
            probe.answered = true;
            change_health(&mut self.health, -1);
        }
    }

    /// The address leads to another process now: the one that was there has ended.
    pub(super) fn not_me(&mut self, number: u32, from: &Identity, at: SocketAddr, now: Instant) {
        let target = match (&self.probe, self.indirect_probes.get(&number)) {
            (Some(probe), _) if probe.number == number => probe.target.clone(),
            _ => return,
        };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        if member.at != at || target == *from || member.state >= MemberState::Dead {
            return;
        }
        let (incarnation, state) = (member.incarnation, MemberState::Left);
        let row = Row {
            id: target,
            at,
            incarnation,
            state,
            accuser: None,
        };
        self.merge(&row, now);
        self.probe = None;
    }

    pub(super) fn probing(&mut self, now: Instant) {
        if let Some(probe) = &self.probe {
            if probe.answered {
                self.probe = None;
            } else if probe.ends <= now {
                self.probe_failed(now);
            } else if !probe.asked && probe.asks_others <= now {
                self.ask_others(now);
            }
        }
        if self.probe.is_none() && now >= self.next_probe {
            let stretch = f64::from(self.health + 1);
            self.next_probe = now + self.pace.period * stretch;
            let Some(target) = self.next_of_round() else {
                return;
            };
            self.numbers = self.numbers.wrapping_add(1);
            let number = self.numbers;
            self.probe = Some(Probe {
                number,
                target: target.clone(),
                asks_others: now + self.pace.answer_within() * stretch,
                ends: now + self.pace.period * stretch,
                helpers: 0,
                nacks: 0,
                asked: false,
                answered: false,
            });
            self.counts.probes += 1;
            let Some(at) = self.members.get(&target).map(|member| member.at) else {
                return;
            };
            self.send(
                at,
                Some(&target),
                Body::Ping {
                    probe: number,
                    to: target.clone(),
                },
                true,
                now,
            );
        }
    }

    pub(super) fn next_of_round(&mut self) -> Option<Identity> {
        for _ in 0..2 {
            while let Some(id) = self.round.pop() {
                if self
                    .members
                    .get(&id)
                    .is_some_and(|member| member.state <= MemberState::Suspect)
                {
                    return Some(id);
                }
            }
            self.round = self.members.live().map(|(id, _)| id.clone()).collect();
            for place in (1..self.round.len()).rev() {
                let other = self.chance.below(place as u64 + 1) as usize;
                self.round.swap(place, other);
            }
        }
        None
    }

    pub(super) fn ask_others(&mut self, now: Instant) {
        let Some(probe) = &mut self.probe else { return };
        probe.asked = true;
        let (number, target) = (probe.number, probe.target.clone());
        let Some(of) = self.members.get(&target).map(|member| member.at) else {
            return;
        };
        let helpers = self.some(HELPERS, MemberState::Alive, Some(&target));
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers.len() as u32;
        }
        for id in helpers {
            let Some(at) = self.members.get(&id).map(|member| member.at) else {
                continue;
            };
            let body = Body::PingFor {
                probe: number,
                target: target.clone(),
                at: of,
            };
            self.send(at, Some(&id), body, true, now);
        }
    }

    pub(super) fn probe_failed(&mut self, now: Instant) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.counts.probes_failed += 1;
        // Those who were asked and did not even say no: it may be this one that is not heard.
        let unsaid = probe.helpers.saturating_sub(probe.nacks);
        let step = if probe.helpers == 0 { 1 } else { unsaid as i32 };
        change_health(&mut self.health, step);
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        if member.state > MemberState::Suspect {
            return;
        }
        let row = Row {
            id: probe.target,
            at: member.at,
            incarnation: member.incarnation,
            state: MemberState::Suspect,
            accuser: Some(self.me.clone()),
        };
        self.merge(&row, now);
    }

    /// Some of those that stand so at the worst, drawn anew each time.
    pub(super) fn some(
        &mut self,
        count: usize,
        worst: MemberState,
        but: Option<&Identity>,
    ) -> Vec<Identity> {
        let fits = |(id, member): &(&Identity, &Member)| member.state <= worst && Some(*id) != but;
        let mut all: Vec<&Identity> = self
            .members
            .members()
            .filter(fits)
            .map(|(id, _)| id)
            .collect();
        let mut some = Vec::new();
        while some.len() < count && !all.is_empty() {
            some.push(
                all.swap_remove(self.chance.below(all.len() as u64) as usize)
                    .clone(),
            );
        }
        some
    }
}
