//! The log on standard error: plain text lines, or one JSON object per line.
use log::Record;
use log::kv::{Key, Value, VisitSource};
use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum LogFormat {
    /// Plain text lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// The fields of a log line as a JSON object.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kv> VisitSource<'kv> for Fields {
    fn visit_pair(&mut self, key: Key<'kv>, value: Value<'kv>) -> Result<(), log::kv::Error> {
        let value = match (value.to_i64(), value.to_f64()) {
            (Some(integer), _) => integer.into(),
            (None, Some(number)) => number.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging to standard error. `RUST_LOG` overrides the default level: `info` for `serve`,
/// `warn` for all other verbs, since those print their results themselves.
pub(crate) fn init(format: LogFormat, is_serving: bool) {
    let level = if is_serving { "info" } else { "warn" };
    let environment = env_logger::Env::default().default_filter_or(level);
    let mut builder = env_logger::Builder::from_env(environment);
    if format == LogFormat::Json {
        builder.format(write_json);
    }
    builder.init();
}

fn write_json(out: &mut impl Write, record: &Record) -> io::Result<()> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let level = record.level().as_str().to_lowercase();
    let mut fields = Fields(serde_json::Map::new());
    let object = &mut fields.0;
    object.insert("unix_ms".into(), (now.as_millis() as u64).into());
    object.insert("level".into(), level.into());
    object.insert("target".into(), record.target().into());
    object.insert("message".into(), record.args().to_string().into());
    // A field that can't be read is left out; the line is still one object.
    let _ = record.key_values().visit(&mut fields);
    serde_json::to_writer(&mut *out, &fields.0)?;
    out.write_all(b"\n")
}
