//! Reads what boxes and clients saw, and says of each of the four rules whether it was kept, with
//! the shortest story of its first break. No I/O. What nobody can have seen is not judged: a box
//! that stands still notes late, and a relay that was killed owes no answer for what it held.
use crate::event_recorder::{
    Answer, BackendIndex, Lifecycle, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
};
use std::collections::BTreeMap;
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::{Duration, Instant};

/// Each time limit is so much longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// Sightings of two threads, or of two sockets in one turn, may stand in the wrong order by so
/// much.
const BLUR: Duration = Duration::from_millis(50);
/// A line may be kept for so long, and the end of a box's side for as long.
const SECOND: Duration = Duration::from_millis(1_000);
/// How long after its box has gone silent a connection may stand as if nothing were.
const SILENT: Duration = Duration::from_millis(8_000);
/// What discovery has to tell counts as told so much later.
const DEEMED: Duration = Duration::from_millis(6_000);
/// An answer that only waited: given so near the end of the wait, with nothing out for so long.
const NEAR: Duration = Duration::from_millis(150);
const NOTHING_OUT: Duration = Duration::from_millis(250);
/// The part of a break's story that is told.
const STORY: usize = 14;

/// The figures by which it is judged.
#[derive(Clone, Debug)]
pub struct PlatformRules {
    /// What may be repeated, by listener.
    pub idempotency: Vec<Idempotency>,
    /// A second dial may go out while one is, by listener; where not stated, none may.
    pub hedged: Vec<bool>,
    /// Nothing new goes to a box so long after it was told as draining or gone.
    pub drain_grace: Duration,
    /// Where boxes are, for the scope of referenced sessions.
    pub backend_locations: Vec<(String, u16)>,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: usize,
    pub at: Instant,
    pub description: String,
    /// Who said what, and when.
    pub timeline: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct CheckResult {
    /// The first break of each rule.
    pub first_violations: [Option<Violation>; 4],
    pub violation_counts: [usize; 4],
    /// Sessions that were judged.
    pub sessions: usize,
    pub answered: usize,
    /// Sessions that nobody owes an answer: the client left, or its relay was killed.
    pub excused: usize,
    pub attempts: usize,
    pub max_attempts: usize,
    /// The greatest part of a cold box's budget that was used.
    pub max_warm_up_budget_used: f64,
    /// By listener.
    pub listeners: Vec<AttemptTotals>,
}

/// What dials the sessions of a listener had.
#[derive(Clone, Debug, Default)]
pub struct AttemptTotals {
    pub sessions: usize,
    pub max_per_session: usize,
    /// After the one before had ended.
    pub retries: usize,
    /// While another was out.
    pub hedged: usize,
    /// The longest time to an answer.
    pub longest_answer_time: Duration,
}

impl CheckResult {
    pub fn holds(&self) -> bool {
        self.violation_counts == [0; 4]
    }

    /// `rules kept`, or which broke and how often.
    pub fn summary(&self) -> String {
        if self.holds() {
            return "rules kept".into();
        }
        let broken = (1..)
            .zip(self.violation_counts)
            .filter(|(_, count)| *count > 0);
        let broken: Vec<String> = broken
            .map(|(rule, count)| format!("rule {rule} broken {count} times"))
            .collect();
        broken.join(", ")
    }
}

#[derive(Clone, Debug)]
struct DialStory {
    at: BackendIndex,
    came: Instant,
    first: Instant,
    over: Option<(Instant, Option<Reply>)>,
    /// Its box stood still when it came or before it was over: the times say little.
    blurred: bool,
}

#[derive(Clone, Debug)]
struct SessionStory {
    asked: Instant,
    wait: Duration,
    relay: Option<RelayIndex>,
    listener: usize,
    answer: Option<(Instant, Answer)>,
    ends: Option<Instant>,
    excused: bool,
    dials: Vec<DialStory>,
    box_ended: Option<Instant>,
    box_held: Duration,
    left: bool,
}

/// From when to when something was so; open at its end while it still is.
#[derive(Default)]
struct Times(Vec<(Instant, Option<Instant>)>);

impl Times {
    fn begin(&mut self, at: Instant) {
        self.end(at);
        self.0.push((at, None));
    }

