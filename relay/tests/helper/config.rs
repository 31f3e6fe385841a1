//! The configuration files of the relays under test.
use std::net::SocketAddr;
use std::thread;

/// The settings; `PROBES` is replaced by whether health checks are allowed.
pub(crate) const SETTINGS: &str = r#"{"az": 0, "zones": ["a"], "balancers": 1, "me": 0, "tickUs": 2000,
 "discovery": "automatic",
 "extra": {"groups": true, "tellsDelay": true, "tellsLoad": false, "messageAimUs": [50000, 50000]},
 "listeners": [
  {"name": "safe", "deadlineUs": 1500000, "handshakeTargetUs": 300000, "effect": "retryable", "utility": 1.0},
  {"name": "once", "deadlineUs": 1500000, "handshakeTargetUs": 300000, "effect": "fragile", "utility": 1.0}],
 "invariants": {"askWithinUs": 1, "coldUs": 9000000, "fallUs": 3000000, "overloadFactor": 3.0,
  "startCapacity": 0.3},
 "permissions": {"connIdleUs": 9000000, "dialTimeoutUs": 250000, "maxDials": 1, "maxRetryAfterUs": 2000000,
  "mayCancel": true, "probes": PROBES, "retryAfter": true},
 "report": {"fields": ["rif", "x0"], "how": "pull"}}"#;

/// Returns a configuration for the file that `ROUTER_CONFIG` names. `sockets` is the limit on
/// descriptors, `known` is the endpoint list that is known at the start, or `null`, and `probes`
/// tells whether health checks are allowed.
pub(crate) fn config(
    at: SocketAddr,
    discovery: SocketAddr,
    sockets: usize,
    known: &str,
    probes: bool,
) -> String {
    let settings = SETTINGS.replace("PROBES", if probes { "true" } else { "false" });
    format!(
        r#"{{"name":"r0","listen":"{at}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

/// Replaces the configuration file atomically, so that no relay reads a part of it. Returns its
/// path.
pub(crate) fn write_config(text: &str) -> std::path::PathBuf {
    let name = format!(
        "thistlecroft-{}-{:?}.json",
        std::process::id(),
        thread::current().id()
    );
    let path = std::env::temp_dir().join(name);
    let temporary = path.with_extension("fresh");
    std::fs::write(&temporary, text).unwrap();
    std::fs::rename(&temporary, &path).unwrap();
    path
}

/// A change of the settings: establishing a connection may take four seconds.
pub(crate) const LONG_CONNECT_TIMEOUT: (&str, &str) =
    ("\"dialTimeoutUs\": 250000", "\"dialTimeoutUs\": 4000000");

/// A change of the settings: a drain must be obeyed within four seconds.
pub(crate) const LONG_DRAIN_GRACE: (&str, &str) = (
    "\"askWithinUs\": 1",
    "\"askWithinUs\": 1, \"drainGraceUs\": 4000000",
);

/// A change of the settings: a drain must be obeyed within a quarter of a second.
pub(crate) const SHORT_DRAIN_GRACE: (&str, &str) = (
    "\"askWithinUs\": 1",
    "\"askWithinUs\": 1, \"drainGraceUs\": 250000",
);

/// A change of the settings: the listener `safe` is keyed, and the backends of one cell recognise a
/// repeated request.
pub(crate) const KEYED_WITHIN_CELL: (&str, &str) = (
    "\"effect\": \"retryable\", \"utility\": 1.0}",
    "\"effect\": \"dedup\", \"dedupScope\": \"cell\", \"dedupWindowUs\": 5000000, \"utility\": 1.0}",
);

/// A change of the settings: a session may have three attempts.
pub(crate) const THREE_ATTEMPTS: (&str, &str) = ("\"maxDials\": 1", "\"maxDials\": 3");

/// Replaces a part of a configuration, which must be in it.
pub(crate) fn replace_in(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from}");
    text.replace(from, to)
}

/// Makes these changes, each of which must be possible.
pub(crate) fn replace_all_in(text: String, changes: &[(&str, &str)]) -> String {
    let changes = changes.iter();
    changes.fold(text, |text, (from, to)| replace_in(&text, from, to))
}

/// Changes of the settings under which a session that may be attempted again surely is: its client
/// waits for longer than the longest backoff.
pub(crate) const SURE_RETRY: [(&str, &str); 2] = [
    ("\"deadlineUs\": 1500000", "\"deadlineUs\": 9000000"),
    THREE_ATTEMPTS,
];
