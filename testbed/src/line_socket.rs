//! A non-blocking socket that reads complete lines and buffers unsent output.
use polling::{Event, PollMode, Poller};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, BorrowedFd};
use std::sync::Arc;
use std::time::Duration;

const READ_BYTES: usize = 16 * 1024;
/// A connection with more unsent output than this is treated as broken.
const MAX_UNSENT_BYTES: usize = 64 << 20;

/// The readiness that the poller waits for at a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interest {
    None,
    Read,
    Write,
    ReadWrite,
}

impl Interest {
    fn new(reads: bool, writes: bool) -> Interest {
        match (reads, writes) {
            (true, true) => Interest::ReadWrite,
            (true, false) => Interest::Read,
            (false, true) => Interest::Write,
            (false, false) => Interest::None,
        }
    }

    fn event(self, key: usize) -> Event {
        let reads = matches!(self, Interest::Read | Interest::ReadWrite);
        let writes = matches!(self, Interest::Write | Interest::ReadWrite);
        Event::new(key, reads, writes)
    }
}

/// A connection registered with a poller, with buffers for unread input and unsent output.
pub(crate) struct LineSocket {
    stream: TcpStream,
    poller: Arc<Poller>,
    key: usize,
    interest: Interest,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Whether the peer has closed its sending direction.
    pub(crate) peer_closed: bool,
    /// Whether reading and writing are suspended.
    frozen: bool,
}

impl LineSocket {
    /// Wraps a connected stream, which is registered with the poller when its interest is first
    /// set.
    pub(crate) fn new(
        stream: TcpStream,
        poller: &Arc<Poller>,
        key: usize,
    ) -> io::Result<LineSocket> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let poller = poller.clone();
        let (input, output) = (Vec::new(), Vec::new());
        Ok(LineSocket {
            stream,
            poller,
            key,
            interest: Interest::None,
            input,
            output,
            peer_closed: false,
            frozen: false,
        })
    }

    /// Starts to connect. The socket becomes writable when this has succeeded or failed.
    pub(crate) fn connect(
        to: SocketAddr,
        poller: &Arc<Poller>,
        key: usize,
    ) -> io::Result<LineSocket> {
        let domain = socket2::Domain::for_address(to);
        let socket =
            socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(error)
                if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) =>
            {
                Err(error)
            }
            _ => LineSocket::new(socket.into(), poller, key),
        }
    }

    /// Returns whether the connection is established.
    ///
    /// # Errors
    /// Returns an error if connecting has failed.
    pub(crate) fn is_connected(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Has the poller report when connecting has succeeded or failed.
    pub(crate) fn await_connect(&mut self) {
        self.set_interest(Interest::Write);
    }

    /// Has the poller report input unless the peer has closed its sending direction, and
    /// writability while output is buffered.
    pub(crate) fn update_interest(&mut self) {
        self.set_interest(Interest::new(!self.peer_closed, !self.output.is_empty()));
    }

    fn set_interest(&mut self, interest: Interest) {
        let interest = if self.frozen {
            Interest::None
        } else {
            interest
        };
        if interest == self.interest {
            return;
        }
        // SAFETY: the descriptor is open as long as the stream, and deleted from the poller when
        // the `LineSocket` is dropped.
        let fd = unsafe { BorrowedFd::borrow_raw(self.stream.as_raw_fd()) };
        let event = interest.event(self.key);
        let result = match (self.interest, interest) {
            (_, Interest::None) => self.poller.delete(fd),
            // SAFETY: as above.
            (Interest::None, _) => unsafe {
                self.poller
                    .add_with_mode(self.stream.as_raw_fd(), event, PollMode::Level)
            },
            _ => self.poller.modify_with_mode(fd, event, PollMode::Level),
        };
        match result {
            Ok(()) => self.interest = interest,
            Err(error) => log::error!("failed to set the poller's interest in a socket: {error}"),
        }
    }

    /// Suspends or resumes all reading and writing.
    pub(crate) fn set_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
        self.update_interest();
    }

    /// Reads once from the socket, and returns whether there was any input.
    pub(crate) fn read(&mut self) -> io::Result<bool> {
        let mut chunk = [0; READ_BYTES];
        loop {
            return match self.stream.read(&mut chunk) {
                Ok(0) => {
                    self.peer_closed = true;
                    Ok(false)
                }
                Ok(count) => {
                    self.input.extend_from_slice(&chunk[..count]);
                    Ok(true)
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => Err(error),
            };
        }
    }

    pub(crate) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Removes the next complete line from the input and returns it without its ending.
    pub(crate) fn next_line(&mut self) -> Option<String> {
        let end = self.input.iter().position(|&byte| byte == b'\n')?;
        let line = String::from_utf8_lossy(&self.input[..end])
            .trim_end_matches('\r')
            .to_string();
        self.input.drain(..=end);
        if self.input.is_empty() {
            // Releases the buffer, since thousands of connections are idle between their lines.
            self.input = Vec::new();
        }
        Some(line)
    }

    /// Returns the buffered input.
    pub(crate) fn buffered_input(&self) -> &[u8] {
        &self.input
    }

    /// Removes this number of bytes from the start of the input.
    pub(crate) fn consume(&mut self, count: usize) {
        self.input.drain(..count);
    }

    /// Writes as much as the socket accepts now and buffers the rest. After
    /// [`LineSocket::update_interest`] the poller reports when more can be written.
    ///
    /// # Errors
    /// Returns an error if the connection is broken or too much output is unsent.
    pub(crate) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.output.extend_from_slice(bytes);
        if self.output.len() > MAX_UNSENT_BYTES {
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.flush()
    }

    /// Writes as much of the buffered output as the socket accepts now.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        let mut written = 0;
        while written < self.output.len() && !self.frozen {
            match self.stream.write(&self.output[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output.drain(..written);
        if self.output.is_empty() {
            self.output = Vec::new();
        }
        Ok(())
    }

    pub(crate) fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Closes the sending direction.
    pub(crate) fn finish_sending(&self) {
        // This fails only if the connection is already gone, which the poller reports.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Makes the connection be reset rather than closed when the socket is dropped.
    pub(crate) fn reset_on_close(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

impl Drop for LineSocket {
    fn drop(&mut self) {
        if self.interest != Interest::None {
            // SAFETY: the stream is still open; it is closed after this function.
            let _ = self
                .poller
                .delete(unsafe { BorrowedFd::borrow_raw(self.stream.as_raw_fd()) });
        }
    }
}
