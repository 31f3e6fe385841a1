//! From text to values, each with its place. Nothing here knows a deployment.
use crate::OperatorConfig;
use crate::keys::{Key, Kind, MATCH, PEERS, ROUTE, SECOND, Section, TOP, nearest};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use thistlecroft::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub key: String,
    pub why: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{}:{}:{}: {}: {}",
            self.file, self.line, self.column, self.key, self.why
        )
    }
}

/// Where something stands in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub file: String,
    pub line: usize,
    pub column: usize,
}

/// A value with its place.
#[derive(Clone, Debug)]
pub struct Located<T> {
    pub value: T,
    pub place: Place,
}

impl Place {
    pub fn fault(&self, key: &str, why: String) -> ConfigError {
        ConfigError {
            file: self.file.clone(),
            line: self.line,
            column: self.column,
            key: key.into(),
            why,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Matching {
    pub listener: Option<Located<Vec<String>>>,
    pub zone: Option<Located<Vec<String>>>,
    /// The digits, and how many there are.
    pub key_prefix: Option<Located<(u64, u32)>>,
    pub group: Option<Located<Vec<u64>>>,
}

#[derive(Clone, Debug, Default)]
pub struct SecondText {
    pub quantile: Option<Located<f64>>,
    pub least: Option<Located<Duration>>,
    pub most: Option<Located<Duration>>,
    pub share: Option<Located<f64>>,
}

/// A route as stated.
#[derive(Clone, Debug)]
pub struct RouteText {
    pub name: String,
    pub place: Place,
    pub matching: Matching,
    pub handshake_target: Option<Located<Duration>>,
    pub dial_timeout: Option<Located<Duration>>,
    pub connect_time: Option<Located<Duration>>,
    pub dials: Option<Located<u32>>,
    pub patience: Option<Located<f64>>,
    pub base: Option<Located<Duration>>,
    pub cap: Option<Located<Duration>>,
    pub cool_down: Option<Located<Duration>>,
    pub retry_after: Option<Located<Duration>>,
    pub idle: Option<Located<Duration>>,
    pub retry_share: Option<Located<f64>>,
    pub at_once: Option<Located<u32>>,
    pub second_copy: Option<Located<SecondText>>,
}

/// Relays that know of one another, as stated.
#[derive(Clone, Debug)]
pub struct PeersText {
    pub place: Place,
    pub fleet: Located<String>,
    pub listen: Located<SocketAddr>,
    pub key_file: Located<String>,
    pub advertise: Option<Located<SocketAddr>>,
    pub seeds: Option<Located<Vec<SocketAddr>>>,
    pub period: Option<Located<Duration>>,
    pub rate: Option<Located<u32>>,
    pub voters: Option<Located<Vec<String>>>,
    pub voters_before: Option<Located<Vec<String>>>,
    pub generation: Option<Located<u32>>,
    pub lease: Option<Located<Duration>>,
}

/// A value as its key's kind has it.
#[derive(Clone, Debug)]
enum Value {
    Names(Vec<String>),
    Duration(Duration),
    Count(u32),
    Number(f64),
    Hex(u64, u32),
    HexList(Vec<u64>),
    Addresses(Vec<SocketAddr>),
    Table,
}

struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    faults: Vec<ConfigError>,
}

/// The values of one table, by key.
struct Read {
    values: BTreeMap<&'static str, (Value, Place)>,
    place: Place,
}

pub fn parse(file: &str, text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    let mut reader = Reader {
        file,
        text,
        faults: Vec::new(),
    };
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let place = reader.place(error.span().unwrap_or(0..0));
        reader
            .faults
            .push(place.fault("syntax", error.message().replace('\n', " ")));
    }
    let mut charter = OperatorConfig::default();
    if errors.is_empty() {
        let top = table.get_ref();
        reader.table(top, table.span(), &TOP, "");
        for (name, value) in top.iter() {
            if name.get_ref() == "route" {
                reader.routes(value, &mut charter);
            }
            if name.get_ref() == "peers" {
                charter.peers = reader.peers(value);
            }
        }
    }
    let mut faults = reader.faults;
    faults.sort();
    faults.dedup();
    if faults.is_empty() {
        Ok(charter)
    } else {
        Err(faults)
    }
}

impl Reader<'_> {
    fn place(&self, at: Range<usize>) -> Place {
        let before = &self.text[..at.start.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .unwrap_or_default()
            .chars()
            .count()
            + 1;
        Place {
            file: self.file.into(),
            line,
            column,
        }
    }

    fn fault(&mut self, at: Range<usize>, key: &str, why: String) {
        let fault = self.place(at).fault(key, why);
        self.faults.push(fault);
    }

    fn routes(&mut self, value: &Spanned<DeValue>, charter: &mut OperatorConfig) {
        let DeValue::Array(rows) = value.get_ref() else {
            // What is no table at all has its fault by then.
            if let DeValue::Table(_) = value.get_ref() {
                self.fault(
                    value.span(),
                    "route",
                    "routes are tables headed [[route]]".into(),
                );
            }
            return;
        };
        for row in rows.iter() {
            let DeValue::Table(table) = row.get_ref() else {
                self.fault(
                    row.span(),
                    "route",
                    "routes are tables headed [[route]]".into(),
                );
                continue;
            };
            let named = charter.routes.len();
            if let Some(route) = self.route(table, row.span(), named) {
                if let Some(other) = charter.routes.iter().find(|other| other.name == route.name) {
                    let why = format!("the route of line {} has the same name", other.place.line);
                    self.faults.push(
                        route
                            .place
                            .fault(&format!("route {}.name", route.name), why),
                    );
                }
                charter.routes.push(route);
            }
        }
    }

    fn peers(&mut self, value: &Spanned<DeValue>) -> Option<PeersText> {
        let DeValue::Table(table) = value.get_ref() else {
            if let DeValue::Array(_) = value.get_ref() {
                self.fault(value.span(), "peers", "one table headed [peers]".into());
            }
            return None;
        };
        let mut read = self.table(table, value.span(), &PEERS, "peers");
        for key in ["fleet", "listen", "key_file"] {
            if !table.iter().any(|(name, _)| name.get_ref() == key) {
                self.fault(value.span(), "peers", format!("{key}: it must be stated"));
            }
        }
        let one = |stated: Located<Vec<String>>| {
            let value = stated.value.into_iter().next().unwrap_or_default();
            Located {
                value,
                place: stated.place,
            }
        };
        let first = |stated: Located<Vec<SocketAddr>>| {
            Some(Located {
                value: *stated.value.first()?,
                place: stated.place,
            })
        };
        Some(PeersText {
            fleet: read.names("fleet").map(one)?,
            listen: read.addresses("listen").and_then(first)?,
            key_file: read.names("key_file").map(one)?,
            advertise: read.addresses("advertise").and_then(first),
            seeds: read.addresses("seeds"),
            period: read.span("period"),
            rate: read.count("rate"),
            voters: read.names("voters"),
            voters_before: read.names("voters_before"),
            generation: read.count("generation"),
            lease: read.span("lease"),
            place: read.place,
        })
    }

    fn route(&mut self, table: &DeTable, at: Range<usize>, number: usize) -> Option<RouteText> {
        let name = table
            .iter()
            .find(|(key, _)| key.get_ref() == "name")
            .and_then(|(_, value)| {
                let DeValue::String(name) = value.get_ref() else {
                    return None;
                };
                Some(name.to_string())
            });
        let called = format!(
            "route {}",
            name.clone().unwrap_or_else(|| (number + 1).to_string())
        );
        let mut read = self.table(table, at.clone(), &ROUTE, &called);
        let Some(name) = name else {
            self.fault(at, &called, "name: it must be stated".into());
            return None;
        };
        let inner = |key: &str| {
            let found = table.iter().find(|(name, _)| name.get_ref() == key)?;
            let DeValue::Table(table) = found.1.get_ref() else {
                return None;
            };
            Some((table, found.1.span()))
        };
        let mut matching = Matching::default();
        if let Some((table, at)) = inner("match") {
            let mut read = self.table(table, at, &MATCH, &format!("{called}.match"));
            matching = Matching {
                listener: read.names("listener"),
                zone: read.names("zone"),
                key_prefix: read.hex("key_prefix"),
                group: read.hex_list("group"),
            };
        }
        let second_copy = inner("second_copy").map(|(table, at)| {
            let mut read = self.table(table, at, &SECOND, &format!("{called}.second_copy"));
            let value = SecondText {
                quantile: read.number("quantile"),
                least: read.span("least"),
                most: read.span("most"),
                share: read.number("share"),
            };
            Located {
                value,
                place: read.place,
            }
        });
        Some(RouteText {
            name,
            matching,
            handshake_target: read.span("handshake_target"),
            dial_timeout: read.span("dial_timeout"),
            connect_time: read.span("connect_time"),
            dials: read.count("dials"),
            patience: read.number("patience"),
            base: read.span("base"),
            cap: read.span("cap"),
            cool_down: read.span("cool_down"),
            retry_after: read.span("retry_after"),
            idle: read.span("idle"),
            retry_share: read.number("retry_share"),
            at_once: read.count("at_once"),
            second_copy,
            place: read.place,
        })
    }

    /// All values of a table that are as their keys have them; what is not is a fault.
    fn table(
        &mut self,
        table: &DeTable,
        at: Range<usize>,
        section: &'static Section,
        called: &str,
    ) -> Read {
        let mut read = Read {
            values: BTreeMap::new(),
            place: self.place(at),
        };
        for (name, value) in table.iter() {
            let full = if called.is_empty() {
                name.get_ref().to_string()
            } else {
                format!("{called}.{}", name.get_ref())
            };
            let Some(key) = section.keys.iter().find(|key| key.name == name.get_ref()) else {
                let like = nearest(section.keys.iter().map(|key| key.name), name.get_ref());
                let why = match like {
                    Some(like) => format!("there is no such key; is it `{like}`?"),
                    None => "there is no such key".into(),
                };
                self.fault(name.span(), &full, why);
                continue;
            };
            match value_of(key, value.get_ref()) {
                Some(found) => {
                    read.values
                        .insert(key.name, (found, self.place(value.span())));
                }
                None => self.fault(value.span(), &full, format!("it holds {}", key.kind.says())),
            }
        }
        read
    }
}

fn value_of(key: &Key, value: &DeValue) -> Option<Value> {
    let text = |value: &DeValue| match value {
        DeValue::String(text) => Some(text.to_string()),
        _ => None,
    };
    let list = |value: &DeValue| match value {
        DeValue::Array(rows) if !rows.is_empty() => rows
            .iter()
            .map(|row| text(row.get_ref()))
            .collect::<Option<Vec<_>>>(),
        _ => text(value).map(|one| vec![one]),
    };
    let number = |value: &DeValue| match value {
        DeValue::Integer(figure) => figure.as_str().parse::<f64>().ok(),
        DeValue::Float(figure) => figure.as_str().parse::<f64>().ok(),
        _ => None,
    };
    let named = |name: &String| {
        !name.is_empty()
            && name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
    };
    let digits = |text: &str| {
        (!text.is_empty() && text.len() <= 16)
            .then(|| u64::from_str_radix(text, 16).ok())
            .flatten()
    };
    Some(match key.kind {
        Kind::Name => Value::Names(vec![text(value).filter(|name| named(name))?]),
        Kind::Names => Value::Names(list(value).filter(|names| names.iter().all(named))?),
        Kind::Duration => {
            let span = Duration::parse(&text(value)?)?;
            Value::Duration(Some(span).filter(|span| *span > Duration::ZERO && *span <= LONGEST)?)
        }
        Kind::Count => match value {
            DeValue::Integer(figure) => {
                Value::Count(figure.as_str().parse().ok().filter(|count| *count > 0)?)
            }
            _ => return None,
        },
        Kind::Part => Value::Number(number(value).filter(|part| (0.0..=1.0).contains(part))?),
        Kind::Factor => {
            Value::Number(number(value).filter(|factor| *factor > 0.0 && factor.is_finite())?)
        }
        Kind::Hex => {
            let text =
                text(value).filter(|text| text.bytes().all(|byte| byte.is_ascii_hexdigit()))?;
            Value::Hex(digits(&text)?, text.len() as u32)
        }
        Kind::HexList => {
            let all = list(value)?;
            let sound = |text: &String| {
                (text.len() == 16 && !text.starts_with('+'))
                    .then(|| digits(text))
                    .flatten()
            };
            Value::HexList(all.iter().map(sound).collect::<Option<Vec<u64>>>()?)
        }
        Kind::Text => Value::Names(vec![text(value).filter(|text| !text.is_empty())?]),
        Kind::Address => Value::Addresses(vec![text(value)?.parse().ok()?]),
        Kind::Addresses => Value::Addresses(
            list(value)?
                .iter()
                .map(|one| one.parse().ok())
                .collect::<Option<_>>()?,
        ),
        Kind::Table => match value {
            DeValue::Table(_) | DeValue::Array(_) => Value::Table,
            _ => return None,
        },
    })
}

/// Longer than any wait that the protocol can state.
const LONGEST: Duration = Duration::from_millis(86_400_000);

impl Read {
    fn take<T>(&mut self, name: &str, of: impl Fn(Value) -> Option<T>) -> Option<Located<T>> {
        let (value, place) = self.values.remove(name)?;
        of(value).map(|value| Located { value, place })
    }

