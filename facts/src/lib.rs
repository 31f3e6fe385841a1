//! The settings text that a simulator or a start configuration holds, read into a deployment. Keys that are
//! not read are passed over.
use serde::Deserialize;
use thistlecroft::balance::{BASE, CAP, COOL_DOWN, PATIENCE};
use thistlecroft::deployment::{ColdStart, Deployment, Effect, Route, Scope};
use thistlecroft::ids::ZoneId;
use thistlecroft::units::Span;

// A process told to stop is killed no sooner than this after its longest dial timeout, which counts for at
// most so much.
const LONGEST_WAIT_AT_STOP: Span = Span::from_ms(3_000);
const AFTER_WAIT_AT_STOP: Span = Span::from_ms(700);

/// What the fields of a load report that are read are called, by the settings or by backends; the first that
/// is told counts.
pub const CONNECTIONS: &[&str] = &["rif", "inflight"];
pub const LOAD: &[&str] = &["x0", "busy", "util"];

/// Which places of a load report the decisions read, and how the list's weights are meant.
#[derive(Clone, Copy, Default)]
pub struct ReportPlaces {
    pub connections: Option<usize>,
    pub load: Option<usize>,
    /// The list's weights fall as connections held grow.
    pub weights_live: bool,
}

/// What the text tells, in the order that its indices and names have there.
pub struct Site {
    pub deployment: Deployment,
    pub places: ReportPlaces,
    pub zones: Vec<String>,
    pub listeners: Vec<String>,
    /// How long clients of each listener wait.
    pub waits: Vec<Span>,
    /// Connections without work are closed by backends after this.
    pub idle: Span,
    /// What backends note of a connection is not its load but the milliseconds that its messages take.
    pub notes_tell_delay: bool,
}

impl ReportPlaces {
    /// A listed weight as the decisions take it: one where it does not tell of loads.
    pub fn weight(&self, told: f64) -> f64 {
        if self.weights_live && told.is_finite() && told > 0.0 { told } else { 1.0 }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
    az: u16,
    balancers: u32,
    me: u32,
    tick_us: u64,
    discovery: Discovery,
    listeners: Vec<ListenerFacts>,
    invariants: Invariants,
    permissions: Permissions,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    extra: Extra,
    #[serde(default)]
    report: ReportFacts,
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
struct ListenerFacts {
    #[serde(default)]
    name: String,
    #[serde(default)]
    deadline_us: u64,
    handshake_target_us: u64,
    effect: EffectName,
    #[serde(default)]
    dedup_scope: Option<ScopeName>,
    #[serde(default)]
    dedup_window_us: u64,
    utility: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum EffectName {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum ScopeName {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Invariants {
    ask_within_us: u64,
    cold_us: u64,
    fall_us: u64,
    overload_factor: f64,
    start_capacity: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Permissions {
    #[serde(default)]
    conn_idle_us: u64,
    dial_timeout_us: u64,
    max_dials: u32,
    max_retry_after_us: u64,
    may_cancel: bool,
    #[serde(default)]
    parallel_tries: bool,
    probes: bool,
    retry_after: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Prices {
    cross_zone: f64,
    moves: f64,
    probe: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Extra {
    groups: bool,
    message_aim_us: Vec<f64>,
    tells_load: bool,
    tells_delay: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ReportFacts {
    fields: Vec<String>,
}

pub fn read(text: &[u8]) -> Result<Site, String> {
    let facts: Facts = serde_json::from_slice(text).map_err(|fault| format!("settings: {fault}"))?;
    if facts.listeners.is_empty() {
        return Err("settings: no listeners".into());
    }
    if facts.me >= facts.balancers {
        return Err(format!("settings: relay {} of {}", facts.me, facts.balancers));
    }
    let place = |names: &[&str]| {
        names.iter().find_map(|name| facts.report.fields.iter().position(|field| field == name))
    };
    let places = ReportPlaces {
        connections: place(CONNECTIONS),
        load: place(LOAD),
        weights_live: facts.weights == "live",
    };
    let targets = facts.extra.message_aim_us.iter().take(facts.listeners.len());
    let shortest = targets.map(|&us| us as u64).min().unwrap_or_default();
    let longest = facts.listeners.iter().map(|row| row.deadline_us).max().unwrap_or_default();
    let routes = facts.listeners.iter().map(|row| Route {
        handshake_target: Span::from_us(row.handshake_target_us),
        effect: effect_of(row),
        utility: row.utility,
        connect_timeout: Span::from_us(facts.permissions.dial_timeout_us),
        max_dials: facts.permissions.max_dials,
        longest_retry_after: Span::from_us(facts.permissions.max_retry_after_us),
        patience: PATIENCE,
        base: BASE,
        cap: CAP,
        cool_down: COOL_DOWN,
        ..Route::default()
    });
    let rules = &facts.invariants;
    let deployment = Deployment {
        me: facts.me,
        relays: facts.balancers,
        zone: ZoneId(facts.az),
        tick: Span::from_us(facts.tick_us),
        routes: routes.collect(),
        shortest_target: Span::from_us(shortest),
        cold: ColdStart {
            start_share: rules.start_capacity,
            warm_up: Span::from_us(rules.cold_us),
            factor: rules.overload_factor,
            window: Span::from_us(rules.fall_us),
        },
        ask_within: (facts.discovery == Discovery::Subscribe).then_some(Span::from_us(rules.ask_within_us)),
        connect_timeout: Span::from_us(facts.permissions.dial_timeout_us),
        may_withdraw: facts.permissions.may_cancel,
        two_dials: facts.permissions.parallel_tries,
        may_probe: facts.permissions.probes,
        tells_retry_after: facts.permissions.retry_after,
        crossing_price: facts.prices.cross_zone,
        move_price: facts.prices.moves,
        probe_price: facts.prices.probe,
        groups: facts.extra.groups,
        stop_within: Span::from_us(longest).min(LONGEST_WAIT_AT_STOP) + AFTER_WAIT_AT_STOP,
    };
    let waits = facts.listeners.iter().map(|row| Span::from_us(row.deadline_us)).collect();
    let listeners = facts.listeners.into_iter().map(|row| row.name).collect();
    let idle = Span::from_us(facts.permissions.conn_idle_us);
    let notes_tell_delay = facts.extra.tells_delay && !facts.extra.tells_load;
    Ok(Site { deployment, places, zones: facts.zones, listeners, waits, idle, notes_tell_delay })
}

fn effect_of(row: &ListenerFacts) -> Effect {
    match row.effect {
        EffectName::Retryable => Effect::Repeatable,
        EffectName::Fragile => Effect::OnceOnly,
        EffectName::Dedup => {
            let scope = match row.dedup_scope {
                Some(ScopeName::Zone) => Scope::Zone,
                Some(ScopeName::Cell) => Scope::Cell,
                Some(ScopeName::All) | None => Scope::All,
            };
            Effect::Referenced { scope, window: Span::from_us(row.dedup_window_us) }
        }
    }
}
