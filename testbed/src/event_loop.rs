//! The loop that every thread of the stand-ins runs: sockets, alarms, and cues from the one who
//! directs.
use crate::clock::{Stopwatch, to_std};
use crate::event_recorder::{EventRecorder, Observation};
use polling::{Events, Poller};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use thistlecroft::time::{Duration, Instant};

/// A turn longer than this is noted: what was seen in it was seen late.
const LATE_TURN: Duration = Duration::from_millis(20);
const ALARMS: usize = 4_096;

/// What a loop works with.
pub struct LoopContext<A> {
    pub now: Instant,
    pub clock: Stopwatch,
    pub poller: Arc<Poller>,
    pub recorder: EventRecorder,
    alarms: BTreeMap<(Instant, u64), A>,
    serial: u64,
    /// The longest turn so far.
    pub longest_turn: Duration,
    /// Time spent working and not waiting.
    pub busy_time: Duration,
}

impl<A> LoopContext<A> {
    pub fn set(&mut self, at: Instant, alarm: A) {
        self.serial += 1;
        self.alarms.insert((at, self.serial), alarm);
    }

    pub fn note(&self, seen: Observation) {
        self.recorder.record(self.now, seen);
    }
}

/// What is played on a loop.
pub trait EventHandler {
    type Alarm;
    type Command: Send + 'static;
    /// Told by the loop's end.
    type Sums: Send + 'static;
    fn event(&mut self, key: usize, writable: bool, works: &mut LoopContext<Self::Alarm>);
    fn alarm(&mut self, alarm: Self::Alarm, works: &mut LoopContext<Self::Alarm>);
    /// False ends the loop.
    fn cue(&mut self, cue: Self::Command, works: &mut LoopContext<Self::Alarm>) -> bool;
    fn sums(self, works: &LoopContext<Self::Alarm>) -> Self::Sums;
}

/// A loop on its thread. Dropped, it ends.
pub struct EventLoop<P: EventHandler> {
    cues: Option<Sender<P::Command>>,
    poller: Arc<Poller>,
    thread: Option<JoinHandle<P::Sums>>,
}

impl<P: EventHandler + 'static> EventLoop<P> {
    /// # Errors
    /// Where there is no poller or thread to be had, or what `open` says.
    pub fn open(
        name: &str,
        clock: Stopwatch,
        tape: EventRecorder,
        open: impl FnOnce(&mut LoopContext<P::Alarm>) -> io::Result<P> + Send + 'static,
    ) -> io::Result<EventLoop<P>> {
        let poller = Arc::new(Poller::new()?);
        let (cues, heard) = channel();
        let (opened, is_open) = channel();
        let own = poller.clone();
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || {
                let (alarms, now) = (BTreeMap::new(), clock.now());
                let (worst_turn, worked) = (Duration::ZERO, Duration::ZERO);
                let mut works = LoopContext {
                    now,
                    clock,
                    poller: own,
                    recorder: tape,
                    alarms,
                    serial: 0,
                    longest_turn: worst_turn,
                    busy_time: worked,
                };
                match open(&mut works) {
                    Ok(mut play) => {
                        let _ = opened.send(Ok(()));
                        run(&mut play, &mut works, &heard);
                        Some(play.sums(&works))
                    }
                    Err(fault) => {
                        let _ = opened.send(Err(fault));
                        None
                    }
                }
            })?;
        let opened = is_open
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the thread ended at once")));
        let thread = match opened {
            Ok(()) => std::thread::Builder::new()
                .name(format!("{name}-end"))
                .spawn(move || {
                    thread
                        .join()
                        .ok()
                        .flatten()
                        .expect("a stand-in's loop has a fault")
                })?,
            Err(fault) => {
                let _ = thread.join();
                return Err(fault);
            }
        };
        Ok(EventLoop {
            cues: Some(cues),
            poller,
            thread: Some(thread),
        })
    }

    /// Carried out soon, in the order given.
    pub fn command(&self, cue: P::Command) {
        if let Some(cues) = &self.cues {
            let _ = cues.send(cue);
            let _ = self.poller.notify();
        }
    }

    /// Ends the loop and has its sums.
    pub fn close(mut self) -> P::Sums {
        self.cues = None;
        let _ = self.poller.notify();
        let thread = self.thread.take().expect("closed once");
        thread.join().expect("a stand-in's loop has a fault")
    }
}

impl<P: EventHandler> Drop for EventLoop<P> {
    fn drop(&mut self) {
        self.cues = None;
        let _ = self.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run<P: EventHandler>(
    play: &mut P,
    works: &mut LoopContext<P::Alarm>,
    cues: &Receiver<P::Command>,
) {
    let mut events = Events::new();
    loop {
        loop {
            match cues.try_recv() {
                Ok(cue) => {
                    if !play.cue(cue, works) {
                        return;
                    }
                }
                Err(std::sync::mpsc::TryRecvError::Empty) => break,
                Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
            }
        }
        let first = works.alarms.first_key_value().map(|((at, _), _)| *at);
        let wait = first.map(|at| {
            to_std(at.duration_since(works.clock.now())) + std::time::Duration::from_micros(20)
        });
        events.clear();
        if let Err(fault) = works.poller.wait(&mut events, wait)
            && fault.kind() != io::ErrorKind::Interrupted
        {
            log::error!("poller: {fault}");
            return;
        }
        let began = works.clock.now();
        works.now = began;
        for event in events.iter() {
            play.event(event.key, event.writable, works);
            works.now = works.clock.now();
        }
        for _ in 0..ALARMS {
            let Some(entry) = works
                .alarms
                .first_entry()
                .filter(|entry| entry.key().0 <= works.now)
            else {
                break;
            };
            let alarm = entry.remove();
            play.alarm(alarm, works);
        }
        let took = works.clock.now().duration_since(began);
        works.busy_time += took;
        works.longest_turn = works.longest_turn.max(took);
        if took > LATE_TURN {
            works.note(Observation::TestbedDelayed { delay: took });
        }
    }
}
