//! The line protocol: what a line of text means, and what our own lines look like. Knows no
//! sockets.
use thistlecroft::attempt::{Arrival, AttemptOutcome, LoadReport};
use thistlecroft::ids::RouteId;
use thistlecroft::time::Duration;
use thistlecroft_settings::{CONNECTION_FIELDS, LOAD_FIELDS};

pub const FAILED: &str = "ERR";
pub const MOVED: &str = "MOVE";
pub const ALIVE: &str = "PONG";
pub const ASK_LOAD: &str = "STATS";

/// Taken off the wait that a client names: a late turn of the loop must still answer before the
/// client gives up. The only such margin; the decisions count from what is left.
const MARGIN: Duration = Duration::from_millis(15);

/// The first line of a client.
#[derive(Debug)]
pub enum FirstLine {
    Ping,
    Open(Box<OpenRequest>),
}

#[derive(Debug)]
pub struct OpenRequest {
    pub id: u64,
    /// The line before and behind the figure of `d`, passed on as it came.
    before: String,
    behind: String,
    pub arrival: Arrival,
    /// As told, whatever it names here.
    pub group: Option<u64>,
    /// The backend that held the connection before this process started.
    pub at: Option<String>,
}

impl OpenRequest {
    /// The line for a backend: as it came, but for how long the relay will wait.
    pub fn line(&self, wait: Duration) -> String {
        format!("{}{}{}", self.before, wait.as_millis(), self.behind)
    }
}

/// Names as the settings have them, a listener's at its index.
pub struct Names {
    pub listeners: Vec<String>,
    /// `g` names a group whose members share work; elsewhere it names the client.
    pub groups: bool,
    /// `LOAD` tells the milliseconds that a message takes, elsewhere the connection's load.
    pub notes_tell_delay: bool,
}

pub fn first_line(line: &[u8], names: &Names) -> Result<FirstLine, &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "not UTF-8")?;
    if line == "PING" {
        return Ok(FirstLine::Ping);
    }
    let words: Vec<&str> = line.split(' ').collect();
    let ["OPEN", id, key, list] = words[..] else {
        return Err("neither PING nor OPEN with three words");
    };
    let id = number(id).ok_or("an id that is no number of sixteen digits")?;
    let key = number(key).ok_or("a key that is no number of sixteen digits")?;
    let (mut listener, mut wait, mut group, mut at) = (None, None, None, None);
    let mut place = line.len() - list.len();
    let mut named: Vec<&str> = Vec::new();
    for item in list.split(',') {
        let (name, value) = item
            .split_once('=')
            .ok_or("an item that is no name and value")?;
        if named.contains(&name) {
            return Err("a name twice");
        }
        if name.is_empty() || !value.bytes().all(|byte| byte.is_ascii_graphic()) || value.is_empty()
        {
            return Err("an empty name, or a value that is no word");
        }
        named.push(name);
        match name {
            "c" => listener = names.listeners.iter().position(|name| name == value),
            "d" => {
                let ms = digits(value)
                    .filter(|&ms| ms <= LONGEST_WAIT)
                    .ok_or("d is no time to wait")?;
                let from = place + "d=".len();
                wait = Some((Duration::from_millis(ms), from, from + value.len()));
            }
            "g" => group = Some(number(value).ok_or("g is no number of sixteen digits")?),
            "h" => {
                value
                    .parse()
                    .ok()
                    .filter(|h: &f64| h.is_finite() && *h >= 0.0)
                    .ok_or("h is no load")?;
            }
            "r" | "again" => {
                digits(value).ok_or("a mark that is no number")?;
            }
            "at" => at = Some(value.to_string()),
            _ => {}
        }
        place += item.len() + 1;
    }
    let listener = listener.ok_or("no listener that is known")?;
    let (wait, from, to) = wait.ok_or("no d")?;
    let arrival = Arrival {
        route: RouteId(listener as u16),
        client_key: Some(key),
        group: group.filter(|_| names.groups),
        timeout: wait - MARGIN,
    };
    Ok(FirstLine::Open(Box::new(OpenRequest {
        id,
        before: line[..from].into(),
        behind: line[to..].into(),
        arrival,
        group,
        at,
    })))
}

