//! Handing sessions over to the successor process and adopting those of the predecessor, unnoticed
//! by clients and backends.
use super::shared::Shared;
use super::stage::Disposition::{self, Keep, Remove};
use super::stage::Stage;
use super::state::{Session, SessionMetadata};
use super::table::Sessions;
use super::used_ids::IdNotice;
use crate::attempt::Attempt;
use crate::discovery::registry::EndpointRegistry;
use crate::driver::Event;
use crate::hot_restart::channel::Channel;
use crate::hot_restart::messages::{Message, SessionHandover, WaitingBytes};
use crate::io_context::IoContext;
use crate::line_buffer::LineBuffer;
use crate::sockets::{Connection, SocketOwner};
use crate::timers::Timer;
use std::os::fd::OwnedFd;
use thistlecroft::attempt::{Arrival, AttemptOutcome};
use thistlecroft::ids::{BackendId, RouteId, SessionId};
use thistlecroft::time::{Duration, Instant};

/// Waiting sessions that are checked per turn for whether they can be offered.
const MAX_OFFER_CANDIDATES_PER_TURN: usize = 64;

/// The interval between two checks of the sessions waiting to be offered.
const OFFER_INTERVAL: Duration = Duration::from_millis(10);

/// The time that the successor has to answer an offer. After it the session stays in this process
/// and is migrated, as if there were no successor.
const OFFER_TIMEOUT: Duration = Duration::from_millis(500);

/// Descriptors per handed-over session: the client's connection and the backend's.
const DESCRIPTORS_PER_SESSION: usize = 2;

/// Whether a session can be offered to the successor.
enum Readiness {
    Ready,
    /// The session may become ready.
    NotYet,
    /// The session is ending or has been offered already.
    Never,
}

impl Sessions {
    /// Starts offering sessions to the successor: all established ones, and the others once they
    /// are established.
    pub(crate) fn start_handover(&mut self, io: &mut IoContext) {
        self.offers.waiting = self.sessions.keys().copied().collect();
        io.timers.set(io.now, Timer::OfferSessions);
    }

    /// Offers sessions to the successor, up to the limit of open offers.
    ///
    /// # Errors
    /// The connection to the successor is broken.
    pub(crate) fn offer_sessions(
        &mut self,
        successor: &Channel,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> std::io::Result<()> {
        let candidates = self.offers.waiting.len().min(MAX_OFFER_CANDIDATES_PER_TURN);
        for _ in 0..candidates {
            if self.offers.is_full() {
                break;
            }
            let Some(id) = self.offers.waiting.pop_front() else {
                break;
            };
            let Some(session) = self.sessions.get_mut(&id) else {
                continue;
            };
            match session.handover_readiness() {
                Readiness::Ready if session.send_offer(successor, registry)? => {
                    self.offers.offer_sent();
                    io.timers
                        .set(io.now + OFFER_TIMEOUT, Timer::OfferTimeout(id));
                }
                Readiness::Ready | Readiness::NotYet => self.offers.waiting.push_back(id),
                Readiness::Never => {}
            }
        }
        if !self.offers.waiting.is_empty() {
            io.timers.set(io.now + OFFER_INTERVAL, Timer::OfferSessions);
        }
        Ok(())
    }

    /// Handles the successor's acceptance of a session: releases the session to the successor, then
    /// drops it here without writing to the client or the backend.
    ///
    /// # Errors
    /// The connection to the successor is broken or takes no further message.
    pub(crate) fn handover_accepted(
        &mut self,
        id: u32,
        successor: &Channel,
        io: &mut IoContext,
    ) -> std::io::Result<()> {
        if !self.is_offered(id) {
            return Ok(());
        }
        if !successor.send(&Message::Released { serial: id }, &[], &[])? {
            return Err(std::io::Error::other(
                "the channel to the successor is full: the successor does not read",
            ));
        }
        self.offers.offer_resolved();
        self.step(id, io, |session, shared, io| {
            io.counters.handed += 1;
            // The successor remembers the id from now on.
            if session.single_use.take().is_some() {
                shared.used_ids.release_handed_over();
            }
            session.report_session_end(AttemptOutcome::Cancelled, io);
            Remove
        });
        Ok(())
    }

    /// Keeps a session whose offer the successor declined or did not answer. Returns whether the
    /// session had been offered.
    pub(crate) fn handover_declined(&mut self, id: u32, io: &mut IoContext) -> bool {
        let is_offered = self.is_offered(id);
        if is_offered {
            self.offers.offer_resolved();
            self.step(id, io, |session, _, io| session.resume_after_offer(io));
        }
        is_offered
    }

    /// Keeps all sessions, since there is no successor any more.
    pub(crate) fn cancel_handover(&mut self, io: &mut IoContext) {
        self.offers.waiting.clear();
        let offered: Vec<u32> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.stage == Stage::HandingOver)
            .map(|(&id, _)| id)
            .collect();
        for id in offered {
            self.handover_declined(id, io);
        }
    }

