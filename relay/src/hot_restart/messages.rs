//! The packets between a process of a relay and its successor: each has one message as a line of
//! JSON, then raw bytes. The JSON keeps the names of released versions. No I/O.
use serde::{Deserialize, Serialize};
use thistlecroft::attempt::LoadReport;
use thistlecroft::ids::BackendId;
use thistlecroft::snapshot::{BalancerSnapshot, EndpointStatistics};
use thistlecroft::time::{Duration, Instant};

/// The version of the messages below. A successor of another version gets no sessions: their
/// clients are migrated instead.
pub(crate) const VERSION: u32 = 2;

/// Named in `Hello` by a process that understands [`Message::BindingSettings`] and
/// [`Message::BindingSettingsEnd`].
pub(crate) const UNDERSTANDS_SETTINGS: &str = "settings";

/// Named in `Hello` by a process that understands [`Message::Ids`].
pub(crate) const UNDERSTANDS_IDS: &str = "ids";

/// An established session. Its two descriptors are attached to the packet, the client's first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SessionHandover {
    /// The number of the offer, which its answer repeats.
    pub(crate) serial: u32,
    pub(crate) id: u64,
    pub(crate) listener: String,
    #[serde(rename = "key")]
    pub(crate) client_key: Option<u64>,
    pub(crate) group: Option<u64>,
    pub(crate) backend: String,
    /// When the last line passed, Unix time in microseconds.
    #[serde(rename = "heard_us")]
    pub(crate) last_line_at_us: u64,
    /// When the client sent its first line that is still unanswered, Unix time in microseconds.
    #[serde(rename = "asked_us")]
    pub(crate) awaiting_since_us: Option<u64>,
    /// The latency that the backend last reported, in microseconds.
    #[serde(rename = "told_delay_us")]
    pub(crate) reported_latency_us: u64,
    pub(crate) load: Option<f64>,
    /// The bytes that are waiting to be sent to the backend.
    #[serde(rename = "up")]
    pub(crate) to_backend: WaitingBytes,
    /// The bytes that are waiting to be sent to the client.
    #[serde(rename = "down")]
    pub(crate) to_client: WaitingBytes,
}

/// The number of bytes that are waiting to be sent in one direction of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(usize, usize)", into = "(usize, usize)")]
pub(crate) struct WaitingBytes {
    /// All waiting bytes.
    pub(crate) total: usize,
    /// The waiting bytes that belong to complete lines.
    pub(crate) complete: usize,
}

impl From<(usize, usize)> for WaitingBytes {
    fn from((total, complete): (usize, usize)) -> WaitingBytes {
        WaitingBytes { total, complete }
    }
}

impl From<WaitingBytes> for (usize, usize) {
    fn from(waiting: WaitingBytes) -> (usize, usize) {
        (waiting.total, waiting.complete)
    }
}

/// What the balancer knows of one backend, under the name that both processes use. Times are Unix
/// times in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointMessage {
    backend: String,
    #[serde(rename = "heard")]
    last_report: Option<ReportMessage>,
    #[serde(rename = "weight_heard")]
    weight_at_report: f64,
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    ejections: u32,
    #[serde(rename = "owed")]
    pending_health_checks: u32,
    /// The slow-start period, and the number of sessions placed within it.
    #[serde(rename = "cold_turn")]
    slow_start_use: Option<(u64, u32)>,
    /// Whether the backend is draining or removed; absent in packets of earlier versions.
    #[serde(default, rename = "leaving", skip_serializing_if = "is_false")]
    is_leaving: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A load report and the time of its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ReportArray", into = "ReportArray")]
struct ReportMessage {
    at_us: u64,
    connections: Option<f64>,
    load: Option<f64>,
}

/// The JSON form of a report: time, connections, load.
type ReportArray = (u64, Option<f64>, Option<f64>);

impl From<ReportArray> for ReportMessage {
    fn from((at_us, connections, load): ReportArray) -> ReportMessage {
        ReportMessage {
            at_us,
            connections,
            load,
        }
    }
}

impl From<ReportMessage> for ReportArray {
    fn from(report: ReportMessage) -> ReportArray {
        (report.at_us, report.connections, report.load)
    }
}

