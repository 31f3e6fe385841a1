//! One client of a load generator.
use super::plan::Misbehavior;
use crate::event_recorder::SessionId;
use crate::line_socket::LineSocket;
use std::collections::VecDeque;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// The number of low bits of a connection number that count the connections of one client.
const CONNECTION_NUMBER_BITS: u32 = 20;

/// The state of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// The client is not connected, and waits until it is due to connect.
    Idle,
    Connecting,
    /// The client is connected but has not written its whole request yet.
    Requesting,
    AwaitingAnswer,
    Established,
    /// The client has closed its sending direction and waits for the peer to close.
    Closing,
    /// The request was rejected or failed, and the client waits for the peer to close.
    Rejected,
}

/// A client from its arrival until it leaves for good.
pub(super) struct Client {
    /// The index of the client's arrival in the plan.
    pub(super) arrival: usize,
    pub(super) state: ClientState,
    pub(super) socket: Option<LineSocket>,
    /// Changes with each change of the state, so that timers of an earlier state are ignored.
    pub(super) serial: u64,
    pub(super) session: SessionId,
    /// The number of the client's last connection, unique among the connections of all clients.
    pub(super) connection_number: u64,
    /// The index of the endpoint that the client connects to.
    pub(super) endpoint: usize,
    /// Consecutive attempts to connect that failed.
    pub(super) failed_connects: u32,
    /// Consecutive requests that established no session.
    pub(super) failed_requests: u32,
    /// When the client is due to connect.
    pub(super) due: Instant,
    /// When the client wants to leave; set when its first session is established.
    pub(super) leaves_at: Option<Instant>,
    /// Whether the client connects again after an established session.
    pub(super) is_reconnecting: bool,
    /// Whether the client connects again after a request that established no session.
    pub(super) is_retrying: bool,
    pub(super) was_established: bool,
    /// The number of the last message that the client sent.
    pub(super) last_message: u64,
    /// Time in the session before the first message, which is served if that message is.
    pub(super) time_before_first_message: Duration,
    /// Numbers of the messages that have not been echoed yet, with the times at which they were
    /// sent.
    pub(super) outstanding: VecDeque<(u64, Instant)>,
    pub(super) rng: Rng,
    pub(super) misbehavior: Option<Misbehavior>,
}

impl Client {
    /// Creates a client with a number that is unique among all clients of the run.
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
            state: ClientState::Idle,
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

    /// Marks that the client connects again after an established session.
    pub(super) fn set_reconnecting(&mut self) {
        (self.is_reconnecting, self.is_retrying) = (true, false);
    }
}
