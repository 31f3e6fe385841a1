//! What goes from a process of a relay to the next, as it is written on the way: one packet each, a
//! line of JSON with a version, then raw bytes. No I/O.
use serde::{Deserialize, Serialize};
use thistlecroft::attempt::LoadReport;
use thistlecroft::ids::BackendId;
use thistlecroft::snapshot::{BalancerSnapshot, EndpointStatistics};
use thistlecroft::time::{Duration, Instant};

/// Of the words below; a process that speaks another moves its clients instead.
pub const VERSION: u32 = 2;

/// A standing connection; its two descriptors go beside it, the client's first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionHandover {
    /// Of its offer, for the answer.
    pub serial: u32,
    pub id: u64,
    pub listener: String,
    pub key: Option<u64>,
    pub group: Option<u64>,
    pub backend: String,
    /// When a line last passed, and the first client's line without one back, Unix time in
    /// microseconds.
    pub heard_us: u64,
    pub asked_us: Option<u64>,
    pub told_delay_us: u64,
    pub load: Option<f64>,
    /// Bytes that wait on their way to the backend and to the client, and how many of them are
    /// whole lines.
    pub up: (usize, usize),
    pub down: (usize, usize),
}

/// What a relay knows of one backend, by the id that is the same in both processes. Times are Unix
/// microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointMessage {
    pub backend: String,
    heard: Option<(u64, Option<f64>, Option<f64>)>,
    weight_heard: f64,
    strikes: u32,
    ejections: u32,
    owed: u32,
    cold_turn: Option<(u64, u32)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotMessage {
    pub sights: Vec<EndpointMessage>,
    set_up_us: u64,
    stood: f64,
    left_alone: f64,
}

impl SnapshotMessage {
    /// As many as are told at once, so that each part fits into a packet however many backends
    /// there are.
    const PART: usize = 128;

    /// The same in parts, each of which can be taken in alone; one at least.
    pub fn parts(mut self) -> Vec<SnapshotMessage> {
        let mut parts = Vec::new();
        while self.sights.len() > SnapshotMessage::PART {
            let rest = self.sights.split_off(SnapshotMessage::PART);
            parts.push(SnapshotMessage {
                sights: std::mem::replace(&mut self.sights, rest),
                ..self
            });
        }
        parts.push(self);
        parts
    }

    pub fn of<'a>(
        memory: &BalancerSnapshot,
        name: impl Fn(BackendId) -> &'a str,
    ) -> SnapshotMessage {
        let sight = |&(id, sight): &(BackendId, EndpointStatistics)| EndpointMessage {
            backend: name(id).to_string(),
            heard: sight
                .last_report
                .map(|(at, report)| (at.as_micros(), report.connections, report.load)),
            weight_heard: sight.weight_at_report,
            strikes: sight.consecutive_failures,
            ejections: sight.ejections,
            owed: sight.pending_health_checks,
            cold_turn: sight.slow_start_use,
        };
        SnapshotMessage {
            sights: memory.endpoints.iter().map(sight).collect(),
            set_up_us: memory.connect_time.as_micros(),
            stood: memory.connection_seconds,
            left_alone: memory.departures,
        }
    }

    pub fn memory(&self, mut id: impl FnMut(&str) -> BackendId) -> BalancerSnapshot {
        let sights = self.sights.iter().map(|sight| {
            (
                id(&sight.backend),
                EndpointStatistics {
                    last_report: sight.heard.map(|(at, connections, load)| {
                        (Instant::from_micros(at), LoadReport { connections, load })
                    }),
                    weight_at_report: sight.weight_heard,
                    consecutive_failures: sight.strikes,
                    ejections: sight.ejections,
                    pending_health_checks: sight.owed,
                    slow_start_use: sight.cold_turn,
                },
            )
        });
        let set_up = Duration::from_micros(self.set_up_us);
        BalancerSnapshot {
            endpoints: sights.collect(),
            connect_time: set_up,
            connection_seconds: self.stood,
            departures: self.left_alone,
        }
    }
}

