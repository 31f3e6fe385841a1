//! Checks that a lease has at most one holder at a time and that its epochs increase.
use super::invariant::{ClusterInvariant, ClusterViolation};
use crate::event_recorder::{Observation, RecordedEvent, RelayIndex};
use std::collections::BTreeMap;
use thistlecroft::time::Instant;

/// A relay's answer that it holds a lease.
///
/// The relay read the state of its lease at some time between the request and the answer. It thus
/// held the lease from the answer at the latest, until the remaining time of the answer, counted
/// from the request, had passed. What happened to the relay in the meantime does not matter,
/// because the client may rely on the answer. If the remaining time had passed before the answer
/// arrived, the claim proves nothing.
struct Claim {
    relay: RelayIndex,
    epoch: u64,
    requested_at: Instant,
    answered_at: Instant,
    valid_until: Instant,
}

pub(super) fn check(events: &[RecordedEvent]) -> Vec<ClusterViolation> {
    let mut claims: BTreeMap<&str, Vec<Claim>> = BTreeMap::new();
    for RecordedEvent { at, observation } in events {
        if let Observation::LeaseClaimed {
            relay,
            subject,
            epoch,
            requested_at,
            valid_until,
        } = observation
        {
            claims.entry(subject).or_default().push(Claim {
                relay: *relay,
                epoch: *epoch,
                requested_at: *requested_at,
                answered_at: *at,
                valid_until: *valid_until,
            });
        }
    }
    let mut violations = Vec::new();
    for (subject, mut claims) in claims {
        claims.sort_by_key(|claim| claim.answered_at);
        let mut lease = LeaseHistory::new(subject);
        for claim in &claims {
            lease.check(claim, &mut violations);
        }
    }
    violations
}

/// What the claims have shown so far about the lease of one subject.
struct LeaseHistory<'a> {
    subject: &'a str,
    /// The last interval in which each relay held the lease.
    held: BTreeMap<RelayIndex, (Instant, Instant)>,
    epoch_owners: BTreeMap<u64, RelayIndex>,
    /// The highest epoch known after each answer.
    highest_epochs: Vec<(Instant, u64)>,
}

impl LeaseHistory<'_> {
    fn new(subject: &str) -> LeaseHistory<'_> {
        LeaseHistory {
            subject,
            held: BTreeMap::new(),
            epoch_owners: BTreeMap::new(),
            highest_epochs: Vec::new(),
        }
    }

    fn check(&mut self, claim: &Claim, violations: &mut Vec<ClusterViolation>) {
        let subject = self.subject;
        let mut report = |invariant, description| {
            violations.push(ClusterViolation {
                invariant,
                at: claim.answered_at,
                description,
            });
        };
        if let Some(other) = self.other_holder(claim) {
            let description = format!(
                "relays {} and {} hold the lease of \"{subject}\" at the same time",
                other.0, claim.relay.0
            );
            report(ClusterInvariant::SingleLeaseHolder, description);
        }
        let owner = *self.epoch_owners.entry(claim.epoch).or_insert(claim.relay);
        if owner != claim.relay {
            let description = format!(
                "relays {} and {} both hold the lease of \"{subject}\" with epoch {}",
                owner.0, claim.relay.0, claim.epoch
            );
            report(ClusterInvariant::IncreasingEpochs, description);
        }
        if let Some(before) = self.higher_epoch(claim) {
            let description = format!(
                "the lease of \"{subject}\" is held with epoch {} after epoch {before}",
                claim.epoch
            );
            report(ClusterInvariant::IncreasingEpochs, description);
        }
        self.record(claim);
    }

    /// Returns another relay that held the lease at a time covered by the claim.
    fn other_holder(&self, claim: &Claim) -> Option<RelayIndex> {
        let overlaps = |from: Instant, until: Instant| {
            from < claim.valid_until
                && claim.answered_at < until
                && claim.answered_at < claim.valid_until
        };
        self.held
            .iter()
            .find(|(relay, (from, until))| **relay != claim.relay && overlaps(*from, *until))
            .map(|(relay, _)| *relay)
    }

    /// Returns the highest epoch that was known before the request, if it is higher than the
    /// claim's.
    fn higher_epoch(&self, claim: &Claim) -> Option<u64> {
        self.highest_epochs
            .iter()
            .rev()
            .find(|(answered_at, _)| *answered_at < claim.requested_at)
            .map(|(_, epoch)| *epoch)
            .filter(|epoch| *epoch > claim.epoch)
    }

    fn record(&mut self, claim: &Claim) {
        let highest = self.highest_epochs.last().map_or(0, |(_, epoch)| *epoch);
        self.highest_epochs
            .push((claim.answered_at, highest.max(claim.epoch)));
        if claim.answered_at >= claim.valid_until {
            return;
        }
        let (from, until) = self
            .held
            .get(&claim.relay)
            .copied()
            .unwrap_or((claim.answered_at, claim.valid_until));
        let continues = claim.answered_at <= until;
        let from = if continues { from } else { claim.answered_at };
        self.held
            .insert(claim.relay, (from, until.max(claim.valid_until)));
    }
}
