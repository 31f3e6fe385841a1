//! Rare moments: what comes between two lines of the code. Each order is made to happen, by waiting
//! for a state that shows outside and acting then: the relay is one loop, so what comes while it is
//! stopped is met in one turn.
mod helper;

use helper::*;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

// ---- stand-ins that do a step only when told ----

fn in_time<T>(what: &str, mut step: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + LONG;
    loop {
        if let Some(done) = step() {
            return done;
        }
        assert!(Instant::now() < until, "in time: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn accepted(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let stream = in_time("a connection", || listener.accept().ok()).0;
    stream.set_nonblocking(false).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Nothing has come on it, its end neither.
fn is_quiet(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let quiet =
        matches!(stream.peek(&mut [0]), Err(fault) if fault.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).unwrap();
    quiet
}

/// All that comes up to the end, or to the reset that it ends with.
fn all_of(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    match stream.read_to_end(&mut text) {
        Err(fault) if fault.kind() != ErrorKind::ConnectionReset => panic!("no end came: {fault}"),
        _ => String::from_utf8(text).unwrap(),
    }
}

/// What the system knows at the end `here` of a connection: if it stands, and if something waits to
/// be read. On a busy machine even loopback brings things late.
fn at_end(here: SocketAddr, there: SocketAddr) -> (bool, bool) {
    let hex = |at: SocketAddr| match at.ip() {
        std::net::IpAddr::V4(ip) => {
            format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), at.port())
        }
        std::net::IpAddr::V6(_) => unreachable!("tests use IPv4"),
    };
    let ends = format!(" {} {} 01 ", hex(here), hex(there));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queues = table
        .split(&ends)
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    let unread = queues.is_some_and(|queues| !queues.ends_with(":00000000"));
    (queues.is_some(), unread)
}

/// Ends with a reset in place of an end.
fn breaks_off(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// A backend at which connections come up late: its queue is full until somebody takes them in.
struct Late {
    listener: TcpListener,
    at: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl Late {
    fn new() -> Late {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
        socket
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok();
        let fillers: Vec<TcpStream> = std::iter::from_fn(connect).take(64).collect();
        assert!((1..64).contains(&fillers.len()), "the queue fills");
        Late {
            listener,
            at,
            fillers,
        }
    }

    /// Takes all in that fill the queue, and then the one that waited.
    fn comes_up(&mut self) -> TcpStream {
        let ours: Vec<SocketAddr> = self
            .fillers
            .iter()
            .map(|one| one.local_addr().unwrap())
            .collect();
        loop {
            let stream = accepted(&self.listener);
            if !ours.contains(&stream.peer_addr().unwrap()) && is_quiet(&stream) {
                return stream;
            }
        }
    }
}

/// Discovery's agent, whose every step is the test's.
struct Agent {
    listener: TcpListener,
    at: SocketAddr,
}

impl Agent {
    fn new() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Agent {
            at: listener.local_addr().unwrap(),
            listener,
        }
    }

    /// The next call, and what it asks for.
    fn call(&self) -> (TcpStream, String) {
        loop {
            let stream = accepted(&self.listener);
            let (mut lines, mut first, mut line) =
                (BufReader::new(&stream), String::new(), String::new());
            let mut came = lines.read_line(&mut first).unwrap();
            while came > 0 && line != "\r\n" {
                line.clear();
                came = lines.read_line(&mut line).unwrap();
            }
            // One that ended before it had asked was given up meanwhile.
            if came > 0 {
                return (stream, first);
            }
        }
    }
}

fn says(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

impl Relay {
    /// Until it is seen to stand still.
    fn stops(&self) {
        self.signal("STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        in_time("the stop", || {
            let text = std::fs::read_to_string(&path).unwrap();
            text.rsplit(')')
                .next()
                .unwrap()
                .trim_start()
                .starts_with('T')
                .then_some(())
        });
    }

    /// Until a counter has come so far.
    fn counts(&self, name: &str, least: u32) {
        in_time(name, || {
            self.signal("USR1");
            (counted(&self.logged(&format!(" {name}=")), name) >= least).then_some(())
        });
    }
}

/// With other settings: each pair is what stands in their text and what is to stand there.
fn start_changed(discovery: SocketAddr, known: &str, changes: &[(&str, &str)]) -> Relay {
    let at = nobody();
    let mut text = config(at, discovery, 1_000, known, false);
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    started(at, text)
}

const LATE: (&str, &str) = ("\"dialTimeoutUs\": 250000", "\"dialTimeoutUs\": 4000000");
const GRACE: (&str, &str) = (
    "\"askWithinUs\": 1",
    "\"askWithinUs\": 1, \"drainGraceUs\": 4000000",
);
const THREE: (&str, &str) = ("\"maxDials\": 1", "\"maxDials\": 3");

// ---- clients ----

#[test]
fn a_client_that_left_while_its_dial_came_up_is_not_sent_on() {
    // Its end, and if that comes before the dial is up or just after, all in one turn.
    for (reset, after) in [(false, true), (true, true), (false, false), (true, false)] {
        let mut late = Late::new();
        let known = list(1, true, &[("late", late.at, "Ready")]);
        let relay = start_changed(nobody(), &known, &[LATE]);
        let client = relay.open("once", 7_000);
        relay.counts("dials", 1);
        relay.stops();
        let leave = |client: Client| {
            let from = client.lines.get_ref().local_addr().unwrap();
            if reset {
                breaks_off(client.lines.get_ref());
            }
            drop(client);
            in_time("the relay's end of it knows", || {
                (!at_end(relay.at, from).0).then_some(())
            });
        };
        let mut client = Some(client);
        if !after {
            client.take().map(leave);
        }
        let dial = late.comes_up();
        client.take().map(leave);
        relay.signal("CONT");
        assert_eq!(all_of(&dial), "", "reset {reset}, after {after}");
        relay.counts("dials_never_sent", 1);
    }
}

#[test]
fn a_client_that_leaves_is_seen_to_though_no_buffer_is_left() {
    let agent = Agent::new();
    let ((echo, _echo_met), (mute, mute_met)) = (backend(Play::Echo), backend(Play::Mute));
    let relay = start_changed(agent.at, "null", &[("\"memory_mb\":64", "\"memory_mb\":8")]);
    let (watch, _) = agent.call();
    says(
        &watch,
        &format!(
            "{HEAD}{}",
            chunk(&list(1, true, &[("echo", echo, "Ready")]))
        ),
    );
    relay.counts("lists", 1);
    // Each that stands and has said half a line holds a buffer for as long as it likes.
    let mut holding = Vec::new();
    for _ in 0..300 {
        let mut client = relay.open("safe", 7_000);
        assert_eq!(client.hears(), "UP receipt");
        holding.push(client);
    }
    let rows = [("echo", echo, "Terminating"), ("mute", mute, "Ready")];
    says(&watch, &chunk(&list(2, false, &rows)));
    relay.counts("lists", 2);
    let client = relay.open("safe", 7_000);
    while !next(&mute_met).starts_with("OPEN") {}
    holding
        .iter_mut()
        .for_each(|client| client.say("half a line"));
    relay.counts("starved", 1);
    client.ends_sending();
    relay.counts("clients_left", 1);
    relay.counts("dials_withdrawn", 1);
}

/// More ends than one turn comes to, beside the alarms of all that wait: not even a connection
/// begins for one that left.
#[test]
fn nothing_begins_for_a_client_that_left_behind_hundreds_of_others() {
    const CLIENTS: u32 = 900;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (busy, begun) = (listener.local_addr().unwrap(), Arc::new(AtomicU32::new(0)));
    let count = begun.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            count.fetch_add(1, Ordering::SeqCst);
            let (tell, _) = std::sync::mpsc::channel();
            std::thread::spawn(move || drop(serve(stream.unwrap(), Play::Say("BUSY\r\n"), tell)));
        }
    });
    let at = nobody();
    let text = config(
        at,
        nobody(),
        4_000,
        &list(1, true, &[("busy", busy, "Ready")]),
        false,
    );
    let text = text
        .replace("\"maxDials\": 1", "\"maxDials\": 9")
        .replace("\"pull\"", "\"piggyback\"");
    let relay = started_within(4_000, at, text);
    let mut clients = Vec::new();
    for key in 1..=CLIENTS {
        let mut client = relay.client();
        // Each with a key of its own: its delays are its own, the first of up to a second.
        client.say(&open_line("c=safe,d=9000").replace("7f3a9c21e0b4d655", &format!("{key:016x}")));
        clients.push(client);
    }
    relay.counts("dials_full", CLIENTS);
    relay.stops();
    for (place, client) in clients.into_iter().enumerate() {
        if place % 2 == 0 {
            breaks_off(client.lines.get_ref());
        }
    }
    // The alarms of the first two delays come due while nothing is met.
    std::thread::sleep(Duration::from_millis(2_100));
    let before = begun.load(Ordering::SeqCst);
    relay.signal("CONT");
    relay.counts("clients_left", CLIENTS * 9 / 10);
    relay.counts("dials_never_sent", 1);
    let after = begun.load(Ordering::SeqCst);
    assert_eq!(
        after - before,
        0,
        "connections begun for clients that had left"
    );
}

