//! Tests of the keys of the settings: every key has an effect, a missing required key is named in
//! the error, and a missing optional key has its default.
use serde_json::{Value, json};

/// Returns settings that state every known key.
fn every_key() -> Value {
    json!({
        "az": 1,
        "zones": ["ikeja", "lekki"],
        "balancers": 3,
        "me": 2,
        "tickUs": 2_000,
        "discovery": "subscribe",
        "weights": "live",
        "listeners": [
            {"name": "view", "deadlineUs": 1_200_000, "handshakeTargetUs": 300_000, "effect": "retryable",
             "utility": 1.0},
            {"name": "book", "deadlineUs": 2_400_000, "handshakeTargetUs": 400_000, "effect": "dedup",
             "dedupScope": "zone", "dedupWindowUs": 500_000, "utility": 2.0},
        ],
        "invariants": {
            "askWithinUs": 5_000_000, "coldUs": 9_000_000, "drainGraceUs": 2_000_000, "fallUs": 3_000_000,
            "overloadFactor": 3.0, "startCapacity": 0.3,
            "extraFree": 10.0, "repeatRatio": 0.1, "extraWindowUs": 1_000_000.0,
        },
        "permissions": {
            "connIdleUs": 9_000_000, "dialTimeoutUs": 50_000, "maxDials": 3, "maxRetryAfterUs": 2_000_000,
            "mayCancel": true, "parallelTries": true, "peers": true, "probes": true, "retryAfter": true,
        },
        "prices": {"crossZone": 0.1, "moves": 0.2, "probe": 0.3},
        "extra": {"groups": true, "messageAimUs": [50_000.0, 60_000.0], "tellsLoad": true, "tellsDelay": true},
        "report": {"fields": ["rif", "x0"], "how": "piggyback"},
    })
}

/// Returns the path of every known key, with a valid value other than that in [`every_key`].
fn other_values() -> Vec<(&'static str, Value)> {
    vec![
        ("/az", json!(0)),
        ("/zones", json!(["ikeja", "yaba"])),
        ("/balancers", json!(4)),
        ("/me", json!(1)),
        ("/tickUs", json!(3_000)),
        ("/discovery", json!("automatic")),
        ("/weights", json!("silent")),
        ("/listeners/0/name", json!("look")),
        ("/listeners/0/deadlineUs", json!(1_300_000)),
        ("/listeners/0/handshakeTargetUs", json!(310_000)),
        ("/listeners/0/effect", json!("fragile")),
        ("/listeners/0/utility", json!(1.5)),
        ("/listeners/1/dedupScope", json!("cell")),
        ("/listeners/1/dedupWindowUs", json!(600_000)),
        ("/invariants/askWithinUs", json!(6_000_000)),
        ("/invariants/coldUs", json!(8_000_000)),
        ("/invariants/drainGraceUs", json!(1_000_000)),
        ("/invariants/fallUs", json!(4_000_000)),
        ("/invariants/overloadFactor", json!(2.0)),
        ("/invariants/startCapacity", json!(0.4)),
        ("/invariants/extraFree", json!(11.0)),
        ("/invariants/repeatRatio", json!(0.2)),
        ("/invariants/extraWindowUs", json!(2_000_000.0)),
        ("/permissions/connIdleUs", json!(8_000_000)),
        ("/permissions/dialTimeoutUs", json!(60_000)),
        ("/permissions/maxDials", json!(2)),
        ("/permissions/maxRetryAfterUs", json!(1_000_000)),
        ("/permissions/mayCancel", json!(false)),
        ("/permissions/parallelTries", json!(false)),
        ("/permissions/peers", json!(false)),
        ("/permissions/probes", json!(false)),
        ("/permissions/retryAfter", json!(false)),
        ("/prices/crossZone", json!(0.4)),
        ("/prices/moves", json!(0.5)),
        ("/prices/probe", json!(0.6)),
        ("/extra/groups", json!(false)),
        ("/extra/messageAimUs", json!([40_000.0, 60_000.0])),
        ("/extra/tellsLoad", json!(false)),
        ("/extra/tellsDelay", json!(false)),
        ("/report/fields", json!(["q", "rif"])),
        ("/report/how", json!("silent")),
    ]
}

