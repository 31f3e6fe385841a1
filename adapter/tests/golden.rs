//! Comparisons with a recorded session on the simulator's wire, which has every kind of event, and
//! with the recorded errors of the program.
#[path = "../../tests/golden_file/mod.rs"]
mod golden_file;

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::path::Path;
use std::process::{Command, Output, Stdio};

/// Sizes in bytes of the records on the wire, and of the part of a reply's header that its length
/// does not count.
const EVENT_BYTES: usize = 48;
const ENTRY_BYTES: usize = 24;
const ACTION_BYTES: usize = 24;
const REPLY_HEADER_BYTES: usize = 8;

const INSTANCE: u16 = 3;
const FIRST_BACKEND: [u8; 6] = [10, 18, 74, 7, 0x5b, 0x1b];
const SECOND_BACKEND: [u8; 6] = [10, 144, 17, 242, 0x84, 0x1b];
/// Codes of the states of backends in entries of the endpoint list.
const READY: u8 = 0;
const REMOVED: u8 = 1;
const DRAINING: u8 = 2;

const SETTINGS: &str = r#"{"az": 0, "zones": ["a", "b"], "balancers": 1, "me": 0, "tickUs": 2000,
 "discovery": "subscribe", "weights": "live",
 "listeners": [
  {"name": "view", "deadlineUs": 1200000, "handshakeTargetUs": 300000, "effect": "retryable", "utility": 1.0},
  {"name": "pay", "deadlineUs": 2400000, "handshakeTargetUs": 300000, "effect": "fragile", "utility": 2.0},
  {"name": "book", "deadlineUs": 2400000, "handshakeTargetUs": 300000, "effect": "dedup",
   "dedupScope": "zone", "dedupWindowUs": 500000, "utility": 1.0}],
 "invariants": {"askWithinUs": 5000000, "coldUs": 9000000, "drainGraceUs": 2000000, "fallUs": 3000000,
  "overloadFactor": 3.0, "startCapacity": 0.3},
 "permissions": {"connIdleUs": 0, "dialTimeoutUs": 50000, "maxDials": 3, "maxRetryAfterUs": 2000000,
  "mayCancel": true, "parallelTries": false, "peers": false, "probes": true, "retryAfter": true},
 "prices": {"crossZone": 0.1, "moves": 0.1, "probe": 0.01},
 "extra": {"groups": true, "messageAimUs": [50000, 50000, 50000], "tellsLoad": true, "tellsDelay": true},
 "report": {"fields": ["rif", "x0"], "how": "piggyback"}}"#;

/// A record under construction; the fields that are not given stay zero.
struct Record(Vec<u8>);

impl Record {
    fn event(code: u16) -> Record {
        Record(Vec::new()).u16(code).u16(INSTANCE)
    }

    fn bytes(mut self, bytes: &[u8]) -> Record {
        self.0.extend_from_slice(bytes);
        self
    }

    fn u8(self, value: u8) -> Record {
        self.bytes(&[value])
    }

    fn u16(self, value: u16) -> Record {
        self.bytes(&value.to_le_bytes())
    }

    fn u32(self, value: u32) -> Record {
        self.bytes(&value.to_le_bytes())
    }

    fn u64(self, value: u64) -> Record {
        self.bytes(&value.to_le_bytes())
    }

    fn f32(self, value: f32) -> Record {
        self.bytes(&value.to_le_bytes())
    }

    fn padded(mut self, size: usize) -> Vec<u8> {
        assert!(self.0.len() <= size, "{} of {size} bytes", self.0.len());
        self.0.resize(size, 0);
        self.0
    }
}

/// A batch under construction: events, and the tail that they refer to.
struct Batch {
    number: u32,
    clock_us: u64,
    events: Vec<Vec<u8>>,
    tail: Vec<u8>,
}

impl Batch {
    fn new(number: u32, clock_us: u64) -> Batch {
        Batch {
            number,
            clock_us,
            events: Vec::new(),
            tail: Vec::new(),
        }
    }

