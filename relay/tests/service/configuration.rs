//! Tests of the configuration file, at the start and when it is reloaded.
use crate::helper::*;
use std::io::Read;

#[test]
fn malformed_configuration_is_reported_on_one_line() {
    let valid = config(unused_address(), unused_address(), 1_000, "null", false);
    let cases = [
        ("no JSON", "{".to_string(), "EOF"),
        (
            "no seed",
            valid.replace("\"seed\"", "\"seeds\""),
            "missing field `seed`",
        ),
        ("seed", valid.replace("8c1f30d27a5be964", "xyz"), "seed"),
        (
            "sockets",
            valid.replace("\"sockets\":1000", "\"sockets\":10"),
            "sockets",
        ),
        (
            "memory",
            valid.replace("\"memory_mb\":64", "\"memory_mb\":1"),
            "memory",
        ),
        (
            "listen",
            valid.replace("\"listen\":\"127.", "\"listen\":\"here."),
            "listen",
        ),
        (
            "settings",
            valid.replace("\"maxDials\": 1,", ""),
            "maxDials",
        ),
    ];
    for (name, text, expected) in cases {
        let mut child = spawn_relay(&text, 256);
        let status = wait_for_exit(&mut child);
        let mut output = String::new();
        child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut output)
            .unwrap();
        assert!(!status.success(), "{name}");
        assert_eq!(output.lines().count(), 1, "{name}: {output}");
        assert!(output.contains(expected), "{name}: {output}");
    }
}

#[test]
fn reloaded_file_with_errors_or_fixed_keys_changes_nothing() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay(
        unused_address(),
        1_000,
        &endpoint_list(1, true, &[("b", address, "Ready")]),
        false,
    );
    let mut client = relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    let cases = [
        ("\"name\"", "", "the previous configuration stays in force"),
        (
            "\"seed\":\"8c",
            "\"seed\":\"xy",
            "the previous configuration stays in force",
        ),
        (
            "\"memory_mb\":64",
            "\"memory_mb\":96",
            "changed configuration keys need a restart and are not applied; keys=limits",
        ),
        (
            "\"r0\"",
            "\"r1\"",
            "changed configuration keys need a restart and are not applied; keys=name",
        ),
    ];
    for (from, to, expected) in cases {
        relay.reload_with(from, to);
        relay.wait_for_log(expected);
        client.send("still here\r\n");
        assert_eq!(client.next_line(), "still here", "{expected}");
    }
}

/// Guards against a repeat outside of the backends that recognise it, after a file without the key
/// that says which they are.
#[test]
fn reloaded_file_without_deduplication_keys_leaves_repeats_in_their_cell() {
    let (first, at_first) = start_backend(BackendBehavior::CloseImmediately);
    let (second, at_second) = start_backend(BackendBehavior::CloseImmediately);
    let list = endpoint_list(1, true, &[("b0", first, "Ready"), ("b1", second, "Ready")]);
    let (before_cell, after_cell) = list.rsplit_once("\"cell\":0").unwrap();
    let relay = start_relay_with_settings(
        unused_address(),
        &format!("{before_cell}\"cell\":1{after_cell}"),
        &[KEYED_WITHIN_CELL, THREE_ATTEMPTS],
    );
    // The file also renames the other listener, so that the log shows if any of it is applied.
    let renamed = relay.config_text.replace("\"once\"", "\"twice\"");
    for lost_key in ["\"dedupScope\": \"cell\", ", "\"dedupWindowUs\": 5000000, "] {
        assert!(renamed.contains(lost_key));
        write_config(&renamed.replace(lost_key, ""));
        relay.signal("HUP");
        let verdict = relay.wait_for_log("in force");
        assert!(
            verdict.contains("the previous configuration stays in force"),
            "without {lost_key}: {verdict}"
        );
    }
    assert_repeats_stay_apart(&relay, at_first, at_second);
}

/// Guards against a drain that is obeyed late, and against clients whose listener is unknown, after
/// a file without a key that falls back to a default.
#[test]
fn reloaded_file_that_lost_a_key_with_a_default_changes_nothing() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_settings(
        unused_address(),
        &endpoint_list(1, true, &[("b", address, "Ready")]),
        &[SHORT_DRAIN_GRACE],
    );
    // Each file also renames the other listener, so that the log shows if any of it is applied.
    let renamed = relay.config_text.replace("\"once\"", "\"twice\"");
    for (lost_key, path) in [
        (", \"drainGraceUs\": 250000", "invariants.drainGraceUs"),
        ("\"name\": \"safe\", ", "listeners[].name"),
        ("\"connIdleUs\": 9000000, ", "permissions.connIdleUs"),
        (", \"how\": \"pull\"", "report.how"),
        ("\"zones\": [\"a\"], ", "zones"),
    ] {
        assert!(renamed.contains(lost_key), "{lost_key}");
        write_config(&renamed.replace(lost_key, ""));
        relay.signal("HUP");
        let verdict = relay.wait_for_log("in force");
        assert!(
            verdict.contains(&format!("missing field `{path}`"))
                && verdict.contains("the previous configuration stays in force"),
            "without {lost_key}: {verdict}"
        );
        let first_line = relay.open_session("safe", 1_000).next_line();
        assert_eq!(first_line, "UP receipt", "without {lost_key}");
    }
}

#[test]
fn reloaded_settings_leave_waiting_session_unchanged() {
    let (mute, received) = start_backend(BackendBehavior::NeverRespond);
    let mut relay = start_relay_with_settings(
        unused_address(),
        &endpoint_list(1, true, &[("mute", mute, "Ready")]),
        &[],
    );
    let mut waiting = relay.open_session("once", 1_500);
    while !next_received(&received).starts_with("OPEN") {}
    // Renames the listeners, which changes the effect and deadline under each name, and adds one.
    let mut reloaded = relay.config_text.clone();
    let replacements = [
        (
            "\"name\": \"safe\", \"deadlineUs\": 1500000",
            "\"name\": \"new\", \"deadlineUs\": 700000",
        ),
        ("\"name\": \"once\"", "\"name\": \"safe\""),
        (
            "\"effect\": \"fragile\", \"utility\": 1.0}",
            "\"effect\": \"fragile\", \"utility\": 1.0}, {\"name\": \"once\", \"deadlineUs\": 400000, \"handshakeTargetUs\": 300000, \"effect\": \"retryable\", \"utility\": 1.0}",
        ),
    ];
    for (from, to) in replacements {
        assert!(reloaded.contains(from), "{from}");
        reloaded = reloaded.replace(from, to);
    }
    write_config(&reloaded);
    relay.signal("HUP");
    relay.wait_for_log("configuration in force: generation=2;");
    // During the transition the stricter limits of both settings hold, so each session fails: the
    // waiting one under its own settings, the others under the new ones.
    let mut others = [
        relay.open_session("once", 400),
        relay.open_session("safe", 400),
    ];
    for client in &mut others {
        assert_eq!(client.next_line(), "ERR");
    }
    assert!(
        relay
            .open_session("new", 300)
            .next_line()
            .starts_with("BUSY"),
        "a listener of the new settings alone, whose sessions are retryable"
    );
    assert_eq!([waiting.next_line(), waiting.next_line()], ["ERR", "end"]);
    relay.signal("TERM");
    assert!(wait_for_exit(&mut relay.child).success());
}
