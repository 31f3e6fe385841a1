//! Tests of scenario files and their errors.
use super::Scenario;
use super::duration_text::parse_duration;
use thistlecroft::time::Duration;

const VALID_SCENARIO: &str = r#"
about = "for the test"
length = "10s"
[fleet]
boxes = 6
[traffic]
rate = [["0s", 5.0], ["5s", 50.0]]
[[listener]]
name = "view"
wait = "1s"
handshake_target = "300ms"
message_target = "50ms"
life = "5s"
[[fault]]
at = "2s"
what = "slow"
boxes = "half"
times = 4.0
for = "3s"
"#;

/// A replaced text, its replacement, and the line, the key and a part of the reason of the expected
/// error.
type InvalidCase = (
    &'static str,
    &'static str,
    usize,
    &'static str,
    &'static str,
);

const INVALID_CASES: &[InvalidCase] = &[
    (
        "length = \"10s\"",
        "length = \"10\"",
        3,
        "length",
        "not a duration",
    ),
    (
        "length = \"10s\"",
        "length = 10",
        3,
        "length",
        "expected a string",
    ),
    (
        "length = \"10s\"",
        "lenght = \"10s\"",
        3,
        "lenght",
        "unknown field",
    ),
    ("length = \"10s\"", "length = \"10s", 3, "length", ""),
    (
        "length = \"10s\"\n",
        "",
        1,
        "top level",
        "missing field `length`",
    ),
    (
        "boxes = 6",
        "boxes = 0",
        5,
        "fleet.boxes",
        "between 1 and 5000",
    ),
    ("boxes = 6", "boxes = -1", 5, "fleet.boxes", "invalid value"),
    (
        "boxes = 6",
        "boxes = 6\nzones = []",
        6,
        "fleet.zones",
        "at least one",
    ),
    (
        "boxes = 6",
        "boxes = 6\nlater = 6",
        6,
        "fleet.later",
        "from the start",
    ),
    (
        "[\"5s\", 50.0]",
        "[\"0s\", 50.0]",
        7,
        "traffic.rate",
        "times must increase",
    ),
    (
        "[\"5s\", 50.0]",
        "[\"5s\", -1.0]",
        7,
        "traffic.rate",
        "between 0 and",
    ),
    (
        "[[\"0s\", 5.0], [\"5s\", 50.0]]",
        "\"many\"",
        7,
        "traffic.rate",
        "pairs",
    ),
    (
        "name = \"view\"",
        "name = \"a view\"",
        8,
        "listener",
        "name: must consist of letters",
    ),
    (
        "wait = \"1s\"",
        "wait = \"100ms\"",
        8,
        "listener",
        "wait: must be between the handshake target",
    ),
    (
        "wait = \"1s\"",
        "wait = \"1s\"\neffect = \"twice\"",
        11,
        "listener.effect",
        "unknown variant",
    ),
    (
        "what = \"slow\"",
        "what = \"slwo\"",
        14,
        "fault",
        "there is no \"slwo\"; there are silent",
    ),
    (
        "times = 4.0\n",
        "",
        14,
        "fault",
        "times: the fault \"slow\" needs this key",
    ),
    (
        "times = 4.0",
        "times = 0.5",
        14,
        "fault",
        "times: must be 1 or more",
    ),
    (
        "boxes = \"half\"",
        "boxes = [6]",
        14,
        "fault",
        "boxes: index 6 is out of range",
    ),
    (
        "boxes = \"half\"",
        "boxes = 7",
        14,
        "fault",
        "boxes: must be at most 6",
    ),
    (
        "boxes = \"half\"",
        "boxes = \"most\"",
        17,
        "fault.boxes",
        "numbers such as",
    ),
    (
        "at = \"2s\"",
        "at = \"11s\"",
        14,
        "fault",
        "at: must not be later than the end of the run",
    ),
];

#[test]
fn parse_invalid_scenario_names_line_and_key() {
    for &(from, to, line, key, reason) in INVALID_CASES {
        assert!(VALID_SCENARIO.contains(from), "{from}");
        let error =
            Scenario::parse("bad.toml", &VALID_SCENARIO.replacen(from, to, 1)).expect_err(to);
        assert_eq!(
            (error.line, error.key.as_str()),
            (line, key),
            "{to}: {error}"
        );
        assert!(error.reason.contains(reason), "{to}: {error}");
        assert_eq!(error.to_string().lines().count(), 1, "{error}");
    }
}

#[test]
fn parse_duration_accepts_only_a_number_with_a_unit() {
    let cases = [
        ("250ms", Some(250_000)),
        ("1.5s", Some(1_500_000)),
        ("2m", Some(120_000_000)),
        ("10us", Some(10)),
        ("1h", Some(3_600_000_000)),
        ("250", None),
        ("ms", None),
        ("", None),
        ("-1s", None),
        ("1.2.3s", None),
        ("3 s", None),
    ];
    for (text, expected_us) in cases {
        assert_eq!(
            parse_duration(text).ok().map(Duration::as_micros),
            expected_us,
            "{text}"
        );
    }
}
