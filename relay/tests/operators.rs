//! The relay as operators meet it: their door, bans, and a second process beside the first on a
//! socket that the platform holds.
mod helper;

use helper::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// An answer at the door is due within this, whatever the load.
const DUE: Duration = Duration::from_secs(1);

/// Between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(5);

/// What the platform holds for one relay: the clients' socket, the folder that its processes share,
/// its discovery.
struct SocketHolder {
    listener: TcpListener,
    folder: PathBuf,
    discovery: SocketAddr,
    limits: usize,
    known: String,
}

impl Drop for SocketHolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl SocketHolder {
    fn new(name: &str, discovery: SocketAddr, known: &str) -> SocketHolder {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        // Every process that is started inherits it, as on the platform.
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
        let folder = std::env::temp_dir().join(format!(
            "thistlecroft-station-{}-{name}",
            std::process::id()
        ));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        SocketHolder {
            listener,
            folder,
            discovery,
            limits: 1_000,
            known: known.into(),
        }
    }

    /// With backends that the list known at start names `b0`, `b1` and so on, and a dead discovery.
    fn with(name: &str, backends: &[SocketAddr]) -> SocketHolder {
        SocketHolder::new(name, nobody(), &known(backends))
    }

    fn text(&self, admin: SocketAddr) -> String {
        let text = config(
            self.listener.local_addr().unwrap(),
            self.discovery,
            self.limits,
            &self.known,
            false,
        );
        text.replacen('{', &format!("{{\"admin_addr\":\"{admin}\","), 1)
    }

    /// Another process of the relay, ready or not.
    fn start(&self) -> Process {
        let admin = nobody();
        let text = self.text(admin);
        let path = self.folder.join(format!("config-{}.json", admin.ip()));
        std::fs::write(&path, &text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_thistlecroft-relay"))
            .env("ROUTER_CONFIG", &path)
            .env(
                "ROUTER_PASSED_SOCKET",
                self.listener.as_raw_fd().to_string(),
            )
            .env("TMPDIR", &self.folder)
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (tell, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| tell.send(line))
        });
        let relay = Relay {
            child,
            at: self.listener.local_addr().unwrap(),
            log,
            text,
        };
        relay.logged("serves at");
        Process { relay, admin }
    }

    fn started(&self) -> Process {
        let process = self.start();
        process.until_ready();
        process
    }
}

fn known(backends: &[SocketAddr]) -> String {
    let names: Vec<String> = (0..backends.len())
        .map(|number| format!("b{number}"))
        .collect();
    let rows: Vec<_> = names
        .iter()
        .zip(backends)
        .map(|(name, at)| (name.as_str(), *at, "Ready"))
        .collect();
    list(1, true, &rows)
}

struct Process {
    relay: Relay,
    admin: SocketAddr,
}

