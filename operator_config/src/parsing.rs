//! From text to sections. Nothing here knows a deployment.
use crate::OperatorConfig;
use crate::error::{ConfigError, Located, Location, sorted, value_unless};
use crate::key_names::{file, hedging, matching, peers, route};
use crate::keys::{self, Section};
use crate::sections::{HedgingSection, KeyPrefix, MatchSection, PeersSection, RouteSection};
use crate::suggestion::closest_name;
use crate::value::{self, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use thistlecroft::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Parses a whole file.
///
/// # Errors
/// Everything that is wrong with the text by itself, sorted by location.
pub(crate) fn parse(file: &str, text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    let mut parser = Parser {
        file,
        text,
        errors: Vec::new(),
    };
    let (table, syntax_errors) = DeTable::parse_recoverable(text);
    for error in &syntax_errors {
        let reason = error.message().replace('\n', " ");
        parser.error(error.span().unwrap_or(0..0), "syntax", reason);
    }
    let config = if syntax_errors.is_empty() {
        parser.file(&table)
    } else {
        OperatorConfig::default()
    };
    value_unless(sorted(parser.errors), config)
}

struct Parser<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<ConfigError>,
}

impl Parser<'_> {
    fn location(&self, span: Range<usize>) -> Location {
        let before = &self.text[..span.start.min(self.text.len())];
        let last_line = before.rsplit('\n').next().unwrap_or_default();
        Location {
            file: self.file.into(),
            line: before.matches('\n').count() + 1,
            column: last_line.chars().count() + 1,
        }
    }

    fn error(&mut self, span: Range<usize>, key: &str, reason: impl Into<String>) {
        let error = self.location(span).error(key, reason);
        self.errors.push(error);
    }

    fn file(&mut self, table: &Spanned<DeTable>) -> OperatorConfig {
        let mut config = OperatorConfig::default();
        self.section(table.get_ref(), table.span(), &keys::FILE, "");
        for (name, value) in table.get_ref().iter() {
            match name.get_ref().as_ref() {
                file::ROUTES => config.routes = self.routes(value),
                file::PEERS => config.peers = self.peers(value),
                _ => {}
            }
        }
        config
    }

    fn routes(&mut self, value: &Spanned<DeValue>) -> Vec<RouteSection> {
        const NOT_A_HEADED_TABLE: &str = "routes are tables headed [[route]]";
        let mut routes: Vec<RouteSection> = Vec::new();
        let DeValue::Array(items) = value.get_ref() else {
            // Any other value was reported as not being a table when the file's keys were parsed.
            if let DeValue::Table(_) = value.get_ref() {
                self.error(value.span(), file::ROUTES, NOT_A_HEADED_TABLE);
            }
            return routes;
        };
        for item in items.iter() {
            let DeValue::Table(table) = item.get_ref() else {
                self.error(item.span(), file::ROUTES, NOT_A_HEADED_TABLE);
                continue;
            };
            let Some(parsed) = self.route(table, item.span(), routes.len()) else {
                continue;
            };
            if let Some(same) = routes.iter().find(|other| other.name == parsed.name) {
                let reason = format!("the route of line {} has the same name", same.location.line);
                let error = parsed.location.error(&parsed.full_key(route::NAME), reason);
                self.errors.push(error);
            }
            routes.push(parsed);
        }
        routes
    }

    fn route(&mut self, table: &DeTable, span: Range<usize>, index: usize) -> Option<RouteSection> {
        let name = table
            .iter()
            .find(|(key, _)| key.get_ref() == route::NAME)
            .and_then(|(_, value)| match value.get_ref() {
                DeValue::String(name) => Some(name.to_string()),
                _ => None,
            });
        let label = name.clone().unwrap_or_else(|| (index + 1).to_string());
        let prefix = format!("route {label}");
        let mut values = self.section(table, span.clone(), &keys::ROUTE, &prefix);
        let Some(name) = name else {
            self.error(span, &prefix, "name: it must be stated");
            return None;
        };
        Some(RouteSection {
            name,
            matching: self.matching(table, &prefix),
            handshake_objective: values.duration(route::HANDSHAKE_OBJECTIVE),
            handshake_timeout: values.duration(route::HANDSHAKE_TIMEOUT),
            connect_timeout: values.duration(route::CONNECT_TIMEOUT),
            max_attempts: values.count(route::MAX_ATTEMPTS),
            attempt_timeout_factor: values.number(route::ATTEMPT_TIMEOUT_FACTOR),
            backoff_base: values.duration(route::BACKOFF_BASE),
            backoff_cap: values.duration(route::BACKOFF_CAP),
            stable_after: values.duration(route::STABLE_AFTER),
            max_retry_after: values.duration(route::MAX_RETRY_AFTER),
            idle_timeout: values.duration(route::IDLE_TIMEOUT),
            retry_share: values.number(route::RETRY_SHARE),
            max_sessions: values.count(route::MAX_SESSIONS),
            hedging: self.hedging(table, &prefix),
            location: values.location,
        })
    }

    fn matching(&mut self, route: &DeTable, prefix: &str) -> MatchSection {
        let Some((table, span)) = inner_table(route, route::MATCH) else {
            return MatchSection::default();
        };
        let prefix = format!("{prefix}.{}", route::MATCH);
        let mut values = self.section(table, span, &keys::MATCH, &prefix);
        MatchSection {
            listeners: values.texts(matching::LISTENERS),
            zones: values.texts(matching::ZONES),
            key_prefix: values.key_prefix(matching::KEY_PREFIX),
            groups: values.keys(matching::GROUPS),
        }
    }

    fn hedging(&mut self, route: &DeTable, prefix: &str) -> Option<Located<HedgingSection>> {
        let (table, span) = inner_table(route, route::HEDGING)?;
        let prefix = format!("{prefix}.{}", route::HEDGING);
        let mut values = self.section(table, span, &keys::HEDGING, &prefix);
        let section = HedgingSection {
            quantile: values.number(hedging::QUANTILE),
            min_delay: values.duration(hedging::MIN_DELAY),
            max_delay: values.duration(hedging::MAX_DELAY),
            share: values.number(hedging::SHARE),
        };
        Some(Located {
            value: section,
            location: values.location,
        })
    }

    fn peers(&mut self, value: &Spanned<DeValue>) -> Option<PeersSection> {
        let DeValue::Table(table) = value.get_ref() else {
            if let DeValue::Array(_) = value.get_ref() {
                self.error(value.span(), file::PEERS, "one table headed [peers]");
            }
            return None;
        };
        let mut values = self.section(table, value.span(), &keys::PEERS, file::PEERS);
        for key in [peers::FLEET, peers::LISTEN, peers::KEY_FILE] {
            if !table.iter().any(|(name, _)| name.get_ref() == key) {
                let reason = format!("{key}: it must be stated");
                self.error(value.span(), file::PEERS, reason);
            }
        }
        Some(PeersSection {
            fleet: values.text(peers::FLEET)?,
            listen: values.address(peers::LISTEN)?,
            key_file: values.text(peers::KEY_FILE)?,
            advertise: values.address(peers::ADVERTISE),
            seeds: values.addresses(peers::SEEDS),
            probe_interval: values.duration(peers::PROBE_INTERVAL),
            max_bytes_per_second: values.count(peers::MAX_BYTES_PER_SECOND),
            voters: values.texts(peers::VOTERS),
            previous_voters: values.texts(peers::PREVIOUS_VOTERS),
            generation: values.count(peers::GENERATION),
            lease_duration: values.duration(peers::LEASE_DURATION),
            location: values.location,
        })
    }

    /// Parses the values of one table; unknown keys and values of another kind become errors.
    /// `prefix` is what errors print before each key.
    fn section(
        &mut self,
        table: &DeTable,
        span: Range<usize>,
        section: &'static Section,
        prefix: &str,
    ) -> SectionValues {
        let mut values = BTreeMap::new();
        for (name, value) in table.iter() {
            let full_key = match prefix {
                "" => name.get_ref().to_string(),
                prefix => format!("{prefix}.{}", name.get_ref()),
            };
            let Some(key) = section.keys.iter().find(|key| key.name == name.get_ref()) else {
                let reason = unknown_key(section, name.get_ref());
                self.error(name.span(), &full_key, reason);
                continue;
            };
            let Some(parsed) = value::parse(key.kind, value.get_ref()) else {
                let reason = format!("it holds {}", key.kind.description());
                self.error(value.span(), &full_key, reason);
                continue;
            };
            let location = self.location(value.span());
            values.insert(
                key.name,
                Located {
                    value: parsed,
                    location,
                },
            );
        }
        SectionValues {
            values,
            location: self.location(span),
        }
    }
}

