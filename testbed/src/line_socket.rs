//! A non-blocking socket that reads complete lines and buffers what can't be written yet.
use polling::{Event, PollMode, Poller};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, BorrowedFd};
use std::sync::Arc;
use std::time::Duration;

const READ_BYTES: usize = 16 * 1024;
/// A socket whose peer leaves more than this unread counts as broken.
const MAX_UNSENT_BYTES: usize = 64 << 20;

/// What the poller waits for at a socket.
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

/// A connection registered at a poller, with its input up to complete lines and its unsent output.
pub(crate) struct LineSocket {
    stream: TcpStream,
    poller: Arc<Poller>,
    key: usize,
    interest: Interest,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The other side has closed its sending direction.
    pub(crate) peer_closed: bool,
    /// Nothing is read or written while this holds.
    frozen: bool,
}

impl LineSocket {
    /// Takes a connected stream; it is registered at the poller by the first change of interest.
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

    /// Starts to connect; the attempt has succeeded or failed once the socket is writable.
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

    /// Whether the connection is established.
    ///
    /// # Errors
    /// If the attempt to connect has failed.
    pub(crate) fn is_connected(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Waits for the end of the attempt to connect.
    pub(crate) fn await_connect(&mut self) {
        self.set_interest(Interest::Write);
    }

    /// Waits for input while the other side may still send, and for room to write while output is
    /// buffered.
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
        // this is dropped.
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
            Err(error) => log::error!("poller refuses a socket: {error}"),
        }
    }

    /// Stops all reading and writing, or goes on with it.
    pub(crate) fn set_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
        self.update_interest();
    }

    /// Reads once; true if anything was there.
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

    /// Takes the next complete line without its ending.
    pub(crate) fn next_line(&mut self) -> Option<String> {
        let end = self.input.iter().position(|&byte| byte == b'\n')?;
        let line = String::from_utf8_lossy(&self.input[..end])
            .trim_end_matches('\r')
            .to_string();
        self.input.drain(..=end);
        if self.input.is_empty() {
            // Thousands of idle connections hold no buffers between their lines.
            self.input = Vec::new();
        }
        Some(line)
    }

    /// The input that was not taken yet.
    pub(crate) fn buffered_input(&self) -> &[u8] {
        &self.input
    }

    /// Takes that many bytes of the input.
    pub(crate) fn consume(&mut self, count: usize) {
        self.input.drain(..count);
    }

    /// Writes as much as the socket takes now and buffers the rest, for which
    /// [`LineSocket::update_interest`] waits.
    ///
    /// # Errors
    /// If the connection is broken, or its peer leaves too much unread.
    pub(crate) fn send(&mut self, text: &[u8]) -> io::Result<()> {
        self.output.extend_from_slice(text);
        if self.output.len() > MAX_UNSENT_BYTES {
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.flush()
    }

    /// Writes as much of the buffered output as the socket takes now.
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
        // This fails only where the other side has gone, which has an event of its own.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Has the connection reset, not closed, when this is dropped.
    pub(crate) fn reset_on_close(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

impl Drop for LineSocket {
    fn drop(&mut self) {
        if self.interest != Interest::None {
            // SAFETY: the stream is closed after this.
            let _ = self
                .poller
                .delete(unsafe { BorrowedFd::borrow_raw(self.stream.as_raw_fd()) });
        }
    }
}
