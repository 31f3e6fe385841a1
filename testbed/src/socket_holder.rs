//! The platform's part of a hot restart, in which a new process replaces a running relay: the
//! listening socket that both processes share. Also sends commands to a relay's admin port.
use crate::clock::to_std;
use rustix::io::{FdFlags, fcntl_setfd};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::path::{Path, PathBuf};
use thistlecroft::time::Duration;

/// The listening socket for clients, which every process of a relay inherits, and the folder that
/// these processes share. Dropping this value closes the socket in this process only: processes
/// that inherited it keep it open.
#[derive(Debug)]
pub struct SocketHolder {
    listener: TcpListener,
    folder: PathBuf,
}

impl SocketHolder {
    /// Listens at a free port of the given IP address and creates the folder.
    ///
    /// # Errors
    /// Returns an error if the socket can't be opened or the folder can't be created.
    pub fn open(address: SocketAddr, folder: &Path) -> Result<SocketHolder> {
        let listener = TcpListener::bind((address.ip(), 0))?;
        // Without FD_CLOEXEC, every process that this process starts inherits the socket.
        fcntl_setfd(&listener, FdFlags::empty())?;
        std::fs::create_dir_all(folder)?;
        Ok(SocketHolder {
            listener,
            folder: folder.canonicalize()?,
        })
    }

    /// Returns the address at which the socket listens.
    ///
    /// # Errors
    /// Returns an error if the system can't tell the address of the socket.
    pub fn address(&self) -> Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the descriptor of the socket, which processes inherit.
    pub fn descriptor(&self) -> RawFd {
        self.listener.as_raw_fd()
    }

    /// Returns the folder that the processes share.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

/// Sends one command to a relay's admin port and returns the answer, a line without its line
/// ending.
///
/// # Errors
/// Returns an error if the connection fails or the answer is not one complete line within the
/// timeout.
pub fn send_admin_command(address: SocketAddr, command: &str, timeout: Duration) -> Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, to_std(timeout))?;
    stream.set_read_timeout(Some(to_std(timeout)))?;
    stream.write_all(format!("{command}\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    match answer.strip_suffix("\r\n") {
        Some(line) if !line.contains('\n') => Ok(line.to_string()),
        _ => Err(Error::new(
            ErrorKind::InvalidData,
            format!("the answer of the admin port is not one complete line: {answer:?}"),
        )),
    }
}