    fn event(mut self, record: Record) -> Batch {
        self.events.push(record.padded(EVENT_BYTES));
        self
    }

    fn start(mut self) -> Batch {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(SETTINGS.as_bytes());
        let record = Record::event(1000).u64(0x0807_0605_0403_0201);
        self.event(record.u32(offset).u32(SETTINGS.len() as u32))
    }

    /// Adds an endpoint list, of which each entry has an address, a zone and a state.
    fn endpoints(mut self, kind: u8, backends: &[([u8; 6], u8, u8)]) -> Batch {
        let offset = self.tail.len() as u32;
        for (address, zone, state) in backends {
            let entry = Record(Vec::new()).bytes(address).u8(*zone).u16(0).u16(7);
            let entry = entry.u8(*state).f32(1.5).u64(0);
            self.tail.extend(entry.padded(ENTRY_BYTES));
        }
        let record = Record::event(1010).u8(kind).u64(41);
        self.event(record.u32(offset).u32(backends.len() as u32))
    }

    fn session_arrived(self, id: u64, listener: u16, timeout_us: u32) -> Batch {
        let record = Record::event(1020).u64(id).u16(listener).u16(0);
        let record = record.u64(0x1122_3344_5566_7788).u32(timeout_us);
        self.event(record.u32(0).u64(0x99))
    }

    fn session_inherited(self, id: u64, backend: [u8; 6], listener: u16) -> Batch {
        let record = Record::event(1100).u64(id).bytes(&backend).u64(0x99).u32(0);
        let record = record.u16(listener).u16(0).u32(1_200_000);
        self.event(record.u64(0x1122_3344_5566_7788))
    }

    fn attempt_ready(self, id: u64, attempt: u16, backend: [u8; 6]) -> Batch {
        let record = Record::event(1030).u64(id).u16(attempt).bytes(&backend);
        self.event(record.u32(9_250))
    }

    fn attempt_ended(
        self,
        id: u64,
        attempt: u16,
        backend: [u8; 6],
        outcome: u16,
        is_answered: bool,
    ) -> Batch {
        let record = Record::event(1040).u64(id).u32(18_500).u16(outcome);
        let record = record
            .bytes(&backend)
            .u16(attempt)
            .u8(u8::from(is_answered));
        self.event(record.u8(2).f32(7.0).f32(0.4))
    }

    fn session_left(self, id: u64) -> Batch {
        self.event(Record::event(1050).u64(id))
    }

    fn wake(self) -> Batch {
        self.event(Record::event(1060).u64(0))
    }

    fn health_checked(self, backend: [u8; 6], outcome: u16, load: f32) -> Batch {
        let record = Record::event(1070).bytes(&backend).u16(outcome).u32(1_400);
        self.event(record.u8(2).f32(7.0).f32(load))
    }

    fn peer_message(mut self) -> Batch {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(b"hi 7");
        self.event(Record::event(1080).u16(2).u32(offset).u32(4))
    }

    fn observation(self, id: u64, backend: [u8; 6], kind: u8, value: f32) -> Batch {
        let record = Record::event(1110).u64(id).u16(0).bytes(&backend);
        self.event(record.u8(kind).f32(value))
    }

    fn stop(self) -> Batch {
        self.event(Record::event(1090))
    }

    fn frame(&self) -> Vec<u8> {
        let length = 4 + self.events.len() * EVENT_BYTES + self.tail.len();
        let header = Record(Vec::new()).u32(self.number).u64(self.clock_us);
        let header = header.u32(length as u32).u32(self.events.len() as u32);
        [header.0, self.events.concat(), self.tail.clone()].concat()
    }
}

