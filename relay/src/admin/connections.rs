//! The connections of the admin port. Each has one command and one response. Their number is
//! limited: one that has not sent a command stays open only until a new connection needs its place.
use crate::admin::error::AdminError;
use crate::admin::protocol::{self, AdminCommand, MAX_LINE_BYTES};
use crate::io_context::IoContext;
use crate::output_buffer::OutputBuffer;
use crate::sockets::{Connection, ListenerSocket, SocketOwner};
use crate::timers::Timer;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use thistlecroft::time::Duration;

/// The descriptors that are reserved for the admin port, including its listener and the ban store.
pub(crate) const RESERVED_DESCRIPTORS: usize = 24;
const MAX_CONNECTIONS: usize = 16;
/// Most connections that are accepted in one turn.
const MAX_ACCEPTS: usize = 32;
/// A connection that has not sent a complete line within this time is answered with an error.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(5_000);
/// How long the other side has to end its side of the connection after the response. If the relay
/// closed the connection with bytes unread, the response could be lost.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The admin port's listener and its connections.
pub(crate) struct AdminConnections {
    listener: ListenerSocket,
    /// The connections by id; the oldest is the first.
    connections: BTreeMap<u32, AdminConnection>,
    next_id: u32,
    /// The commands that were received in this turn, and those that wait for a later one.
    pub(crate) commands: Vec<ReceivedCommand>,
}

/// A command, and the id of the connection that waits for its response.
pub(crate) struct ReceivedCommand {
    pub(crate) connection: u32,
    pub(crate) command: AdminCommand,
}

struct AdminConnection {
    socket: Connection,
    received: Vec<u8>,
    response: OutputBuffer,
    stage: Stage,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    ReadingCommand,
    /// The command has been received and waits for its response.
    Executing,
    Responding,
    /// The response has been sent; the other side has not ended the connection yet.
    Closing,
}

impl Stage {
    /// Returns the priority for keeping a connection at this stage open. When a new connection needs
    /// a place, one with the lowest priority is closed: first those that have their response, then
    /// those without a complete command.
    fn priority(self) -> u8 {
        match self {
            Stage::Closing => 0,
            Stage::Responding => 1,
            Stage::ReadingCommand => 2,
            Stage::Executing => 3,
        }
    }
}

impl AdminConnections {
    pub(crate) fn new(mut listener: ListenerSocket) -> AdminConnections {
        listener.set_interest(true);
        AdminConnections {
            listener,
            connections: BTreeMap::new(),
            next_id: 0,
            commands: Vec::new(),
        }
    }

    pub(crate) fn accept(&mut self, io: &mut IoContext) {
        for _ in 0..MAX_ACCEPTS {
            let accepted = self
                .listener
                .accept()
                .and_then(|stream| self.adopt(stream, io));
            match accepted {
                Ok(socket) => self.open(socket, io),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                Err(error) => {
                    // The listener stays readable, so the next turn tries again.
                    log::debug!("accepting an admin connection failed; error={error}");
                    return;
                }
            }
        }
    }

    fn adopt(&self, stream: TcpStream, io: &mut IoContext) -> std::io::Result<Connection> {
        let owner = SocketOwner::AdminConnection(self.next_id);
        io.sockets.adopt(owner, stream)
    }

    fn open(&mut self, socket: Connection, io: &mut IoContext) {
        self.make_room(io);
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let connection = AdminConnection {
            socket,
            received: Vec::new(),
            response: OutputBuffer::default(),
            stage: Stage::ReadingCommand,
        };
        self.connections.insert(id, connection);
        io.timers
            .set(io.now + COMMAND_TIMEOUT, Timer::AdminConnection(id));
        self.read(id, io);
    }

