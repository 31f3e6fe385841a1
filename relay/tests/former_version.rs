//! The former version of the relay and this one together: each takes over connections from the
//! other, applies the other's bans, and is a member of one fleet with the other.
//!
//! `THISTLECROFT_FORMER_RELAY` names the former version's built `thistlecroft-relay`. Where it is
//! not set, each test prints that it was not run, and ends.
mod helper;

use helper::host::{
    Host, RelayProcess, TestFolder, former_program, new_program, wait_until, with_admin,
};
use helper::{
    Client, config, counter_value, endpoint_list, open_line, unused_address, wait_for_exit,
};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

// ---- hot restart ----

/// Number of connections that exchange lines throughout a restart.
const STREAMS: usize = 8;
/// Number of lines that a client sends before it reads their answers.
const BATCH: usize = 100;
/// Pause between two batches, so that the streams leave some of the machine to other processes.
const BATCH_INTERVAL: Duration = Duration::from_millis(1);
/// Number of lines that each stream exchanges before a restart, and again after it.
const PROGRESS: usize = 5 * BATCH;

/// A backend that numbers the connections it accepts, and answers each line with its own name and
/// the connection's number before it.
struct NumberingBackend {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

impl NumberingBackend {
    fn start(name: &'static str) -> NumberingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = Arc::new(AtomicUsize::new(0));
        let counter = accepted.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let number = counter.fetch_add(1, Ordering::SeqCst);
                let origin = format!("{name}/{number}");
                thread::spawn(move || answer_lines(stream.unwrap(), &origin));
            }
        });
        NumberingBackend { address, accepted }
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// Answers lines until the connection ends or fails. Missing answers are detected by the client.
fn answer_lines(stream: TcpStream, origin: &str) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut lines = BufReader::new(stream).lines();
    let opening = lines.next().transpose()?.unwrap_or_default();
    assert!(opening.starts_with("OPEN "), "opened by {opening:?}");
    output.write_all(b"UP receipt\r\n")?;
    for line in lines {
        output.write_all(format!("{origin} {}\r\n", line?).as_bytes())?;
    }
    Ok(())
}

/// Starts two backends, `b0` and `b1`, named as in a relay's endpoint list.
fn two_backends() -> [NumberingBackend; 2] {
    ["b0", "b1"].map(NumberingBackend::start)
}

/// A client with an established session, and the connection of the backend that answers it.
struct OpenClient {
    client: Client,
    origin: String,
}

impl OpenClient {
    fn open(process: &RelayProcess) -> OpenClient {
        let mut client = process.relay.connect();
        client.send(&open_line("c=safe,d=1000"));
        assert_eq!(client.next_line(), "UP receipt");
        client.send("whose\r\n");
        let answer = client.next_line();
        let origin = answer
            .strip_suffix(" whose")
            .unwrap_or_else(|| panic!("no answer of a backend: {answer:?}"))
            .to_string();
        OpenClient { client, origin }
    }

    fn backend(&self) -> &str {
        self.origin.split('/').next().unwrap()
    }

    /// Expects the answer to this line next, from the same connection of the same backend.
    fn expect_answer(&mut self, line: &str) {
        assert_eq!(self.client.next_line(), format!("{} {line}", self.origin));
    }
}

