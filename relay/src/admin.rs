//! What operators may ask of a running relay, and how they are answered: one line to a call, one
//! line back. No I/O.

const NO_SUCH: &str = "no such call: READY, DISABLE ID, ENABLE ID, PEERS, LEASE SUBJECT, RELEASE SUBJECT, NOTE SUBJECT VALUE or NOTES";

/// The longest call; ids are far shorter.
pub const LONGEST: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
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
pub enum Heard {
    /// No end of line yet.
    More,
    Call(Call),
    Bad(&'static str),
}

/// `ended`: no more bytes will come. A call whose line has no end may have been cut off in the
/// middle of an id, so it is none.
pub fn hear(bytes: &[u8], ended: bool) -> Heard {
    let Some(at) = bytes
        .iter()
        .position(|&byte| byte == b'\n')
        .filter(|&at| at < LONGEST)
    else {
        return match (bytes.len() >= LONGEST, ended) {
            (true, _) => Heard::Bad("a line too long"),
            (false, true) if bytes.is_empty() => Heard::Bad("no call"),
            (false, true) => Heard::Bad("the line has no end"),
            (false, false) => Heard::More,
        };
    };
    let line = bytes[..at].strip_suffix(b"\r").unwrap_or(&bytes[..at]);
    let Ok(line) = std::str::from_utf8(line) else {
        return Heard::Bad("not UTF-8");
    };
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let Some(word) = words.next() else {
        return Heard::Bad("no call");
    };
    let id = words.next();
    match (word, id, words.next()) {
        ("NOTE", Some(subject), Some(value)) if words.next().is_none() => {
            Heard::Call(Call::Note(subject.into(), value.into()))
        }
        (_, _, Some(_)) => Heard::Bad("too many words"),
        ("READY", None, _) => Heard::Call(Call::Ready),
        ("READY", Some(_), _) => Heard::Bad("READY takes no more words"),
        ("DISABLE" | "ENABLE", None, _) => Heard::Bad("which backend?"),
        ("DISABLE", Some(id), _) => Heard::Call(Call::Disable(id.into())),
        ("ENABLE", Some(id), _) => Heard::Call(Call::Enable(id.into())),
        ("PEERS", None, _) => Heard::Call(Call::Peers),
        ("NOTES", None, _) => Heard::Call(Call::Notes),
        ("LEASE" | "RELEASE", None, _) => Heard::Bad("which lease?"),
        ("LEASE", Some(subject), _) => Heard::Call(Call::Lease(subject.into())),
        ("RELEASE", Some(subject), _) => Heard::Call(Call::Release(subject.into())),
        ("NOTE", ..) => Heard::Bad("a subject and a value"),
        _ => Heard::Bad(NO_SUCH),
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
        let disable = |id: &str| Heard::Call(Call::Disable(id.into()));
        let long = [b'x'; LONGEST];
        let cases: &[(&[u8], bool, Heard)] = &[
            (b"", false, Heard::More),
            (b"REA", false, Heard::More),
            (b"READY\n", false, Heard::Call(Call::Ready)),
            (b"READY\r\n", false, Heard::Call(Call::Ready)),
            (b"READY\nmore", false, Heard::Call(Call::Ready)),
            (b"DISABLE s-5be2a07c\r\n", false, disable("s-5be2a07c")),
            (b"DISABLE  s-5be2a07c \n", true, disable("s-5be2a07c")),
            (b"ENABLE a\n", false, Heard::Call(Call::Enable("a".into()))),
            (b"ENABLE a", true, Heard::Bad("the line has no end")),
            (b"READY", true, Heard::Bad("the line has no end")),
            (b"", true, Heard::Bad("no call")),
            (b"\n", false, Heard::Bad("no call")),
            (b" \r\n", false, Heard::Bad("no call")),
            (b"ENABLE\n", false, Heard::Bad("which backend?")),
            (b"ENABLE a b\n", false, Heard::Bad("too many words")),
            (
                b"READY now\n",
                false,
                Heard::Bad("READY takes no more words"),
            ),
            (b"ready\n", false, Heard::Bad(NO_SUCH)),
            (b"PEERS\n", false, Heard::Call(Call::Peers)),
            (b"NOTES x\n", false, Heard::Bad(NO_SUCH)),
            (
                b"LEASE turn\n",
                false,
                Heard::Call(Call::Lease("turn".into())),
            ),
            (b"RELEASE\n", false, Heard::Bad("which lease?")),
            (
                b"NOTE a b\n",
                false,
                Heard::Call(Call::Note("a".into(), "b".into())),
            ),
            (b"NOTE a\n", false, Heard::Bad("a subject and a value")),
            (b"NOTE a b c\n", false, Heard::Bad("too many words")),
            (b"GET / HTTP/1.1\r\n", false, Heard::Bad("too many words")),
            (b"DISABLE \xff\xfe\n", false, Heard::Bad("not UTF-8")),
            (&long, false, Heard::Bad("a line too long")),
            (&long[1..], false, Heard::More),
        ];
        for (bytes, ended, expected) in cases {
            assert_eq!(
                &hear(bytes, *ended),
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
            assert_eq!(hear(&b"DISABLE s-1\r\n"[..pieces], false), Heard::More);
        }
    }
}