#[test]
fn a_dial_that_came_up_in_time_is_not_sent_when_the_loop_meets_it_too_late() {
    let mut late = Late::new();
    let known = list(1, true, &[("late", late.at, "Ready")]);
    let limit = ("\"dialTimeoutUs\": 250000", "\"dialTimeoutUs\": 1500000");
    let relay = start_changed(nobody(), &known, &[limit]);
    let mut client = relay.open("once", 7_000);
    relay.counts("dials", 1);
    let began = Instant::now();
    relay.stops();
    let dial = late.comes_up();
    in_time("the time to come up is over", || {
        (began.elapsed() > Duration::from_millis(1_600)).then_some(())
    });
    relay.signal("CONT");
    assert_eq!(all_of(&dial), "");
    // Never sent, so nothing is said against trying again, for a once-only session neither.
    assert!(client.hears().starts_with("BUSY"));
}

// ---- drains ----

#[derive(Clone, Copy, Debug, PartialEq)]
enum Out {
    /// The drain and the connection's coming up are met in one turn.
    InOneTurn,
    Listed,
    /// A whole list does not name it.
    Missing,
    ByHand,
}

#[test]
fn a_dial_that_has_sent_nothing_does_not_go_where_nothing_new_may_go() {
    for out in [Out::InOneTurn, Out::Listed, Out::Missing, Out::ByHand] {
        let (mut late, agent) = (Late::new(), Agent::new());
        let (two, two_met) = backend(Play::Echo);
        let door = nobody();
        let with_door = format!("\"name\":\"r0\",\"admin_addr\":\"{door}\"");
        let relay = start_changed(
            agent.at,
            "null",
            &[LATE, THREE, ("\"name\":\"r0\"", &with_door)],
        );
        let (watch, _) = agent.call();
        says(
            &watch,
            &format!(
                "{HEAD}{}",
                chunk(&list(1, true, &[("late", late.at, "Ready")]))
            ),
        );
        relay.counts("lists", 1);
        let mut client = relay.open("once", 9_000);
        relay.counts("dials", 1);
        let rows = [("two", two, "Ready"), ("late", late.at, "Terminating")];
        let mut dial = None;
        match out {
            Out::InOneTurn => {
                relay.stops();
                dial = Some(late.comes_up());
                says(&watch, &chunk(&list(2, false, &rows)));
                in_time("the relay's end of the watch has it", || {
                    at_end(watch.peer_addr().unwrap(), agent.at).1.then_some(())
                });
                relay.signal("CONT");
            }
            Out::Listed => says(&watch, &chunk(&list(2, false, &rows))),
            Out::Missing => says(&watch, &chunk(&list(2, true, &rows[..1]))),
            Out::ByHand => {
                says(&watch, &chunk(&list(2, false, &rows[..1])));
                relay.counts("lists", 2);
                let operator = TcpStream::connect(door).unwrap();
                operator.set_read_timeout(Some(LONG)).unwrap();
                says(&operator, "DISABLE late\r\n");
                let mut answer = String::new();
                BufReader::new(&operator).read_line(&mut answer).unwrap();
                assert!(answer.starts_with("200"), "{answer}");
            }
        }
        // Never sent there, so also one that may not be repeated goes elsewhere.
        assert_eq!(client.hears(), "UP receipt", "{out:?}");
        assert!(next(&two_met).starts_with("OPEN"));
        if let Some(dial) = dial {
            assert_eq!(all_of(&dial), "", "{out:?}");
        }
    }
}