/// Returns a session with the simulator: sessions of clients with every outcome, while the endpoint
/// list changes, discovery fails and recovers.
fn session() -> Vec<Batch> {
    let both_ready = [(FIRST_BACKEND, 0, READY), (SECOND_BACKEND, 1, READY)];
    let first_draining = [(FIRST_BACKEND, 0, DRAINING)];
    vec![
        Batch::new(1, 1_000)
            .start()
            .endpoints(2, &both_ready)
            .session_inherited(100, FIRST_BACKEND, 0)
            .session_inherited(101, SECOND_BACKEND, 2),
        Batch::new(2, 3_000).endpoints(0, &[]),
        Batch::new(3, 10_000)
            .session_arrived(1, 0, 1_200_000)
            .session_arrived(2, 1, 2_400_000)
            .session_arrived(3, 2, 2_400_000),
        Batch::new(4, 30_000)
            .attempt_ready(1, 0, FIRST_BACKEND)
            .attempt_ended(2, 0, FIRST_BACKEND, 304, false)
            .attempt_ended(3, 0, FIRST_BACKEND, 302, false)
            .peer_message(),
        Batch::new(5, 60_000)
            .observation(1, FIRST_BACKEND, 1, 2_500.0)
            .observation(1, FIRST_BACKEND, 2, 900.0)
            .health_checked(SECOND_BACKEND, 100, 0.4)
            .health_checked(SECOND_BACKEND, 303, 0.4)
            .wake(),
        Batch::new(6, 100_000)
            .session_arrived(4, 1, 2_400_000)
            .session_arrived(5, 0, 1_200_000),
        // A non-idempotent session fails, and a client leaves during an attempt.
        Batch::new(7, 120_000)
            .attempt_ended(4, 0, FIRST_BACKEND, 301, false)
            .session_left(5)
            .attempt_ended(5, 0, FIRST_BACKEND, 306, true),
        Batch::new(8, 200_000).endpoints(0, &first_draining),
        Batch::new(9, 202_000).wake().session_arrived(6, 0, 900_000),
        Batch::new(10, 700_000)
            .attempt_ended(6, 0, SECOND_BACKEND, 305, false)
            .attempt_ended(100, 0, FIRST_BACKEND, 100, true)
            .wake(),
        Batch::new(11, 900_000)
            .endpoints(0, &[(FIRST_BACKEND, 0, REMOVED)])
            .session_arrived(7, 0, 1_200_000)
            .session_arrived(8, 1, 40_000),
        Batch::new(12, 930_000)
            .attempt_ended(7, 0, SECOND_BACKEND, 307, false)
            .attempt_ended(8, 0, SECOND_BACKEND, 303, false),
        // An overloaded backend, from which a session is migrated.
        Batch::new(13, 3_000_000).health_checked(SECOND_BACKEND, 100, 50.0),
        Batch::new(14, 3_200_000).wake(),
        Batch::new(15, 3_400_000).wake(),
        // Discovery fails, and then lists no backend: new sessions are rejected.
        Batch::new(16, 5_000_000).endpoints(3, &[]).wake(),
        Batch::new(17, 5_100_000).endpoints(1, &[]).wake(),
        Batch::new(18, 5_200_000)
            .session_arrived(9, 0, 1_200_000)
            .session_arrived(10, 1, 1_200_000),
        Batch::new(19, 6_500_000).wake(),
        Batch::new(20, 9_000_000)
            .stop()
            .start()
            .endpoints(2, &both_ready)
            .session_arrived(11, 0, 1_200_000),
        Batch::new(21, 9_001_000),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Runs the program on this input until it exits, which it does at the end of its input.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_thistlecroft-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("the stream is piped");
    let mut stdout = child.stdout.take().expect("the stream is piped");
    let reader = std::thread::spawn(move || {
        let mut output = Vec::new();
        stdout.read_to_end(&mut output).map(|_| output)
    });
    // A program that stops at malformed input may leave the rest unread, so that the write fails.
    let written = stdin.write_all(input);
    drop(stdin);
    let mut output = child.wait_with_output().expect("the program exits");
    output.stdout = reader
        .join()
        .unwrap()
        .expect("the program's output can be read");
    assert!(written.is_ok() || !output.status.success(), "{written:?}");
    output
}

/// Splits the output into replies, each with its header.
fn replies(output: &[u8]) -> Vec<&[u8]> {
    let (mut rest, mut replies) = (output, Vec::new());
    while !rest.is_empty() {
        let length = u32::from_le_bytes(rest[4..8].try_into().unwrap()) as usize;
        let (reply, more) = rest.split_at(REPLY_HEADER_BYTES + length);
        replies.push(reply);
        rest = more;
    }
    replies
}

/// Prints a reply as lines of hexadecimal digits: its header, its records and its tail.
fn reply_lines(reply: &[u8]) -> String {
    let (header, rest) = reply.split_at(REPLY_HEADER_BYTES + 4);
    let count = u32::from_le_bytes(header[8..12].try_into().unwrap()) as usize;
    let (records, tail) = rest.split_at(count * ACTION_BYTES);
    let mut lines = format!("  reply {}\n", hex(header));
    for record in records.chunks(ACTION_BYTES) {
        writeln!(lines, "    {}", hex(record)).unwrap();
    }
    if !tail.is_empty() {
        writeln!(lines, "    tail {}", hex(tail)).unwrap();
    }
    lines
}

#[test]
fn session_with_every_event_gets_the_recorded_bytes() {
    let session = session();
    let frames: Vec<Vec<u8>> = session.iter().map(Batch::frame).collect();
    let output = run(&frames.concat());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{stderr}");
    assert_eq!(stderr, "");
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), frames.len(), "each batch has a reply");
    let mut recording = String::new();
    for (frame, reply) in frames.iter().zip(replies) {
        writeln!(recording, "batch {}", hex(frame)).unwrap();
        recording += &reply_lines(reply);
    }
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    golden_file::assert_unchanged(&folder.join("session.txt"), &recording);
}

