//! Tests of plans.
use super::Plan;
use crate::scenario::Scenario;

const SCENARIO: &str = r#"
about = "for the test"
length = "10s"
[fleet]
boxes = 6
[traffic]
rate = [["0s", 5.0], ["5s", 50.0]]
[[listener]]
name = "view"
wait = "1s"
handshake_target = "300ms"
message_target = "50ms"
life = "5s"
[[fault]]
at = "2s"
what = "slow"
boxes = "half"
times = 4.0
for = "3s"
"#;

#[test]
fn plan_of_same_scenario_and_seed_is_the_same() {
    let scenario = Scenario::parse("good.toml", SCENARIO).unwrap();
    assert_eq!(scenario.name, "good");
    let plan_text = |seed| {
        let plan = Plan::new(&scenario, seed);
        format!("{:?} {:?}", plan.arrivals, plan.actions)
    };
    assert_eq!(plan_text(1), plan_text(1));
    assert_ne!(plan_text(1), plan_text(2));
    let plan = Plan::new(&scenario, 1);
    assert_eq!(
        plan.actions.len(),
        6,
        "three backends become slow and recover"
    );
    assert!(plan.actions.windows(2).all(|pair| pair[0].at <= pair[1].at));
}
