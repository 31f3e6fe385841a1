//! The encoded bytes of datagrams, which other builds in the fleet have to read. A change of the
//! recorded bytes needs a new format number.
#[path = "../../tests/golden_file/mod.rs"]
mod golden_file;

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::identity::MemberRecord;
use thistlecroft_peers::shared_state::Entry;
use thistlecroft_peers::wire::{Body, Datagram, DatagramCodec, FORMAT};
use thistlecroft_peers::{EntryKind, Identity, MemberState, Node, NodeConfig, ProtocolTiming};

const FLEET: &str = "golden";
const SECRET: &[u8] = b"sixteen bytes or more";
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

fn assert_unchanged(file: &str, actual: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    golden_file::assert_unchanged(&folder.join(file), actual);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digit_pairs = text.as_bytes().chunks(2);
    digit_pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_946))
}

fn datagram(body: Body) -> Datagram {
    Datagram {
        from: Identity::new("relay-1", 0x0102_0304_0506_0708),
        address: address(1),
        incarnation: 3,
        serial: 300,
        body,
        members: Vec::new(),
        entries: Vec::new(),
    }
}

/// One datagram with each kind of body, and the name under which it is recorded.
fn datagrams_of_each_kind() -> Vec<(&'static str, Datagram)> {
    let other = Identity::new("relay-2", 7);
    let bodies = [
        (
            "ping",
            Body::Ping {
                probe: 9,
                to: other.clone(),
            },
        ),
        (
            "ping for another",
            Body::IndirectPing {
                probe: 9,
                target: other,
                address: address(2),
            },
        ),
        ("acknowledgement", Body::Ack { probe: 300 }),
        ("negative acknowledgement", Body::Nack { probe: 300 }),
        ("not the pinged process", Body::WrongTarget { probe: 300 }),
        ("gossip", Body::Gossip),
        (
            "sync request",
            Body::SyncRequest {
                digest: 0x1122_3344_5566_7788,
            },
        ),
        ("in sync", Body::InSync),
        (
            "chunk",
            Body::Chunk {
                exchange: 5,
                index: 1,
                chunk_count: 3,
                reply_requested: true,
            },
        ),
        (
            "missing chunks",
            Body::Missing {
                exchange: 5,
                indices: vec![0, 2, 300],
            },
        ),
        (
            "message",
            Body::Message {
                channel: 2,
                bytes: vec![0, 1, 255],
            },
        ),
    ];
    bodies.map(|(name, body)| (name, datagram(body))).into()
}

/// Gossip about a member in each state and about an entry of each kind, with the recorded names.
fn datagrams_with_each_record() -> Vec<(String, Datagram)> {
    let states = [
        ("alive", MemberState::Alive),
        ("suspect", MemberState::Suspect),
        ("dead", MemberState::Dead),
        ("left", MemberState::Left),
    ];
    let members = states.map(|(name, state)| {
        let mut gossip = datagram(Body::Gossip);
        gossip.members.push(MemberRecord {
            id: Identity::new("relay-2", 7),
            address: "[2001:db8::2]:7946".parse().unwrap(),
            incarnation: 2,
            state,
            accuser: (state == MemberState::Suspect).then(|| Identity::new("relay-3", 8)),
        });
        (format!("member {name}"), gossip)
    });
    let kinds = [
        ("ban", EntryKind::Ban),
        ("ejection", EntryKind::Ejection),
        ("start", EntryKind::Start),
        ("share", EntryKind::Share),
        ("work", EntryKind::Work),
        ("note", EntryKind::Note),
    ];
    let entries = kinds.map(|(name, kind)| {
        let mut gossip = datagram(Body::Gossip);
        gossip.entries.push(Entry {
            kind,
            subject: b"10.0.0.9:80".to_vec(),
            owner: Identity::new("relay-3", 8),
            epoch: 4,
            value: b"by hand".to_vec(),
            age_ms: 1_500,
        });
        (format!("fact {name}"), gossip)
    });
    members.into_iter().chain(entries).collect()
}

#[test]
fn datagrams_encode_into_the_recorded_bytes() {
    let codec = DatagramCodec::new(SECRET, FLEET);
    let mut recording = format!("format: {FORMAT}\n");
    let kinds = datagrams_of_each_kind();
    let records = datagrams_with_each_record();
    let kinds = kinds
        .into_iter()
        .map(|(name, datagram)| (name.to_string(), datagram));
    for (name, datagram) in kinds.chain(records) {
        let bytes = codec
            .encode(&datagram)
            .expect("the datagram is short enough");
        assert_eq!(bytes[0], FORMAT, "{name}: the first byte is the format");
        writeln!(recording, "{name}: {}", hex(&bytes)).unwrap();
    }
    assert_unchanged("datagrams.txt", &recording);
}

