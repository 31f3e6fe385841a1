//! A planned restart, during which a new configuration drops a class.
#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::sync::mpsc;
use std::time::Duration;

const SESSIONS: usize = 40;

/// The classes of the deployment `galerias-socios`, and one that was added.
fn classes() -> Vec<Class> {
    let class = |name, deadline_us, target_us, utility| Class {
        name,
        deadline_us,
        target_us,
        effect: "retryable",
        scope: Some("all"),
        window_us: 5_000_000,
        utility,
    };
    vec![
        class("view", 2_000_000, 500_000, 1.0),
        class("picks", 1_800_000, 300_000, 5.0),
        class("share", 1_800_000, 300_000, 1.0),
    ]
}

fn settings(classes: &[Class]) -> String {
    settings_of_zones(classes, ["santiago", "valparaiso"])
}

fn main() {
    let has_trouble = begin(Duration::from_secs(60));
    let backends: Vec<_> = (0..8)
        .map(|i| Backend::start(&format!("g-{i:02}"), ["santiago", "valparaiso"][i % 2], 0))
        .collect();
    let discovery = Discovery::start(backends.iter().map(|b| b.instance("Ready")).collect());
    let listen = free_address();
    let mut config = RelayConfig {
        listen,
        discovery: discovery.address,
        admin: None,
        known: discovery.list(),
        settings: settings(&classes()),
    };
    let relay = start_relay("relay", &config, None);
    wait_for_pong(listen);
    sleep_ms(1_000);
    let (ends, ended) = mpsc::channel();
    for number in 0..SESSIONS {
        let answer = open_session(listen, ["picks", "share"][number % 2], 1_800);
        if !answer.is_up() {
            finish(COULD_NOT_RUN, "a session was not served");
        }
        let ends = ends.clone();
        std::thread::spawn(move || ends.send(answer.stay_until_end()));
        sleep_ms(100);
    }
    sleep_ms(3_000);

    relay.signal(SIGTERM, "SIGTERM to the relay");
    if has_trouble {
        sleep_ms(500);
        config.settings = settings(&classes()[1..]);
        write_config(&relay.config_path, &config.json());
        relay.signal(SIGHUP, "SIGHUP; the new file drops the class view");
        sleep_ms(2_200);
    } else {
        sleep_ms(2_700);
    }
    // The longest deadline is 2 s; 0.7 s more have passed.
    relay.signal(SIGKILL, "SIGKILL, where the process has not ended");
    let (mut moved, mut cut) = (0, 0);
    for _ in 0..SESSIONS {
        match ended.recv_timeout(Duration::from_secs(5)) {
            Ok(End::Moved) => moved += 1,
            Ok(End::Cut) => cut += 1,
            Err(_) => finish(COULD_NOT_RUN, "a client's connection did not end"),
        }
    }
    if cut > 0 {
        finish(
            BROKEN,
            &format!("{cut} of {SESSIONS} connections were cut off without MOVE, {moved} moved"),
        );
    }
    finish(HELD, &format!("all of {SESSIONS} connections were moved"));
}
