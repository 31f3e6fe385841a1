//! The packets by which a process of the relay hands its sessions to the next one. The test stands
//! in for either process, over the socket that both find in `$TMPDIR`.
use crate::helper::*;
use crate::platform::{Platform, wait_for};
use crate::recorded::{Transcript, mask_after, mask_numbers, visible};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::sync::mpsc::channel;
use std::thread;

const SOCKET_NAME: &str = "thistlecroft-next";
const LONGEST_PACKET: usize = 64 * 1024;
const HELLO: &str = "{\"Hello\":{\"version\":2,\"relay\":\"r0\"}}\n";

/// One end of the channel between two processes.
struct Channel {
    socket: Socket,
}

struct Packet {
    bytes: Vec<u8>,
    descriptors: Vec<OwnedFd>,
}

impl Packet {
    fn text(&self) -> String {
        visible(&self.bytes)
    }

    fn is(&self, kind: &str) -> bool {
        let text = self.text();
        text.starts_with(&format!("{{\\\"{kind}\\\""))
            || text.starts_with(&format!("\\\"{kind}\\\""))
    }

    /// The value of a whole number in the packet's line.
    fn number(&self, name: &str) -> u32 {
        let line = self.bytes.split(|&byte| byte == b'\n').next().unwrap();
        let value: serde_json::Value = serde_json::from_slice(line).unwrap();
        let fields = value.as_object().unwrap().values().next().unwrap();
        fields[name].as_u64().unwrap() as u32
    }
}

impl Channel {
    fn new(socket: Socket) -> Channel {
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Channel { socket }
    }

    /// As the next process of the relay that serves from this folder.
    fn connected(platform: &Platform) -> Channel {
        let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
        let path = platform.folder.join(SOCKET_NAME);
        socket.connect(&SockAddr::unix(path).unwrap()).unwrap();
        Channel::new(socket)
    }

    fn send(&self, packet: &[u8], descriptors: &[BorrowedFd]) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut beside = SendAncillaryBuffer::new(&mut space);
        assert!(
            descriptors.is_empty() || beside.push(SendAncillaryMessage::ScmRights(descriptors))
        );
        let parts = [IoSlice::new(packet)];
        rustix::net::sendmsg(&self.socket, &parts, &mut beside, SendFlags::NOSIGNAL).unwrap();
    }

    /// The next packet; empty once the other side has closed the channel.
    fn receive(&self) -> Packet {
        let mut bytes = vec![0; LONGEST_PACKET];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut beside = RecvAncillaryBuffer::new(&mut space);
        let parts = &mut [IoSliceMut::new(&mut bytes)];
        let received =
            rustix::net::recvmsg(self.socket.as_fd(), parts, &mut beside, RecvFlags::empty());
        let length = match received {
            Ok(message) => message.bytes,
            Err(rustix::io::Errno::CONNRESET) => 0,
            Err(fault) => panic!("{fault}"),
        };
        bytes.truncate(length);
        let mut descriptors = Vec::new();
        for message in beside.drain() {
            if let RecvAncillaryMessage::ScmRights(received) = message {
                descriptors.extend(received);
            }
        }
        Packet { bytes, descriptors }
    }

    /// The next packet that does not tell how many sockets are held, which may come at any time.
    fn receive_other(&self) -> Packet {
        loop {
            let packet = self.receive();
            if !packet.is("Holds") {
                return packet;
            }
        }
    }

    fn receive_kind(&self, kind: &str) -> Packet {
        loop {
            let packet = self.receive();
            assert!(!packet.bytes.is_empty(), "closed before {kind}");
            if packet.is(kind) {
                return packet;
            }
        }
    }
}

/// Times of one run, as they stand in a session's packet.
fn masked_session(packet: &Packet) -> String {
    let without_heard = mask_after(&packet.text(), "heard_us\\\":");
    let text = mask_after(&without_heard, "asked_us\\\":");
    format!("{text} + {} descriptors", packet.descriptors.len())
}

#[test]
fn hello_of_another_version_or_relay_closes_the_channel() {
    let platform = Platform::new("handover-hello");
    let process = platform.start_ready(&platform.config(&[unused_address()], false));
    let wrong = [
        HELLO.replace('2', "1"),
        HELLO.replace('2', "3"),
        HELLO.replace("r0", "r1"),
        HELLO.replace("Hello", "Hallo"),
        HELLO.trim_end().to_string(),
        format!("{HELLO}x"),
    ];
    for hello in wrong {
        let channel = Channel::connected(&platform);
        channel.send(hello.as_bytes(), &[]);
        let answer = channel.receive_other();
        assert_eq!(answer.text(), "", "{hello}");
    }
    let channel = Channel::connected(&platform);
    channel.send(HELLO.as_bytes(), &[]);
    assert!(channel.receive_other().is("Memory"));
    drop(process);
}

