//! A socket of the stand-ins: bytes in until a line is whole, bytes out as far as they go.
use polling::{Event, PollMode, Poller};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, BorrowedFd};
use std::sync::Arc;
use std::time::Duration;

const PIECE: usize = 16 * 1024;
/// What is not read by the one who asked for it; more than this and the wire counts as broken.
const MOST_WAITING: usize = 64 << 20;

pub struct LineSocket {
    stream: TcpStream,
    poller: Arc<Poller>,
    key: usize,
    wants: Option<(bool, bool)>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The other side has ended its sending.
    pub ended: bool,
    /// Nothing is read or written for as long as this holds.
    frozen: bool,
}

impl LineSocket {
    pub fn new(stream: TcpStream, poller: &Arc<Poller>, key: usize) -> io::Result<LineSocket> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let poller = poller.clone();
        let (input, output) = (Vec::new(), Vec::new());
        Ok(LineSocket {
            stream,
            poller,
            key,
            wants: None,
            input,
            output,
            ended: false,
            frozen: false,
        })
    }

    /// Begins a connection; it is up, or has failed, once it turns writable.
    pub fn connect(to: SocketAddr, poller: &Arc<Poller>, key: usize) -> io::Result<LineSocket> {
        let domain = socket2::Domain::for_address(to);
        let socket =
            socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(fault)
                if fault.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) =>
            {
                Err(fault)
            }
            _ => LineSocket::new(socket.into(), poller, key),
        }
    }

    /// If the connection has come up; the fault where it can't.
    pub fn is_up(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(fault) => Err(fault),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// What the poller is to wait for: reading while the other side may still send, writing while
    /// bytes wait or where that tells that the connection is up.
    pub fn settle(&mut self, connecting: bool) {
        let wants = (
            !self.ended && !connecting,
            connecting || !self.output.is_empty(),
        );
        let wants = (wants != (false, false) && !self.frozen).then_some(wants);
        if wants == self.wants {
            return;
        }
        // SAFETY: the descriptor is open as long as the stream, and deleted from the poller when
        // this is dropped.
        let fd = unsafe { BorrowedFd::borrow_raw(self.stream.as_raw_fd()) };
        let event = |(reading, writing)| Event::new(self.key, reading, writing);
        let done = match (self.wants, wants) {
            // SAFETY: as above.
            (None, Some(wants)) => unsafe {
                self.poller
                    .add_with_mode(self.stream.as_raw_fd(), event(wants), PollMode::Level)
            },
            (_, Some(wants)) => self
                .poller
                .modify_with_mode(fd, event(wants), PollMode::Level),
            (_, None) => self.poller.delete(fd),
        };
        match done {
            Ok(()) => self.wants = wants,
            Err(fault) => log::error!("poller: {fault}"),
        }
    }

    pub fn freeze(&mut self, frozen: bool) {
        self.frozen = frozen;
        self.settle(false);
    }

    /// Reads what is there, up to a bound; true if anything came.
    pub fn read(&mut self) -> io::Result<bool> {
        let mut piece = [0; PIECE];
        loop {
            return match self.stream.read(&mut piece) {
                Ok(0) => {
                    self.ended = true;
                    Ok(false)
                }
                Ok(count) => {
                    self.input.extend_from_slice(&piece[..count]);
                    Ok(true)
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => Ok(false),
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                Err(fault) => Err(fault),
            };
        }
    }

    pub fn has_bytes(&self) -> bool {
        !self.input.is_empty()
    }

    /// The next whole line without its ending.
    pub fn line(&mut self) -> Option<String> {
        let end = self.input.iter().position(|&byte| byte == b'\n')?;
        let line = String::from_utf8_lossy(&self.input[..end])
            .trim_end_matches('\r')
            .to_string();
        self.input.drain(..=end);
        if self.input.is_empty() {
            // A standing connection holds no memory between its lines.
            self.input = Vec::new();
        }
        Some(line)
    }

    pub fn bytes(&self) -> &[u8] {
        &self.input
    }

    pub fn drop_bytes(&mut self, count: usize) {
        self.input.drain(..count);
    }

    /// Writes as much as goes now, keeps the rest; `settle` has the poller tell when more goes.
    pub fn say(&mut self, text: &[u8]) -> io::Result<()> {
        self.output.extend_from_slice(text);
        if self.output.len() > MOST_WAITING {
            return Err(ErrorKind::OutOfMemory.into());
        }
        self.flush()
    }

    pub fn flush(&mut self) -> io::Result<()> {
        let mut done = 0;
        while done < self.output.len() && !self.frozen {
            match self.stream.write(&self.output[done..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => done += count,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => break,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) => return Err(fault),
            }
        }
        self.output.drain(..done);
        if self.output.is_empty() {
            self.output = Vec::new();
        }
        Ok(())
    }

    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    pub fn finish_sending(&self) {
        // Fails only where the other side has gone, which its own event tells.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// When it is dropped the other side will see a break, not an end.
    pub fn break_off(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

impl Drop for LineSocket {
    fn drop(&mut self) {
        if self.wants.is_some() {
            // SAFETY: the stream is closed after this.
            let _ = self
                .poller
                .delete(unsafe { BorrowedFd::borrow_raw(self.stream.as_raw_fd()) });
        }
    }
}
