//! Parses the text of a file into sections, without regard to a deployment.
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
/// Returns all errors in the text, sorted by location.
pub(crate) fn parse(file: &str, text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    let mut parser = Parser {
        file,
        text,
        errors: Vec::new(),
    };
    let (table, syntax_errors) = DeTable::parse_recoverable(text);
    for error in &syntax_errors {
        let reason = error.message().replace('\n', " ");
        parser.report(error.span().unwrap_or(0..0), "syntax", reason);
    }
    let config = if syntax_errors.is_empty() {
        parser.parse_file(&table)
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

    fn report(&mut self, span: Range<usize>, key: &str, reason: impl Into<String>) {
        let error = self.location(span).error(key, reason);
        self.errors.push(error);
    }

    fn parse_file(&mut self, table: &Spanned<DeTable>) -> OperatorConfig {
        let mut config = OperatorConfig::default();
        self.parse_section(table.get_ref(), table.span(), &keys::FILE, "");
        for (name, value) in table.get_ref().iter() {
            match name.get_ref().as_ref() {
                file::ROUTES => config.routes = self.parse_routes(value),
                file::PEERS => config.peers = self.parse_peers(value),
                _ => {}
            }
        }
        config
    }

    fn parse_routes(&mut self, value: &Spanned<DeValue>) -> Vec<RouteSection> {
        const NOT_A_HEADED_TABLE: &str = "each route must be a table headed [[route]]";
        let mut routes: Vec<RouteSection> = Vec::new();
        let DeValue::Array(items) = value.get_ref() else {
            // `parse_section` has reported any other value, since the key holds a table.
            if let DeValue::Table(_) = value.get_ref() {
                self.report(value.span(), file::ROUTES, NOT_A_HEADED_TABLE);
            }
            return routes;
        };
        for item in items.iter() {
            let DeValue::Table(table) = item.get_ref() else {
                self.report(item.span(), file::ROUTES, NOT_A_HEADED_TABLE);
                continue;
            };
            let Some(parsed) = self.parse_route(table, item.span(), routes.len()) else {
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

    fn parse_route(
        &mut self,
        table: &DeTable,
        span: Range<usize>,
        index: usize,
    ) -> Option<RouteSection> {
        let name = table
            .iter()
            .find(|(key, _)| key.get_ref() == route::NAME)
            .and_then(|(_, value)| match value.get_ref() {
                DeValue::String(name) => Some(name.to_string()),
                _ => None,
            });
        let label = name.clone().unwrap_or_else(|| (index + 1).to_string());
        let prefix = format!("route {label}");
        let mut values = self.parse_section(table, span.clone(), &keys::ROUTE, &prefix);
        let Some(name) = name else {
            self.report(span, &prefix, "name: it must be stated");
            return None;
        };
        Some(RouteSection {
            name,
            matching: self.parse_match(table, &prefix),
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
            hedging: self.parse_hedging(table, &prefix),
            location: values.location,
        })
    }

    fn parse_match(&mut self, route: &DeTable, prefix: &str) -> MatchSection {
        let Some((table, span)) = inner_table(route, route::MATCH) else {
            return MatchSection::default();
        };
        let prefix = format!("{prefix}.{}", route::MATCH);
        let mut values = self.parse_section(table, span, &keys::MATCH, &prefix);
        MatchSection {
            listeners: values.texts(matching::LISTENERS),
            zones: values.texts(matching::ZONES),
            key_prefix: values.key_prefix(matching::KEY_PREFIX),
            groups: values.keys(matching::GROUPS),
        }
    }

    fn parse_hedging(&mut self, route: &DeTable, prefix: &str) -> Option<Located<HedgingSection>> {
        let (table, span) = inner_table(route, route::HEDGING)?;
        let prefix = format!("{prefix}.{}", route::HEDGING);
        let mut values = self.parse_section(table, span, &keys::HEDGING, &prefix);
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

    fn parse_peers(&mut self, value: &Spanned<DeValue>) -> Option<PeersSection> {
        let DeValue::Table(table) = value.get_ref() else {
            if let DeValue::Array(_) = value.get_ref() {
                self.report(
                    value.span(),
                    file::PEERS,
                    "it must be one table headed [peers]",
                );
            }
            return None;
        };
        let mut values = self.parse_section(table, value.span(), &keys::PEERS, file::PEERS);
        for key in [peers::FLEET, peers::LISTEN, peers::KEY_FILE] {
            if !table.iter().any(|(name, _)| name.get_ref() == key) {
                let reason = format!("{key}: it must be stated");
                self.report(value.span(), file::PEERS, reason);
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

    /// Parses the values of one table, and reports unknown keys and values of the wrong kind.
    /// Errors print `prefix` before each key.
    fn parse_section(
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
                self.report(name.span(), &full_key, reason);
                continue;
            };
            let Some(parsed) = value::parse(key.kind, value.get_ref()) else {
                let reason = format!("it holds {}", key.kind.description());
                self.report(value.span(), &full_key, reason);
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

/// Returns the table at this key with its span, or `None` where the key is absent or holds no
/// table.
fn inner_table<'a>(table: &'a DeTable<'a>, key: &str) -> Option<(&'a DeTable<'a>, Range<usize>)> {
    let (_, value) = table.iter().find(|(name, _)| name.get_ref() == key)?;
    match value.get_ref() {
        DeValue::Table(inner) => Some((inner, value.span())),
        _ => None,
    }
}

/// The valid values of one table, by key. Each method removes the value of one key and returns it.
struct SectionValues {
    values: BTreeMap<&'static str, Located<Value>>,
    location: Location,
}

impl SectionValues {
    fn take_as<T>(
        &mut self,
        key: &str,
        convert: impl FnOnce(Value) -> Option<T>,
    ) -> Option<Located<T>> {
        self.values.remove(key)?.and_then(convert)
    }

    fn texts(&mut self, key: &str) -> Option<Located<Vec<String>>> {
        self.take_as(key, |value| match value {
            Value::Texts(texts) => Some(texts),
            _ => None,
        })
    }

    fn text(&mut self, key: &str) -> Option<Located<String>> {
        self.texts(key)?.and_then(|texts| texts.into_iter().next())
    }

    fn duration(&mut self, key: &str) -> Option<Located<Duration>> {
        self.take_as(key, |value| match value {
            Value::Duration(duration) => Some(duration),
            _ => None,
        })
    }

    fn count(&mut self, key: &str) -> Option<Located<u32>> {
        self.take_as(key, |value| match value {
            Value::Count(count) => Some(count),
            _ => None,
        })
    }

    fn number(&mut self, key: &str) -> Option<Located<f64>> {
        self.take_as(key, |value| match value {
            Value::Number(number) => Some(number),
            _ => None,
        })
    }

    fn addresses(&mut self, key: &str) -> Option<Located<Vec<SocketAddr>>> {
        self.take_as(key, |value| match value {
            Value::Addresses(addresses) => Some(addresses),
            _ => None,
        })
    }

    fn address(&mut self, key: &str) -> Option<Located<SocketAddr>> {
        self.addresses(key)?
            .and_then(|addresses| addresses.into_iter().next())
    }

    fn key_prefix(&mut self, key: &str) -> Option<Located<KeyPrefix>> {
        self.take_as(key, |value| match value {
            Value::KeyPrefix(prefix) => Some(prefix),
            _ => None,
        })
    }

    fn keys(&mut self, key: &str) -> Option<Located<Vec<u64>>> {
        self.take_as(key, |value| match value {
            Value::Keys(keys) => Some(keys),
            _ => None,
        })
    }
}
