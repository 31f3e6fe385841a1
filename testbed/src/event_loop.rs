//! The event loop that each thread of the testbed runs. It handles readiness of sockets, timers,
//! and commands from the thread that runs the experiment.
use crate::clock::{Stopwatch, to_std};
use crate::event_recorder::{EventRecorder, Observation};
use polling::{Events, Poller};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use thistlecroft::time::{Duration, Instant};

/// A longer turn (iteration) of the loop is recorded, since its events were observed late.
const LATE_TURN: Duration = Duration::from_millis(20);
/// The maximum number of timers handled before sockets are polled again.
const MAX_TIMERS_PER_TURN: usize = 4_096;
/// Added to each wait for a timer, so that the timer is due when the poller returns.
const WAIT_MARGIN: std::time::Duration = std::time::Duration::from_micros(20);

/// What an event loop provides to its handler: the time, the poller, the recorder and timers of
/// type `T`.
pub struct LoopContext<T> {
    /// The time of the event that is being handled.
    pub now: Instant,
    /// The clock of the run.
    pub clock: Stopwatch,
    /// The poller with which the handler registers its sockets.
    pub poller: Arc<Poller>,
    /// The recorder of observations.
    pub recorder: EventRecorder,
    /// The timers, ordered by due time and then by the order in which they were set.
    timers: BTreeMap<(Instant, u64), T>,
    last_timer: u64,
    /// The longest turn (iteration) of the loop so far.
    pub longest_turn: Duration,
    /// The total time spent handling events, without waiting for them.
    pub busy_time: Duration,
}

impl<T> LoopContext<T> {
    /// Sets a timer, which is passed to the handler at the given time.
    pub fn set_timer(&mut self, at: Instant, timer: T) {
        self.last_timer += 1;
        self.timers.insert((at, self.last_timer), timer);
    }

    /// Records an observation at the time of the event that is being handled.
    pub fn record(&self, observation: Observation) {
        self.recorder.record(self.now, observation);
    }

    fn until_next_timer(&self) -> Option<std::time::Duration> {
        let ((due, _), _) = self.timers.first_key_value()?;
        Some(to_std(due.duration_since(self.clock.now())) + WAIT_MARGIN)
    }

    /// Adds a turn to the totals, and records it as an observation if it was too long.
    fn record_turn(&mut self, began: Instant) {
        let elapsed = self.clock.now().duration_since(began);
        self.busy_time += elapsed;
        self.longest_turn = self.longest_turn.max(elapsed);
        if elapsed > LATE_TURN {
            self.record(Observation::TestbedDelayed { delay: elapsed });
        }
    }
}

/// Handles the events of an event loop.
pub trait EventHandler {
    /// What the handler is told when a timer is due.
    type Timer;
    /// A command from another thread.
    type Command: Send + 'static;
    /// The results that the handler returns when the loop ends.
    type Totals: Send + 'static;
    /// Called when a socket registered under this key is ready.
    fn on_ready(&mut self, key: usize, writable: bool, context: &mut LoopContext<Self::Timer>);
    /// Called when a timer is due.
    fn on_timer(&mut self, timer: Self::Timer, context: &mut LoopContext<Self::Timer>);
    /// Called when a command has arrived.
    fn on_command(&mut self, command: Self::Command, context: &mut LoopContext<Self::Timer>);
    /// Called when the loop has ended; returns the totals.
    fn into_totals(self, context: &LoopContext<Self::Timer>) -> Self::Totals;
}

/// A handle to an event loop that runs on its own thread. The loop ends when the handle is dropped.
pub struct EventLoop<H: EventHandler> {
    commands: Option<Sender<H::Command>>,
    poller: Arc<Poller>,
    /// The thread, which returns `None` if the handler could not be created.
    thread: Option<JoinHandle<Option<H::Totals>>>,
}

impl<H: EventHandler + 'static> EventLoop<H> {
    /// Starts a thread of this name, on which `open` creates the handler.
    ///
    /// # Errors
    /// Returns an error if the poller or the thread can't be created, or `open` fails.
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
            .unwrap_or_else(|_| Err(io::Error::other("event loop panicked at start")));
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

    /// Sends a command to the handler. Commands are handled in the order in which they were sent.
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
        totals.expect("the handler was created and did not panic")
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

/// Runs the event loop until the sender of `commands` is dropped.
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
            log::error!("event loop failed to poll its sockets: {error}");
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
    for _ in 0..MAX_TIMERS_PER_TURN {
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
