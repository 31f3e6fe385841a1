//! SIGHUP with a file that lacks one key: the group of backends that drops a class's repeats.
#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const KEYED: &str = "slot-view";
const CLASSES: &[(&str, u64)] = &[
    (KEYED, 4_800),
    ("temp-feed", 1_200),
    (KEYED, 4_800),
    ("queue-view", 4_800),
    ("slot-hold", 1_200),
];

/// The settings, in which repeats of one class are dropped by the backends of one cell.
fn settings(scope: Option<&'static str>) -> String {
    let mut classes = lagos_classes();
    classes[0].effect = "dedup";
    classes[0].scope = scope;
    settings_json(&classes)
}

fn main() {
    let has_trouble = begin(Duration::from_secs(100));
    // Twelve backends in four cells of three, two cells in each zone.
    let backends: Vec<_> = (0..12)
        .map(|i| {
            Backend::start(
                &format!("s-{i:02}"),
                ["ikeja", "lekki"][i / 6],
                i as u32 / 3,
            )
        })
        .collect();
    for backend in &backends {
        backend.set_behavior(Behavior::ResetEvery(4));
    }
    let discovery = Discovery::start(backends.iter().map(|b| b.instance("Ready")).collect());
    let listen = free_address();
    let mut config = RelayConfig {
        listen,
        discovery: discovery.address,
        admin: None,
        known: discovery.list(),
        settings: settings(Some("cell")),
    };
    let relay = start_relay("relay", &config, None);
    wait_for_pong(listen);
    sleep_ms(1_500);
    if has_trouble {
        config.settings = settings(None);
        write_config(&relay.config_path, &config.json());
        relay.signal(
            SIGHUP,
            "SIGHUP; the new file lacks the key dedupScope of slot-view",
        );
    }
    sleep_ms(1_500);
    start_traffic(listen, CLASSES, 250);
    sleep_ms(40_000);
    if relay.has_ended() {
        finish(BROKEN, "the relay ended");
    }

    // For each keyed session, where and when it ran.
    let mut runs: BTreeMap<String, Vec<(Instant, &Backend)>> = BTreeMap::new();
    for backend in &backends {
        for request in backend.requests.lock().unwrap().iter() {
            if request.line.contains(&format!("c={KEYED},")) {
                runs.entry(request.id.clone())
                    .or_default()
                    .push((request.at, backend));
            }
        }
    }
    let (mut repeated, mut broken) = (0, 0);
    for (id, mut places) in runs {
        places.sort_by_key(|(at, _)| *at);
        repeated += usize::from(places.len() > 1);
        let cell = places[0].1.cell;
        if places.iter().any(|(_, backend)| backend.cell != cell) {
            let names: Vec<String> = places
                .iter()
                .map(|(_, at)| format!("{} (cell {})", at.name, at.cell))
                .collect();
            record(&format!("BROKEN: {id} ran at {}", names.join(", then at ")));
            broken += 1;
        }
    }
    if repeated < 2 && broken == 0 {
        finish(
            COULD_NOT_RUN,
            "too few sessions were sent again to judge by",
        );
    }
    if broken > 0 {
        finish(
            BROKEN,
            &format!("{broken} of {repeated} repeated sessions ran again in another cell"),
        );
    }
    finish(
        HELD,
        &format!("all of {repeated} repeated sessions ran in one cell"),
    );
}