/// A client that sends numbered lines in batches, and checks each answer, on a thread of its
/// own.
struct LineStream {
    answered: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl LineStream {
    fn start(mut client: OpenClient) -> LineStream {
        let answered = Arc::new(AtomicUsize::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let (counter, until) = (answered.clone(), stopped.clone());
        let thread = thread::spawn(move || {
            while !until.load(Ordering::SeqCst) {
                exchange_batch(&mut client, &counter);
                thread::sleep(BATCH_INTERVAL);
            }
        });
        LineStream {
            answered,
            stopped,
            thread,
        }
    }

    fn answered(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Stops the client. Panics if an answer was not the expected one.
    fn stop(self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread
            .join()
            .expect("an answer was not the expected one");
    }
}

fn exchange_batch(client: &mut OpenClient, answered: &AtomicUsize) {
    let first = answered.load(Ordering::SeqCst);
    let lines: Vec<String> = (first..first + BATCH)
        .map(|number| format!("line {number}"))
        .collect();
    client.client.send(&(lines.join("\r\n") + "\r\n"));
    for line in &lines {
        client.expect_answer(line);
        answered.fetch_add(1, Ordering::SeqCst);
    }
}

/// Waits until each stream has exchanged `PROGRESS` more lines.
fn wait_for_progress(streams: &[LineStream]) {
    let targets: Vec<usize> = streams
        .iter()
        .map(|stream| stream.answered() + PROGRESS)
        .collect();
    wait_until("each stream exchanges more lines", || {
        streams
            .iter()
            .zip(&targets)
            .all(|(stream, target)| stream.answered() >= *target)
    });
}

/// Replaces a process of program `from` by one of program `to` while clients exchange lines, and
/// checks that each connection is kept.
fn check_hot_restart(name: &str, from: &Path, to: &Path) {
    let backends = two_backends();
    let host = Host::new(name, &backends.each_ref().map(|backend| backend.address));
    let mut old = host.start(from);
    let mut interrupted = OpenClient::open(&old);
    let streams: Vec<LineStream> = (0..STREAMS)
        .map(|_| LineStream::start(OpenClient::open(&old)))
        .collect();
    let connections = STREAMS + 1;
    // The old process holds an incomplete line while it is replaced.
    interrupted.client.send("begun ");
    wait_for_progress(&streams);

    let new = host.start(to);
    old.relay.signal("TERM");
    let status = wait_for_exit(&mut old.relay.child);
    assert!(status.success(), "{status}");
    let stopped = old.relay.wait_for_log("stopped;");
    assert_eq!(
        counter_value(&stopped, "handed") as usize,
        connections,
        "{stopped}"
    );

    wait_for_progress(&streams);
    streams.into_iter().for_each(LineStream::stop);
    interrupted.client.send("and ended\r\n");
    interrupted.expect_answer("begun and ended");
    new.relay.signal("USR1");
    let counters = new.relay.wait_for_log(" adopted=");
    assert_eq!(
        counter_value(&counters, "adopted") as usize,
        connections,
        "{counters}"
    );
    let accepted: usize = backends.iter().map(NumberingBackend::accepted).sum();
    assert_eq!(accepted, connections, "a connection was opened again");
}

#[test]
fn open_connections_when_the_new_version_replaces_the_former_are_kept() {
    let Some(former) = former_program() else {
        return;
    };
    check_hot_restart("former-to-new", &former, new_program());
}

#[test]
fn open_connections_when_the_former_version_replaces_the_new_are_kept() {
    let Some(former) = former_program() else {
        return;
    };
    check_hot_restart("new-to-former", new_program(), &former);
}

// ---- bans ----

/// Number of clients that are opened to check which backend new sessions go to.
const NEW_CLIENTS: usize = 20;

/// Checks that new sessions go to this backend.
fn expect_new_clients_at(process: &RelayProcess, backend: &str) {
    for _ in 0..NEW_CLIENTS {
        assert_eq!(OpenClient::open(process).backend(), backend);
    }
}

/// Waits until this process has read the file of the other process, and applies this many bans.
fn wait_for_bans(process: &RelayProcess, count: usize) {
    process
        .relay
        .wait_for_log(&format!("bans of another process taken over: {count} out"));
}

/// Changes bans at one program, and checks that the other applies them, both at its start and while
/// it runs.
fn check_bans(name: &str, writer: &Path, reader: &Path) {
    let backends = two_backends();
    let host = Host::new(name, &backends.each_ref().map(|backend| backend.address));
    let writer = host.start(writer);
    assert_eq!(writer.admin_command("DISABLE b0"), "200 out");
    let reader = host.start(reader);
    wait_for_bans(&reader, 1);
    assert_eq!(reader.admin_command("DISABLE b0"), "200 already out");

    assert_eq!(writer.admin_command("ENABLE b0"), "200 back");
    wait_for_bans(&reader, 0);
    assert_eq!(reader.admin_command("ENABLE b0"), "200 was not out");
    assert_eq!(writer.admin_command("DISABLE b0"), "200 out");
    wait_for_bans(&reader, 1);
    assert_eq!(reader.admin_command("DISABLE b0"), "200 already out");

    // Once the writer is killed, only the reader serves clients and uses the file.
    drop(writer);
    expect_new_clients_at(&reader, "b1");
    assert_eq!(backends[0].accepted(), 0, "a banned backend got a client");
}

#[test]
fn a_ban_by_the_former_version_is_obeyed_and_shown_by_the_new() {
    let Some(former) = former_program() else {
        return;
    };
    check_bans("bans-of-former", &former, new_program());
}

#[test]
fn a_ban_by_the_new_version_is_obeyed_and_shown_by_the_former() {
    let Some(former) = former_program() else {
        return;
    };
    check_bans("bans-of-new", new_program(), &former);
}

// ---- a fleet of peers ----

/// Number of voters: two of each version, so that each majority of three has both versions.
const VOTERS: usize = 4;
/// Numbers of the relays that request the lease: one of each version, neither of them a voter.
const CANDIDATES: [usize; 2] = [4, 5];
const MEMBERS: usize = VOTERS + CANDIDATES.len();
const PROBE_INTERVAL: &str = "200ms";
const LEASE_TERM: &str = "3000ms";
const LEASE: &str = "migration";
/// The start of the answer of a relay that holds the requested lease.
const HELD: &str = "200 held ";

/// Relays of both versions in one fleet. Relays with even numbers run the former version.
struct MixedFleet {
    members: Vec<RelayProcess>,
    _folder: TestFolder,
}

impl MixedFleet {
    fn start(former: &Path) -> MixedFleet {
        let folder = TestFolder::new("mixed-fleet");
        let key_file = folder.path().join("peers.key");
        std::fs::write(&key_file, "a key for this test alone\n").unwrap();
        let addresses: Vec<SocketAddr> = (0..MEMBERS).map(|_| unused_address()).collect();
        let members: Vec<RelayProcess> = (0..MEMBERS)
            .map(|number| {
                let program = if number % 2 == 0 {
                    former
                } else {
                    new_program()
                };
                let operator_config = peers_operator_config(number, &addresses, &key_file);
                start_member(program, number, &operator_config, folder.path())
            })
            .collect();
        members.iter().for_each(RelayProcess::wait_until_ready);
        MixedFleet {
            members,
            _folder: folder,
        }
    }

    /// Returns the names of the relays that this relay sees alive, including its own.
    fn alive_at(&self, number: usize) -> BTreeSet<String> {
        let view = json_answer(&self.members[number], "PEERS");
        let alive = view["peers"]
            .as_array()
            .unwrap()
            .iter()
            .filter(|peer| peer["standing"] == "here")
            .map(|peer| &peer["name"]);
        alive
            .chain([&view["name"]])
            .map(|name| name.as_str().unwrap().to_string())
            .collect()
    }

    fn wait_until_all_see_all(&self) {
        let all: BTreeSet<String> = (0..MEMBERS).map(member_name).collect();
        wait_until("all relays see all relays", || {
            (0..MEMBERS).all(|number| self.alive_at(number) == all)
        });
    }

    /// Returns true if this relay knows the note as one of `author`.
    fn has_note(&self, number: usize, subject: &str, value: &str, author: usize) -> bool {
        let owner = format!("{}/", member_name(author));
        let answer = json_answer(&self.members[number], "NOTES");
        answer["notes"].as_array().unwrap().iter().any(|note| {
            note["subject"] == subject
                && note["value"] == value
                && note["owner"].as_str().unwrap().starts_with(&owner)
        })
    }

    fn announce(&self, author: usize, subject: &str, value: &str) {
        let command = format!("NOTE {subject} {value}");
        assert_eq!(self.members[author].admin_command(&command), "200 told");
    }

    fn wait_until_all_have_note(&self, subject: &str, value: &str, author: usize) {
        wait_until("the note is seen at all relays", || {
            (0..MEMBERS).all(|number| self.has_note(number, subject, value, author))
        });
    }
}

fn member_name(number: usize) -> String {
    format!("relay-{number}")
}

/// Sends an admin command, and returns the JSON of its answer.
fn json_answer(process: &RelayProcess, command: &str) -> serde_json::Value {
    let answer = process.admin_command(command);
    let text = answer
        .strip_prefix("200 ")
        .unwrap_or_else(|| panic!("{command}: {answer}"));
    serde_json::from_str(text).unwrap()
}

/// Returns the operator configuration that makes this relay a member of the fleet.
fn peers_operator_config(number: usize, addresses: &[SocketAddr], key_file: &Path) -> String {
    let own = addresses[number];
    let seeds: Vec<String> = addresses[..VOTERS]
        .iter()
        .map(SocketAddr::to_string)
        .collect();
    let voters: Vec<String> = (0..VOTERS).map(member_name).collect();
    format!(
        "[peers]\nfleet = \"mixed\"\nlisten = \"{own}\"\nadvertise = \"{own}\"\n\
         key_file = \"{}\"\nseeds = {seeds:?}\nvoters = {voters:?}\n\
         period = \"{PROBE_INTERVAL}\"\nlease = \"{LEASE_TERM}\"\n",
        key_file.display()
    )
}

fn start_member(
    program: &Path,
    number: usize,
    operator_config: &str,
    folder: &Path,
) -> RelayProcess {
    let name = member_name(number);
    let own_folder: PathBuf = folder.join(&name);
    std::fs::create_dir_all(&own_folder).unwrap();
    let (client_address, admin) = (unused_address(), unused_address());
    let backends = endpoint_list(1, true, &[("b0", unused_address(), "Ready")]);
    let configuration = config(client_address, unused_address(), 1_000, &backends, false)
        .replace("\"name\":\"r0\"", &format!("\"name\":\"{name}\""))
        .replace(
            "\"retryAfter\": true",
            "\"retryAfter\": true, \"peers\": true",
        );
    let configuration = with_admin(configuration, admin);
    let configuration_file = own_folder.join("config.json");
    std::fs::write(&configuration_file, &configuration).unwrap();
    let operator_config_file = own_folder.join("charter.toml");
    std::fs::write(&operator_config_file, operator_config).unwrap();
    let mut command = Command::new(program);
    command
        .env("ROUTER_CONFIG", &configuration_file)
        .env("THISTLECROFT_CHARTER", &operator_config_file)
        .env("TMPDIR", &own_folder);
    RelayProcess::launch(command, client_address, admin, configuration)
}

/// The time in which a relay holds the lease for certain, according to its own answer.
#[derive(Debug)]
struct Tenure {
    holder: usize,
    epoch: u64,
    from: Instant,
    until: Instant,
}

/// Asks relays for the lease, and checks by their answers that only one holds it at a time.
struct LeaseObserver<'a> {
    fleet: &'a MixedFleet,
    tenures: Vec<Tenure>,
}

impl LeaseObserver<'_> {
    /// Requests the lease at this relay, and returns the answer.
    fn request_lease(&mut self, relay: usize) -> String {
        let asked = Instant::now();
        let answer = self.fleet.members[relay].admin_command(&format!("LEASE {LEASE}"));
        let answered = Instant::now();
        if let Some(held) = answer.strip_prefix(HELD) {
            let (epoch, milliseconds) = held.split_once(' ').unwrap();
            let tenure = Tenure {
                holder: relay,
                epoch: epoch.parse().unwrap(),
                from: answered,
                until: asked + Duration::from_millis(milliseconds.parse().unwrap()),
            };
            self.record(tenure);
        }
        answer
    }

    /// Records a tenure. Panics if another relay holds the lease at the same time, or held it
    /// earlier with an epoch that is not lower.
    fn record(&mut self, tenure: Tenure) {
        let others = self
            .tenures
            .iter()
            .filter(|earlier| earlier.holder != tenure.holder);
        for earlier in others {
            assert!(
                earlier.until <= tenure.from && earlier.epoch < tenure.epoch,
                "the lease has two holders, or its epoch did not grow: {earlier:?} and {tenure:?}"
            );
        }
        self.tenures.push(tenure);
    }

    fn wait_until_holder(&mut self, number: usize) {
        wait_until(&format!("{} holds the lease", member_name(number)), || {
            self.request_lease(number).starts_with(HELD)
        });
    }

    /// Waits until the candidate is told that the holder has the lease. The holder requests the
    /// lease too, since a lease that nobody requests is released.
    fn wait_until_refused(&mut self, candidate: usize, holder: usize) {
        let refusal = format!("400 held by {}/", member_name(holder));
        wait_until(&refusal, || {
            self.request_lease(holder);
            self.request_lease(candidate).starts_with(&refusal)
        });
    }

    fn release(&mut self, holder: usize) {
        let released = Instant::now();
        let command = format!("RELEASE {LEASE}");
        assert_eq!(
            self.fleet.members[holder].admin_command(&command),
            "200 released"
        );
        for tenure in &mut self.tenures {
            if tenure.holder == holder {
                tenure.until = tenure.until.min(released);
            }
        }
    }
}

#[test]
fn relays_of_both_versions_in_one_fleet_share_members_notes_and_leases() {
    let Some(former) = former_program() else {
        return;
    };
    let fleet = MixedFleet::start(&former);
    fleet.wait_until_all_see_all();

    for author in CANDIDATES {
        let (subject, value) = (format!("release-{author}"), format!("1.{author}"));
        fleet.announce(author, &subject, &value);
        fleet.wait_until_all_have_note(&subject, &value, author);
    }

    let mut observer = LeaseObserver {
        fleet: &fleet,
        tenures: Vec::new(),
    };
    let [former_candidate, new_candidate] = CANDIDATES;
    let turns = [
        (former_candidate, new_candidate),
        (new_candidate, former_candidate),
    ];
    for (holder, candidate) in turns {
        observer.wait_until_holder(holder);
        observer.wait_until_refused(candidate, holder);
        observer.release(holder);
    }
    observer.wait_until_holder(former_candidate);
    fleet.wait_until_all_see_all();
}

// ---- settings in a transition ----

/// A process of either version hands its connections to one of the other whose file has other
/// settings. The former version is told nothing that it does not know, which would end the channel.
fn check_hot_restart_with_other_settings(name: &str, old: &Path, new: &Path) {
    let backends = two_backends();
    let host = Host::new(name, &backends.each_ref().map(|backend| backend.address));
    let mut old = host.start(old);
    let mut client = OpenClient::open(&old);
    let changes = [("\"effect\": \"fragile\"", "\"effect\": \"retryable\"")];
    host.reload(&old, &changes);
    let new = host.start_with(new, &changes);
    old.relay.signal("TERM");
    assert!(wait_for_exit(&mut old.relay.child).success());
    client.client.send("kept\r\n");
    client.expect_answer("kept");
    new.relay.signal("USR1");
    let counters = new.relay.wait_for_log(" adopted=");
    assert_eq!(counter_value(&counters, "adopted"), 1, "{counters}");
}

#[test]
fn connection_is_kept_when_the_new_version_replaces_the_former_in_a_transition() {
    let Some(former) = former_program() else {
        return;
    };
    check_hot_restart_with_other_settings("transition-to-new", &former, new_program());
}

#[test]
fn connection_is_kept_when_the_former_version_replaces_the_new_in_a_transition() {
    let Some(former) = former_program() else {
        return;
    };
    check_hot_restart_with_other_settings("transition-to-former", new_program(), &former);
}