#[test]
fn recorded_session_has_every_action() {
    let recording = include_str!("golden/session.txt");
    let records = recording
        .lines()
        .filter_map(|line| line.strip_prefix("    "));
    let codes: std::collections::BTreeSet<u16> = records
        .map(|record| u16::from_str_radix(&record[..4], 16).unwrap().swap_bytes())
        .collect();
    // Health check, wake-up, subscription, cancellation, connection, rejection, migration and
    // failure. The record of a panic (1120) is left to the unit tests, since no known input makes
    // the balancer panic.
    let expected = [1000, 1020, 1030, 1040, 1050, 1080, 1090, 1110];
    assert_eq!(codes, expected.into());
}

#[test]
fn malformed_input_ends_the_program_with_the_recorded_errors() {
    let started = Batch::new(1, 1_000).start().endpoints(2, &[]).frame();
    let unknown_event = Batch::new(2, 2_000).event(Record::event(9_999)).frame();
    let bare_event = Batch::new(1, 1_000).wake().frame();
    let cases = [
        ("nothing", Vec::new()),
        ("half a header", started[..7].to_vec()),
        ("half a body", started[..100].to_vec()),
        ("an unknown event", [started, unknown_event].concat()),
        ("an event before the start", bare_event),
    ];
    let mut recording = String::new();
    for (name, input) in cases {
        let output = run(&input);
        let code = output.status.code().expect("the program was not killed");
        let stderr = String::from_utf8_lossy(&output.stderr);
        writeln!(recording, "{name}: exit {code}, {}", stderr.trim_end()).unwrap();
    }
    for argument in ["--help", "--version", "--verbose"] {
        let output = Command::new(env!("CARGO_BIN_EXE_thistlecroft-adapter"))
            .arg(argument)
            .output()
            .unwrap();
        let code = output.status.code().expect("the program was not killed");
        writeln!(recording, "{argument}: exit {code}").unwrap();
        recording += &String::from_utf8_lossy(&output.stdout);
        recording += &String::from_utf8_lossy(&output.stderr);
    }
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    golden_file::assert_unchanged(&folder.join("program.txt"), &recording);
}
