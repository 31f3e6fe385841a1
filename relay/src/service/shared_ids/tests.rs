//! Tests of the messages that tell of ids.
use super::*;
use crate::hot_restart::messages::encode;

/// The longest packet of the channel.
const MAX_PACKET_BYTES: usize = 64 * 1024;

#[test]
fn every_message_fits_into_a_packet() {
    let longest = IdNotice::Used(u64::MAX, Duration::from_micros(u64::MAX));
    let messages = messages_of(&vec![longest; 21_845]);
    assert_eq!(messages.len(), 22);
    for message in messages {
        let bytes = encode(&message, &[]).len();
        assert!(bytes <= MAX_PACKET_BYTES, "{bytes}");
    }
}

/// Guards against an id that is released and used again in one turn, and then counts as released.
#[test]
fn notices_are_applied_in_the_order_in_which_they_came() {
    let notices = [
        IdNotice::Opened(1),
        IdNotice::Released(1),
        IdNotice::Opened(1),
    ];
    let applied: Vec<IdNotice> = messages_of(&notices)
        .into_iter()
        .flat_map(|message| match message {
            Message::Ids(ids) => notices_of(ids),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(applied, notices);
}
