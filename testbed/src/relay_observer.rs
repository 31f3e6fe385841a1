//! An observer at a relay's admin port, who asks again and again which peers the relay sees and
//! whether it holds a lease. Each has a thread of its own: a paused relay keeps only its own
//! observer waiting.
use crate::clock::Stopwatch;
use crate::event_recorder::{EventRecorder, Observation, RelayIndex};
use crate::socket_holder::send_admin_command;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use thistlecroft::time::Duration;

const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(40);
/// Peers are asked for once in so many rounds.
const ROUNDS_PER_MEMBERSHIP: usize = 6;
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// An observer, which ends when this is dropped.
pub struct RelayObserver {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RelayObserver {
    /// Starts to ask at this admin port; `lease` is the subject that it asks for, if any.
    pub fn open(
        relay: RelayIndex,
        admin: SocketAddr,
        lease: Option<&'static str>,
        clock: Stopwatch,
        recorder: EventRecorder,
    ) -> RelayObserver {
        let is_over = Arc::new(AtomicBool::new(false));
        let observer = Observer {
            relay,
            admin,
            clock,
            recorder,
        };
        let ends = is_over.clone();
        let thread = std::thread::spawn(move || {
            let mut round = 0;
            while !ends.load(Ordering::Relaxed) {
                round += 1;
                if let Some(subject) = lease {
                    observer.observe_lease(subject);
                }
                if round % ROUNDS_PER_MEMBERSHIP == 0 {
                    observer.observe_membership();
                }
                std::thread::park_timeout(POLL_INTERVAL);
            }
        });
        RelayObserver {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for RelayObserver {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            let _ = thread.join();
        }
    }
}

/// What the thread of an observer works with.
struct Observer {
    relay: RelayIndex,
    admin: SocketAddr,
    clock: Stopwatch,
    recorder: EventRecorder,
}

impl Observer {
    fn observe_lease(&self, subject: &'static str) {
        let requested_at = self.clock.now();
        let answer = send_admin_command(self.admin, &format!("LEASE {subject}"), TIMEOUT).ok();
        if let Some((epoch, left)) = answer.as_deref().and_then(parse_held_lease) {
            self.record(Observation::LeaseClaimed {
                relay: self.relay,
                subject,
                epoch,
                requested_at,
                valid_until: requested_at + left,
            });
        }
    }

    fn observe_membership(&self) {
        if let Ok(answer) = send_admin_command(self.admin, "PEERS", TIMEOUT)
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

/// The epoch of a held lease and the time that is left of it, of the answer `200 held EPOCH MS`.
pub fn parse_held_lease(answer: &str) -> Option<(u64, Duration)> {
    let mut words = answer.strip_prefix("200 held ")?.split(' ');
    let epoch = words.next()?.parse().ok()?;
    Some((epoch, Duration::from_millis(words.next()?.parse().ok()?)))
}

/// The names of the peers that a relay sees alive, its own among them, in order.
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
