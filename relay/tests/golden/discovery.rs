//! The requests that a relay sends to the discovery agent.
use crate::helper::*;
use crate::recorded::Transcript;
use socket2::SockRef;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

fn accept_with_timeout(listener: &TcpListener) -> TcpStream {
    let socket = SockRef::from(listener);
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Reads all lines of one request, and masks the agent's address.
fn read_request(stream: &TcpStream, agent: SocketAddr) -> String {
    let mut lines = BufReader::new(stream);
    let mut request = String::new();
    while !request.ends_with("\r\n\r\n") {
        assert!(lines.read_line(&mut request).unwrap() > 0, "{request}");
    }
    request.replace(&agent.to_string(), "HOST:PORT")
}

#[test]
fn discovery_requests_before_and_after_a_list_are_as_recorded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent = listener.local_addr().unwrap();
    let _relay = start_relay(agent, 1_000, "null", false);
    let mut transcript = Transcript::default();
    let mut first = accept_with_timeout(&listener);
    transcript.line("first request", read_request(&first, agent).as_bytes());
    let (backend_address, _received) = start_backend(BackendBehavior::Echo);
    let rows = [("b0", backend_address, "Ready")];
    first.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    first
        .write_all(chunk(&endpoint_list(7, true, &rows)).as_bytes())
        .unwrap();
    drop(first);
    let second = accept_with_timeout(&listener);
    transcript.line(
        "after generation 7",
        read_request(&second, agent).as_bytes(),
    );
    transcript.assert_recorded("discovery_requests.txt");
}
