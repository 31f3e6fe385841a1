//! A relay to check files against, and helpers to write and parse files.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]
use thistlecroft::deployment::{DeduplicationScope, Idempotency, Route};
use thistlecroft::time::Duration;
use thistlecroft_operator_config::{
    ConfigError, LimitsIds, ListenerDefaults, OperatorConfig, RelayContext, RouteTable,
};

/// Returns a duration of this many milliseconds.
pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a relay of the second zone with listeners of each idempotency class.
pub(crate) fn context() -> RelayContext {
    let listener = |name: &str, client_timeout_ms, class| ListenerDefaults {
        name: name.into(),
        client_timeout: ms(client_timeout_ms),
        route: Route {
            handshake_objective: ms(300),
            idempotency: class,
            connect_timeout: ms(50),
            max_attempts: 3,
            attempt_timeout_factor: 4.0,
            backoff_base: ms(1_000),
            backoff_cap: ms(30_000),
            stable_after: ms(5_000),
            max_retry_after: ms(2_000),
            ..Route::default()
        },
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: ms(500),
    };
    RelayContext {
        listeners: vec![
            listener("hold", 1_200, Idempotency::Idempotent),
            listener("view", 4_800, Idempotency::Idempotent),
            listener("pay", 2_400, Idempotency::NonIdempotent),
            listener("book", 2_400, keyed),
        ],
        zones: vec!["ikeja".into(), "lekki".into()],
        zone: 1,
        may_hedge: true,
        may_use_peers: true,
        descriptors: 200,
    }
}

/// Parses and resolves a file.
pub(crate) fn parse_and_resolve(
    text: &str,
    context: &RelayContext,
) -> Result<RouteTable, Vec<ConfigError>> {
    OperatorConfig::parse("c.toml", text)?.resolve(context, &mut LimitsIds::default())
}

/// Returns a route of this name, with these lines in its match section and these other lines.
pub(crate) fn route(name: &str, matching: &str, lines: &str) -> String {
    format!("[[route]]\nname = \"{name}\"\n{lines}\n[route.match]\n{matching}\n")
}