/// Connects until the relay's memory holds the answer to a probe, and writes down that exchange.
fn wait_for_probe_answer(platform: &Platform, transcript: &mut Transcript) -> Channel {
    wait_for("a probe's answer in memory", || {
        let channel = Channel::connected(platform);
        channel.send(HELLO.as_bytes(), &[]);
        let memory = channel.receive_kind("Memory");
        let line = String::from_utf8(memory.bytes).unwrap();
        let is_told = line.contains("\"heard\":[");
        if is_told {
            transcript.line("next sends", HELLO.as_bytes());
            transcript.line("relay sends", mask_numbers(&line).as_bytes());
        }
        is_told.then_some(channel)
    })
}

/// The connections to the client and to the backend that came along with a session.
fn received_connections(session: &mut Packet) -> (TcpStream, TcpStream) {
    let mut descriptors = std::mem::take(&mut session.descriptors).into_iter();
    let to_client = TcpStream::from(descriptors.next().unwrap());
    let to_backend = TcpStream::from(descriptors.next().unwrap());
    to_client.set_nonblocking(false).unwrap();
    to_backend.set_nonblocking(false).unwrap();
    (to_client, to_backend)
}

#[test]
fn packets_of_a_process_that_leaves_are_as_recorded() {
    let platform = Platform::new("handover-leaves");
    let (address, received) = start_backend(BackendBehavior::Echo);
    let mut process = platform.start_ready(&platform.config(&[address], true));
    let mut transcript = Transcript::default();
    let channel = wait_for_probe_answer(&platform, &mut transcript);
    let mut first = process.relay.connect();
    first.send("OPEN 00000000000000a1 00000000000000ff c=safe,d=1000,g=5c0f6e1a2b3d4c59\r\n");
    assert_eq!(first.next_line(), "UP receipt");
    // The whole lines come back, one of them as a load note; the begun one waits in the relay.
    first.send("LOAD 12.5\r\nwhole\r\nbegun ");
    assert_eq!(first.next_line(), "LOAD 12.5");
    assert_eq!(first.next_line(), "whole");
    let mut second = process.relay.connect();
    second.send("OPEN 00000000000000a2 00000000000000fe c=once,d=1000\r\n");
    assert_eq!(second.next_line(), "UP receipt");
    let holds = channel.receive_kind("Holds");
    transcript.line(
        "relay sends",
        mask_numbers(&String::from_utf8(holds.bytes).unwrap()).as_bytes(),
    );
    process.relay.signal("TERM");
    let memory = channel.receive_other();
    transcript.line(
        "relay sends",
        mask_numbers(&String::from_utf8(memory.bytes).unwrap()).as_bytes(),
    );
    transcript.line("relay sends", &channel.receive_other().bytes);
    let mut sessions = [channel.receive_other(), channel.receive_other()];
    sessions.sort_by_key(|session| session.number("id"));
    for session in &sessions {
        transcript.text += &format!("relay sends: {}\n", masked_session(session));
    }
    let declined = format!(
        "{{\"Declined\":{{\"serial\":{}}}}}\n",
        sessions[1].number("serial")
    );
    channel.send(declined.as_bytes(), &[]);
    transcript.line("next sends", declined.as_bytes());
    let took = format!(
        "{{\"Took\":{{\"serial\":{}}}}}\n",
        sessions[0].number("serial")
    );
    channel.send(took.as_bytes(), &[]);
    transcript.line("next sends", took.as_bytes());
    let yours = channel.receive_other();
    transcript.line("relay sends", &yours.bytes);
    let moved = [second.next_line(), second.next_line()];
    transcript.line("declined client hears", moved.join(" ").as_bytes());
    assert_eq!(wait_for_exit(&mut process.relay.child).code(), Some(0));
    // What was taken works on, now over the descriptors that came along.
    let (mut to_client, mut to_backend) = received_connections(&mut sessions[0]);
    to_client.write_all(b"to the client\r\n").unwrap();
    assert_eq!(first.next_line(), "to the client");
    to_backend.write_all(b"to the backend\r\n").unwrap();
    wait_for("the backend's line", || {
        (next_received(&received) == "to the backend\r\n").then_some(())
    });
    transcript.assert_recorded("handover_leaves.txt");
}

/// Answers one dial by `UP` and a load note, then tells of the first line that comes.
fn backend_that_notes_load() -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, received) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        lines.next().unwrap().unwrap();
        stream.write_all(b"UP receipt\r\nLOAD 0.5\r\n").unwrap();
        for line in lines.map_while(Result::ok) {
            let _ = tell.send(line);
        }
    });
    (address, received)
}

#[test]
fn session_packet_with_a_load_and_an_unanswered_line_is_as_recorded() {
    let platform = Platform::new("handover-load");
    let (address, received) = backend_that_notes_load();
    let config = platform.config(&[address], false).replace(
        "\"tellsDelay\": true, \"tellsLoad\": false",
        "\"tellsDelay\": false, \"tellsLoad\": true",
    );
    let process = platform.start_ready(&config);
    let mut client = process.relay.connect();
    client.send("OPEN 00000000000000a1 00000000000000ff c=safe,d=1000\r\n");
    assert_eq!(client.next_line(), "UP receipt");
    assert_eq!(client.next_line(), "LOAD 0.5");
    client.send("unanswered\r\n");
    assert_eq!(next_received(&received), "unanswered");
    let channel = Channel::connected(&platform);
    channel.send(HELLO.as_bytes(), &[]);
    channel.receive_kind("Memory");
    process.relay.signal("TERM");
    let session = channel.receive_kind("Session");
    let mut transcript = Transcript::default();
    transcript.text += &format!("relay sends: {}\n", masked_session(&session));
    transcript.assert_recorded("handover_session_with_load.txt");
}

