//! How an epoch is chosen and confirmed, with one owner and three scripted voters.
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{
    CHANNEL, ClaimState, Electorate, LeaseConfig, Leases, Message, Recipients, RejectionReason,
    SessionToken, Update, Updated,
};
use thistlecroft_peers::Identity;

const TERM: Duration = Duration::from_millis(2_000);
const SUBJECT: &[u8] = b"shard";

/// The owner, and its pending request to each voter.
struct Script {
    owner: Leases,
    now: Instant,
    requests: BTreeMap<String, Update>,
}

impl Script {
    fn new() -> Script {
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
        let mut script = Script {
            owner,
            now,
            requests: BTreeMap::new(),
        };
        script
            .owner
            .acquire(SUBJECT, now + Duration::from_millis(60_000), now)
            .unwrap();
        script.advance(0);
        script
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.owner.tick(self.now);
        self.take_requests();
    }

    fn take_requests(&mut self) {
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

    /// The voter grants its last request, and knows this epoch.
    fn confirm(&mut self, voter: &str, epoch: u64) {
        let update = self
            .requests
            .remove(voter)
            .unwrap_or_else(|| panic!("{voter} got no request"));
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

    fn reject(&mut self, voter: &str, reason: RejectionReason) {
        let update = self
            .requests
            .remove(voter)
            .unwrap_or_else(|| panic!("{voter} got no request"));
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
        self.take_requests();
    }

    fn epoch(&self) -> Option<u64> {
        match self.owner.state(SUBJECT, self.now) {
            ClaimState::Held(held) => Some(held.epoch),
            _ => None,
        }
    }

    /// These voters open sessions and attach the subject.
    fn attach_at(&mut self, voters: &[&str], epoch: u64) {
        voters.iter().for_each(|voter| self.confirm(voter, epoch));
        voters.iter().for_each(|voter| self.confirm(voter, epoch));
    }
}

#[test]
fn claim_is_held_once_a_majority_confirms_the_highest_epoch() {
    let mut script = Script::new();
    script.attach_at(&["r0"], 7);
    script.attach_at(&["r1"], 9);
    assert_eq!(
        script.epoch(),
        None,
        "attached by a majority, but the epoch is not confirmed"
    );
    assert_eq!(
        (script.requests["r0"].epoch, script.requests["r1"].epoch),
        (10, 10)
    );
    script.confirm("r0", 10);
    assert_eq!(script.epoch(), None, "confirmed by one voter");
    script.confirm("r1", 10);
    assert_eq!(script.epoch(), Some(10));
    // A third attachment changes nothing.
    script.attach_at(&["r2"], 11);
    assert_eq!(script.epoch(), Some(10));
}

#[test]
fn voter_that_attaches_after_the_epoch_is_chosen_does_not_confirm_it() {
    let mut script = Script::new();
    script.attach_at(&["r0", "r1"], 7);
    assert_eq!(script.requests["r0"].epoch, 8);
    script.confirm("r0", 8);
    // One voter that had attached it has restarted. At the third, another process held the subject
    // meanwhile, with epoch 12.
    script.reject("r1", RejectionReason::UnknownSession);
    script.attach_at(&["r2"], 12);
    assert_eq!(
        script.epoch(),
        None,
        "two voters know an epoch of at least 8, but 8 is not above all that they knew"
    );
    // The next attempt chooses a higher epoch.
    for _ in 0..40 {
        script.advance(50);
        for (voter, known) in [("r0", 8), ("r2", 12)] {
            if let Some(request) = script.requests.get(voter) {
                let known = known.max(request.epoch);
                script.confirm(voter, known);
            }
        }
    }
    assert_eq!(script.epoch(), Some(13));
}

#[test]
fn late_answer_does_not_restore_an_expired_epoch() {
    let mut script = Script::new();
    script.attach_at(&["r0", "r1"], 7);
    script.confirm("r0", 8);
    script.confirm("r1", 8);
    assert_eq!(script.epoch(), Some(8));
    // Renewals are sent in time, but the answers arrive after the lease has expired.
    script.advance(700);
    script.now = script.now + TERM;
    script.confirm("r0", 8);
    script.confirm("r1", 8);
    assert_eq!(script.epoch(), None);
    assert_eq!(script.requests["r0"].epoch, 9);
    script.confirm("r0", 9);
    script.confirm("r1", 9);
    assert_eq!(script.epoch(), Some(9));
}