// ---- backends ----

#[test]
fn what_a_backend_does_to_a_referenced_session_is_answered_by_who_may_hold_the_reference() {
    // What the backend does, and if the dial may have run then.
    let plays = [
        (Play::Say("BUSY\r\n"), false),
        (Play::Say("BUSY\r\nUP receipt\r\n"), false),
        (Play::Say("ERR inflight=7\r\n"), true),
        (Play::Say("MOVE\r\n"), true),
        (Play::Say("BYE\r\n"), true),
        (Play::Say("what\r\n"), true),
        (Play::TooLong, true),
        (Play::End, true),
        (Play::Mute, true),
    ];
    for (scope, anywhere) in [("all", true), ("zone", false), ("cell", false)] {
        let effect = format!(
            "\"effect\": \"dedup\", \"dedupScope\": \"{scope}\", \"dedupWindowUs\": 700000"
        );
        for (play, may_have_run) in plays {
            let (address, _met) = backend(play);
            let known = list(1, true, &[("b", address, "Ready")]);
            let relay = start_changed(nobody(), &known, &[("\"effect\": \"fragile\"", &effect)]);
            let mut client = relay.open("once", 400);
            let word = if anywhere || !may_have_run {
                "BUSY"
            } else {
                "ERR"
            };
            let heard = client.hears();
            assert_eq!(
                heard.split(' ').next(),
                Some(word),
                "{scope} {play:?}: {heard}"
            );
            assert_eq!(
                client.hears(),
                "end",
                "{scope} {play:?}: one answer and no more"
            );
        }
    }
}