#[test]
fn admin_ready_of_a_process_that_leaves_is_refused() {
    let platform = Platform::new("handover-ready");
    let (address, _met) = start_backend(BackendBehavior::Echo);
    let process = platform.start_ready(&platform.config(&[address], false));
    let mut client = process.relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    let channel = Channel::connected(&platform);
    channel.send(HELLO.as_bytes(), &[]);
    channel.receive_kind("Memory");
    process.relay.signal("TERM");
    // It stays while its offer of the session is not answered.
    channel.receive_kind("Session");
    assert_eq!(process.admin_answer(b"READY\n"), "400 stopping\r\n");
}

/// A connected pair on loopback: the far end, and the one that is handed over.
fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    far.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    (far, listener.accept().unwrap().0)
}

fn read_exactly(stream: &mut TcpStream, length: usize) -> String {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}

const MEMORY: &str = "{\"Memory\":{\"sights\":[{\"backend\":\"b0\",\"heard\":[1796000000000001,3.0,0.25],\
    \"weight_heard\":0.8,\"strikes\":1,\"ejections\":2,\"owed\":11,\"cold_turn\":[5,1]}],\
    \"set_up_us\":12000,\"stood\":1.5,\"left_alone\":2.5}}\n";
const SESSION: &str = "{\"Session\":{\"serial\":7,\"id\":161,\"listener\":\"safe\",\"key\":255,\
    \"group\":null,\"backend\":\"b0\",\"heard_us\":1796000000000001,\"asked_us\":null,\
    \"told_delay_us\":0,\"load\":null,\"up\":[12,6],\"down\":[6,6]}}\nfirst\nbegun down\r\n";
const SESSION_WITH_ALL: &str = "{\"Session\":{\"serial\":9,\"id\":162,\"listener\":\"once\",\
    \"key\":null,\"group\":6633641834813672537,\"backend\":\"b0\",\"heard_us\":1796000000000001,\
    \"asked_us\":1796000000000001,\"told_delay_us\":12500,\"load\":0.25,\"up\":[0,0],\
    \"down\":[0,0]}}\n";

#[test]
fn packets_of_a_process_that_starts_are_as_recorded() {
    let platform = Platform::new("handover-starts");
    let before = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
    let path = platform.folder.join(SOCKET_NAME);
    before.bind(&SockAddr::unix(&path).unwrap()).unwrap();
    before.listen(4).unwrap();
    before.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut transcript = Transcript::default();
    let process = platform.start(&platform.config(&[unused_address()], false));
    let channel = Channel::new(before.accept().unwrap().0);
    transcript.line("relay sends", &channel.receive_other().bytes);
    channel.send(MEMORY.as_bytes(), &[]);
    transcript.line("before sends", MEMORY.as_bytes());
    for packet in ["{\"Holds\":{\"sockets\":20}}\n", "\"Leaving\"\n"] {
        channel.send(packet.as_bytes(), &[]);
        transcript.line("before sends", packet.as_bytes());
    }
    let (mut client, client_side) = connected_pair();
    let (mut backend, backend_side) = connected_pair();
    channel.send(
        SESSION.as_bytes(),
        &[client_side.as_fd(), backend_side.as_fd()],
    );
    transcript.line("before sends", SESSION.as_bytes());
    transcript.line("relay sends", &channel.receive_other().bytes);
    let bare = SESSION.replace("\"serial\":7", "\"serial\":8");
    channel.send(bare.as_bytes(), &[]);
    transcript.title("the same with serial 8 and no descriptors");
    transcript.line("relay sends", &channel.receive_other().bytes);
    channel.send(
        SESSION_WITH_ALL.as_bytes(),
        &[client_side.as_fd(), backend_side.as_fd()],
    );
    transcript.line("before sends", SESSION_WITH_ALL.as_bytes());
    transcript.line("relay sends", &channel.receive_other().bytes);
    let yours = "{\"Yours\":{\"serial\":7}}\n";
    channel.send(yours.as_bytes(), &[]);
    transcript.line("before sends", yours.as_bytes());
    drop((client_side, backend_side));
    transcript.line("client hears", read_exactly(&mut client, 6).as_bytes());
    transcript.line("backend hears", read_exactly(&mut backend, 6).as_bytes());
    client.write_all(b"ended\r\n").unwrap();
    transcript.line("client sends", b"ended\r\n");
    transcript.line("backend hears", read_exactly(&mut backend, 13).as_bytes());
    // What it was told stands in what it tells the one after it.
    let after = Channel::connected(&platform);
    after.send(HELLO.as_bytes(), &[]);
    let memory = after.receive_kind("Memory");
    transcript.line("relay sends to the one after", &memory.bytes);
    drop(process);
    transcript.assert_recorded("handover_starts.txt");
}
