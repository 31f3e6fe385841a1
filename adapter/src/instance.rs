//! One instance: a balancer, and the identifiers of its sessions and backends.
use crate::driver::WireDriver;
use crate::error::EventError;
use crate::ids::IdMap;
use crate::wire::{self, Batch, Event, Fields, Layout, Observation, Reply};
use thistlecroft::balancer::Balancer;
use thistlecroft::endpoint::Endpoint;
use thistlecroft::ids::SessionId;
use thistlecroft::time::Instant;
use thistlecroft_settings::Settings;

/// A running instance of the balancer.
pub(crate) struct Instance {
    number: u16,
    balancer: Balancer,
    ids: IdMap,
    layout: Layout,
}

impl Instance {
    /// Starts an instance with these settings, which are JSON text.
    pub(crate) fn start(
        number: u16,
        seed: u64,
        settings: &[u8],
        now: Instant,
        reply: &mut Reply,
    ) -> Result<Instance, EventError> {
        let Settings {
            deployment,
            report_fields,
            ..
        } = thistlecroft_settings::parse(settings)?;
        let layout = Layout {
            report_fields,
            listener_count: deployment.routes.len(),
        };
        let mut ids = IdMap::default();
        let mut driver = WireDriver {
            instance: number,
            ids: &mut ids,
            reply,
        };
        let balancer = Balancer::new(deployment, seed, now, &mut driver);
        Ok(Instance {
            number,
            balancer,
            ids,
            layout,
        })
    }

    /// Decodes an event and applies it to the balancer.
    pub(crate) fn handle(
        &mut self,
        batch: &Batch,
        record: Fields,
        now: Instant,
        reply: &mut Reply,
    ) -> Result<(), EventError> {
        let event = wire::decode(batch, record, &self.layout)?;
        let Instance {
            number,
            balancer,
            ids,
            ..
        } = self;
        let mut driver = WireDriver {
            instance: *number,
            ids,
            reply,
        };
        apply(balancer, event, now, &mut driver)
    }
}

/// Applies an event to a balancer. Events of sessions that the balancer has released are ignored.
fn apply(
    balancer: &mut Balancer,
    event: Event,
    now: Instant,
    driver: &mut WireDriver,
) -> Result<(), EventError> {
    match event {
        Event::EndpointsUpdated { kind, endpoints } => {
            let endpoints = endpoints.iter().map(|entry| driver.ids.endpoint(entry));
            let endpoints: Vec<Endpoint> = endpoints.collect();
            balancer.update_endpoints(kind, &endpoints);
        }
        Event::DiscoveryFailed => balancer.discovery_failed(now, driver),
        Event::SessionArrived { session, arrival } => {
            let session = driver.ids.add_session(session);
            balancer.session_arrived(now, session, arrival, driver);
        }
        Event::SessionInherited {
            session,
            backend,
            arrival,
        } => {
            let backend = driver.ids.backend_or_add(backend);
            let session = driver.ids.add_session(session);
            balancer.session_inherited(now, session, backend, arrival, driver);
        }
        Event::AttemptReady { session, attempt } => {
            if let Some(session) = driver.ids.session(session) {
                balancer.attempt_ready(now, session, attempt, driver);
            }
        }
        Event::AttemptEnded { session, end } => {
            if let Some(session) = driver.ids.session(session) {
                balancer.attempt_ended(now, session, end, driver);
            }
        }
        Event::SessionLeft { session } => {
            if let Some(session) = driver.ids.session(session) {
                balancer.session_left(session, driver);
            }
        }
        Event::Observed {
            session,
            observation,
        } => {
            if let Some(session) = driver.ids.session(session) {
                observe(balancer, session, observation, now, driver)?;
            }
        }
        Event::Wake => balancer.wake(now, driver),
        Event::HealthChecked {
            backend,
            outcome,
            report,
        } => {
            if let Some(backend) = driver.ids.backend(backend) {
                balancer.health_checked(now, backend, outcome, report);
            }
        }
        Event::PeerMessage => {}
    }
    Ok(())
}

fn observe(
    balancer: &mut Balancer,
    session: SessionId,
    observation: Observation,
    now: Instant,
    driver: &mut WireDriver,
) -> Result<(), EventError> {
    match observation {
        Observation::Load(load) => balancer.load_observed(session, load),
        Observation::Latency(latency) => balancer.latency_observed(now, session, latency, driver),
        Observation::Unknown(code) => return Err(EventError::UnknownObservation { code }),
    }
    Ok(())
}