impl Process {
    fn caller(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// What a call is answered, all of it.
    fn call(&self, bytes: &[u8]) -> String {
        let mut stream = self.caller();
        stream.write_all(bytes).unwrap();
        answer(&mut stream)
    }

    fn says_yes(&self, call: &str) {
        let asked = Instant::now();
        let said = self.call(format!("{call}\r\n").as_bytes());
        assert!(
            said.starts_with("200") && asked.elapsed() < DUE,
            "{call}: {said} after {:?}",
            asked.elapsed()
        );
    }

    fn says_no(&self, call: &str) {
        let said = self.call(format!("{call}\n").as_bytes());
        assert!(said.starts_with("400"), "{call}: {said}");
    }

    fn until_ready(&self) {
        let until = Instant::now() + LONG;
        while !self.call(b"READY\n").starts_with("200") {
            assert!(Instant::now() < until, "never ready");
            // Asked without a pause, tens of thousands of closed connections would hold up whatever
            // runs next.
            thread::sleep(LOOK);
        }
    }
}

/// A first line came to this backend.
fn dialled(met: &Met) {
    while !next(met).starts_with("OPEN") {}
}

fn answer(stream: &mut TcpStream) -> String {
    let mut said = String::new();
    stream.read_to_string(&mut said).unwrap();
    assert!(
        said.ends_with("\r\n") && said.lines().count() == 1,
        "one line: {said:?}"
    );
    said
}

#[test]
fn every_call_is_answered_by_one_line() {
    let station = SocketHolder::with("calls", &[nobody()]);
    let process = station.started();
    let long = [b'x'; 5_000];
    let cases: &[(&[u8], &str)] = &[
        (b"READY\r\n", "200 ready"),
        (b"READY\nand what comes behind", "200 ready"),
        (b"DISABLE b0\n", "200 out"),
        (b"DISABLE b0\r\n", "200 already out"),
        (b"ENABLE b0\n", "200 back"),
        (b"ENABLE b0\n", "200 was not out"),
        (b"DISABLE b7\n", "400 no backend b7 was ever listed here"),
        (b"ENABLE b7\n", "400 no backend b7 was ever listed here"),
        (b"DISABLE\n", "400 which backend?"),
        (b"DISABLE \xff\xfe\n", "400 not UTF-8"),
        (b"\r\n", "400 no call"),
        (&long, "400 a line too long"),
    ];
    for (bytes, expected) in cases {
        assert_eq!(
            process.call(bytes).trim_end(),
            *expected,
            "{:?}",
            String::from_utf8_lossy(bytes)
        );
    }
    // Byte by byte, and cut off before the line's end.
    let mut slow = process.caller();
    b"DISABLE b0\r\n"
        .iter()
        .for_each(|byte| slow.write_all(&[*byte]).unwrap());
    assert_eq!(answer(&mut slow).trim_end(), "200 out");
    let mut cut = process.caller();
    cut.write_all(b"ENABLE b0").unwrap();
    cut.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(answer(&mut cut).trim_end(), "400 the line has no end");
}

#[test]
fn callers_who_say_nothing_keep_nobody_out() {
    let station = SocketHolder::with("silent-callers", &[nobody()]);
    let process = station.started();
    let mut silent: Vec<TcpStream> = (0..200).map(|_| process.caller()).collect();
    silent
        .iter_mut()
        .step_by(2)
        .for_each(|stream| stream.write_all(b"DISAB").unwrap());
    (0..20).for_each(|_| process.says_yes("READY"));
    // Most had to make room, and were told so; the descriptors of those that stay are few.
    let mut gone = 0;
    for stream in &mut silent {
        stream.set_nonblocking(true).unwrap();
        gone += usize::from(matches!(stream.read(&mut [0; 64]), Ok(1..)));
    }
    assert!(gone >= 180, "{gone}");
}

#[test]
fn a_banned_backend_gets_nothing_until_the_call_back() {
    let ((first, met), (second, other)) = (backend(Play::Echo), backend(Play::Echo));
    let (at, watched) = discovery(vec![Script {
        pieces: vec![
            HEAD.into(),
            chunk(&list(
                2,
                true,
                &[("b0", first, "Ready"), ("b1", second, "Ready")],
            )),
        ],
        ends: false,
    }]);
    let station = SocketHolder::new("ban", at, "null");
    let process = station.started();
    next(&watched);
    process.says_yes("DISABLE b0");
    let mut clients: Vec<_> = (0..20).map(|_| process.relay.open("safe", 1_000)).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.hears(), "UP receipt"));
    assert_eq!(
        other
            .try_iter()
            .filter(|line| line.starts_with("OPEN"))
            .count(),
        20
    );
    assert!(
        met.try_recv().is_err(),
        "nothing new at the one that is out"
    );
    // Out twice, back once; then it is the only one there is.
    process.says_yes("DISABLE b0");
    process.says_yes("ENABLE b0");
    process.says_yes("DISABLE b1");
    assert_eq!(process.relay.open("safe", 1_000).hears(), "UP receipt");
    dialled(&met);
}

#[test]
fn a_second_process_serves_beside_the_first_and_goes_by_its_bans() {
    let ((first, met), (second, other)) = (backend(Play::Echo), backend(Play::Echo));
    let station = SocketHolder::with("beside", &[first, second]);
    let mut old = station.started();
    old.says_yes("DISABLE b0");
    let new = station.started();
    // Whichever is told, both go by it.
    new.says_yes("READY");
    old.relay.signal("TERM");
    let status = end_of(&mut old.relay.child);
    assert!(status.success(), "{status}");
    let mut clients: Vec<_> = (0..10).map(|_| new.relay.open("safe", 1_000)).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.hears(), "UP receipt"));
    assert!(met.try_recv().is_err() && other.try_iter().count() >= 10);
    new.says_yes("ENABLE b0");
    new.says_yes("DISABLE b1");
    assert_eq!(new.relay.open("safe", 1_000).hears(), "UP receipt");
    dialled(&met);
    // A third finds the list as the second left it, killed or not.
    drop(new);
    let third = station.started();
    assert_eq!(third.relay.open("safe", 1_000).hears(), "UP receipt");
    dialled(&met);
    third.says_no("DISABLE nobody");
}

