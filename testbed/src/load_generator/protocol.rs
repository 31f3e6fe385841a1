//! The line protocol between clients and relays, on the side of the client.
use super::client::Client;
use super::plan::Misbehavior;
use crate::event_recorder::{Answer, SessionId};
use crate::traffic::{Arrival, ClientProfile};
use thistlecroft::time::Duration;

/// The length in bytes of a line sent by a client that never reads, without the line ending.
const FLOOD_LINE_BYTES: usize = 1_000;
/// The number of lines that such a client writes at once.
const FLOOD_LINES: usize = 64;

/// Returns what a client sends first: its request, or what its misbehavior makes of it.
pub(super) fn request(client: &Client, arrival: &Arrival, profile: &ClientProfile) -> String {
    let mut line = format!(
        "OPEN {:016x} {:016x} c={},d={}",
        client.session.0,
        arrival.key,
        profile.name,
        profile.answer_timeout.as_millis()
    );
    if let Some(group) = arrival.group {
        line += &format!(",g={group:016x}");
    }
    line += &format!(",h={:.3}", arrival.load);
    line += if client.is_retrying { ",r=1" } else { "" };
    line += if client.is_reconnecting {
        ",again=1"
    } else {
        ""
    };
    line += "\r\n";
    match client.misbehavior {
        Some(Misbehavior::Silent) => line.clear(),
        Some(Misbehavior::PartialLine) => line.truncate(line.len() / 2),
        Some(Misbehavior::Garbage) => line = "what is this\r\n".into(),
        Some(Misbehavior::EarlyData) => line += "M 0 0\r\n",
        Some(Misbehavior::NeverReads) | None => {}
    }
    line
}

/// Parses the answer to a request.
pub(super) fn parse_answer(line: &str) -> Answer {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    match word {
        "UP" => Answer::Accepted,
        "BUSY" => Answer::Rejected(rest.trim().parse().ok().map(Duration::from_millis)),
        _ => Answer::Failed,
    }
}

/// Returns whether this line is an answer that establishes a session.
pub(super) fn is_accepted(line: &str) -> bool {
    line.starts_with("UP")
}

/// A line that a client gets in an established session.
pub(super) enum SessionLine {
    /// The load of the session, which clients ignore.
    Load,
    /// The client is asked to connect again.
    Migrate,
    /// The session ends.
    Closing,
    /// Any other line, which must be the echo of a message.
    Message,
}

impl SessionLine {
    pub(super) fn parse(line: &str) -> SessionLine {
        match line.split(' ').next().unwrap_or_default() {
            "LOAD" => SessionLine::Load,
            "MOVE" => SessionLine::Migrate,
            "BYE" => SessionLine::Closing,
            _ => SessionLine::Message,
        }
    }
}

/// Returns a message without its line ending.
pub(super) fn message(session: SessionId, number: u64) -> String {
    format!("M {:016x} {number}", session.0)
}

/// Returns the lines that a client that never reads writes at once.
pub(super) fn flood() -> String {
    format!("{}\r\n", "f".repeat(FLOOD_LINE_BYTES)).repeat(FLOOD_LINES)
}
