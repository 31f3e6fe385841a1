//! A relay's process: start, signals and exit.
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

/// The time within which a relay must be ready after its start.
const START_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
/// The time within which a relay must answer an admin command.
pub const ADMIN_COMMAND_TIMEOUT: Duration = Duration::from_millis(1_000);
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);
const HEALTH_CHECK_CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);
const HEALTH_CHECK_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
const OPERATOR_CONFIG_VARIABLE: &str = "THISTLECROFT_CHARTER";
const PASSED_SOCKET_VARIABLE: &str = "ROUTER_PASSED_SOCKET";
const RUNTIME_FOLDER_VARIABLE: &str = "TMPDIR";

/// A relay's process, which is killed when this value is dropped.
pub struct RelayProcess {
    child: Child,
    name: String,
    /// The address at which the relay listens for clients.
    pub address: SocketAddr,
    /// The address at which the relay listens for admin commands, if it has an admin port.
    pub admin: Option<SocketAddr>,
    config_path: PathBuf,
    operator_config_path: PathBuf,
    log_path: PathBuf,
}

impl RelayProcess {
    /// Starts a relay and waits until it is ready. `program` is the command and its arguments;
    /// configuration and log are written into `folder`.
    ///
    /// # Errors
    /// Returns an error if the relay's files can't be written, or if the program can't be started,
    /// ends, or is not ready in time.
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

    /// Starts a relay as [`RelayProcess::start`] does, but without waiting, so that many relays can
    /// start at the same time.
    ///
    /// # Errors
    /// Returns an error if the relay's files can't be written or the program can't be started.
    pub fn spawn(
        program: &[String],
        fleet: &FleetConfig,
        options: &RelayOptions,
        folder: &Path,
    ) -> Result<RelayProcess, RelayProcessError> {
        let file = |extension: &str| folder.join(format!("{}.{extension}", options.name));
        let (config_path, operator_config_path, log_path) =
            (file("json"), file("charter.toml"), file("log"));
        let files_error = |source| RelayProcessError::Files {
            folder: folder.into(),
            source,
        };
        std::fs::write(&config_path, configuration(fleet, options)).map_err(files_error)?;
        let log_file = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&log_path)
            .map_err(files_error)?;
        let [program, arguments @ ..] = program else {
            return Err(RelayProcessError::NoProgram);
        };
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env(CONFIG_VARIABLE, &config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log_file));
        if let Some(text) = &options.operator_config {
            replace_file(&operator_config_path, text).map_err(files_error)?;
            command.env(OPERATOR_CONFIG_VARIABLE, &operator_config_path);
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
            config_path,
            operator_config_path,
            log_path,
        })
    }

    /// Waits until the relay is ready.
    ///
    /// # Errors
    /// Returns an error if the process ended, or is not ready in time.
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
        // During a hot restart another process may accept clients at the same address, so that only
        // the admin port tells whether this process is ready.
        match self.admin {
            Some(admin) => send_admin_command(admin, "READY", ADMIN_COMMAND_TIMEOUT)
                .is_ok_and(|answer| answer.starts_with("200")),
            None => is_healthy(self.address).unwrap_or(false),
        }
    }

    fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        log.lines().last().unwrap_or("its log is empty").to_string()
    }

    /// Returns the path of the relay's configuration file.
    pub fn config_path(&self) -> &Path {
        &self.config_path
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // Fails if the process has already ended, which `try_wait` reports.
            let _ = kill_process(pid, signal);
        }
    }

    /// Replaces the operator configuration and makes the relay reload it.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn replace_operator_config(&self, text: &str) -> io::Result<()> {
        replace_file(&self.operator_config_path, text)?;
        self.send_hangup();
        Ok(())
    }

    /// Pauses or resumes the process.
    pub fn set_paused(&self, paused: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Sends SIGHUP, on which the relay reloads its files.
    pub fn send_hangup(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGTERM, on which the relay begins its graceful shutdown.
    pub fn request_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status of the process, or `None` if it still runs.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process exits and returns its exit status, or `None` if it still runs after
    /// the given time.
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

    /// Returns the CPU time and resident memory of the process, as [`process_cost`] does.
    pub fn cost(&self) -> Option<(Duration, u64)> {
        process_cost(self.child.id())
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Replaces a file atomically, so that no reader sees a partly written one.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let new_file = path.with_extension("fresh");
    std::fs::write(&new_file, text)?;
    std::fs::rename(&new_file, path)
}

/// Makes the system kill the child when the thread that starts it ends, for whatever reason.
fn kill_with_parent(command: &mut Command) {
    // Keeps an interrupt at the terminal from the child: only this process receives it, and ends
    // the child.
    command.process_group(0);
    // SAFETY: the closure runs between fork and exec and makes only one system call, which
    // allocates nothing.
    unsafe {
        command.pre_exec(|| {
            rustix::process::set_parent_process_death_signal(Some(Signal::KILL))
                .map_err(io::Error::from)
        });
    }
}

/// Returns whether a relay answers a health check at its address for clients.
fn is_healthy(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, HEALTH_CHECK_CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(HEALTH_CHECK_TIMEOUT))?;
    stream.write_all(b"PING\r\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end() == "PONG")
}
