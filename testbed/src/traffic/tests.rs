use super::*;

fn traffic() -> Traffic {
    let profile = |name: &str, share| ClientProfile {
        name: name.into(),
        share,
        answer_timeout: Duration::from_millis(1_000),
        handshake_target: Duration::from_millis(300),
        message_target: Duration::from_millis(50),
        load: (1.0, 3.0),
        mean_lifetime: Duration::from_millis(20_000),
        priority_weight: 1.0,
    };
    Traffic {
        profiles: vec![profile("one", 3.0), profile("two", 1.0)],
        rate: vec![
            (Instant::default(), 0.0),
            (Instant::from_micros(10_000_000), 200.0),
        ],
        bursts: vec![Burst {
            begin: Instant::from_micros(12_000_000),
            clients: 500,
            duration: Duration::from_millis(1_000),
        }],
        keys: 1_000,
        groups: Some(50),
        retries: 3,
        retry_after_share: 0.5,
        backoff: Duration::from_millis(100),
        reconnect_delay: (Duration::from_millis(100), Duration::from_millis(200)),
        impatient_share: 0.1,
        message_interval: Duration::from_millis(2_000),
    }
}

#[test]
fn arrivals_drawn_from_same_seed_are_identical() {
    let until = Instant::from_micros(20_000_000);
    let clients = draw_arrivals(&traffic(), until, 7);
    assert_eq!(clients, draw_arrivals(&traffic(), until, 7));
    assert_ne!(clients, draw_arrivals(&traffic(), until, 8));
    // The rate rises for ten seconds to 200 a second and stays there for ten; the burst adds 500.
    assert!((3_300..3_700).contains(&clients.len()), "{}", clients.len());
    assert!(clients.windows(2).all(|pair| pair[0].due <= pair[1].due));
    let share_of_one =
        clients.iter().filter(|client| client.profile == 0).count() as f64 / clients.len() as f64;
    assert!((0.70..0.80).contains(&share_of_one), "{share_of_one}");
    let in_burst = |client: &&Arrival| (12_000_000..13_000_000).contains(&client.due.as_micros());
    assert!((640..760).contains(&clients.iter().filter(in_burst).count()));
    let mean_lifetime = clients
        .iter()
        .map(|client| client.lifetime.as_secs_f64())
        .sum::<f64>()
        / clients.len() as f64;
    assert!((18.0..22.0).contains(&mean_lifetime), "{mean_lifetime}");
}
