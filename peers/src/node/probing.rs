//! Failure detection. One member is probed in each interval. If it does not answer, other members
//! are asked to ping it. If none of them gets an answer either, the member becomes suspect.
use super::{
    INDIRECT_PROBE_HELPERS, IndirectProbe, MAX_INDIRECT_PROBES, Node, Priority, Probe,
    change_health,
};
use crate::identity::{Identity, MemberRecord, MemberState};
use crate::members::Member;
use crate::wire::Body;
use std::net::SocketAddr;
use thistlecroft::time::Instant;

impl Node {
    fn next_probe_number(&mut self) -> u32 {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        self.last_probe_number
    }

    /// Pings a target for another member. `probe` is the requester's number of the probe.
    pub(super) fn start_indirect_probe(
        &mut self,
        (requester, requester_at): (&Identity, SocketAddr),
        probe: u32,
        (target, target_at): (&Identity, SocketAddr),
        now: Instant,
    ) {
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let number = self.next_probe_number();
        let indirect = IndirectProbe {
            requester: requester.clone(),
            requester_at,
            probe,
            until: now + self.timing.ack_timeout(),
        };
        self.indirect_probes.insert(number, indirect);
        let body = Body::Ping {
            probe: number,
            to: target.clone(),
        };
        self.send(target_at, Some(target), body, Priority::Urgent, now);
    }

    pub(super) fn handle_ack(&mut self, number: u32, now: Instant) {
        if let Some(indirect) = self.indirect_probes.remove(&number) {
            let ack = Body::Ack {
                probe: indirect.probe,
            };
            let requester = Some(&indirect.requester);
            self.send(indirect.requester_at, requester, ack, Priority::Urgent, now);
            return;
        }
        // The acknowledgement comes from the target itself or from a helper that reached it.
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) else {
            return;
        };
        if !probe.is_answered {
            probe.is_answered = true;
            change_health(&mut self.health, -1);
        }
    }

    /// Notes that a helper got no answer from the target either.
    pub(super) fn handle_nack(&mut self, number: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            probe.nack_count += 1;
        }
    }

    /// Handles the answer of a process that is not the target but has its address now, which means
    /// that the target no longer runs.
    pub(super) fn handle_wrong_target(
        &mut self,
        number: u32,
        from: &Identity,
        address: SocketAddr,
        now: Instant,
    ) {
        let Some(probe) = self.probe.as_ref().filter(|probe| probe.number == number) else {
            return;
        };
        let target = probe.target.clone();
        let Some(member) = self.members.get(&target) else {
            return;
        };
        if member.address != address || target == *from || member.state >= MemberState::Dead {
            return;
        }
        let record = MemberRecord {
            id: target,
            address,
            incarnation: member.incarnation,
            state: MemberState::Left,
            accuser: None,
        };
        self.merge(&record, now);
        self.probe = None;
    }

    /// Advances the current probe, and starts the next one when it is due.
    pub(super) fn advance_probe(&mut self, now: Instant) {
        if let Some(probe) = &self.probe {
            if probe.is_answered {
                self.probe = None;
            } else if probe.deadline <= now {
                self.fail_probe(now);
            } else if !probe.is_indirect && probe.indirect_at <= now {
                self.send_indirect_pings(now);
            }
        }
        if self.probe.is_none() && now >= self.next_probe {
            self.start_probe(now);
        }
    }

    fn start_probe(&mut self, now: Instant) {
        let health_factor = f64::from(self.health + 1);
        let deadline = now + self.timing.probe_interval * health_factor;
        self.next_probe = deadline;
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let number = self.next_probe_number();
        self.probe = Some(Probe {
            number,
            target: target.clone(),
            indirect_at: now + self.timing.ack_timeout() * health_factor,
            deadline,
            helper_count: 0,
            nack_count: 0,
            is_indirect: false,
            is_answered: false,
        });
        self.counts.probes += 1;
        let Some(address) = self.members.get(&target).map(|member| member.address) else {
            return;
        };
        let ping = Body::Ping {
            probe: number,
            to: target.clone(),
        };
        self.send(address, Some(&target), ping, Priority::Urgent, now);
    }

    /// Returns the next member to probe. Each round covers all live members in random order.
    fn next_probe_target(&mut self) -> Option<Identity> {
        for _ in 0..2 {
            while let Some(id) = self.probe_queue.pop() {
                let member = self.members.get(&id);
                if member.is_some_and(|member| member.state <= MemberState::Suspect) {
                    return Some(id);
                }
            }
            self.probe_queue = self.members.live().map(|(id, _)| id.clone()).collect();
            for index in (1..self.probe_queue.len()).rev() {
                let other = self.rng.below(index as u64 + 1) as usize;
                self.probe_queue.swap(index, other);
            }
        }
        None
    }

    /// Asks helpers to ping the target of the current probe.
    fn send_indirect_pings(&mut self, now: Instant) {
        let Some(probe) = &mut self.probe else { return };
        probe.is_indirect = true;
        let (number, target) = (probe.number, probe.target.clone());
        let Some(target_at) = self.members.get(&target).map(|member| member.address) else {
            return;
        };
        let helpers =
            self.random_members(INDIRECT_PROBE_HELPERS, MemberState::Alive, Some(&target));
        if let Some(probe) = &mut self.probe {
            probe.helper_count = helpers.len() as u32;
        }
        for id in helpers {
            let Some(address) = self.members.get(&id).map(|member| member.address) else {
                continue;
            };
            let body = Body::IndirectPing {
                probe: number,
                target: target.clone(),
                address: target_at,
            };
            self.send(address, Some(&id), body, Priority::Urgent, now);
        }
    }

    fn fail_probe(&mut self, now: Instant) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.counts.probes_failed += 1;
        // If helpers sent neither an ack nor a nack, this process itself is probably slow or cut
        // off from the network.
        let silent_helpers = probe.helper_count.saturating_sub(probe.nack_count);
        let health_penalty = match probe.helper_count {
            0 => 1,
            _ => silent_helpers as i32,
        };
        change_health(&mut self.health, health_penalty);
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        if member.state > MemberState::Suspect {
            return;
        }
        let record = MemberRecord {
            id: probe.target,
            address: member.address,
            incarnation: member.incarnation,
            state: MemberState::Suspect,
            accuser: Some(self.identity.clone()),
        };
        self.merge(&record, now);
    }

    /// Sends a nack to requesters whose targets have not answered in time.
    pub(super) fn expire_indirect_probes(&mut self, now: Instant) {
        let probes = self.indirect_probes.iter();
        let expired: Vec<u32> = probes
            .filter(|(_, indirect)| indirect.until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            if let Some(indirect) = self.indirect_probes.remove(&number) {
                let nack = Body::Nack {
                    probe: indirect.probe,
                };
                let requester = Some(&indirect.requester);
                self.send(
                    indirect.requester_at,
                    requester,
                    nack,
                    Priority::Urgent,
                    now,
                );
            }
        }
    }

    /// Returns up to `count` random members, without `except`, whose state is no worse than
    /// `worst`.
    pub(super) fn random_members(
        &mut self,
        count: usize,
        worst: MemberState,
        except: Option<&Identity>,
    ) -> Vec<Identity> {
        let is_eligible =
            |(id, member): &(&Identity, &Member)| member.state <= worst && Some(*id) != except;
        let members = self.members.members();
        let mut eligible: Vec<&Identity> = members.filter(is_eligible).map(|(id, _)| id).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !eligible.is_empty() {
            let index = self.rng.below(eligible.len() as u64) as usize;
            chosen.push(eligible.swap_remove(index).clone());
        }
        chosen
    }
}