    /// Begins to tell the other process of ids that must not be repeated, and returns all that it
    /// needs to know now.
    pub(crate) fn start_sharing_ids(&mut self, now: Instant) -> Vec<IdNotice> {
        let open = self
            .sessions
            .values()
            .filter(|session| session.single_use.is_some())
            .filter_map(|session| session.open_id);
        self.shared.used_ids.start_sharing(open, now)
    }

    /// Returns what the other process has not been told yet.
    pub(crate) fn take_id_notices(&mut self) -> Vec<IdNotice> {
        self.shared.used_ids.take_notices()
    }

    /// Takes in what the other process has told of its ids.
    pub(crate) fn apply_id_notices(&mut self, notices: Vec<IdNotice>, now: Instant) {
        for notice in notices {
            self.shared.used_ids.apply(notice, now);
        }
    }

    /// Handles the end of another process; `is_last` tells whether no other is left.
    pub(crate) fn stop_sharing_ids(&mut self, is_last: bool, now: Instant) {
        if is_last {
            self.shared.used_ids.stop_sharing();
        }
        let timeouts = self.shared.protocol_settings.client_timeouts.iter();
        let longest_wait = timeouts.copied().max().unwrap_or(Duration::ZERO);
        self.shared.used_ids.end_elsewhere(longest_wait, now);
    }

    fn is_offered(&self, id: u32) -> bool {
        let session = self.sessions.get(&id);
        session.is_some_and(|session| session.stage == Stage::HandingOver)
    }

    /// Returns whether there are descriptors for one more session of the predecessor. Descriptors
    /// open in the predecessor don't count, since it closes its own once this process adopts the
    /// session.
    pub(crate) fn can_adopt(io: &mut IoContext) -> bool {
        io.claim_descriptors_for_adoption(DESCRIPTORS_PER_SESSION)
    }

    /// Adopts a session that the predecessor has released, with the bytes that waited to be written
    /// to the backend and to the client.
    ///
    /// # Errors
    /// A connection could not be set up, or there is no buffer for the bytes. The session is lost.
    pub(crate) fn adopt(
        &mut self,
        handover: &SessionHandover,
        [client, backend]: [OwnedFd; 2],
        (to_backend, to_client): (&[u8], &[u8]),
        registry: &mut EndpointRegistry,
        io: &mut IoContext,
    ) -> std::io::Result<()> {
        let id = self.next_id;
        let backend_id = registry.find_or_insert(&handover.backend);
        let client = io.sockets.adopt(SocketOwner::Client(id), client.into())?;
        let backend = io.sockets.adopt(SocketOwner::Attempt(id), backend.into())?;
        let mut restore = |bytes, line_bytes| {
            LineBuffer::restore(bytes, line_bytes, &mut io.buffers)
                .ok_or_else(|| std::io::Error::other("no free buffer for the waiting bytes"))
        };
        let to_backend = restore(to_backend, handover.to_backend.complete)?;
        let to_client = restore(to_client, handover.to_client.complete)?;
        self.next_id = self.next_id.wrapping_add(1);

        let mut session = Session::new(id, client, io.now, io.now);
        (session.to_backend, session.to_client) = (to_backend, to_client);
        session.restore(handover, backend_id, backend, io.now);
        let arrival = session.restore_route(handover, &mut self.shared);
        session.watch_response(io);
        self.sessions.insert(id, session);
        io.counters.adopted += 1;
        let id = SessionId(id);
        io.events
            .push_back(Event::SessionInherited(id, backend_id, arrival));
        if let Some(load) = handover.load {
            io.events.push_back(Event::LoadObserved(id, load));
        }
        self.step(id.0, io, |_, _, _| Keep);
        Ok(())
    }
}

