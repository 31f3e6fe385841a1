//! All voters and the holder of a lease are killed at once; the epoch of the next holder.
use crate::platform::{Backends, start_discovery};
use crate::record::Record;
use crate::relay::{Relay, folder, free_udp_address, replace_file};
use crate::Verdict;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LIMITS: &str = r#"{"cores":1.0,"memory_mb":64,"sockets":512}"#;
const RELAYS: usize = 5;
const VOTERS: usize = 3;
/// A lease's time and the period of the membership protocol.
const LEASE: Duration = Duration::from_secs(2);
const PERIOD: Duration = Duration::from_millis(200);
const SUBJECT: &str = "nightly";

fn settings(index: usize) -> String {
    format!(
        "{{\"az\":0,\"zones\":[\"a\"],\"balancers\":{RELAYS},\"me\":{index},\"tickUs\":2000,\"discovery\":\"automatic\",\
         \"listeners\":[{{\"name\":\"slot-view\",\"deadlineUs\":1500000,\"handshakeTargetUs\":300000,\
         \"effect\":\"retryable\",\"utility\":1.0}}],\
         \"invariants\":{{\"askWithinUs\":1,\"coldUs\":9000000,\"fallUs\":3000000,\"overloadFactor\":3.0,\"startCapacity\":0.3}},\
         \"permissions\":{{\"connIdleUs\":9000000,\"dialTimeoutUs\":250000,\"maxDials\":3,\"maxRetryAfterUs\":2000000,\
         \"mayCancel\":true,\"peers\":true,\"probes\":true,\"retryAfter\":true}},\
         \"report\":{{\"fields\":[\"inflight\",\"x0\"],\"how\":\"pull\"}}}}"
    )
}

/// What a job was told when it asked for the lease.
#[derive(Clone, Copy)]
struct Told {
    epoch: u64,
    asked: Instant,
    lasts: Duration,
}

/// Asks a relay for the lease until it holds it.
fn ask(relay: &Relay, record: &Record, job: &str, limit: Duration) -> Result<Told, String> {
    let until = Instant::now() + limit;
    let mut last = String::new();
    while Instant::now() < until {
        let asked = Instant::now();
        let answer = relay.call(&format!("LEASE {SUBJECT}"));
        let answer = answer.unwrap_or_else(|error| error);
        if answer != last {
            record.note(format!("{job} at {}: LEASE {SUBJECT} -> {answer}", relay.name));
            last = answer.clone();
        }
        if let ["200", "held", epoch, millis] = answer.split(' ').collect::<Vec<_>>()[..] {
            let epoch = epoch.parse().map_err(|_| "no epoch")?;
            let lasts = Duration::from_millis(millis.parse().map_err(|_| "no time")?);
            return Ok(Told { epoch, asked, lasts });
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("{job} did not get the lease at {}: {last}", relay.name))
}

/// Whoever keeps state for the jobs: refuses an epoch that is lower than one that it has seen.
struct Store {
    highest: u64,
}

impl Store {
    fn write(&mut self, job: &str, epoch: u64, record: &Record) -> bool {
        let is_accepted = epoch >= self.highest;
        let verdict = if is_accepted { "accepted" } else { "refused as lower" };
        record.note(format!("{job} writes with epoch {epoch}: {verdict} (highest seen {})", self.highest));
        self.highest = self.highest.max(epoch);
        is_accepted
    }
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let backends = Backends::start(2, record.clone());
    let discovery = start_discovery(backends.list());
    let key = folder().join("peers.key");
    replace_file(&key, "a key of the review, of more than sixteen bytes");
    let addresses: Vec<String> = (0..RELAYS).map(|_| free_udp_address().to_string()).collect();
    let quoted = |items: &[String]| items.iter().map(|item| format!("\"{item}\"")).collect::<Vec<_>>().join(", ");
    let names: Vec<String> = (0..RELAYS).map(|index| format!("r{index}")).collect();
    let (mut relays, mut charters): (Vec<Relay>, Vec<PathBuf>) = Default::default();
    for index in 0..RELAYS {
        let relay = Relay::new(&names[index]);
        relay.write_config(discovery, LIMITS, &settings(index));
        let charter = folder().join(format!("charter-{index}.toml"));
        let text = format!(
            "[peers]\nfleet = \"review\"\nlisten = \"{}\"\nkey_file = \"{}\"\nseeds = [{}]\nvoters = [{}]\n\
             period = \"{}ms\"\nlease = \"{}ms\"\n",
            addresses[index],
            key.display(),
            quoted(&addresses[..VOTERS]),
            quoted(&names[..VOTERS]),
            PERIOD.as_millis(),
            LEASE.as_millis()
        );
        replace_file(&charter, &text);
        relays.push(relay);
        charters.push(charter);
    }
    for (relay, charter) in relays.iter_mut().zip(&charters) {
        relay.start(Some(charter))?;
    }
    for relay in &relays {
        relay.wait_until_ready(Duration::from_secs(10))?;
    }
    let mut store = Store { highest: 0 };
    // A relay that votes on nothing had the lease once, and r0 a few times after it.
    for (index, job) in [(3, "job A"), (0, "job B"), (0, "job C"), (0, "job D")] {
        let told = ask(&relays[index], record, job, Duration::from_secs(20))?;
        if !store.write(job, told.epoch, record) {
            return Err("an epoch was refused before the trouble".into());
        }
        record.note(format!("{job}: RELEASE -> {}", relays[index].call(&format!("RELEASE {SUBJECT}"))?));
        thread::sleep(Duration::from_millis(300));
    }
    let slow = ask(&relays[0], record, "slow job", Duration::from_secs(20))?;
    store.write("slow job", slow.epoch, record);
    record.note("the slow job looked, and stops before its second write".into());
    if trouble {
        record.note("r0, r1 and r2 are killed at once (three of five)".into());
        relays[..VOTERS].iter_mut().for_each(Relay::kill);
        thread::sleep(Duration::from_secs(1));
        for (relay, charter) in relays.iter_mut().zip(&charters).take(VOTERS) {
            relay.start(Some(charter))?;
        }
        for relay in &relays[..VOTERS] {
            relay.wait_until_ready(Duration::from_secs(10))?;
        }
        record.note("r0, r1 and r2 are back".into());
    }
    thread::sleep((slow.asked + slow.lasts).saturating_duration_since(Instant::now()));
    let next = ask(&relays[4], record, "next job", Duration::from_secs(60))?;
    let is_next_accepted = store.write("next job", next.epoch, record);
    let is_stale_accepted = store.write("slow job, whose lease is long over,", slow.epoch, record);
    if Instant::now() >= next.asked + next.lasts {
        return Err("the machine was too slow: the next job's lease is over".into());
    }
    Ok(if is_next_accepted && !is_stale_accepted { Verdict::Held } else { Verdict::Broken })
}