    fn end(&mut self, at: Instant) {
        if let Some((_, end @ None)) = self.0.last_mut() {
            *end = Some(at);
        }
    }

    /// If it was so at any time between the two.
    fn meets(&self, from: Instant, to: Instant) -> bool {
        self.0
            .iter()
            .any(|&(began, ended)| began <= to && ended.is_none_or(|ended| ended >= from))
    }
}

#[derive(Default)]
struct BoxStory {
    still: Times,
    /// Anything is wrong with it, or it is not running.
    ailing: Times,
    /// From when on nothing new may come, by relay; what all are deemed told counts for those not
    /// told.
    told: BTreeMap<RelayIndex, Instant>,
    shut: Option<Instant>,
    /// Since when a relay's operators have it out, whatever the list says.
    by_hand: BTreeMap<RelayIndex, Instant>,
}

pub struct InvariantChecker<'a> {
    law: &'a PlatformRules,
    entries: &'a [RecordedEvent],
    sessions: BTreeMap<SessionId, SessionStory>,
    boxes: BTreeMap<BackendIndex, BoxStory>,
    killed: BTreeMap<RelayIndex, Vec<Instant>>,
    /// A process that is stopped owes nothing while it is.
    stopped: BTreeMap<RelayIndex, Times>,
    late: Vec<(Instant, Duration)>,
    ruling: CheckResult,
    end: Instant,
    /// Without relays clients say to boxes whatever they say.
    has_relays: bool,
}

/// Judges a run from its sightings, which must stand in the order of time.
pub fn check_invariants(entries: &[RecordedEvent], law: &PlatformRules) -> CheckResult {
    let mut referee = InvariantChecker {
        law,
        entries,
        sessions: BTreeMap::new(),
        boxes: BTreeMap::new(),
        killed: BTreeMap::new(),
        stopped: BTreeMap::new(),
        late: Vec::new(),
        ruling: CheckResult::default(),
        end: entries.last().map_or(Instant::default(), |entry| entry.at),
        has_relays: false,
    };
    referee.first_look();
    for entry in entries {
        referee.read(entry);
    }
    referee.whole_sessions();
    referee.ruling
}

