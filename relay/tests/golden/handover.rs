//! Golden tests of the packets by which a process of the relay hands its sessions to its successor.
//! The tests play the part of either process, over the socket in `$TMPDIR`.
use crate::helper::*;
use crate::platform::{Platform, wait_for};
use crate::recorded::{Transcript, escape, mask_after, mask_numbers};
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
const MAX_PACKET_BYTES: usize = 64 * 1024;
const HELLO: &str = "{\"Hello\":{\"version\":2,\"relay\":\"r0\"}}\n";

/// One end of the channel between two processes.
struct Channel {
    socket: Socket,
}

/// A received packet with its attached descriptors.
struct Packet {
    bytes: Vec<u8>,
    descriptors: Vec<OwnedFd>,
}

impl Packet {
    fn escaped(&self) -> String {
        escape(&self.bytes)
    }

    /// Returns whether the packet holds a message of this kind.
    fn is(&self, kind: &str) -> bool {
        let text = self.escaped();
        text.starts_with(&format!("{{\\\"{kind}\\\""))
            || text.starts_with(&format!("\\\"{kind}\\\""))
    }

    /// Returns the value of a whole number in the packet's message.
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

    /// Connects as a successor to the process that serves on this platform.
    fn connect(platform: &Platform) -> Channel {
        let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
        let path = platform.folder.join(SOCKET_NAME);
        socket.connect(&SockAddr::unix(path).unwrap()).unwrap();
        Channel::new(socket)
    }

    fn send(&self, packet: &[u8], descriptors: &[BorrowedFd]) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        assert!(
            descriptors.is_empty() || ancillary.push(SendAncillaryMessage::ScmRights(descriptors))
        );
        let parts = [IoSlice::new(packet)];
        rustix::net::sendmsg(&self.socket, &parts, &mut ancillary, SendFlags::NOSIGNAL).unwrap();
    }

    /// Receives the next packet, which is empty once the other side has closed the channel.
    fn receive(&self) -> Packet {
        let mut bytes = vec![0; MAX_PACKET_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let parts = &mut [IoSliceMut::new(&mut bytes)];
        let received = rustix::net::recvmsg(
            self.socket.as_fd(),
            parts,
            &mut ancillary,
            RecvFlags::empty(),
        );
        let length = match received {
            Ok(message) => message.bytes,
            Err(rustix::io::Errno::CONNRESET) => 0,
            Err(error) => panic!("receiving a packet failed: {error}"),
        };
        bytes.truncate(length);
        let mut descriptors = Vec::new();
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(received) = message {
                descriptors.extend(received);
            }
        }
        Packet { bytes, descriptors }
    }

    /// Receives the next packet other than `Holds`, which may arrive at any time.
    fn receive_except_holds(&self) -> Packet {
        loop {
            let packet = self.receive();
            if !packet.is("Holds") {
                return packet;
            }
        }
    }

    /// Receives packets until one of this kind arrives, and returns that one.
    fn receive_kind(&self, kind: &str) -> Packet {
        loop {
            let packet = self.receive();
            assert!(
                !packet.bytes.is_empty(),
                "the channel was closed before {kind} was received"
            );
            if packet.is(kind) {
                return packet;
            }
        }
    }
}

/// Returns a session's packet as text, with the times of this run masked.
fn masked_session(packet: &Packet) -> String {
    let without_last_line = mask_after(&packet.escaped(), "heard_us\\\":");
    let text = mask_after(&without_last_line, "asked_us\\\":");
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
        let channel = Channel::connect(&platform);
        channel.send(hello.as_bytes(), &[]);
        let answer = channel.receive_except_holds();
        assert_eq!(answer.escaped(), "", "{hello}");
    }
    let channel = Channel::connect(&platform);
    channel.send(HELLO.as_bytes(), &[]);
    assert!(channel.receive_except_holds().is("Memory"));
    drop(process);
}