#[test]
fn a_probe_on_a_connection_closed_as_it_is_used_again_is_asked_on_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let known = list(1, true, &[("b", listener.local_addr().unwrap(), "Ready")]);
    let relay = start_changed(
        nobody(),
        &known,
        &[("\"probes\": false", "\"probes\": true")],
    );
    let asks = |stream: &TcpStream| {
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        assert_eq!(line, "STATS\r\n");
    };
    let mut stream = accepted(&listener);
    asks(&stream);
    for reset in [false, true] {
        says(&stream, "PONG inflight=1,x0=0.1\r\n");
        asks(&stream);
        if reset {
            breaks_off(&stream);
        }
        drop(stream);
        stream = accepted(&listener);
        asks(&stream);
        relay.signal("USR1");
        assert_eq!(
            counted(&relay.logged(" probes_failed="), "probes_failed"),
            0,
            "reset {reset}"
        );
    }
    // A new one that ends without an answer is its backend's doing.
    drop(stream);
    relay.counts("probes_failed", 1);
}

// ---- starts and ends ----

#[test]
fn a_new_process_sends_nothing_by_an_old_list_before_its_agent_has_answered() {
    let agent = Agent::new();
    let ((old, old_met), (new, new_met)) = (backend(Play::Echo), backend(Play::Echo));
    let known = list(1, true, &[("old", old, "Ready")]);
    // Long enough for any machine; an agent that says nothing at all is not waited for any longer.
    let grace = (
        "\"askWithinUs\": 1",
        "\"askWithinUs\": 1, \"drainGraceUs\": 40000000",
    );
    let relay = start_changed(agent.at, &known, &[grace]);
    let (watch, _) = agent.call();
    let mut client = relay.open("safe", 9_000);
    // The loop has turned since the line was there.
    for _ in 0..3 {
        relay.signal("USR1");
        relay.logged(" connections=");
    }
    let rows = [("old", old, "Terminating"), ("new", new, "Ready")];
    says(&watch, &format!("{HEAD}{}", chunk(&list(2, true, &rows))));
    assert_eq!(client.hears(), "UP receipt");
    assert!(next(&new_met).starts_with("OPEN"));
    assert!(
        old_met.try_iter().next().is_none(),
        "nothing came to the one that drains"
    );
}

#[test]
fn told_to_stop_while_its_configuration_is_read_it_ends_well() {
    // The file is a pipe: the one who writes has it open once the program reads.
    let path = std::env::temp_dir().join(format!("thistlecroft-{}-pipe.json", std::process::id()));
    let made = std::process::Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap();
    assert!(made.success());
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_thistlecroft-relay"))
        .env("ROUTER_CONFIG", &path)
        .spawn()
        .unwrap();
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    let kill = std::process::Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status();
    assert!(kill.unwrap().success());
    let _ = file.write_all(config(nobody(), nobody(), 1_000, "null", false).as_bytes());
    drop(file);
    let end = end_of(&mut child);
    std::fs::remove_file(path).unwrap();
    assert!(end.success(), "{end}");
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    /// It is told to stop, and again.
    Twice,
    /// Before its agent has told a list, and no backend is known.
    BeforeAnyList,
    /// While settings read a moment ago do not hold yet.
    AfterSettings,
    /// In the turn in which a whole first line is met.
    InOneTurn,
}

