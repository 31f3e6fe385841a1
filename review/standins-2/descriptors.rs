//! A relay of a large fleet is killed and its clients come again at once: the descriptors that its
//! health checks take.
use crate::platform::{Backends, Client, start_discovery};
use crate::record::Record;
use crate::relay::Relay;
use crate::Verdict;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The fewest descriptors that a relay is given; clients hold a third of them at most.
const SOCKETS: usize = 256;
const STANDING: usize = SOCKETS / 3 - 1;
/// The whole fleet has up to ninety backends.
const FLEET: usize = 90;
const LATER: usize = 12;
/// The listener `slot-hold` of lagos-live.
const WAIT_MS: u64 = 1200;

/// The settings of lagos-live, with one of its listeners.
fn settings() -> String {
    "{\"az\":0,\"zones\":[\"a\"],\"balancers\":1,\"me\":0,\"tickUs\":2000,\"discovery\":\"automatic\",\
     \"extra\":{\"groups\":false,\"tellsDelay\":false,\"tellsLoad\":false,\"messageAimUs\":[50000]},\
     \"listeners\":[{\"name\":\"slot-hold\",\"deadlineUs\":1200000,\"handshakeTargetUs\":300000,\
     \"effect\":\"retryable\",\"utility\":5.0}],\
     \"invariants\":{\"askWithinUs\":1,\"coldUs\":9000000,\"drainGraceUs\":2000000,\"fallUs\":3000000,\
     \"overloadFactor\":3.0,\"startCapacity\":0.31},\
     \"permissions\":{\"connIdleUs\":5000000,\"dialTimeoutUs\":250000,\"maxDials\":3,\"maxRetryAfterUs\":2000000,\
     \"mayCancel\":true,\"parallelTries\":false,\"peers\":false,\"probes\":true,\"retryAfter\":true},\
     \"prices\":{\"crossZone\":0.16,\"moves\":0.011,\"probe\":0.0023},\
     \"report\":{\"fields\":[\"inflight\",\"x0\"],\"how\":\"pull\"},\"weights\":\"live\"}"
        .into()
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let backends = Backends::start(FLEET, record.clone());
    let discovery = start_discovery(backends.list());
    let limits = format!("{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":{SOCKETS}}}");
    let mut relay = Relay::new("n1");
    relay.write_config(discovery, &limits, &settings());
    relay.start(None)?;
    relay.wait_until_ready(Duration::from_secs(10))?;
    record.note(format!("{FLEET} backends; a relay with {SOCKETS} descriptors"));

    let listen = relay.listen;
    let open = |number: usize| open(listen, number, record);
    let mut standing = 0;
    for number in 0..STANDING {
        standing += usize::from(stand(open(number).map_err(|error| format!("client {number}: {error}"))?));
        thread::sleep(Duration::from_millis(250));
    }
    record.note(format!("{standing} clients stand, of {STANDING} that came, four a second"));
    if trouble {
        relay.kill();
        record.note("the relay is killed outright and started again".into());
        relay.start(None)?;
        relay.wait_until_ready(Duration::from_secs(10))?;
        let again: Vec<_> = (0..STANDING)
            .map(|number| {
                let record = record.clone();
                thread::spawn(move || {
                    // Evenly over the time within which clients come again after a break.
                    thread::sleep(Duration::from_millis(140 + (970 - 140) * number as u64 / STANDING as u64));
                    open_again(listen, STANDING + number, &record)
                })
            })
            .collect();
        let again = again.into_iter().map(|client| client.join().unwrap_or(false));
        let standing = again.filter(|stands| *stands).count();
        record.note(format!("{standing} clients stand, of {STANDING} that came again within 970 ms"));
    }
    let (mut answered, mut unanswered) = (0, 0);
    for number in 0..LATER {
        match open(2 * STANDING + number) {
            Ok((_, Some(answer))) => {
                record.note(format!("a later client got {answer}"));
                answered += 1;
            }
            Ok((_, None)) => {
                record.note(format!("a later client got no answer within {WAIT_MS} ms and half a second more"));
                unanswered += 1;
            }
            Err(error) => record.note(format!("a later client could not connect: {error}")),
        }
        record.detail(format!("the relay holds {} descriptors", relay.descriptors()));
        thread::sleep(Duration::from_millis(300));
    }
    record.note(format!("{LATER} later clients, one at a time: {answered} answered, {unanswered} without an answer"));
    if !relay.is_running() {
        return Err(format!("the relay has ended: {}", relay.log()));
    }
    Ok(if unanswered == 0 { Verdict::Held } else { Verdict::Broken })
}

type Opened = (Client, Option<String>);

fn open(listen: std::net::SocketAddr, number: usize, record: &Record) -> std::io::Result<Opened> {
    let line = format!("OPEN {:016x} {:016x} c=slot-hold,d={WAIT_MS}", 0x5e55_0000 + number, 0xc11e_0000 + number);
    let opened = Client::open(listen, &line, Duration::from_millis(WAIT_MS));
    let answer = opened.as_ref().map(|(_, answer)| answer.clone());
    record.detail(format!("client sent {line}, got {answer:?}"));
    opened
}

fn open_again(listen: std::net::SocketAddr, number: usize, record: &Record) -> bool {
    open(listen, number, record).is_ok_and(stand)
}

/// Keeps a session that is up; returns whether it is.
fn stand((client, answer): Opened) -> bool {
    let is_up = answer.is_some_and(|answer| answer.starts_with("UP"));
    if is_up {
        thread::spawn(move || client.talk());
    }
    is_up
}
