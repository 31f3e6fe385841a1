//! Parsing a client's first line: a `PING`, or the `OPEN` that requests a session.
use std::ops::Range;
use thistlecroft::attempt::Arrival;
use thistlecroft::ids::RouteId;
use thistlecroft::time::Duration;

/// Subtracted from the wait that a client states, so that a late turn of the event loop still
/// answers before the client gives up. The balancer works with the remainder and subtracts no other
/// margin.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// The longest wait in milliseconds that fits 32 bits as microseconds.
const MAX_WAIT_MS: u64 = u32::MAX as u64 / 1_000;

/// The number of hexadecimal digits of an id, a key or a group.
const ID_DIGITS: usize = 16;

/// The request in a client's first line.
#[derive(Debug)]
pub(crate) enum FirstLine {
    /// A check that the relay is alive. Another first line follows.
    Ping,
    /// A request to open a session.
    Open(Box<OpenRequest>),
}

/// The reason why a first line is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FirstLineError {
    /// The line is not valid UTF-8.
    #[error("first line is not valid UTF-8")]
    NotUtf8,
    /// The command is unknown or has the wrong number of arguments.
    #[error("first line is neither PING nor OPEN with three arguments")]
    UnknownCommand,
    /// The session's id can't be parsed.
    #[error("session id is not sixteen hexadecimal digits")]
    InvalidId,
    /// The client's key can't be parsed.
    #[error("client key is not sixteen hexadecimal digits")]
    InvalidKey,
    /// An item lacks its equals sign.
    #[error("item has no equals sign")]
    InvalidItem,
    /// Two items have the same name.
    #[error("two items have the same name")]
    DuplicateName,
    /// An item's name is empty, or its value is empty or not printable ASCII.
    #[error("item has an empty name, or a value that is empty or not printable ASCII")]
    InvalidValue,
    /// The client's wait can't be parsed or is too long.
    #[error("item d is not a valid wait in milliseconds")]
    InvalidWait,
    /// The group can't be parsed.
    #[error("item g is not sixteen hexadecimal digits")]
    InvalidGroup,
    /// The client's load can't be parsed.
    #[error("item h is not a load of zero or more")]
    InvalidLoad,
    /// The number of an earlier attempt can't be parsed.
    #[error("item r or again is not a number")]
    InvalidAttemptNumber,
    /// No item names a listener of the settings.
    #[error("item c is missing or names an unknown listener")]
    UnknownListener,
    /// No item states the client's wait.
    #[error("item d, the client's wait, is missing")]
    MissingWait,
}

/// A client's request for a session.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// The session's id, unique among the open sessions.
    pub(crate) id: u64,
    /// The part of the line before the digits of the wait, forwarded unchanged.
    before_wait: String,
    /// The part of the line after the digits of the wait, forwarded unchanged.
    after_wait: String,
    /// The request as the balancer sees it.
    pub(crate) arrival: Arrival,
    /// The group as the client stated it, even if the settings say that it names the client.
    pub(crate) group: Option<u64>,
    /// The name of the backend that held the session before this process started; none for a new
    /// session.
    pub(crate) inherited_backend: Option<String>,
}

impl OpenRequest {
    /// Returns the request line for a backend: the client's line, with the time that the relay will
    /// wait in place of the client's.
    pub(crate) fn line(&self, wait: Duration) -> String {
        format!(
            "{}{}{}",
            self.before_wait,
            wait.as_millis(),
            self.after_wait
        )
    }
}

/// The settings that affect how lines are interpreted.
pub(crate) struct ProtocolSettings {
    /// The names of the listeners, each at the listener's index.
    pub(crate) listeners: Vec<String>,
    /// The time that clients of each listener wait for their answer, at the listener's index.
    pub(crate) client_timeouts: Vec<Duration>,
    /// Whether item `g` names a group whose members share work. Otherwise it names the client.
    pub(crate) has_groups: bool,
    /// Whether `LOAD` reports the latency of a message in milliseconds. Otherwise it reports the
    /// connection's load.
    pub(crate) load_reports_latency: bool,
}