#[test]
fn told_to_stop_at_a_bad_moment_all_are_answered_and_it_ends_well_in_time() {
    for told in [
        Told::Twice,
        Told::BeforeAnyList,
        Told::AfterSettings,
        Told::InOneTurn,
    ] {
        let agent = Agent::new();
        let ((echo, _met), (mute, mute_met)) = (backend(Play::Echo), backend(Play::Mute));
        let known = list(1, true, &[("mute", mute, "Ready")]);
        let lists = told != Told::BeforeAnyList;
        let mut relay = start_changed(agent.at, if lists { &known } else { "null" }, &[GRACE]);
        let (watch, _) = agent.call();
        // One whose backend hangs, one with half a line.
        let mut hangs = relay.open("once", 1_500);
        let mut half = relay.client();
        half.say("OPEN ffffffffffffffaa 7f3a9c2");
        if lists {
            while !next(&mute_met).starts_with("OPEN") {}
            let rows = [("mute", mute, "Terminating"), ("echo", echo, "Ready")];
            says(&watch, &format!("{HEAD}{}", chunk(&list(2, true, &rows))));
            relay.counts("lists", 1);
        }
        let mut inside = (told == Told::AfterSettings).then(|| relay.open("safe", 1_500));
        inside
            .iter_mut()
            .for_each(|client| assert_eq!(client.hears(), "UP receipt"));
        if told == Told::AfterSettings {
            relay.told("\"maxDials\": 1", "\"maxDials\": 2");
        }
        let began = Instant::now();
        relay.stops();
        let mut late = relay.open("safe", 1_500);
        relay.signal("TERM");
        relay.signal("CONT");
        relay.logged("told to stop");
        if told == Told::Twice {
            relay.signal("TERM");
        }
        half.say("1e0b4d655 c=safe,d=1500\r\n");
        let up = if lists { "UP" } else { "BUSY" };
        for client in [&mut half, &mut late] {
            assert_eq!(client.hears().split(' ').next(), Some(up), "{told:?}");
        }
        // A dial that may have run is not refused; one never sent is.
        let answer = hangs.hears();
        assert!(
            answer.starts_with(if lists { "ERR" } else { "BUSY" }),
            "{told:?}: {answer}"
        );
        for client in inside.iter_mut().chain(
            lists
                .then_some([&mut half, &mut late])
                .into_iter()
                .flatten(),
        ) {
            assert_eq!(
                [client.hears(), client.hears()],
                ["MOVE", "end"],
                "{told:?}"
            );
        }
        drop((inside, half, late, hangs));
        assert!(end_of(&mut relay.child).success(), "{told:?}");
        assert!(
            began.elapsed() < Duration::from_millis(2_200),
            "{told:?}: {:?}",
            began.elapsed()
        );
    }
}

#[test]
fn told_to_stop_while_a_client_does_not_read_its_lines_and_its_move_come_whole_and_in_order() {
    let (address, _met) = backend(Play::Flood(400_000));
    let mut relay = start_changed(nobody(), &list(1, true, &[("b", address, "Ready")]), &[]);
    let mut client = relay.open("safe", 1_500);
    assert_eq!(client.hears(), "UP receipt");
    // Its window is shut: nothing more passes, and what waits is unread.
    let (mut before, mut same) = (0, 0);
    in_time("the lines stand still", || {
        relay.signal("USR1");
        let now = counted(&relay.logged(" lines_down="), "lines_down");
        same = if now == before { same + 1 } else { 0 };
        before = now;
        (now > 0 && same > 20).then_some(())
    });
    relay.signal("TERM");
    relay.logged("told to stop");
    let mut number = 0;
    loop {
        let line = client.hears();
        if line == "MOVE" {
            break;
        }
        assert_eq!(line, format!("line {number}"));
        number += 1;
    }
    assert_eq!(client.hears(), "end");
    assert!(number > 0);
    drop(client);
    assert!(end_of(&mut relay.child).success());
}

#[test]
fn settings_that_change_while_a_session_waits_are_not_its_own() {
    let (mute, met) = backend(Play::Mute);
    let mut relay = start_changed(nobody(), &list(1, true, &[("mute", mute, "Ready")]), &[]);
    let mut waits = relay.open("once", 1_500);
    while !next(&met).starts_with("OPEN") {}
    // The order of the listeners, the effect and the deadline of each are others, and one is new.
    let mut later = relay.text.clone();
    let swaps = [
        (
            "\"name\": \"safe\", \"deadlineUs\": 1500000",
            "\"name\": \"new\", \"deadlineUs\": 700000",
        ),
        ("\"name\": \"once\"", "\"name\": \"safe\""),
        (
            "\"effect\": \"fragile\", \"utility\": 1.0}",
            "\"effect\": \"fragile\", \"utility\": 1.0}, {\"name\": \"once\", \"deadlineUs\": 400000, \"handshakeTargetUs\": 300000, \"effect\": \"retryable\", \"utility\": 1.0}",
        ),
    ];
    for (from, to) in swaps {
        assert!(later.contains(from), "{from}");
        later = later.replace(from, to);
    }
    write_config(&later);
    relay.signal("HUP");
    relay.logged("generation 2");
    // While both may bind the stricter holds, so that each is torn down: the one that waits as it
    // came, the others anew.
    let mut others = [relay.open("once", 400), relay.open("safe", 400)];
    for client in &mut others {
        assert_eq!(client.hears(), "ERR");
    }
    assert!(
        relay.open("new", 300).hears().starts_with("BUSY"),
        "repeatable in the settings that know it"
    );
    assert_eq!([waits.hears(), waits.hears()], ["ERR", "end"]);
    relay.signal("TERM");
    assert!(end_of(&mut relay.child).success());
}

