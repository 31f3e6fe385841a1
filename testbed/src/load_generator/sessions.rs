//! How clients handle answers, messages and the end of their sessions.
use super::client::ClientState;
use super::generator::{LoadGenerator, Timer};
use super::protocol::{self, SessionLine};
use super::totals::record_latency;
use crate::event_loop::LoopContext;
use crate::event_recorder::{Answer, Observation};
use thistlecroft::time::{Duration, Instant};

/// How long a client waits for the peer to close after closing its own sending direction.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a client waits for the peer to close after its request was rejected or failed.
const REJECTED_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// A message that takes longer to come back is recorded as late.
const LATE_MESSAGE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// The smallest factor of the mean backoff for the wait before a retry; the greatest is larger by
/// one.
const MIN_BACKOFF_FACTOR: f64 = 0.5;

impl LoadGenerator {
    /// Handles all complete lines of a client.
    pub(super) fn on_lines(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        while let Some(line) = self
            .clients
            .get_mut(key)
            .and_then(|client| client.socket.as_mut()?.next_line())
        {
            let client = &self.clients[key];
            if let Some(misbehavior) = client.misbehavior {
                self.on_misbehaving_line(key, misbehavior, &line, context);
                continue;
            }
            match client.state {
                ClientState::AwaitingAnswer => self.on_answer(key, &line, context),
                ClientState::Established | ClientState::Closing => {
                    self.on_session_line(key, &line, context);
                }
                ClientState::Rejected => context.record(Observation::DataAfterAnswer {
                    session: client.session,
                }),
                ClientState::Idle | ClientState::Connecting | ClientState::Requesting => {}
            }
        }
    }

    fn on_answer(&mut self, key: usize, line: &str, context: &mut LoopContext<Timer>) {
        let answer = protocol::parse_answer(line);
        context.record(Observation::Answered {
            session: self.clients[key].session,
            answer,
        });
        match answer {
            Answer::Accepted => self.on_accepted(key, context),
            Answer::Rejected(retry_after) => {
                self.listener_totals(key).rejected += 1;
                self.on_rejected(key, retry_after, context);
            }
            Answer::Failed => {
                self.listener_totals(key).failed += 1;
                self.on_rejected(key, None, context);
            }
        }
    }

    fn on_accepted(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let lifetime = self.arrival(key).lifetime;
        let interval = self.traffic.message_interval;
        let client = &self.clients[key];
        let (setup, was_established) = (
            context.now.duration_since(client.due),
            client.was_established,
        );
        let totals = self.listener_totals(key);
        totals.accepted += 1;
        if !was_established {
            record_latency(&mut totals.setup_latency, setup);
        }
        let client = &mut self.clients[key];
        client.was_established = true;
        client.failed_requests = 0;
        client.leaves_at.get_or_insert(context.now + lifetime);
        client.outstanding.clear();
        // The first message comes at a random time, so that clients that were established together
        // don't send their messages together.
        let first_message = interval * client.rng.unit_f64();
        client.time_before_first_message = first_message;
        let id = self.set_state(key, ClientState::Established);
        context.set_timer(context.now + first_message, Timer::NextMessage(id));
    }

    /// Handles a rejected or failed request: waits for the peer to close, and determines when the
    /// client is due to retry.
    pub(super) fn on_rejected(
        &mut self,
        key: usize,
        retry_after: Option<Duration>,
        context: &mut LoopContext<Timer>,
    ) {
        let id = self.set_state(key, ClientState::Rejected);
        let backoff = self.traffic.backoff;
        let heeds_retry_after = self.arrival(key).heeds_retry_after;
        let client = &mut self.clients[key];
        client.is_retrying = true;
        // Drawn in any case, so that the answer doesn't change the sequence of random numbers.
        let backoff_wait = backoff * (MIN_BACKOFF_FACTOR + client.rng.unit_f64());
        let wait = retry_after.filter(|_| heeds_retry_after);
        client.due = context.now + wait.unwrap_or(backoff_wait);
        context.set_timer(
            context.now + REJECTED_CLOSE_TIMEOUT,
            Timer::CloseTimeout(id),
        );
    }

    /// Schedules the retry of a client without an established session, or gives up.
    pub(super) fn retry(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &mut self.clients[key];
        client.failed_requests += 1;
        if client.failed_requests > self.traffic.retries || self.is_finishing {
            let gave_up = u64::from(!self.is_finishing);
            self.listener_totals(key).gave_up += gave_up;
            return self.remove_client(key, context);
        }
        let wait = client.due.duration_since(context.now);
        self.reconnect_after(key, wait, context);
    }

    /// Schedules a client whose established session has ended to connect again.
    fn reconnect(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let (min_delay, max_delay) = self.traffic.reconnect_delay;
        let client = &mut self.clients[key];
        client.set_reconnecting();
        let delay = min_delay + (max_delay - min_delay) * client.rng.unit_f64();
        self.reconnect_after(key, delay, context);
    }