    /// Closes one connection if the limit is reached: the one whose stage has the lowest priority,
    /// and of these the oldest.
    fn make_room(&mut self, io: &mut IoContext) {
        if self.connections.len() < MAX_CONNECTIONS {
            return;
        }
        let displaced = self
            .connections
            .iter()
            .min_by_key(|(id, connection)| (connection.stage.priority(), **id));
        let Some((&id, _)) = displaced else { return };
        self.respond(id, Err(AdminError::TooManyConnections), io);
        self.connections.remove(&id);
    }

    pub(crate) fn handle_socket_event(&mut self, id: u32, key: usize, io: &mut IoContext) {
        let connection = self.connections.get(&id);
        if connection.is_some_and(|connection| connection.socket.has_key(key)) {
            self.read(id, io);
            self.write(id, io);
        }
    }

    pub(crate) fn handle_timeout(&mut self, id: u32, io: &mut IoContext) {
        match self.connections.get(&id).map(|connection| connection.stage) {
            Some(Stage::ReadingCommand) => self.respond(id, Err(AdminError::TimedOut), io),
            Some(Stage::Responding | Stage::Closing) => {
                self.connections.remove(&id);
            }
            Some(Stage::Executing) | None => {}
        }
    }

    fn read(&mut self, id: u32, io: &mut IoContext) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let mut bytes = [0; MAX_LINE_BYTES];
        let has_ended = match connection.socket.read(&mut bytes) {
            Ok(0) => true,
            Ok(length) => {
                if connection.stage == Stage::ReadingCommand {
                    connection.received.extend_from_slice(&bytes[..length]);
                }
                false
            }
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                false
            }
            Err(_) => {
                self.connections.remove(&id);
                return;
            }
        };
        match connection.stage {
            Stage::ReadingCommand => self.read_command(id, has_ended, io),
            Stage::Closing if has_ended => {
                self.connections.remove(&id);
            }
            // Only the rest of the response remains to be written.
            Stage::Responding if has_ended => connection.socket.set_interest(false, true),
            Stage::Executing | Stage::Responding | Stage::Closing => {}
        }
    }

    fn read_command(&mut self, id: u32, has_ended: bool, io: &mut IoContext) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match protocol::parse_command(&connection.received, has_ended) {
            Ok(None) => connection.socket.set_interest(true, false),
            Err(error) => self.respond(id, Err(error.into()), io),
            Ok(Some(command)) => {
                connection.stage = Stage::Executing;
                connection.socket.set_interest(false, false);
                self.commands.push(ReceivedCommand {
                    connection: id,
                    command,
                });
            }
        }
    }

    /// Sends the response to a connection that has had none yet.
    pub(crate) fn respond(
        &mut self,
        id: u32,
        result: Result<String, AdminError>,
        io: &mut IoContext,
    ) {
        let connection = self.connections.get_mut(&id);
        let unanswered = connection.filter(|connection| connection.stage <= Stage::Executing);
        let Some(connection) = unanswered else { return };
        connection
            .response
            .push_line(&protocol::response_line(&result));
        connection.stage = Stage::Responding;
        io.counters.calls += 1;
        io.counters.calls_denied += u64::from(result.is_err());
        io.timers
            .set(io.now + CLOSE_TIMEOUT, Timer::AdminConnection(id));
        self.write(id, io);
    }

    fn write(&mut self, id: u32, io: &mut IoContext) {
        let connection = self.connections.get_mut(&id);
        let responding = connection.filter(|connection| connection.stage == Stage::Responding);
        let Some(connection) = responding else { return };
        match connection.response.write_to(&mut connection.socket) {
            Ok(true) => {
                connection.socket.finish_sending();
                connection.stage = Stage::Closing;
                connection.socket.set_interest(true, false);
                // The other side may already have ended the connection.
                self.read(id, io);
            }
            Ok(false) => connection.socket.set_interest(true, true),
            Err(_) => {
                self.connections.remove(&id);
            }
        }
    }

    /// Returns whether no command waits for its response and no response is being sent.
    pub(crate) fn is_idle(&self) -> bool {
        !self
            .connections
            .values()
            .any(|connection| matches!(connection.stage, Stage::Executing | Stage::Responding))
    }
}
