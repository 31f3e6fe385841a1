//! One who asks a relay again and again what it thinks of the others and whether it holds a lease,
//! from a thread of its own: a relay that stands still keeps only its own witness waiting.
use crate::clock::Stopwatch;
use crate::event_recorder::{EventRecorder, Observation, RelayIndex};
use crate::socket_holder::send_admin_command;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use thistlecroft::time::Duration;

/// Between two askings, and how many of them go by between two of the views.
const EVERY: std::time::Duration = std::time::Duration::from_millis(40);
const VIEWS: usize = 6;
const WAIT: Duration = Duration::from_millis(1_000);

/// Dropped, it asks no more.
pub struct RelayObserver {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RelayObserver {
    /// `lease`: the subject that it asks for, if any.
    pub fn open(
        relay: RelayIndex,
        door: SocketAddr,
        lease: Option<&'static str>,
        clock: Stopwatch,
        tape: EventRecorder,
    ) -> RelayObserver {
        let over = Arc::new(AtomicBool::new(false));
        let until = over.clone();
        let thread = std::thread::spawn(move || {
            let mut round = 0;
            while !until.load(Ordering::Relaxed) {
                round += 1;
                if let Some(subject) = lease {
                    let asked = clock.now();
                    let said = send_admin_command(door, &format!("LEASE {subject}"), WAIT).ok();
                    let held = said.as_deref().and_then(parse_held_lease);
                    if let Some((epoch, left)) = held {
                        tape.record(
                            clock.now(),
                            Observation::LeaseClaimed {
                                relay,
                                subject,
                                epoch,
                                requested_at: asked,
                                valid_until: asked + left,
                            },
                        );
                    }
                }
                if round % VIEWS == 0
                    && let Ok(said) = send_admin_command(door, "PEERS", WAIT)
                    && let Some(here) = parse_members_seen(&said)
                {
                    tape.record(
                        clock.now(),
                        Observation::MembersSeen {
                            relay,
                            members: here,
                        },
                    );
                }
                std::thread::park_timeout(EVERY);
            }
        });
        RelayObserver {
            over,
            thread: Some(thread),
        }
    }
}

impl Drop for RelayObserver {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            let _ = thread.join();
        }
    }
}

/// `200 held EPOCH MS`
pub fn parse_held_lease(said: &str) -> Option<(u64, Duration)> {
    let mut words = said.strip_prefix("200 held ")?.split(' ');
    let epoch = words.next()?.parse().ok()?;
    Some((epoch, Duration::from_millis(words.next()?.parse().ok()?)))
}

/// The names that a relay sees here, its own among them, in order.
pub fn parse_members_seen(said: &str) -> Option<Vec<String>> {
    let view: serde_json::Value = serde_json::from_str(said.strip_prefix("200 ")?).ok()?;
    let here = view["peers"]
        .as_array()?
        .iter()
        .filter(|peer| peer["standing"] == "here");
    let mut here: Vec<String> = here
        .filter_map(|peer| peer["name"].as_str())
        .chain(view["name"].as_str())
        .map(String::from)
        .collect();
    here.sort();
    here.dedup();
    Some(here)
}
