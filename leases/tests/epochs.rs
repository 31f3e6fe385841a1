//! How a process chooses an epoch and voters confirm it, with one process and three scripted
//! voters.
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{
    CHANNEL, ClaimState, Electorate, LeaseConfig, Leases, Message, Recipients, RejectionReason,
    SessionToken, Update, Updated,
};
use thistlecroft_peers::Identity;

const TERM: Duration = Duration::from_millis(2_000);
const SUBJECT: &[u8] = b"shard";

/// A process that claims one subject, and its pending request to each voter.
struct OwnerHarness {
    owner: Leases,
    now: Instant,
    requests: BTreeMap<String, Update>,
}

impl OwnerHarness {
    fn new() -> OwnerHarness {
        let voters = ["r0", "r1", "r2"].map(Into::into).to_vec();
        let electorate = Electorate {
            generation: 1,
            voters,
            previous_voters: Vec::new(),
        };
        let config = LeaseConfig {
            electorate,
            term: TERM,
            update_rate: 32_768,
        };
        let now = Instant::from_micros(1_000_000);
        let owner = Leases::new(Identity::new("owner", 1), config, now);
        let mut harness = OwnerHarness {
            owner,
            now,
            requests: BTreeMap::new(),
        };
        harness
            .owner
            .acquire(SUBJECT, now + Duration::from_millis(60_000), now)
            .unwrap();
        harness.advance(0);
        harness
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.owner.tick(self.now);
        self.collect_requests();
    }

    fn collect_requests(&mut self) {
        for outgoing in self.owner.take_outgoing() {
            let Recipients::Voter(name) = outgoing.to else {
                continue;
            };
            if outgoing.channel == CHANNEL
                && let Some(Message::Update(update)) = Message::decode(&outgoing.bytes)
            {
                self.requests.insert(name.to_string(), update);
            }
        }
    }

    /// Lets a voter confirm the pending request. `epoch` is the highest epoch known to the voter.
    fn confirm(&mut self, voter: &str, epoch: u64) {
        let update = self
            .requests
            .remove(voter)
            .unwrap_or_else(|| panic!("voter {voter} has no pending request"));
        let session = update.session.unwrap_or(SessionToken(7));
        let (generation, sequence, rejected) = (1, update.sequence, Vec::new());
        let answer = Updated {
            generation,
            sequence,
            session,
            epoch,
            rejected,
        };
        self.answer(voter, Message::Updated(answer));
    }

    /// Lets a voter reject the pending request.
    fn reject(&mut self, voter: &str, reason: RejectionReason) {
        let update = self
            .requests
            .remove(voter)
            .unwrap_or_else(|| panic!("voter {voter} has no pending request"));
        self.answer(
            voter,
            Message::Rejected {
                generation: 1,
                sequence: update.sequence,
                reason,
            },
        );
    }

    fn answer(&mut self, voter: &str, message: Message) {
        self.owner
            .receive_message(&Identity::new(voter, 1), message, self.now);
        self.collect_requests();
    }

    /// Returns the epoch of the holding, if the process holds the subject.
    fn epoch(&self) -> Option<u64> {
        match self.owner.state(SUBJECT, self.now) {
            ClaimState::Held(held) => Some(held.epoch),
            _ => None,
        }
    }

    /// Lets these voters open sessions and attach the subject, knowing this epoch.
    fn attach_at(&mut self, voters: &[&str], epoch: u64) {
        voters.iter().for_each(|voter| self.confirm(voter, epoch));
        voters.iter().for_each(|voter| self.confirm(voter, epoch));
    }
}

#[test]
fn claim_is_held_once_a_majority_confirms_the_highest_epoch() {
    let mut harness = OwnerHarness::new();
    harness.attach_at(&["r0"], 7);
    harness.attach_at(&["r1"], 9);
    assert_eq!(
        harness.epoch(),
        None,
        "attached by a majority, but the epoch is not confirmed"
    );
    assert_eq!(
        (harness.requests["r0"].epoch, harness.requests["r1"].epoch),
        (10, 10)
    );
    harness.confirm("r0", 10);
    assert_eq!(harness.epoch(), None, "confirmed by one voter");
    harness.confirm("r1", 10);
    assert_eq!(harness.epoch(), Some(10));
    // An attachment at the third voter changes nothing.
    harness.attach_at(&["r2"], 11);
    assert_eq!(harness.epoch(), Some(10));
}

#[test]
fn voter_that_attaches_after_the_epoch_is_chosen_does_not_confirm_it() {
    let mut harness = OwnerHarness::new();
    harness.attach_at(&["r0", "r1"], 7);
    assert_eq!(harness.requests["r0"].epoch, 8);
    harness.confirm("r0", 8);
    // One voter that had attached the subject has restarted. At the third voter, another process
    // held the subject meanwhile, with epoch 12.
    harness.reject("r1", RejectionReason::UnknownSession);
    harness.attach_at(&["r2"], 12);
    assert_eq!(
        harness.epoch(),
        None,
        "two voters know an epoch of at least 8, but 8 is not above all that they knew"
    );
    // The next attempt chooses a higher epoch.
    for _ in 0..40 {
        harness.advance(50);
        for (voter, known) in [("r0", 8), ("r2", 12)] {
            if let Some(request) = harness.requests.get(voter) {
                let known = known.max(request.epoch);
                harness.confirm(voter, known);
            }
        }
    }
    assert_eq!(harness.epoch(), Some(13));
}

#[test]
fn late_answer_does_not_restore_an_expired_epoch() {
    let mut harness = OwnerHarness::new();
    harness.attach_at(&["r0", "r1"], 7);
    harness.confirm("r0", 8);
    harness.confirm("r1", 8);
    assert_eq!(harness.epoch(), Some(8));
    // Renewals are sent in time, but the answers arrive after the lease has expired.
    harness.advance(700);
    harness.now = harness.now + TERM;
    harness.confirm("r0", 8);
    harness.confirm("r1", 8);
    assert_eq!(harness.epoch(), None);
    assert_eq!(harness.requests["r0"].epoch, 9);
    harness.confirm("r0", 9);
    harness.confirm("r1", 9);
    assert_eq!(harness.epoch(), Some(9));
}
