//! The event loop that each thread of the testbed runs: readiness of sockets, timers, and commands
//! from the thread that runs the experiment.
use crate::clock::{Stopwatch, to_std};
use crate::event_recorder::{EventRecorder, Observation};
use polling::{Events, Poller};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use thistlecroft::time::{Duration, Instant};

/// A longer turn is recorded, since what was observed in it was observed late.
const LATE_TURN: Duration = Duration::from_millis(20);
/// Sockets are polled again after so many timers.
const TIMERS_PER_TURN: usize = 4_096;
/// Added to each wait, so that a timer is due when its wait is over.
const WAIT_MARGIN: std::time::Duration = std::time::Duration::from_micros(20);

/// What a handler can use of its loop: the time, the poller, the recorder and timers of type `T`.
pub struct LoopContext<T> {
    /// The time of the event that is being handled.
    pub now: Instant,
    /// The clock of the run.
    pub clock: Stopwatch,
    /// Where the handler registers its sockets.
    pub poller: Arc<Poller>,
    /// Where observations are recorded.
    pub recorder: EventRecorder,
    /// By when they are due, and in the order in which they were set.
    timers: BTreeMap<(Instant, u64), T>,
    last_timer: u64,
    /// The longest turn so far.
    pub longest_turn: Duration,
    /// Time spent handling events rather than waiting for them.
    pub busy_time: Duration,
}

impl<T> LoopContext<T> {
    /// Has the handler called with this timer once that time has come.
    pub fn set_timer(&mut self, at: Instant, timer: T) {
        self.last_timer += 1;
        self.timers.insert((at, self.last_timer), timer);
    }

    /// Records an observation made now.
    pub fn record(&self, observation: Observation) {
        self.recorder.record(self.now, observation);
    }

    fn until_next_timer(&self) -> Option<std::time::Duration> {
        let ((due, _), _) = self.timers.first_key_value()?;
        Some(to_std(due.duration_since(self.clock.now())) + WAIT_MARGIN)
    }

    fn record_turn(&mut self, began: Instant) {
        let took = self.clock.now().duration_since(began);
        self.busy_time += took;
        self.longest_turn = self.longest_turn.max(took);
        if took > LATE_TURN {
            self.record(Observation::TestbedDelayed { delay: took });
        }
    }
}

/// What runs on an event loop.
pub trait EventHandler {
    /// What a timer is about.
    type Timer;
    /// What another thread may order.
    type Command: Send + 'static;
    /// What the handler returns at the end of the loop.
    type Totals: Send + 'static;
    /// A socket registered under this key is ready.
    fn on_ready(&mut self, key: usize, writable: bool, context: &mut LoopContext<Self::Timer>);
    /// A timer is due.
    fn on_timer(&mut self, timer: Self::Timer, context: &mut LoopContext<Self::Timer>);
    /// A command has come.
    fn on_command(&mut self, command: Self::Command, context: &mut LoopContext<Self::Timer>);
    /// The loop has ended.
    fn into_totals(self, context: &LoopContext<Self::Timer>) -> Self::Totals;
}

/// An event loop on its own thread, which ends when this is dropped.
pub struct EventLoop<H: EventHandler> {
    commands: Option<Sender<H::Command>>,
    poller: Arc<Poller>,
    /// Returns nothing where the handler could not be opened.
    thread: Option<JoinHandle<Option<H::Totals>>>,
}

impl<H: EventHandler + 'static> EventLoop<H> {
    /// Starts a thread of this name whose handler is made there by `open`.
    ///
    /// # Errors
    /// If the system gives no poller or thread, or `open` fails.
    pub fn open(
        name: &str,
        clock: Stopwatch,
        recorder: EventRecorder,
        open: impl FnOnce(&mut LoopContext<H::Timer>) -> io::Result<H> + Send + 'static,
    ) -> io::Result<EventLoop<H>> {
        let poller = Arc::new(Poller::new()?);
        let (commands, received_commands) = channel();
        let (open_result, opened) = channel();
        let loop_poller = poller.clone();
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || {
                let mut context = LoopContext {
                    now: clock.now(),
                    clock,
                    poller: loop_poller,
                    recorder,
                    timers: BTreeMap::new(),
                    last_timer: 0,
                    longest_turn: Duration::ZERO,
                    busy_time: Duration::ZERO,
                };
                match open(&mut context) {
                    Ok(mut handler) => {
                        let _ = open_result.send(Ok(()));
                        run(&mut handler, &mut context, &received_commands);
                        Some(handler.into_totals(&context))
                    }
                    Err(error) => {
                        let _ = open_result.send(Err(error));
                        None
                    }
                }
            })?;
        let opened = opened
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the thread ended at once")));
        if let Err(error) = opened {
            let _ = thread.join();
            return Err(error);
        }
        Ok(EventLoop {
            commands: Some(commands),
            poller,
            thread: Some(thread),
        })
    }

    /// Has the handler carry out this command soon; commands keep their order.
    pub fn command(&self, command: H::Command) {
        if let Some(commands) = &self.commands {
            let _ = commands.send(command);
            let _ = self.poller.notify();
        }
    }

    /// Ends the loop and returns the handler's totals.
    pub fn close(mut self) -> H::Totals {
        self.commands = None;
        let _ = self.poller.notify();
        let thread = self.thread.take().expect("only close takes the thread");
        let totals = thread.join().ok().flatten();
        totals.expect("the handler was opened and did not panic")
    }
}

impl<H: EventHandler> Drop for EventLoop<H> {
    fn drop(&mut self) {
        self.commands = None;
        let _ = self.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs until the other end of `commands` is dropped.
fn run<H: EventHandler>(
    handler: &mut H,
    context: &mut LoopContext<H::Timer>,
    commands: &Receiver<H::Command>,
) {
    let mut events = Events::new();
    loop {
        loop {
            match commands.try_recv() {
                Ok(command) => {
                    context.now = context.clock.now();
                    handler.on_command(command, context);
                }
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return,
            }
        }
        let wait = context.until_next_timer();
        events.clear();
        if let Err(error) = context.poller.wait(&mut events, wait)
            && error.kind() != io::ErrorKind::Interrupted
        {
            log::error!("event loop can't poll: {error}");
            return;
        }
        let began = context.clock.now();
        context.now = began;
        for event in events.iter() {
            handler.on_ready(event.key, event.writable, context);
            context.now = context.clock.now();
        }
        run_due_timers(handler, context);
        context.record_turn(began);
    }
}

/// Calls the handler for each timer that was due when the last event had been handled.
fn run_due_timers<H: EventHandler>(handler: &mut H, context: &mut LoopContext<H::Timer>) {
    for _ in 0..TIMERS_PER_TURN {
        let now = context.now;
        let Some(entry) = context
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        else {
            return;
        };
        let timer = entry.remove();
        handler.on_timer(timer, context);
    }
}
