//! What a charter may say, what it may not, and what comes of it.
use thistlecroft::deployment::{DeduplicationScope, Idempotency, Route};
use thistlecroft::time::Duration;
use thistlecroft_operator_config::{
    ConfigError, LimitsIds, ListenerDefaults, OperatorConfig, RelayContext, RouteTable,
    ValueOrigin, reference,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn of() -> RelayContext {
    let listener = |name: &str, wait, effect| ListenerDefaults {
        name: name.into(),
        client_timeout: ms(wait),
        route: Route {
            handshake_objective: ms(300),
            idempotency: effect,
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
    let referenced = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: ms(500),
    };
    RelayContext {
        listeners: vec![
            listener("hold", 1_200, Idempotency::Idempotent),
            listener("view", 4_800, Idempotency::Idempotent),
            listener("pay", 2_400, Idempotency::NonIdempotent),
            listener("book", 2_400, referenced),
        ],
        zones: vec!["ikeja".into(), "lekki".into()],
        zone: 1,
        may_hedge: true,
        may_use_peers: true,
        descriptors: 200,
    }
}

fn read(text: &str, of: &RelayContext) -> Result<RouteTable, Vec<ConfigError>> {
    OperatorConfig::parse("c.toml", text)?.resolve(of, &mut LimitsIds::default())
}

/// A route of that name for those listeners, with these lines.
fn route(name: &str, matching: &str, lines: &str) -> String {
    format!("[[route]]\nname = \"{name}\"\n{lines}\n[route.match]\n{matching}\n")
}

#[test]
fn what_a_file_may_not_say_by_itself() {
    // The text, and the faults as line, column, key and a part of why: all of them at once.
    type Expected = &'static [(usize, usize, &'static str, &'static str)];
    let cases: &[(&str, Expected)] = &[
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
    for (text, expected) in cases {
        let faults = OperatorConfig::parse("c.toml", text).expect_err(text);
        assert_eq!(faults.len(), expected.len(), "{text}: {faults:?}");
        for (fault, (line, column, key, why)) in faults.iter().zip(*expected) {
            assert_eq!(
                (fault.line, fault.column, fault.key.as_str()),
                (*line, *column, *key),
                "{text}: {fault}"
            );
            assert!(fault.why.contains(why), "{text}: {fault}");
            assert_eq!(fault.to_string().lines().count(), 1);
        }
    }
}

#[test]
fn what_would_break_a_rule_is_refused_with_its_reason() {
    let hold = "listener = \"hold\"";
    // Lines of a route, what it matches, the key that is blamed, and the reason.
    let cases = [
        (
            "dial_timeout = \"5s\"",
            hold,
            "dial_timeout",
            "5s is longer than clients of hold wait (1200ms)",
        ),
        (
            "handshake_target = \"2s\"",
            hold,
            "handshake_target",
            "2s is past the time in which hold is answered",
        ),
        (
            "dial_timeout = \"200ms\"\ndials = 1",
            hold,
            "handshake_target",
            "300ms is past the time in which hold is answered (200ms)",
        ),
        (
            "dials = 4\nconnect_time = \"400ms\"",
            hold,
            "dials",
            "dials 4 x connect_time 400ms is past the dial timeout of hold, 1200ms",
        ),
        ("base = \"40s\"", hold, "base", "base 40s is above cap 30s"),
        (
            "cap = \"500ms\"",
            hold,
            "base",
            "base 1s is above cap 500ms",
        ),
        (
            "retry_after = \"3s\"",
            hold,
            "retry_after",
            "longer than the settings let clients stay away (2s)",
        ),
        (
            "dials = 3",
            "listener = \"book\"",
            "dials",
            "when the mark of book is forgotten (500ms)",
        ),
        (
            "idle = \"4s\"",
            hold,
            "idle",
            "idle 4s is no longer than cool_down 5s",
        ),
        (
            "second_copy = {}",
            "listener = \"pay\"",
            "second_copy",
            "pay is once-only: two dials at once",
        ),
        (
            "second_copy = {}",
            "listener = \"book\"",
            "second_copy",
            "book is referenced: two dials at once",
        ),
        (
            "second_copy = {}\ndials = 1",
            hold,
            "second_copy",
            "dials is 1",
        ),
        (
            "second_copy = { least = \"400ms\" }",
            hold,
            "second_copy.least",
            "least 400ms is above most 300ms",
        ),
        (
            "second_copy = { least = \"2s\", most = \"3s\" }",
            hold,
            "second_copy.least",
            "hold is answered by then (1200ms)",
        ),
        (
            "at_once = 101",
            hold,
            "at_once",
            "they take 202 descriptors, two a session; there are 200",
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
    for (lines, matching, key, why) in cases {
        let text = route("a", matching, lines);
        let faults = read(&text, &of()).expect_err(&text);
        let found = faults
            .iter()
            .find(|fault| fault.key == format!("route a.{key}"));
        let found = found.unwrap_or_else(|| panic!("{text}: {faults:?}"));
        assert!(found.why.contains(why), "{text}: {found}");
    }
    let single = RelayContext {
        may_hedge: false,
        ..of()
    };
    let text = route("a", hold, "second_copy = {}");
    assert!(
        read(&text, &single).unwrap_err()[0]
            .why
            .contains("one dial at a time")
    );
    assert!(read(&text, &of()).is_ok());
    // What the settings say by themselves is nobody's fault here, and nothing at all is a charter.
    assert!(read("", &of()).is_ok());
    // Together: each fits, all don't; and the one that can never match.
    let two = route("a", hold, "at_once = 60") + &route("b", "listener = \"view\"", "at_once = 60");
    let faults = read(&two, &of()).unwrap_err();
    assert!(
        faults[0].why.contains("a 60, b 60") && faults[0].key == "route b.at_once",
        "{faults:?}"
    );
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
        let faults = read(&text, &of()).expect_err(&text);
        assert!(
            faults[0].why.contains("route a of line 1, tried before it"),
            "{text}: {faults:?}"
        );
        // The other way round both have their use.
        let text = route("b", second, "") + &route("a", first, "");
        assert!(read(&text, &of()).is_ok(), "{text}");
    }
}

#[test]
fn the_first_route_that_matches_counts_and_the_rest_is_as_the_settings_have_it() {
    let text = route(
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
        );
    let routing = read(&text, &of()).unwrap();
    let (prefixed, other, kiln) = (
        0x7f3a_9c21_e0b4_d655,
        0x6f3a_9c21_e0b4_d655,
        0x5c0f_6e1a_2b3d_4c59,
    );
    // Listener, key and group; dials, connect time, dial timeout and cap.
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
        let row = routing.route_for(listener, key, group);
        let (route, front) = (routing.rows()[row], routing.timeouts(row));
        let found = (
            route.max_attempts,
            front.connect_timeout.as_millis(),
            front.handshake_timeout.map(|span| span.as_millis()),
            route.backoff_cap.as_millis(),
        );
        assert_eq!(
            found, expected,
            "listener {listener}, key {key:x}, group {group:?}"
        );
        assert_eq!(
            route.idempotency,
            of().listeners[listener].route.idempotency
        );
    }
    // Without a charter every listener has the row at its own place.
    let plain = RouteTable::from_settings(&of());
    assert_eq!(
        (0..4)
            .map(|listener| plain.route_for(listener, 1, None))
            .collect::<Vec<_>>(),
        [0, 1, 2, 3]
    );
    assert_eq!(plain.rows().len(), 4);
    let told = routing
        .effective_values()
        .iter()
        .find(|told| told.route == "partner" && told.key == "dials")
        .unwrap();
    assert_eq!(
        (told.value.as_str(), told.origin, told.listener.as_str()),
        ("2", ValueOrigin::File(3), "view")
    );
    let origins = |key| {
        routing
            .effective_values()
            .iter()
            .filter(|told| told.key == key)
            .map(|told| told.origin)
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
fn a_later_file_says_what_it_changes_and_keeps_its_lanes() {
    let mut lanes = LimitsIds::default();
    let mut against = |text: &str| {
        OperatorConfig::parse("c.toml", text)
            .unwrap()
            .resolve(&of(), &mut lanes)
            .unwrap()
    };
    let hold = "listener = \"hold\"";
    let old = against(&(route("a", hold, "dials = 2") + &route("b", "listener = \"view\"", "")));
    let new = against(
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
    let lane = |routing: &RouteTable, listener| {
        routing.rows()[routing.route_for(listener, 1, None)].limits_id
    };
    assert_eq!(
        lane(&old, 0),
        lane(&new, 0),
        "counted on under the same name"
    );
    assert!(lane(&new, 2) != lane(&old, 1) && lane(&new, 1) == 0);
}

#[test]
fn the_reference_page_is_the_readers_own_and_the_example_is_sound() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let written = std::fs::read_to_string(root.join("docs/operate/charter-reference.md")).unwrap();
    assert_eq!(
        written,
        reference::reference_page(),
        "write it anew: thistlecroft charter reference"
    );
    let example = std::fs::read_to_string(root.join("deploy/charter.example.toml")).unwrap();
    let mut circumstances = of();
    for (listener, name) in
        circumstances
            .listeners
            .iter_mut()
            .zip(["slot-hold", "slot-view", "pay", "queue-view"])
    {
        (listener.name, listener.route.idempotency) = (name.into(), Idempotency::Idempotent);
    }
    let routing = read(&example, &circumstances).unwrap();
    assert_eq!(
        routing.rows()[routing.route_for(0, 1, None)].max_attempts,
        2
    );
    // With the second copies that it shows commented out at its end, where they are allowed.
    let (before, shown) = example.split_once("second one:\n#\n").unwrap();
    let all = before.to_string() + "\n" + &shown.replace("# ", "");
    let routing = read(&all, &circumstances).unwrap();
    assert!(
        routing.rows()[routing.route_for(1, 1, None)]
            .hedging
            .is_some(),
        "{all}"
    );
}

#[test]
fn what_a_file_may_say_of_peers() {
    let table = |lines: &str| {
        format!("[peers]\nfleet = \"a\"\nlisten = \"10.0.0.1:7946\"\nkey_file = \"k\"\n{lines}")
    };
    let peering = |text: &str, of: &RelayContext| {
        OperatorConfig::parse("c.toml", text).and_then(|charter| charter.peers_config(of))
    };
    let plain = peering(&table(""), &of()).unwrap().unwrap();
    assert_eq!(
        (plain.period, plain.lease, plain.rate),
        (ms(1_000), ms(10_000), 32_768)
    );
    assert_eq!((plain.advertise, plain.generation), (plain.listen, 1));
    assert_eq!(peering("", &of()), Ok(None));
    // A line that is added, and the fault as line, key and a part of why.
    let cases = [
        ("seeds = \"x\"", 5, "peers.seeds", "an address with a port"),
        (
            "seeds = [\"10.0.0.1\"]",
            5,
            "peers.seeds",
            "an address with a port",
        ),
        (
            "period = \"10ms\"",
            5,
            "peers.period",
            "not between 50ms and 10s",
        ),
        (
            "lease = \"2m\"",
            5,
            "peers.lease",
            "not between 500ms and 60s",
        ),
        ("rate = 100", 5, "peers.rate", "4096 at least"),
        (
            "voters = [\"a\", \"b\", \"a\"]",
            5,
            "peers.voters",
            "a stands twice",
        ),
        (
            "voters = [\"a\",\"b\",\"c\",\"d\",\"e\",\"f\",\"g\",\"h\"]",
            5,
            "peers.voters",
            "7 at most",
        ),
        (
            "voters_before = [\"a\"]",
            5,
            "peers.voters_before",
            "a `generation` above 1",
        ),
        (
            "advertise = \"0.0.0.0:7946\"",
            5,
            "peers.advertise",
            "others can't reach",
        ),
        (
            "advertise = \"10.0.0.1:0\"",
            5,
            "peers.advertise",
            "others can't reach",
        ),
        ("voter = [\"a\"]", 5, "peers.voter", "is it `voters`?"),
        (
            "key_files = \"k\"",
            5,
            "peers.key_files",
            "is it `key_file`?",
        ),
    ];
    for (line, number, key, why) in cases {
        let faults = peering(&table(line), &of()).expect_err(line);
        assert_eq!(faults.len(), 1, "{line}: {faults:?}");
        assert_eq!(
            (faults[0].line, faults[0].key.as_str()),
            (number, key),
            "{line}: {}",
            faults[0]
        );
        assert!(faults[0].why.contains(why), "{line}: {}", faults[0]);
    }
    let missing = peering("[peers]\nfleet = \"a\"", &of()).unwrap_err();
    assert_eq!(missing.len(), 2, "{missing:?}");
    assert!(
        peering("[[peers]]\n", &of()).unwrap_err()[0]
            .why
            .contains("one table")
    );
    let barred = RelayContext {
        may_use_peers: false,
        ..of()
    };
    let fault = read(&table(""), &barred).unwrap_err();
    assert!(fault[0].why.contains("permissions.peers"), "{fault:?}");
}

#[test]
fn the_shipped_charter_for_peers_is_sound() {
    let charter = OperatorConfig::parse(
        "charter.peers.toml",
        include_str!("../../deploy/charter.peers.toml"),
    )
    .unwrap();
    let peering = charter.peers_config(&of()).unwrap().unwrap();
    assert_eq!((peering.voters.len(), peering.seeds.len()), (3, 3));
}
