//! Tests of the errors of a text that is parsed without regard to a deployment.
mod common;

use thistlecroft_operator_config::OperatorConfig;

/// The line, column, key and a part of the reason of each error.
type Errors = &'static [(usize, usize, &'static str, &'static str)];

/// Malformed texts with their errors.
const MALFORMED: &[(&str, Errors)] = &[
    ("[[route]\n", &[(1, 9, "syntax", "unclosed")]),
    ("[[rout]]\n", &[(1, 3, "rout", "is it `route`?")]),
    ("route = 3", &[(1, 9, "route", "a table")]),
    ("[[route]]\n", &[(1, 1, "route 1", "it must be stated")]),
    (
        "[[route]]\nname = \"a b\"",
        &[(2, 8, "route a b.name", "letters, digits")],
    ),
    (
        "[[route]]\nname = \"a\"\n[[route]]\nname = \"a\"",
        &[(3, 1, "route a.name", "line 1 has the same name")],
    ),
    (
        "[[route]]\nname = \"a\"\ndial = 3",
        &[(3, 1, "route a.dial", "is it `dials`?")],
    ),
    (
        "[[route]]\nname = \"a\"\nzzz = 3",
        &[(3, 1, "route a.zzz", "there is no such key")],
    ),
    (
        "[[route]]\nname = \"a\"\ndials = 0",
        &[(3, 9, "route a.dials", "a whole number, 1 or more")],
    ),
    (
        "[[route]]\nname = \"a\"\ndials = 1.5",
        &[(3, 9, "route a.dials", "a whole number")],
    ),
    (
        "[[route]]\nname = \"a\"\nbase = 250",
        &[(3, 8, "route a.base", "\"250ms\"")],
    ),
    (
        "[[route]]\nname = \"a\"\nbase = \"0s\"",
        &[(3, 8, "route a.base", "a span")],
    ),
    (
        "[[route]]\nname = \"a\"\nbase = \"99999h\"",
        &[(3, 8, "route a.base", "a span")],
    ),
    (
        "[[route]]\nname = \"a\"\nretry_share = 1.5",
        &[(3, 15, "route a.retry_share", "from 0 to 1")],
    ),
    (
        "[[route]]\nname = \"a\"\npatience = 0",
        &[(3, 12, "route a.patience", "above 0")],
    ),
    (
        "[[route]]\nname = \"a\"\nmatch = 3",
        &[(3, 9, "route a.match", "a table")],
    ),
    (
        "[[route]]\nname = \"a\"\n[route.match]\nkey_prefix = \"7g\"\ngroup = \"7f\"\nlistener = []",
        &[
            (4, 14, "route a.match.key_prefix", "1 to 16 hexadecimal"),
            (5, 9, "route a.match.group", "sixteen hexadecimal"),
            (6, 12, "route a.match.listener", "a name or a list"),
        ],
    ),
    (
        "[[route]]\nname = \"a\"\nbas = \"1s\"\ncap = 3\n[route.second_copy]\nshares = 0.1\nquantile = 2",
        &[
            (3, 1, "route a.bas", "is it `base`?"),
            (4, 7, "route a.cap", "a span"),
            (6, 1, "route a.second_copy.shares", "is it `share`?"),
            (7, 12, "route a.second_copy.quantile", "from 0 to 1"),
        ],
    ),
];

#[test]
fn malformed_text_is_rejected_with_every_error() {
    for (text, expected) in MALFORMED {
        let errors = OperatorConfig::parse("c.toml", text).expect_err(text);
        assert_eq!(errors.len(), expected.len(), "{text}: {errors:?}");
        for (error, (line, column, key, reason)) in errors.iter().zip(*expected) {
            assert_eq!(
                (error.line, error.column, error.key.as_str()),
                (*line, *column, *key),
                "{text}: {error}"
            );
            assert!(error.reason.contains(reason), "{text}: {error}");
            assert_eq!(error.to_string().lines().count(), 1);
        }
    }
}
