//! New settings that drop a class, beside an operator configuration with a route for that class.
use crate::platform::{Backends, Client, start_discovery};
use crate::record::Record;
use crate::relay::{HANGUP, Relay};
use crate::Verdict;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

pub const LIMITS: &str = r#"{"cores":1.0,"memory_mb":64,"sockets":512}"#;
/// The example of an operator configuration that comes with the program. It has routes for
/// `slot-hold`, `slot-view` and `queue-view`.
const OPERATOR_CONFIG: &str = "deploy/charter.example.toml";
const SESSIONS: usize = 60;

pub fn class(name: &str, deadline_ms: u32, target_ms: u32, effect: &str, utility: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"deadlineUs\":{deadline_ms}000,\"handshakeTargetUs\":{target_ms}000,\
         \"effect\":\"{effect}\",\"utility\":{utility}.0}}"
    )
}

pub fn settings(classes: &[String]) -> String {
    let targets = vec!["60000"; classes.len()].join(",");
    format!(
        "{{\"az\":0,\"zones\":[\"a\"],\"balancers\":1,\"me\":0,\"tickUs\":2000,\"discovery\":\"automatic\",\
         \"extra\":{{\"groups\":false,\"tellsDelay\":false,\"tellsLoad\":false,\"messageAimUs\":[{targets}]}},\
         \"listeners\":[{}],\
         \"invariants\":{{\"askWithinUs\":1,\"coldUs\":9000000,\"drainGraceUs\":2000000,\"fallUs\":3000000,\
         \"overloadFactor\":3.0,\"startCapacity\":0.31}},\
         \"permissions\":{{\"connIdleUs\":9000000,\"dialTimeoutUs\":250000,\"maxDials\":3,\"maxRetryAfterUs\":2000000,\
         \"mayCancel\":true,\"parallelTries\":false,\"peers\":false,\"probes\":true,\"retryAfter\":true}},\
         \"prices\":{{\"crossZone\":0.0,\"moves\":0.01,\"probe\":0.001}},\
         \"report\":{{\"fields\":[\"inflight\",\"x0\"],\"how\":\"pull\"}},\"weights\":\"static\"}}",
        classes.join(",")
    )
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let backends = Backends::start(5, record.clone());
    let discovery = start_discovery(backends.list());
    let (view, queue) = (class("slot-view", 4800, 800, "retryable", 3), class("queue-view", 4800, 800, "retryable", 2));
    let before = settings(&[view.clone(), queue.clone(), class("slot-hold", 1200, 300, "retryable", 5)]);
    let hold = class("slot-hold", 1200, 300, "fragile", 5);
    let after = if trouble {
        settings(&[view, hold])
    } else {
        settings(&[view, queue, hold])
    };
    let mut relay = Relay::new("n1");
    relay.write_config(discovery, LIMITS, &before);
    relay.start(Some(Path::new(OPERATOR_CONFIG)))?;
    relay.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_millis(1500));

    record.note(format!(
        "SIGHUP: slot-hold is once-only from now on{}",
        if trouble { ", and there is no class queue-view any more" } else { "" }
    ));
    relay.write_config(discovery, LIMITS, &after);
    relay.signal(HANGUP);
    // The rules of the new settings bind 1.2 s after SIGHUP.
    thread::sleep(Duration::from_millis(2000));
    record.note("backend s-0 fails quickly from now on: ERR for nine in ten of its requests".into());
    backends.failing.store(1, Ordering::SeqCst);
    let mut standing = Vec::new();
    for number in 0..SESSIONS {
        let line = format!("OPEN {:016x} {:016x} c=slot-hold,d=1200", 0x5e55_0000 + number, 0xc11e_0000 + number);
        let listen = relay.listen;
        let record = record.clone();
        standing.push(thread::spawn(move || {
            let opened = Client::open(listen, &line, Duration::from_millis(1200));
            let answer = opened.as_ref().map(|(_, answer)| answer.clone());
            record.detail(format!("client sent {line}, got {answer:?}"));
            opened.map_err(|error| error.to_string())
        }));
        thread::sleep(Duration::from_millis(400));
    }
    let (mut up, mut other, mut none, mut clients) = (0, 0, 0, Vec::new());
    for client in standing {
        let (client, answer) = client.join().map_err(|_| "a client panicked")??;
        match answer {
            Some(answer) if answer.starts_with("UP") => up += 1,
            Some(_) => other += 1,
            None => none += 1,
        }
        clients.push(client);
    }
    record.note(format!("{SESSIONS} sessions of slot-hold: {up} up, {other} refused or failed, {none} without an answer"));
    if !relay.is_running() {
        return Err(format!("the relay has ended: {}", relay.log()));
    }
    for line in relay.log().lines().filter(|line| line.contains("reload") || line.contains("in force")) {
        record.note(format!("relay log: {line}"));
    }
    let repeated = repeated_runs(&backends, record)?;
    Ok(if repeated == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Notes the once-only sessions that were sent again after a dial that may have run, and returns
/// their number.
pub fn repeated_runs(backends: &Backends, record: &Record) -> Result<usize, String> {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for arrived in backends.arrived.lock().unwrap().iter() {
        let run = format!("s-{} ({})", arrived.backend, arrived.answer);
        runs.entry(arrived.id.clone()).or_default().push(run);
    }
    if !runs.values().flatten().any(|run| run.contains("ERR")) {
        return Err("no session met the failing backend".into());
    }
    // ERR and UP: it may have run, or it has. Another dial after either is a break.
    let repeated: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for (id, runs) in &repeated {
        record.note(format!("once-only session {id} was sent {} times: {}", runs.len(), runs.join(", then ")));
    }
    Ok(repeated.len())
}
