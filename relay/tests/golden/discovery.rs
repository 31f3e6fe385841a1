//! The requests that a relay sends to its discovery service.
use crate::helper::*;
use crate::recorded::Transcript;
use socket2::SockRef;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

fn accepted(listener: &TcpListener) -> TcpStream {
    let wait = SockRef::from(listener);
    wait.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// All lines of one request, with the service's own address masked.
fn request(stream: &TcpStream, own: SocketAddr) -> String {
    let mut lines = BufReader::new(stream);
    let mut request = String::new();
    while !request.ends_with("\r\n\r\n") {
        assert!(lines.read_line(&mut request).unwrap() > 0, "{request}");
    }
    request.replace(&own.to_string(), "HOST:PORT")
}

#[test]
fn discovery_requests_before_and_after_a_list_are_as_recorded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let own = listener.local_addr().unwrap();
    let _relay = start_relay(own, 1_000, "null", false);
    let mut transcript = Transcript::default();
    let mut first = accepted(&listener);
    transcript.line("first request", request(&first, own).as_bytes());
    let (backend_address, _met) = start_backend(BackendBehavior::Echo);
    let rows = [("b0", backend_address, "Ready")];
    first.write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    first
        .write_all(chunk(&endpoint_list(7, true, &rows)).as_bytes())
        .unwrap();
    drop(first);
    let second = accepted(&listener);
    transcript.line("after generation 7", request(&second, own).as_bytes());
    transcript.assert_recorded("discovery_requests.txt");
}
