//! Conversion of TOML values into the kinds that their keys require.
use crate::keys::ValueKind;
use crate::sections::KeyPrefix;
use std::net::SocketAddr;
use thistlecroft::time::Duration;
use toml::de::DeValue;

/// The longest duration that a file may state. No wait of the protocol is longer.
const MAX_DURATION: Duration = Duration::from_millis(24 * 60 * 60 * 1_000);

/// A value of the kind that its key requires.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    /// One or more names, or a single text.
    Texts(Vec<String>),
    Duration(Duration),
    Count(u32),
    Number(f64),
    KeyPrefix(KeyPrefix),
    /// Complete 64-bit keys.
    Keys(Vec<u64>),
    Addresses(Vec<SocketAddr>),
    Table,
}

/// Parses a value, or returns `None` where it is not of this kind.
pub(crate) fn parse(kind: ValueKind, value: &DeValue) -> Option<Value> {
    match kind {
        ValueKind::Name => single_text(as_text(value).filter(|name| is_name(name))),
        ValueKind::Names => as_texts(value)
            .filter(|names| names.iter().all(|name| is_name(name)))
            .map(Value::Texts),
        ValueKind::Text => single_text(as_text(value).filter(|text| !text.is_empty())),
        ValueKind::Duration => as_duration(value).map(Value::Duration),
        ValueKind::Count => as_count(value).map(Value::Count),
        ValueKind::Fraction => as_number(value)
            .filter(|fraction| (0.0..=1.0).contains(fraction))
            .map(Value::Number),
        ValueKind::Factor => as_number(value)
            .filter(|factor| *factor > 0.0 && factor.is_finite())
            .map(Value::Number),
        ValueKind::KeyPrefix => KeyPrefix::parse(&as_text(value)?).map(Value::KeyPrefix),
        ValueKind::Keys => parse_each(&as_texts(value)?, parse_full_key).map(Value::Keys),
        ValueKind::Address => parse_each(&[as_text(value)?], parse_address).map(Value::Addresses),
        ValueKind::Addresses => parse_each(&as_texts(value)?, parse_address).map(Value::Addresses),
        ValueKind::Table => {
            matches!(value, DeValue::Table(_) | DeValue::Array(_)).then_some(Value::Table)
        }
    }
}

fn single_text(text: Option<String>) -> Option<Value> {
    text.map(|text| Value::Texts(vec![text]))
}

fn as_text(value: &DeValue) -> Option<String> {
    match value {
        DeValue::String(text) => Some(text.to_string()),
        _ => None,
    }
}

/// Returns a non-empty list of texts. A single text is a list of one.
fn as_texts(value: &DeValue) -> Option<Vec<String>> {
    match value {
        DeValue::Array(items) if !items.is_empty() => {
            items.iter().map(|item| as_text(item.get_ref())).collect()
        }
        _ => as_text(value).map(|text| vec![text]),
    }
}

fn parse_each<T>(texts: &[String], parse: impl Fn(&str) -> Option<T>) -> Option<Vec<T>> {
    texts.iter().map(|text| parse(text)).collect()
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    !text.is_empty() && text.bytes().all(is_allowed)
}

fn as_duration(value: &DeValue) -> Option<Duration> {
    let duration = Duration::parse(&as_text(value)?)?;
    (duration > Duration::ZERO && duration <= MAX_DURATION).then_some(duration)
}

fn as_count(value: &DeValue) -> Option<u32> {
    match value {
        DeValue::Integer(integer) => integer.as_str().parse().ok().filter(|count| *count > 0),
        _ => None,
    }
}

fn as_number(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Integer(integer) => integer.as_str().parse().ok(),
        DeValue::Float(float) => float.as_str().parse().ok(),
        _ => None,
    }
}

fn parse_full_key(text: &str) -> Option<u64> {
    if text.len() != KeyPrefix::MAX_DIGITS || text.starts_with('+') {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