// ---- watches ----

/// A relay that follows its agent's watch and has version 7, with one backend that nobody is sent
/// to.
fn watching() -> (Agent, Relay, TcpStream) {
    let agent = Agent::new();
    let relay = start_changed(agent.at, "null", &[]);
    let (watch, _) = agent.call();
    says(
        &watch,
        &format!(
            "{HEAD}{}",
            chunk(&list(7, true, &[("one", nobody(), "Ready")]))
        ),
    );
    relay.counts("lists", 1);
    (agent, relay, watch)
}

#[test]
fn a_call_that_hangs_unanswered_does_not_keep_the_relay_from_what_the_agent_has() {
    let agent = Agent::new();
    let (one, _met) = backend(Play::Echo);
    let (two, two_met) = backend(Play::Echo);
    let relay = start_changed(agent.at, "null", &[GRACE]);
    let (watch, _) = agent.call();
    says(
        &watch,
        &format!("{HEAD}{}", chunk(&list(7, true, &[("one", one, "Ready")]))),
    );
    relay.counts("lists", 1);
    // It goes away: the watch breaks, and a call hangs.
    breaks_off(&watch);
    drop(watch);
    let (hanging, line) = agent.call();
    assert!(line.contains("since=7 "), "{line}");
    let (back, line) = agent.call();
    assert!(line.contains("since=7 "), "{line}");
    assert!(
        is_quiet(&hanging),
        "the one that hangs is not given up for it"
    );
    // Back again, it answers whoever calls now.
    let rows = [("one", one, "Terminating"), ("two", two, "Ready")];
    says(&back, &format!("{HEAD}{}", chunk(&list(8, false, &rows))));
    relay.counts("lists", 2);
    assert_eq!(all_of(&hanging), "", "one watch is left");
    let mut client = relay.open("safe", 1_000);
    assert_eq!(client.hears(), "UP receipt");
    assert!(next(&two_met).starts_with("OPEN"));
    // And the hanging one may be the first that is answered.
    breaks_off(&back);
    drop(back);
    let (hanging, _) = agent.call();
    let (beside, _) = agent.call();
    says(
        &hanging,
        &format!("{HEAD}{}", chunk(&list(9, false, &rows))),
    );
    relay.counts("lists", 3);
    assert_eq!(all_of(&beside), "", "one watch is left");
}

#[test]
fn a_good_watch_that_breaks_is_asked_for_again_within_a_drains_grace() {
    let (agent, relay, watch) = watching();
    let broken = Instant::now();
    breaks_off(&watch);
    drop(watch);
    let (watch, _) = agent.call();
    assert!(
        broken.elapsed() < Duration::from_millis(600),
        "{:?}",
        broken.elapsed()
    );
    // One that breaks as often as it is answered is called no faster than any that has no time.
    says(&watch, &format!("{HEAD}{}", chunk("")));
    breaks_off(&watch);
    drop(watch);
    relay.counts("list_failures", 2);
    agent.listener.set_nonblocking(true).unwrap();
    assert!(agent.listener.accept().is_err(), "asked again at once");
}

/// How calls to discovery come to nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Away {
    Refused,
    Reset,
    Unavailable,
    HalfAList,
    NoList,
    Silent,
}

/// Whatever a row of calls met, what discovery has when it can be reached again is the relay's
/// within six seconds.
#[test]
fn what_discovery_has_at_its_return_is_known_in_time_whatever_calls_met_before() {
    use Away::*;
    let kinds = [Refused, Reset, Unavailable, HalfAList, NoList, Silent];
    let all = kinds
        .iter()
        .chain(&kinds[1..5])
        .map(|&away| std::thread::spawn(move || returns(away)));
    // All are awaited before one may fail, since each ends its own relay.
    let ended: Vec<_> = all
        .collect::<Vec<_>>()
        .into_iter()
        .map(std::thread::JoinHandle::join)
        .collect();
    assert!(
        ended.iter().all(Result::is_ok),
        "a relay did not know in time"
    );
}