#[test]
fn recorded_datagrams_decode_into_the_originals() {
    let codec = DatagramCodec::new(SECRET, FLEET);
    let kinds = datagrams_of_each_kind();
    let records = datagrams_with_each_record();
    let kinds = kinds
        .into_iter()
        .map(|(name, datagram)| (name.to_string(), datagram));
    let expected: Vec<(String, Datagram)> = kinds.chain(records).collect();
    let recording = include_str!("golden/datagrams.txt");
    let lines: Vec<&str> = recording.lines().skip(1).collect();
    assert_eq!(lines.len(), expected.len());
    for (line, (name, datagram)) in lines.iter().zip(expected) {
        let (recorded_name, recorded) = line.split_once(": ").unwrap();
        assert_eq!(recorded_name, name);
        assert_eq!(codec.decode(&from_hex(recorded)), Ok(datagram), "{name}");
    }
}

/// Three nodes on one clock. Every datagram is recorded and arrives at once, unless its sender or
/// receiver is down.
struct Fleet {
    nodes: Vec<Node>,
    /// The index of the node that is down.
    down: Option<usize>,
    now: Instant,
    /// One line per datagram: time, sender, receiver and bytes.
    recording: String,
}

impl Fleet {
    fn start() -> Fleet {
        let config = NodeConfig {
            fleet: FLEET.into(),
            secret: SECRET.to_vec(),
            timing: ProtocolTiming {
                probe_interval: PROBE_INTERVAL,
            },
            max_bytes_per_second: 32_768,
        };
        let now = Instant::from_micros(1_000_000_000);
        let node = |number: u8| {
            let id = Identity::new(&format!("relay-{number}"), u64::from(number) * 1_000);
            let seeds = vec![address(1)];
            Node::new(
                id,
                address(number),
                seeds,
                &config,
                u64::from(number) + 40,
                now,
            )
        };
        Fleet {
            nodes: [1, 2, 3].map(node).into(),
            down: None,
            now,
            recording: String::new(),
        }
    }

    /// Delivers datagrams until no node has one to send.
    fn deliver_all(&mut self) {
        loop {
            let mut in_flight = Vec::new();
            for (sender, node) in self.nodes.iter_mut().enumerate() {
                let datagrams = node.take_datagrams().into_iter();
                in_flight.extend(datagrams.map(|(to, bytes)| (sender, to, bytes)));
            }
            if in_flight.is_empty() {
                return;
            }
            for (sender, to, bytes) in in_flight {
                if self.down == Some(sender) {
                    continue;
                }
                let at = self.now.as_micros() / 1_000;
                let from = address(sender as u8 + 1);
                writeln!(self.recording, "{at} ms {from} {to} {}", hex(&bytes)).unwrap();
                let receiver = (0..self.nodes.len()).find(|index| address(*index as u8 + 1) == to);
                if let Some(receiver) = receiver.filter(|index| self.down != Some(*index)) {
                    self.nodes[receiver].receive(&bytes, from, self.now);
                }
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for node in &mut self.nodes {
                if node.due() <= self.now {
                    node.tick(self.now);
                }
            }
            self.deliver_all();
            self.now = self.now + Duration::from_millis(10);
        }
    }
}

#[test]
fn fleet_lifecycle_sends_the_recorded_datagrams() {
    let mut fleet = Fleet::start();
    fleet.run_for(PROBE_INTERVAL * 6.0);
    let now = fleet.now;
    assert!(fleet.nodes[0].announce(EntryKind::Ban, b"10.0.0.9:80", b"by hand", now));
    let second = fleet.nodes[1].identity().clone();
    fleet.nodes[0].send_message(&second, 2, b"lease".to_vec(), now);
    fleet.run_for(PROBE_INTERVAL * 4.0);
    fleet.down = Some(2);
    fleet.run_for(PROBE_INTERVAL * 20.0);
    let third = fleet.nodes[2].identity().clone();
    assert_eq!(fleet.nodes[0].state_of(&third), Some(MemberState::Dead));
    let now = fleet.now;
    fleet.nodes[1].leave(now);
    fleet.deliver_all();
    assert_eq!(fleet.nodes[0].state_of(&second), Some(MemberState::Left));
    assert_unchanged("session.txt", &fleet.recording);
}