impl InvariantChecker<'_> {
    /// What excuses must be known before anything is blamed.
    fn first_look(&mut self) {
        for RecordedEvent {
            at,
            observation: seen,
        } in self.entries
        {
            match seen {
                Observation::SessionRequested {
                    session,
                    relay,
                    listener,
                    timeout: wait,
                    ..
                } => {
                    self.has_relays |= relay.is_some();
                    let story = SessionStory {
                        asked: *at,
                        wait: *wait,
                        relay: *relay,
                        listener: usize::from(*listener),
                        answer: None,
                        ends: None,
                        excused: false,
                        dials: Vec::new(),
                        box_ended: None,
                        box_held: Duration::ZERO,
                        left: false,
                    };
                    self.sessions.insert(*session, story);
                }
                Observation::BackendClosedSession { session, .. } => {
                    if let Some(story) = self.sessions.get_mut(session) {
                        story.box_ended = Some(*at);
                    }
                }
                Observation::BackendDelayedMessage {
                    session, waited, ..
                } => {
                    if let Some(story) = self.sessions.get_mut(session) {
                        story.box_held = story.box_held.max(*waited);
                    }
                }
                Observation::BackendPaused {
                    backend: of,
                    paused: on,
                } => {
                    let still = &mut self.boxes.entry(*of).or_default().still;
                    if *on {
                        still.begin(*at)
                    } else {
                        still.end(*at)
                    }
                }
                Observation::BackendFault {
                    backend: of,
                    active: on,
                    ..
                } => {
                    let ailing = &mut self.boxes.entry(*of).or_default().ailing;
                    if *on {
                        ailing.begin(*at)
                    } else {
                        ailing.end(*at)
                    }
                }
                Observation::BackendStopped { backend: of } => {
                    self.boxes.entry(*of).or_default().ailing.begin(*at)
                }
                Observation::BackendStarted { backend: of, .. } => {
                    self.boxes.entry(*of).or_default().ailing.end(*at)
                }
                Observation::RelayPaused { relay, paused: on } => {
                    let still = self.stopped.entry(*relay).or_default();
                    if *on {
                        still.begin(*at)
                    } else {
                        still.end(*at)
                    }
                }
                Observation::RelayKilled { relay } => {
                    self.killed.entry(*relay).or_default().push(*at)
                }
                Observation::TestbedDelayed { delay: by } => self.late.push((*at, *by)),
                _ => {}
            }
        }
    }

    /// How late what was noted between the two may have been seen.
    fn lateness(&self, from: Instant, to: Instant) -> Duration {
        let near = self
            .late
            .iter()
            .filter(|(at, by)| *at + *by >= from && *at <= to + *by);
        near.map(|(_, by)| *by).max().unwrap_or(Duration::ZERO)
    }

    fn stood_still(&self, relay: Option<RelayIndex>, from: Instant, to: Instant) -> bool {
        let still = relay.and_then(|relay| self.stopped.get(&relay));
        // What waited meanwhile is worked off after it.
        still.is_some_and(|still| still.meets(from - BLUR, to + BLUR))
    }

    fn was_killed(&self, relay: Option<RelayIndex>, from: Instant, to: Instant) -> bool {
        if self.stood_still(relay, from, to) {
            return true;
        }
        let Some(times) = relay.and_then(|relay| self.killed.get(&relay)) else {
            return false;
        };
        times
            .iter()
            .any(|at| *at + BLUR >= from && *at <= to + BLUR)
    }

    fn broken(
        &mut self,
        rule: usize,
        at: Instant,
        what: String,
        session: Option<SessionId>,
        of: Option<BackendIndex>,
    ) {
        self.ruling.violation_counts[rule - 1] += 1;
        if self.ruling.first_violations[rule - 1]
            .as_ref()
            .is_some_and(|first| first.at <= at)
        {
            return;
        }
        let about = |entry: &&RecordedEvent| match session {
            Some(session) => {
                session_of(&entry.observation) == Some(session)
                    || of.is_some_and(|of| is_news(&entry.observation, of))
            }
            None => of.is_some_and(|of| {
                is_news(&entry.observation, of) || is_dial(&entry.observation, of)
            }),
        };
        let story: Vec<String> = self.entries.iter().filter(about).map(describe).collect();
        // Of a long story its end, in which it broke.
        let until = self
            .entries
            .iter()
            .filter(about)
            .filter(|entry| entry.at <= at + SECOND)
            .count();
        let story = story[until.saturating_sub(STORY)..until].to_vec();
        self.ruling.first_violations[rule - 1] = Some(Violation {
            rule,
            at,
            description: what,
            timeline: story,
        });
    }

    fn read(&mut self, entry: &RecordedEvent) {
        let at = entry.at;
        match &entry.observation {
            Observation::Answered { session, answer } => self.answered(at, *session, *answer),
            Observation::DataAfterAnswer { session } => {
                self.broken(
                    1,
                    at,
                    "more was said after the final answer".into(),
                    Some(*session),
                    None,
                );
            }
            Observation::AnswerTimedOut { session } | Observation::ClosedUnanswered { session } => {
                let Some(story) = self.sessions.get_mut(session) else {
                    return;
                };
                story.ends = Some(at);
                let (from, relay) = (story.asked, story.relay);
                if relay.is_some() && !self.was_killed(relay, from, at) {
                    let what = match entry.observation {
                        Observation::ClosedUnanswered { .. } => {
                            "its connection ended without an answer"
                        }
                        _ => "it had no answer within its wait",
                    };
                    self.broken(1, at, what.into(), Some(*session), None);
                } else if let Some(story) = self.sessions.get_mut(session) {
                    story.excused = true;
                }
            }
            Observation::ClientLeft { session } => {
                if let Some(story) = self.sessions.get_mut(session) {
                    (story.excused, story.left, story.ends) = (true, true, Some(at));
                }
            }
            Observation::Migrated { session } | Observation::SessionClosed { session } => {
                if let Some(story) = self.sessions.get_mut(session) {
                    story.ends = Some(at);
                }
            }
            Observation::ConnectionLost { session } => self.cut_off(at, *session),
            Observation::MessageLate { session, waited } => self.line_late(at, *session, *waited),
            Observation::MessageMismatched { session } => {
                self.broken(
                    1,
                    at,
                    "a line came back that was not sent, or not in order".into(),
                    Some(*session),
                    None,
                );
            }
            Observation::AttemptReceived {
                backend: of,
                session,
                first_byte_at: first,
            } => self.dial_came(at, *of, *session, *first),
            Observation::AttemptAnswered {
                backend: of,
                session,
                reply,
            } => self.dial_over(at, *of, *session, Some(*reply)),
            Observation::AttemptAbandoned {
                backend: of,
                session,
            } => self.dial_over(at, *of, *session, None),
            Observation::BackendDraining { backend: of }
            | Observation::BackendStopped { backend: of } => {
                self.boxes.entry(*of).or_default().shut.get_or_insert(at);
            }
            Observation::BackendStarted { backend: of, .. } => {
                let story = self.boxes.entry(*of).or_default();
                (story.shut, story.told) = (None, BTreeMap::new());
            }
            Observation::EndpointAnnounced {
                relay,
                backend: of,
                lifecycle: Lifecycle::Draining | Lifecycle::Gone,
            } => {
                let story = self.boxes.entry(*of).or_default();
                // Of a box that runs again by now the news is old.
                if story.shut.is_some() {
                    story.told.entry(*relay).or_insert(at);
                }
            }
            Observation::BackendBanned {
                relay,
                backend: of,
                banned: out,
            } => {
                let story = self.boxes.entry(*of).or_default();
                if *out {
                    story.by_hand.entry(*relay).or_insert(at);
                } else {
                    story.by_hand.remove(relay);
                }
            }
            Observation::BackendOverloaded { backend: of } => {
                self.broken(
                    4,
                    at,
                    format!("box {} was pushed over while cold", of.0),
                    None,
                    Some(*of),
                );
            }
            Observation::BackendLoad {
                warm_up_budget_used: pushed,
                ..
            } => {
                self.ruling.max_warm_up_budget_used =
                    self.ruling.max_warm_up_budget_used.max(*pushed);
            }
            Observation::Note { text } if text.starts_with("SYNTAX") && self.has_relays => {
                self.broken(
                    1,
                    at,
                    format!("a box met a line that no client sent: {text}"),
                    None,
                    None,
                );
            }
            _ => {}
        }
    }

    fn answered(&mut self, at: Instant, session: SessionId, answer: Answer) {
        let Some(story) = self.sessions.get(&session) else {
            return;
        };
        let (asked, wait, relay) = (story.asked, story.wait, story.relay);
        if story.answer.is_some() {
            return self.broken(1, at, "it was answered twice".into(), Some(session), None);
        }
        if let Some(story) = self.sessions.get_mut(&session) {
            story.answer = Some((at, answer));
            if answer != Answer::Accepted {
                story.ends = Some(at);
            }
        }
        let due = asked + wait + SLACK;
        let late = self.lateness(asked, at);
        if relay.is_some() && at > due + late && !self.stood_still(relay, asked, at) {
            let what = format!(
                "its answer came {} ms after its wait was over",
                at.duration_since(asked + wait).as_millis()
            );
            self.broken(1, at, what, Some(session), None);
        }
    }

    fn cut_off(&mut self, at: Instant, session: SessionId) {
        let Some(story) = self.sessions.get_mut(&session) else {
            return;
        };
        story.ends = Some(at);
        let (relay, ended) = (story.relay, story.box_ended);
        let of = story
            .dials
            .iter()
            .find(|dial| matches!(dial.over, Some((_, Some(Reply::Accepted)))))
            .map(|dial| dial.at);
        // As a box that is its own door it may end what it likes.
        if relay.is_none()
            || ended.is_some_and(|ended| ended <= at + BLUR)
            || self.was_killed(relay, at - SECOND, at)
        {
            return;
        }
        let since = at - SILENT;
        if of.is_some_and(|of| {
            self.boxes
                .get(&of)
                .is_some_and(|story| story.ailing.meets(since, at))
        }) {
            return;
        }
        self.broken(
            1,
            at,
            "it was cut off without MOVE while its box answered".into(),
            Some(session),
            of,
        );
    }

    fn line_late(&mut self, at: Instant, session: SessionId, waited: Duration) {
        let Some(story) = self.sessions.get(&session) else {
            return;
        };
        let from = at - waited;
        let ailing = |dial: &DialStory| {
            self.boxes
                .get(&dial.at)
                .is_some_and(|story| story.ailing.meets(from, at) || story.still.meets(from, at))
        };
        let of_box = story.dials.iter().any(ailing);
        let late = story.box_held + self.lateness(from, at);
        let stood = self.stood_still(story.relay, from, at);
        if stood || story.relay.is_none() || of_box || waited <= SECOND + SLACK + late {
            return;
        }
        let what = format!(
            "a line took {} ms, its box had answered before",
            waited.as_millis()
        );
        self.broken(1, at, what, Some(session), None);
    }

    fn dial_came(&mut self, at: Instant, of: BackendIndex, session: SessionId, first: Instant) {
        self.ruling.attempts += 1;
        let Some(story) = self.sessions.get(&session) else {
            return;
        };
        let relay = story.relay;
        let here = self.boxes.entry(of).or_default();
        let blurred = here.still.meets(at - BLUR, at);
        let told = relay.and_then(|relay| here.told.get(&relay).copied());
        let told = match (told, here.shut) {
            (Some(told), Some(shut)) => Some(told.min(shut + DEEMED)),
            (None, Some(shut)) => Some(shut + DEEMED),
            (told, None) => told,
        };
        let by_hand = relay.and_then(|relay| here.by_hand.get(&relay).copied());
        let told = match (told, by_hand) {
            (Some(told), Some(by_hand)) => Some(told.min(by_hand)),
            (told, by_hand) => told.or(by_hand),
        };
        let grace = self.law.drain_grace;
        let late = self.lateness(first, at);
        let stood = told.is_some_and(|told| self.stood_still(relay, told, at));
        if let (Some(told), Some(_), false, false) = (told, relay, blurred, stood)
            && first > told + grace + SLACK + late
        {
            let after = first.duration_since(told).as_millis();
            let what = format!(
                "box {} was dialled {after} ms after its drain was told",
                of.0
            );
            self.broken(3, at, what, Some(session), Some(of));
        }
        if let Some(story) = self.sessions.get_mut(&session) {
            story.dials.push(DialStory {
                at: of,
                came: at,
                first,
                over: None,
                blurred,
            });
        }
    }

    fn dial_over(
        &mut self,
        at: Instant,
        of: BackendIndex,
        session: SessionId,
        reply: Option<Reply>,
    ) {
        let still = self.boxes.get(&of);
        let Some(story) = self.sessions.get_mut(&session) else {
            return;
        };
        let open = story
            .dials
            .iter_mut()
            .rev()
            .find(|dial| dial.at == of && dial.over.is_none());
        if let Some(dial) = open {
            dial.over = Some((at, reply));
            dial.blurred |= still.is_some_and(|story| story.still.meets(dial.came, at));
        }
    }

    /// What can only be said when all of a session is known.
    fn whole_sessions(&mut self) {
        let tags: Vec<SessionId> = self.sessions.keys().copied().collect();
        for tag in tags {
            let story = self.sessions[&tag].clone();
            self.ruling.sessions += 1;
            self.ruling.max_attempts = self.ruling.max_attempts.max(story.dials.len());
            if story.answer.is_some() {
                self.ruling.answered += 1;
            } else if story.excused {
                self.ruling.excused += 1;
            }
            self.count_dials(&story);
            if story.relay.is_none() {
                continue;
            }
            let end_of_wait = story.asked + story.wait;
            if story.answer.is_none()
                && !story.excused
                && story.ends.is_none()
                && self.end > end_of_wait + SECOND
            {
                self.broken(
                    1,
                    end_of_wait,
                    "it was never answered".into(),
                    Some(tag),
                    None,
                );
            }
            self.kept_back(tag, &story);
            self.orphaned(tag, &story);
            self.dials_at_once(tag, &story);
            self.effects(tag, &story);
        }
    }

    fn count_dials(&mut self, story: &SessionStory) {
        let all = &mut self.ruling.listeners;
        if all.len() <= story.listener {
            all.resize(story.listener + 1, AttemptTotals::default());
        }
        let count = &mut all[story.listener];
        count.sessions += 1;
        count.max_per_session = count.max_per_session.max(story.dials.len());
        for pair in story.dials.windows(2) {
            let over = pair[0]
                .over
                .filter(|(_, reply)| *reply != Some(Reply::Accepted))
                .map(|(over, _)| over);
            let at_once = over.is_none_or(|over| over > pair[1].came);
            *(if at_once {
                &mut count.hedged
            } else {
                &mut count.retries
            }) += 1;
        }
        if let Some((at, _)) = story.answer {
            count.longest_answer_time = count
                .longest_answer_time
                .max(at.duration_since(story.asked));
        }
    }

    fn kept_back(&mut self, tag: SessionId, story: &SessionStory) {
        let Some((at, Answer::Rejected(_) | Answer::Failed)) = story.answer else {
            return;
        };
        let nothing_out = story
            .dials
            .iter()
            .map(|dial| dial.over.map_or(at, |(over, _)| over))
            .max();
        let since = nothing_out.unwrap_or(story.asked);
        let blurred =
            story.dials.iter().any(|dial| dial.blurred) || self.stood_still(story.relay, since, at);
        if at + NEAR >= story.asked + story.wait
            && at.duration_since(since) > NOTHING_OUT
            && !blurred
        {
            let what = format!(
                "its answer was kept back for {} ms with no dial out",
                at.duration_since(since).as_millis()
            );
            self.broken(1, at, what, Some(tag), None);
        }
    }

    /// One that its box has ended must be ended or moved within a second.
    fn orphaned(&mut self, tag: SessionId, story: &SessionStory) {
        let (Some(ended), Some((_, Answer::Accepted))) = (story.box_ended, story.answer) else {
            return;
        };
        let over = story.ends.unwrap_or(self.end);
        let late = self.lateness(ended, over);
        if over > ended + SECOND + SLACK + late && !self.was_killed(story.relay, ended, over) {
            self.broken(
                1,
                over,
                "its box had ended it a second before and more".into(),
                Some(tag),
                None,
            );
        }
    }

    fn dials_at_once(&mut self, tag: SessionId, story: &SessionStory) {
        if self
            .law
            .hedged
            .get(story.listener)
            .copied()
            .unwrap_or(false)
        {
            return;
        }
        for pair in story.dials.windows(2) {
            let [one, two] = pair else { continue };
            let late = self.lateness(one.came, two.came);
            let over = one
                .over
                .filter(|(_, reply)| *reply != Some(Reply::Accepted))
                .map(|(over, _)| over);
            if one.blurred || two.blurred || over.is_some_and(|over| over <= two.came + BLUR + late)
            {
                continue;
            }
            let what = format!(
                "boxes {} and {} had a dial of it at once",
                one.at.0, two.at.0
            );
            self.broken(2, two.came, what, Some(tag), None);
        }
    }

    fn effects(&mut self, tag: SessionId, story: &SessionStory) {
        let ran = |dial: &&DialStory| !matches!(dial.over, Some((_, Some(Reply::Rejected))));
        let Some(first) = story.dials.iter().find(ran) else {
            return;
        };
        let refused = matches!(story.answer, Some((_, Answer::Rejected(_))));
        let further = story.dials.iter().filter(|dial| dial.came > first.came);
        let place = |of: BackendIndex| self.law.backend_locations.get(usize::from(of.0));
        let found = match self.law.idempotency.get(story.listener) {
            Some(Idempotency::NonIdempotent) => {
                let again = further
                    .clone()
                    .next()
                    .map(|dial| (dial.came, "a once-only session was dialled again"));
                again.or(refused.then_some((
                    first.came,
                    "a once-only session that may have run was refused",
                )))
            }
            Some(Idempotency::Keyed { scope, window }) => {
                let outside = |dial: &&DialStory| match scope {
                    DeduplicationScope::All => false,
                    DeduplicationScope::Zone => {
                        place(dial.at).map(|place| &place.0)
                            != place(first.at).map(|place| &place.0)
                    }
                    DeduplicationScope::Cell => place(dial.at) != place(first.at),
                };
                let late = |dial: &&DialStory| dial.first > first.first + *window + SLACK;
                let apart = further
                    .clone()
                    .find(outside)
                    .map(|dial| (dial.came, "it was repeated where its mark is not known"));
                let late = || {
                    further
                        .clone()
                        .find(late)
                        .map(|dial| (dial.came, "it was repeated after its mark was forgotten"))
                };
                let refused = || {
                    (refused && *scope != DeduplicationScope::All)
                        .then_some((first.came, "it may have run and was refused"))
                };
                apart.or_else(late).or_else(refused)
            }
            _ => None,
        };
        if let Some((at, what)) = found {
            self.broken(2, at, what.into(), Some(tag), None);
        }
    }
}

