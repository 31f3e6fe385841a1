//! Tests of the admin port's line protocol.
use super::*;

/// The result of parsing a command.
type Parsed = Result<Option<AdminCommand>, SyntaxError>;

fn disable(backend: &str) -> Parsed {
    Ok(Some(AdminCommand::Disable(backend.into())))
}

fn peers(command: PeerCommand) -> Parsed {
    Ok(Some(AdminCommand::Peers(command)))
}

#[test]
fn parse_command_of_a_line_returns_the_command_or_the_reason() {
    let ready = || Ok(Some(AdminCommand::Ready));
    let long = [b'x'; MAX_LINE_BYTES];
    let cases: &[(&[u8], bool, Parsed)] = &[
        (b"", false, Ok(None)),
        (b"REA", false, Ok(None)),
        (b"READY\n", false, ready()),
        (b"READY\r\n", false, ready()),
        (b"READY\nmore", false, ready()),
        (b"DISABLE s-5be2a07c\r\n", false, disable("s-5be2a07c")),
        (b"DISABLE  s-5be2a07c \n", true, disable("s-5be2a07c")),
        (
            b"ENABLE a\n",
            false,
            Ok(Some(AdminCommand::Enable("a".into()))),
        ),
        (b"ENABLE a", true, Err(SyntaxError::UnterminatedLine)),
        (b"READY", true, Err(SyntaxError::UnterminatedLine)),
        (b"", true, Err(SyntaxError::Empty)),
        (b"\n", false, Err(SyntaxError::Empty)),
        (b" \r\n", false, Err(SyntaxError::Empty)),
        (b"ENABLE\n", false, Err(SyntaxError::MissingBackend)),
        (b"ENABLE a b\n", false, Err(SyntaxError::TooManyWords)),
        (b"READY now\n", false, Err(SyntaxError::ReadyWithArgument)),
        (b"ready\n", false, Err(SyntaxError::UnknownCommand)),
        (b"PEERS\n", false, peers(PeerCommand::Members)),
        (b"NOTES x\n", false, Err(SyntaxError::UnknownCommand)),
        (
            b"LEASE turn\n",
            false,
            peers(PeerCommand::Lease("turn".into())),
        ),
        (b"RELEASE\n", false, Err(SyntaxError::MissingLease)),
        (
            b"NOTE a b\n",
            false,
            peers(PeerCommand::Announce {
                subject: "a".into(),
                value: "b".into(),
            }),
        ),
        (b"NOTE a\n", false, Err(SyntaxError::IncompleteNote)),
        (b"NOTE a b c\n", false, Err(SyntaxError::TooManyWords)),
        (b"GET / HTTP/1.1\r\n", false, Err(SyntaxError::TooManyWords)),
        (b"DISABLE \xff\xfe\n", false, Err(SyntaxError::NotUtf8)),
        (&long, false, Err(SyntaxError::LineTooLong)),
        (&long[1..], false, Ok(None)),
    ];
    for (bytes, has_ended, expected) in cases {
        assert_eq!(
            &parse_command(bytes, *has_ended),
            expected,
            "{:?}",
            String::from_utf8_lossy(bytes)
        );
    }
    for end in 1..b"DISABLE s-1\r\n".len() {
        assert_eq!(parse_command(&b"DISABLE s-1\r\n"[..end], false), Ok(None));
    }
}

/// Operators' tools match these texts.
#[test]
fn syntax_errors_when_displayed_keep_their_texts() {
    let cases = [
        (SyntaxError::UnterminatedLine, "the line has no end"),
        (SyntaxError::Empty, "no call"),
        (SyntaxError::MissingBackend, "which backend?"),
        (SyntaxError::TooManyWords, "too many words"),
        (SyntaxError::ReadyWithArgument, "READY takes no more words"),
        (SyntaxError::MissingLease, "which lease?"),
        (SyntaxError::IncompleteNote, "a subject and a value"),
        (SyntaxError::NotUtf8, "not UTF-8"),
        (SyntaxError::LineTooLong, "a line too long"),
        (
            SyntaxError::UnknownCommand,
            "no such call: READY, DISABLE ID, ENABLE ID, PEERS, LEASE SUBJECT, RELEASE SUBJECT, \
             NOTE SUBJECT VALUE or NOTES",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn readiness_check_succeeds_only_if_all_conditions_are_met() {
    for number in 0..8 {
        let [is_stopping, has_endpoints, accepts_clients] = [1, 2, 4].map(|bit| number & bit > 0);
        let readiness = Readiness {
            is_stopping,
            has_endpoints,
            accepts_clients,
        };
        assert_eq!(readiness.check().is_ok(), number == 6, "{readiness:?}");
    }
}
