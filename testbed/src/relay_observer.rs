//! An observer that polls a relay's admin port: which peers the relay sees alive, and whether it
//! holds a lease. Each observer has a thread of its own, so that a paused relay blocks only its own
//! observer.
use crate::clock::Stopwatch;
use crate::event_recorder::{EventRecorder, Observation, RelayIndex};
use crate::socket_holder::send_admin_command;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use thistlecroft::time::Duration;

const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(40);
/// The number of polling rounds from one request for the membership to the next.
const ROUNDS_PER_MEMBERSHIP_POLL: usize = 6;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A running observer, which stops when this value is dropped.
pub struct RelayObserver {
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RelayObserver {
    /// Starts to poll the relay at the address `admin`. `lease` is the subject whose lease is
    /// polled, if any.
    pub fn open(
        relay: RelayIndex,
        admin: SocketAddr,
        lease: Option<&'static str>,
        clock: Stopwatch,
        recorder: EventRecorder,
    ) -> RelayObserver {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let observer = ObserverThread {
            relay,
            admin,
            clock,
            recorder,
        };
        let should_stop = is_stopped.clone();
        let thread = std::thread::spawn(move || {
            let mut round = 0;
            while !should_stop.load(Ordering::Relaxed) {
                round += 1;
                if let Some(subject) = lease {
                    observer.observe_lease(subject);
                }
                if round % ROUNDS_PER_MEMBERSHIP_POLL == 0 {
                    observer.observe_membership();
                }
                std::thread::park_timeout(POLL_INTERVAL);
            }
        });
        RelayObserver {
            is_stopped,
            thread: Some(thread),
        }
    }
}

impl Drop for RelayObserver {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            let _ = thread.join();
        }
    }
}

/// The state of an observer's thread.
struct ObserverThread {
    relay: RelayIndex,
    admin: SocketAddr,
    clock: Stopwatch,
    recorder: EventRecorder,
}

impl ObserverThread {
    fn observe_lease(&self, subject: &'static str) {
        let requested_at = self.clock.now();
        let answer =
            send_admin_command(self.admin, &format!("LEASE {subject}"), REQUEST_TIMEOUT).ok();
        if let Some((epoch, remaining)) = answer.as_deref().and_then(parse_held_lease) {
            self.record(Observation::LeaseClaimed {
                relay: self.relay,
                subject,
                epoch,
                requested_at,
                valid_until: requested_at + remaining,
            });
        }
    }

    fn observe_membership(&self) {
        if let Ok(answer) = send_admin_command(self.admin, "PEERS", REQUEST_TIMEOUT)
            && let Some(members) = parse_members_seen(&answer)
        {
            self.record(Observation::MembersSeen {
                relay: self.relay,
                members,
            });
        }
    }

    fn record(&self, observation: Observation) {
        self.recorder.record(self.clock.now(), observation);
    }
}

/// Parses the answer `200 held EPOCH MS` into the epoch of the held lease and its remaining time.
pub fn parse_held_lease(answer: &str) -> Option<(u64, Duration)> {
    let mut words = answer.strip_prefix("200 held ")?.split(' ');
    let epoch = words.next()?.parse().ok()?;
    Some((epoch, Duration::from_millis(words.next()?.parse().ok()?)))
}

/// Parses the answer to `PEERS` into the sorted names of the relays that a relay sees alive,
/// including its own.
pub(crate) fn parse_members_seen(answer: &str) -> Option<Vec<String>> {
    let membership: serde_json::Value = serde_json::from_str(answer.strip_prefix("200 ")?).ok()?;
    let alive = membership["peers"]
        .as_array()?
        .iter()
        .filter(|peer| peer["standing"] == "here");
    let mut members: Vec<String> = alive
        .filter_map(|peer| peer["name"].as_str())
        .chain(membership["name"].as_str())
        .map(String::from)
        .collect();
    members.sort();
    members.dedup();
    Some(members)
}
