//! A relay's process: its start, its signals and its end.
use super::config::{FleetConfig, RelayOptions, configuration};
use super::error::RelayProcessError;
use super::resources::process_cost;
use crate::clock::to_std;
use crate::socket_holder::send_admin_command;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;
use thistlecroft::time::Duration;

/// A relay is ready within this, or has not started.
const START_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
/// An admin command is answered within this, or the relay is at fault.
pub const ADMIN_COMMAND_TIMEOUT: Duration = Duration::from_millis(1_000);
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);
const HEALTH_CHECK_CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);
const HEALTH_CHECK_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
const OPERATOR_CONFIG_VARIABLE: &str = "THISTLECROFT_CHARTER";
const PASSED_SOCKET_VARIABLE: &str = "ROUTER_PASSED_SOCKET";
const RUNTIME_FOLDER_VARIABLE: &str = "TMPDIR";

/// A relay's process, which is killed when this is dropped.
pub struct RelayProcess {
    child: Child,
    name: String,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// Where it listens for admin commands, if it does.
    pub admin: Option<SocketAddr>,
    config: PathBuf,
    operator_config: PathBuf,
    log: PathBuf,
}

impl RelayProcess {
    /// Starts a program as a relay and waits until it is ready. `program` is the command and its
    /// arguments; configuration and log are written into `folder`.
    ///
    /// # Errors
    /// If the program can't be started, ends, or is not ready in time.
    pub fn start(
        program: &[String],
        fleet: &FleetConfig,
        options: &RelayOptions,
        folder: &Path,
    ) -> Result<RelayProcess, RelayProcessError> {
        let mut relay = RelayProcess::spawn(program, fleet, options, folder)?;
        relay.wait_ready()?;
        Ok(relay)
    }

    /// The same without waiting, so that many start at once.
    ///
    /// # Errors
    /// If the program can't be started.
    pub fn spawn(
        program: &[String],
        fleet: &FleetConfig,
        options: &RelayOptions,
        folder: &Path,
    ) -> Result<RelayProcess, RelayProcessError> {
        let file = |extension: &str| folder.join(format!("{}.{extension}", options.name));
        let (config, operator_config, log) = (file("json"), file("charter.toml"), file("log"));
        let files_error = |source| RelayProcessError::Files {
            folder: folder.into(),
            source,
        };
        std::fs::write(&config, configuration(fleet, options)).map_err(files_error)?;
        let log_file = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(files_error)?;
        let [program, arguments @ ..] = program else {
            return Err(RelayProcessError::NoProgram);
        };
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env(CONFIG_VARIABLE, &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log_file));
        if let Some(text) = &options.operator_config {
            replace_file(&operator_config, text).map_err(files_error)?;
            command.env(OPERATOR_CONFIG_VARIABLE, &operator_config);
        }
        if let Some(holder) = &options.socket_holder {
            command
                .env(PASSED_SOCKET_VARIABLE, holder.descriptor().to_string())
                .env(RUNTIME_FOLDER_VARIABLE, holder.folder());
        }
        kill_with_parent(&mut command);
        let child = command.spawn().map_err(|source| RelayProcessError::Spawn {
            program: program.clone(),
            source,
        })?;
        Ok(RelayProcess {
            child,
            name: options.name.clone(),
            address: options.listen,
            admin: options.admin,
            config,
            operator_config,
            log,
        })
    }

    /// Waits until the relay is ready.
    ///
    /// # Errors
    /// If it ended, or is not ready in time.
    pub fn wait_ready(&mut self) -> Result<(), RelayProcessError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            if let Some(status) = self.try_wait() {
                return Err(RelayProcessError::Exited {
                    name: self.name.clone(),
                    address: self.address,
                    status,
                    last_line: self.last_log_line(),
                });
            }
            if self.is_ready() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(RelayProcessError::NotReady {
                    name: self.name.clone(),
                    address: self.address,
                });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn is_ready(&self) -> bool {
        // Where another process takes clients too, only the admin port tells whether this one does.
        match self.admin {
            Some(admin) => send_admin_command(admin, "READY", ADMIN_COMMAND_TIMEOUT)
                .is_ok_and(|answer| answer.starts_with("200")),
            None => is_healthy(self.address).unwrap_or(false),
        }
    }

    fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().unwrap_or("it said nothing").to_string()
    }

    /// The file of its configuration.
    pub fn config(&self) -> &Path {
        &self.config
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // It may have ended by itself, which is noticed elsewhere.
            let _ = kill_process(pid, signal);
        }
    }

    /// Replaces its operator configuration and has it read again.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn replace_operator_config(&self, text: &str) -> io::Result<()> {
        replace_file(&self.operator_config, text)?;
        self.send_hangup();
        Ok(())
    }

    /// Pauses the process, or resumes it.
    pub fn set_paused(&self, paused: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Sends SIGHUP: the relay reads its files again.
    pub fn send_hangup(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGTERM: the relay begins its graceful shutdown.
    pub fn request_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it ended, if it has.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; none if it did not end within that time.
    pub fn wait_for_exit(&mut self, within: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + to_std(within);
        loop {
            if let Some(status) = self.try_wait() {
                return Some(status);
            }
            if Instant::now() > deadline {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Its CPU time and resident memory, as of [`process_cost`].
    pub fn cost(&self) -> Option<(Duration, u64)> {
        process_cost(self.child.id())
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Replaces a file as a whole, so that nobody reads half of it.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let fresh = path.with_extension("fresh");
    std::fs::write(&fresh, text)?;
    std::fs::rename(&fresh, path)
}

/// Has the child killed with the thread that starts it, however that ends.
fn kill_with_parent(command: &mut Command) {
    // An interrupt at the terminal is for this process alone, which then ends the child.
    command.process_group(0);
    // SAFETY: the one call between fork and exec is a system call that allocates nothing.
    unsafe {
        command.pre_exec(|| {
            rustix::process::set_parent_process_death_signal(Some(Signal::KILL))
                .map_err(io::Error::from)
        });
    }
}

/// Whether a relay answers a health check at its address for clients.
fn is_healthy(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, HEALTH_CHECK_CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(HEALTH_CHECK_TIMEOUT))?;
    stream.write_all(b"PING\r\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end() == "PONG")
}

/// An address of the loopback range for the relay of this index, at which nobody listens now.
///
/// # Errors
/// If the system gives no port.
pub fn free_address(index: usize) -> io::Result<SocketAddr> {
    let [.., high, low] = (index as u32 + 1).to_be_bytes();
    let process = (std::process::id() % 60) as u8;
    let address = std::net::Ipv4Addr::new(127, 2 + process, high, low);
    std::net::TcpListener::bind((address, 0))?.local_addr()
}
