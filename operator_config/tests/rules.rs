//! Tests of the errors of a file that is checked against the settings of a deployment.
mod common;

use common::{context, parse_and_resolve, route};
use thistlecroft_operator_config::RelayContext;

const HOLD: &str = "listener = \"hold\"";

/// The lines of a route, its match line, the key that the error names, and a part of the reason.
const BROKEN_RULES: &[(&str, &str, &str, &str)] = &[
    (
        "dial_timeout = \"5s\"",
        HOLD,
        "dial_timeout",
        "5s is longer than clients of hold wait (1200ms)",
    ),
    (
        "handshake_target = \"2s\"",
        HOLD,
        "handshake_target",
        "2s is longer than the handshake timeout of hold (1200ms)",
    ),
    (
        "dial_timeout = \"200ms\"\ndials = 1",
        HOLD,
        "handshake_target",
        "300ms is longer than the handshake timeout of hold (200ms)",
    ),
    (
        "dials = 4\nconnect_time = \"400ms\"",
        HOLD,
        "dials",
        "dials 4 x connect_time 400ms is longer than the handshake timeout of hold (1200ms)",
    ),
    ("base = \"40s\"", HOLD, "base", "base 40s is above cap 30s"),
    (
        "cap = \"500ms\"",
        HOLD,
        "base",
        "base 1s is above cap 500ms",
    ),
    (
        "retry_after = \"3s\"",
        HOLD,
        "retry_after",
        "3s is longer than the settings' maxRetryAfterUs (2s)",
    ),
    (
        "dials = 3",
        "listener = \"book\"",
        "dials",
        "not within the deduplication window of book (500ms)",
    ),
    (
        "idle = \"4s\"",
        HOLD,
        "idle",
        "idle 4s is not longer than cool_down 5s",
    ),
    (
        "second_copy = {}",
        "listener = \"pay\"",
        "second_copy",
        "pay is once-only: two attempts at once",
    ),
    (
        "second_copy = {}",
        "listener = \"book\"",
        "second_copy",
        "book is referenced: two attempts at once",
    ),
    (
        "second_copy = {}\ndials = 1",
        HOLD,
        "second_copy",
        "dials is 1",
    ),
    (
        "second_copy = { least = \"400ms\" }",
        HOLD,
        "second_copy.least",
        "least 400ms is above most 300ms",
    ),
    (
        "second_copy = { least = \"2s\", most = \"3s\" }",
        HOLD,
        "second_copy.least",
        "least 2s is not shorter than the handshake timeout of hold (1200ms)",
    ),
    (
        "at_once = 101",
        HOLD,
        "at_once",
        "take 202 descriptors, two per session; 200 are available",
    ),
    (
        "",
        "listener = \"holds\"",
        "match.listener",
        "there is no listener \"holds\"; is it \"hold\"?",
    ),
    (
        "",
        "zone = \"abuja\"",
        "match.zone",
        "there is no zone \"abuja\"",
    ),
];

#[test]
fn broken_rule_is_rejected_with_its_reason() {
    for (lines, matching, key, reason) in BROKEN_RULES {
        let text = route("a", matching, lines);
        let errors = parse_and_resolve(&text, &context()).expect_err(&text);
        let found = errors
            .iter()
            .find(|error| error.key == format!("route a.{key}"));
        let found = found.unwrap_or_else(|| panic!("{text}: {errors:?}"));
        assert!(found.reason.contains(reason), "{text}: {found}");
    }
}

#[test]
fn hedging_that_the_settings_forbid_is_rejected() {
    let without_hedging = RelayContext {
        may_hedge: false,
        ..context()
    };
    let text = route("a", HOLD, "second_copy = {}");
    assert!(
        parse_and_resolve(&text, &without_hedging).unwrap_err()[0]
            .reason
            .contains("one dial at a time")
    );
    assert!(parse_and_resolve(&text, &context()).is_ok());
}

#[test]
fn empty_file_is_accepted() {
    assert!(parse_and_resolve("", &context()).is_ok());
}

#[test]
fn session_limits_that_exceed_the_descriptors_together_are_rejected() {
    let two = route("a", HOLD, "at_once = 60") + &route("b", "listener = \"view\"", "at_once = 60");
    let errors = parse_and_resolve(&two, &context()).unwrap_err();
    assert!(
        errors[0].reason.contains("together (a 60, b 60) take 240")
            && errors[0].key == "route b.at_once",
        "{errors:?}"
    );
}

#[test]
fn route_covered_by_an_earlier_one_is_rejected() {
    let shadowed = [
        ("", "key_prefix = \"7f\""),
        (
            "listener = [\"hold\", \"view\"]",
            "listener = \"view\"\ngroup = \"5c0f6e1a2b3d4c59\"",
        ),
        ("key_prefix = \"7f\"", "key_prefix = \"7f3\""),
        (
            "listener = [\"hold\", \"view\", \"pay\", \"book\"]",
            "key_prefix = \"a\"",
        ),
        (
            "group = [\"5c0f6e1a2b3d4c59\", \"0000000000000001\"]",
            "group = \"0000000000000001\"",
        ),
    ];
    for (first, second) in shadowed {
        let text = route("a", first, "") + &route("b", second, "");
        let errors = parse_and_resolve(&text, &context()).expect_err(&text);
        assert!(
            errors[0]
                .reason
                .contains("route a of line 1, tried before it"),
            "{text}: {errors:?}"
        );
        // In the reverse order, both routes can match.
        let text = route("b", second, "") + &route("a", first, "");
        assert!(parse_and_resolve(&text, &context()).is_ok(), "{text}");
    }
}
