//! What the platform holds for one relay that its operators replace beside itself: the clients'
//! listening socket, which every process inherits, and the folder that its processes share. And a
//! caller at the operators' door.
use crate::clock::to_std;
use rustix::io::{FdFlags, fcntl_setfd};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::path::{Path, PathBuf};
use thistlecroft::time::Duration;

/// Dropped, the socket is closed here; processes that hold it go on.
#[derive(Debug)]
pub struct SocketHolder {
    listener: TcpListener,
    folder: PathBuf,
}

impl SocketHolder {
    /// Listens at a free port of this address; the folder is made.
    ///
    /// # Errors
    /// Where either can't be had.
    pub fn open(at: SocketAddr, folder: &Path) -> Result<SocketHolder> {
        let listener = TcpListener::bind((at.ip(), 0))?;
        // Every process started from here inherits it.
        fcntl_setfd(&listener, FdFlags::empty())?;
        std::fs::create_dir_all(folder)?;
        Ok(SocketHolder {
            listener,
            folder: folder.canonicalize()?,
        })
    }

    /// # Errors
    /// Where the system does not say.
    pub fn address(&self) -> Result<SocketAddr> {
        self.listener.local_addr()
    }

    pub fn descriptor(&self) -> RawFd {
        self.listener.as_raw_fd()
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

/// Says one line at a relay's door; what is answered, without its ending.
///
/// # Errors
/// Nobody is there, or no whole line came in time.
pub fn send_admin_command(at: SocketAddr, line: &str, within: Duration) -> Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, to_std(within))?;
    stream.set_read_timeout(Some(to_std(within)))?;
    stream.write_all(format!("{line}\r\n").as_bytes())?;
    let mut said = String::new();
    stream.read_to_string(&mut said)?;
    match said.strip_suffix("\r\n") {
        Some(answer) if !answer.contains('\n') => Ok(answer.to_string()),
        _ => Err(Error::new(
            ErrorKind::InvalidData,
            format!("no line: {said:?}"),
        )),
    }
}
