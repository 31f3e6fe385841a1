//! Tests of the lookup of routes, the values in force, and the changes between two files.
mod common;

use common::{context, parse_and_resolve, route};
use thistlecroft_operator_config::{LimitsIds, OperatorConfig, RouteTable, ValueOrigin};

/// Returns a file in which several routes match some sessions.
fn overlapping_routes() -> String {
    route(
        "partner",
        "key_prefix = \"7f3\"\nlistener = \"view\"",
        "dials = 2\nidle = \"1m\"",
    ) + &route(
        "kiln",
        "group = \"5c0f6e1a2b3d4c59\"",
        "connect_time = \"20ms\"",
    ) + &route("elsewhere", "zone = \"ikeja\"", "dials = 1")
        + &route(
            "look",
            "listener = [\"view\", \"hold\"]",
            "dial_timeout = \"1s\"\ncap = \"9s\"",
        )
}

#[test]
fn first_matching_route_overrides_the_settings() {
    let table = parse_and_resolve(&overlapping_routes(), &context()).unwrap();
    let (prefixed, other, kiln) = (
        0x7f3a_9c21_e0b4_d655,
        0x6f3a_9c21_e0b4_d655,
        0x5c0f_6e1a_2b3d_4c59,
    );
    // A session's listener, key and group, and the attempts, connect timeout, handshake timeout and
    // backoff cap of its row. The times are in milliseconds.
    let cases = [
        (1, prefixed, None, (2, 50, None, 30_000)),
        (1, other, None, (3, 50, Some(1_000), 9_000)),
        (0, prefixed, None, (3, 50, Some(1_000), 9_000)),
        (1, other, Some(kiln), (3, 20, None, 30_000)),
        (1, prefixed, Some(kiln), (2, 50, None, 30_000)),
        (2, prefixed, None, (3, 50, None, 30_000)),
        (2, prefixed, Some(kiln), (3, 20, None, 30_000)),
        (2, other, Some(1), (3, 50, None, 30_000)),
    ];
    for (listener, key, group, expected) in cases {
        let row = table.route_for(listener, key, group);
        let (route, timeouts) = (table.rows()[row], table.timeouts(row));
        let actual = (
            route.max_attempts,
            timeouts.connect_timeout.as_millis(),
            timeouts
                .handshake_timeout
                .map(|timeout| timeout.as_millis()),
            route.backoff_cap.as_millis(),
        );
        assert_eq!(
            actual, expected,
            "listener {listener}, key {key:x}, group {group:?}"
        );
        assert_eq!(
            route.idempotency,
            context().listeners[listener].route.idempotency
        );
    }
}

#[test]
fn table_without_a_file_has_a_row_for_each_listener() {
    let table = RouteTable::from_settings(&context());
    assert_eq!(
        (0..4)
            .map(|listener| table.route_for(listener, 1, None))
            .collect::<Vec<_>>(),
        [0, 1, 2, 3]
    );
    assert_eq!(table.rows().len(), 4);
}

#[test]
fn effective_values_name_their_origin() {
    let table = parse_and_resolve(&overlapping_routes(), &context()).unwrap();
    let value = table
        .effective_values()
        .iter()
        .find(|value| value.route == "partner" && value.key == "dials")
        .unwrap();
    assert_eq!(
        (value.value.as_str(), value.origin, value.listener.as_str()),
        ("2", ValueOrigin::File(3), "view")
    );
    let origins = |key| {
        table
            .effective_values()
            .iter()
            .filter(|value| value.key == key)
            .map(|value| value.origin)
            .collect::<Vec<_>>()
    };
    assert!(
        origins("cool_down")
            .iter()
            .all(|origin| *origin == ValueOrigin::BuiltIn)
    );
    assert!(
        origins("handshake_target")
            .iter()
            .all(|origin| *origin == ValueOrigin::Settings)
    );
}

#[test]
fn later_file_lists_its_changes_and_keeps_limits_ids() {
    let mut limits_ids = LimitsIds::default();
    let mut resolve = |text: &str| {
        OperatorConfig::parse("c.toml", text)
            .unwrap()
            .resolve(&context(), &mut limits_ids)
            .unwrap()
    };
    let hold = "listener = \"hold\"";
    let old = resolve(&(route("a", hold, "dials = 2") + &route("b", "listener = \"view\"", "")));
    let new = resolve(
        &(route("c", "listener = \"pay\"", "") + &route("a", hold, "dials = 3\nat_once = 5")),
    );
    assert_eq!(
        old.changes_to(&new),
        [
            "route c for pay is new",
            "route b for view is gone",
            "a.at_once for hold: none -> 5",
            "a.dials for hold: 2 -> 3"
        ]
    );
    assert!(new.changes_to(&new).is_empty());
    let limits_id =
        |table: &RouteTable, listener| table.rows()[table.route_for(listener, 1, None)].limits_id;
    assert_eq!(
        limits_id(&old, 0),
        limits_id(&new, 0),
        "a route of the same name keeps its id"
    );
    assert!(limits_id(&new, 2) != limits_id(&old, 1) && limits_id(&new, 1) == 0);
}
