//! Tests of which settings are in force.
use super::*;
use thistlecroft::deployment::Idempotency;

/// Settings with a listener of this effect, as in the platform's file.
fn settings(listener: &str, effect: &str) -> SettingsWithText {
    let text = serde_json::json!({
        "az": 0, "zones": ["a"], "balancers": 1, "me": 0, "tickUs": 2000, "discovery": "automatic",
        "listeners": [{"name": listener, "deadlineUs": 1_500_000, "handshakeTargetUs": 300_000,
            "effect": effect, "utility": 1.0}],
        "invariants": {"askWithinUs": 1, "coldUs": 9_000_000, "fallUs": 3_000_000,
            "overloadFactor": 3.0, "startCapacity": 0.3},
        "permissions": {"connIdleUs": 9_000_000, "dialTimeoutUs": 250_000, "maxDials": 3,
            "maxRetryAfterUs": 2_000_000, "mayCancel": true, "probes": true, "retryAfter": true},
    });
    let settings = thistlecroft_settings::parse(text.to_string().as_bytes()).unwrap();
    SettingsWithText { text, settings }
}

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(milliseconds * 1_000)
}

/// Returns whether sessions of this listener may be repeated; none if it is unknown.
fn is_idempotent(binding: &mut BindingSettings, listener: &str, now: Instant) -> Option<bool> {
    let settings = binding.in_force(now);
    let index = settings
        .listeners
        .iter()
        .position(|name| name == listener)?;
    Some(settings.deployment.routes[index].idempotency == Idempotency::Idempotent)
}

#[test]
fn strictest_of_several_changes_holds_until_its_own_transition_ends() {
    let mut binding = BindingSettings::new(settings("a", "fragile"));
    binding.replace(settings("a", "retryable"), at(0));
    binding.replace(settings("b", "retryable"), at(700));
    assert_eq!(is_idempotent(&mut binding, "a", at(1_199)), Some(false));
    assert_eq!(binding.next_change(), Some(at(1_200)));
    assert_eq!(is_idempotent(&mut binding, "a", at(1_200)), Some(true));
    assert_eq!(is_idempotent(&mut binding, "b", at(1_200)), Some(true));
    assert_eq!(is_idempotent(&mut binding, "a", at(1_900)), None);
    assert_eq!(binding.next_change(), None);
}

#[test]
fn same_text_again_replaces_nothing() {
    let mut binding = BindingSettings::new(settings("a", "fragile"));
    binding.replace(settings("a", "fragile"), at(0));
    assert_eq!(binding.next_change(), None);
}

#[test]
fn successor_is_told_the_time_that_is_left_and_the_latest_text() {
    let mut binding = BindingSettings::new(settings("a", "fragile"));
    binding.replace(settings("a", "retryable"), at(0));
    let (old, new) = (settings("a", "fragile"), settings("a", "retryable"));
    let told = binding.for_successor(at(500));
    let expected = [
        (&old.text, Duration::from_millis(700)),
        (&new.text, TRANSITION),
    ];
    assert_eq!(told, expected);
    let mut successor = BindingSettings::new(new.clone());
    successor.bind(old.clone(), Duration::from_millis(700), at(500));
    successor.bind(new.clone(), TRANSITION, at(500));
    assert_eq!(is_idempotent(&mut successor, "a", at(1_199)), Some(false));
    assert_eq!(is_idempotent(&mut successor, "a", at(1_200)), Some(true));
}

/// A clock that differs or a damaged packet must not keep old settings in force for good.
#[test]
fn settings_of_a_predecessor_bind_for_a_transition_at_most() {
    let mut binding = BindingSettings::new(settings("a", "retryable"));
    binding.bind(
        settings("a", "fragile"),
        Duration::from_millis(1 << 40),
        at(0),
    );
    assert_eq!(is_idempotent(&mut binding, "a", at(1_199)), Some(false));
    assert_eq!(is_idempotent(&mut binding, "a", at(1_200)), Some(true));
}
