//! What operators are shown about peers, notes and leases: one line of JSON, for people and
//! programs.
use super::Peers;
use serde::Serialize;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::Leases;
use thistlecroft_peers::{EntryKind, Node};

/// This relay, and its peers as this relay sees them.
#[derive(Serialize)]
pub(super) struct MembersView {
    me: String,
    name: String,
    health: u32,
    #[serde(rename = "unheard")]
    unreachable: usize,
    facts: usize,
    peers: Vec<MemberView>,
    leases: Option<LeasesView>,
    counts: DatagramCounts,
}

/// A peer of this relay.
#[derive(Serialize)]
struct MemberView {
    id: String,
    name: String,
    #[serde(rename = "at")]
    address: String,
    #[serde(rename = "standing")]
    state: &'static str,
    incarnation: u32,
    since_ms: u64,
    heard_ms: Option<u64>,
}

/// The leases that this relay holds, and its state as a voter.
#[derive(Serialize)]
struct LeasesView {
    vote: &'static str,
    generation: u32,
    #[serde(rename = "settled")]
    is_settled: bool,
    held: Vec<HeldLeaseView>,
    counts: LeaseCounts,
}

#[derive(Serialize)]
struct HeldLeaseView {
    subject: String,
    epoch: u64,
    left_ms: u64,
}

/// Counters of the protocol between peers since the start.
#[derive(Serialize)]
struct DatagramCounts {
    sent: u64,
    sent_bytes: u64,
    heard: u64,
    heard_bytes: u64,
    odd_size: u64,
    other_format: u64,
    foreign: u64,
    malformed: u64,
    repeated: u64,
    held_back: u64,
    probes: u64,
    probes_failed: u64,
    suspected: u64,
    refuted: u64,
    send_failures: u64,
}

#[derive(Serialize)]
struct LeaseCounts {
    requests: u64,
    retries: u64,
    refusals: u64,
    sessions_lost: u64,
    older_protocol: u64,
    voter_subjects: usize,
    voter_sessions: usize,
    voter_full: u64,
}

/// The notes of all relays that are known here.
#[derive(Serialize)]
pub(super) struct NotesView {
    #[serde(rename = "unheard")]
    unreachable: usize,
    notes: Vec<NoteView>,
}

#[derive(Serialize)]
struct NoteView {
    subject: String,
    value: String,
    owner: String,
    epoch: u64,
    age_ms: u64,
}

/// Returns one line of JSON with its keys in alphabetical order.
fn to_json(view: &impl Serialize) -> String {
    // Converts to a `Value` first, which sorts the keys.
    let value = serde_json::to_value(view).expect("views hold text and numbers");
    value.to_string()
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn millis_since(at: Instant, now: Instant) -> u64 {
    now.duration_since(at).as_millis()
}

impl MembersView {
    pub(super) fn new(peers: &Peers, now: Instant) -> MembersView {
        let node = &peers.node;
        let members = node.members().map(|member| MemberView {
            id: member.id.to_string(),
            name: member.id.name.to_string(),
            address: member.address.to_string(),
            state: member.state.as_str(),
            incarnation: member.incarnation,
            since_ms: millis_since(member.since, now),
            heard_ms: member.last_received.map(|at| millis_since(at, now)),
        });
        MembersView {
            me: node.identity().to_string(),
            name: node.identity().name.to_string(),
            health: node.health(),
            unreachable: node.unreachable_count(),
            facts: node.shared_state().len(),
            peers: members.collect(),
            leases: peers
                .leases
                .as_ref()
                .map(|leases| LeasesView::new(leases, now)),
            counts: DatagramCounts::new(node, peers.send_failures),
        }
    }

    pub(super) fn to_json(&self) -> String {
        to_json(self)
    }
}

impl LeasesView {
    fn new(leases: &Leases, now: Instant) -> LeasesView {
        let held = leases.subjects().filter_map(|subject| {
            let held = leases.held(subject, now)?;
            let left: Duration = held.until.duration_since(now);
            Some(HeldLeaseView {
                subject: to_text(subject),
                epoch: held.epoch,
                left_ms: left.as_millis(),
            })
        });
        let counts = leases.counts();
        LeasesView {
            vote: leases.voter_status(now).as_str(),
            generation: leases.config().electorate.generation,
            is_settled: leases.is_settled(now),
            held: held.collect(),
            counts: LeaseCounts {
                requests: counts.requests,
                retries: counts.retries,
                refusals: counts.rejections,
                sessions_lost: counts.sessions_lost,
                older_protocol: counts.older_protocol,
                voter_subjects: counts.voter_subjects,
                voter_sessions: counts.voter_sessions,
                voter_full: counts.voter_full,
            },
        }
    }
}

impl DatagramCounts {
    fn new(node: &Node, send_failures: u64) -> DatagramCounts {
        let counts = &node.counts;
        DatagramCounts {
            sent: counts.sent,
            sent_bytes: counts.sent_bytes,
            heard: counts.received,
            heard_bytes: counts.received_bytes,
            odd_size: counts.wrong_size,
            other_format: counts.unknown_format,
            foreign: counts.foreign,
            malformed: counts.malformed,
            repeated: counts.repeated,
            held_back: counts.rate_limited,
            probes: counts.probes,
            probes_failed: counts.probes_failed,
            suspected: counts.suspected,
            refuted: counts.refuted,
            send_failures,
        }
    }
}

impl NotesView {
    pub(super) fn new(node: &Node, now: Instant) -> NotesView {
        let notes = node
            .shared_state()
            .of_kind(EntryKind::Note, now)
            .map(|note| NoteView {
                subject: to_text(note.subject),
                value: to_text(note.value),
                owner: note.owner.to_string(),
                epoch: note.epoch,
                age_ms: note.age.as_millis(),
            });
        NotesView {
            unreachable: node.unreachable_count(),
            notes: notes.collect(),
        }
    }

    pub(super) fn to_json(&self) -> String {
        to_json(self)
    }
}