/// Connects until the relay's snapshot holds the result of a health check, and adds that exchange
/// to the transcript.
fn wait_for_health_check_result(platform: &Platform, transcript: &mut Transcript) -> Channel {
    wait_for("the result of a health check in the snapshot", || {
        let channel = Channel::connect(platform);
        channel.send(HELLO.as_bytes(), &[]);
        let snapshot = channel.receive_kind("Memory");
        let line = String::from_utf8(snapshot.bytes).unwrap();
        let has_report = line.contains("\"heard\":[");
        if has_report {
            transcript.line("next sends", HELLO.as_bytes());
            transcript.line("relay sends", mask_numbers(&line).as_bytes());
        }
        has_report.then_some(channel)
    })
}

/// Takes the connections to the client and to the backend that are attached to a session's packet.
fn take_connections(session: &mut Packet) -> (TcpStream, TcpStream) {
    let mut descriptors = std::mem::take(&mut session.descriptors).into_iter();
    let to_client = TcpStream::from(descriptors.next().unwrap());
    let to_backend = TcpStream::from(descriptors.next().unwrap());
    to_client.set_nonblocking(false).unwrap();
    to_backend.set_nonblocking(false).unwrap();
    (to_client, to_backend)
}

#[test]
fn packets_of_a_process_that_shuts_down_are_as_recorded() {
    let platform = Platform::new("handover-leaves");
    let (address, received) = start_backend(BackendBehavior::Echo);
    let mut process = platform.start_ready(&platform.config(&[address], true));
    let mut transcript = Transcript::default();
    let channel = wait_for_health_check_result(&platform, &mut transcript);
    let mut first = process.relay.connect();
    first.send("OPEN 00000000000000a1 00000000000000ff c=safe,d=1000,g=5c0f6e1a2b3d4c59\r\n");
    assert_eq!(first.next_line(), "UP receipt");
    // The complete lines are echoed, one of them as a load report; the incomplete one stays in the
    // relay.
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
    let snapshot = channel.receive_except_holds();
    transcript.line(
        "relay sends",
        mask_numbers(&String::from_utf8(snapshot.bytes).unwrap()).as_bytes(),
    );
    transcript.line("relay sends", &channel.receive_except_holds().bytes);
    let mut sessions = [
        channel.receive_except_holds(),
        channel.receive_except_holds(),
    ];
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
    let yours = channel.receive_except_holds();
    transcript.line("relay sends", &yours.bytes);
    let moved = [second.next_line(), second.next_line()];
    transcript.line("declined client hears", moved.join(" ").as_bytes());
    assert_eq!(wait_for_exit(&mut process.relay.child).code(), Some(0));
    // The accepted session goes on over the descriptors that were attached to its packet.
    let (mut to_client, mut to_backend) = take_connections(&mut sessions[0]);
    to_client.write_all(b"to the client\r\n").unwrap();
    assert_eq!(first.next_line(), "to the client");
    to_backend.write_all(b"to the backend\r\n").unwrap();
    wait_for("the backend's line", || {
        (next_received(&received) == "to the backend\r\n").then_some(())
    });
    transcript.assert_recorded("handover_leaves.txt");
}

/// Starts a backend that answers one attempt by `UP` and a load report, and then passes the lines
/// that it receives to the returned channel.
fn start_backend_with_load_report() -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, received) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        lines.next().unwrap().unwrap();
        stream.write_all(b"UP receipt\r\nLOAD 0.5\r\n").unwrap();
        for line in lines.map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    (address, received)
}

#[test]
fn session_packet_with_a_load_and_an_unanswered_line_is_as_recorded() {
    let platform = Platform::new("handover-load");
    let (address, received) = start_backend_with_load_report();
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
    let channel = Channel::connect(&platform);
    channel.send(HELLO.as_bytes(), &[]);
    channel.receive_kind("Memory");
    process.relay.signal("TERM");
    let session = channel.receive_kind("Session");
    let mut transcript = Transcript::default();
    transcript.text += &format!("relay sends: {}\n", masked_session(&session));
    transcript.assert_recorded("handover_session_with_load.txt");
}

#[test]
fn admin_ready_at_a_process_that_shuts_down_is_rejected() {
    let platform = Platform::new("handover-ready");
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let process = platform.start_ready(&platform.config(&[address], false));
    let mut client = process.relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    let channel = Channel::connect(&platform);
    channel.send(HELLO.as_bytes(), &[]);
    channel.receive_kind("Memory");
    process.relay.signal("TERM");
    // The process does not end before its offer of the session is answered.
    channel.receive_kind("Session");
    assert_eq!(process.admin_answer(b"READY\n"), "400 stopping\r\n");
}

