//! How a single voter answers requests, sessions and recalls.
mod helper;

use helper::{UPDATE_RATE, config};
use thistlecroft::time::Instant;
use thistlecroft_leases::{
    ClaimState, Leases, Message, Recipients, RejectionReason, SessionToken, Update,
};
use thistlecroft_peers::Identity;

const SUBJECT: &[u8] = b"turn";

/// A single voter that receives messages directly.
struct VoterHarness {
    leases: Leases,
}

impl VoterHarness {
    fn new() -> VoterHarness {
        VoterHarness {
            leases: Leases::new(Identity::new("r0", 1), config(&["r0"], UPDATE_RATE), at(0)),
        }
    }

    /// Sends a message to the voter and returns its answer to that process, if it gives one.
    fn answer(&mut self, from: &Identity, message: Message, ms: u64) -> Option<Message> {
        self.leases.tick(at(ms));
        self.leases.take_outgoing();
        self.leases.receive_message(from, message, at(ms));
        let answers = self.leases.take_outgoing();
        let to_sender = answers
            .into_iter()
            .find(|outgoing| outgoing.to == Recipients::Process(from.clone()));
        to_sender.and_then(|outgoing| Message::decode(&outgoing.bytes))
    }

    /// Opens a session at the voter.
    fn session(&mut self, from: &Identity, sequence: u32, ms: u64) -> SessionToken {
        match self.answer(from, update(sequence, None, &[], &[]), ms) {
            Some(Message::Updated(updated)) => updated.session,
            other => panic!("the voter opened no session: {other:?}"),
        }
    }

    /// Opens a session for a process of this name.
    fn client(&mut self, name: &str, sequence: u32, ms: u64) -> Client {
        let identity = Identity::new(name, 1);
        let session = self.session(&identity, sequence, ms);
        Client { identity, session }
    }

    fn attach(
        &mut self,
        client: &Client,
        sequence: u32,
        subjects: &[&[u8]],
        ms: u64,
    ) -> Option<Message> {
        let request = update(sequence, Some(client.session), subjects, &[]);
        self.answer(&client.identity, request, ms)
    }

    fn detach(
        &mut self,
        client: &Client,
        sequence: u32,
        subjects: &[&[u8]],
        ms: u64,
    ) -> Option<Message> {
        let request = update(sequence, Some(client.session), &[], subjects);
        self.answer(&client.identity, request, ms)
    }
}

/// A process and its session at the voter.
struct Client {
    identity: Identity,
    session: SessionToken,
}

fn at(ms: u64) -> Instant {
    Instant::from_micros(1_000_000 + ms * 1_000)
}

fn update(
    sequence: u32,
    session: Option<SessionToken>,
    attach: &[&[u8]],
    detach: &[&[u8]],
) -> Message {
    let all = |subjects: &[&[u8]]| subjects.iter().map(|subject| subject.to_vec()).collect();
    let (attach, detach) = (all(attach), all(detach));
    Message::Update(Update {
        generation: 1,
        sequence,
        session,
        epoch: 0,
        detach,
        attach,
    })
}

/// Returns whether the voter carried out the whole request.
fn is_carried_out(answer: Option<Message>) -> bool {
    matches!(answer, Some(Message::Updated(updated)) if updated.rejected.is_empty())
}

fn is_held_by_another(answer: Option<Message>) -> bool {
    let held =
        |(_, reason): &(u16, RejectionReason)| matches!(reason, RejectionReason::Held { .. });
    matches!(answer, Some(Message::Updated(updated)) if updated.rejected.iter().any(held))
}

fn is_rejected_for(answer: Option<Message>, expected: &RejectionReason) -> bool {
    matches!(answer, Some(Message::Rejected { reason, .. }) if reason == *expected)
}

#[test]
fn late_repeated_or_unknown_requests_change_nothing() {
    let mut voter = VoterHarness::new();
    let early_request = update(1, None, &[], &[]);
    let early_answer = voter.answer(&Identity::new("a", 1), early_request, 1_999);
    assert!(
        is_rejected_for(early_answer, &RejectionReason::Silent),
        "the voter may have granted leases before its start"
    );
    let first = voter.client("a", 2, 2_000);
    assert!(is_carried_out(voter.attach(&first, 5, &[SUBJECT], 2_000)));
    // A detachment with an earlier sequence number arrives late, and one with the same number as
    // the last request.
    assert_eq!(voter.detach(&first, 4, &[SUBJECT], 2_010), None);
    assert_eq!(voter.detach(&first, 5, &[SUBJECT], 2_010), None);
    let second = voter.client("b", 1, 2_020);
    assert!(is_held_by_another(voter.attach(
        &second,
        2,
        &[SUBJECT],
        2_020
    )));
    // A detachment by another process frees nothing, with its own token or with the holder's.
    assert!(is_carried_out(voter.detach(&second, 3, &[SUBJECT], 2_030)));
    let with_token_of_first = update(4, Some(first.session), &[], &[SUBJECT]);
    let answer = voter.answer(&second.identity, with_token_of_first, 2_030);
    assert!(is_rejected_for(answer, &RejectionReason::UnknownSession));
    assert!(is_held_by_another(voter.attach(
        &second,
        5,
        &[SUBJECT],
        2_040
    )));
    assert!(is_carried_out(voter.detach(&first, 6, &[SUBJECT], 2_050)));
    assert!(is_carried_out(voter.attach(&second, 6, &[SUBJECT], 2_060)));
    // An attachment that was sent before a detachment arrives after it and changes nothing.
    assert_eq!(voter.attach(&first, 3, &[b"late"], 2_070), None);
    assert!(is_carried_out(voter.attach(&second, 7, &[b"late"], 2_080)));
}

