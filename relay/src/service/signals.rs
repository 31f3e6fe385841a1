//! The signals that the relay handles, and what each of them triggers.
use super::{LOG_TARGET, Service};
use crate::peers::Peers;
use crate::sockets::{SocketOwner, key_of};
use polling::{PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The signals that the relay handles; each field is the end of a pipe that becomes readable when
/// one of its signals is received.
pub struct Signals {
    shutdown: UnixStream,
    statistics: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Installs the handlers. Must be called before any file is read: without a handler, each of
    /// these signals ends the process.
    ///
    /// # Errors
    /// Returns an error if the system provides no pipe or rejects a handler.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            shutdown: signal_pipe(&[SIGTERM, SIGINT])?,
            statistics: signal_pipe(&[SIGUSR1])?,
            reload: signal_pipe(&[SIGHUP])?,
        })
    }

    /// Registers the pipes with the poller, so that a signal wakes the event loop.
    ///
    /// # Safety
    /// `self` must live as long as the poller.
    pub(super) unsafe fn register(&self, poller: &Poller) -> io::Result<()> {
        for pipe in [&self.shutdown, &self.statistics, &self.reload] {
            let event = polling::Event::readable(key_of(SocketOwner::Signals, 0));
            // SAFETY: the caller keeps the pipes alive as long as the poller.
            unsafe { poller.add_with_mode(pipe, event, PollMode::Level)? };
        }
        Ok(())
    }
}

/// Returns the end of a pipe that becomes readable when one of these signals is received.
fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    reader.set_nonblocking(true)?;
    for &signal in signals {
        signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
    }
    Ok(reader)
}

/// Returns whether a signal of this pipe has been received since the last call.
fn was_received(pipe: &mut UnixStream) -> bool {
    // Each signal writes one byte; several signals since the last call are handled once.
    matches!(pipe.read(&mut [0; 64]), Ok(1..))
}

impl Service {
    /// Handles the signals that have been received.
    pub(super) fn handle_signals(&mut self) {
        if was_received(&mut self.signals.statistics) {
            self.log_statistics();
        }
        if was_received(&mut self.signals.shutdown) && !self.is_shutting_down() {
            self.begin_shutdown();
        }
        if was_received(&mut self.signals.reload) {
            self.reload_configuration();
        }
    }

    fn log_statistics(&self) {
        let (sessions, generations) = (self.sessions.len(), self.sessions.sessions_by_generation());
        let banned = self.admin.banned_count();
        log::info!(
            target: LOG_TARGET,
            "statistics: open_sessions={sessions} ({generations}), banned_backends={banned}; {}",
            self.io.counters
        );
        log::info!(
            target: LOG_TARGET,
            "descriptors: {}, other_process={}, session_limit={}",
            self.io.sockets.open_counts(),
            self.io.sockets.open_count_in_other_process(),
            self.io.descriptors.session_limit()
        );
        self.peers.iter().for_each(Peers::log_member_counts);
    }
}