    fn on_session_line(&mut self, key: usize, line: &str, context: &mut LoopContext<Timer>) {
        let session = self.clients[key].session;
        match SessionLine::parse(line) {
            SessionLine::Load => {}
            SessionLine::Migrate => {
                context.record(Observation::Migrated { session });
                self.listener_totals(key).migrated += 1;
                self.reconnect(key, context);
            }
            SessionLine::Closing => {
                context.record(Observation::SessionClosed { session });
                self.remove_client(key, context);
            }
            SessionLine::Message => {
                let expected = self.clients[key].outstanding.front().copied();
                match expected {
                    Some((number, sent_at)) if line == protocol::message(session, number) => {
                        self.on_message_returned(key, sent_at, context);
                    }
                    _ => {
                        context.record(Observation::MessageMismatched { session });
                        self.totals.mismatched_messages += 1;
                    }
                }
            }
        }
    }

    fn on_message_returned(&mut self, key: usize, sent_at: Instant, context: &LoopContext<Timer>) {
        let interval = self.traffic.message_interval;
        let target = self.profile(key).message_target;
        let client = &mut self.clients[key];
        client.outstanding.pop_front();
        let session = client.session;
        let waited = context.now.duration_since(sent_at);
        // The message accounts for the interval after it or the rest of the session, whichever is
        // shorter, and the first message also for the time before it.
        let remaining = client.leaves_at.map_or(Duration::ZERO, |leaves_at| {
            leaves_at.duration_since(sent_at)
        });
        let time_before = std::mem::take(&mut client.time_before_first_message);
        let seconds = (time_before + interval.min(remaining)).as_secs_f64();
        let totals = self.listener_totals(key);
        record_latency(&mut totals.message_latency, waited);
        if waited <= target {
            totals.served_seconds += seconds;
        }
        if waited > LATE_MESSAGE_THRESHOLD {
            context.record(Observation::MessageLate { session, waited });
        }
    }

    /// Sends the next message, or closes the session if the client wants to leave.
    pub(super) fn send_message(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &mut self.clients[key];
        let Some(socket) = &mut client.socket else {
            return;
        };
        let leaves = client
            .leaves_at
            .is_some_and(|leaves_at| context.now >= leaves_at);
        if self.is_finishing || leaves {
            socket.finish_sending();
            let id = self.set_state(key, ClientState::Closing);
            return context.set_timer(context.now + CLOSE_TIMEOUT, Timer::CloseTimeout(id));
        }
        client.last_message += 1;
        client
            .outstanding
            .push_back((client.last_message, context.now));
        let line = protocol::message(client.session, client.last_message) + "\r\n";
        if socket.send(line.as_bytes()).is_err() {
            return self.on_closed(key, context);
        }
        socket.update_interest();
        self.set_message_timer(key, self.traffic.message_interval, context);
    }

    /// Sets the timer for a client's next message, which is ignored if the state changes before.
    pub(super) fn set_message_timer(
        &self,
        key: usize,
        delay: Duration,
        context: &mut LoopContext<Timer>,
    ) {
        let id = self.client_id(key);
        context.set_timer(context.now + delay, Timer::NextMessage(id));
    }

    /// Handles a connection that the peer has closed or reset.
    pub(super) fn on_closed(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &self.clients[key];
        let (session, state) = (client.session, client.state);
        if client.misbehavior.is_some() {
            self.totals.misbehaving_answered += 1;
            return self.remove_client(key, context);
        }
        match state {
            ClientState::Connecting | ClientState::Requesting => {
                self.on_connect_failed(key, context);
            }
            ClientState::AwaitingAnswer => {
                context.record(Observation::ClosedUnanswered { session });
                self.listener_totals(key).failed += 1;
                self.on_rejected(key, None, context);
                self.retry(key, context);
            }
            ClientState::Established => {
                context.record(Observation::ConnectionLost { session });
                self.listener_totals(key).connections_lost += 1;
                self.reconnect(key, context);
            }
            ClientState::Closing => {
                context.record(Observation::SessionClosed { session });
                self.remove_client(key, context);
            }
            ClientState::Rejected => self.retry(key, context),
            ClientState::Idle => {}
        }
    }

    /// Resets `count` established sessions, chosen evenly among all of them. Their clients connect
    /// again, each after a random delay of up to `spread`.
    pub(super) fn drop_connections(
        &mut self,
        count: usize,
        spread: Duration,
        context: &mut LoopContext<Timer>,
    ) {
        let established: Vec<usize> = self
            .clients
            .iter()
            .filter(|(_, client)| {
                client.state == ClientState::Established && client.misbehavior.is_none()
            })
            .map(|(key, _)| key)
            .collect();
        let count = count.min(established.len());
        for number in 0..count {
            let key = established[number * established.len() / count];
            let client = &mut self.clients[key];
            context.record(Observation::SessionClosed {
                session: client.session,
            });
            if let Some(socket) = &client.socket {
                socket.reset_on_close();
            }
            client.set_reconnecting();
            let delay = spread * self.rng.unit_f64();
            self.reconnect_after(key, delay, context);
        }
    }
}
