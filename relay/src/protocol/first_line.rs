//! The first line of a client: a `PING`, or the `OPEN` that asks for a session.
use std::ops::Range;
use thistlecroft::attempt::Arrival;
use thistlecroft::ids::RouteId;
use thistlecroft::time::Duration;

/// Taken off the wait that a client names: a late turn of the loop must still answer before the
/// client gives up. The only such margin; the balancer counts from what is left.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// The longest wait whose microseconds 32 bits hold.
const MAX_WAIT_MS: u64 = u32::MAX as u64 / 1_000;

/// Digits of an id, a key or a group.
const ID_DIGITS: usize = 16;

/// The request in a client's first line.
#[derive(Debug)]
pub(crate) enum FirstLine {
    /// A check that the relay is alive; another first line follows.
    Ping,
    /// Open a session.
    Open(Box<OpenRequest>),
}

/// Why a first line is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FirstLineError {
    /// The line is no text.
    #[error("not UTF-8")]
    NotUtf8,
    /// Neither command, or the wrong number of arguments.
    #[error("neither PING nor OPEN with three arguments")]
    UnknownCommand,
    /// The session's id can't be read.
    #[error("session id is not sixteen hexadecimal digits")]
    InvalidId,
    /// The client's key can't be read.
    #[error("client key is not sixteen hexadecimal digits")]
    InvalidKey,
    /// An item lacks its equals sign.
    #[error("item without an equals sign")]
    InvalidItem,
    /// Two items have the same name.
    #[error("duplicate item")]
    DuplicateName,
    /// An item's name is empty, or its value is empty or not printable ASCII.
    #[error("empty or unprintable name or value")]
    InvalidValue,
    /// The time to wait can't be read or is too long.
    #[error("wait is not a valid number of milliseconds")]
    InvalidWait,
    /// The group can't be read.
    #[error("group is not sixteen hexadecimal digits")]
    InvalidGroup,
    /// The client's load can't be read.
    #[error("load is not a number")]
    InvalidLoad,
    /// The number of an earlier attempt can't be read.
    #[error("attempt mark is not a number")]
    InvalidMark,
    /// No item names a listener of the settings.
    #[error("unknown listener")]
    UnknownListener,
    /// No item gives the time that the client waits.
    #[error("no wait given")]
    MissingWait,
}

/// A client's request for a session.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// The session's id, unique among those that are open.
    pub(crate) id: u64,
    /// The line before the figure of the wait, passed on as it came.
    before_wait: String,
    /// The line behind that figure.
    after_wait: String,
    /// The request as the balancer sees it.
    pub(crate) arrival: Arrival,
    /// The group as the client gave it, whatever the settings take it for.
    pub(crate) group: Option<u64>,
    /// The backend that held the connection before this process started.
    pub(crate) at: Option<String>,
}

impl OpenRequest {
    /// The line for a backend: as it came, but for how long the relay will wait.
    pub(crate) fn line(&self, wait: Duration) -> String {
        format!(
            "{}{}{}",
            self.before_wait,
            wait.as_millis(),
            self.after_wait
        )
    }
}

/// How the settings define names and figures in the protocol.
pub(crate) struct ProtocolSettings {
    /// Listeners by name, each at its index.
    pub(crate) listeners: Vec<String>,
    /// `g` names a group whose members share work; elsewhere it names the client.
    pub(crate) has_groups: bool,
    /// `LOAD` reports the milliseconds that a message takes, elsewhere the connection's load.
    pub(crate) load_reports_latency: bool,
}

/// Reads the first line of a client, without its ending.
///
/// # Errors
/// The line is no `PING`, and no `OPEN` that every backend could read.
pub(crate) fn parse_first_line(
    line: &[u8],
    names: &ProtocolSettings,
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
    let items = Items::parse(list, names)?;
    let listener = items.listener.ok_or(FirstLineError::UnknownListener)?;
    let wait = items.wait.ok_or(FirstLineError::MissingWait)?;
    let list_start = line.len() - list.len();
    let arrival = Arrival {
        route: RouteId(listener as u16),
        client_key: Some(key),
        group: items.group.filter(|_| names.has_groups),
        timeout: wait.duration - ANSWER_MARGIN,
    };
    Ok(FirstLine::Open(Box::new(OpenRequest {
        id,
        before_wait: line[..list_start + wait.figure.start].into(),
        after_wait: line[list_start + wait.figure.end..].into(),
        arrival,
        group: items.group,
        at: items.at,
    })))
}

/// The items of an `OPEN` that mean something to the relay.
#[derive(Default)]
struct Items {
    listener: Option<usize>,
    wait: Option<Wait>,
    group: Option<u64>,
    at: Option<String>,
}

/// How long the client waits, and where in the list of items the figure stands.
struct Wait {
    duration: Duration,
    figure: Range<usize>,
}

impl Items {
    fn parse(list: &str, names: &ProtocolSettings) -> Result<Items, FirstLineError> {
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
            items.add(name, value, item_start, names)?;
            item_start += item.len() + ",".len();
        }
        Ok(items)
    }

    /// Takes one item up, which starts at this place in the list. Those of unknown names are for
    /// the backend.
    fn add(
        &mut self,
        name: &str,
        value: &str,
        item_start: usize,
        names: &ProtocolSettings,
    ) -> Result<(), FirstLineError> {
        match name {
            "c" => self.listener = names.listeners.iter().position(|name| name == value),
            "d" => {
                let wait_ms = parse_digits(value)
                    .filter(|&wait_ms| wait_ms <= MAX_WAIT_MS)
                    .ok_or(FirstLineError::InvalidWait)?;
                let figure_start = item_start + "d=".len();
                self.wait = Some(Wait {
                    duration: Duration::from_millis(wait_ms),
                    figure: figure_start..figure_start + value.len(),
                });
            }
            "g" => self.group = Some(parse_id(value).ok_or(FirstLineError::InvalidGroup)?),
            "h" => {
                let load = value.parse().ok();
                load.filter(|load: &f64| load.is_finite() && *load >= 0.0)
                    .ok_or(FirstLineError::InvalidLoad)?;
            }
            "r" | "again" => {
                parse_digits(value).ok_or(FirstLineError::InvalidMark)?;
            }
            "at" => self.at = Some(value.to_string()),
            _ => {}
        }
        Ok(())
    }
}

/// Ids, keys and groups are sixteen hexadecimal digits. Backends close on what they can't read,
/// which would look as if they had failed, so nothing else gets there.
fn parse_id(text: &str) -> Option<u64> {
    let is_id = text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A number written with digits alone, without a sign.
fn parse_digits(text: &str) -> Option<u64> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}