/// More milliseconds than 32 bits hold in microseconds no client waits.
const LONGEST_WAIT: u64 = u32::MAX as u64 / 1_000;

/// Ids, keys and groups are sixteen hexadecimal digits. Backends close on what they can't read,
/// which would look as if they had failed, so nothing else gets there.
fn number(text: &str) -> Option<u64> {
    let sound = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    sound.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn digits(text: &str) -> Option<u64> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// A refusal, with the time to stay away where one is told; rounded up, so that nobody comes too
/// soon.
pub fn refusal(retry_after: Option<Duration>) -> String {
    match retry_after {
        Some(wait) => format!("BUSY {}", wait.as_micros().div_ceil(1_000)),
        None => "BUSY".into(),
    }
}

/// What a line from a backend means to the relay.
#[derive(Debug, Clone, Copy)]
pub enum BackendMessage {
    Up,
    Load(f64),
    /// The last word on a connection.
    Last(AttemptOutcome, LoadReport),
    Other,
}

pub fn backend_line(line: &[u8]) -> BackendMessage {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    match word {
        "UP" => BackendMessage::Up,
        "LOAD" => rest
            .trim()
            .parse()
            .ok()
            .filter(|load: &f64| load.is_finite())
            .map_or(BackendMessage::Other, BackendMessage::Load),
        "BYE" => BackendMessage::Last(AttemptOutcome::Ok, report(rest)),
        "MOVE" => BackendMessage::Last(AttemptOutcome::Cancelled, report(rest)),
        "ERR" => BackendMessage::Last(AttemptOutcome::Error, report(rest)),
        "BUSY" => BackendMessage::Last(AttemptOutcome::Saturated, report(rest)),
        _ => BackendMessage::Other,
    }
}

/// The answer to a probe.
pub fn probe_line(line: &[u8]) -> (AttemptOutcome, LoadReport) {
    let text = std::str::from_utf8(line).unwrap_or_default();
    match text.split_once(' ').unwrap_or((text, "")) {
        ("PONG", rest) => (AttemptOutcome::Ok, report(rest)),
        _ => (AttemptOutcome::Error, LoadReport::default()),
    }
}

fn report(text: &str) -> LoadReport {
    let told = |names: &[&str]| {
        let field = |name: &&str| {
            text.split(',').find_map(|field| {
                field
                    .trim()
                    .strip_prefix(name)?
                    .strip_prefix('=')?
                    .parse()
                    .ok()
            })
        };
        names
            .iter()
            .find_map(field)
            .filter(|value: &f64| value.is_finite())
            .map(|value| value.max(0.0))
    };
    LoadReport {
        connections: told(CONNECTION_FIELDS),
        load: told(LOAD_FIELDS),
    }
}

/// How far a dial had come when it ended: what it proves depends on that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptProgress {
    /// The connection had not come up.
    Nothing,
    /// Up, but the line's last byte had not been written.
    Connected,
    /// All bytes written: they may have left.
    Sent,
}

#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// This process could not even begin, for want of a descriptor, say.
    Ours,
    Broken,
    TimedOut,
    Withdrawn,
    BadLine,
    BackendMessage(AttemptOutcome, LoadReport),
}

/// A dial's end as a value.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    pub reach: AttemptProgress,
    pub cause: Cause,
}

impl AttemptFailure {
    pub fn verdict(self) -> AttemptOutcome {
        match (self.cause, self.reach) {
            (Cause::Ours, _) => AttemptOutcome::NotSent,
            (Cause::BackendMessage(verdict, _), _) => verdict,
            (Cause::BadLine, _) => AttemptOutcome::Error,
            (Cause::Withdrawn, AttemptProgress::Sent) => AttemptOutcome::Cancelled,
            (Cause::Withdrawn, _) => AttemptOutcome::NotSent,
            (Cause::Broken, AttemptProgress::Sent) => AttemptOutcome::Reset,
            (Cause::TimedOut, AttemptProgress::Sent) => AttemptOutcome::TimedOut,
            (Cause::Broken | Cause::TimedOut, _) => AttemptOutcome::Unreachable,
        }
    }

    pub fn report(self) -> LoadReport {
        match self.cause {
            Cause::BackendMessage(_, report) => report,
            _ => LoadReport::default(),
        }
    }
}