fn session_of(seen: &Observation) -> Option<SessionId> {
    Some(match seen {
        Observation::SessionRequested { session, .. }
        | Observation::Answered { session, .. }
        | Observation::DataAfterAnswer { session }
        | Observation::AnswerTimedOut { session }
        | Observation::ClosedUnanswered { session }
        | Observation::ClientLeft { session }
        | Observation::Migrated { session }
        | Observation::ConnectionLost { session }
        | Observation::SessionClosed { session }
        | Observation::MessageLate { session, .. }
        | Observation::MessageMismatched { session }
        | Observation::AttemptReceived { session, .. }
        | Observation::AttemptAnswered { session, .. }
        | Observation::AttemptAbandoned { session, .. }
        | Observation::BackendClosedSession { session, .. }
        | Observation::BackendDelayedMessage { session, .. } => *session,
        _ => return None,
    })
}

fn is_dial(seen: &Observation, of: BackendIndex) -> bool {
    matches!(seen, Observation::AttemptReceived { backend: at, .. } if *at == of)
}

fn is_news(seen: &Observation, of: BackendIndex) -> bool {
    match seen {
        Observation::BackendStarted { backend: at, .. }
        | Observation::BackendDraining { backend: at }
        | Observation::BackendStopped { backend: at }
        | Observation::BackendOverloaded { backend: at }
        | Observation::EndpointAnnounced { backend: at, .. }
        | Observation::BackendBanned { backend: at, .. }
        | Observation::BackendFault { backend: at, .. } => *at == of,
        _ => false,
    }
}