    fn names(&mut self, name: &str) -> Option<Located<Vec<String>>> {
        self.take(name, |value| {
            if let Value::Names(names) = value {
                Some(names)
            } else {
                None
            }
        })
    }

    fn span(&mut self, name: &str) -> Option<Located<Duration>> {
        self.take(name, |value| {
            if let Value::Duration(span) = value {
                Some(span)
            } else {
                None
            }
        })
    }

    fn count(&mut self, name: &str) -> Option<Located<u32>> {
        self.take(name, |value| {
            if let Value::Count(count) = value {
                Some(count)
            } else {
                None
            }
        })
    }

    fn number(&mut self, name: &str) -> Option<Located<f64>> {
        self.take(name, |value| {
            if let Value::Number(number) = value {
                Some(number)
            } else {
                None
            }
        })
    }

    fn addresses(&mut self, name: &str) -> Option<Located<Vec<SocketAddr>>> {
        self.take(name, |value| {
            if let Value::Addresses(list) = value {
                Some(list)
            } else {
                None
            }
        })
    }

    fn hex(&mut self, name: &str) -> Option<Located<(u64, u32)>> {
        self.take(name, |value| {
            if let Value::Hex(digits, count) = value {
                Some((digits, count))
            } else {
                None
            }
        })
    }

    fn hex_list(&mut self, name: &str) -> Option<Located<Vec<u64>>> {
        self.take(name, |value| {
            if let Value::HexList(list) = value {
                Some(list)
            } else {
                None
            }
        })
    }
}