#[test]
fn standing_connections_go_to_the_next_process_unnoticed() {
    let (address, met) = backend(Play::Echo);
    let station = SocketHolder::with("handed", &[address]);
    let mut process = station.started();
    let mut clients: Vec<_> = (0..40).map(|_| process.relay.open("safe", 1_000)).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.hears(), "UP receipt"));
    // Half a line waits on its way when the process changes.
    clients[0].say("begun ");
    for round in 0..3 {
        let next = station.started();
        process.relay.signal("TERM");
        assert!(end_of(&mut process.relay.child).success());
        assert!(process.relay.logged("stopped;").contains("handed=40 "));
        process = next;
        for (number, client) in clients.iter_mut().enumerate().skip(1) {
            client.say(&format!("line {number} of {round}\r\n"));
            assert_eq!(client.hears(), format!("line {number} of {round}"));
        }
    }
    clients[0].say("and ended\r\n");
    assert_eq!(clients[0].hears(), "begun and ended");
    // One dial each, and none was moved.
    assert_eq!(
        met.try_iter()
            .filter(|line| line.starts_with("OPEN"))
            .count(),
        40
    );
    clients[1].ends_sending();
    assert_eq!(
        (clients[1].hears().as_str(), clients[1].hears().as_str()),
        ("BYE inflight=1", "end")
    );
}

#[test]
fn two_processes_keep_within_one_limit_of_descriptors() {
    let (address, _met) = backend(Play::Echo);
    let limit = 200;
    let mut station = SocketHolder::with("limit", &[address]);
    station.limits = limit;
    let old = station.started();
    let mut standing: Vec<_> = (0..40).map(|_| old.relay.open("safe", 1_000)).collect();
    standing
        .iter_mut()
        .for_each(|client| assert_eq!(client.hears(), "UP receipt"));
    let new = station.started();
    let held = |process: &Process| {
        let folder = format!("/proc/{}/fd", process.relay.child.id());
        std::fs::read_dir(folder).unwrap().count()
    };
    // Both take clients from the one socket; everybody is answered, and the limit holds for the two
    // together.
    let mut later = Vec::new();
    for _ in 0..60 {
        let mut client = new.relay.open("safe", 1_000);
        let said = client.hears();
        assert!(said == "UP receipt" || said.starts_with("BUSY"), "{said}");
        later.push(client);
        assert!(
            held(&old) + held(&new) <= limit,
            "{} and {}",
            held(&old),
            held(&new)
        );
    }
    assert!(held(&old) + held(&new) > limit / 2);
    // What the old one held goes over where alone it would be told that there is no room.
    old.relay.signal("TERM");
    let stopped = old.relay.logged("stopped;");
    assert!(counted(&stopped, "handed") >= 40, "{stopped}");
}

#[test]
fn without_a_next_process_that_takes_them_clients_are_moved() {
    let (address, _met) = backend(Play::Echo);
    for name in ["nobody", "foreign", "mute", "killed"] {
        let station = SocketHolder::with(&format!("moved-{name}"), &[address]);
        let process = station.started();
        let mut client = process.relay.open("safe", 1_000);
        assert_eq!(client.hears(), "UP receipt");
        let place = station.folder.join("thistlecroft-next");
        let packets = || {
            use socket2::{Domain, SockAddr, Socket, Type};
            let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
            socket.connect(&SockAddr::unix(&place).unwrap()).unwrap();
            socket
        };
        let hello =
            |relay: &str| format!("{{\"Hello\":{{\"version\":1,\"relay\":\"{relay}\"}}}}\n");
        // Each ends or keeps silent at another point of the way.
        let mut beside = None;
        match name {
            "foreign" => drop(packets().send(hello("another").as_bytes()).unwrap()),
            "mute" => {
                let socket = packets();
                socket.send(hello("r0").as_bytes()).unwrap();
                beside = Some(socket);
            }
            "killed" => drop(station.started()),
            _ => {}
        }
        process.relay.signal("TERM");
        assert_eq!(
            (client.hears().as_str(), client.hears().as_str()),
            ("MOVE", "end"),
            "{name}"
        );
        drop(beside);
    }
}

/// A listener's row of the settings, as text.
const PAY: &str = r#",{"name": "pay", "deadlineUs": 1500000, "handshakeTargetUs": 300000, "effect": "fragile", "utility": 1.0}]"#;

