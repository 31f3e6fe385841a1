//! An upgrade right after a SIGHUP whose settings loosen the effect of a class.
use crate::platform::{Backends, Client, start_discovery};
use crate::record::Record;
use crate::relay::{HANGUP, Relay, TERMINATE};
use crate::settings::{LIMITS, class, repeated_runs, settings};
use crate::Verdict;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// A fleet of the busiest days, of which a fifth fails quickly.
const FLEET: usize = 15;
const FAILING: usize = 3;
/// Until the rules of the new settings bind, with a margin before it.
const OLD_RULES_BIND: Duration = Duration::from_millis(1200);
const LAST_CLIENT: Duration = Duration::from_millis(1050);
/// Some tens of requests a second.
const INTERVAL: Duration = Duration::from_millis(25);

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let backends = Backends::start(FLEET, record.clone());
    let discovery = start_discovery(backends.list());
    let view = class("slot-view", 4800, 800, "retryable", 3);
    let before = settings(&[view.clone(), class("slot-hold", 1200, 300, "fragile", 5)]);
    let after = settings(&[view, class("slot-hold", 1200, 300, "retryable", 5)]);
    let mut old = Relay::with_passed_socket("n1");
    old.write_config(discovery, LIMITS, &before);
    old.start(None)?;
    old.wait_until_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_millis(1500));
    record.note(format!("{FAILING} of {FLEET} backends fail quickly from now on: ERR for nine in ten requests"));
    backends.failing.store(FAILING, Ordering::SeqCst);

    old.write_config(discovery, LIMITS, &after);
    old.signal(HANGUP);
    let hangup = Instant::now();
    record.note("SIGHUP: slot-hold may be repeated, 1.2 s from now; until then it is once-only".into());
    let mut next = old.successor();
    if trouble {
        next.write_config(discovery, LIMITS, &after);
        next.start(None)?;
        next.wait_until_ready(Duration::from_secs(6))?;
        old.signal(TERMINATE);
        record.note(format!(
            "the new process said yes and the old one got SIGTERM {} ms after SIGHUP",
            hangup.elapsed().as_millis()
        ));
    } else {
        thread::sleep(Duration::from_millis(100));
    }
    let (mut clients, mut number) = (Vec::new(), 0_usize);
    while hangup.elapsed() < LAST_CLIENT {
        let line = format!("OPEN {:016x} {:016x} c=slot-hold,d=1200", 0x5e55_0000 + number, 0xc11e_0000 + number);
        let (listen, record) = (old.listen, record.clone());
        clients.push(thread::spawn(move || {
            let opened = Client::open(listen, &line, Duration::from_millis(1200));
            let sent_within = hangup.elapsed();
            let answer = opened.as_ref().map(|(_, answer)| answer.clone());
            record.detail(format!("client sent {line}, got {answer:?} {} ms after SIGHUP", sent_within.as_millis()));
            opened.is_ok()
        }));
        number += 1;
        thread::sleep(INTERVAL);
    }
    if hangup.elapsed() >= OLD_RULES_BIND {
        return Err("the machine was too slow: the new rules bind already".into());
    }
    record.note(format!("{number} sessions of slot-hold came before the new rules bind"));
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    if trouble && !next.is_running() {
        return Err(format!("the new process has ended: {}", next.log()));
    }
    let repeated = repeated_runs(&backends, record)?;
    Ok(if repeated == 0 { Verdict::Held } else { Verdict::Broken })
}
