//! Commands of operators about peers, notes and leases.
use super::Peers;
use super::view::{MembersView, NotesView};
use crate::admin::protocol::PeerCommand;
use crate::io_context::IoContext;
use thistlecroft::time::Instant;
use thistlecroft_leases::{AcquireError, ClaimState, RejectionReason};
use thistlecroft_peers::EntryKind;

/// A lease that no operator has asked for within this many lease terms is released.
const LEASE_INTEREST_TERMS: f64 = 3.0;

/// Why a command about peers is refused. The texts are the answers at the admin port.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerCommandError {
    #[error("too long, or too many notes of this relay")]
    NoteRefused,
    #[error("there are no leases (peers.voters in the charter)")]
    NoVoters,
    #[error("{0}")]
    LeaseRefused(AcquireError),
    /// No majority of voters has granted the lease yet.
    #[error("asked for")]
    LeasePending,
    #[error("{}", reason_text(.0))]
    LeaseNotHeld(RejectionReason),
}

fn reason_text(reason: &RejectionReason) -> String {
    match reason {
        RejectionReason::Held { by } => format!("held by {by}"),
        RejectionReason::HeldByAnother => "held by another relay".into(),
        RejectionReason::Silent => "voters are silent after their start".into(),
        RejectionReason::Generation { here } => format!("voters go by generation {here}"),
        RejectionReason::AtCapacity => "voters hold as many leases as they may".into(),
        RejectionReason::UnknownSession => "asked for anew: voters have restarted".into(),
        RejectionReason::OlderProtocol => {
            "voters speak an older lease protocol: upgrade them".into()
        }
    }
}

impl Peers {
    /// Executes a command, and returns the answer to the operator.
    ///
    /// # Errors
    /// Returns why the command is refused, or why the lease is not held here.
    pub(crate) fn execute(
        &mut self,
        command: &PeerCommand,
        io: &mut IoContext,
    ) -> Result<String, PeerCommandError> {
        let now = io.now;
        let result = match command {
            PeerCommand::Members => Ok(MembersView::new(self, now).to_json()),
            PeerCommand::Notes => Ok(NotesView::new(&self.node, now).to_json()),
            PeerCommand::Announce { subject, value } => self.announce(subject, value, now),
            PeerCommand::Lease(subject) => self.check_lease(subject),
            PeerCommand::Release(subject) => self.release_lease(subject, now),
        };
        self.send_and_schedule(io);
        result
    }

    fn announce(
        &mut self,
        subject: &str,
        value: &str,
        now: Instant,
    ) -> Result<String, PeerCommandError> {
        let (subject, value) = (subject.as_bytes(), value.as_bytes());
        if self.node.announce(EntryKind::Note, subject, value, now) {
            Ok("told".into())
        } else {
            Err(PeerCommandError::NoteRefused)
        }
    }

    /// Requests a lease, and checks whether this relay holds it at the time of the answer. The
    /// clock is read again, since the time of the event loop's turn is too early if the process was
    /// paused since then.
    fn check_lease(&mut self, subject: &str) -> Result<String, PeerCommandError> {
        let now = self.clock.now();
        let wanted_until = now + self.config.lease_duration * LEASE_INTEREST_TERMS;
        let leases = self.leases.as_mut().ok_or(PeerCommandError::NoVoters)?;
        leases
            .acquire(subject.as_bytes(), wanted_until, now)
            .map_err(PeerCommandError::LeaseRefused)?;
        match leases.state(subject.as_bytes(), now) {
            ClaimState::Held(held) => {
                // Confirmations that have expired are removed, so that there are never more than
                // leases that can be wanted at once.
                self.confirmed_until.retain(|_, until| *until > now);
                self.confirmed_until
                    .insert(subject.as_bytes().to_vec(), held.until);
                let remaining = held.until.duration_since(now);
                Ok(format!("held {} {}", held.epoch, remaining.as_millis()))
            }
            ClaimState::Wanted(Some(reason)) => Err(PeerCommandError::LeaseNotHeld(reason)),
            ClaimState::Wanted(None) | ClaimState::Unwanted => Err(PeerCommandError::LeasePending),
        }
    }

    fn release_lease(&mut self, subject: &str, now: Instant) -> Result<String, PeerCommandError> {
        let leases = self.leases.as_mut().ok_or(PeerCommandError::NoVoters)?;
        leases.release(subject.as_bytes(), now);
        self.confirmed_until.remove(subject.as_bytes());
        Ok("released".into())
    }
}