fn returns(away: Away) {
    use Away::*;
    let mut agent = Agent::new();
    let (one, one_met) = backend(Play::Echo);
    let (two, two_met) = backend(Play::Echo);
    let relay = start_changed(agent.at, "null", &[]);
    let (watch, _) = agent.call();
    says(
        &watch,
        &format!(
            "{HEAD}{}",
            chunk(&list(
                7,
                true,
                &[("one", one, "Ready"), ("two", two, "Ready")]
            ))
        ),
    );
    relay.counts("lists", 1);
    let mut refused = (away == Refused).then(|| std::mem::replace(&mut agent, Agent::new()));
    let at = refused.as_ref().map_or(agent.at, |gone| gone.at);
    drop(refused.take());
    breaks_off(&watch);
    drop(watch);
    // The first of a watch that had been good comes at once; from the fourth on pauses are the
    // longest.
    let mut hanging = Vec::new();
    for _ in 0..4 {
        if away == Refused {
            break;
        }
        let (call, _) = agent.call();
        let half = &list(8, false, &[("one", one, "Terminating")])[..60];
        match away {
            Refused => {}
            Reset => breaks_off(&call),
            Unavailable => says(&call, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            HalfAList => says(&call, &format!("{HEAD}{:x}\r\n{half}\r\n", half.len() + 2)),
            NoList => says(&call, &format!("{HEAD}{}", chunk("{\"generation\":true}"))),
            Silent => hanging.push(call),
        }
    }
    if away == Refused {
        relay.counts("list_failures", 8);
        agent = Agent {
            listener: TcpListener::bind(at).unwrap(),
            at,
        };
    }
    // From here on it has the drain, and answers whoever calls.
    let back = Instant::now();
    let rows = [("one", one, "Terminating")];
    let (watch, _) = agent.call();
    says(&watch, &format!("{HEAD}{}", chunk(&list(8, false, &rows))));
    relay.counts("lists", 2);
    assert!(
        back.elapsed() < Duration::from_millis(5_500),
        "{away:?}: {:?}",
        back.elapsed()
    );
    let mut clients: Vec<_> = (0..6).map(|_| relay.open("safe", 1_000)).collect();
    for client in &mut clients {
        assert_eq!(client.hears(), "UP receipt", "{away:?}");
        assert!(next(&two_met).starts_with("OPEN"), "{away:?}");
    }
    assert!(
        one_met.try_recv().is_err(),
        "{away:?}: sent to a backend that drains"
    );
}

/// Clients that say nothing take every descriptor that they can get, while discovery is away.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_nobody_out_while_discovery_is_away() {
    let (known, known_met) = backend(Play::Echo);
    let (told, told_met) = backend(Play::Echo);
    let (at, gone) = (nobody(), Agent::new().at);
    let relay = started(
        at,
        config(
            at,
            gone,
            100,
            &list(1, true, &[("known", known, "Ready")]),
            false,
        ),
    );
    relay.counts("list_failures", 2);
    let open = || {
        let path = format!("/proc/{}/fd", relay.child.id());
        std::fs::read_dir(path).unwrap().count()
    };
    let mut idle: Vec<Client> = Vec::new();
    in_time("all that there is are taken", || {
        idle.push(relay.client());
        (idle.len() >= 200).then_some(())
    });
    assert!(open() <= 100, "{} descriptors", open());
    // Whoever talks is served, and what else the relay needs it still gets: its file, discovery.
    let mut standing = relay.open("safe", 7_000);
    assert_eq!(standing.hears(), "UP receipt");
    assert!(next(&known_met).starts_with("OPEN"));
    relay.told("\"cores\":1.0", "\"cores\":1.5");
    relay.logged("limits");
    let agent = Agent {
        listener: TcpListener::bind(gone).unwrap(),
        at: gone,
    };
    let (watch, _) = agent.call();
    says(
        &watch,
        &format!(
            "{HEAD}{}",
            chunk(&list(2, true, &[("told", told, "Ready")]))
        ),
    );
    relay.counts("lists", 1);
    idle.extend((0..100).map(|_| relay.client()));
    let mut client = relay.open("safe", 7_000);
    assert_eq!(client.hears(), "UP receipt");
    assert!(next(&told_met).starts_with("OPEN"));
    standing.say("still here\r\n");
    assert_eq!(standing.hears(), "still here");
    assert!(open() <= 100, "{} descriptors", open());
}

