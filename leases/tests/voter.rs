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
            .find(|one| one.to == Recipients::Process(from.clone()));
        to_sender.and_then(|one| Message::decode(&one.bytes))
    }

    /// Opens a session at the voter.
    fn session(&mut self, from: &Identity, sequence: u32, ms: u64) -> SessionToken {
        match self.answer(from, update(sequence, None, &[], &[]), ms) {
            Some(Message::Updated(updated)) => updated.session,
            other => panic!("{other:?}"),
        }
    }
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

fn is_attached(answer: Option<Message>) -> bool {
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
    let (one, other) = (Identity::new("a", 1), Identity::new("b", 1));
    let early = voter.answer(&one, update(1, None, &[], &[]), 1_999);
    assert!(
        is_rejected_for(early, &RejectionReason::Silent),
        "the voter may have granted leases before its start"
    );
    let session = voter.session(&one, 2, 2_000);
    assert!(is_attached(voter.answer(
        &one,
        update(5, Some(session), &[SUBJECT], &[]),
        2_000
    )));
    // A detachment with an earlier sequence number arrives late, and one with the same number as
    // the last request.
    assert_eq!(
        voter.answer(&one, update(4, Some(session), &[], &[SUBJECT]), 2_010),
        None
    );
    assert_eq!(
        voter.answer(&one, update(5, Some(session), &[], &[SUBJECT]), 2_010),
        None
    );
    let others = voter.session(&other, 1, 2_020);
    assert!(is_held_by_another(voter.answer(
        &other,
        update(2, Some(others), &[SUBJECT], &[]),
        2_020
    )));
    // A detachment by another process frees nothing, with its own token or with the holder's.
    assert!(is_attached(voter.answer(
        &other,
        update(3, Some(others), &[], &[SUBJECT]),
        2_030
    )));
    let stolen = voter.answer(&other, update(4, Some(session), &[], &[SUBJECT]), 2_030);
    assert!(is_rejected_for(stolen, &RejectionReason::UnknownSession));
    assert!(is_held_by_another(voter.answer(
        &other,
        update(5, Some(others), &[SUBJECT], &[]),
        2_040
    )));
    assert!(is_attached(voter.answer(
        &one,
        update(6, Some(session), &[], &[SUBJECT]),
        2_050
    )));
    assert!(is_attached(voter.answer(
        &other,
        update(6, Some(others), &[SUBJECT], &[]),
        2_060
    )));
    // An attachment that was sent before a detachment arrives after it and changes nothing.
    assert_eq!(
        voter.answer(&one, update(3, Some(session), &[b"late"], &[]), 2_070),
        None
    );
    assert!(is_attached(voter.answer(
        &other,
        update(7, Some(others), &[b"late"], &[]),
        2_080
    )));
}

#[test]
fn request_of_another_generation_is_rejected() {
    let mut voter = VoterHarness::new();
    let one = Identity::new("a", 1);
    let session = voter.session(&one, 2, 2_000);
    for generation in [0, 2] {
        let Message::Update(mut other) = update(9, Some(session), &[], &[]) else {
            unreachable!()
        };
        other.generation = generation;
        let answer = voter.answer(&one, Message::Update(other), 2_090);
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
    let (one, other) = (Identity::new("a", 1), Identity::new("b", 1));
    let session = voter.session(&one, 1, 2_000);
    assert!(is_attached(voter.answer(
        &one,
        update(2, Some(session), &[SUBJECT, b"more"], &[]),
        2_000
    )));
    let others = voter.session(&other, 1, 2_000);
    // The session lapsed at 4,000 ms, but no subject of it was taken, so its token is still valid.
    assert!(is_attached(voter.answer(
        &one,
        update(3, Some(session), &[], &[]),
        4_500
    )));
    assert!(is_held_by_another(voter.answer(
        &other,
        update(2, Some(others), &[SUBJECT], &[]),
        6_499
    )));
    // The session lapses again at 6,500 ms and another process takes one of its two subjects, so
    // its token is no longer valid.
    assert!(is_attached(voter.answer(
        &other,
        update(3, Some(others), &[SUBJECT], &[]),
        6_500
    )));
    let renewed = voter.answer(&one, update(4, Some(session), &[], &[]), 6_510);
    assert!(is_rejected_for(renewed, &RejectionReason::UnknownSession));
    let anew = voter.session(&one, 5, 6_520);
    assert_ne!(anew, session);
    let both = voter.answer(&one, update(6, Some(anew), &[SUBJECT, b"more"], &[]), 6_530);
    assert!(matches!(both, Some(Message::Updated(updated)) if updated.rejected.len() == 1));
}

#[test]
fn one_of_two_processes_with_the_same_name_votes() {
    let me = Identity::new("r0", 1);
    let mut voter = VoterHarness {
        leases: Leases::new(me.clone(), config(&["r0"], UPDATE_RATE), at(0)),
    };
    let one = Identity::new("a", 1);
    voter.session(&one, 1, 2_000);
    // When another process with the voter's name starts, the voter stops voting. The new process is
    // silent for a term after the last message from the old one.
    let next = Identity::new("r0", 2);
    voter.answer(
        &next,
        Message::Recall {
            generation: 1,
            starting: true,
        },
        2_100,
    );
    assert!(is_rejected_for(
        voter.answer(&one, update(2, None, &[], &[]), 2_110),
        &RejectionReason::Silent
    ));
    let mut next = VoterHarness {
        leases: Leases::new(next, config(&["r0"], UPDATE_RATE), at(2_100)),
    };
    next.answer(
        &me,
        Message::Remembered {
            generation: 1,
            established: true,
            epoch: 9,
        },
        2_500,
    );
    assert!(is_rejected_for(
        next.answer(&one, update(3, None, &[], &[]), 4_400),
        &RejectionReason::Silent
    ));
    let answer = next.answer(&one, update(4, None, &[], &[]), 4_500);
    assert!(matches!(answer, Some(Message::Updated(updated)) if updated.epoch == 9));
    assert_eq!(next.leases.state(SUBJECT, at(4_500)), ClaimState::Unwanted);
}
