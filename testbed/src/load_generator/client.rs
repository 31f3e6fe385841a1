//! One client of a load generator.
use super::plan::Misbehavior;
use crate::event_recorder::SessionId;
use crate::line_socket::LineSocket;
use std::collections::VecDeque;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// Each client has numbers for so many connections, in bits.
const CONNECTION_NUMBER_BITS: u32 = 20;

/// How far a client is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// It waits before it connects.
    Away,
    Connecting,
    /// It has not written its whole request yet.
    Requesting,
    AwaitingAnswer,
    Established,
    /// It has closed its sending direction and waits for the other side to close.
    Closing,
    /// It was rejected or failed and waits for the other side to close.
    Rejected,
}

/// A client from its arrival until it leaves for good.
pub(super) struct Client {
    /// Its arrival, by its place in the plan.
    pub(super) arrival: usize,
    pub(super) state: ClientState,
    pub(super) socket: Option<LineSocket>,
    /// Grows with each change of its state: timers of an earlier state are ignored.
    pub(super) serial: u64,
    pub(super) session: SessionId,
    /// The number of its last connection, different from those of all clients.
    pub(super) connection_number: u64,
    /// The endpoint that it connects to.
    pub(super) endpoint: usize,
    /// Endpoints in a row that did not take its connection.
    pub(super) failed_connects: u32,
    /// Requests in a row without an established session.
    pub(super) failed_requests: u32,
    /// When it is to connect.
    pub(super) due: Instant,
    /// When it wants to leave, once it was established.
    pub(super) leaves_at: Option<Instant>,
    /// It connects again after an established session.
    pub(super) is_reconnecting: bool,
    /// It connects again after a request without an established session.
    pub(super) is_retrying: bool,
    pub(super) was_established: bool,
    /// The number of its last message in this session.
    pub(super) last_message: u64,
    /// Time in the session before its first message, which stands for that time too.
    pub(super) time_before_first_message: Duration,
    /// Messages that have not come back, with the times of their sending.
    pub(super) outstanding: VecDeque<(u64, Instant)>,
    pub(super) rng: Rng,
    pub(super) misbehavior: Option<Misbehavior>,
}

impl Client {
    /// A client with its number among all clients of the run.
    pub(super) fn new(
        arrival: usize,
        number: u64,
        due: Instant,
        seed: u64,
        misbehavior: Option<Misbehavior>,
    ) -> Client {
        let first_connection = number << CONNECTION_NUMBER_BITS;
        Client {
            arrival,
            state: ClientState::Away,
            socket: None,
            serial: 0,
            session: SessionId(first_connection),
            connection_number: first_connection,
            endpoint: 0,
            failed_connects: 0,
            failed_requests: 0,
            due,
            leaves_at: None,
            is_reconnecting: false,
            is_retrying: false,
            was_established: false,
            last_message: 0,
            time_before_first_message: Duration::ZERO,
            outstanding: VecDeque::new(),
            rng: Rng::from_seed(seed),
            misbehavior,
        }
    }

    /// It connects again after its established session.
    pub(super) fn set_reconnecting(&mut self) {
        (self.is_reconnecting, self.is_retrying) = (true, false);
    }
}
