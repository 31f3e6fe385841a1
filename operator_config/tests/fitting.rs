//! Tests of routes whose file was sound under other settings: what the settings no longer permit is
//! tightened, and everything else stays.
mod common;

use common::{context, ms, parse_and_resolve, route};
use thistlecroft::deployment::{DeduplicationScope, Idempotency, Route};
use thistlecroft_operator_config::{LimitsIds, OperatorConfig, RelayContext, RouteTable};

/// Checks that the file is sound under the usual settings, and resolves it under the changed ones.
fn resolve_under(text: &str, change: impl FnOnce(&mut RelayContext)) -> RouteTable {
    let mut context = context();
    parse_and_resolve(text, &context).expect("the file is sound at first");
    change(&mut context);
    let config = OperatorConfig::parse("c.toml", text).unwrap();
    assert!(config.check(&context).is_err(), "the file still fits");
    config.resolve_fitted(&context, &mut LimitsIds::default())
}

/// Returns the route of sessions of this listener, and its handshake timeout in the table.
fn route_of(table: &RouteTable, listener: usize) -> (Route, usize) {
    let row = table.route_for(listener, 0, None);
    (table.rows()[row], row)
}

#[test]
fn unknown_listener_leaves_the_other_listeners_of_a_route() {
    let text = route("r", "listener = [\"hold\", \"view\"]", "dials = 2");
    let table = resolve_under(&text, |context| {
        context.listeners.remove(1);
    });
    assert_eq!(route_of(&table, 0).0.max_attempts, 2);
    assert_eq!(route_of(&table, 1).0.max_attempts, 3);
}

#[test]
fn route_for_unknown_listeners_only_matches_no_session() {
    let text = route("r", "listener = \"view\"", "dials = 1");
    let table = resolve_under(&text, |context| {
        context.listeners.remove(1);
    });
    let attempts = table.rows().iter().map(|route| route.max_attempts);
    assert!(attempts.eq([3, 3, 3]));
}

#[test]
fn hedging_ends_with_the_idempotency_of_its_listener() {
    let text = route(
        "r",
        "listener = [\"hold\", \"view\"]",
        "[route.second_copy]",
    );
    let text = text.replace("[route.second_copy]\n", "") + "[route.second_copy]\n";
    let table = resolve_under(&text, |context| {
        context.listeners[0].route.idempotency = Idempotency::NonIdempotent;
    });
    assert_eq!(route_of(&table, 0).0.hedging, None);
    assert!(route_of(&table, 1).0.hedging.is_some());
}

#[test]
fn times_and_attempts_follow_a_shorter_client_timeout() {
    let text = route(
        "r",
        "listener = \"view\"",
        "dial_timeout = \"4s\"\nhandshake_target = \"2s\"\ndials = 5\nconnect_time = \"500ms\"",
    );
    let table = resolve_under(&text, |context| {
        context.listeners[1].client_timeout = ms(1_200);
    });
    let (route, row) = route_of(&table, 1);
    assert_eq!(table.timeouts(row).handshake_timeout, Some(ms(1_200)));
    assert_eq!(route.handshake_objective, ms(1_200));
    assert_eq!(route.max_attempts, 2);
}

#[test]
fn attempts_start_within_a_shorter_deduplication_window() {
    let text = route("r", "listener = \"book\"", "dials = 2");
    let table = resolve_under(&text, |context| {
        context.listeners[3].route.idempotency = Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: ms(300),
        };
    });
    assert_eq!(route_of(&table, 3).0.max_attempts, 1);
}

#[test]
fn retry_after_follows_a_lower_maximum() {
    let text = route("r", "listener = \"hold\"", "retry_after = \"2s\"");
    let table = resolve_under(&text, |context| {
        context.listeners[0].route.max_retry_after = ms(500);
    });
    assert_eq!(route_of(&table, 0).0.max_retry_after, ms(500));
}

#[test]
fn limit_of_sessions_stays_with_a_route_that_breaks_another_rule() {
    let text = route(
        "r",
        "listener = \"view\"",
        "dial_timeout = \"4s\"\nat_once = 7",
    );
    let table = resolve_under(&text, |context| {
        context.listeners[1].client_timeout = ms(1_200);
    });
    assert_eq!(route_of(&table, 1).0.max_sessions, Some(7));
}
