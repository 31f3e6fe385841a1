//! Tests of the growth rates that the capacity page states, at small sizes over simulated links,
//! where every run of a test has the same result.
use thistlecroft_experiments::scale::{
    Fault, Outcome, Programs, ScaleConfig, Variable, run, slopes, sweep,
};

fn config(relays: usize) -> ScaleConfig {
    ScaleConfig {
        relays,
        subjects: relays * 20,
        voters: 3,
        period_ms: 1_000,
        term_ms: 10_000,
        rate: 9_000,
        voter_rate: 262_144,
        zones: 5,
        first_region_zones: 3,
        relays_per_rack: 4,
        fault: Fault::Relay,
        calm_s: 30,
        cut_s: 30,
        loss: 0.005,
        seed: 11,
        simulated: true,
        relays_per_process: 10,
        real_relays: 0,
    }
}

fn run_once(config: &ScaleConfig) -> Outcome {
    run(config, &Programs::default(), &mut |_| {}).unwrap()
}

fn run_sizes(variable: Variable, sizes: &[usize]) -> Vec<(usize, Outcome)> {
    sweep(
        &config(40),
        variable,
        sizes,
        1,
        &Programs::default(),
        &mut |_| {},
    )
    .unwrap()
}

fn calm_sent(outcome: &Outcome) -> f64 {
    outcome.phase("calm").unwrap().relay.sent_mean
}

#[test]
fn relay_traffic_is_flat_in_fleet_size_and_voter_traffic_grows() {
    let all = run_sizes(Variable::Relays, &[20, 40, 80, 160]);
    let sent: Vec<f64> = all.iter().map(|(_, outcome)| calm_sent(outcome)).collect();
    let (least, most) = sent.iter().fold((f64::MAX, 0.0), |(least, most), one| {
        (one.min(least), one.max(most))
    });
    assert!(
        most <= least * 1.1,
        "bytes per second at 20 to 160 relays: {sent:?}"
    );
    let slopes = slopes(&all);
    let voter = slopes
        .iter()
        .find(|slope| slope.figure == "voter, calm, received B/s")
        .unwrap();
    let line = voter.line.unwrap();
    assert!(
        line.fits() && (10.0..60.0).contains(&line.slope),
        "{voter:?}"
    );
    for (size, outcome) in &all {
        assert_eq!(
            (outcome.two_owners, outcome.epochs_not_grown),
            (0, 0),
            "{size}"
        );
        assert_eq!(outcome.owned_at_end, outcome.config.subjects, "{size}");
    }
}

#[test]
fn relay_traffic_is_flat_in_owned_subjects() {
    let all = run_sizes(Variable::Subjects, &[1, 8, 64]);
    let sent: Vec<f64> = all.iter().map(|(_, outcome)| calm_sent(outcome)).collect();
    assert!(
        sent.iter()
            .all(|one| (one - sent[0]).abs() <= sent[0] * 0.05),
        "{sent:?}"
    );
}

#[test]
fn subjects_after_each_fault_are_owned_again_by_one_member_at_a_time() {
    for (fault, voters) in [
        (Fault::Rack, 3),
        (Fault::Zone, 3),
        (Fault::Zone, 5),
        (Fault::Voter, 3),
        (Fault::Region, 3),
    ] {
        let outcome = run_once(&ScaleConfig {
            fault,
            voters,
            ..config(40)
        });
        let after = outcome
            .phase("fault")
            .and_then(|phase| phase.converged)
            .unwrap();
        assert!(
            after.members_s.is_some() && after.owned_s.is_some(),
            "{fault:?}: {after:?}"
        );
        assert_eq!(
            (outcome.two_owners, outcome.epochs_not_grown),
            (0, 0),
            "{fault:?}"
        );
        assert_eq!(outcome.owned_at_end, outcome.config.subjects, "{fault:?}");
        // Subjects of lost relays have had two owners, one after the other.
        let moved = outcome.holdings > outcome.config.subjects;
        assert_eq!(
            moved,
            fault != Fault::Voter,
            "{fault:?}: {} holdings",
            outcome.holdings
        );
    }
}

#[test]
fn runs_with_the_same_seed_have_the_same_outcome() {
    let figures = |outcome: &Outcome| (outcome.phases.clone(), outcome.holdings);
    assert_eq!(
        figures(&run_once(&config(20))),
        figures(&run_once(&config(20)))
    );
}
