//! What the platform holds for a relay that is replaced while it runs (a hot restart), and the
//! commands that are sent to a relay's admin port.
use crate::clock::to_std;
use rustix::io::{FdFlags, fcntl_setfd};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::path::{Path, PathBuf};
use thistlecroft::time::Duration;

/// The clients' listening socket, which every process of the relay inherits, and the folder that
/// its processes share. When this is dropped the socket is closed here; processes that inherited
/// it go on.
#[derive(Debug)]
pub struct SocketHolder {
    listener: TcpListener,
    folder: PathBuf,
}

impl SocketHolder {
    /// Listens at a free port of this address and makes the folder.
    ///
    /// # Errors
    /// If the system gives no socket or folder.
    pub fn open(address: SocketAddr, folder: &Path) -> Result<SocketHolder> {
        let listener = TcpListener::bind((address.ip(), 0))?;
        // Every process that is started from here inherits the socket.
        fcntl_setfd(&listener, FdFlags::empty())?;
        std::fs::create_dir_all(folder)?;
        Ok(SocketHolder {
            listener,
            folder: folder.canonicalize()?,
        })
    }

    /// Where the socket listens.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn address(&self) -> Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The descriptor that processes inherit.
    pub fn descriptor(&self) -> RawFd {
        self.listener.as_raw_fd()
    }

    /// The folder that the processes share.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

/// Sends one command to a relay's admin port and returns the line that is answered, without its
/// ending.
///
/// # Errors
/// If nobody listens there, or no complete line was answered in time.
pub fn send_admin_command(address: SocketAddr, command: &str, within: Duration) -> Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, to_std(within))?;
    stream.set_read_timeout(Some(to_std(within)))?;
    stream.write_all(format!("{command}\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    match answer.strip_suffix("\r\n") {
        Some(line) if !line.contains('\n') => Ok(line.to_string()),
        _ => Err(Error::new(
            ErrorKind::InvalidData,
            format!("no line: {answer:?}"),
        )),
    }
}
