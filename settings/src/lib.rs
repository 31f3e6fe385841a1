//! The settings text that a simulator or a start configuration holds, read into a deployment. Keys
//! that are not read are passed over.
use serde::Deserialize;
use thistlecroft::balancer::{ATTEMPT_TIMEOUT_FACTOR, BACKOFF_BASE, BACKOFF_CAP, STABLE_AFTER};
use thistlecroft::deployment::{
    DeduplicationScope, Deployment, Idempotency, RetryBudget, Route, SlowStart,
};
use thistlecroft::ids::ZoneId;
use thistlecroft::time::Duration;

// A process told to stop is killed no sooner than this after its longest dial timeout, which counts
// for at most so much.
const LONGEST_WAIT_AT_STOP: Duration = Duration::from_millis(3_000);
const AFTER_WAIT_AT_STOP: Duration = Duration::from_millis(700);
/// Where the settings give a drain no grace; longer than that of any deployment so far.
const GRACE: Duration = Duration::from_millis(3_200);

/// What the fields of a load report that are read are called, by the settings or by backends; the
/// first that is told counts.
pub const CONNECTION_FIELDS: &[&str] = &["rif", "inflight"];
pub const LOAD_FIELDS: &[&str] = &["x0", "busy", "util"];

/// Which places of a load report the decisions read, and how the list's weights are meant.
#[derive(Clone, Copy, Default)]
pub struct ReportFields {
    pub connections: Option<usize>,
    pub load: Option<usize>,
    /// The list's weights fall as connections held grow.
    pub weights_live: bool,
}

/// What the text tells, in the order that its indices and names have there.
#[derive(Clone)]
pub struct Settings {
    pub deployment: Deployment,
    pub report_fields: ReportFields,
    pub zones: Vec<String>,
    pub listeners: Vec<String>,
    /// How long clients of each listener wait.
    pub client_timeouts: Vec<Duration>,
    /// Connections without work are closed by backends after this.
    pub backend_idle_timeout: Duration,
    /// After a drain was told nothing new may go there from so long on.
    pub drain_grace: Duration,
    /// Relays may talk with one another.
    pub may_use_peers: bool,
    /// What backends note of a connection is not its load but the milliseconds that its messages
    /// take.
    pub notes_carry_latency: bool,
}

impl ReportFields {
    /// A listed weight as the decisions take it: one where it does not tell of loads.
    pub fn weight(&self, told: f64) -> f64 {
        if self.weights_live && told.is_finite() && told > 0.0 {
            told
        } else {
            1.0
        }
    }
}

impl Settings {
    /// What holds while `later` takes the place of this one: the listeners of both, and for one
    /// that both have the stricter of either, since the rules of the one bind until those of the
    /// other do.
    pub fn during_change_to(&self, later: &Settings) -> Settings {
        let mut both = later.clone();
        let row = |site: &Settings, place: usize| {
            (site.deployment.routes[place], site.client_timeouts[place])
        };
        for (place, name) in self.listeners.iter().enumerate() {
            let (before, wait) = row(self, place);
            match both.listeners.iter().position(|one| one == name) {
                Some(at) => {
                    let after = &mut both.deployment.routes[at];
                    after.max_attempts = after.max_attempts.min(before.max_attempts);
                    after.idempotency = stricter(before.idempotency, after.idempotency);
                }
                None => {
                    both.listeners.push(name.clone());
                    both.deployment.routes.push(before);
                    both.client_timeouts.push(wait);
                }
            }
        }
        both.drain_grace = self.drain_grace.min(later.drain_grace);
        both.deployment.may_hedge &= self.deployment.may_hedge;
        both.deployment.retry_budget =
            match (self.deployment.retry_budget, later.deployment.retry_budget) {
                (Some(before), Some(after)) => Some(RetryBudget {
                    free: before.free.min(after.free),
                    share: before.share.min(after.share),
                    window: before.window.max(after.window),
                }),
                (before, after) => before.or(after),
            };
        both
    }
}

