//! The line protocol between relays and backends, on the side of the backend.
use crate::event_recorder::SessionId;

const MAX_REQUEST_BYTES: usize = 4096;
/// The load report of a backend without sessions.
pub(super) const EMPTY_REPORT: &str = "inflight=0,x0=0";
/// The first bytes of an answer, sent by [`BackendFault::PartialAnswer`].
///
/// [`BackendFault::PartialAnswer`]: super::faults::BackendFault::PartialAnswer
pub(super) const PARTIAL_ANSWER: &[u8] = b"UP rec";
/// The answer to a failed health check, or to a line sent before the set-up was answered.
pub(super) const ERROR: &str = "ERR\r\n";
/// The answer to a line that is not a request.
pub(super) const SYNTAX_ERROR: &str = "SYNTAX\r\n";
/// Asks the client of an established session to connect again.
pub(super) const MIGRATE: &str = "MOVE\r\n";
/// The answer to a successful health check.
pub(super) const HEALTHY: &str = "PONG\r\n";

/// The first line of a connection.
#[derive(Debug, PartialEq)]
pub(super) enum Request {
    HealthCheck,
    /// A health check that asks for the load report.
    LoadReport,
    Open(OpenRequest),
    Malformed,
}

/// A request to set up a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct OpenRequest {
    pub(super) session: SessionId,
    pub(super) load: f64,
    pub(super) group: Option<u64>,
}

impl Request {
    pub(super) fn parse(line: &str) -> Request {
        match line {
            "PING" => Request::HealthCheck,
            "STATS" => Request::LoadReport,
            _ => parse_open(line).map_or(Request::Malformed, Request::Open),
        }
    }
}

/// Parses a request to set up a session; `None` if the line is malformed.
fn parse_open(line: &str) -> Option<OpenRequest> {
    if line.len() > MAX_REQUEST_BYTES {
        return None;
    }
    let words: Vec<&str> = line.split(' ').collect();
    let ["OPEN", id, key, fields] = words[..] else {
        return None;
    };
    parse_id(key)?;
    let mut request = OpenRequest {
        session: SessionId(0),
        load: 1.0,
        group: None,
    };
    let mut has_deadline = false;
    for field in fields.split(',') {
        let (name, value) = field.split_once('=')?;
        match name {
            "h" => request.load = value.parse().ok()?,
            "g" => request.group = Some(parse_id(value)?),
            "d" => has_deadline = value.parse::<u64>().is_ok(),
            _ => {}
        }
    }
    if !has_deadline {
        return None;
    }
    request.session = SessionId(parse_id(id)?);
    Some(request)
}

/// Parses an id of sixteen hexadecimal digits.
fn parse_id(digits: &str) -> Option<u64> {
    if digits.len() != 16 {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

pub(super) fn load_report(sessions: usize, load: f64) -> String {
    format!("inflight={sessions},x0={load:.3}")
}

pub(super) fn healthy_with_report(report: &str) -> String {
    format!("PONG {report}\r\n")
}

pub(super) fn accepted(session: SessionId) -> String {
    format!("UP r{:x}\r\n", session.0)
}

pub(super) fn rejected(report: &str) -> String {
    format!("BUSY {report}\r\n")
}

pub(super) fn failed(report: &str) -> String {
    format!("ERR {report}\r\n")
}

pub(super) fn closing(report: &str) -> String {
    format!("BYE {report}\r\n")
}

pub(super) fn session_load(load: f64) -> String {
    format!("LOAD {load:.3}\r\n")
}
