//! A lease has one holder at a time, and its epochs grow.
use super::invariant::{ClusterInvariant, ClusterViolation};
use crate::event_recorder::{Observation, RecordedEvent, RelayIndex};
use std::collections::BTreeMap;
use thistlecroft::time::Instant;

/// A relay's answer that it holds a lease.
///
/// The relay looked at its lease between the request and the answer. So it held the lease from the
/// answer at the latest, until the time that it had left, counted from the request, whatever became
/// of the relay meanwhile: whoever got the answer may act by it. Where this leaves no time, nothing
/// is known.
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

/// What is known of the lease of one subject.
struct LeaseHistory<'a> {
    subject: &'a str,
    /// The last interval in which each relay held it.
    held: BTreeMap<RelayIndex, (Instant, Instant)>,
    epoch_owners: BTreeMap<u64, RelayIndex>,
    /// The highest epoch known at each answer.
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
                "relays {} and {} hold \"{subject}\" at once",
                other.0, claim.relay.0
            );
            report(ClusterInvariant::SingleLeaseHolder, description);
        }
        let owner = *self.epoch_owners.entry(claim.epoch).or_insert(claim.relay);
        if owner != claim.relay {
            let description = format!(
                "relays {} and {} both hold \"{subject}\" by epoch {}",
                owner.0, claim.relay.0, claim.epoch
            );
            report(ClusterInvariant::IncreasingEpochs, description);
        }
        if let Some(before) = self.higher_epoch(claim) {
            let description = format!(
                "\"{subject}\" is held by epoch {} after {before}",
                claim.epoch
            );
            report(ClusterInvariant::IncreasingEpochs, description);
        }
        self.add(claim);
    }

    /// Another relay that holds the lease while the claim holds.
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

    /// The highest epoch that was known before the request, if it is higher than the claim's.
    fn higher_epoch(&self, claim: &Claim) -> Option<u64> {
        self.highest_epochs
            .iter()
            .rev()
            .find(|(answered_at, _)| *answered_at < claim.requested_at)
            .map(|(_, epoch)| *epoch)
            .filter(|epoch| *epoch > claim.epoch)
    }

    fn add(&mut self, claim: &Claim) {
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
