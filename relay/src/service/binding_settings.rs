//! Settings that have been replaced and still bind: for a while after a change the stricter of the
//! old and the new settings holds.
use serde_json::Value;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_settings::Settings;

/// The time from a change of the settings until the new ones alone are in force. Meanwhile the
/// listeners of both the old and the new settings are served, each within the stricter limits.
pub(super) const TRANSITION: Duration = Duration::from_millis(1_200);

/// Settings together with the text that they were parsed from.
#[derive(Clone)]
pub(super) struct SettingsWithText {
    pub(super) text: Value,
    pub(super) settings: Settings,
}

/// Settings that have been replaced, and until when they bind.
struct ReplacedSettings {
    replaced: SettingsWithText,
    binds_until: Instant,
}

/// The latest settings, and those before them that still bind.
pub(super) struct BindingSettings {
    latest: SettingsWithText,
    /// In the order of their replacement.
    replaced: Vec<ReplacedSettings>,
}

impl BindingSettings {
    pub(super) fn new(latest: SettingsWithText) -> BindingSettings {
        BindingSettings {
            latest,
            replaced: Vec::new(),
        }
    }

    /// Returns the settings that were read last.
    pub(super) fn latest(&self) -> &Settings {
        &self.latest.settings
    }

    /// Replaces the latest settings, which bind for the time of a transition from now on. The same
    /// text again changes nothing.
    pub(super) fn replace(&mut self, settings: SettingsWithText, now: Instant) {
        if settings.text == self.latest.text {
            return;
        }
        let replaced = std::mem::replace(&mut self.latest, settings);
        self.bind(replaced, TRANSITION, now);
    }

    /// Adds settings that bind beside the latest for this time, at most that of a transition.
    pub(super) fn bind(&mut self, replaced: SettingsWithText, time: Duration, now: Instant) {
        if replaced.text == self.latest.text {
            return;
        }
        self.replaced.push(ReplacedSettings {
            replaced,
            binds_until: now + time.min(TRANSITION),
        });
    }

    /// Returns the settings in force: the strictest of all that bind.
    pub(super) fn in_force(&mut self, now: Instant) -> Settings {
        self.replaced.retain(|earlier| earlier.binds_until > now);
        let latest = self.latest.settings.clone();
        let replaced = self.replaced.iter().rev();
        replaced.fold(latest, |later, earlier| {
            earlier.replaced.settings.during_change_to(&later)
        })
    }

    /// Returns when the next of the replaced settings ceases to bind.
    pub(super) fn next_change(&self) -> Option<Instant> {
        let times = self.replaced.iter().map(|earlier| earlier.binds_until);
        times.min()
    }

    /// Returns the texts that a successor which starts now has to go by beside its own, each with
    /// the time for which it binds. The latest text is among them: the successor's file may differ.
    pub(super) fn for_successor(&self, now: Instant) -> Vec<(&Value, Duration)> {
        let replaced = self.replaced.iter().map(|earlier| {
            let time = earlier.binds_until.duration_since(now);
            (&earlier.replaced.text, time)
        });
        replaced.chain([(&self.latest.text, TRANSITION)]).collect()
    }
}

#[cfg(test)]
mod tests;
