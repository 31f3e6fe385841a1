//! The configuration of a load generator and the commands that control it.
use crate::event_recorder::RelayIndex;
use crate::traffic::{Arrival, Traffic};
use std::net::SocketAddr;
use thistlecroft::time::{Duration, Instant};

/// An endpoint for clients: a relay, or a backend in a baseline run without relays.
#[derive(Clone, Copy, Debug)]
pub struct RelayEndpoint {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The relay; `None` if the endpoint is a backend.
    pub relay: Option<RelayIndex>,
    /// Whether clients connect to the endpoint at present.
    pub enabled: bool,
}

/// How clients are distributed over the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDistribution {
    /// Each endpoint in turn.
    RoundRobin,
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest connections of this load generator.
    LeastConnections,
}

/// How a client violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Connects and sends nothing.
    Silent,
    /// Sends half a request and nothing after it.
    PartialLine,
    /// Sends a line that is not a request.
    Garbage,
    /// Sends a message before it gets the answer to its request.
    EarlyData,
    /// Sends messages as fast as it can once it is established, and reads none.
    NeverReads,
}

impl Misbehavior {
    /// All kinds of misbehavior with their names in scenarios.
    pub const ALL: [(Misbehavior, &'static str); 5] = [
        (Misbehavior::Silent, "clients-silent"),
        (Misbehavior::PartialLine, "clients-half-a-line"),
        (Misbehavior::Garbage, "clients-garbage"),
        (Misbehavior::EarlyData, "clients-talk"),
        (Misbehavior::NeverReads, "clients-unreading"),
    ];
}

/// A command to a load generator during a run.
#[derive(Clone, Debug)]
pub enum LoadCommand {
    /// Sets whether clients connect to the endpoint of this index.
    SetEndpointEnabled(usize, bool),
    /// Resets this number of established sessions at once. Their clients connect again, spread over
    /// this time.
    DropConnections(usize, Duration),
    /// Adds this number of clients that violate the protocol.
    AddMisbehaving(Misbehavior, usize),
    /// Ends all arrivals and closes established sessions.
    Finish,
}

/// The text of the note that is recorded once after [`LoadCommand::Finish`], when the last client
/// has gone.
pub const ALL_CLIENTS_GONE: &str = "all clients have gone";

/// The configuration of a load generator.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// How clients behave.
    pub traffic: Traffic,
    /// The arrivals of this load generator, with their numbers among all arrivals of the run.
    pub arrivals: Vec<(u64, Arrival)>,
    /// The end of the run; requested time after it doesn't count.
    pub end: Instant,
    /// Where clients connect.
    pub endpoints: Vec<RelayEndpoint>,
    /// How clients are distributed over the endpoints.
    pub distribution: ClientDistribution,
    /// The seed of the random numbers that belong to no single client.
    pub seed: u64,
}