/// What either allows.
fn stricter(one: Idempotency, other: Idempotency) -> Idempotency {
    match (one, other) {
        (Idempotency::Idempotent, effect) | (effect, Idempotency::Idempotent) => effect,
        (Idempotency::NonIdempotent, _) | (_, Idempotency::NonIdempotent) => {
            Idempotency::NonIdempotent
        }
        (
            Idempotency::Keyed { scope, window },
            Idempotency::Keyed {
                scope: other,
                window: least,
            },
        ) => Idempotency::Keyed {
            scope: scope.max(other),
            window: window.min(least),
        },
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsText {
    az: u16,
    balancers: u32,
    me: u32,
    tick_us: u64,
    discovery: Discovery,
    listeners: Vec<ListenerText>,
    invariants: InvariantsText,
    permissions: PermissionsText,
    #[serde(default)]
    prices: PricesText,
    #[serde(default)]
    extra: ExtraText,
    #[serde(default)]
    report: ReportText,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListenerText {
    #[serde(default)]
    name: String,
    deadline_us: u64,
    handshake_target_us: u64,
    effect: EffectText,
    #[serde(default)]
    dedup_scope: Option<ScopeText>,
    #[serde(default)]
    dedup_window_us: u64,
    utility: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum EffectText {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum ScopeText {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct InvariantsText {
    ask_within_us: u64,
    cold_us: u64,
    drain_grace_us: Option<u64>,
    fall_us: u64,
    overload_factor: f64,
    start_capacity: f64,
    #[serde(default)]
    extra_free: Option<f64>,
    #[serde(default)]
    repeat_ratio: Option<f64>,
    #[serde(default)]
    extra_window_us: Option<f64>,
}

impl InvariantsText {
    /// The ration of dials, where its figures and its window are stated; what is left out of the
    /// figures is zero.
    fn ration(&self) -> Result<Option<RetryBudget>, String> {
        let stated = [
            ("extraFree", self.extra_free),
            ("repeatRatio", self.repeat_ratio),
            ("extraWindowUs", self.extra_window_us),
        ];
        for (name, figure) in stated {
            if let Some(figure) = figure.filter(|figure| !figure.is_finite() || *figure < 0.0) {
                return Err(format!(
                    "settings: invariants.{name}: {figure} is below zero"
                ));
            }
        }
        let (free, share) = (self.extra_free, self.repeat_ratio);
        let Some(window) = self.extra_window_us.filter(|&us| us > 0.0) else {
            let without = "without a window (extraWindowUs)";
            return match share.map(|_| "repeatRatio").or(free.map(|_| "extraFree")) {
                Some(name) => Err(format!("settings: invariants.{name} {without}")),
                None => Ok(None),
            };
        };
        let window = Duration::from_micros(window as u64);
        let any = free.or(share).is_some();
        Ok(any.then(|| RetryBudget {
            free: free.unwrap_or(0.0),
            share: share.unwrap_or(0.0),
            window,
        }))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PermissionsText {
    #[serde(default)]
    conn_idle_us: u64,
    dial_timeout_us: u64,
    max_dials: u32,
    max_retry_after_us: u64,
    may_cancel: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    peers: bool,
    probes: bool,
    retry_after: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct PricesText {
    cross_zone: f64,
    moves: f64,
    probe: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct ExtraText {
    groups: bool,
    message_aim_us: Vec<f64>,
    tells_load: bool,
    tells_delay: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ReportText {
    fields: Vec<String>,
    how: String,
}

pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let facts: SettingsText =
        serde_json::from_slice(text).map_err(|fault| format!("settings: {fault}"))?;
    if facts.listeners.is_empty() {
        return Err("settings: no listeners".into());
    }
    for (place, row) in facts.listeners.iter().enumerate() {
        if row.deadline_us == 0 {
            return Err(format!(
                "settings: listener \"{}\": deadlineUs is zero",
                row.name
            ));
        }
        if !row.name.is_empty()
            && facts.listeners[..place]
                .iter()
                .any(|other| other.name == row.name)
        {
            return Err(format!("settings: listener \"{}\" stands twice", row.name));
        }
    }
    if facts.permissions.max_dials == 0 {
        return Err("settings: maxDials is zero".into());
    }
    if facts.me >= facts.balancers {
        return Err(format!(
            "settings: relay {} of {}",
            facts.me, facts.balancers
        ));
    }
    let place = |names: &[&str]| {
        names
            .iter()
            .find_map(|name| facts.report.fields.iter().position(|field| field == name))
    };
    let places = ReportFields {
        connections: place(CONNECTION_FIELDS),
        load: place(LOAD_FIELDS),
        weights_live: facts.weights == "live",
    };
    // Told by none, or only to probes that may not be sent, is never told.
    let untold = match facts.report.how.as_str() {
        "silent" => true,
        "pull" => !facts.permissions.probes,
        _ => false,
    };
    let tells_loads = places.load.is_some() && !untold;
    let targets = facts
        .extra
        .message_aim_us
        .iter()
        .take(facts.listeners.len());
    let shortest = targets.map(|&us| us as u64).min().unwrap_or_default();
    let longest = facts
        .listeners
        .iter()
        .map(|row| row.deadline_us)
        .max()
        .unwrap_or_default();
    let routes = facts.listeners.iter().map(|row| Route {
        handshake_objective: Duration::from_micros(row.handshake_target_us),
        idempotency: effect_of(row),
        priority_weight: row.utility,
        connect_timeout: Duration::from_micros(facts.permissions.dial_timeout_us),
        max_attempts: facts.permissions.max_dials,
        max_retry_after: Duration::from_micros(facts.permissions.max_retry_after_us),
        attempt_timeout_factor: ATTEMPT_TIMEOUT_FACTOR,
        backoff_base: BACKOFF_BASE,
        backoff_cap: BACKOFF_CAP,
        stable_after: STABLE_AFTER,
        ..Route::default()
    });
    let rules = &facts.invariants;
    let deployment = Deployment {
        relay_index: facts.me,
        relay_count: facts.balancers,
        zone: ZoneId(facts.az),
        tick: Duration::from_micros(facts.tick_us),
        routes: routes.collect(),
        message_objective: Duration::from_micros(shortest),
        observes_latency: facts.extra.tells_delay,
        slow_start: SlowStart {
            initial_share: rules.start_capacity,
            warm_up: Duration::from_micros(rules.cold_us),
            overload_factor: rules.overload_factor,
            window: Duration::from_micros(rules.fall_us),
        },
        retry_budget: rules.ration()?,
        poll_within: (facts.discovery == Discovery::Subscribe)
            .then_some(Duration::from_micros(rules.ask_within_us)),
        connect_timeout: Duration::from_micros(facts.permissions.dial_timeout_us),
        may_cancel: facts.permissions.may_cancel,
        may_hedge: facts.permissions.parallel_tries,
        may_check_health: facts.permissions.probes,
        reports_load: tells_loads,
        sends_retry_after: facts.permissions.retry_after,
        cross_zone_cost: facts.prices.cross_zone,
        migration_cost: facts.prices.moves,
        health_check_cost: facts.prices.probe,
        groups_share_work: facts.extra.groups,
        shutdown_timeout: Duration::from_micros(longest).min(LONGEST_WAIT_AT_STOP)
            + AFTER_WAIT_AT_STOP,
    };
    let waits = facts
        .listeners
        .iter()
        .map(|row| Duration::from_micros(row.deadline_us))
        .collect();
    let listeners = facts.listeners.into_iter().map(|row| row.name).collect();
    let idle = Duration::from_micros(facts.permissions.conn_idle_us);
    let grace = rules.drain_grace_us.map_or(GRACE, Duration::from_micros);
    let notes_tell_delay = facts.extra.tells_delay && !facts.extra.tells_load;
    let peers = facts.permissions.peers;
    Ok(Settings {
        deployment,
        report_fields: places,
        zones: facts.zones,
        listeners,
        client_timeouts: waits,
        backend_idle_timeout: idle,
        drain_grace: grace,
        may_use_peers: peers,
        notes_carry_latency: notes_tell_delay,
    })
}

fn effect_of(row: &ListenerText) -> Idempotency {
    match row.effect {
        EffectText::Retryable => Idempotency::Idempotent,
        EffectText::Fragile => Idempotency::NonIdempotent,
        EffectText::Dedup => {
            let scope = match row.dedup_scope {
                Some(ScopeText::Zone) => DeduplicationScope::Zone,
                Some(ScopeText::Cell) => DeduplicationScope::Cell,
                Some(ScopeText::All) | None => DeduplicationScope::All,
            };
            Idempotency::Keyed {
                scope,
                window: Duration::from_micros(row.dedup_window_us),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text(listeners: &[(&str, &str)], dials: &str) -> String {
        let rows = listeners.iter().map(|(name, more)| {
            format!("{{\"name\":\"{name}\",\"handshakeTargetUs\":3,\"utility\":1.0,{more}}}")
        });
        let rows: Vec<String> = rows.collect();
        format!(
            r#"{{"az":0,"balancers":1,"me":0,"tickUs":2000,"discovery":"automatic","listeners":[{}],
            "invariants":{{"askWithinUs":1,"coldUs":9,"fallUs":3,"overloadFactor":3.0,"startCapacity":0.3}},
            "permissions":{{"dialTimeoutUs":5,"maxDials":{dials},"maxRetryAfterUs":2,"mayCancel":true,"probes":true,"retryAfter":true}}}}"#,
            rows.join(",")
        )
    }

    const SAFE: &str = r#""deadlineUs":1200000,"effect":"retryable""#;

    #[test]
    fn settings_that_are_not_sound_are_one_line() {
        assert!(parse(text(&[("a", SAFE), ("b", SAFE)], "3").as_bytes()).is_ok());
        let deadline = |figure: &str| SAFE.replace("1200000", figure);
        let cases = [
            (text(&[("a", &deadline("0"))], "3"), "deadlineUs is zero"),
            (text(&[("a", &deadline("-5"))], "3"), "-5"),
            (text(&[("a", &deadline("1.5"))], "3"), "1.5"),
            (text(&[("a", &deadline("\"soon\""))], "3"), "soon"),
            (text(&[("a", r#""effect":"retryable""#)], "3"), "deadlineUs"),
            (text(&[("a", SAFE), ("a", SAFE)], "3"), "stands twice"),
            (text(&[], "3"), "no listeners"),
            (text(&[("a", SAFE)], "0"), "maxDials is zero"),
            (text(&[("a", SAFE)], "-1"), "-1"),
            (text(&[("a", SAFE)], "2.5"), "2.5"),
            (text(&[("a", SAFE)], "null"), "null"),
            (String::new(), "EOF"),
            (text(&[("a", SAFE)], "3")[..200].to_string(), "EOF"),
        ];
        for (text, expected) in cases {
            let fault = parse(text.as_bytes())
                .err()
                .unwrap_or_else(|| panic!("taken: {text}"));
            assert!(
                fault.contains(expected) && fault.lines().count() == 1,
                "{fault}"
            );
        }
    }

    #[test]
    fn loads_are_told_only_where_somebody_may_hear_of_them() {
        let cases = [
            (r#""fields":["rif","x0"],"how":"pull""#, true, true),
            (r#""fields":["rif","x0"],"how":"pull""#, false, false),
            (r#""fields":["q","busy"],"how":"piggyback""#, false, true),
            (r#""fields":["x0"],"how":"silent""#, true, false),
            (r#""fields":["rif"],"how":"pull""#, true, false),
            (r#""fields":[],"how":"silent""#, true, false),
            (r#""fields":["x0"]"#, false, true),
        ];
        for (report, probes, told) in cases {
            let settings = text(&[("a", SAFE)], "3")
                .replace("\"probes\":true", &format!("\"probes\":{probes}"));
            let settings = settings.replacen('{', &format!("{{\"report\":{{{report}}},"), 1);
            let site =
                parse(settings.as_bytes()).unwrap_or_else(|fault| panic!("{report}: {fault}"));
            assert_eq!(site.deployment.reports_load, told, "{report} {probes}");
        }
    }

    #[test]
    fn a_ration_of_dials_is_read_whole_or_refused() {
        let with = |more: &str| {
            text(&[("a", SAFE)], "3").replace("\"fallUs\":3", &format!("\"fallUs\":3{more}"))
        };
        let ration = |free, share, us| {
            Some(RetryBudget {
                free,
                share,
                window: Duration::from_micros(us),
            })
        };
        let taken = [
            ("", None),
            (
                r#","extraFree":3.0,"repeatRatio":0.15,"extraWindowUs":5000000"#,
                ration(3.0, 0.15, 5_000_000),
            ),
            (
                r#","repeatRatio":0.15,"extraWindowUs":5000000"#,
                ration(0.0, 0.15, 5_000_000),
            ),
            (r#","extraFree":2,"extraWindowUs":9"#, ration(2.0, 0.0, 9)),
            (r#","extraWindowUs":5000000"#, None),
        ];
        // Until the later one binds, the stricter of both does; one alone binds as it is.
        let both = |before: usize, after: usize| {
            let site = |at: usize| parse(with(taken[at].0).as_bytes()).unwrap();
            site(before)
                .during_change_to(&site(after))
                .deployment
                .retry_budget
        };
        assert_eq!([both(0, 1), both(1, 0)], [taken[1].1; 2]);
        assert_eq!([both(1, 3), both(3, 1)], [ration(2.0, 0.0, 5_000_000); 2]);
        for (more, expected) in taken {
            let site =
                parse(with(more).as_bytes()).unwrap_or_else(|fault| panic!("{more}: {fault}"));
            assert_eq!(site.deployment.retry_budget, expected, "{more}");
        }
        let refused = [
            (r#","extraFree":-1,"extraWindowUs":5"#, "extraFree: -1"),
            (
                r#","repeatRatio":-0.5,"extraWindowUs":5"#,
                "repeatRatio: -0.5",
            ),
            (
                r#","repeatRatio":0.5,"extraWindowUs":-5"#,
                "extraWindowUs: -5",
            ),
            (r#","repeatRatio":0.5"#, "repeatRatio without a window"),
            (
                r#","repeatRatio":0.5,"extraWindowUs":0"#,
                "repeatRatio without a window",
            ),
            (r#","extraFree":1"#, "extraFree without a window"),
            (r#","repeatRatio":"much","extraWindowUs":5"#, "much"),
        ];
        for (more, expected) in refused {
            let fault = parse(with(more).as_bytes())
                .err()
                .unwrap_or_else(|| panic!("taken: {more}"));
            assert!(
                fault.contains(expected) && fault.lines().count() == 1,
                "{fault}"
            );
        }
    }

    #[test]
    fn until_the_later_ones_bind_the_stricter_of_both_holds() {
        let dedup = |scope: &str, window: u32| {
            format!(
                r#""deadlineUs":9,"effect":"dedup","dedupScope":"{scope}","dedupWindowUs":{window}"#
            )
        };
        let once = SAFE.replace("retryable", "fragile");
        let of = |scope, window| Idempotency::Keyed {
            scope,
            window: Duration::from_micros(window),
        };
        // The row of a listener before and after, and what holds between.
        let cases = [
            (SAFE.to_string(), once.clone(), Idempotency::NonIdempotent),
            (once.clone(), SAFE.to_string(), Idempotency::NonIdempotent),
            (
                SAFE.to_string(),
                dedup("zone", 7),
                of(DeduplicationScope::Zone, 7),
            ),
            (dedup("zone", 7), once, Idempotency::NonIdempotent),
            (
                dedup("cell", 7),
                dedup("all", 5),
                of(DeduplicationScope::Cell, 5),
            ),
            (
                dedup("all", 5),
                dedup("zone", 7),
                of(DeduplicationScope::Zone, 5),
            ),
        ];
        for (before, after, expected) in cases {
            let old = parse(text(&[("gone", SAFE), ("a", &before)], "2").as_bytes()).unwrap();
            let new = parse(text(&[("a", &after), ("new", SAFE)], "3").as_bytes()).unwrap();
            let both = old.during_change_to(&new);
            assert_eq!(both.listeners, ["a", "new", "gone"]);
            let rows = &both.deployment.routes;
            assert_eq!(rows[0].idempotency, expected, "{before} {after}");
            assert_eq!(
                rows.iter().map(|row| row.max_attempts).collect::<Vec<_>>(),
                [2, 3, 2]
            );
            assert_eq!(both.client_timeouts.len(), 3);
        }
    }
}