fn unknown_key(section: &Section, name: &str) -> String {
    match closest_name(section.keys.iter().map(|key| key.name), name) {
        Some(known) => format!("there is no such key; is it `{known}`?"),
        None => "there is no such key".into(),
    }
}

fn inner_table<'a>(table: &'a DeTable<'a>, key: &str) -> Option<(&'a DeTable<'a>, Range<usize>)> {
    let (_, value) = table.iter().find(|(name, _)| name.get_ref() == key)?;
    match value.get_ref() {
        DeValue::Table(inner) => Some((inner, value.span())),
        _ => None,
    }
}

/// The well-formed values of one table, by key. Each method takes the value of one key out.
struct SectionValues {
    values: BTreeMap<&'static str, Located<Value>>,
    location: Location,
}

impl SectionValues {
    fn take<T>(
        &mut self,
        key: &str,
        convert: impl FnOnce(Value) -> Option<T>,
    ) -> Option<Located<T>> {
        self.values.remove(key)?.and_then(convert)
    }

    fn texts(&mut self, key: &str) -> Option<Located<Vec<String>>> {
        self.take(key, |value| match value {
            Value::Texts(texts) => Some(texts),
            _ => None,
        })
    }

    fn text(&mut self, key: &str) -> Option<Located<String>> {
        self.texts(key)?.and_then(|texts| texts.into_iter().next())
    }

    fn duration(&mut self, key: &str) -> Option<Located<Duration>> {
        self.take(key, |value| match value {
            Value::Duration(duration) => Some(duration),
            _ => None,
        })
    }

    fn count(&mut self, key: &str) -> Option<Located<u32>> {
        self.take(key, |value| match value {
            Value::Count(count) => Some(count),
            _ => None,
        })
    }

    fn number(&mut self, key: &str) -> Option<Located<f64>> {
        self.take(key, |value| match value {
            Value::Number(number) => Some(number),
            _ => None,
        })
    }

    fn addresses(&mut self, key: &str) -> Option<Located<Vec<SocketAddr>>> {
        self.take(key, |value| match value {
            Value::Addresses(addresses) => Some(addresses),
            _ => None,
        })
    }

    fn address(&mut self, key: &str) -> Option<Located<SocketAddr>> {
        self.addresses(key)?
            .and_then(|addresses| addresses.into_iter().next())
    }

    fn key_prefix(&mut self, key: &str) -> Option<Located<KeyPrefix>> {
        self.take(key, |value| match value {
            Value::KeyPrefix(prefix) => Some(prefix),
            _ => None,
        })
    }

    fn keys(&mut self, key: &str) -> Option<Located<Vec<u64>>> {
        self.take(key, |value| match value {
            Value::Keys(keys) => Some(keys),
            _ => None,
        })
    }
}