/// A sighting as a line of a story.
pub fn describe(entry: &RecordedEvent) -> String {
    let ms = |span: &Duration| span.as_millis();
    let relay = |relay: &Option<RelayIndex>| {
        relay.map_or("a box itself".into(), |relay| format!("relay {}", relay.0))
    };
    let text = match &entry.observation {
        Observation::SessionRequested {
            session,
            relay: of,
            timeout: wait,
            ..
        } => {
            format!(
                "client {:016x} asks {} and waits {} ms",
                session.0,
                relay(of),
                ms(wait)
            )
        }
        Observation::Answered { answer, .. } => match answer {
            Answer::Accepted => "the client hears UP".into(),
            Answer::Rejected(Some(wait)) => format!("the client hears BUSY {}", ms(wait)),
            Answer::Rejected(None) => "the client hears BUSY".into(),
            Answer::Failed => "the client hears that it failed".into(),
        },
        Observation::DataAfterAnswer { .. } => "the client hears a further line".into(),
        Observation::AnswerTimedOut { .. } => "the client's wait is over, nothing has come".into(),
        Observation::ClosedUnanswered { .. } => {
            "the client's connection ends without an answer".into()
        }
        Observation::ClientLeft { .. } => "the client leaves".into(),
        Observation::ConnectFailed { relay: of } => format!("{} takes no connection", relay(of)),
        Observation::Migrated { .. } => "the client hears MOVE".into(),
        Observation::ConnectionLost { .. } => "the client's connection is cut off".into(),
        Observation::SessionClosed { .. } => "the client's connection ends well".into(),
        Observation::MessageLate { waited, .. } => {
            format!("a line is back after {} ms", ms(waited))
        }
        Observation::MessageMismatched { .. } => {
            "the client hears a line that it did not send".into()
        }
        Observation::AttemptReceived { backend: at, .. } => {
            format!("box {} has a dial of it", at.0)
        }
        Observation::AttemptAnswered {
            backend: at, reply, ..
        } => format!(
            "box {} replies {}",
            at.0,
            match reply {
                Reply::Accepted => "UP",
                Reply::Rejected => "BUSY",
                Reply::Failed => "that it failed",
            }
        ),
        Observation::AttemptAbandoned { backend: at, .. } => {
            format!("box {} sees the dial given up", at.0)
        }
        Observation::BackendClosedSession { backend: at, .. } => {
            format!("box {} ends the connection", at.0)
        }
        Observation::BackendDelayedMessage {
            backend: at,
            waited,
            ..
        } => {
            format!("box {} keeps a line for {} ms", at.0, ms(waited))
        }
        Observation::BackendStarted { backend: at, cold } => {
            format!("box {} starts{}", at.0, if *cold { ", cold" } else { "" })
        }
        Observation::BackendDraining { backend: at } => format!("box {} drains", at.0),
        Observation::BackendStopped { backend: at } => format!("box {} stops", at.0),
        Observation::BackendOverloaded { backend: at } => format!("box {} falls over", at.0),
        Observation::BackendPaused {
            backend: at,
            paused: on,
        } => {
            format!(
                "box {} {}",
                at.0,
                if *on { "stands still" } else { "goes on" }
            )
        }
        Observation::BackendFault {
            backend: at,
            name,
            active: on,
        } => {
            format!("box {}: {name}{}", at.0, if *on { "" } else { " is over" })
        }
        Observation::EndpointAnnounced {
            relay,
            backend: at,
            lifecycle,
        } => {
            format!("relay {} is told: box {} {lifecycle:?}", relay.0, at.0)
        }
        Observation::BackendBanned {
            relay,
            backend: at,
            banned: out,
        } => {
            format!(
                "relay {}: box {} is {} by hand",
                relay.0,
                at.0,
                if *out { "out" } else { "wanted back" }
            )
        }
        Observation::AgentFault {
            relay,
            fault,
            active: on,
        } => {
            format!(
                "relay {}: {fault}{}",
                relay.0,
                if *on { "" } else { " is over" }
            )
        }
        Observation::RelayStarted { relay } => format!("relay {} starts", relay.0),
        Observation::RelayStopRequested { relay } => format!("relay {} is told to stop", relay.0),
        Observation::RelayKilled { relay } => format!("relay {} is killed", relay.0),
        Observation::RelayStopped { relay } => format!("relay {} has stopped", relay.0),
        Observation::TestbedDelayed { delay: by } => {
            format!("the stand-ins are {} ms late", ms(by))
        }
        Observation::TestbedExhausted => "the stand-ins are out of descriptors".into(),
        Observation::Note { text } => text.clone(),
        Observation::BackendLoad {
            backend: at, load, ..
        } => format!("box {} has a load of {load:.2}", at.0),
        Observation::RelayCost { relay, .. } => format!("relay {} is measured", relay.0),
        Observation::RelayPaused { relay, paused: on } => {
            format!(
                "relay {} {}",
                relay.0,
                if *on { "stands still" } else { "goes on" }
            )
        }
        Observation::LinkFault {
            from,
            to,
            name,
            active: on,
        } => {
            format!(
                "link {} to {}: {name}{}",
                from.0,
                to.0,
                if *on { "" } else { " is over" }
            )
        }
        Observation::LeaseClaimed {
            relay,
            subject,
            epoch,
            ..
        } => {
            format!(
                "relay {} says that it holds {subject} by epoch {epoch}",
                relay.0
            )
        }
        Observation::MembersSeen {
            relay,
            members: here,
        } => format!("relay {} sees {} here", relay.0, here.len()),
    };
    format!("{:9.3} s  {text}", entry.at.as_micros() as f64 / 1e6)
}