/// Parses a client's first line, without its ending.
///
/// # Errors
/// The line is neither a `PING` nor an `OPEN` that every backend could parse.
pub(crate) fn parse_first_line(
    line: &[u8],
    settings: &ProtocolSettings,
) -> Result<FirstLine, FirstLineError> {
    let line = std::str::from_utf8(line).map_err(|_| FirstLineError::NotUtf8)?;
    if line == "PING" {
        return Ok(FirstLine::Ping);
    }
    let words: Vec<&str> = line.split(' ').collect();
    let ["OPEN", id, key, list] = words[..] else {
        return Err(FirstLineError::UnknownCommand);
    };
    let id = parse_id(id).ok_or(FirstLineError::InvalidId)?;
    let key = parse_id(key).ok_or(FirstLineError::InvalidKey)?;
    let items = Items::parse(list, settings)?;
    let listener = items.listener.ok_or(FirstLineError::UnknownListener)?;
    let wait = items.wait.ok_or(FirstLineError::MissingWait)?;
    let list_start = line.len() - list.len();
    let arrival = Arrival {
        route: RouteId(listener as u16),
        client_key: Some(key),
        group: items.group.filter(|_| settings.has_groups),
        timeout: wait.duration - ANSWER_MARGIN,
    };
    Ok(FirstLine::Open(Box::new(OpenRequest {
        id,
        before_wait: line[..list_start + wait.digits.start].into(),
        after_wait: line[list_start + wait.digits.end..].into(),
        arrival,
        group: items.group,
        inherited_backend: items.inherited_backend,
    })))
}

/// The items of an `OPEN` that the relay itself uses.
#[derive(Default)]
struct Items {
    listener: Option<usize>,
    wait: Option<Wait>,
    group: Option<u64>,
    inherited_backend: Option<String>,
}

/// The client's wait, and the range of its digits within the list of items.
struct Wait {
    duration: Duration,
    digits: Range<usize>,
}

impl Items {
    /// Parses the list of items, separated by commas.
    fn parse(list: &str, settings: &ProtocolSettings) -> Result<Items, FirstLineError> {
        let mut items = Items::default();
        let mut seen: Vec<&str> = Vec::new();
        let mut item_start = 0;
        for item in list.split(',') {
            let (name, value) = item.split_once('=').ok_or(FirstLineError::InvalidItem)?;
            if seen.contains(&name) {
                return Err(FirstLineError::DuplicateName);
            }
            let is_printable =
                !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_graphic());
            if name.is_empty() || !is_printable {
                return Err(FirstLineError::InvalidValue);
            }
            seen.push(name);
            items.add(name, value, item_start, settings)?;
            item_start += item.len() + ",".len();
        }
        Ok(items)
    }

    /// Adds one item, which starts at byte `item_start` of the list. Items of unknown names are for
    /// the backend and are not checked further.
    fn add(
        &mut self,
        name: &str,
        value: &str,
        item_start: usize,
        settings: &ProtocolSettings,
    ) -> Result<(), FirstLineError> {
        match name {
            "c" => self.listener = settings.listeners.iter().position(|name| name == value),
            "d" => {
                let wait_ms = parse_digits(value)
                    .filter(|&wait_ms| wait_ms <= MAX_WAIT_MS)
                    .ok_or(FirstLineError::InvalidWait)?;
                let digits_start = item_start + "d=".len();
                self.wait = Some(Wait {
                    duration: Duration::from_millis(wait_ms),
                    digits: digits_start..digits_start + value.len(),
                });
            }
            "g" => self.group = Some(parse_id(value).ok_or(FirstLineError::InvalidGroup)?),
            "h" => {
                let load = value.parse().ok();
                load.filter(|load: &f64| load.is_finite() && *load >= 0.0)
                    .ok_or(FirstLineError::InvalidLoad)?;
            }
            "r" | "again" => {
                parse_digits(value).ok_or(FirstLineError::InvalidAttemptNumber)?;
            }
            "at" => self.inherited_backend = Some(value.to_string()),
            _ => {}
        }
        Ok(())
    }
}

/// Parses an id, a key or a group, which are sixteen hexadecimal digits. A backend closes the
/// connection on a line that it can't parse, which would look like a failure of the backend, so
/// anything else is an error here.
fn parse_id(text: &str) -> Option<u64> {
    let is_id = text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Parses a number that is written in digits alone, without a sign.
fn parse_digits(text: &str) -> Option<u64> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}
