//! Tests of sessions over loopback, without the rest of the process.
use super::table::Sessions;
use crate::discovery::registry::EndpointRegistry;
use crate::io_context::IoContext;
use crate::io_context::tests::io_context;
use crate::protocol::tests::protocol_settings;
use crate::sockets::{SocketOwner, key_of};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use thistlecroft::time::Duration;
use thistlecroft_operator_config::{ListenerDefaults, RelayContext, RouteTable};

/// Starts accepting clients at this address, with one route per listener.
fn start_sessions(address: SocketAddr, io: &mut IoContext) -> Sessions {
    let listener = io.sockets.listen(SocketOwner::Listener, address).unwrap();
    let listeners = protocol_settings(false).listeners.into_iter();
    let context = RelayContext {
        listeners: listeners
            .map(|name| ListenerDefaults {
                name,
                client_timeout: Duration::from_millis(1_000),
                route: thistlecroft::deployment::Route::default(),
            })
            .collect(),
        zones: Vec::new(),
        zone: 0,
        may_hedge: false,
        may_use_peers: false,
        descriptors: 100,
    };
    let routes = RouteTable::from_settings(&context);
    let mut sessions = Sessions::new(listener, protocol_settings(false), routes, 32 << 20);
    sessions.start_accepting();
    sessions
}

#[test]
fn panic_in_step_ends_only_that_session() {
    let mut io = io_context(1_000);
    let address = SocketAddr::from((
        [127, 60, 0, 1],
        20_000 + (std::process::id() % 40_000) as u16,
    ));
    let mut sessions = start_sessions(address, &mut io);
    let registry = EndpointRegistry::new(Vec::new(), Default::default());
    let mut clients: Vec<TcpStream> = (0..2)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    while sessions.len() < 2 {
        sessions.accept(&registry, &mut io);
    }
    for (id, client) in (0..).zip(&mut clients) {
        client
            .write_all(format!("OPEN {id:016x} 000000000000000b c=chat,d=1000\r\n").as_bytes())
            .unwrap();
        client
            .set_read_timeout(Some(std::time::Duration::from_secs(10)))
            .unwrap();
        // The listener was registered first, so the client with id 0 has the socket serial 2.
        while io.counters.sessions <= u64::from(id) {
            sessions.client_event(
                id,
                key_of(SocketOwner::Client(id), id + 2),
                &registry,
                &mut io,
            );
        }
    }
    // Timers and actions run in a step as events do, so one kind of step stands for all.
    sessions.panic_in_step(0, &mut io);
    let mut received = [0; 5];
    clients[0].read_exact(&mut received).unwrap();
    assert_eq!(&received, b"ERR\r\n");
    assert_eq!(io.counters.panics, 1);
    sessions.reject(thistlecroft::ids::SessionId(1), None, &mut io);
    clients[1].read_exact(&mut received).unwrap();
    assert_eq!(&received, b"BUSY\r");
}