/// A balancer's snapshot, or a part of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SnapshotMessage {
    #[serde(rename = "sights")]
    endpoints: Vec<EndpointMessage>,
    #[serde(rename = "set_up_us")]
    connect_time_us: u64,
    #[serde(rename = "stood")]
    connection_seconds: f64,
    #[serde(rename = "left_alone")]
    departures: f64,
}

impl SnapshotMessage {
    /// The most endpoints in one part, so that every part fits into a packet.
    const MAX_PART_ENDPOINTS: usize = 128;

    pub(crate) fn new<'a>(
        snapshot: &BalancerSnapshot,
        name: impl Fn(BackendId) -> &'a str,
        is_leaving: impl Fn(BackendId) -> bool,
    ) -> SnapshotMessage {
        let endpoints = snapshot.endpoints.iter().map(|(id, statistics)| {
            let message = EndpointMessage::new(name(*id), statistics);
            EndpointMessage {
                is_leaving: is_leaving(*id),
                ..message
            }
        });
        SnapshotMessage {
            endpoints: endpoints.collect(),
            connect_time_us: snapshot.connect_time.as_micros(),
            connection_seconds: snapshot.connection_seconds,
            departures: snapshot.departures,
        }
    }

    /// Splits the snapshot into one or more parts, each of which can be restored alone.
    pub(crate) fn into_parts(mut self) -> Vec<SnapshotMessage> {
        let mut parts = Vec::new();
        while self.endpoints.len() > SnapshotMessage::MAX_PART_ENDPOINTS {
            let rest = self
                .endpoints
                .split_off(SnapshotMessage::MAX_PART_ENDPOINTS);
            parts.push(SnapshotMessage {
                endpoints: std::mem::replace(&mut self.endpoints, rest),
                ..self
            });
        }
        parts.push(self);
        parts
    }

    /// Returns the names of the backends that are draining or removed.
    pub(crate) fn leaving_backends(&self) -> impl Iterator<Item = &str> {
        let leaving = self.endpoints.iter().filter(|endpoint| endpoint.is_leaving);
        leaving.map(|endpoint| endpoint.backend.as_str())
    }

    pub(crate) fn to_snapshot(&self, mut id: impl FnMut(&str) -> BackendId) -> BalancerSnapshot {
        let endpoints = self.endpoints.iter();
        let endpoints = endpoints.map(|endpoint| (id(&endpoint.backend), endpoint.to_statistics()));
        BalancerSnapshot {
            endpoints: endpoints.collect(),
            connect_time: Duration::from_micros(self.connect_time_us),
            connection_seconds: self.connection_seconds,
            departures: self.departures,
        }
    }
}

impl EndpointMessage {
    fn new(backend: &str, statistics: &EndpointStatistics) -> EndpointMessage {
        EndpointMessage {
            backend: backend.to_string(),
            last_report: statistics.last_report.map(|(at, report)| ReportMessage {
                at_us: at.as_micros(),
                connections: report.connections,
                load: report.load,
            }),
            weight_at_report: statistics.weight_at_report,
            consecutive_failures: statistics.consecutive_failures,
            ejections: statistics.ejections,
            pending_health_checks: statistics.pending_health_checks,
            slow_start_use: statistics.slow_start_use,
            is_leaving: false,
        }
    }

    fn to_statistics(&self) -> EndpointStatistics {
        let last_report = self.last_report.map(|report| {
            let ReportMessage {
                at_us,
                connections,
                load,
            } = report;
            (
                Instant::from_micros(at_us),
                LoadReport { connections, load },
            )
        });
        EndpointStatistics {
            last_report,
            weight_at_report: self.weight_at_report,
            consecutive_failures: self.consecutive_failures,
            ejections: self.ejections,
            pending_health_checks: self.pending_health_checks,
            slow_start_use: self.slow_start_use,
        }
    }
}

