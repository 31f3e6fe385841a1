//! The log: lines for people, or one JSON object a line.
use log::kv::{Key, Value, VisitSource};
use std::io::Write;

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kv> VisitSource<'kv> for Fields {
    fn visit_pair(&mut self, key: Key<'kv>, value: Value<'kv>) -> Result<(), log::kv::Error> {
        let value = match (value.to_i64(), value.to_f64()) {
            (Some(whole), _) => whole.into(),
            (None, Some(figure)) => figure.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// One that serves says more than one that experiments, whose own output is its results.
pub fn init(format: LogFormat, serves: bool) {
    let level = if serves { "info" } else { "warn" };
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level));
    if format == LogFormat::Json {
        builder.format(|out, record| {
            let mut fields = Fields(serde_json::Map::new());
            let since = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            fields
                .0
                .insert("unix_ms".into(), (since.as_millis() as u64).into());
            fields.0.insert(
                "level".into(),
                record.level().as_str().to_lowercase().into(),
            );
            fields.0.insert("target".into(), record.target().into());
            fields
                .0
                .insert("message".into(), record.args().to_string().into());
            // A field that can't be read is left out; the line is still one.
            let _ = record.key_values().visit(&mut fields);
            serde_json::to_writer(&mut *out, &fields.0)?;
            out.write_all(b"\n")
        });
    }
    builder.init();
}
