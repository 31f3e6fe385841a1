//! The lines that backends send.
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft_settings::{CONNECTION_FIELDS, LOAD_FIELDS};

/// What a line from a backend means to the relay.
#[derive(Debug, Clone, Copy)]
pub(crate) enum BackendMessage {
    /// The backend accepts the session.
    Accepted,
    /// The connection's load or, if
    /// [`load_reports_latency`](super::ProtocolSettings::load_reports_latency) is set, the latency
    /// of a message in milliseconds.
    Load(f64),
    /// The last message on a connection: the outcome of the session, and the backend's load.
    Final(AttemptOutcome, LoadReport),
    /// A line that is meant for the client only.
    Data,
}

impl BackendMessage {
    /// Parses a line without its ending. Any line that is no message to the relay is
    /// [`BackendMessage::Data`].
    pub(crate) fn parse(line: &[u8]) -> BackendMessage {
        let text = std::str::from_utf8(line).unwrap_or_default();
        let (keyword, rest) = text.split_once(' ').unwrap_or((text, ""));
        match keyword {
            "UP" => BackendMessage::Accepted,
            "LOAD" => rest
                .trim()
                .parse()
                .ok()
                .filter(|load: &f64| load.is_finite())
                .map_or(BackendMessage::Data, BackendMessage::Load),
            "BYE" => BackendMessage::Final(AttemptOutcome::Ok, parse_load_report(rest)),
            "MOVE" => BackendMessage::Final(AttemptOutcome::Cancelled, parse_load_report(rest)),
            "ERR" => BackendMessage::Final(AttemptOutcome::Error, parse_load_report(rest)),
            "BUSY" => BackendMessage::Final(AttemptOutcome::Saturated, parse_load_report(rest)),
            _ => BackendMessage::Data,
        }
    }
}

/// Parses a backend's answer to a health check.
pub(crate) fn parse_health_check_response(line: &[u8]) -> (AttemptOutcome, LoadReport) {
    let text = std::str::from_utf8(line).unwrap_or_default();
    match text.split_once(' ').unwrap_or((text, "")) {
        ("PONG", rest) => (AttemptOutcome::Ok, parse_load_report(rest)),
        _ => (AttemptOutcome::Error, LoadReport::default()),
    }
}

/// Parses a list of fields such as `inflight=2,x0=0.5`, of which unknown ones are ignored.
fn parse_load_report(text: &str) -> LoadReport {
    LoadReport {
        connections: find_field(text, CONNECTION_FIELDS),
        load: find_field(text, LOAD_FIELDS),
    }
}

/// Returns the value of the first of `names` for which the report has a number. Negative values
/// count as zero.
fn find_field(report: &str, names: &[&str]) -> Option<f64> {
    let value_of = |name: &&str| {
        report.split(',').find_map(|field| {
            let value = field.trim().strip_prefix(name)?.strip_prefix('=')?;
            value.parse().ok()
        })
    };
    names
        .iter()
        .find_map(value_of)
        .filter(|value: &f64| value.is_finite())
        .map(|value| value.max(0.0))
}