/// Ids that must not be repeated, in the order in which the lists are applied.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct IdsMessage {
    /// The ids of sessions that are open in the sender.
    #[serde(default)]
    pub(crate) open: Vec<u64>,
    /// The ids of sessions that have ended and can't have run.
    #[serde(default)]
    pub(crate) released: Vec<u64>,
    /// The ids of sessions that have ended and may have run, and for how long from now on each is
    /// refused, in microseconds.
    #[serde(default)]
    pub(crate) used: Vec<(u64, u64)>,
}

/// A message of either process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The successor's first message to its predecessor.
    Hello {
        version: u32,
        relay: String,
        /// The messages that the successor understands beyond those of the version; absent in
        /// packets of earlier programs, which end the channel at a message that they don't know.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        understands: Vec<String>,
    },
    /// Settings of the predecessor that bind beside those of the successor's own file.
    #[serde(rename = "Settings")]
    BindingSettings {
        text: serde_json::Value,
        /// For how long they bind from now on, in microseconds.
        #[serde(rename = "binds_us")]
        binds_for_us: u64,
    },
    /// What has happened to ids that must not be repeated. The first such message has all that the
    /// other process needs to know.
    Ids(IdsMessage),
    /// All settings that bind have been sent.
    #[serde(rename = "SettingsEnd")]
    BindingSettingsEnd,
    /// A part of the snapshot that the predecessor sends in answer to `Hello` and when it shuts
    /// down.
    #[serde(rename = "Memory")]
    Snapshot(SnapshotMessage),
    /// The predecessor no longer accepts clients.
    Leaving,
    /// The number of descriptors that the sender has open; both processes share one limit.
    #[serde(rename = "Holds")]
    OpenDescriptors {
        #[serde(rename = "sockets")]
        count: usize,
    },
    /// The predecessor offers a session.
    Session(SessionHandover),
    /// The successor accepts an offered session, which it does not use before `Released`.
    #[serde(rename = "Took")]
    Accepted { serial: u32 },
    /// The successor declines an offered session.
    Declined { serial: u32 },
    /// The predecessor has released an accepted session. Without this message the successor drops
    /// the session, so that two processes never read from the same connection.
    #[serde(rename = "Yours")]
    Released { serial: u32 },
}

/// Why a packet is malformed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PacketError {
    #[error("the packet has no complete line")]
    NoLine,
    #[error(transparent)]
    Message(#[from] serde_json::Error),
    #[error("the length of the packet does not match its message")]
    Length,
}

/// A decoded packet: its message, and the bytes that a session has waiting in either direction.
#[derive(Debug, PartialEq)]
pub(crate) struct Packet<'a> {
    pub(crate) message: Message,
    pub(crate) to_backend: &'a [u8],
    pub(crate) to_client: &'a [u8],
}

/// Encodes a packet. `waiting` holds the bytes that a session has waiting, first those to the
/// backend, then those to the client.
pub(crate) fn encode(message: &Message, waiting: &[&[u8]]) -> Vec<u8> {
    let mut packet =
        serde_json::to_vec(message).expect("messages hold only text and finite numbers");
    packet.push(b'\n');
    for bytes in waiting {
        packet.extend_from_slice(bytes);
    }
    packet
}

/// Decodes a packet.
///
/// # Errors
/// Returns an error if the packet is truncated or holds an unknown message.
pub(crate) fn decode(packet: &[u8]) -> Result<Packet<'_>, PacketError> {
    let line_end = packet.iter().position(|&byte| byte == b'\n');
    let line_end = line_end.ok_or(PacketError::NoLine)?;
    let message: Message = serde_json::from_slice(&packet[..line_end])?;
    let waiting = &packet[line_end + 1..];
    let (to_backend, to_client) = match &message {
        Message::Session(session) => (session.to_backend, session.to_client),
        _ => Default::default(),
    };
    let total = to_backend.total.checked_add(to_client.total);
    let is_valid = |waiting: WaitingBytes| waiting.complete <= waiting.total;
    if total != Some(waiting.len()) || !is_valid(to_backend) || !is_valid(to_client) {
        return Err(PacketError::Length);
    }
    let (to_backend, to_client) = waiting.split_at(to_backend.total);
    Ok(Packet {
        message,
        to_backend,
        to_client,
    })
}

#[cfg(test)]
mod tests;
