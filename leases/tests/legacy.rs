//! How processes treat others that know only the legacy lease protocol, as during an upgrade.
mod helper;

use helper::{UPDATE_RATE, config};
use thistlecroft::time::Instant;
use thistlecroft_leases::legacy::{LegacyMessage, LegacyRejectionReason, NO_GENERATION};
use thistlecroft_leases::{ClaimState, Leases, Recipients, RejectionReason, VoterStatus, legacy};
use thistlecroft_peers::Identity;

/// The answer of an older process to a recall.
const RECALL_ANSWER: LegacyMessage = LegacyMessage::Remembered {
    generation: 1,
    established: true,
    epoch: 41,
};

fn at(ms: u64) -> Instant {
    Instant::from_micros(1_000_000 + ms * 1_000)
}

/// Sends a legacy message to a voter and returns its answers in the legacy protocol.
fn legacy_answers(
    voter: &mut Leases,
    from: &Identity,
    message: &LegacyMessage,
    ms: u64,
) -> Vec<LegacyMessage> {
    voter.receive(from, legacy::CHANNEL, &message.encode(), at(ms));
    let outgoing = voter.take_outgoing().into_iter();
    let answers = outgoing.filter(|outgoing| {
        outgoing.channel == legacy::CHANNEL && outgoing.to == Recipients::Process(from.clone())
    });
    answers
        .filter_map(|outgoing| LegacyMessage::decode(&outgoing.bytes))
        .collect()
}

#[test]
fn legacy_processes_are_rejected_in_their_protocol_and_grant_nothing() {
    let mut voter = Leases::new(Identity::new("r0", 2), config(&["r0"], UPDATE_RATE), at(0));
    let (older, older_namesake) = (Identity::new("a", 1), Identity::new("r0", 1));
    // At its start, the voter notifies an older process of its name to stop voting, in the legacy
    // protocol.
    voter.tick(at(0));
    let sent = voter
        .take_outgoing()
        .into_iter()
        .filter(|outgoing| outgoing.channel == legacy::CHANNEL);
    let recall = LegacyMessage::Recall {
        generation: 1,
        starting: true,
    };
    assert!(
        sent.filter_map(|outgoing| LegacyMessage::decode(&outgoing.bytes))
            .any(|message| message == recall)
    );
    // The voter stays silent for a term after the older process's answer, and adopts its epoch.
    legacy_answers(&mut voter, &older_namesake, &RECALL_ANSWER, 1_500);
    voter.tick(at(2_100));
    assert_eq!(voter.voter_status(at(2_100)), VoterStatus::Silent);
    voter.tick(at(3_500));
    assert_eq!(voter.voter_status(at(3_500)), VoterStatus::Voting);
    voter.take_outgoing();
    let request = LegacyMessage::Request {
        generation: 1,
        subject: b"turn".to_vec(),
        round: 7,
        epoch: 50,
    };
    let answers = legacy_answers(&mut voter, &older, &request, 3_600);
    let reason = LegacyRejectionReason::Generation {
        here: NO_GENERATION,
    };
    assert_eq!(
        answers,
        [LegacyMessage::Rejected {
            subject: b"turn".to_vec(),
            round: 7,
            reason
        }]
    );
    let grant = LegacyMessage::Granted {
        generation: 1,
        subject: b"turn".to_vec(),
        round: 7,
        epoch: 1,
    };
    assert_eq!(legacy_answers(&mut voter, &older, &grant, 3_600), []);
    assert_eq!(voter.counts().older_protocol, 3);
    assert_eq!(voter.state(b"turn", at(3_600)), ClaimState::Unwanted);
}

#[test]
fn claim_at_a_legacy_voter_names_the_older_protocol() {
    let mut process = Leases::new(Identity::new("b", 1), config(&["r0"], UPDATE_RATE), at(0));
    process.acquire(b"turn", at(60_000), at(0)).unwrap();
    let older_voter = Identity::new("r0", 1);
    for ms in (0..2_000).step_by(50) {
        process.tick(at(ms));
        for outgoing in process.take_outgoing() {
            let recall = (outgoing.channel == legacy::CHANNEL)
                .then(|| LegacyMessage::decode(&outgoing.bytes));
            if let Some(Some(LegacyMessage::Recall { .. })) = recall {
                process.receive(
                    &older_voter,
                    legacy::CHANNEL,
                    &RECALL_ANSWER.encode(),
                    at(ms),
                );
            }
        }
    }
    assert_eq!(
        process.state(b"turn", at(2_000)),
        ClaimState::Wanted(Some(RejectionReason::OlderProtocol))
    );
}
