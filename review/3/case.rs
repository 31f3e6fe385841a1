//! Two backends are taken out during an upgrade, one at the door of each process of the relay.
#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The grace of the settings, and the 50 ms that the protocol page adds to each time limit.
const GRACE: Duration = Duration::from_millis(2_050);
const CLASSES: &[(&str, u64)] = &[
    ("slot-view", 4_800),
    ("temp-feed", 1_200),
    ("queue-view", 4_800),
    ("slot-hold", 1_200),
];

fn main() {
    let has_trouble = begin(Duration::from_secs(100));
    let backends: Vec<_> = (0..12)
        .map(|i| {
            Backend::start(
                &format!("s-{i:02}"),
                ["ikeja", "lekki"][i % 2],
                i as u32 / 3,
            )
        })
        .collect();
    let list: Vec<_> = backends
        .iter()
        .map(|backend| backend.instance("Ready"))
        .collect();
    let discovery = Discovery::start(list);
    let platform = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = platform.local_addr().unwrap();
    let config = |admin| RelayConfig {
        listen,
        discovery: discovery.address,
        admin: Some(admin),
        known: discovery.list(),
        settings: settings_json(&lagos_classes()),
    };
    let old_door = free_address();
    let old = start_relay("old", &config(old_door), Some(&platform));
    wait_until_ready("old", old_door);
    start_traffic(listen, CLASSES, 300);
    sleep_ms(5_000);

    // Both backends stand in the relay's own zone, so that they are in use.
    let (first, second) = (&backends[0], &backends[2]);
    let out = |label: &str, door, backend: &Backend| -> Instant {
        let answer = call_door(label, door, &format!("DISABLE {}", backend.name));
        if !answer.starts_with("200") {
            finish(COULD_NOT_RUN, "the relay did not take a backend out");
        }
        Instant::now()
    };
    let outs = if has_trouble {
        let new_door = free_address();
        let _new = start_relay("new", &config(new_door), Some(&platform));
        wait_until_ready("new", new_door);
        let outs = [out("old", old_door, first), out("new", new_door, second)];
        old.signal(SIGTERM, "SIGTERM to old, as new has said yes");
        outs
    } else {
        [out("old", old_door, first), out("old", old_door, second)]
    };
    sleep_ms(25_000);

    let mut late_requests = 0;
    for (backend, out_at) in [first, second].into_iter().zip(outs) {
        let late = backend.requests_after(out_at + GRACE);
        for request in &late {
            let after = request.at.duration_since(out_at).as_millis();
            record(&format!(
                "BROKEN: {} is out, and got {after} ms later: {}",
                backend.name, request.line
            ));
        }
        late_requests += late.len();
    }
    let served: usize = backends
        .iter()
        .map(|backend| backend.requests.lock().unwrap().len())
        .sum();
    if served < 60 {
        finish(COULD_NOT_RUN, "too few sessions to judge by");
    }
    if late_requests > 0 {
        finish(
            BROKEN,
            &format!("{late_requests} of {served} requests went to a backend that was out"),
        );
    }
    finish(
        HELD,
        &format!("none of {served} requests went to a backend that was out, after the grace"),
    );
}
