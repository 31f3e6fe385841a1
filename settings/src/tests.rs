//! Tests of rejected settings, and of values that depend on several keys.
use crate::parse;
use thistlecroft::deployment::{DeduplicationScope, Idempotency, RetryBudget};
use thistlecroft::time::Duration;

/// Returns settings with this `maxDials` and these listeners, each a name and further keys.
fn settings_json(listeners: &[(&str, &str)], max_attempts: &str) -> String {
    let rows = listeners.iter().map(|(name, further_keys)| {
        format!("{{\"name\":\"{name}\",\"handshakeTargetUs\":3,\"utility\":1.0,{further_keys}}}")
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
    assert!(parse(settings_json(&[("a", IDEMPOTENT), ("b", IDEMPOTENT)], "3").as_bytes()).is_ok());
    let deadline = |value: &str| IDEMPOTENT.replace("1200000", value);
    let cases = [
        (
            settings_json(&[("a", &deadline("0"))], "3"),
            "deadlineUs is zero",
        ),
        (settings_json(&[("a", &deadline("-5"))], "3"), "-5"),
        (settings_json(&[("a", &deadline("1.5"))], "3"), "1.5"),
        (settings_json(&[("a", &deadline("\"soon\""))], "3"), "soon"),
        (
            settings_json(&[("a", r#""effect":"retryable""#)], "3"),
            "deadlineUs",
        ),
        (
            settings_json(&[("a", IDEMPOTENT), ("a", IDEMPOTENT)], "3"),
            "listener \"a\" is listed twice",
        ),
        (settings_json(&[], "3"), "no listeners"),
        (settings_json(&[("a", IDEMPOTENT)], "0"), "maxDials is zero"),
        (settings_json(&[("a", IDEMPOTENT)], "-1"), "-1"),
        (settings_json(&[("a", IDEMPOTENT)], "2.5"), "2.5"),
        (settings_json(&[("a", IDEMPOTENT)], "null"), "null"),
        (String::new(), "EOF"),
        (
            settings_json(&[("a", IDEMPOTENT)], "3")[..200].to_string(),
            "EOF",
        ),
    ];
    for (settings_json, expected) in cases {
        let error = parse(settings_json.as_bytes())
            .err()
            .map(|error| error.to_string())
            .unwrap_or_else(|| panic!("accepted: {settings_json}"));
        assert!(
            error.contains(expected) && error.lines().count() == 1,
            "{error}"
        );
    }
}

#[test]
fn load_is_reported_only_where_reports_reach_relays() {
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
        let settings = settings_json(&[("a", IDEMPOTENT)], "3")
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

/// Returns settings with these further keys in the section `invariants`.
fn with_invariants(further_keys: &str) -> String {
    settings_json(&[("a", IDEMPOTENT)], "3")
        .replace("\"fallUs\":3", &format!("\"fallUs\":3{further_keys}"))
}

fn retry_budget(free: f64, share: f64, window_us: u64) -> Option<RetryBudget> {
    Some(RetryBudget {
        free,
        share,
        window: Duration::from_micros(window_us),
    })
}

#[test]
fn stated_retry_budget_is_parsed_and_the_stricter_applies_during_a_change() {
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
    // During a change, the stricter of two budgets applies, and a single one applies unchanged.
    let during_change = |before: usize, after: usize| {
        let settings = |index: usize| parse(with_invariants(accepted[index].0).as_bytes()).unwrap();
        settings(before)
            .during_change_to(&settings(after))
            .deployment
            .retry_budget
    };
    assert_eq!(
        [during_change(0, 1), during_change(1, 0)],
        [accepted[1].1; 2]
    );
    assert_eq!(
        [during_change(1, 3), during_change(3, 1)],
        [retry_budget(2.0, 0.0, 5_000_000); 2]
    );
    for (further_keys, expected) in accepted {
        let settings = parse(with_invariants(further_keys).as_bytes())
            .unwrap_or_else(|error| panic!("{further_keys}: {error}"));
        assert_eq!(settings.deployment.retry_budget, expected, "{further_keys}");
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
    for (further_keys, expected) in rejected {
        let error = parse(with_invariants(further_keys).as_bytes())
            .err()
            .map(|error| error.to_string())
            .unwrap_or_else(|| panic!("accepted: {further_keys}"));
        assert!(
            error.contains(expected) && error.lines().count() == 1,
            "{error}"
        );
    }
}

#[test]
fn settings_during_a_change_have_the_stricter_limits() {
    let dedup = |scope: &str, window: u32| {
        format!(
            r#""deadlineUs":9,"effect":"dedup","dedupScope":"{scope}","dedupWindowUs":{window}"#
        )
    };
    let non_idempotent = IDEMPOTENT.replace("retryable", "fragile");
    let keyed = |scope, window| Idempotency::Keyed {
        scope,
        window: Duration::from_micros(window),
    };
    // A listener before and after the change, and its idempotency class during the change.
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
            keyed(DeduplicationScope::Zone, 7),
        ),
        (dedup("zone", 7), non_idempotent, Idempotency::NonIdempotent),
        (
            dedup("cell", 7),
            dedup("all", 5),
            keyed(DeduplicationScope::Cell, 5),
        ),
        (
            dedup("all", 5),
            dedup("zone", 7),
            keyed(DeduplicationScope::Zone, 5),
        ),
    ];
    for (before, after, expected) in cases {
        let old =
            parse(settings_json(&[("gone", IDEMPOTENT), ("a", &before)], "2").as_bytes()).unwrap();
        let new =
            parse(settings_json(&[("a", &after), ("new", IDEMPOTENT)], "3").as_bytes()).unwrap();
        let during_change = old.during_change_to(&new);
        assert_eq!(during_change.listeners, ["a", "new", "gone"]);
        let routes = &during_change.deployment.routes;
        assert_eq!(routes[0].idempotency, expected, "{before} {after}");
        assert_eq!(
            routes
                .iter()
                .map(|route| route.max_attempts)
                .collect::<Vec<_>>(),
            [2, 3, 2]
        );
        assert_eq!(during_change.client_timeouts.len(), 3);
    }
}

/// Guards against a process that is killed before it has migrated its sessions: a shutdown during
/// the change counts by the shorter of the two timeouts.
#[test]
fn shutdown_timeout_during_a_change_is_the_shorter_one() {
    let settings = |timeout_us: &str| {
        let keys = IDEMPOTENT.replace("1200000", timeout_us);
        parse(settings_json(&[("a", &keys)], "3").as_bytes()).unwrap()
    };
    let (short, long) = (settings("1000000"), settings("2500000"));
    let during_change = [short.during_change_to(&long), long.during_change_to(&short)];
    assert_eq!(
        during_change.map(|settings| settings.shutdown_timeout),
        [Duration::from_millis(1_700); 2]
    );
}

#[test]
fn changes_name_each_limit_that_differs() {
    let keyed = |scope: &str, window: u32| {
        format!(
            r#""deadlineUs":9000,"effect":"dedup","dedupScope":"{scope}","dedupWindowUs":{window}"#
        )
    };
    let before = [("a", IDEMPOTENT), ("b", &keyed("cell", 5_000))];
    let after = [("c", IDEMPOTENT), ("b", &keyed("all", 4_000))];
    let settings = |listeners, budget: &str| {
        let text = settings_json(listeners, "3");
        let text = text.replace("\"fallUs\":3", &format!("\"fallUs\":3{budget}"));
        parse(text.as_bytes()).unwrap()
    };
    let before = settings(&before, r#","drainGraceUs":250000"#);
    let after = settings(
        &after,
        r#","extraFree":3,"repeatRatio":0.5,"extraWindowUs":5000000"#,
    );
    assert_eq!(before.changes_to(&before), Vec::<String>::new());
    assert_eq!(
        before.changes_to(&after),
        [
            "listener b: timeout 9 ms, keyed in one cell for 5 ms -> timeout 9 ms, keyed in all backends for 4 ms",
            "drain grace: 250 ms -> 3200 ms",
            "retry budget: none -> 3 and 0.5 a session in 5000 ms",
        ]
    );
}