/// Returns both ends of a TCP connection on loopback: the one that the test keeps, and the one that
/// is handed over.
fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let kept = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    kept.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    (kept, listener.accept().unwrap().0)
}

fn read_exactly(stream: &mut TcpStream, length: usize) -> String {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}

const SNAPSHOT: &str = "{\"Memory\":{\"sights\":[{\"backend\":\"b0\",\"heard\":[1796000000000001,3.0,0.25],\
    \"weight_heard\":0.8,\"strikes\":1,\"ejections\":2,\"owed\":11,\"cold_turn\":[5,1]}],\
    \"set_up_us\":12000,\"stood\":1.5,\"left_alone\":2.5}}\n";
const SESSION: &str = "{\"Session\":{\"serial\":7,\"id\":161,\"listener\":\"safe\",\"key\":255,\
    \"group\":null,\"backend\":\"b0\",\"heard_us\":1796000000000001,\"asked_us\":null,\
    \"told_delay_us\":0,\"load\":null,\"up\":[12,6],\"down\":[6,6]}}\nfirst\nbegun down\r\n";
const SESSION_WITH_ALL_FIELDS: &str = "{\"Session\":{\"serial\":9,\"id\":162,\"listener\":\"once\",\
    \"key\":null,\"group\":6633641834813672537,\"backend\":\"b0\",\"heard_us\":1796000000000001,\
    \"asked_us\":1796000000000001,\"told_delay_us\":12500,\"load\":0.25,\"up\":[0,0],\
    \"down\":[0,0]}}\n";

#[test]
fn packets_of_a_process_that_starts_are_as_recorded() {
    let platform = Platform::new("handover-starts");
    let listener = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
    let path = platform.folder.join(SOCKET_NAME);
    listener.bind(&SockAddr::unix(&path).unwrap()).unwrap();
    listener.listen(4).unwrap();
    listener.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut transcript = Transcript::default();
    let process = platform.start(&platform.config(&[unused_address()], false));
    let channel = Channel::new(listener.accept().unwrap().0);
    transcript.line("relay sends", &channel.receive_except_holds().bytes);
    channel.send(SNAPSHOT.as_bytes(), &[]);
    transcript.line("before sends", SNAPSHOT.as_bytes());
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
    transcript.line("relay sends", &channel.receive_except_holds().bytes);
    let without_descriptors = SESSION.replace("\"serial\":7", "\"serial\":8");
    channel.send(without_descriptors.as_bytes(), &[]);
    transcript.title("the same with serial 8 and no descriptors");
    transcript.line("relay sends", &channel.receive_except_holds().bytes);
    channel.send(
        SESSION_WITH_ALL_FIELDS.as_bytes(),
        &[client_side.as_fd(), backend_side.as_fd()],
    );
    transcript.line("before sends", SESSION_WITH_ALL_FIELDS.as_bytes());
    transcript.line("relay sends", &channel.receive_except_holds().bytes);
    let yours = "{\"Yours\":{\"serial\":7}}\n";
    channel.send(yours.as_bytes(), &[]);
    transcript.line("before sends", yours.as_bytes());
    drop((client_side, backend_side));
    transcript.line("client hears", read_exactly(&mut client, 6).as_bytes());
    transcript.line("backend hears", read_exactly(&mut backend, 6).as_bytes());
    client.write_all(b"ended\r\n").unwrap();
    transcript.line("client sends", b"ended\r\n");
    transcript.line("backend hears", read_exactly(&mut backend, 13).as_bytes());
    // The snapshot that the process received is part of the one that it sends to its successor.
    let successor = Channel::connect(&platform);
    successor.send(HELLO.as_bytes(), &[]);
    let snapshot = successor.receive_kind("Memory");
    transcript.line("relay sends to the one after", &snapshot.bytes);
    drop(process);
    transcript.assert_recorded("handover_starts.txt");
}
