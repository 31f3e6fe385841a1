use super::*;

const CAPACITY: BackendCapacity = BackendCapacity {
    full_load: 18.0,
    max_sessions: 100,
    setup_time: Duration::from_millis(2),
    group_load: 1.5,
    warm_up: WarmUp {
        initial_share: 0.3,
        duration: Duration::from_millis(9_000),
        overload_factor: 3.0,
        overload_window: Duration::from_millis(3_000),
        turnover_time: Duration::from_millis(9_000),
    },
};

fn at(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

#[test]
fn warming_backend_with_attempts_beyond_its_budget_is_overloaded() {
    // The number of attempts of load 1, the milliseconds between them, whether the backend is cold,
    // and whether it is overloaded. A cold backend can take a load of 0.6 a second at its start, so
    // its budget is 5.4 within three seconds.
    let cases = [
        (6, 100, true, false),
        (8, 100, true, true),
        (40, 100, false, false),
        (60, 1_500, true, false),
        (3, 0, true, false),
    ];
    for (count, interval, cold, overloads) in cases {
        let mut model = BackendModel::start(CAPACITY, at(0), cold);
        let overloaded = (0..count).any(|number| model.record_attempt(at(number * interval), 1.0));
        assert_eq!(
            overloaded, overloads,
            "{count} every {interval} ms, cold: {cold}"
        );
    }
    // A single attempt larger than the budget doesn't overload the backend.
    assert!(!BackendModel::start(CAPACITY, at(0), true).record_attempt(at(0), 50.0));
}

#[test]
fn sessions_beyond_capacity_raise_load_and_delay() {
    let mut model = BackendModel::start(CAPACITY, at(0), false);
    for number in 0..18 {
        model.add_session(at(0), 1.0, Some(number % 2));
    }
    // Eighteen sessions with a load of 1, and two groups that add 1.5 each.
    assert!((model.load(at(0)) - 21.0 / 18.0).abs() < 1e-9);
    assert_eq!(model.message_delay(at(0)), Duration::ZERO);
    let late = model.message_delay(at(6_000));
    assert!((late.as_secs_f64() - 1.0).abs() < 0.01, "{late:?}");
    for number in 0..18 {
        model.remove_session(at(6_000), 1.0, Some(number % 2));
    }
    assert_eq!((model.sessions(), model.load(at(6_000))), (0, 0.0));
    assert_eq!(model.message_delay(at(8_000)), Duration::ZERO);
    model.slowness = 8.0;
    model.add_session(at(8_000), 9.0, None);
    assert!((model.load(at(8_000)) - 4.0).abs() < 1e-9);
}

#[test]
fn store_with_busy_workers_queues_calls() {
    let mut store = SetupStore::new(2, Duration::from_millis(10));
    let answered: Vec<u64> = (0..5).map(|_| store.call(at(0)).as_millis()).collect();
    assert_eq!(answered, [10, 10, 20, 20, 30]);
    assert_eq!(store.call(at(100)), at(110));
}
