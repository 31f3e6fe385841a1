//! What all relays together may do, judged from boxes, clients and those who asked at the relays'
//! doors; never from what the relays log of themselves. Beside the four rules, which each keeps
//! alone. No I/O.
use crate::event_recorder::{
    BackendIndex, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
};
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::time::{Duration, Instant};

/// Sightings of two threads may stand in the wrong order by so much.
const BLUR: Duration = Duration::from_millis(50);
/// Over this a rate is looked at.
const SECOND: Duration = Duration::from_millis(1_000);

/// What is agreed; what is not stated is not judged. Leases and whose session it is always are.
#[derive(Clone, Debug, Default)]
pub struct ClusterLimits {
    /// Sessions up at once over all relays, and for how long at most more may be.
    pub max_sessions: Option<(usize, Duration)>,
    /// Dials in any second at all boxes.
    pub max_attempts_per_second: Option<usize>,
    /// A ban by hand at one relay holds at all others after this.
    pub ban_replication_time: Option<Duration>,
    /// A session of a lost relay may be taken over, once.
    pub allows_takeover: bool,
    /// At the end each relay that runs sees all that run and nobody else.
    pub requires_consistent_membership: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClusterInvariant {
    SingleLeaseHolder,
    IncreasingEpochs,
    OneRelayPerSession,
    SingleTakeover,
    OneBackendPerSession,
    SessionLimit,
    AttemptRate,
    BansReplicated,
    ConsistentMembership,
}

impl ClusterInvariant {
    pub fn name(self) -> &'static str {
        match self {
            ClusterInvariant::SingleLeaseHolder => "one holder of a lease",
            ClusterInvariant::IncreasingEpochs => "epochs grow",
            ClusterInvariant::OneRelayPerSession => "one relay a session",
            ClusterInvariant::SingleTakeover => "taken over once",
            ClusterInvariant::OneBackendPerSession => "one box a session",
            ClusterInvariant::SessionLimit => "sessions at once over all",
            ClusterInvariant::AttemptRate => "dials a second over all",
            ClusterInvariant::BansReplicated => "bans hold everywhere",
            ClusterInvariant::ConsistentMembership => "views agree",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct ClusterViolation {
    pub invariant: ClusterInvariant,
    pub at: Instant,
    pub description: String,
}

/// All breaches in the order of time.
pub fn check_cluster_invariants(
    entries: &[RecordedEvent],
    pact: &ClusterLimits,
) -> Vec<ClusterViolation> {
    let mut found = leases(entries);
    found.extend(sessions(entries, pact));
    found.extend(sums(entries, pact));
    found.extend(bans(entries, pact));
    found.extend(views(entries, pact));
    found.sort_by_key(|breach| breach.at);
    found
}

struct Said {
    relay: RelayIndex,
    epoch: u64,
    asked: Instant,
    heard: Instant,
    until: Instant,
}

/// When it looked lies between its asking and its answer: it held from the answer, at the latest,
/// until what it said was left from the asking, at the least, whatever becomes of the relay
/// meanwhile: whoever was told may act. Where these leave nothing, nothing is known.
fn leases(entries: &[RecordedEvent]) -> Vec<ClusterViolation> {
    let mut by_subject: BTreeMap<&str, Vec<Said>> = BTreeMap::new();
    for RecordedEvent {
        at,
        observation: seen,
    } in entries
    {
        if let Observation::LeaseClaimed {
            relay,
            subject,
            epoch,
            requested_at: asked,
            valid_until: until,
        } = seen
        {
            let said = Said {
                relay: *relay,
                epoch: *epoch,
                asked: *asked,
                heard: *at,
                until: *until,
            };
            by_subject.entry(subject).or_default().push(said);
        }
    }
    let mut found = Vec::new();
    for (subject, mut all) in by_subject {
        all.sort_by_key(|said| said.heard);
        // By relay the last that is known of it, and of each epoch whose it is.
        let mut last: BTreeMap<RelayIndex, (Instant, Instant)> = BTreeMap::new();
        let mut owners: BTreeMap<u64, RelayIndex> = BTreeMap::new();
        let mut highest: Vec<(Instant, u64)> = Vec::new();
        for said in &all {
            let breach = |rule, what| ClusterViolation {
                invariant: rule,
                at: said.heard,
                description: what,
            };
            let beside = last.iter().find(|(relay, (from, until))| {
                **relay != said.relay
                    && *from < said.until
                    && said.heard < *until
                    && said.heard < said.until
            });
            if let Some((other, _)) = beside {
                let what = format!(
                    "relays {} and {} hold \"{subject}\" at once",
                    other.0, said.relay.0
                );
                found.push(breach(ClusterInvariant::SingleLeaseHolder, what));
            }
            let owner = *owners.entry(said.epoch).or_insert(said.relay);
            if owner != said.relay {
                let what = format!(
                    "relays {} and {} both hold \"{subject}\" by epoch {}",
                    owner.0, said.relay.0, said.epoch
                );
                found.push(breach(ClusterInvariant::IncreasingEpochs, what));
            }
            let before = highest.iter().rev().find(|(heard, _)| *heard < said.asked);
            if let Some((_, before)) = before.filter(|(_, before)| *before > said.epoch) {
                let what = format!(
                    "\"{subject}\" is held by epoch {} after {before}",
                    said.epoch
                );
                found.push(breach(ClusterInvariant::IncreasingEpochs, what));
            }
            let top = highest.last().map_or(0, |(_, top)| *top).max(said.epoch);
            highest.push((said.heard, top));
            if said.heard < said.until {
                let (from, until) = last
                    .get(&said.relay)
                    .copied()
                    .unwrap_or((said.heard, said.until));
                let joins = said.heard <= until;
                let from = if joins { from } else { said.heard };
                last.insert(said.relay, (from, until.max(said.until)));
            }
        }
    }
    found
}

fn sessions(entries: &[RecordedEvent], pact: &ClusterLimits) -> Vec<ClusterViolation> {
    let mut relay_of: BTreeMap<SessionId, RelayIndex> = BTreeMap::new();
    let mut killed: BTreeMap<RelayIndex, Instant> = BTreeMap::new();
    let mut taken: BTreeMap<SessionId, usize> = BTreeMap::new();
    let mut up: BTreeMap<SessionId, BTreeSet<BackendIndex>> = BTreeMap::new();
    let mut found = Vec::new();
    for RecordedEvent {
        at,
        observation: seen,
    } in entries
    {
        match seen {
            Observation::SessionRequested {
                session,
                relay: Some(relay),
                ..
            } => {
                relay_of.insert(*session, *relay);
                // One that took a client after its kill is another process.
                killed.remove(relay);
            }
            Observation::RelayKilled { relay } => drop(killed.insert(*relay, *at)),
            Observation::AttemptReceived {
                session,
                backend: of,
                first_byte_at: first,
            } => {
                let Some(relay) = relay_of.get(session) else {
                    continue;
                };
                let Some(dead) = killed.get(relay).filter(|dead| *first > **dead + BLUR) else {
                    continue;
                };
                let count = taken.entry(*session).or_default();
                *count += 1;
                let after = first.duration_since(*dead).as_millis();
                let what = format!(
                    "box {} is dialled for a session of relay {}, dead for {after} ms",
                    of.0, relay.0
                );
                if !pact.allows_takeover {
                    found.push(ClusterViolation {
                        invariant: ClusterInvariant::OneRelayPerSession,
                        at: *at,
                        description: what,
                    });
                } else if *count > 1 {
                    found.push(ClusterViolation {
                        invariant: ClusterInvariant::SingleTakeover,
                        at: *at,
                        description: format!("{what}, again"),
                    });
                }
            }
            Observation::AttemptAnswered {
                session,
                backend: of,
                reply: Reply::Accepted,
            } => {
                let boxes = up.entry(*session).or_default();
                boxes.insert(*of);
                if boxes.len() > 1 {
                    let numbers: Vec<String> = boxes.iter().map(|of| of.0.to_string()).collect();
                    let what = format!("boxes {} hold one session", numbers.join(" and "));
                    found.push(ClusterViolation {
                        invariant: ClusterInvariant::OneBackendPerSession,
                        at: *at,
                        description: what,
                    });
                }
            }
            Observation::AttemptAbandoned {
                session,
                backend: of,
            }
            | Observation::BackendClosedSession {
                session,
                backend: of,
            } => {
                up.entry(*session).or_default().remove(of);
            }
            Observation::BackendStopped { backend: of } => {
                for boxes in up.values_mut() {
                    boxes.remove(of);
                }
            }
            _ => {}
        }
    }
    found
}

fn sums(entries: &[RecordedEvent], pact: &ClusterLimits) -> Vec<ClusterViolation> {
    let mut found = Vec::new();
    let mut standing: BTreeSet<SessionId> = BTreeSet::new();
    let mut over: Option<Instant> = None;
    let mut dials: Vec<Instant> = Vec::new();
    for RecordedEvent {
        at,
        observation: seen,
    } in entries
    {
        // As it was until now: what ends it comes too late if it lasted too long.
        if let (Some((most, allowed)), Some(since)) = (pact.max_sessions, over)
            && at.duration_since(since) > allowed
        {
            let what = format!("{} sessions are up, {most} may be", standing.len());
            found.push(ClusterViolation {
                invariant: ClusterInvariant::SessionLimit,
                at: *at,
                description: what,
            });
            over = Some(*at);
        }
        match seen {
            Observation::Answered {
                session,
                answer: crate::event_recorder::Answer::Accepted,
            } => {
                standing.insert(*session);
            }
            Observation::Migrated { session }
            | Observation::SessionClosed { session }
            | Observation::ConnectionLost { session } => {
                standing.remove(session);
            }
            Observation::AttemptReceived {
                first_byte_at: first,
                ..
            } => dials.push(*first),
            _ => {}
        }
        if let Some((most, _)) = pact.max_sessions {
            over = (standing.len() > most).then(|| over.unwrap_or(*at));
        }
    }
    if let Some(most) = pact.max_attempts_per_second {
        dials.sort_unstable();
        for (place, at) in dials.iter().enumerate() {
            let from = dials.partition_point(|other| *other + SECOND <= *at);
            let count = place + 1 - from;
            if count > most {
                let what = format!("{count} dials in a second, {most} may be");
                found.push(ClusterViolation {
                    invariant: ClusterInvariant::AttemptRate,
                    at: *at,
                    description: what,
                });
            }
        }
    }
    found
}

fn bans(entries: &[RecordedEvent], pact: &ClusterLimits) -> Vec<ClusterViolation> {
    let Some(within) = pact.ban_replication_time else {
        return Vec::new();
    };
    let mut out: BTreeMap<BackendIndex, Instant> = BTreeMap::new();
    let mut found = Vec::new();
    for RecordedEvent {
        at,
        observation: seen,
    } in entries
    {
        match seen {
            Observation::BackendBanned {
                backend: of,
                banned: true,
                ..
            } => drop(out.entry(*of).or_insert(*at)),
            Observation::BackendBanned {
                backend: of,
                banned: false,
                ..
            } => drop(out.remove(of)),
            Observation::AttemptReceived {
                backend: of,
                first_byte_at: first,
                ..
            } => {
                let Some(since) = out.get(of).filter(|since| *first > **since + within + BLUR)
                else {
                    continue;
                };
                let after = first.duration_since(*since).as_millis();
                let what = format!("box {} is dialled {after} ms after its ban", of.0);
                found.push(ClusterViolation {
                    invariant: ClusterInvariant::BansReplicated,
                    at: *at,
                    description: what,
                });
            }
            _ => {}
        }
    }
    found
}

/// By what each relay that runs said last.
fn views(entries: &[RecordedEvent], pact: &ClusterLimits) -> Vec<ClusterViolation> {
    if !pact.requires_consistent_membership {
        return Vec::new();
    }
    let mut running: BTreeSet<RelayIndex> = BTreeSet::new();
    let mut sees: BTreeMap<RelayIndex, (Instant, &Vec<String>)> = BTreeMap::new();
    for RecordedEvent {
        at,
        observation: seen,
    } in entries
    {
        match seen {
            Observation::RelayStarted { relay } => drop(running.insert(*relay)),
            Observation::RelayKilled { relay } | Observation::RelayStopped { relay } => {
                running.remove(relay);
            }
            Observation::MembersSeen {
                relay,
                members: here,
            } => drop(sees.insert(*relay, (*at, here))),
            _ => {}
        }
    }
    let all: BTreeSet<String> = running
        .iter()
        .map(|relay| format!("relay-{}", relay.0))
        .collect();
    let wrong = running.iter().filter_map(|relay| {
        let (at, here) = sees.get(relay).copied()?;
        let here: BTreeSet<String> = here.iter().cloned().collect();
        (here != all).then(|| {
            let what = format!(
                "relay {} sees {} of {} relays at the end",
                relay.0,
                here.intersection(&all).count(),
                all.len()
            );
            ClusterViolation {
                invariant: ClusterInvariant::ConsistentMembership,
                at,
                description: what,
            }
        })
    });
    wrong.collect()
}
