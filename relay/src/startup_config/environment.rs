//! The part of the configuration that is read from environment variables.
use super::error::{ConfigError, InheritedSocketError};
use super::{MIN_SOCKETS, StartupConfig, parse_address};
use crate::admin::connections;
use socket2::{Domain, SockRef};
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::path::PathBuf;

/// The variable with the admin port's address, used if the configuration file has none.
const ADMIN_ADDRESS_VARIABLE: &str = "ROUTER_ADMIN_ADDR";
/// The variable with the descriptor of the clients' listening socket, if the platform holds it.
const INHERITED_SOCKET_VARIABLE: &str = "ROUTER_PASSED_SOCKET";
/// The variable with the folder that the processes of one relay share.
const FOLDER_VARIABLE: &str = "TMPDIR";
/// Lower descriptors are the standard streams.
const FIRST_INHERITED_DESCRIPTOR: RawFd = 3;

impl StartupConfig {
    /// Adds the values of the environment variables to the configuration.
    ///
    /// # Errors
    /// Returns an error if a variable does not hold a valid address or listening socket, or if the
    /// limit on descriptors is too low for an admin port.
    pub(crate) fn with_environment(mut self) -> Result<StartupConfig, ConfigError> {
        if self.admin.is_none()
            && let Ok(value) = std::env::var(ADMIN_ADDRESS_VARIABLE)
        {
            let address = parse_address(ADMIN_ADDRESS_VARIABLE, &value)?;
            self.admin = Some(address);
        }
        if let Ok(value) = std::env::var(INHERITED_SOCKET_VARIABLE) {
            let listener =
                inherited_listener(&value).map_err(|reason| ConfigError::InheritedSocket {
                    name: INHERITED_SOCKET_VARIABLE,
                    value,
                    reason,
                })?;
            self.inherited_listener = Some(listener);
        }
        let needed = MIN_SOCKETS + connections::RESERVED_DESCRIPTORS;
        if self.admin.is_some() && self.socket_limit < needed {
            return Err(ConfigError::TooFewSocketsForAdmin(self.socket_limit));
        }
        self.folder = std::env::var_os(FOLDER_VARIABLE)
            .map(PathBuf::from)
            .filter(|folder| folder.is_absolute());
        Ok(self)
    }
}

/// Takes over a listening socket that this process inherited. Other processes may hold it as well.
/// Must be called once only, as the returned listener owns the descriptor.
fn inherited_listener(value: &str) -> Result<TcpListener, InheritedSocketError> {
    let descriptor: RawFd = value
        .parse()
        .ok()
        .filter(|&descriptor| descriptor >= FIRST_INHERITED_DESCRIPTOR)
        .ok_or(InheritedSocketError::NoDescriptor)?;
    // SAFETY: the descriptor is only queried; if it is not open, the queries return an error.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let socket = SockRef::from(&borrowed);
    match socket.is_listener() {
        Ok(true) if socket.domain().is_ok_and(|domain| domain != Domain::UNIX) => {}
        Ok(true) => return Err(InheritedSocketError::NoTcpSocket),
        Ok(false) => return Err(InheritedSocketError::NotListening),
        Err(_) => return Err(InheritedSocketError::NotOpen),
    }
    socket
        .set_cloexec(true)
        .map_err(|_| InheritedSocketError::CannotKeep)?;
    // SAFETY: the descriptor is open, and nothing else in this process uses it.
    Ok(unsafe { TcpListener::from_raw_fd(descriptor) })
}
