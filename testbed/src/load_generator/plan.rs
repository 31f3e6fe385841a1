//! The configuration of a load generator and the commands that it takes.
use crate::event_recorder::RelayIndex;
use crate::traffic::{Arrival, Traffic};
use std::net::SocketAddr;
use thistlecroft::time::{Duration, Instant};

/// Where clients connect: a relay, or a backend itself in a baseline run.
#[derive(Clone, Copy, Debug)]
pub struct RelayEndpoint {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The relay; none where it is a backend.
    pub relay: Option<RelayIndex>,
    /// Whether clients are sent to it at present.
    pub enabled: bool,
}

/// How clients are distributed over the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDistribution {
    /// To each in turn.
    RoundRobin,
    /// At random.
    Random,
    /// To the one with the fewest connections of this load generator.
    LeastConnections,
}

/// How a client breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Connects and sends nothing.
    Silent,
    /// Sends half a request and nothing after it.
    PartialLine,
    /// Sends a line that is no request.
    Garbage,
    /// Sends messages before its answer.
    EarlyData,
    /// Sends messages as fast as it can once it is established, and reads none.
    NeverReads,
}

impl Misbehavior {
    /// All kinds with their names in scenarios.
    pub const ALL: [(Misbehavior, &'static str); 5] = [
        (Misbehavior::Silent, "clients-silent"),
        (Misbehavior::PartialLine, "clients-half-a-line"),
        (Misbehavior::Garbage, "clients-garbage"),
        (Misbehavior::EarlyData, "clients-talk"),
        (Misbehavior::NeverReads, "clients-unreading"),
    ];
}

/// What can be ordered while a run goes on.
#[derive(Clone, Debug)]
pub enum LoadCommand {
    /// Sends clients to the endpoint of this index, or no longer does.
    SetEndpointEnabled(usize, bool),
    /// Resets so many established sessions at once; their clients connect again, spread over this
    /// time.
    DropConnections(usize, Duration),
    /// Adds so many clients that break the protocol.
    AddMisbehaving(Misbehavior, usize),
    /// Ends all arrivals, and has established clients leave.
    Finish,
}

/// The text of the note that is recorded once after [`LoadCommand::Finish`], when the last client
/// has gone.
pub const ALL_CLIENTS_GONE: &str = "all clients have gone";

/// What a load generator is to do.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// How clients behave.
    pub traffic: Traffic,
    /// The arrivals of this load generator, with their numbers among all arrivals of the run.
    pub arrivals: Vec<(u64, Arrival)>,
    /// The end of the run, up to which requested time counts.
    pub end: Instant,
    /// Where clients connect.
    pub endpoints: Vec<RelayEndpoint>,
    /// How clients are distributed over the endpoints.
    pub distribution: ClientDistribution,
    /// Seeds what is drawn by the load generator itself.
    pub seed: u64,
}
