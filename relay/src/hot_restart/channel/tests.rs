//! Tests of the channel, with both ends in one process.
use super::*;
use crate::hot_restart::messages::SnapshotMessage;
use thistlecroft::attempt::LoadReport;
use thistlecroft::ids::BackendId;
use thistlecroft::snapshot::{BalancerSnapshot, EndpointStatistics};
use thistlecroft::time::{Duration, Instant};

/// The temporary folder of one test, removed when dropped.
pub(crate) struct TestFolder(PathBuf);

impl TestFolder {
    pub(crate) fn new(name: &str) -> TestFolder {
        let name = format!("thistlecroft-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        TestFolder(folder)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Both ends of a new channel.
pub(crate) struct ChannelPair {
    pub(crate) predecessor: Channel,
    pub(crate) successor: Channel,
    _listener: SuccessorListener,
}

pub(crate) fn connect(folder: &TestFolder, sockets: &mut Sockets) -> ChannelPair {
    let mut listener = SuccessorListener::open(&folder.0, sockets).unwrap();
    let successor = connect_to_predecessor(&folder.0, sockets).unwrap();
    let predecessor = listener.accept(sockets).unwrap();
    ChannelPair {
        predecessor,
        successor,
        _listener: listener,
    }
}

pub(crate) fn new_sockets() -> Sockets {
    Sockets::new(std::rc::Rc::new(polling::Poller::new().unwrap()))
}

/// Returns a snapshot of `backends` backends whose numbers have many digits.
fn snapshot(backends: u32) -> BalancerSnapshot {
    let at = Instant::from_micros(1_764_000_000_123_456);
    let report = LoadReport {
        connections: Some(1_234.5),
        load: Some(0.123_456_789),
    };
    let statistics = EndpointStatistics {
        last_report: Some((at, report)),
        weight_at_report: 0.987_654,
        ..EndpointStatistics::default()
    };
    let endpoints = (0..backends).map(|id| (BackendId(id), statistics));
    BalancerSnapshot {
        endpoints: endpoints.collect(),
        connect_time: Duration::from_millis(12),
        connection_seconds: 1.5,
        departures: 2.5,
    }
}

/// One backend takes about 150 bytes, so that a thousand do not fit into one packet.
#[test]
fn snapshot_of_a_thousand_backends_is_received_completely() {
    let folder = TestFolder::new("parts");
    let mut sockets = new_sockets();
    let channels = connect(&folder, &mut sockets);
    for backends in [0, 1, 128, 1_024] {
        let sent = snapshot(backends);
        let names: Vec<String> = (0..backends)
            .map(|id| format!("backend-in-zone-a-{id:08x}"))
            .collect();
        let id = |name: &str| {
            let position = names.iter().position(|known| known == name);
            BackendId(position.unwrap() as u32)
        };
        let message = SnapshotMessage::new(&sent, |id| &names[id.0 as usize], |_| false);
        for part in message.into_parts() {
            assert!(
                channels
                    .predecessor
                    .send(&Message::Snapshot(part), &[], &[])
                    .unwrap(),
                "{backends} backends: the channel is full"
            );
        }
        let mut received = Vec::new();
        while let Received::Packet(packet) = channels.successor.receive() {
            let Message::Snapshot(part) = packet.message else {
                panic!("{backends} backends: not a snapshot")
            };
            received.extend(part.to_snapshot(id).endpoints);
        }
        assert_eq!(received, sent.endpoints, "{backends} backends");
    }
}

#[test]
fn messages_of_an_ended_process_with_unread_messages_are_received() {
    let folder = TestFolder::new("unread");
    let mut sockets = new_sockets();
    for unread in [0, 1, 5] {
        let ChannelPair {
            predecessor,
            successor,
            ..
        } = connect(&folder, &mut sockets);
        for count in 0..unread {
            let message = Message::OpenDescriptors { count };
            assert!(successor.send(&message, &[], &[]).unwrap());
        }
        for serial in 0..3 {
            let message = Message::Released { serial };
            assert!(predecessor.send(&message, &[], &[]).unwrap());
        }
        drop(predecessor);
        for expected in 0..3 {
            let Received::Packet(packet) = successor.receive() else {
                panic!("{unread} unread: message {expected} is lost")
            };
            assert_eq!(packet.message, Message::Released { serial: expected });
        }
        assert!(matches!(successor.receive(), Received::Closed(_)));
    }
}
