//! The signals that the relay answers, and what each of them starts.
use super::{LOG_TARGET, Service};
use crate::peers::Peers;
use crate::sockets::{SocketOwner, key_of};
use polling::{PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The signals that are answered, each with the end of a pipe that turns readable.
pub struct Signals {
    shutdown: UnixStream,
    statistics: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Catches the signals. Called before any file is read: until they are caught, the system's
    /// default for each of them ends the process.
    ///
    /// # Errors
    /// The system refuses a pipe or a handler.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            shutdown: signal_pipe(&[SIGTERM, SIGINT])?,
            statistics: signal_pipe(&[SIGUSR1])?,
            reload: signal_pipe(&[SIGHUP])?,
        })
    }

    /// Has the poller wake the event loop when a signal comes.
    ///
    /// # Safety
    /// The signals must live as long as the poller.
    pub(super) unsafe fn register(&self, poller: &Poller) -> io::Result<()> {
        for pipe in [&self.shutdown, &self.statistics, &self.reload] {
            let event = polling::Event::readable(key_of(SocketOwner::Signals, 0));
            // SAFETY: the caller keeps the pipes as long as the poller.
            unsafe { poller.add_with_mode(pipe, event, PollMode::Level)? };
        }
        Ok(())
    }
}

/// The end of a pipe that turns readable when one of these signals comes.
fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    reader.set_nonblocking(true)?;
    for &signal in signals {
        signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
    }
    Ok(reader)
}

/// True if the signal of this pipe has come since the last call.
fn has_come(pipe: &mut UnixStream) -> bool {
    // Each signal writes one byte; several that came together are answered once.
    matches!(pipe.read(&mut [0; 64]), Ok(1..))
}

impl Service {
    /// Answers the signals that have come.
    pub(super) fn handle_signals(&mut self) {
        if has_come(&mut self.signals.statistics) {
            self.log_statistics();
        }
        if has_come(&mut self.signals.shutdown) && self.shutdown_started.is_none() {
            self.begin_shutdown();
        }
        if has_come(&mut self.signals.reload) {
            self.reload_configuration();
        }
    }

    fn log_statistics(&self) {
        let (sessions, generations) = (self.sessions.len(), self.sessions.sessions_by_generation());
        let banned = self.admin.banned_count();
        log::info!(
            target: LOG_TARGET,
            "{sessions} sessions ({generations}), {banned} backends out by hand; {}",
            self.io.counters
        );
        self.peers.iter().for_each(Peers::log_member_counts);
    }
}
