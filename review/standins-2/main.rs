//! Stand-ins for the cases 6 to 10 of the review, on the standard library alone: backends, a
//! discovery agent, clients and operators, and the processes under test. Called by each case's
//! `run.sh` as `cases NAME FOLDER`; exits with 1 if the rule was broken, 0 if it held and 2 if the
//! case could not run.
mod descriptors;
mod epochs;
mod platform;
mod record;
mod relay;
mod settings;
mod upgrade;

use record::Record;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// No case runs longer.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("cases NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(folder));
    record.note(format!("case {name}, trouble {}", u8::from(trouble)));
    relay::watch_time(TIME_LIMIT, record.clone());
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match name.as_str() {
        "descriptors" => descriptors::run(&record, trouble),
        "epochs" => epochs::run(&record, trouble),
        "upgrade" => upgrade::run(&record, trouble),
        "settings" => settings::run(&record, trouble),
        _ => Err(format!("there is no case {name}")),
    }));
    relay::end_all();
    let code = match result {
        Ok(Ok(Verdict::Held)) => {
            record.note("the rule held".into());
            0
        }
        Ok(Ok(Verdict::Broken)) => {
            record.note("the rule was broken".into());
            1
        }
        Ok(Err(reason)) => {
            record.note(format!("could not run: {reason}"));
            2
        }
        Err(_) => {
            record.note("could not run: a stand-in panicked".into());
            2
        }
    };
    exit(code);
}
