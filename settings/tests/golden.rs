//! The keys of the settings text: each one that is read changes what is read, and one that must be
//! there is missed by its name.
use serde_json::{Value, json};

/// Settings that state every key that is read.
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

/// Every key that is read, by its path, with another value that it may hold.
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

/// Keys without which settings are refused.
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

/// Keys that may be left out, with the value that holds then.
fn defaults() -> Vec<(&'static str, Value)> {
    vec![
        ("/zones", json!([])),
        ("/weights", json!("")),
        ("/listeners/0/name", json!("")),
        ("/listeners/1/dedupScope", json!("all")),
        ("/listeners/1/dedupWindowUs", json!(0)),
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

/// What a text was read as; only ever compared with another one of the same build.
fn read_as(settings: &Value) -> Result<String, String> {
    let site = thistlecroft_settings::parse(settings.to_string().as_bytes())?;
    let places = site.report_fields;
    let text = format!("{:?} {:?}", site.deployment, site.zones)
        + &format!(
            "{:?} {:?} {:?}",
            site.listeners, site.client_timeouts, site.backend_idle_timeout
        )
        + &format!(
            "{:?} {} {}",
            site.drain_grace, site.may_use_peers, site.notes_carry_latency
        )
        + &format!("{:?} {:?}", places.connections, places.load)
        + &format!("{}", places.weight(7.0));
    Ok(text)
}

fn with(path: &str, value: &Value) -> Value {
    let mut settings = every_key();
    let place = settings.pointer_mut(path);
    *place.unwrap_or_else(|| panic!("{path} is not stated")) = value.clone();
    settings
}

fn without(path: &str) -> Value {
    let mut settings = every_key();
    let (parent, key) = path.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap();
    let removed = parent.as_object_mut().unwrap().remove(key);
    assert!(removed.is_some(), "{path} is not stated");
    settings
}

#[test]
fn a_key_with_another_value_is_read_as_something_else() {
    let as_stated = read_as(&every_key()).unwrap();
    for (path, value) in other_values() {
        let otherwise = read_as(&with(path, &value)).unwrap();
        assert_ne!(otherwise, as_stated, "{path} is not read");
    }
}

#[test]
fn figures_are_read_in_the_units_of_the_settings() {
    let site = thistlecroft_settings::parse(every_key().to_string().as_bytes()).unwrap();
    let deployment = site.deployment;
    let microseconds = [
        (deployment.tick, 2_000),
        (deployment.connect_timeout, 50_000),
        (deployment.message_objective, 50_000),
        (deployment.poll_within.unwrap(), 5_000_000),
        (deployment.slow_start.warm_up, 9_000_000),
        (deployment.slow_start.window, 3_000_000),
        (deployment.retry_budget.unwrap().window, 1_000_000),
        (deployment.routes[0].handshake_objective, 300_000),
        (deployment.routes[0].max_retry_after, 2_000_000),
        (deployment.shutdown_timeout, 3_100_000),
        (site.client_timeouts[1], 2_400_000),
        (site.backend_idle_timeout, 9_000_000),
        (site.drain_grace, 2_000_000),
    ];
    for (place, (span, expected)) in microseconds.into_iter().enumerate() {
        assert_eq!(span.as_micros(), expected, "row {place}");
    }
    let ration = deployment.retry_budget.unwrap();
    assert_eq!((ration.free, ration.share), (10.0, 0.1));
    let cold = deployment.slow_start;
    assert_eq!((cold.initial_share, cold.overload_factor), (0.3, 3.0));
    let prices = [
        deployment.cross_zone_cost,
        deployment.migration_cost,
        deployment.health_check_cost,
    ];
    assert_eq!(prices, [0.1, 0.2, 0.3]);
}

#[test]
fn a_required_key_that_is_missing_is_named() {
    for path in REQUIRED {
        let key = path.rsplit('/').next().unwrap();
        let fault = read_as(&without(path)).expect_err(path);
        let expected = format!("settings: missing field `{key}`");
        assert!(fault.starts_with(&expected), "{path}: {fault}");
    }
}

#[test]
fn a_key_that_may_be_missing_holds_its_default() {
    for (path, default) in defaults() {
        let left_out = read_as(&without(path)).unwrap_or_else(|fault| panic!("{path}: {fault}"));
        assert_eq!(left_out, read_as(&with(path, &default)).unwrap(), "{path}");
    }
}

#[test]
fn words_that_settings_may_hold_are_those_recorded() {
    let words = [
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
    for (path, expected) in words {
        let fault = read_as(&with(path, &json!("other"))).expect_err(path);
        assert!(
            fault.starts_with(&format!("settings: {expected}")),
            "{fault}"
        );
    }
    for names in [["rif", "x0"], ["inflight", "busy"], ["inflight", "util"]] {
        let read = read_as(&with("/report/fields", &json!(names)));
        assert_eq!(read, read_as(&every_key()), "{names:?}");
    }
}

#[test]
fn a_key_that_is_not_known_is_passed_over() {
    let mut settings = every_key();
    for path in ["", "/listeners/0", "/invariants", "/permissions", "/extra"] {
        settings.pointer_mut(path).unwrap()["unheardOf"] = json!(1);
    }
    assert_eq!(read_as(&settings), read_as(&every_key()));
}
