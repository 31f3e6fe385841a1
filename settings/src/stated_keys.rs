//! The keys with a default that a text of the settings states. The platform writes these keys into
//! every text, so one that was stated before and is missing later was lost.
use serde_json::Value;
use std::collections::BTreeSet;

/// The paths of the keys that have a default and that the platform always states. The keys of the
/// retry budget are not among them: a platform without a budget leaves them out.
const KEYS_WITH_DEFAULT: &[&str] = &[
    "extra.groups",
    "extra.messageAimUs",
    "extra.tellsDelay",
    "extra.tellsLoad",
    "invariants.drainGraceUs",
    "permissions.connIdleUs",
    "permissions.parallelTries",
    "permissions.peers",
    "prices.crossZone",
    "prices.moves",
    "prices.probe",
    "report.fields",
    "report.how",
    "weights",
    "zones",
];

/// The name of a listener, which is stated if every listener has one.
const LISTENER_NAME: &str = "listeners[].name";

/// The paths of the keys with a default that a text states.
#[derive(Clone, Debug, Default)]
pub(crate) struct StatedKeys(BTreeSet<&'static str>);

impl StatedKeys {
    /// Finds the stated keys in the whole text of the settings.
    pub(crate) fn of(text: &Value) -> StatedKeys {
        let keys = KEYS_WITH_DEFAULT.iter().copied();
        let mut stated: BTreeSet<_> = keys.filter(|path| is_stated(text, path)).collect();
        if names_all_listeners(text) {
            stated.insert(LISTENER_NAME);
        }
        StatedKeys(stated)
    }

    /// Returns the first key that is stated here and not in `later`.
    pub(crate) fn first_missing_in(&self, later: &StatedKeys) -> Option<&'static str> {
        self.0.difference(&later.0).next().copied()
    }
}

/// Returns whether there is a value other than `null` at this path.
fn is_stated(text: &Value, path: &str) -> bool {
    let mut keys = path.split('.');
    let value = keys.try_fold(text, |section, key| section.get(key));
    value.is_some_and(|value| !value.is_null())
}

fn names_all_listeners(text: &Value) -> bool {
    let listeners = text.get("listeners").and_then(Value::as_array);
    listeners.is_some_and(|listeners| listeners.iter().all(|row| is_stated(row, "name")))
}
