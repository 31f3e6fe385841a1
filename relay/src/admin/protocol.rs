//! What operators may ask of a running relay, and how they are answered: one line to a call, one
//! line back. No I/O.

const NO_SUCH: &str = "no such call: READY, DISABLE ID, ENABLE ID, PEERS, LEASE SUBJECT, RELEASE SUBJECT, NOTE SUBJECT VALUE or NOTES";

/// The longest call; ids are far shorter.
pub const LONGEST: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process serves.
    Ready,
    /// That backend is out until the call back.
    Disable(String),
    Enable(String),
    /// What this relay thinks of the others.
    Peers,
    /// Whether this relay holds that lease; from the first call on it asks for it.
    Lease(String),
    Release(String),
    /// Tells all relays something, and what has been told.
    Note(String, String),
    Notes,
}

/// What has come of a call so far.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedLine {
    /// No end of line yet.
    More,
    Command(AdminCommand),
    Bad(&'static str),
}

/// `ended`: no more bytes will come. A call whose line has no end may have been cut off in the
/// middle of an id, so it is none.
pub fn parse_line(bytes: &[u8], ended: bool) -> ParsedLine {
    let Some(at) = bytes
        .iter()
        .position(|&byte| byte == b'\n')
        .filter(|&at| at < LONGEST)
    else {
        return match (bytes.len() >= LONGEST, ended) {
            (true, _) => ParsedLine::Bad("a line too long"),
            (false, true) if bytes.is_empty() => ParsedLine::Bad("no call"),
            (false, true) => ParsedLine::Bad("the line has no end"),
            (false, false) => ParsedLine::More,
        };
    };
    let line = bytes[..at].strip_suffix(b"\r").unwrap_or(&bytes[..at]);
    let Ok(line) = std::str::from_utf8(line) else {
        return ParsedLine::Bad("not UTF-8");
    };
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let Some(word) = words.next() else {
        return ParsedLine::Bad("no call");
    };
    let id = words.next();
    match (word, id, words.next()) {
        ("NOTE", Some(subject), Some(value)) if words.next().is_none() => {
            ParsedLine::Command(AdminCommand::Note(subject.into(), value.into()))
        }
        (_, _, Some(_)) => ParsedLine::Bad("too many words"),
        ("READY", None, _) => ParsedLine::Command(AdminCommand::Ready),
        ("READY", Some(_), _) => ParsedLine::Bad("READY takes no more words"),
        ("DISABLE" | "ENABLE", None, _) => ParsedLine::Bad("which backend?"),
        ("DISABLE", Some(id), _) => ParsedLine::Command(AdminCommand::Disable(id.into())),
        ("ENABLE", Some(id), _) => ParsedLine::Command(AdminCommand::Enable(id.into())),
        ("PEERS", None, _) => ParsedLine::Command(AdminCommand::Peers),
        ("NOTES", None, _) => ParsedLine::Command(AdminCommand::Notes),
        ("LEASE" | "RELEASE", None, _) => ParsedLine::Bad("which lease?"),
        ("LEASE", Some(subject), _) => ParsedLine::Command(AdminCommand::Lease(subject.into())),
        ("RELEASE", Some(subject), _) => ParsedLine::Command(AdminCommand::Release(subject.into())),
        ("NOTE", ..) => ParsedLine::Bad("a subject and a value"),
        _ => ParsedLine::Bad(NO_SUCH),
    }
}

/// What `READY` is answered by.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    pub stopping: bool,
    /// A list of backends is held.
    pub listed: bool,
    /// Clients are taken.
    pub accepting: bool,
}

impl Readiness {
    /// # Errors
    /// Why this process does not serve.
    pub fn told(self) -> Result<(), &'static str> {
        match self {
            Readiness { stopping: true, .. } => Err("stopping"),
            Readiness { listed: false, .. } => Err("no list of backends yet"),
            Readiness {
                accepting: false, ..
            } => Err("no clients are taken yet"),
            _ => Ok(()),
        }
    }
}

/// The one line that a caller is told.
pub fn answer(done: Result<&str, &str>) -> String {
    match done {
        Ok(word) => format!("200 {word}"),
        Err(why) => format!("400 {why}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_a_call_or_a_fault_with_its_reason() {
        let disable = |id: &str| ParsedLine::Command(AdminCommand::Disable(id.into()));
        let long = [b'x'; LONGEST];
        let cases: &[(&[u8], bool, ParsedLine)] = &[
            (b"", false, ParsedLine::More),
            (b"REA", false, ParsedLine::More),
            (b"READY\n", false, ParsedLine::Command(AdminCommand::Ready)),
            (
                b"READY\r\n",
                false,
                ParsedLine::Command(AdminCommand::Ready),
            ),
            (
                b"READY\nmore",
                false,
                ParsedLine::Command(AdminCommand::Ready),
            ),
            (b"DISABLE s-5be2a07c\r\n", false, disable("s-5be2a07c")),
            (b"DISABLE  s-5be2a07c \n", true, disable("s-5be2a07c")),
            (
                b"ENABLE a\n",
                false,
                ParsedLine::Command(AdminCommand::Enable("a".into())),
            ),
            (b"ENABLE a", true, ParsedLine::Bad("the line has no end")),
            (b"READY", true, ParsedLine::Bad("the line has no end")),
            (b"", true, ParsedLine::Bad("no call")),
            (b"\n", false, ParsedLine::Bad("no call")),
            (b" \r\n", false, ParsedLine::Bad("no call")),
            (b"ENABLE\n", false, ParsedLine::Bad("which backend?")),
            (b"ENABLE a b\n", false, ParsedLine::Bad("too many words")),
            (
                b"READY now\n",
                false,
                ParsedLine::Bad("READY takes no more words"),
            ),
            (b"ready\n", false, ParsedLine::Bad(NO_SUCH)),
            (b"PEERS\n", false, ParsedLine::Command(AdminCommand::Peers)),
            (b"NOTES x\n", false, ParsedLine::Bad(NO_SUCH)),
            (
                b"LEASE turn\n",
                false,
                ParsedLine::Command(AdminCommand::Lease("turn".into())),
            ),
            (b"RELEASE\n", false, ParsedLine::Bad("which lease?")),
            (
                b"NOTE a b\n",
                false,
                ParsedLine::Command(AdminCommand::Note("a".into(), "b".into())),
            ),
            (b"NOTE a\n", false, ParsedLine::Bad("a subject and a value")),
            (b"NOTE a b c\n", false, ParsedLine::Bad("too many words")),
            (
                b"GET / HTTP/1.1\r\n",
                false,
                ParsedLine::Bad("too many words"),
            ),
            (b"DISABLE \xff\xfe\n", false, ParsedLine::Bad("not UTF-8")),
            (&long, false, ParsedLine::Bad("a line too long")),
            (&long[1..], false, ParsedLine::More),
        ];
        for (bytes, ended, expected) in cases {
            assert_eq!(
                &parse_line(bytes, *ended),
                expected,
                "{:?}",
                String::from_utf8_lossy(bytes)
            );
        }
        for number in 0..8 {
            let [stopping, listed, accepting] = [1, 2, 4].map(|bit| number & bit > 0);
            let ready = Readiness {
                stopping,
                listed,
                accepting,
            };
            assert_eq!(ready.told().is_ok(), number == 6, "{ready:?}");
        }
        for pieces in 1..b"DISABLE s-1\r\n".len() {
            assert_eq!(
                parse_line(&b"DISABLE s-1\r\n"[..pieces], false),
                ParsedLine::More
            );
        }
    }
}