#[test]
fn other_settings_are_taken_up_whole_or_not_at_all() {
    let (address, met) = backend(Play::Echo);
    let relay = relay_with(&[address]);
    let answered = |listener: &str| relay.open(listener, 1_000).hears();
    let until = |listener: &str, word: &str| {
        let began = Instant::now();
        while answered(listener) != word {
            assert!(
                began.elapsed() < LONG,
                "{listener} is never answered {word}"
            );
            thread::sleep(LOOK);
        }
        began.elapsed()
    };
    let mut standing = relay.open("safe", 1_000);
    assert_eq!(standing.hears(), "UP receipt");
    assert_eq!(answered("pay"), "ERR");
    // A class is added: served at once, and the others still are.
    relay.told(
        "}],\n \"invariants\"",
        &format!("}}{PAY},\n \"invariants\""),
    );
    until("pay", "UP receipt");
    assert_eq!(answered("safe"), "UP receipt");
    // Files that are broken change nothing, of this or of what went before.
    let with = relay.text.replace(
        "}],\n \"invariants\"",
        &format!("}}{PAY},\n \"invariants\""),
    );
    let broken = [
        String::new(),
        with[..with.len() - 40].to_string(),
        with.replace(
            "\"deadlineUs\": 1500000, \"handshakeTargetUs\": 300000, \"effect\": \"fragile\"",
            "\"effect\": \"fragile\"",
        ),
        with.replace("1500000", "-5").replace("safe", "other"),
        with.replace("1500000", "0").replace("safe", "other"),
        with.replace("\"maxDials\": 1", "\"maxDials\": 0")
            .replace("safe", "other"),
        with.replace("\"pay\"", "\"safe\""),
    ];
    for text in &broken {
        write_config(text);
        relay.signal("HUP");
        relay.logged("what was read before stays");
        assert_eq!(answered("pay"), "UP receipt", "{text}");
        assert_eq!(answered("other"), "ERR");
    }
    // A class is dropped, and two files in a row: clients under way are served for a while, and
    // then it is unknown.
    write_config(&with);
    relay.signal("HUP");
    let without = with.replace("\"name\": \"once\"", "\"name\": \"twice\"");
    write_config(&without);
    relay.signal("HUP");
    until("twice", "UP receipt");
    assert_eq!(answered("once"), "UP receipt", "clients under way");
    let late = until("once", "ERR");
    assert!(late < Duration::from_millis(1_300), "{late:?}");
    assert_eq!(answered("pay"), "UP receipt");
    // What stood through all of it still does.
    standing.say("still here\r\n");
    assert_eq!(standing.hears(), "still here");
    drop(met);
}

#[test]
fn a_socket_that_does_not_listen_is_one_clear_line() {
    let station = SocketHolder::with("bad-socket", &[]);
    let client = TcpStream::connect(station.listener.local_addr().unwrap()).unwrap();
    rustix::io::fcntl_setfd(&client, rustix::io::FdFlags::empty()).unwrap();
    let bound = TcpListener::bind(nobody()).unwrap();
    let good = station.text(nobody());
    let connected = client.as_raw_fd().to_string();
    let taken = good
        .replace("\"admin_addr\":\"127", "\"admin_addr\":\"")
        .replace("\"admin_addr\":\"", "\"admin_addr\":\"x");
    let busy = station.text(bound.local_addr().unwrap());
    let passed = station.listener.as_raw_fd().to_string();
    let cases = [
        (&good, connected.as_str(), "does not listen"),
        (&good, "900", "is no open socket"),
        (&good, "seven", "is no descriptor"),
        (&good, "1", "is no descriptor"),
        (&taken, &passed, "admin_addr"),
        (&busy, &passed, "in use"),
    ];
    for (text, descriptor, expected) in cases {
        let path = station.folder.join("bad.json");
        std::fs::write(&path, text).unwrap();
        let done = Command::new(env!("CARGO_BIN_EXE_thistlecroft-relay"))
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_PASSED_SOCKET", descriptor)
            .env("TMPDIR", &station.folder)
            .env("RUST_LOG", "off")
            .output()
            .unwrap();
        let said = String::from_utf8(done.stderr).unwrap();
        assert!(
            !done.status.success() && said.lines().count() == 1,
            "{descriptor}: {said}"
        );
        assert!(said.contains(expected), "{descriptor}: {said}");
    }
}