/// The paths of keys without which settings are rejected.
const REQUIRED: &[&str] = &[
    "/az",
    "/balancers",
    "/me",
    "/tickUs",
    "/discovery",
    "/listeners",
    "/listeners/0/deadlineUs",
    "/listeners/0/handshakeTargetUs",
    "/listeners/0/effect",
    "/listeners/0/utility",
    "/listeners/1/dedupScope",
    "/listeners/1/dedupWindowUs",
    "/invariants",
    "/invariants/askWithinUs",
    "/invariants/coldUs",
    "/invariants/fallUs",
    "/invariants/overloadFactor",
    "/invariants/startCapacity",
    "/permissions",
    "/permissions/dialTimeoutUs",
    "/permissions/maxDials",
    "/permissions/maxRetryAfterUs",
    "/permissions/mayCancel",
    "/permissions/probes",
    "/permissions/retryAfter",
];

/// Returns the paths of optional keys, with their defaults.
fn defaults() -> Vec<(&'static str, Value)> {
    vec![
        ("/zones", json!([])),
        ("/weights", json!("")),
        ("/listeners/0/name", json!("")),
        ("/invariants/drainGraceUs", json!(3_200_000)),
        ("/invariants/extraFree", json!(0.0)),
        ("/invariants/repeatRatio", json!(0.0)),
        ("/permissions/connIdleUs", json!(0)),
        ("/permissions/parallelTries", json!(false)),
        ("/permissions/peers", json!(false)),
        (
            "/prices",
            json!({"crossZone": 0.0, "moves": 0.0, "probe": 0.0}),
        ),
        ("/prices/crossZone", json!(0.0)),
        ("/prices/moves", json!(0.0)),
        ("/prices/probe", json!(0.0)),
        ("/extra/groups", json!(false)),
        ("/extra/messageAimUs", json!([])),
        ("/extra/tellsLoad", json!(false)),
        ("/extra/tellsDelay", json!(false)),
        ("/report/fields", json!([])),
        ("/report/how", json!("")),
    ]
}

/// Parses settings and prints every parsed value, for comparison with other settings.
fn parsed(settings: &Value) -> Result<String, String> {
    let settings = thistlecroft_settings::parse(settings.to_string().as_bytes())
        .map_err(|error| error.to_string())?;
    let fields = settings.report_fields;
    let text = format!("{:?} {:?}", settings.deployment, settings.zones)
        + &format!(
            "{:?} {:?} {:?}",
            settings.listeners, settings.client_timeouts, settings.backend_idle_timeout
        )
        + &format!(
            "{:?} {:?} {} {}",
            settings.drain_grace,
            settings.shutdown_timeout,
            settings.may_use_peers,
            settings.connection_value_is_latency
        )
        + &format!("{:?} {:?}", fields.connections, fields.load)
        + &format!("{}", fields.weight(7.0));
    Ok(text)
}

/// Returns [`every_key`] with another value at this path.
fn with_value(path: &str, value: &Value) -> Value {
    let mut settings = every_key();
    let stated = settings.pointer_mut(path);
    *stated.unwrap_or_else(|| panic!("{path} is not stated")) = value.clone();
    settings
}

/// Returns [`every_key`] without the key at this path.
fn without_key(path: &str) -> Value {
    let mut settings = every_key();
    let (parent, key) = path.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap();
    let removed = parent.as_object_mut().unwrap().remove(key);
    assert!(removed.is_some(), "{path} is not stated");
    settings
}

#[test]
fn key_with_another_value_changes_the_settings() {
    let original = parsed(&every_key()).unwrap();
    for (path, value) in other_values() {
        let changed = parsed(&with_value(path, &value)).unwrap();
        assert_ne!(changed, original, "{path} has no effect");
    }
}

