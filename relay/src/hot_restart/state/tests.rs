//! Tests of the state of hot restarts.
use super::*;
use crate::hot_restart::channel::Received;
use crate::hot_restart::channel::tests::{TestFolder, connect, new_sockets};

/// Guards against two processes that count the same descriptors as free, because one was told of a
/// change while its channel was full.
#[test]
fn descriptor_count_that_found_the_channel_full_is_sent_later() {
    let folder = TestFolder::new("descriptor-count");
    let mut sockets = new_sockets();
    let channels = connect(&folder, &mut sockets);
    let mut hot_restart = HotRestart::new("n3");
    hot_restart.predecessor = Some(channels.successor);
    let filler = Message::Leaving;
    while hot_restart.answer_predecessor(&filler) {}
    hot_restart.send_descriptor_count(70, 1);
    let mut received = Vec::new();
    let mut receive_all = || {
        while let Received::Packet(packet) = channels.predecessor.receive() {
            received.push(packet.message);
        }
        received.pop()
    };
    assert_eq!(receive_all(), Some(filler));
    // The count has not changed since.
    hot_restart.send_descriptor_count(70, 1);
    assert_eq!(receive_all(), Some(Message::OpenDescriptors { count: 70 }));
}
