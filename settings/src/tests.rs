//! Settings that are rejected, and values that depend on several keys.
use crate::parse;
use thistlecroft::deployment::{DeduplicationScope, Idempotency, RetryBudget};
use thistlecroft::time::Duration;

/// Settings with these listeners, each a name and further keys, and this number of attempts.
fn text(listeners: &[(&str, &str)], max_attempts: &str) -> String {
    let rows = listeners.iter().map(|(name, more)| {
        format!("{{\"name\":\"{name}\",\"handshakeTargetUs\":3,\"utility\":1.0,{more}}}")
    });
    let rows: Vec<String> = rows.collect();
    format!(
        r#"{{"az":0,"balancers":1,"me":0,"tickUs":2000,"discovery":"automatic","listeners":[{}],
        "invariants":{{"askWithinUs":1,"coldUs":9,"fallUs":3,"overloadFactor":3.0,"startCapacity":0.3}},
        "permissions":{{"dialTimeoutUs":5,"maxDials":{max_attempts},"maxRetryAfterUs":2,"mayCancel":true,"probes":true,"retryAfter":true}}}}"#,
        rows.join(",")
    )
}

const IDEMPOTENT: &str = r#""deadlineUs":1200000,"effect":"retryable""#;

#[test]
fn invalid_settings_are_rejected_with_one_line() {
    assert!(parse(text(&[("a", IDEMPOTENT), ("b", IDEMPOTENT)], "3").as_bytes()).is_ok());
    let deadline = |figure: &str| IDEMPOTENT.replace("1200000", figure);
    let cases = [
        (text(&[("a", &deadline("0"))], "3"), "deadlineUs is zero"),
        (text(&[("a", &deadline("-5"))], "3"), "-5"),
        (text(&[("a", &deadline("1.5"))], "3"), "1.5"),
        (text(&[("a", &deadline("\"soon\""))], "3"), "soon"),
        (text(&[("a", r#""effect":"retryable""#)], "3"), "deadlineUs"),
        (
            text(&[("a", IDEMPOTENT), ("a", IDEMPOTENT)], "3"),
            "stands twice",
        ),
        (text(&[], "3"), "no listeners"),
        (text(&[("a", IDEMPOTENT)], "0"), "maxDials is zero"),
        (text(&[("a", IDEMPOTENT)], "-1"), "-1"),
        (text(&[("a", IDEMPOTENT)], "2.5"), "2.5"),
        (text(&[("a", IDEMPOTENT)], "null"), "null"),
        (String::new(), "EOF"),
        (text(&[("a", IDEMPOTENT)], "3")[..200].to_string(), "EOF"),
    ];
    for (text, expected) in cases {
        let error = parse(text.as_bytes())
            .err()
            .map(|error| error.to_string())
            .unwrap_or_else(|| panic!("accepted: {text}"));
        assert!(
            error.contains(expected) && error.lines().count() == 1,
            "{error}"
        );
    }
}

#[test]
fn load_counts_as_reported_only_where_reports_reach_relays() {
    let cases = [
        (r#""fields":["rif","x0"],"how":"pull""#, true, true),
        (r#""fields":["rif","x0"],"how":"pull""#, false, false),
        (r#""fields":["q","busy"],"how":"piggyback""#, false, true),
        (r#""fields":["x0"],"how":"silent""#, true, false),
        (r#""fields":["rif"],"how":"pull""#, true, false),
        (r#""fields":[],"how":"silent""#, true, false),
        (r#""fields":["x0"]"#, false, true),
    ];
    for (report, probes, reports_load) in cases {
        let settings = text(&[("a", IDEMPOTENT)], "3")
            .replace("\"probes\":true", &format!("\"probes\":{probes}"));
        let settings = settings.replacen('{', &format!("{{\"report\":{{{report}}},"), 1);
        let settings =
            parse(settings.as_bytes()).unwrap_or_else(|error| panic!("{report}: {error}"));
        assert_eq!(
            settings.deployment.reports_load, reports_load,
            "{report} {probes}"
        );
    }
}

/// Settings with these further invariants.
fn with_invariants(more: &str) -> String {
    text(&[("a", IDEMPOTENT)], "3").replace("\"fallUs\":3", &format!("\"fallUs\":3{more}"))
}

fn retry_budget(free: f64, share: f64, window_us: u64) -> Option<RetryBudget> {
    Some(RetryBudget {
        free,
        share,
        window: Duration::from_micros(window_us),
    })
}

#[test]
fn stated_retry_budget_is_parsed_and_combined() {
    let accepted = [
        ("", None),
        (
            r#","extraFree":3.0,"repeatRatio":0.15,"extraWindowUs":5000000"#,
            retry_budget(3.0, 0.15, 5_000_000),
        ),
        (
            r#","repeatRatio":0.15,"extraWindowUs":5000000"#,
            retry_budget(0.0, 0.15, 5_000_000),
        ),
        (
            r#","extraFree":2,"extraWindowUs":9"#,
            retry_budget(2.0, 0.0, 9),
        ),
        (r#","extraWindowUs":5000000"#, None),
    ];
    // During a change the stricter of both applies; one alone applies as it is.
    let both = |before: usize, after: usize| {
        let settings = |at: usize| parse(with_invariants(accepted[at].0).as_bytes()).unwrap();
        settings(before)
            .during_change_to(&settings(after))
            .deployment
            .retry_budget
    };
    assert_eq!([both(0, 1), both(1, 0)], [accepted[1].1; 2]);
    assert_eq!(
        [both(1, 3), both(3, 1)],
        [retry_budget(2.0, 0.0, 5_000_000); 2]
    );
    for (more, expected) in accepted {
        let settings = parse(with_invariants(more).as_bytes())
            .unwrap_or_else(|error| panic!("{more}: {error}"));
        assert_eq!(settings.deployment.retry_budget, expected, "{more}");
    }
}

#[test]
fn incomplete_retry_budget_is_rejected() {
    let rejected = [
        (r#","extraFree":-1,"extraWindowUs":5"#, "extraFree: -1"),
        (
            r#","repeatRatio":-0.5,"extraWindowUs":5"#,
            "repeatRatio: -0.5",
        ),
        (
            r#","repeatRatio":0.5,"extraWindowUs":-5"#,
            "extraWindowUs: -5",
        ),
        (r#","repeatRatio":0.5"#, "repeatRatio without a window"),
        (
            r#","repeatRatio":0.5,"extraWindowUs":0"#,
            "repeatRatio without a window",
        ),
        (r#","extraFree":1"#, "extraFree without a window"),
        (r#","repeatRatio":"much","extraWindowUs":5"#, "much"),
    ];
    for (more, expected) in rejected {
        let error = parse(with_invariants(more).as_bytes())
            .err()
            .map(|error| error.to_string())
            .unwrap_or_else(|| panic!("accepted: {more}"));
        assert!(
            error.contains(expected) && error.lines().count() == 1,
            "{error}"
        );
    }
}

#[test]
fn change_of_settings_keeps_the_stricter_limits() {
    let dedup = |scope: &str, window: u32| {
        format!(
            r#""deadlineUs":9,"effect":"dedup","dedupScope":"{scope}","dedupWindowUs":{window}"#
        )
    };
    let non_idempotent = IDEMPOTENT.replace("retryable", "fragile");
    let of = |scope, window| Idempotency::Keyed {
        scope,
        window: Duration::from_micros(window),
    };
    // The row of a listener before and after, and what holds between.
    let cases = [
        (
            IDEMPOTENT.to_string(),
            non_idempotent.clone(),
            Idempotency::NonIdempotent,
        ),
        (
            non_idempotent.clone(),
            IDEMPOTENT.to_string(),
            Idempotency::NonIdempotent,
        ),
        (
            IDEMPOTENT.to_string(),
            dedup("zone", 7),
            of(DeduplicationScope::Zone, 7),
        ),
        (dedup("zone", 7), non_idempotent, Idempotency::NonIdempotent),
        (
            dedup("cell", 7),
            dedup("all", 5),
            of(DeduplicationScope::Cell, 5),
        ),
        (
            dedup("all", 5),
            dedup("zone", 7),
            of(DeduplicationScope::Zone, 5),
        ),
    ];
    for (before, after, expected) in cases {
        let old = parse(text(&[("gone", IDEMPOTENT), ("a", &before)], "2").as_bytes()).unwrap();
        let new = parse(text(&[("a", &after), ("new", IDEMPOTENT)], "3").as_bytes()).unwrap();
        let both = old.during_change_to(&new);
        assert_eq!(both.listeners, ["a", "new", "gone"]);
        let rows = &both.deployment.routes;
        assert_eq!(rows[0].idempotency, expected, "{before} {after}");
        assert_eq!(
            rows.iter().map(|row| row.max_attempts).collect::<Vec<_>>(),
            [2, 3, 2]
        );
        assert_eq!(both.client_timeouts.len(), 3);
    }
}
