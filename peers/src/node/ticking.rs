//! Periodic work of a node, and recovery from pauses of the process.
use super::{Event, GOSSIP_FANOUT, GOSSIP_INTERVAL, Node, Priority, change_health};
use crate::identity::MemberState;
use crate::wire::Body;
use thistlecroft::time::{Duration, Instant};

/// How late a call of [`Node::tick`] may be, in probe intervals, before the process counts as
/// paused.
const PAUSE_THRESHOLD: f64 = 0.5;
/// The time from the end of a pause to the next probe, in probe intervals.
const PROBE_DELAY_AFTER_PAUSE: f64 = 0.5;

impl Node {
    /// Does everything that is due. If the call comes much later than [`Node::due`], the time since
    /// then counts as a pause of this process and against no other member, since this process could
    /// not receive anything meanwhile.
    pub fn tick(&mut self, now: Instant) {
        let delay = now.duration_since(self.due().max(self.last_tick));
        if delay > self.timing.probe_interval * PAUSE_THRESHOLD {
            self.recover_from_pause(delay, now);
        }
        self.last_tick = now;
        if self.has_left {
            return;
        }
        self.advance_probe(now);
        self.expire_suspicions(now);
        self.expire_indirect_probes(now);
        self.request_missing_chunks(now);
        self.contact_seeds_and_dead_members(now);
        self.sync_and_expire(now);
        if !self.gossip.is_empty() && now >= self.next_gossip {
            self.spread_gossip(now);
        }
    }

    fn expire_suspicions(&mut self, now: Instant) {
        for id in self.members.expired_suspicions(now) {
            let Some(mut record) = self.members.record(&id) else {
                continue;
            };
            record.state = MemberState::Dead;
            record.accuser = Some(self.identity.clone());
            self.merge(&record, now);
        }
    }

    fn spread_gossip(&mut self, now: Instant) {
        self.next_gossip = now + self.timing.probe_interval * GOSSIP_INTERVAL;
        // Suspects are included, since only they can refute a suspicion.
        for id in self.random_members(GOSSIP_FANOUT, MemberState::Suspect, None) {
            if self.gossip.is_empty() {
                break;
            }
            let Some(address) = self.members.get(&id).map(|member| member.address) else {
                continue;
            };
            self.send(address, Some(&id), Body::Gossip, Priority::Normal, now);
        }
    }

    /// Drops pending probes and extends suspicions after a pause of this process.
    fn recover_from_pause(&mut self, duration: Duration, now: Instant) {
        self.events.push(Event::Paused { duration });
        change_health(&mut self.health, 1);
        self.members.extend_suspicions(duration);
        self.probe = None;
        self.indirect_probes.clear();
        self.next_probe = now + self.timing.probe_interval * PROBE_DELAY_AFTER_PAUSE;
    }
}