/// Twenty that start at once, with a list of 1,024 backends: nine in ten answer `PING` within ten
/// seconds, whatever their discovery does.
#[test]
fn nine_in_ten_of_twenty_started_at_once_are_ready_in_time() {
    let rows: Vec<(String, SocketAddr)> = (0..1_024)
        .map(|id| (format!("backend-{id:08x}"), nobody()))
        .collect();
    let rows: Vec<_> = rows
        .iter()
        .map(|(name, at)| (name.as_str(), *at, "Ready"))
        .collect();
    let known = list(1, true, &rows);
    // One that answers all, one that takes calls and is silent, one where nobody is.
    let up = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let all = [
        up.local_addr().unwrap(),
        silent.local_addr().unwrap(),
        nobody(),
    ];
    let answer = format!("{HEAD}{}", chunk(&list(2, true, &rows)));
    std::thread::spawn(move || {
        for stream in up.incoming() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let stream = stream.unwrap();
                let mut lines = BufReader::new(&stream);
                let mut line = String::new();
                while line != "\r\n" {
                    line.clear();
                    lines.read_line(&mut line).unwrap();
                }
                says(&stream, &answer);
                lines.read_line(&mut line)
            });
        }
    });
    for discovery in all {
        let one = |known: String| {
            std::thread::spawn(move || {
                let began = Instant::now();
                let relay = start(discovery, 1_000, &known, false);
                let mut client = relay.client();
                client.say("PING\r\n");
                (client.hears() == "PONG").then(|| began.elapsed())
            })
        };
        let relays: Vec<_> = (0..20).map(|_| one(known.clone())).collect();
        let ended: Vec<_> = relays
            .into_iter()
            .map(std::thread::JoinHandle::join)
            .collect();
        let mut times: Vec<Duration> = ended
            .into_iter()
            .filter_map(|one| one.ok().flatten())
            .collect();
        times.sort();
        println!(
            "{discovery}: {:?} {:?} {:?}",
            times.get(9),
            times.get(17),
            times.last()
        );
        assert!(
            times.len() >= 18 && times[17] < Duration::from_secs(10),
            "{discovery}: {times:?}"
        );
    }
}

#[test]
fn lists_may_be_indented_and_spoilt_ones_cost_their_call_alone() {
    let (one, _met) = backend(Play::Echo);
    let whole = list(
        7,
        true,
        &[("one", one, "Ready"), ("a \\\"{[\\\\", one, "Terminating")],
    );
    let value: serde_json::Value = serde_json::from_str(&whole).unwrap();
    let indented = serde_json::to_string_pretty(&value).unwrap();
    let crossed = indented.replace('\n', "\r\n\t");
    let plain_head = "HTTP/1.1 200 OK\r\n\r\n".to_string();
    let cut = |at: &str| format!("{}\n", &whole[..whole.find(at).unwrap()]);
    let good = |text: &str| (format!("{HEAD}{}", chunk(text)), true);
    let bad = |text: String| (format!("{HEAD}{}{}", chunk(&text), chunk(&whole)), false);
    let cases = [
        ("on one line", good(&whole)),
        ("indented", good(&indented)),
        ("indented otherwise", good(&crossed)),
        ("two in one piece", good(&format!("{indented}{whole}"))),
        ("not in chunks", (format!("{plain_head}{crossed}"), true)),
        ("cut off in a word", bad(cut("stanceId"))),
        ("cut off between two words", bad(cut("\"hostPort"))),
        (
            "cut off by an empty line",
            bad(format!("{{\"generation\":\n{}", "\n")),
        ),
        ("no list", bad("what".into())),
        ("a list of another kind", bad("[7]".into())),
        (
            "a row that can't be read",
            bad(whole.replace("Ready", "Steady")),
        ),
    ];
    for (name, (text, taken)) in cases {
        let agent = Agent::new();
        let relay = start_changed(agent.at, "null", &[]);
        let (watch, _) = agent.call();
        // In pieces, so that each part of a list is met by itself as well.
        for piece in text.as_bytes().chunks(97) {
            if (&watch).write_all(piece).is_err() {
                break;
            }
        }
        if taken {
            relay.counts("lists", 1);
            assert_eq!(relay.open("safe", 1_000).hears(), "UP receipt", "{name}");
        } else {
            relay.counts("list_failures", 1);
            let mut client = relay.open("safe", 1_000);
            assert!(
                client.hears().starts_with("BUSY"),
                "{name}: nothing of it counts"
            );
            let (watch, _) = agent.call();
            says(&watch, &format!("{HEAD}{}", chunk(&whole)));
            relay.counts("lists", 1);
        }
    }
}

#[test]
fn a_list_that_trickles_without_end_is_no_sign_of_life() {
    let (agent, _relay, watch) = watching();
    // A byte at a time, of a list that never ends: given up like a silent one.
    let out = watch.try_clone().unwrap();
    let trickle = std::thread::spawn(move || {
        let until = Instant::now() + LONG;
        let mut bytes = "{\"generation\":8,\"instances\":["
            .chars()
            .chain(std::iter::repeat(' '));
        while Instant::now() < until {
            let byte = bytes.next().unwrap();
            if (&out)
                .write_all(format!("1\r\n{byte}\r\n").as_bytes())
                .is_err()
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    });
    let (again, line) = agent.call();
    assert!(line.contains("since=7 "), "{line}");
    drop(watch);
    assert!(trickle.join().unwrap(), "the trickling watch was closed");
    drop(again);
}