impl Session {
    /// Returns whether the session can be offered to the successor.
    fn handover_readiness(&self) -> Readiness {
        match self.stage {
            Stage::Handshake | Stage::Placing | Stage::Inherited => Readiness::NotYet,
            Stage::Established => {
                let is_ending = self.relaying.is_end_reported
                    || self.to_backend.has_ended
                    || self.to_client.has_ended
                    || self.relaying.final_message.is_some()
                    || self.close_at.is_some();
                if is_ending {
                    Readiness::Never
                } else if self.output.has_pending() || self.placement.hedge.is_some() {
                    Readiness::NotYet
                } else {
                    Readiness::Ready
                }
            }
            Stage::HandingOver | Stage::Closing | Stage::Draining => Readiness::Never,
        }
    }

    /// Offers the session to the successor. Returns false if the offer could not be sent at
    /// present.
    ///
    /// # Errors
    /// The connection to the successor is broken.
    fn send_offer(
        &mut self,
        successor: &Channel,
        registry: &EndpointRegistry,
    ) -> std::io::Result<bool> {
        let (Some(attempt), Some(metadata), Some(open_id)) =
            (&self.attempt, &self.metadata, self.open_id)
        else {
            return Ok(false);
        };
        let (to_backend, to_backend_lines) = self.to_backend.waiting_bytes();
        let (to_client, to_client_lines) = self.to_client.waiting_bytes();
        let message = Message::Session(SessionHandover {
            serial: self.id,
            id: open_id,
            listener: metadata.listener.clone(),
            client_key: metadata.client_key,
            group: metadata.group,
            backend: registry.name(attempt.backend).to_string(),
            last_line_at_us: self.last_activity.as_micros(),
            awaiting_since_us: self.relaying.latency.pending_since.map(Instant::as_micros),
            reported_latency_us: self.relaying.latency.reported.as_micros(),
            load: metadata.load,
            to_backend: WaitingBytes {
                total: to_backend.len(),
                complete: to_backend_lines,
            },
            to_client: WaitingBytes {
                total: to_client.len(),
                complete: to_client_lines,
            },
        });
        let descriptors = [self.client.descriptor(), attempt.connection.descriptor()];
        if !successor.send(&message, &[to_backend, to_client], &descriptors)? {
            return Ok(false);
        }
        self.stage = Stage::HandingOver;
        self.update_interests();
        Ok(true)
    }

    /// Continues a session that was offered but stays in this process.
    fn resume_after_offer(&mut self, io: &mut IoContext) -> Disposition {
        self.stage = Stage::Established;
        let metadata = self.metadata.as_ref();
        if metadata.is_some_and(|metadata| metadata.is_migration_due) {
            return self.migrate(io);
        }
        self.relaying.latency.is_timer_set = false;
        self.watch_response(io);
        Keep
    }

    /// Restores the state that the predecessor held for the session, with the backend's connection.
    fn restore(
        &mut self,
        handover: &SessionHandover,
        backend: BackendId,
        connection: Connection,
        now: Instant,
    ) {
        self.stage = Stage::Established;
        self.was_established = true;
        self.attempt = Some(Attempt::adopted(backend, connection, now));
        self.last_activity = Instant::from_micros(handover.last_line_at_us);
        self.relaying.latency.pending_since = handover.awaiting_since_us.map(Instant::from_micros);
        self.relaying.latency.reported = Duration::from_micros(handover.reported_latency_us);
        self.metadata = Some(Box::new(SessionMetadata {
            listener: handover.listener.clone(),
            client_key: handover.client_key,
            group: handover.group,
            load: handover.load,
            is_migration_due: false,
        }));
    }

    /// Finds the session's route in this process, reserves the session's id, and returns the arrival
    /// for the balancer.
    fn restore_route(&mut self, handover: &SessionHandover, shared: &mut Shared) -> Arrival {
        // The listener may be missing from the present settings. The route of an adopted session
        // only decides how it may be migrated, so the first listener is used then.
        let listener = shared
            .protocol_settings
            .listeners
            .iter()
            .position(|name| *name == handover.listener)
            .unwrap_or(0);
        let row = shared.routes.route_for(
            listener,
            handover.client_key.unwrap_or_default(),
            handover.group,
        );
        let route = shared.bind_route(row);
        let client_timeout = shared.protocol_settings.client_timeouts[listener];
        if shared.open_ids.insert(handover.id) {
            self.open_id = Some(handover.id);
            self.single_use = shared.reserve_adopted_single_use(
                handover.id,
                route.idempotency,
                client_timeout,
                self.last_activity,
            );
        }
        self.route = Some(route);
        Arrival {
            route: RouteId(row as u16),
            client_key: handover.client_key,
            group: handover
                .group
                .filter(|_| shared.protocol_settings.has_groups),
            timeout: Duration::ZERO,
        }
    }
}