/// What either side says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The new one's first.
    Hello {
        version: u32,
        relay: String,
    },
    /// The old one's, at the beginning and when it leaves; in parts.
    Memory(SnapshotMessage),
    /// It takes nothing new any more.
    Leaving,
    /// Descriptors that either holds: one limit is for both.
    Holds {
        sockets: usize,
    },
    Session(SessionHandover),
    /// The new one holds it and does not touch it yet.
    Took {
        serial: u32,
    },
    Declined {
        serial: u32,
    },
    /// The old one has let go of it. Without this word the new one lets go: no connection ever has
    /// two readers.
    Yours {
        serial: u32,
    },
}

/// `bytes`: what a session has waiting, up then down.
pub fn packet(word: &Message, bytes: &[&[u8]]) -> Vec<u8> {
    let mut packet = serde_json::to_vec(word).expect("a word is text, numbers and names");
    packet.push(b'\n');
    bytes
        .iter()
        .for_each(|bytes| packet.extend_from_slice(bytes));
    packet
}

/// # Errors
/// What is wrong with it.
pub fn word(packet: &[u8]) -> Result<(Message, &[u8], &[u8]), String> {
    let at = packet
        .iter()
        .position(|&byte| byte == b'\n')
        .ok_or("a packet without a line")?;
    let word: Message = serde_json::from_slice(&packet[..at]).map_err(|fault| fault.to_string())?;
    let rest = &packet[at + 1..];
    let (up, down) = match &word {
        Message::Session(estate) => (estate.up, estate.down),
        _ => ((0, 0), (0, 0)),
    };
    if up.0.checked_add(down.0) != Some(rest.len()) || up.1 > up.0 || down.1 > down.0 {
        return Err("bytes that don't add up".into());
    }
    let (up, down) = rest.split_at(up.0);
    Ok((word, up, down))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn estate() -> SessionHandover {
        SessionHandover {
            serial: 7,
            id: 0x9b1f_03aa_5c7e_2d41,
            listener: "slot \"hold\"\n".into(),
            key: Some(u64::MAX),
            group: None,
            backend: "s-5be2a07c".into(),
            heard_us: 1_796_000_000_000_001,
            asked_us: Some(3),
            told_delay_us: 0,
            load: Some(0.25),
            up: (6, 4),
            down: (0, 0),
        }
    }

    #[test]
    fn words_come_out_as_they_went_in() {
        let heard = [None, Some((9, Some(3.0), None)), Some((8, None, Some(0.5)))];
        let sights = heard.map(|heard| EndpointMessage {
            backend: "b".into(),
            heard,
            weight_heard: 0.8,
            strikes: 1,
            ejections: 2,
            owed: 11,
            cold_turn: Some((5, 1)),
        });
        let memory = SnapshotMessage {
            sights: sights.to_vec(),
            set_up_us: 12,
            stood: 1.5,
            left_alone: 2.5,
        };
        let back = memory.memory(|_| BackendId(4));
        assert_eq!(SnapshotMessage::of(&back, |_| "b"), memory);
        let words = [
            Message::Hello {
                version: VERSION,
                relay: "n3".into(),
            },
            Message::Memory(memory),
            Message::Leaving,
            Message::Holds { sockets: 300 },
            Message::Took { serial: 1 },
            Message::Declined { serial: 2 },
            Message::Yours { serial: 3 },
        ];
        for one in words {
            assert_eq!(word(&packet(&one, &[])), Ok((one, &b""[..], &b""[..])));
        }
        let session = Message::Session(estate());
        let sent = packet(&session, &[b"a\r\nb\n\n", b""]);
        assert_eq!(word(&sent), Ok((session, &b"a\r\nb\n\n"[..], &b""[..])));
    }

    #[test]
    fn what_does_not_add_up_is_a_fault() {
        let sound = packet(&Message::Session(estate()), &[b"a\r\nb\n\n", b""]);
        for length in 0..sound.len() {
            assert!(word(&sound[..length]).is_err(), "cut at {length}");
        }
        let huge = SessionHandover {
            up: (usize::MAX, 0),
            down: (usize::MAX, 0),
            ..estate()
        };
        let more = SessionHandover {
            up: (6, 7),
            ..estate()
        };
        for bad in [huge, more] {
            assert!(word(&packet(&Message::Session(bad), &[b"a\r\nb\n\n"])).is_err());
        }
        assert!(word(b"\xff\n").is_err() && word(b"{\"Leaving\":1}\n").is_err());
    }
}