#[test]
fn number_is_parsed_in_the_unit_of_its_key() {
    let settings = thistlecroft_settings::parse(every_key().to_string().as_bytes()).unwrap();
    let deployment = settings.deployment;
    let durations_us = [
        (deployment.tick, 2_000),
        (deployment.connect_timeout, 50_000),
        (deployment.message_objective, 50_000),
        (deployment.poll_within.unwrap(), 5_000_000),
        (deployment.slow_start.warm_up, 9_000_000),
        (deployment.slow_start.window, 3_000_000),
        (deployment.retry_budget.unwrap().window, 1_000_000),
        (deployment.routes[0].handshake_objective, 300_000),
        (deployment.routes[0].max_retry_after, 2_000_000),
        (settings.shutdown_timeout, 3_100_000),
        (settings.client_timeouts[1], 2_400_000),
        (settings.backend_idle_timeout, 9_000_000),
        (settings.drain_grace, 2_000_000),
    ];
    for (index, (duration, expected)) in durations_us.into_iter().enumerate() {
        assert_eq!(duration.as_micros(), expected, "row {index}");
    }
    let retry_budget = deployment.retry_budget.unwrap();
    assert_eq!((retry_budget.free, retry_budget.share), (10.0, 0.1));
    let slow_start = deployment.slow_start;
    assert_eq!(
        (slow_start.initial_share, slow_start.overload_factor),
        (0.3, 3.0)
    );
    let costs = [
        deployment.cross_zone_cost,
        deployment.migration_cost,
        deployment.health_check_cost,
    ];
    assert_eq!(costs, [0.1, 0.2, 0.3]);
}

#[test]
fn missing_required_key_is_rejected_by_name() {
    for path in REQUIRED {
        let key = path.rsplit('/').next().unwrap();
        let error = parsed(&without_key(path)).expect_err(path);
        let expected = format!("settings: missing field `{key}`");
        assert!(error.starts_with(&expected), "{path}: {error}");
    }
}

#[test]
fn missing_optional_key_has_its_default() {
    for (path, default) in defaults() {
        let parsed_without =
            parsed(&without_key(path)).unwrap_or_else(|error| panic!("{path}: {error}"));
        assert_eq!(
            parsed_without,
            parsed(&with_value(path, &default)).unwrap(),
            "{path}"
        );
    }
}

#[test]
fn unknown_variant_is_rejected_and_every_field_name_is_accepted() {
    let variants = [
        (
            "/discovery",
            "unknown variant `other`, expected `automatic` or `subscribe`",
        ),
        (
            "/listeners/0/effect",
            "unknown variant `other`, expected one of `retryable`, `dedup`, `fragile`",
        ),
        (
            "/listeners/1/dedupScope",
            "unknown variant `other`, expected one of `all`, `zone`, `cell`",
        ),
    ];
    for (path, expected) in variants {
        let error = parsed(&with_value(path, &json!("other"))).expect_err(path);
        assert!(
            error.starts_with(&format!("settings: {expected}")),
            "{error}"
        );
    }
    for names in [["rif", "x0"], ["inflight", "busy"], ["inflight", "util"]] {
        let parsed_settings = parsed(&with_value("/report/fields", &json!(names)));
        assert_eq!(parsed_settings, parsed(&every_key()), "{names:?}");
    }
}

#[test]
fn unknown_key_is_ignored() {
    let mut settings = every_key();
    for path in ["", "/listeners/0", "/invariants", "/permissions", "/extra"] {
        settings.pointer_mut(path).unwrap()["unheardOf"] = json!(1);
    }
    assert_eq!(parsed(&settings), parsed(&every_key()));
}

/// Optional keys of the retry budget: a platform without a budget states none of them.
const RETRY_BUDGET: &[&str] = &["/invariants/extraFree", "/invariants/repeatRatio"];

/// Guards against a default, which may be less strict, in place of a value that a broken file lost.
#[test]
fn later_settings_without_a_stated_key_are_rejected_by_name() {
    let parse = |settings: &Value| {
        thistlecroft_settings::parse(settings.to_string().as_bytes())
            .unwrap_or_else(|error| panic!("{error}"))
    };
    let former = parse(&every_key());
    assert!(former.check_keeps_keys(&former).is_ok());
    for (path, _) in defaults() {
        let later = parse(&without_key(path));
        let verdict = former.check_keeps_keys(&later);
        if RETRY_BUDGET.contains(&path) {
            assert!(verdict.is_ok(), "{path}");
            continue;
        }
        let error = verdict.expect_err(path).to_string();
        let key = path.rsplit('/').next().unwrap();
        assert!(error.contains(key), "{path}: {error}");
        // A key that the former settings did not state either was not lost.
        assert!(later.check_keeps_keys(&later).is_ok(), "{path}");
        assert!(later.check_keeps_keys(&former).is_ok(), "{path}");
    }
    let null_grace = parse(&with_value("/invariants/drainGraceUs", &Value::Null));
    let error = former.check_keeps_keys(&null_grace).unwrap_err();
    assert_eq!(
        error.to_string(),
        "settings: missing field `invariants.drainGraceUs`, which the former settings state"
    );
}
