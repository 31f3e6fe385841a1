//! Dispatches readiness events, timers and commands to the load generator.
use super::client::ClientState;
use super::generator::{LoadGenerator, Timer};
use super::plan::LoadCommand;
use super::totals::LoadTotals;
use crate::event_loop::{EventHandler, LoopContext};
use crate::event_recorder::Observation;

impl LoadGenerator {
    /// Sends the request of a client whose attempt to connect has succeeded.
    fn on_connecting(&mut self, key: usize, writable: bool, context: &mut LoopContext<Timer>) {
        let Some(socket) = self.clients[key].socket.as_ref().filter(|_| writable) else {
            return;
        };
        match socket.is_connected() {
            Ok(true) => self.send_request(key, context),
            Ok(false) => {}
            Err(_) => self.on_connect_failed(key, context),
        }
    }

    /// Handles the end of the time limit to connect or to answer.
    fn on_timeout(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &self.clients[key];
        if client.state == ClientState::Connecting {
            return self.on_connect_failed(key, context);
        }
        context.record(Observation::AnswerTimedOut {
            session: client.session,
        });
        self.listener_totals(key).unanswered += 1;
        self.on_rejected(key, None, context);
        self.retry(key, context);
    }

    /// Resets the connection of an impatient client and removes the client.
    fn on_leave(&mut self, key: usize, context: &LoopContext<Timer>) {
        let client = &self.clients[key];
        context.record(Observation::ClientLeft {
            session: client.session,
        });
        if let Some(socket) = &client.socket {
            socket.reset_on_close();
        }
        self.remove_client(key, context);
    }

    /// Stops waiting for the peer to close the connection.
    fn on_close_timeout(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &self.clients[key];
        if client.state == ClientState::Rejected {
            return self.retry(key, context);
        }
        context.record(Observation::SessionClosed {
            session: client.session,
        });
        self.remove_client(key, context);
    }

    /// Ends all arrivals and closes established sessions.
    fn finish(&mut self, context: &mut LoopContext<Timer>) {
        self.is_finishing = true;
        let keys: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            let client = &self.clients[key];
            match client.state {
                _ if client.misbehavior.is_some() => self.remove_client(key, context),
                ClientState::Established => self.send_message(key, context),
                ClientState::Idle | ClientState::Connecting => self.remove_client(key, context),
                ClientState::Requesting
                | ClientState::AwaitingAnswer
                | ClientState::Closing
                | ClientState::Rejected => {}
            }
        }
        self.record_end(context);
    }
}

impl EventHandler for LoadGenerator {
    type Timer = Timer;
    type Command = LoadCommand;
    type Totals = LoadTotals;

    fn on_ready(&mut self, key: usize, writable: bool, context: &mut LoopContext<Timer>) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let Some(socket) = &mut client.socket else {
            return;
        };
        if client.state == ClientState::Connecting {
            return self.on_connecting(key, writable, context);
        }
        let is_broken = socket.read().and_then(|_| socket.flush()).is_err();
        socket.update_interest();
        self.on_request_written(key, context);
        self.on_lines(key, context);
        let socket = self
            .clients
            .get(key)
            .and_then(|client| client.socket.as_ref());
        if socket.is_some_and(|socket| is_broken || socket.peer_closed) {
            self.on_closed(key, context);
        }
    }

    fn on_timer(&mut self, timer: Timer, context: &mut LoopContext<Timer>) {
        let id = match timer {
            Timer::Arrival => return self.on_arrivals_due(context),
            Timer::Connect(id)
            | Timer::Timeout(id)
            | Timer::Leave(id)
            | Timer::NextMessage(id)
            | Timer::CloseTimeout(id) => id,
        };
        let Some(key) = self.current_key(id) else {
            return;
        };
        match timer {
            Timer::Connect(_) => self.connect(key, context),
            Timer::Timeout(_) => self.on_timeout(key, context),
            Timer::Leave(_) => self.on_leave(key, context),
            Timer::NextMessage(_) if self.clients[key].misbehavior.is_some() => {
                self.flood(key, context);
            }
            Timer::NextMessage(_) => self.send_message(key, context),
            Timer::CloseTimeout(_) => self.on_close_timeout(key, context),
            Timer::Arrival => {}
        }
    }

    fn on_command(&mut self, command: LoadCommand, context: &mut LoopContext<Timer>) {
        match command {
            LoadCommand::SetEndpointEnabled(endpoint, enabled) => {
                self.endpoints[endpoint].enabled = enabled;
            }
            LoadCommand::DropConnections(count, spread) => {
                self.drop_connections(count, spread, context);
            }
            LoadCommand::AddMisbehaving(misbehavior, count) => {
                self.add_misbehaving(misbehavior, count, context);
            }
            LoadCommand::Finish => self.finish(context),
        }
    }

    fn into_totals(mut self, context: &LoopContext<Timer>) -> LoadTotals {
        self.totals.longest_turn = context.longest_turn;
        self.totals.busy_time = context.busy_time;
        self.totals
    }
}