#[test]
fn request_of_another_generation_is_rejected() {
    let mut voter = VoterHarness::new();
    let client = Identity::new("a", 1);
    let session = voter.session(&client, 2, 2_000);
    for generation in [0, 2] {
        let Message::Update(mut other) = update(9, Some(session), &[], &[]) else {
            unreachable!()
        };
        other.generation = generation;
        let answer = voter.answer(&client, Message::Update(other), 2_090);
        assert!(is_rejected_for(
            answer,
            &RejectionReason::Generation { here: 1 }
        ));
    }
}

#[test]
fn malformed_bytes_are_no_message() {
    assert!(Message::decode(&[250, 1, 2]).is_none() && Message::decode(&[]).is_none());
}

#[test]
fn lapsed_session_is_renewable_only_while_complete() {
    let mut voter = VoterHarness::new();
    let first = voter.client("a", 1, 2_000);
    assert!(is_carried_out(voter.attach(
        &first,
        2,
        &[SUBJECT, b"more"],
        2_000
    )));
    let second = voter.client("b", 1, 2_000);
    // The session lapsed at 4,000 ms, but no subject of it was taken, so its token is still valid.
    let renewal = update(3, Some(first.session), &[], &[]);
    assert!(is_carried_out(voter.answer(
        &first.identity,
        renewal,
        4_500
    )));
    assert!(is_held_by_another(voter.attach(
        &second,
        2,
        &[SUBJECT],
        6_499
    )));
    // The session lapses again at 6,500 ms and another process takes one of its two subjects, so
    // its token is no longer valid.
    assert!(is_carried_out(voter.attach(&second, 3, &[SUBJECT], 6_500)));
    let late_renewal = update(4, Some(first.session), &[], &[]);
    let answer = voter.answer(&first.identity, late_renewal, 6_510);
    assert!(is_rejected_for(answer, &RejectionReason::UnknownSession));
    let reopened = voter.client("a", 5, 6_520);
    assert_ne!(reopened.session, first.session);
    let answer = voter.attach(&reopened, 6, &[SUBJECT, b"more"], 6_530);
    assert!(matches!(answer, Some(Message::Updated(updated)) if updated.rejected.len() == 1));
}

#[test]
fn one_of_two_processes_with_the_same_name_votes() {
    let old_process = Identity::new("r0", 1);
    let mut old_voter = VoterHarness {
        leases: Leases::new(old_process.clone(), config(&["r0"], UPDATE_RATE), at(0)),
    };
    let client = Identity::new("a", 1);
    old_voter.session(&client, 1, 2_000);
    // When another process with the voter's name starts, the voter stops voting. The new process is
    // silent for a term after the last message from the old one.
    let new_process = Identity::new("r0", 2);
    old_voter.answer(
        &new_process,
        Message::Recall {
            generation: 1,
            starting: true,
        },
        2_100,
    );
    assert!(is_rejected_for(
        old_voter.answer(&client, update(2, None, &[], &[]), 2_110),
        &RejectionReason::Silent
    ));
    let mut new_voter = VoterHarness {
        leases: Leases::new(new_process, config(&["r0"], UPDATE_RATE), at(2_100)),
    };
    new_voter.answer(
        &old_process,
        Message::Remembered {
            generation: 1,
            established: true,
            epoch: 9,
        },
        2_500,
    );
    assert!(is_rejected_for(
        new_voter.answer(&client, update(3, None, &[], &[]), 4_400),
        &RejectionReason::Silent
    ));
    let answer = new_voter.answer(&client, update(4, None, &[], &[]), 4_500);
    assert!(matches!(answer, Some(Message::Updated(updated)) if updated.epoch == 9));
    assert_eq!(
        new_voter.leases.state(SUBJECT, at(4_500)),
        ClaimState::Unwanted
    );
}
