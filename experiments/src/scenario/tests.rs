//! Errors of scenario files.
use super::Scenario;
use super::duration_text::parse_duration;
use thistlecroft::time::Duration;

const GOOD: &str = r#"
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

/// What is replaced by what, the line, the key, and a part of the reason.
type Case = (
    &'static str,
    &'static str,
    usize,
    &'static str,
    &'static str,
);

const WRONG: &[Case] = &[
    (
        "length = \"10s\"",
        "length = \"10\"",
        3,
        "length",
        "no span of time",
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
        "the whole",
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
        "times must rise",
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
        "name: letters",
    ),
    (
        "wait = \"1s\"",
        "wait = \"100ms\"",
        8,
        "listener",
        "wait: between the handshake target",
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
    ("times = 4.0\n", "", 14, "fault", "times: \"slow\" needs it"),
    (
        "times = 4.0",
        "times = 0.5",
        14,
        "fault",
        "times: 1 or more",
    ),
    (
        "boxes = \"half\"",
        "boxes = [6]",
        14,
        "fault",
        "boxes: there is no 6",
    ),
    (
        "boxes = \"half\"",
        "boxes = 7",
        14,
        "fault",
        "boxes: there are only 6",
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
        "at: the run is over",
    ),
];

#[test]
fn wrong_scenario_is_named_with_its_line_and_key() {
    for &(from, to, line, key, why) in WRONG {
        assert!(GOOD.contains(from), "{from}");
        let fault = Scenario::parse("bad.toml", &GOOD.replacen(from, to, 1)).expect_err(to);
        assert_eq!(
            (fault.line, fault.key.as_str()),
            (line, key),
            "{to}: {fault}"
        );
        assert!(fault.reason.contains(why), "{to}: {fault}");
        assert_eq!(fault.to_string().lines().count(), 1, "{fault}");
    }
}

#[test]
fn durations_are_read_with_their_units() {
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
    for (text, us) in cases {
        assert_eq!(
            parse_duration(text).ok().map(Duration::as_micros),
            us,
            "{text}"
        );
    }
}
